"""Gossip state: how lately each member was alive and which store contact it knew.

All times are on the node's own monotonic clock. What comes from other nodes is
kept as bounds: a heartbeat is never placed later than it was sent, and a
member's knowledge of store contacts never earlier than it was. A reply is
counted from the moment at which it was asked for, so its delay cannot make old
state look new; ages in a request have no such bound and are not used.
"""

from __future__ import annotations

import math
import struct
from typing import NamedTuple

from flamingopond_core.roster import EMPTY_ROSTER, MATURITY_S, Member, Roster

NEVER_MS = 0xFFFFFFFF
_NEVER = -math.inf
_HEADER = struct.Struct("<Q")
_NO_REFERENCE = 0xFFFFFFFFFFFFFFFF
# First byte of a member: 7 bits of heartbeat age, and whether it is steady.
_OLDEST = 0x7F
_STEADY = 0x80
# Second byte: distance of its contact behind the reference.
_FARTHEST = 0xFE
_FRESH = 0xFF
_UNKNOWN = bytes((_OLDEST, _FRESH))
# A little over one unit is added to each age that is passed on. It covers the
# rounding of the contact, so that the age of a heartbeat bounds the error of
# the contact that came with it.
_ROUNDING_UNITS = 1.01


class Heard(NamedTuple):
    """What is known of a member at its newest known heartbeat.

    ``heartbeat`` is a lower bound of the heartbeat's time. ``contact`` is an
    upper bound of the newest store contact that the member knew then;
    ``received`` is when this came in. ``steady``: the member's process started
    no later than that contact. ``aged``: it had run for ``MATURITY_S``.
    """

    heartbeat: float
    contact: float
    received: float
    steady: bool
    aged: bool
    bounded_below: bool = True

    @property
    def contact_at_least(self) -> float:
        """Lower bound of the newest store contact that the member knew."""
        if not self.bounded_below:
            return _NEVER
        return self.contact - (self.received - self.heartbeat)


class GossipState:
    """Heartbeats and store contacts of all roster members, as one node knows them."""

    def __init__(self, member: Member, started: float) -> None:
        """Know nothing yet; the process of ``member`` started at ``started``."""
        self._member = member
        self._started = started
        self._roster = EMPTY_ROSTER
        self._contact = _NEVER
        # By position in the roster's order; 400 members are looked through at each
        # exchange, and positions are found faster than names.
        self._heard: list[Heard | None] = []
        self._position = -1

    @property
    def member(self) -> Member:
        """This node."""
        return self._member

    @property
    def roster(self) -> Roster:
        """Newest roster known."""
        return self._roster

    @property
    def contact(self) -> float:
        """Newest known store contact of any node; a lower bound that only rises."""
        return self._contact

    def adopt(self, roster: Roster) -> bool:
        """Use ``roster`` from now on; return ``False`` if it is not newer."""
        if roster.version <= self._roster.version:
            return False
        known = dict(zip(self._roster.order, self._heard, strict=True))
        self._roster = roster
        self._heard = [known.get(member) for member in roster.order]
        self._position = -1
        if self._member in roster.order:
            self._position = roster.order.index(self._member)
        return True

    def store_contact(self, at: float) -> None:
        """Note that the store answered a call that was sent at ``at``."""
        self._contact = max(self._contact, at)

    def mature(self, now: float) -> bool:
        """Tell whether this process may count for holders of leases."""
        return self._steady or self._aged(now)

    @property
    def _steady(self) -> bool:
        return self._started <= self._contact

    def _aged(self, now: float) -> bool:
        return now - self._started >= MATURITY_S

    def own(self, now: float) -> Heard:
        """Return this node's own state."""
        return Heard(now, self._contact, now, self._steady, self._aged(now))

    def heard(self, now: float) -> dict[Member, Heard]:
        """Return the roster members heard within ``heard_within``, and this node."""
        limit = now - self._roster.timings.heard_within
        found = {
            member: heard
            for member, heard in zip(self._roster.order, self._heard, strict=True)
            if heard is not None and heard.heartbeat >= limit
        }
        if self._position >= 0:
            found[self._member] = self.own(now)
        return found

    def contact_age_ms(self, now: float) -> int:
        """Return the age of the newest known contact, rounded up."""
        if self._contact == _NEVER:
            return NEVER_MS
        return min(NEVER_MS - 1, math.ceil((now - self._contact) * 1000) + 1)

    def encode(self, now: float) -> bytes:
        """Return the ages: a reference contact, then two bytes for each member.

        Contacts count from the newest one, whose exact age stands in front.
        Absolute ages of one byte would run out after 13 s of a store outage, and
        rounding would shift the contact a little later at every hop.
        """
        unit = self._roster.timings.age_unit
        states = list(self._heard)
        if self._position >= 0:
            states[self._position] = self.own(now)
        reference = max((s.contact for s in states if s is not None), default=_NEVER)
        out = bytearray(
            _HEADER.pack(
                _NO_REFERENCE
                if reference == _NEVER
                else max(0, math.floor((now - reference) * 1e6))
            )
        )
        farthest = reference - _FARTHEST * unit
        for state in states:
            if state is None:
                out += _UNKNOWN
                continue
            heartbeat, contact, _, steady, aged, _ = state
            age = math.ceil((now - heartbeat) / unit + _ROUNDING_UNITS)
            age = min(age, _OLDEST)
            behind = _FRESH
            if steady or aged:
                behind = _FARTHEST
                if contact > farthest:
                    behind = int((reference - contact) / unit)
            out.append(age | _STEADY if steady else age)
            out.append(behind)
        return bytes(out)

    def merge(
        self,
        roster_version: int,
        ages: bytes,
        contact_age_ms: int,
        asked_at: float,
        now: float,
    ) -> None:
        """Take in a reply that was asked for at ``asked_at`` and arrived ``now``.

        Ages of another roster version are left out: their positions differ, and
        a majority must be one of nodes that use the same version.
        """
        if contact_age_ms != NEVER_MS:
            self.store_contact(asked_at - contact_age_ms / 1000)
        heard = self._heard
        size = _HEADER.size + 2 * len(heard)
        if roster_version != self._roster.version or len(ages) != size:
            return
        unit = self._roster.timings.age_unit
        (reference_age,) = _HEADER.unpack_from(ages)
        reference = (
            _NEVER if reference_age == _NO_REFERENCE else now - reference_age / 1e6
        )
        for position, known in enumerate(heard):
            first = ages[_HEADER.size + 2 * position]
            age = first & _OLDEST
            if age == _OLDEST or position == self._position:
                continue
            heartbeat = asked_at - age * unit
            if known is not None and known.heartbeat >= heartbeat:
                continue
            behind = ages[_HEADER.size + 2 * position + 1]
            steady = first >= _STEADY
            # Of a fresh process, or of one far behind, only an upper bound of the
            # contact is known.
            heard[position] = Heard(
                heartbeat,
                reference if behind == _FRESH else reference - behind * unit,
                now,
                steady,
                behind != _FRESH and not steady,
                behind < _FARTHEST,
            )
