"""The roster, whose majorities decide who may write, and the timings it sets."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable, Set
from functools import cached_property

import attrs

# Longer than twice ``heartbeat_timeout_s`` plus the extension for rosters of up to
# 2,048 members, whatever the size of the next roster; see docs/membership.md.
MATURITY_S = 30.0
CLAIM_MARGIN_S = 1.0


@attrs.frozen(order=True, cache_hash=True)
class Member:
    """A daemon on one VM. A replacement VM of the same name is another member."""

    name: str
    address: str


@attrs.frozen
class Timings:
    """Periods and timeouts derived from the number of members."""

    size: int

    @cached_property
    def gossip_period_s(self) -> float:
        """Time between two gossip rounds of a node."""
        return min(1.0, max(0.25, self.size / 400))

    @property
    def age_unit_s(self) -> float:
        """Unit of the ages in gossip messages."""
        return self.gossip_period_s / 5

    @cached_property
    def heartbeat_timeout_s(self) -> float:
        """Age up to which the sender of a heartbeat counts as heard."""
        rounds = 2 + math.ceil(math.log2(max(1, self.size)))
        return self.gossip_period_s * rounds

    @property
    def renewal_period_s(self) -> float:
        """Time between two lease renewals; all nodes together make at most 100/s."""
        return max(1.0, self.size / 100)

    @property
    def lease_s(self) -> float:
        """Duration of a lease."""
        return 3 * self.renewal_period_s

    @property
    def extension_s(self) -> float:
        """Time by which one check extends a holder's authority beyond its lease."""
        return 1.0 if self.size <= 16 else 2.0

    @property
    def claim_wait_s(self) -> float:
        """Time that a claimant waits after a majority has confirmed the expiry."""
        return self.heartbeat_timeout_s + self.extension_s + CLAIM_MARGIN_S


def _majority(present: Set[Member], members: Set[Member]) -> bool:
    return 2 * len(present & members) > len(members)


@attrs.frozen
class Roster:
    """One version of the roster.

    ``previous`` holds the members before the last change until a further version
    completes the change. Until then a majority must be one of both sets, so that
    majorities of successive versions always share a member. ``size`` sets the
    timings of holders, ``guard_size`` those of claimants, who must also wait for
    holders that still use the version before.
    """

    version: int
    members: tuple[Member, ...]
    previous: tuple[Member, ...] = ()
    guard_size: int = 0

    @cached_property
    def size(self) -> int:
        """Number of members that determines the timings of holders."""
        return max(len(self.members), len(self.previous))

    @cached_property
    def timings(self) -> Timings:
        """Timings of gossip, leases and holders."""
        return Timings(self.size)

    @cached_property
    def claimant_timings(self) -> Timings:
        """Timings of claimants."""
        return Timings(max(self.size, self.guard_size))

    @cached_property
    def all_members(self) -> tuple[Member, ...]:
        """Current and previous members in the order used by gossip messages."""
        return tuple(sorted({*self.members, *self.previous}))

    @cached_property
    def _member_sets(self) -> tuple[frozenset[Member], frozenset[Member]]:
        return frozenset(self.members), frozenset(self.previous)

    def has_majority(
        self, present: Set[Member], gone: Set[Member] = frozenset()
    ) -> bool:
        """Tell whether ``present`` has a majority of each set, not counting ``gone``.

        Only a claimant may exclude members that are gone for good. If the holder
        did so too, their majorities might share no member. A set whose members are
        all gone does not restrict a claimant.
        """
        for members in self._member_sets:
            counted = members - gone if gone else members
            if members and not counted and gone:
                continue
            if counted and not _majority(present, counted):
                return False
        return bool(self.members)

    def next_version(self, members: Iterable[Member]) -> Roster:
        """Return the next version; repeating the current members completes a change."""
        next_members = tuple(sorted(set(members)))
        previous = self.members if next_members != self.members else ()
        return Roster(self.version + 1, next_members, previous, self.size)

    def to_bytes(self) -> bytes:
        """Serialize the roster row."""
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
        """Deserialize the roster row."""
        data = json.loads(value)
        return cls(
            data["version"],
            tuple(Member(*m) for m in data["members"]),
            tuple(Member(*m) for m in data["previous"]),
            data["guard_size"],
        )


EMPTY_ROSTER = Roster(0, ())
