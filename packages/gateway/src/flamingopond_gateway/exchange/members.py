"""The member gateways of the fleet, and the choice of hubs among them.

Every gateway sorts the members in the same way: large links first, then by name.
All report to the first ones that are not silent, which are the hubs.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec
from attrs import define, field

from ..messages import Joined
from ..settings import Address

# Hubs that a gateway reports to; the second takes over at once if the first fails.
HUB_COUNT = 2
# Hub candidates that a gateway reports to at first while it hears no hub; as many more
# as have not answered so far.
HUB_CANDIDATES = 4
# A member not heard for this long, about five reports, counts as unreachable.
SILENCE_TIMEOUT_S = 1.2
# A hub that did not answer is tried again after this time.
HUB_RETRY_S = 4.0
# Members that are silent or lost and are tried as hubs at a time, each for
# SILENCE_TIMEOUT_S: the first ones in order, and as many that were tried longest ago.
RETRIED_HUBS = 2
# Lost members that are remembered, the newest ones.
MAX_LOST = 1000
# A member silent for this long is removed; the others get its share of the limits.
MEMBER_TIMEOUT_S = 20.0
# Link rates differ by a factor of 20; a link of at least this rate can carry the
# summaries for hundreds of gateways.
LARGE_LINK_MBPS = 50


class Registration(msgspec.Struct, frozen=True):
    """A gateway's row in the table of members; ``capacity`` is in Mbit/s."""

    ip: str
    port: int
    capacity: int = 0


@define
class Member:
    """Another gateway.

    ``registration_version`` is the version of its registration row, which grows with
    each of its starts, and ``capacity`` is its link's rate in Mbit/s. ``silent_since``
    is None while a hub hears it. ``hub_tried_at`` is when this gateway last started to
    try it as a hub, and ``hub_heard_at`` when its last summary arrived.
    """

    node: str
    address: Address
    registration_version: int
    capacity: int
    silent_since: float | None = None
    hub_tried_at: float | None = None
    hub_heard_at: float | None = None

    @property
    def hub_priority(self) -> tuple[bool, str]:
        """Sort key for the choice of hubs, the same at all gateways."""
        return (self.capacity < LARGE_LINK_MBPS, self.node)


