"""Buckets of the workspaces whose shards this node owns."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import attrs
import orjson

from flamingopond_core.bucket import Bucket
from flamingopond_core.grants import HOLD_LIMIT_S, Holding, Settlement
from flamingopond_core.objects import Contract


@attrs.define
class _Shard:
    epoch: int
    acquired_at: float
    silent: set[str]
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    states: dict[str, Any] = attrs.field(factory=dict)
    answers: dict[str, tuple[Holding, ...]] = attrs.field(factory=dict)


class OwnedBuckets:
    """Buckets by shard, built when they are first asked for."""

    def __init__(
        self,
        contracts: Callable[[], Mapping[str, Contract]],
        shard_of: Callable[[str], int],
        max_wait: float,
    ) -> None:
        """``shard_of`` maps a workspace; ``max_wait`` is in seconds."""
        self._contracts = contracts
        self._shard_of = shard_of
        self._max_wait = max_wait
        self._shards: dict[int, _Shard] = {}

    def acquire(
        self,
        shard: int,
        epoch: int,
        state: bytes | None,
        members: Iterable[str],
        now: float,
    ) -> None:
        """Start to own ``shard``, with the former owner's state if there is one.

        Without it, all ``members`` are asked for what they hold.
        """
        if state:
            data = orjson.loads(state)
            self._shards[shard] = _Shard(
                epoch, now, set(data["silent"]), states=data["buckets"]
            )
        else:
            self._shards[shard] = _Shard(epoch, now, set(members))

    def release(self, shard: int, now: float) -> bytes:
        """Stop owning ``shard`` and return its state for the next owner."""
        owned = self._shards.pop(shard, None)
        if owned is None:
            return b""
        states = owned.states | {
            name: bucket.to_state(now) for name, bucket in owned.buckets.items()
        }
        return orjson.dumps({"silent": sorted(owned.silent), "buckets": states})

    def find(self, workspace: str, epoch: int, now: float) -> Bucket | None:
        """Return the bucket of a workspace, or ``None`` if it is not owned here."""
        shard = self._shards.get(self._shard_of(workspace))
        contract = self._contracts().get(workspace)
        if shard is None or shard.epoch != epoch or contract is None:
            return None
        rate, burst = contract.rate, int(contract.burst)
        bucket = shard.buckets.get(workspace)
        if bucket is not None:
            bucket.configure(rate, burst, now)
            return bucket
        state = shard.states.pop(workspace, None)
        if state is not None:
            bucket = Bucket.from_state(
                state, workspace, rate, burst, epoch, now, self._max_wait
            )
        else:
            members = shard.silent | shard.answers.keys()
            bucket = Bucket(
                workspace,
                rate,
                burst,
                epoch,
                shard.acquired_at,
                members,
                self._max_wait,
            )
        for node, holdings in shard.answers.items():
            bucket.register_holdings(node, holdings, now)
        shard.buckets[workspace] = bucket
        return bucket

    def settle(self, node: str, settlement: Settlement, epoch: int, now: float) -> None:
        """Apply a settlement to the workspace's bucket, if it is owned here."""
        bucket = self.find(settlement.workspace, epoch, now)
        if bucket is not None:
            bucket.settle(node, settlement, now)

    def unanswered(self, now: float) -> dict[str, list[int]]:
        """Return the shards of which each member has yet to report its holdings."""
        wanted: dict[str, list[int]] = {}
        for number, shard in self._shards.items():
            if now > shard.acquired_at + HOLD_LIMIT_S:
                # No request that began under the former owner is still open.
                shard.silent.clear()
            for member in shard.silent:
                wanted.setdefault(member, []).append(number)
        return wanted

    def holders(self) -> set[str]:
        """Return the nodes with unsettled grants of owned buckets."""
        owned = (b for shard in self._shards.values() for b in shard.buckets.values())
        return {node for bucket in owned for node in bucket.holders()}

    def forget(self, node: str, now: float, before: float) -> None:
        """Count as spent what a process held that ended by ``before``."""
        for shard in self._shards.values():
            shard.silent.discard(node)
            for bucket in shard.buckets.values():
                bucket.write_off(node, now, before)

    def answer(
        self,
        member: str,
        shards: Iterable[int],
        holdings: Iterable[Holding],
        now: float,
    ) -> None:
        """Register what ``member`` holds of ``shards``."""
        by_shard: dict[int, list[Holding]] = {}
        for holding in holdings:
            number = self._shard_of(holding.workspace)
            by_shard.setdefault(number, []).append(holding)
        for number in shards:
            shard = self._shards.get(number)
            if shard is None or member not in shard.silent:
                continue
            shard.silent.discard(member)
            held = tuple(by_shard.get(number, ()))
            shard.answers[member] = held
            for bucket in shard.buckets.values():
                bucket.register_holdings(member, held, now)
