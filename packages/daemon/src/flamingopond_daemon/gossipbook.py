"""Soft state that nodes pass on to each other in gossip messages."""

from __future__ import annotations

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

    @property
    def changes(self) -> int:
        """Number of values stored so far."""
        return self._changes

    def put(self, key: str, stamp: tuple[int, int], value: Any, now: float) -> bool:
        """Store a value observed at ``now``; return ``False`` if it is not newer."""
        entry = self._entries.get(key)
        if entry is not None and entry.stamp >= stamp:
            return False
        self._entries[key] = _Entry(stamp, now, value)
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
        for entry in self._entries.values():
            entry.sends = min(entry.sends, self._max_sends // 2)

    def publish(self, now: float) -> bytes:
        """Return the entries for the next message, least often sent first."""
        old = [
            k for k, e in self._entries.items() if now - e.observed_at > self._forget_s
        ]
        for key in old:
            del self._entries[key]
        if self._allowed_at is not None:
            self._allowance += (now - self._allowed_at) * self._bytes_per_s
            self._allowance = min(self._allowance, _BURST_BYTES)
        self._allowed_at = now
        due = [
            item for item in self._entries.items() if item[1].sends < self._max_sends
        ]
        due.sort(key=lambda item: (item[1].sends, -item[1].observed_at))
        parts: list[bytes] = []
        for key, entry in due:
            if self._allowance <= 0:
                break
            age = round(max(0.0, now - entry.observed_at), 2)
            value = self._to_json(entry.value)
            parts.append(orjson.dumps([key, *entry.stamp, age, value]))
            entry.sends += 1
            self._allowance -= len(parts[-1]) + 1
        return b"[" + b",".join(parts) + b"]" if parts else b""

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
