"""Requests that were in flight when a target crashed."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Any

import attrs
import xxhash

BLOCK_TIME = 600.0
"""Seconds for which a fingerprint is blocked after its second crash."""

HOLDER_TIME = 30.0
"""Seconds for which only the node that saw the crash may run the suspect.

Two nodes that each start a quarantine run of the same request would lose two
further targets to it.
"""

MOST_ENTRIES = 10_000


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
    last_crash: float = 0.0
    running: str = ""

    @property
    def open(self) -> set[str]:
        return self.crashes - self.cleared


class SuspicionTable:
    """Suspects known to a node.

    Crashes are kept as sets of attempt ids, and so are the cleared ones. Merging
    is a union, so gossip may repeat, reorder or delay entries.
    """

    def __init__(self, node: str) -> None:
        """Start without suspects."""
        self._node = node
        self._suspects: dict[str, _Suspect] = {}

    def record_crash(self, mark: str, attempt_id: str, now: float) -> None:
        """Make the request a suspect: its target died while it was in flight."""
        suspect = self._suspects.setdefault(mark, _Suspect())
        suspect.crashes.add(attempt_id)
        suspect.holder, suspect.last_crash = self._node, now
        if suspect.running == attempt_id:
            suspect.running = ""
        if len(self._suspects) > MOST_ENTRIES:
            self._expire(now)

    def judge(self, mark: str, now: float) -> Verdict:
        """Return how the request may run now."""
        suspect = self._current(mark, now)
        if suspect is None or not suspect.open:
            return Verdict.FREE
        if len(suspect.open) >= 2:
            return Verdict.BLOCKED
        if suspect.running:
            return Verdict.WAIT
        if suspect.holder != self._node and now < suspect.last_crash + HOLDER_TIME:
            return Verdict.WAIT
        return Verdict.QUARANTINE

    def begin_quarantine(self, mark: str, attempt_id: str, now: float) -> bool:
        """Start the one quarantine run of a suspect; return whether it may start."""
        if self.judge(mark, now) is not Verdict.QUARANTINE:
            return False
        self._suspects[mark].running = attempt_id
        self._suspects[mark].holder = self._node
        return True

    def end_quarantine(self, mark: str, attempt_id: str) -> None:
        """End a run that neither completed nor crashed its target."""
        suspect = self._suspects.get(mark)
        if suspect is not None and suspect.running == attempt_id:
            suspect.running = ""

    def record_completion(self, mark: str, attempt_id: str) -> None:
        """Clear a suspect whose quarantine run completed.

        A run that had started before the crash proves nothing and is ignored.
        """
        suspect = self._suspects.get(mark)
        if suspect is not None and suspect.running == attempt_id:
            suspect.running = ""
            suspect.cleared |= suspect.crashes

    def publish(self, now: float) -> list[dict[str, Any]]:
        """Return the entries for gossip; ages are in seconds."""
        self._expire(now)
        return [
            {
                "mark": mark,
                "crashes": sorted(s.crashes),
                "cleared": sorted(s.cleared),
                "holder": s.holder,
                "age": now - s.last_crash,
            }
            for mark, s in self._suspects.items()
        ]

    def merge(self, entries: Iterable[dict[str, Any]], now: float) -> None:
        """Take in another node's entries."""
        for entry in entries:
            if entry["age"] >= BLOCK_TIME:
                continue
            suspect = self._suspects.setdefault(entry["mark"], _Suspect())
            suspect.crashes.update(entry["crashes"])
            suspect.cleared.update(entry["cleared"])
            crashed_at = now - float(entry["age"])
            if not suspect.holder or crashed_at > suspect.last_crash:
                suspect.holder = entry["holder"]
                suspect.last_crash = crashed_at

    def _current(self, mark: str, now: float) -> _Suspect | None:
        suspect = self._suspects.get(mark)
        if suspect is not None and now >= suspect.last_crash + BLOCK_TIME:
            del self._suspects[mark]
            return None
        return suspect

    def _expire(self, now: float) -> None:
        for mark in list(self._suspects):
            self._current(mark, now)
