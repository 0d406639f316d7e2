"""Token buckets of the workspaces whose shards this node owns."""

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
    unreported_members: set[str]
    buckets: dict[str, Bucket] = attrs.field(factory=dict)
    bucket_states: dict[str, Any] = attrs.field(factory=dict)
    reported_holdings: dict[str, tuple[Holding, ...]] = attrs.field(factory=dict)


class OwnedBuckets:
    """Buckets by shard, created on first use."""

    def __init__(
        self,
        contracts: Callable[[], Mapping[str, Contract]],
        shard_of: Callable[[str], int],
        max_wait_s: float,
    ) -> None:
        """Start without shards.

        ``shard_of`` maps a workspace to its shard. ``max_wait_s`` is the longest
        estimated wait for which a waiting node keeps its turn at a bucket.
        """
        self._contracts = contracts
        self._shard_of = shard_of
        self._max_wait_s = max_wait_s
        self._shards: dict[int, _Shard] = {}

    def acquire(
        self,
        shard: int,
        epoch: int,
        state: bytes | None,
        members: Iterable[str],
        now: float,
    ) -> None:
        """Start to own ``shard``, with the state of the former owner if there is one.

        Without it, all ``members`` must report their holdings.
        """
        if state:
            data = orjson.loads(state)
            self._shards[shard] = _Shard(
                epoch, now, set(data["silent"]), bucket_states=data["buckets"]
            )
        else:
            self._shards[shard] = _Shard(epoch, now, set(members))

    def release(self, shard: int, now: float) -> bytes:
        """Stop owning ``shard`` and return its state for the next owner."""
        owned = self._shards.pop(shard, None)
        if owned is None:
            return b""
        bucket_states = owned.bucket_states | {
            name: bucket.to_state(now) for name, bucket in owned.buckets.items()
        }
        return orjson.dumps(
            {"silent": sorted(owned.unreported_members), "buckets": bucket_states}
        )

    def find(self, workspace: str, epoch: int, now: float) -> Bucket | None:
        """Return the bucket of a workspace, or ``None`` if another node owns it."""
        shard = self._shards.get(self._shard_of(workspace))
        contract = self._contracts().get(workspace)
        if shard is None or shard.epoch != epoch or contract is None:
            return None
        rate, burst = contract.rate, int(contract.burst)
        bucket = shard.buckets.get(workspace)
        if bucket is not None:
            bucket.configure(rate, burst, now)
            return bucket
        state = shard.bucket_states.pop(workspace, None)
        if state is not None:
            bucket = Bucket.from_state(
                state, workspace, rate, burst, epoch, now, self._max_wait_s
            )
        else:
            members = shard.unreported_members | shard.reported_holdings.keys()
            bucket = Bucket(
                workspace,
                rate,
                burst,
                epoch,
                shard.acquired_at,
                members,
                self._max_wait_s,
            )
        for node, holdings in shard.reported_holdings.items():
            bucket.register_holdings(node, holdings, now)
        shard.buckets[workspace] = bucket
        return bucket

    def settle(self, node: str, settlement: Settlement, epoch: int, now: float) -> None:
        """Apply a settlement to the workspace's bucket if this node owns it."""
        bucket = self.find(settlement.workspace, epoch, now)
        if bucket is not None:
            bucket.settle(node, settlement, now)

    def unreported_shards(self, now: float) -> dict[str, list[int]]:
        """Return the shards for which each member has yet to report its holdings."""
        by_member: dict[str, list[int]] = {}
        for shard_id, shard in self._shards.items():
            if now > shard.acquired_at + HOLD_LIMIT_S:
                # All requests with grants of the former owner have ended.
                shard.unreported_members.clear()
            for member in shard.unreported_members:
                by_member.setdefault(member, []).append(shard_id)
        return by_member

    def holders(self) -> set[str]:
        """Return the nodes with unsettled grants from the owned buckets."""
        owned = (b for shard in self._shards.values() for b in shard.buckets.values())
        return {node for bucket in owned for node in bucket.holders()}

    def write_off(self, node: str, now: float, before: float) -> None:
        """Count the tokens of a node's process that ended by ``before`` as spent."""
        for shard in self._shards.values():
            shard.unreported_members.discard(node)
            for bucket in shard.buckets.values():
                bucket.write_off(node, now, before)

    def register_holdings(
        self,
        member: str,
        shards: Iterable[int],
        holdings: Iterable[Holding],
        now: float,
    ) -> None:
        """Register the holdings that ``member`` reports for ``shards``."""
        by_shard: dict[int, list[Holding]] = {}
        for holding in holdings:
            shard_id = self._shard_of(holding.workspace)
            by_shard.setdefault(shard_id, []).append(holding)
        for shard_id in shards:
            shard = self._shards.get(shard_id)
            if shard is None or member not in shard.unreported_members:
                continue
            shard.unreported_members.discard(member)
            reported = tuple(by_shard.get(shard_id, ()))
            shard.reported_holdings[member] = reported
            for bucket in shard.buckets.values():
                bucket.register_holdings(member, reported, now)
