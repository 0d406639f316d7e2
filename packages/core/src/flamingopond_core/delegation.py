"""Shards that a leaving owner delegates to peers during an outage of the store."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import orjson

from flamingopond_core.lease_rules import HolderAuthority
from flamingopond_core.membership import GossipState

# Gossip rounds in which a node sends an entry after learning it. Relayed entries
# reach all of 400 members in about 10 rounds; later rounds would only cost bytes.
SEND_ROUNDS = 30


@attrs.frozen
class Delegation:
    """A delegated shard; ``owner`` and ``incarnation`` are those of its table row.

    ``hops`` counts how often the shard was delegated at this epoch.
    """

    shard: int
    epoch: int
    owner: str
    incarnation: int
    hops: int


@attrs.frozen
class Transfer:
    """Shards delegated under one lease, and the state of the lease at that time.

    ``lease_age_s`` is the time since the lease ended, and ``remaining_s`` the time
    that was left of the previous holder's authority, both in seconds.
    """

    lease_age_s: float
    remaining_s: float
    roster_version: int
    shards: tuple[Delegation, ...]


class Delegations:
    """Shards delegated to this node and by this node.

    A process delegates a shard at most once per epoch, whether the reply arrives
    or not, so that at most one process can hold it.
    """

    def __init__(self) -> None:
        """Start without shards."""
        self._held: dict[int, tuple[Delegation, HolderAuthority]] = {}
        self._delegated: dict[int, int] = {}

    @property
    def held(self) -> dict[int, Delegation]:
        """Shards delegated to this node."""
        return {shard: found[0] for shard, found in self._held.items()}

    @property
    def any_delegated(self) -> bool:
        """Whether this process has delegated any shard."""
        return bool(self._delegated)

    def was_delegated(self, shard: int, epoch: int) -> bool:
        """Tell whether this process has delegated the shard at ``epoch`` or later."""
        return self._delegated.get(shard, -1) >= epoch

    def authority(self, shard: int) -> HolderAuthority | None:
        """Return the authority under which this node acts for the shard."""
        found = self._held.get(shard)
        return None if found is None else found[1]

    def extend(self, gossip: GossipState, now: float) -> None:
        """Extend the authority under each lease where the majority allows it."""
        for authority in {id(a): a for _, a in self._held.values()}.values():
            authority.extend(gossip, now)

    def accept(self, transfer: Transfer, requested_at: float) -> None:
        """Hold the shards in the reply to a request sent at ``requested_at``.

        Times are taken relative to the request, so a delayed reply only makes them
        earlier.
        """
        authority = HolderAuthority(
            requested_at - transfer.lease_age_s,
            requested_at + transfer.remaining_s,
            transfer.roster_version,
            delegated=True,
        )
        for delegation in transfer.shards:
            known = self._held.get(delegation.shard)
            if not self.was_delegated(delegation.shard, delegation.epoch) and (
                known is None or known[0].epoch < delegation.epoch
            ):
                self._held[delegation.shard] = (delegation, authority)

    def delegate(
        self, shards: Iterable[tuple[Delegation, HolderAuthority]], now: float
    ) -> tuple[Transfer, ...]:
        """Give up ``shards`` for good and return what the next holder needs."""
        by_authority: dict[int, tuple[HolderAuthority, list[Delegation]]] = {}
        for delegation, authority in shards:
            self._delegated[delegation.shard] = delegation.epoch
            self._held.pop(delegation.shard, None)
            by_authority.setdefault(id(authority), (authority, []))[1].append(
                attrs.evolve(delegation, hops=delegation.hops + 1)
            )
        return tuple(
            Transfer(
                now - authority.lease_end,
                authority.until - now,
                authority.roster_version,
                tuple(delegations),
            )
            for authority, delegations in by_authority.values()
        )

    def drop(self, shard: int) -> None:
        """Discard a delegated shard, for example once the table shows a new owner."""
        self._held.pop(shard, None)


@attrs.define
class _Entry:
    epoch: int
    hops: int
    name: str
    rounds_left: int


class DelegateIndex:
    """Delegate of each delegated shard, as learned by gossip.

    It is used only to route requests; a member that does not hold the shard
    refuses them.
    """

    def __init__(self) -> None:
        """Start without delegates."""
        self._entries: dict[int, _Entry] = {}

    def find(self, shard: int) -> tuple[str, int] | None:
        """Return the name and epoch of the shard's newest known delegate."""
        entry = self._entries.get(shard)
        return None if entry is None else (entry.name, entry.epoch)

    def learn(self, shard: int, epoch: int, hops: int, name: str) -> None:
        """Record a delegate, unless a newer one is known."""
        known = self._entries.get(shard)
        if known is None or (known.epoch, known.hops) < (epoch, hops):
            self._entries[shard] = _Entry(epoch, hops, name, SEND_ROUNDS)

    def next_round(self) -> None:
        """Count one round of gossip."""
        for entry in self._entries.values():
            entry.rounds_left -= 1

    def to_bytes(self) -> bytes:
        """Return the recently learned entries as JSON; empty if there are none."""
        recent = [
            [shard, entry.epoch, entry.hops, entry.name]
            for shard, entry in self._entries.items()
            if entry.rounds_left > 0
        ]
        return orjson.dumps(recent) if recent else b""

    def merge(self, body: bytes) -> None:
        """Merge the entries sent by a peer."""
        for shard, epoch, hops, name in orjson.loads(body):
            self.learn(shard, epoch, hops, name)
