"""Shards that this node has acquired, and the state handed over with them."""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterable, Mapping

import orjson

from flamingopond_core.records import ShardRow

AcquireCallback = Callable[[int, int, bytes | None], None]
ReleaseCallback = Callable[[int], bytes]

# Time for which a new owner waits for the state from the former one.
STATE_WAIT_S = 1.0
# Time after which the kept state of a shard that another node owns is dropped.
STATE_RETENTION_S = 30.0


class ShardHandover:
    """Calls back when this node acquires or releases a shard.

    The next owner passes the state that the n-th release callback returned to its
    n-th acquire callback, so all nodes must register them in the same order.
    """

    def __init__(self, name: str) -> None:
        """Start without shards; ``name`` is this node's name."""
        self._name = name
        self._acquire_callbacks: list[AcquireCallback] = []
        self._release_callbacks: list[ReleaseCallback] = []
        self._acquired: dict[int, int] = {}
        self._kept_states: dict[tuple[int, int], tuple[float, bytes | None]] = {}

    def on_acquire(self, callback: AcquireCallback) -> None:
        """Call ``callback(shard, epoch, state)`` for each shard acquired."""
        self._acquire_callbacks.append(callback)

    def on_release(self, callback: ReleaseCallback) -> None:
        """Call ``callback(shard)`` for each shard released; it returns the state."""
        self._release_callbacks.append(callback)

    def acquired_epoch(self, shard: int) -> int | None:
        """Return the epoch with which the shard was acquired, if it was."""
        return self._acquired.get(shard)

    def release(self, shards: Iterable[int], now: float) -> None:
        """Release ``shards`` and keep their state for the next owner."""
        for shard in shards:
            epoch = self._acquired.pop(shard, None)
            if epoch is not None:
                self._kept_states[shard, epoch] = (now, self._collect_state(shard))

    def _collect_state(self, shard: int) -> bytes:
        states = [callback(shard) for callback in self._release_callbacks]
        return orjson.dumps([base64.b64encode(s).decode() for s in states])

    def pop_state(self, shard: int, epoch: int) -> bytes | None:
        """Remove and return the state that was kept for the next owner."""
        return self._kept_states.pop((shard, epoch), (0.0, None))[1]

    def store_state(self, shard: int, epoch: int, state: bytes, now: float) -> bool:
        """Store state from the former owner; return ``False`` if it is too late."""
        if self._acquired.get(shard, 0) >= epoch:
            return False
        self._kept_states[shard, epoch] = (now, state)
        return True

    def apply_held(
        self,
        held: Mapping[int, int],
        row_of: Callable[[int], ShardRow | None],
        now: float,
    ) -> list[tuple[int, int]]:
        """Acquire and release shards to match ``held`` (epoch by shard).

        Return the shards lost, with their epochs.
        """
        lost = [(s, e) for s, e in self._acquired.items() if held.get(s) != e]
        for shard, epoch in lost:
            del self._acquired[shard]
            state = self._collect_state(shard)
            # No other node held the shard between two consecutive epochs of this
            # node, as when a delegate claims the shard.
            if held.get(shard) == epoch + 1:
                self._kept_states[shard, epoch + 1] = (now, state)
        for shard, epoch in held.items():
            if shard not in self._acquired:
                self._try_acquire(shard, epoch, row_of(shard), now)
        oldest_kept = now - STATE_RETENTION_S
        for key in [
            k for k, (kept_at, _) in self._kept_states.items() if kept_at < oldest_kept
        ]:
            del self._kept_states[key]
        return lost

    def _try_acquire(
        self, shard: int, epoch: int, row: ShardRow | None, now: float
    ) -> None:
        expects_state = row is not None and row.source not in ("", self._name)
        initial = (now + STATE_WAIT_S if expects_state else now, None)
        ready_at, packed = self._kept_states.setdefault((shard, epoch), initial)
        if packed is None and now < ready_at:
            return
        del self._kept_states[shard, epoch]
        self._acquired[shard] = epoch
        states = [] if packed is None else orjson.loads(packed)
        for index, acquire in enumerate(self._acquire_callbacks):
            state = base64.b64decode(states[index]) if index < len(states) else None
            acquire(shard, epoch, state)
