"""Soft state that nodes pass on to each other in gossip messages."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any

import attrs
import orjson

# Bytes of one topic in one message. At the design size a node takes part in about
# four messages a second each way; three topics then stay near 21 KB/s in all.
MESSAGE_BYTES = 1500


@attrs.define
class _Entry:
    stamp: tuple[int, int]
    observed_at: float
    value: Any
    sends: int = 0


class GossipBook:
    """Values by key, each with a stamp (epoch, counter); the highest stamp wins.

    Entries are passed on by every node that has them, newest first, as many as a
    message holds.
    """

    def __init__(
        self,
        forget_s: float,
        to_json: Callable[[Any], Any] = lambda value: value,
        from_json: Callable[[Any], Any] = lambda value: value,
        message_bytes: int = MESSAGE_BYTES,
    ) -> None:
        """Drop entries that were observed more than ``forget_s`` seconds ago.

        ``to_json`` and ``from_json`` translate values for messages.
        """
        self._forget_s = forget_s
        self._to_json = to_json
        self._from_json = from_json
        self._message_bytes = message_bytes
        self._entries: dict[str, _Entry] = {}

    def put(self, key: str, stamp: tuple[int, int], value: Any, now: float) -> bool:
        """Store a value observed at ``now``; return ``False`` if it is not newer."""
        entry = self._entries.get(key)
        if entry is not None and entry.stamp >= stamp:
            return False
        self._entries[key] = _Entry(stamp, now, value)
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

    def publish(self, now: float) -> bytes:
        """Return the entries for the next message, least often sent first."""
        old = [
            k for k, e in self._entries.items() if now - e.observed_at > self._forget_s
        ]
        for key in old:
            del self._entries[key]
        order = sorted(
            self._entries.items(),
            key=lambda item: (item[1].sends, -item[1].observed_at),
        )
        parts: list[bytes] = []
        size = 2
        for key, entry in order:
            age = round(max(0.0, now - entry.observed_at), 2)
            part = orjson.dumps([key, *entry.stamp, age, self._to_json(entry.value)])
            if parts and size + len(part) + 1 > self._message_bytes:
                break
            entry.sends += 1
            size += len(part) + 1
            parts.append(part)
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
