"""Soft state that nodes pass on to each other in gossip messages."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import orjson

# A burst of changes, such as placing all models at once, may go out together.
_BURST_BYTES = 8000


@attrs.define
class _Entry:
    stamp: tuple[int, int]
    observed_at: float
    value: Any
    sends: int = 0


class GossipBook:
    """Values by key, each with a stamp (epoch, counter); the highest stamp wins.

    Every node passes an entry on ``max_sends`` times, so that it spreads like a
    rumour, and sends at most ``bytes_per_s`` on average, least often sent first.
    """

    def __init__(
        self,
        forget_s: float,
        to_json: Callable[[Any], Any] = lambda value: value,
        from_json: Callable[[Any], Any] = lambda value: value,
        *,
        max_sends: int = 8,
        bytes_per_s: float = 2000.0,
    ) -> None:
        """Drop entries that were observed more than ``forget_s`` seconds ago.

        ``to_json`` and ``from_json`` translate values for messages.
        """
        self._forget_s = forget_s
        self._to_json = to_json
        self._from_json = from_json
        self._max_sends = max_sends
        self._bytes_per_s = bytes_per_s
        self._allowance = float(_BURST_BYTES)
        self._allowed_at: float | None = None
        self._changes = 0
        self._entries: dict[str, _Entry] = {}
        # Keys that are to be passed on, by how often they were sent. Sorting all
        # entries for each message took 5 ms with 12,000 of them.
        self._waiting: dict[int, dict[str, None]] = {}
        self._swept_at = -math.inf

    @property
    def forget_s(self) -> float:
        """Age in seconds from which an entry is dropped."""
        return self._forget_s

    @forget_s.setter
    def forget_s(self, value: float) -> None:
        self._forget_s = value

    @property
    def changes(self) -> int:
        """Number of values stored so far."""
        return self._changes

    def put(self, key: str, stamp: tuple[int, int], value: Any, now: float) -> bool:
        """Store a value observed at ``now``; return ``False`` if it is not newer."""
        entry = self._entries.get(key)
        if entry is not None and entry.stamp >= stamp:
            return False
        if entry is not None:
            self._stop_sending(key, entry)
        self._entries[key] = _Entry(stamp, now, value)
        self._waiting.setdefault(0, {})[key] = None
        self._changes += 1
        return True

    def get(self, key: str, now: float, max_age_s: float | None = None) -> Any | None:
        """Return a value that is at most ``max_age_s`` old, or ``None``."""
        entry = self._entries.get(key)
        limit = self._forget_s if max_age_s is None else max_age_s
        if entry is None or now - entry.observed_at > limit:
            return None
        return entry.value

    def items(self, now: float, max_age_s: float | None = None) -> Iterator[Any]:
        """Yield (key, value) of all entries that are at most ``max_age_s`` old."""
        limit = self._forget_s if max_age_s is None else max_age_s
        for key, entry in self._entries.items():
            if now - entry.observed_at <= limit:
                yield key, entry.value

    def epoch(self, key: str) -> int:
        """Return the epoch of an entry's stamp, or 0 without an entry."""
        entry = self._entries.get(key)
        return entry.stamp[0] if entry else 0

    def send_again(self) -> None:
        """Pass all entries on a few times more, for a node that has just started."""
        self._waiting = {}
        for key, entry in self._entries.items():
            entry.sends = min(entry.sends, self._max_sends // 2)
            self._waiting.setdefault(entry.sends, {})[key] = None

    def publish(self, now: float) -> bytes:
        """Return the entries for the next message, least often sent first."""
        self._sweep(now)
        if self._allowed_at is not None:
            self._allowance += (now - self._allowed_at) * self._bytes_per_s
            self._allowance = min(self._allowance, _BURST_BYTES)
        self._allowed_at = now
        parts: list[bytes] = []
        sent: list[str] = []
        for sends in sorted(self._waiting):
            keys = self._waiting[sends]
            while keys and self._allowance > 0:
                # The newest first: older ones are known to more nodes.
                key, _ = keys.popitem()
                entry = self._entries[key]
                age = round(max(0.0, now - entry.observed_at), 2)
                value = self._to_json(entry.value)
                parts.append(orjson.dumps([key, *entry.stamp, age, value]))
                sent.append(key)
                self._allowance -= len(parts[-1]) + 1
            if not keys:
                del self._waiting[sends]
        # Only now, so that a message has no entry twice.
        for key in sent:
            entry = self._entries[key]
            entry.sends += 1
            if entry.sends < self._max_sends:
                self._waiting.setdefault(entry.sends, {})[key] = None
        return b"[" + b",".join(parts) + b"]" if parts else b""

    def _sweep(self, now: float) -> None:
        """Drop old entries, a few times in the time after which they are old."""
        if now - self._swept_at < self._forget_s / 20:
            return
        self._swept_at = now
        old = [
            item
            for item in self._entries.items()
            if now - item[1].observed_at > self._forget_s
        ]
        for key, entry in old:
            self._stop_sending(key, entry)
            del self._entries[key]

    def _stop_sending(self, key: str, entry: _Entry) -> None:
        self._waiting.get(entry.sends, {}).pop(key, None)

    def receive(self, data: bytes, now: float) -> list[str]:
        """Take in another node's entries; return the keys that are news here.

        The ages leave out the time on the network, which is small against them.
        Raises ``ValueError`` if ``data`` is not a list of entries.
        """
        if not data:
            return []
        return [
            key
            for key, epoch, counter, age, value in orjson.loads(data)
            if age <= self._forget_s
            and self.put(key, (epoch, counter), self._from_json(value), now - age)
        ]
