"""Shards that this node has taken over, and the state that moves with them."""

from __future__ import annotations

import base64
from collections.abc import Callable, Iterable, Mapping

import orjson

from flamingopond_core.records import ShardRow

AcquireCallback = Callable[[int, int, bytes | None], None]
ReleaseCallback = Callable[[int], bytes]

# A new owner waits this long for the state that the old one sends.
STATE_WAIT_S = 1.0
# States of shards that went elsewhere are dropped after this time.
STATE_KEPT_S = 30.0


class Holdings:
    """Follows the shards held by the table and calls back on each change.

    The n-th release callback returns the state that the n-th acquire callback of
    the next owner gets, so all nodes must register them in the same order.
    """

    def __init__(self, name: str) -> None:
        """Start without shards; ``name`` is this node's name."""
        self._name = name
        self._acquire: list[AcquireCallback] = []
        self._release: list[ReleaseCallback] = []
        self._acquired: dict[int, int] = {}
        self._states: dict[tuple[int, int], tuple[float, bytes | None]] = {}

    def on_acquire(self, callback: AcquireCallback) -> None:
        """Call ``callback(shard, epoch, state)`` for each shard acquired."""
        self._acquire.append(callback)

    def on_release(self, callback: ReleaseCallback) -> None:
        """Call ``callback(shard)`` for each shard given up."""
        self._release.append(callback)

    def epoch(self, shard: int) -> int | None:
        """Return the epoch at which the callbacks acquired the shard."""
        return self._acquired.get(shard)

    def give_up(self, shards: Iterable[int], now: float) -> None:
        """Release ``shards`` and keep their state for the next owner."""
        for shard in shards:
            epoch = self._acquired.pop(shard, None)
            if epoch is not None:
                self._states[shard, epoch] = (now, self._pack(shard))

    def _pack(self, shard: int) -> bytes:
        states = [release(shard) for release in self._release]
        return orjson.dumps([base64.b64encode(s).decode() for s in states])

    def take_state(self, shard: int, epoch: int) -> bytes | None:
        """Return and drop the state that was kept for the next owner."""
        return self._states.pop((shard, epoch), (0.0, None))[1]

    def receive(self, shard: int, epoch: int, state: bytes, now: float) -> bool:
        """Store state that the old owner sent; ``False`` if it comes too late."""
        if self._acquired.get(shard, 0) >= epoch:
            return False
        self._states[shard, epoch] = (now, state)
        return True

    def update(
        self,
        held: Mapping[int, int],
        row_of: Callable[[int], ShardRow | None],
        now: float,
    ) -> list[tuple[int, int]]:
        """Follow the epochs of the shards ``held``; return the shards lost."""
        lost = [(s, e) for s, e in self._acquired.items() if held.get(s) != e]
        for shard, epoch in lost:
            del self._acquired[shard]
            state = self._pack(shard)
            # Nobody else held the shard between two successive epochs of this
            # node, for example when a delegate claims it.
            if held.get(shard) == epoch + 1:
                self._states[shard, epoch + 1] = (now, state)
        for shard, epoch in held.items():
            if shard not in self._acquired:
                self._try_acquire(shard, epoch, row_of(shard), now)
        limit = now - STATE_KEPT_S
        for key in [k for k, (at, _) in self._states.items() if at < limit]:
            del self._states[key]
        return lost

    def _try_acquire(
        self, shard: int, epoch: int, row: ShardRow | None, now: float
    ) -> None:
        handed_over = row is not None and row.source not in ("", self._name)
        default = (now + STATE_WAIT_S if handed_over else now, None)
        ready_at, packed = self._states.setdefault((shard, epoch), default)
        if packed is None and now < ready_at:
            return
        del self._states[shard, epoch]
        self._acquired[shard] = epoch
        states = [] if packed is None else orjson.loads(packed)
        for index, acquire in enumerate(self._acquire):
            state = base64.b64decode(states[index]) if index < len(states) else None
            acquire(shard, epoch, state)
