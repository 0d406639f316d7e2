"""Shards that a leaving holder passes on while the store is away from all."""

from __future__ import annotations

from collections.abc import Iterable

import attrs
import orjson

from flamingopond_core.membership import GossipState
from flamingopond_core.reachability import HolderAuthority

# Rounds for which a node repeats news of a delegate. Relayed news reaches all of
# 400 members in about 10 rounds; later it would only cost bytes.
RUMOUR_ROUNDS = 30


@attrs.frozen
class Delegation:
    """One shard; ``owner`` and ``incarnation`` are those of its table row.

    ``hops`` counts how often the shard was passed on at this epoch.
    """

    shard: int
    epoch: int
    owner: str
    incarnation: int
    hops: int


@attrs.frozen
class Transfer:
    """Shards under one lease, with its state at the moment of the answer.

    ``lease_age`` is the time since the lease ended, and ``remaining`` how long
    the giver's authority would still have lasted, both in seconds.
    """

    lease_age: float
    remaining: float
    roster_version: int
    shards: tuple[Delegation, ...]


class Delegations:
    """Delegated shards of this node, and those that it passed on.

    A shard at one epoch is passed on at most once by a process, whether the
    answer arrives or not, so that at most one process can hold it.
    """

    def __init__(self) -> None:
        """Start without shards."""
        self._held: dict[int, tuple[Delegation, HolderAuthority]] = {}
        self._given: dict[int, int] = {}

    @property
    def held(self) -> dict[int, Delegation]:
        """Shards delegated to this node."""
        return {shard: found[0] for shard, found in self._held.items()}

    @property
    def given(self) -> bool:
        """Whether this process has passed on any shard."""
        return bool(self._given)

    def was_given(self, shard: int, epoch: int) -> bool:
        """Tell whether this process has passed on the shard at this epoch."""
        return self._given.get(shard, -1) >= epoch

    def authority(self, shard: int) -> HolderAuthority | None:
        """Return the authority under which this node acts for the shard."""
        found = self._held.get(shard)
        return None if found is None else found[1]

    def extend(self, gossip: GossipState, now: float) -> None:
        """Apply rule O to each lease."""
        for authority in {id(a): a for _, a in self._held.values()}.values():
            authority.extend(gossip, now)

    def accept(self, transfer: Transfer, asked_at: float) -> None:
        """Hold the shards of an answer that was asked for at ``asked_at``.

        Times count from the asking, so a delay only makes them earlier.
        """
        authority = HolderAuthority(
            asked_at - transfer.lease_age,
            asked_at + transfer.remaining,
            transfer.roster_version,
            delegated=True,
        )
        for delegation in transfer.shards:
            known = self._held.get(delegation.shard)
            if not self.was_given(delegation.shard, delegation.epoch) and (
                known is None or known[0].epoch < delegation.epoch
            ):
                self._held[delegation.shard] = (delegation, authority)

    def give(
        self, shards: Iterable[tuple[Delegation, HolderAuthority]], now: float
    ) -> tuple[Transfer, ...]:
        """Pass on ``shards`` for good, and return what the next holder needs."""
        grouped: dict[int, tuple[HolderAuthority, list[Delegation]]] = {}
        for delegation, authority in shards:
            self._given[delegation.shard] = delegation.epoch
            self._held.pop(delegation.shard, None)
            grouped.setdefault(id(authority), (authority, []))[1].append(
                attrs.evolve(delegation, hops=delegation.hops + 1)
            )
        return tuple(
            Transfer(
                now - authority.lease_end,
                authority.until - now,
                authority.roster_version,
                tuple(passed),
            )
            for authority, passed in grouped.values()
        )

    def drop(self, shard: int) -> None:
        """Forget a delegated shard, for example once the table shows a new owner."""
        self._held.pop(shard, None)


@attrs.define
class _Rumour:
    epoch: int
    hops: int
    name: str
    rounds: int


class DelegateIndex:
    """Who acts for which delegated shard, as far as gossip tells.

    It only directs requests: a member that is asked wrongly refuses.
    """

    def __init__(self) -> None:
        """Start without delegates."""
        self._rumours: dict[int, _Rumour] = {}

    def find(self, shard: int) -> tuple[str, int] | None:
        """Return name and epoch of the shard's newest known delegate."""
        rumour = self._rumours.get(shard)
        return None if rumour is None else (rumour.name, rumour.epoch)

    def learn(self, shard: int, epoch: int, hops: int, name: str) -> None:
        """Note a delegate, unless a newer one is known."""
        known = self._rumours.get(shard)
        if known is None or (known.epoch, known.hops) < (epoch, hops):
            self._rumours[shard] = _Rumour(epoch, hops, name, RUMOUR_ROUNDS)

    def next_round(self) -> None:
        """Count one round of gossip."""
        for rumour in self._rumours.values():
            rumour.rounds -= 1

    def to_bytes(self) -> bytes:
        """Return the recent news as JSON; empty if there is none."""
        recent = [
            [shard, r.epoch, r.hops, r.name]
            for shard, r in self._rumours.items()
            if r.rounds > 0
        ]
        return orjson.dumps(recent) if recent else b""

    def merge(self, body: bytes) -> None:
        """Take in the news of a peer."""
        for shard, epoch, hops, name in orjson.loads(body):
            self.learn(shard, epoch, hops, name)
