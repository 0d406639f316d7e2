"""Quarantine of requests that were in flight when a target crashed."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

import attrs
import xxhash

BLOCK_TIME_S = 600.0
"""How long a fingerprint is blocked after its second crash."""

HOLDER_TIME_S = 30.0
"""How long only the node that saw the crash may run the suspect request.

If two nodes each started a quarantine run of the same request, it could crash two more
targets.
"""

MAX_ENTRIES = 10_000


class Verdict(StrEnum):
    """How a request with a given fingerprint may run."""

    FREE = "free"
    QUARANTINE = "quarantine"
    WAIT = "wait"
    BLOCKED = "blocked"


def fingerprint(workspace: str, model: str, body: bytes) -> str:
    """Return the fingerprint of a request."""
    digest = xxhash.xxh3_128()
    for part in (workspace.encode(), model.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return str(digest.hexdigest())


@attrs.define
class _Suspect:
    crashes: set[str] = attrs.field(factory=set)
    cleared: set[str] = attrs.field(factory=set)
    holder: str = ""
    last_crash_at: float = 0.0
    quarantine_attempt: str = ""

    @property
    def open_crashes(self) -> set[str]:
        return self.crashes - self.cleared


class SuspicionTable:
    """Suspect requests known to a node.

    Crashes and cleared crashes are sets of attempt ids and are merged by union, so
    gossip may repeat, reorder or delay entries.
    """

    def __init__(self, node: str) -> None:
        """Start without suspects."""
        self._node = node
        self._suspects: dict[str, _Suspect] = {}

    def record_crash(self, fingerprint: str, attempt_id: str, now: float) -> None:
        """Record that the request's target crashed while the request was in flight."""
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        suspect.crashes.add(attempt_id)
        suspect.holder, suspect.last_crash_at = self._node, now
        if suspect.quarantine_attempt == attempt_id:
            suspect.quarantine_attempt = ""
        if len(self._suspects) > MAX_ENTRIES:
            self._remove_expired(now)

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Return how the request may run now."""
        suspect = self._unexpired(fingerprint, now)
        if suspect is None or not suspect.open_crashes:
            return Verdict.FREE
        if len(suspect.open_crashes) >= 2:
            return Verdict.BLOCKED
        if suspect.quarantine_attempt:
            return Verdict.WAIT
        if suspect.holder != self._node and now < suspect.last_crash_at + HOLDER_TIME_S:
            return Verdict.WAIT
        return Verdict.QUARANTINE

    def begin_quarantine(self, fingerprint: str, attempt_id: str, now: float) -> bool:
        """Start the only quarantine run of a suspect; return whether it may start."""
        if self.verdict(fingerprint, now) is not Verdict.QUARANTINE:
            return False
        self._suspects[fingerprint].quarantine_attempt = attempt_id
        self._suspects[fingerprint].holder = self._node
        return True

    def end_quarantine(self, fingerprint: str, attempt_id: str) -> None:
        """End a run that neither completed nor crashed its target."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.quarantine_attempt == attempt_id:
            suspect.quarantine_attempt = ""

    def record_completion(self, fingerprint: str, attempt_id: str) -> None:
        """Clear a suspect whose quarantine run completed.

        A run that had started before the crash proves nothing and is ignored.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.quarantine_attempt == attempt_id:
            suspect.quarantine_attempt = ""
            suspect.cleared |= suspect.crashes

    def publish(self, now: float) -> list[dict[str, Any]]:
        """Return the entries for gossip; ages are in seconds."""
        self._remove_expired(now)
        return [
            {
                "mark": fingerprint,
                "crashes": sorted(s.crashes),
                "cleared": sorted(s.cleared),
                "holder": s.holder,
                "age": now - s.last_crash_at,
            }
            for fingerprint, s in self._suspects.items()
        ]

    def merge(self, entries: Iterable[dict[str, Any]], now: float) -> None:
        """Merge entries from another node."""
        for entry in entries:
            if entry["age"] >= BLOCK_TIME_S:
                continue
            suspect = self._suspects.setdefault(entry["mark"], _Suspect())
            suspect.crashes.update(entry["crashes"])
            suspect.cleared.update(entry["cleared"])
            crashed_at = now - float(entry["age"])
            if not suspect.holder or crashed_at > suspect.last_crash_at:
                suspect.holder = entry["holder"]
                suspect.last_crash_at = crashed_at

    def _unexpired(self, fingerprint: str, now: float) -> _Suspect | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and now >= suspect.last_crash_at + BLOCK_TIME_S:
            del self._suspects[fingerprint]
            return None
        return suspect

    def _remove_expired(self, now: float) -> None:
        for fingerprint in list(self._suspects):
            self._unexpired(fingerprint, now)
