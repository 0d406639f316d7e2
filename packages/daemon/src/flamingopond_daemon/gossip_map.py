"""Soft state that nodes replicate to each other by gossip."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

import attrs
import orjson

# Largest burst, for example after all models were placed at once.
_BURST_BYTES = 8000


@attrs.define
class _Entry:
    stamp: tuple[int, int]
    observed_at: float
    value: Any
    sends: int = 0


class GossipMap:
    """Map of values with version stamps (epoch, counter); the highest stamp wins.

    Each node sends an entry ``max_sends`` times, including entries of other nodes
    (epidemic broadcast). It sends at most ``bytes_per_s`` on average, the least
    often sent entries first.
    """

    def __init__(
        self,
        retention_s: float,
        to_json: Callable[[Any], Any] = lambda value: value,
        from_json: Callable[[Any], Any] = lambda value: value,
        *,
        max_sends: int = 8,
        bytes_per_s: float = 2000.0,
    ) -> None:
        """Drop entries that were observed more than ``retention_s`` seconds ago.

        ``to_json`` and ``from_json`` convert values to and from JSON values.
        """
        self._retention_s = retention_s
        self._to_json = to_json
        self._from_json = from_json
        self._max_sends = max_sends
        self._bytes_per_s = bytes_per_s
        self._byte_budget = float(_BURST_BYTES)
        self._budget_updated_at: float | None = None
        self._change_count = 0
        self._entries: dict[str, _Entry] = {}
        # Keys still to be sent, by how often they were sent. Sorting all entries for
        # each message took 5 ms with 12,000 of them.
        self._unsent: dict[int, dict[str, None]] = {}
        self._last_expiry_at = -math.inf

    @property
    def retention_s(self) -> float:
        """Age in seconds above which an entry is dropped."""
        return self._retention_s

    @retention_s.setter
    def retention_s(self, value: float) -> None:
        self._retention_s = value

    @property
    def change_count(self) -> int:
        """Number of values stored since the start."""
        return self._change_count

    def put(self, key: str, stamp: tuple[int, int], value: Any, now: float) -> bool:
        """Store a value observed at ``now``; return ``False`` if it is not newer."""
        entry = self._entries.get(key)
        if entry is not None and entry.stamp >= stamp:
            return False
        if entry is not None:
            self._remove_unsent(key, entry)
        self._entries[key] = _Entry(stamp, now, value)
        self._unsent.setdefault(0, {})[key] = None
        self._change_count += 1
        return True

    def get(self, key: str, now: float, max_age_s: float | None = None) -> Any | None:
        """Return a value that is at most ``max_age_s`` old, or ``None``."""
        entry = self._entries.get(key)
        limit_s = self._retention_s if max_age_s is None else max_age_s
        if entry is None or now - entry.observed_at > limit_s:
            return None
        return entry.value

    def items(self, now: float, max_age_s: float | None = None) -> Iterator[Any]:
        """Yield ``(key, value)`` of all entries at most ``max_age_s`` old."""
        limit_s = self._retention_s if max_age_s is None else max_age_s
        for key, entry in self._entries.items():
            if now - entry.observed_at <= limit_s:
                yield key, entry.value

    def epoch(self, key: str) -> int:
        """Return the epoch in the stamp of an entry, or 0 if there is none."""
        entry = self._entries.get(key)
        return entry.stamp[0] if entry else 0

    def resend_all(self) -> None:
        """Send all entries a few more times, for a node that has just started."""
        self._unsent = {}
        for key, entry in self._entries.items():
            entry.sends = min(entry.sends, self._max_sends // 2)
            self._unsent.setdefault(entry.sends, {})[key] = None

    def publish(self, now: float) -> bytes:
        """Return the entries for the next message, least often sent first."""
        self._drop_expired(now)
        if self._budget_updated_at is not None:
            self._byte_budget += (now - self._budget_updated_at) * self._bytes_per_s
            self._byte_budget = min(self._byte_budget, _BURST_BYTES)
        self._budget_updated_at = now
        parts: list[bytes] = []
        sent: list[str] = []
        for sends in sorted(self._unsent):
            keys = self._unsent[sends]
            while keys and self._byte_budget > 0:
                # Newest first: older ones have reached more nodes.
                key, _ = keys.popitem()
                entry = self._entries[key]
                age_s = round(max(0.0, now - entry.observed_at), 2)
                value = self._to_json(entry.value)
                parts.append(orjson.dumps([key, *entry.stamp, age_s, value]))
                sent.append(key)
                self._byte_budget -= len(parts[-1]) + 1
            if not keys:
                del self._unsent[sends]
        # Queued again only now, so that no message contains an entry twice.
        for key in sent:
            entry = self._entries[key]
            entry.sends += 1
            if entry.sends < self._max_sends:
                self._unsent.setdefault(entry.sends, {})[key] = None
        return b"[" + b",".join(parts) + b"]" if parts else b""

    def _drop_expired(self, now: float) -> None:
        """Drop expired entries, at most 20 times per ``retention_s``."""
        if now - self._last_expiry_at < self._retention_s / 20:
            return
        self._last_expiry_at = now
        expired = [
            item
            for item in self._entries.items()
            if now - item[1].observed_at > self._retention_s
        ]
        for key, entry in expired:
            self._remove_unsent(key, entry)
            del self._entries[key]

    def _remove_unsent(self, key: str, entry: _Entry) -> None:
        self._unsent.get(entry.sends, {}).pop(key, None)

    def receive(self, data: bytes, now: float) -> list[str]:
        """Merge another node's entries; return the keys whose value is newer.

        Ages do not include the network delay, which is small compared to them.
        Raises ``ValueError`` if ``data`` is not a list of entries.
        """
        if not data:
            return []
        return [
            key
            for key, epoch, counter, age_s, value in orjson.loads(data)
            if age_s <= self._retention_s
            and self.put(key, (epoch, counter), self._from_json(value), now - age_s)
        ]