@define
class Members:
    """The other gateways of the fleet."""

    node: str
    capacity: int = LARGE_LINK_MBPS
    _members: dict[str, Member] = field(factory=dict)
    # Members that were silent for MEMBER_TIMEOUT_S: gone for good, or in another part
    # of a fleet that was separated.
    _lost: dict[str, Member] = field(factory=dict)
    _retried: list[str] = field(factory=list)
    _retried_at: float = float("-inf")
    # Names of all gateways by hub priority, None after a change.
    _order: list[str] | None = None

    def __iter__(self) -> Iterator[Member]:
        """Iterate over all other gateways."""
        return iter(self._members.values())

    def get(self, node: str) -> Member | None:
        """Return a member by its node's name."""
        return self._members.get(node)

    def address(self, node: str) -> Address | None:
        """Return the address of a member, or of a lost one that is tried as a hub."""
        member = self._members.get(node) or self._lost.get(node)
        return member.address if member is not None else None

    def count(self) -> int:
        """Return how many gateways there are, this one included."""
        return 1 + len(self._members)

    def add(
        self, node: str, address: Address, registration_version: int, capacity: int
    ) -> bool:
        """Add or update a member.

        Returns False for this gateway itself and for an old registration.
        """
        if node == self.node:
            return False
        known = self._members.get(node)
        if known is not None and registration_version <= known.registration_version:
            return False
        self._members[node] = Member(node, address, registration_version, capacity)
        self._lost.pop(node, None)
        self._order = None
        return True

    def join(self, joined: Iterable[Joined]) -> None:
        """Add the members that a hub has recently learned of."""
        for gateway in joined:
            self.add(
                gateway.node,
                (gateway.ip, gateway.port),
                gateway.registration_version,
                gateway.capacity,
            )

    def restore_lost(self, count: int) -> None:
        """Add the members that were lost last until there are ``count`` gateways.

        A hub that hears more gateways than are known here is that of a part from which
        this one was separated.
        """
        while self._lost and self.count() < count:
            node, member = self._lost.popitem()
            member.silent_since = None
            self._members.setdefault(node, member)
            self._order = None

    def note_silent(self, silent: Iterable[str], now: float) -> None:
        """Record which members a hub does not hear."""
        silent_nodes = set(silent)
        for member in self:
            if member.node not in silent_nodes:
                member.silent_since = None
            elif member.silent_since is None:
                member.silent_since = now

    def note_hub_summary(self, node: str, now: float) -> None:
        """Record that a summary of a hub has arrived; a lost one is back by it."""
        lost = self._lost.pop(node, None)
        if lost is not None:
            lost.silent_since = None
            self._members.setdefault(node, lost)
            self._order = None
        member = self._members.get(node)
        if member is not None:
            member.hub_heard_at = now

    def expire(self, now: float) -> list[str]:
        """Remove members that have been silent for too long; return their names."""
        gone = [
            member.node
            for member in self
            if member.silent_since is not None
            and now - member.silent_since >= MEMBER_TIMEOUT_S
        ]
        for node in gone:
            self._lost.pop(node, None)
            self._lost[node] = self._members.pop(node)
            self._order = None
        while len(self._lost) > MAX_LOST:
            del self._lost[next(iter(self._lost))]
        return gone

    def hubs(self, now: float) -> list[str]:
        """Return the hubs to report to, which may include this gateway.

        These are the first members in order that answer or have not been tried
        yet. Until all of them answer, the best hubs that do are kept as well. While
        none answers, more and more members are tried, each once before any is tried
        again, since many machines may be gone for good.
        """
        candidates = self._by_hub_priority()
        first = candidates[:HUB_COUNT]
        # The usual case, which needs no look at all members.
        if first != [self.node] and all(
            node == self.node or self._hub_answers(node, now) for node in first
        ):
            return first
        answering = [node for node in candidates if self._hub_answers(node, now)]
        isolated = not answering
        usable = [
            node for node in candidates if self._hub_eligible(node, isolated, now)
        ]
        count = HUB_COUNT
        if isolated:
            usable.sort(key=lambda node: self._hub_retry_due(node, now))
            count = HUB_CANDIDATES + sum(
                self._hub_failed(node, now) for node in candidates
            )
        chosen = usable[:count]
        for node in chosen:
            self._note_hub_tried(node, now)
        if any(node != self.node and node not in answering for node in chosen):
            chosen += [node for node in answering[:HUB_COUNT] if node not in chosen]
        return chosen

    def report_receivers(self, now: float) -> list[str]:
        """Return the members to report to: the hubs, and a few that might be better.

        Silent and lost members are tried as hubs from time to time. Parts of a fleet
        that were separated each have hubs, whose summaries name all others as silent,
        and would never meet again.
        """
        hubs = self.hubs(now)
        return hubs + [n for n in self._hubs_to_retry(hubs, now) if n not in hubs]

    def _hubs_to_retry(self, hubs: list[str], now: float) -> list[str]:
        """Return silent and lost members that would go before the last of ``hubs``."""
        elapsed_s = now - self._retried_at
        if elapsed_s <= SILENCE_TIMEOUT_S:
            return self._retried
        if elapsed_s <= HUB_RETRY_S:
            return []
        self._retried_at = now
        last = hubs[-1]
        worst = (
            self._members[last].hub_priority
            if last in self._members
            else (self.capacity < LARGE_LINK_MBPS, last)
        )
        silent = [member for member in self if member.silent_since is not None]
        better = sorted(
            (
                member
                for member in (*silent, *self._lost.values())
                if member.hub_priority < worst
            ),
            key=lambda member: member.hub_priority,
        )
        first, others = better[:RETRIED_HUBS], better[RETRIED_HUBS:]
        others.sort(key=lambda member: member.hub_tried_at or float("-inf"))
        self._retried = [member.node for member in first + others[:RETRIED_HUBS]]
        for member in first + others[:RETRIED_HUBS]:
            member.hub_tried_at = now
        return self._retried

    def _hub_answers(self, node: str, now: float) -> bool:
        member = self._members.get(node)
        return (
            member is not None
            and member.hub_heard_at is not None
            and now - member.hub_heard_at < SILENCE_TIMEOUT_S
        )

    def _hub_eligible(self, node: str, isolated: bool, now: float) -> bool:
        """Whether a gateway may be a hub; a silent one only if no hub is heard."""
        member = self._members.get(node)
        if member is None or self._hub_answers(node, now):
            return True
        if member.silent_since is not None and not isolated:
            return False
        if member.hub_tried_at is None:
            return True
        elapsed_s = now - member.hub_tried_at
        return elapsed_s <= SILENCE_TIMEOUT_S or elapsed_s > HUB_RETRY_S

    def _hub_failed(self, node: str, now: float) -> bool:
        """Whether a member was tried as a hub and has not answered in time."""
        member = self._members.get(node)
        return (
            member is not None
            and member.hub_tried_at is not None
            and now - member.hub_tried_at > SILENCE_TIMEOUT_S
        )

    def _hub_retry_due(self, node: str, now: float) -> bool:
        """Whether a member that did not answer as a hub may be tried again."""
        return self._hub_failed(node, now) and self._hub_eligible(node, True, now)

    def _note_hub_tried(self, node: str, now: float) -> None:
        member = self._members.get(node)
        if member is None or self._hub_answers(node, now):
            return
        if member.hub_tried_at is None or now - member.hub_tried_at > HUB_RETRY_S:
            member.hub_tried_at = now

    def member_rank(self) -> int:
        """Return this gateway's position among the members that are not silent."""
        position = 0
        for node in self._by_hub_priority():
            if node == self.node:
                return position
            if self._members[node].silent_since is None:
                position += 1
        return position

    def _by_hub_priority(self) -> list[str]:
        if self._order is None:
            priorities = [member.hub_priority for member in self]
            priorities.append((self.capacity < LARGE_LINK_MBPS, self.node))
            self._order = [node for _, node in sorted(priorities)]
        return self._order
