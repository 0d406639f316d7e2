"""Delegation of shards to peers when a node leaves during a store outage."""

from __future__ import annotations

import base64
from collections.abc import Callable, Mapping
from typing import Any, Protocol

import anyio
import attrs
import orjson

from flamingopond_core.delegation import DelegateIndex, Delegation, Transfer
from flamingopond_core.ownership import Ownership
from flamingopond_daemon.peers import PeerUnavailableError
from flamingopond_daemon.shard_handover import ShardHandover


class PeerCalls(Protocol):
    """The part of ``Peers`` that delegation uses."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call ``method`` of ``member``."""


class ShardDelegation:
    """Delegates shards to peers and accepts theirs; the core decides which.

    The delegate requests the shards itself, so that it can count their remaining
    times from a moment on its own clock that is earlier than the reply.
    """

    def __init__(
        self,
        name: str,
        ownership: Ownership,
        shard_handover: ShardHandover,
        peers: PeerCalls,
        clock: Callable[[], float],
        record: Callable[..., None],
        on_change: Callable[[float], None],
    ) -> None:
        """Start without delegates; ``on_change(now)`` is called after taking shards."""
        self._name = name
        self._ownership = ownership
        self._shard_handover = shard_handover
        self._peers = peers
        self._clock = clock
        self._record = record
        self._on_change = on_change
        self.index = DelegateIndex()

    async def delegate_all(self, retry_delay_s: float) -> None:
        """Offer shards to one member after another until the node has left."""
        while not self._ownership.has_left:
            name = self._ownership.next_delegate(self._clock())
            if name is None:
                await anyio.sleep(retry_delay_s)
                continue
            try:
                reply = await self._peers.call(name, "offerShards", node=self._name)
            except PeerUnavailableError:
                self._ownership.record_declined(name)
                continue
            if not reply["taken"]:
                self._ownership.record_declined(name)

    async def handle_offer(self, params: Mapping[str, Any]) -> dict[str, Any]:
        """Take the shards that a leaving member offers."""
        leaving = params["node"]
        if not self._ownership.accepts_delegations:
            return {"taken": 0}
        requested_at = self._clock()
        reply = await self._peers.call(leaving, "takeShards", node=self._name)
        now = self._clock()
        transfers = []
        taken = []
        for lease_age_s, remaining_s, roster_version, shards in orjson.loads(
            reply["transfers"]
        ):
            delegations = []
            for *fields, state in shards:
                delegation = Delegation(*fields)
                delegations.append(delegation)
                if state is not None:
                    self._shard_handover.store_state(
                        delegation.shard,
                        delegation.epoch,
                        base64.b64decode(state),
                        now,
                    )
            taken.extend(delegations)
            transfers.append(
                Transfer(lease_age_s, remaining_s, roster_version, tuple(delegations))
            )
        self._ownership.accept(transfers, requested_at)
        for d in taken:
            self.index.learn(d.shard, d.epoch, d.hops, self._name)
        if taken:
            self._record(
                "shard.delegated", giver=leaving, shards=[d.shard for d in taken]
            )
            self._on_change(now)
        return {"taken": len(taken)}

    async def handle_take(self, params: Mapping[str, Any]) -> dict[str, Any]:
        """Release the shards delegated to the caller and return them with state."""
        now = self._clock()
        transfers = self._ownership.delegate_to(params["node"], now)
        encoded_transfers = []
        for transfer in transfers:
            shards = []
            for delegation in transfer.shards:
                shard, epoch = delegation.shard, delegation.epoch
                self._shard_handover.release([shard], now)
                state = self._shard_handover.pop_state(shard, epoch)
                encoded_state = (
                    None if state is None else base64.b64encode(state).decode()
                )
                shards.append([*attrs.astuple(delegation), encoded_state])
            encoded_transfers.append(
                [
                    transfer.lease_age_s,
                    transfer.remaining_s,
                    transfer.roster_version,
                    shards,
                ]
            )
        return {"transfers": orjson.dumps(encoded_transfers)}
