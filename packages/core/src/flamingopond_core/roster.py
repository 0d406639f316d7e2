"""The roster of members whose majorities limit who may write, and its timings."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Set
from functools import cached_property

import attrs

# Outlasts twice `heard_within` plus the extension for rosters of up to 2,048
# members, whatever size the next roster has; see docs/membership.md.
MATURITY_S = 30.0
CLAIM_MARGIN_S = 1.0


@attrs.frozen(order=True, cache_hash=True)
class Member:
    """A daemon on one VM. A VM that replaces it under its name is another member."""

    name: str
    address: str


@attrs.frozen
class Timings:
    """Periods and limits in seconds that follow from the number of members."""

    size: int

    @cached_property
    def gossip_period(self) -> float:
        """Time between two rounds of gossip of a node."""
        return min(1.0, max(0.25, self.size / 400))

    @property
    def age_unit(self) -> float:
        """Unit of the ages that gossip carries."""
        return self.gossip_period / 5

    @cached_property
    def heard_within(self) -> float:
        """Age up to which a heartbeat counts as heard."""
        rounds = 2 + math.ceil(math.log2(max(1, self.size)))
        return self.gossip_period * rounds

    @property
    def renewal_period(self) -> float:
        """Time between two renewals of a lease; at most 100 writes/s over all."""
        return max(1.0, self.size / 100)

    @property
    def lease(self) -> float:
        """Duration of a lease."""
        return 3 * self.renewal_period

    @property
    def extension(self) -> float:
        """Time by which one check of rule O extends a holder's authority."""
        return 1.0 if self.size <= 16 else 2.0

    @property
    def claim_wait(self) -> float:
        """Time that a claimant waits after its condition holds."""
        return self.heard_within + self.extension + CLAIM_MARGIN_S


def _majority(present: Set[Member], members: Set[Member]) -> bool:
    return 2 * len(present & members) > len(members)


@attrs.frozen
class Roster:
    """One version of the roster.

    ``previous`` are the members before the last change, while that change is not
    settled: until then a majority is one of both sets, so that majorities of
    successive versions always share a member. ``size`` sets the timings of
    holders, ``guard_size`` those of claimants, who must also outwait holders
    that still use the version before.
    """

    version: int
    members: tuple[Member, ...]
    previous: tuple[Member, ...] = ()
    guard_size: int = 0

    @cached_property
    def size(self) -> int:
        """Number of members that sets the timings of a holder."""
        return max(len(self.members), len(self.previous))

    @cached_property
    def timings(self) -> Timings:
        """Timings of gossip, leases and holders."""
        return Timings(self.size)

    @cached_property
    def guard(self) -> Timings:
        """Timings of claimants."""
        return Timings(max(self.size, self.guard_size))

    @cached_property
    def order(self) -> tuple[Member, ...]:
        """All members, old and new, in the order that gossip uses."""
        return tuple(sorted({*self.members, *self.previous}))

    @cached_property
    def _sets(self) -> tuple[frozenset[Member], frozenset[Member]]:
        return frozenset(self.members), frozenset(self.previous)

    def has_majority(
        self, present: Set[Member], gone: Set[Member] = frozenset()
    ) -> bool:
        """Tell whether ``present`` holds a majority of each set without ``gone``.

        Only a claimant may leave out members that are gone for good. If the
        holder did so too, the two could use majorities that share no member.
        A set whose members are all gone puts no limit on a claimant.
        """
        for members in self._sets:
            counted = members - gone if gone else members
            if members and not counted and gone:
                continue
            if counted and not _majority(present, counted):
                return False
        return bool(self.members)

    def change(self, members: Iterable[Member]) -> Roster:
        """Return the next version with ``members``; it settles if they are the same."""
        target = tuple(sorted(set(members)))
        previous = self.members if target != self.members else ()
        return Roster(self.version + 1, target, previous, self.size)

    def to_bytes(self) -> bytes:
        """Return the value of the roster row."""
        return json.dumps(
            {
                "version": self.version,
                "members": [[m.name, m.address] for m in self.members],
                "previous": [[m.name, m.address] for m in self.previous],
                "guard_size": self.guard_size,
            }
        ).encode()

    @classmethod
    def from_bytes(cls, value: bytes) -> Roster:
        """Read the value of the roster row."""
        data = json.loads(value)
        return cls(
            data["version"],
            tuple(Member(*m) for m in data["members"]),
            tuple(Member(*m) for m in data["previous"]),
            data["guard_size"],
        )


EMPTY_ROSTER = Roster(0, ())
