"""Gossip state: the newest heartbeat and store contact known of each member.

A store contact is a call that the store answered; it is dated by the sending of
the call. All times are on the node's own monotonic clock. What comes from other
nodes is kept as bounds: a heartbeat is never dated later than it was sent, and a
store contact never earlier than it was. A reply is dated by its request, so that
its delay cannot make old state look new; ages in a request have no such bound
and are not used.
"""

from __future__ import annotations

import math
import struct
from typing import NamedTuple

from flamingopond_core.roster import EMPTY_ROSTER, MATURITY_S, Member, Roster

NO_CONTACT_MS = 0xFFFFFFFF
_NEVER = -math.inf
_HEADER = struct.Struct("<Q")
_NO_REFERENCE = 0xFFFFFFFFFFFFFFFF
# First byte of a member: 7 bits of heartbeat age, and a flag for
# ``predates_contact``.
_MAX_HEARTBEAT_AGE = 0x7F
_PREDATES_CONTACT = 0x80
# Second byte: how far its contact lies behind the reference.
_MAX_CONTACT_OFFSET = 0xFE
_YOUNG_PROCESS = 0xFF
_UNKNOWN_MEMBER = bytes((_MAX_HEARTBEAT_AGE, _YOUNG_PROCESS))
# Added to each heartbeat age that is sent: a little over one unit, to cover the
# rounding of the contact. The age of a heartbeat then bounds the error of the
# contact that came with it.
_ROUNDING_UNITS = 1.01


class MemberState(NamedTuple):
    """State of a member at its newest known heartbeat.

    ``heartbeat`` is a lower bound of the heartbeat's time. ``contact`` is an
    upper bound of the newest store contact that the member knew of then, and
    ``received`` is when this node learned of it. ``predates_contact``: the
    member's process started no later than that contact. ``long_running``: it
    had run for ``MATURITY_S``. ``bounded_below``: ``contact`` also gives a lower
    bound.
    """

    heartbeat: float
    contact: float
    received: float
    predates_contact: bool
    long_running: bool
    bounded_below: bool = True

    @property
    def contact_lower_bound(self) -> float:
        """Lower bound of the newest store contact that the member knew of."""
        if not self.bounded_below:
            return _NEVER
        return self.contact - (self.received - self.heartbeat)


class GossipState:
    """Heartbeats and store contacts of all roster members as known to one node."""

    def __init__(self, member: Member, started_at: float) -> None:
        """Start without peers' state; ``started_at`` is when this process started."""
        self._member = member
        self._started_at = started_at
        self._roster = EMPTY_ROSTER
        self._contact_at = _NEVER
        # Indexed by position in ``Roster.all_members``: each exchange goes through up
        # to 400 members, and positions are faster to look up than names.
        self._states: list[MemberState | None] = []
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
    def newest_contact(self) -> float:
        """Newest known store contact of any node, as a lower bound."""
        return self._contact_at

    def adopt(self, roster: Roster) -> bool:
        """Switch to ``roster`` if it is newer; return whether it was."""
        if roster.version <= self._roster.version:
            return False
        known = dict(zip(self._roster.all_members, self._states, strict=True))
        self._roster = roster
        self._states = [known.get(member) for member in roster.all_members]
        self._position = -1
        if self._member in roster.all_members:
            self._position = roster.all_members.index(self._member)
        return True

    def record_store_contact(self, at: float) -> None:
        """Record that the store answered a call that was sent at ``at``."""
        self._contact_at = max(self._contact_at, at)

    def mature(self, now: float) -> bool:
        """Tell whether lease holders may count this process towards a majority."""
        return self._predates_contact or self._long_running(now)

    @property
    def _predates_contact(self) -> bool:
        return self._started_at <= self._contact_at

    def _long_running(self, now: float) -> bool:
        return now - self._started_at >= MATURITY_S

    def own_state(self, now: float) -> MemberState:
        """Return this node's own state."""
        return MemberState(
            now, self._contact_at, now, self._predates_contact, self._long_running(now)
        )

    def heard(self, now: float) -> dict[Member, MemberState]:
        """Return the roster members with a recent heartbeat, including this node."""
        limit = now - self._roster.timings.heartbeat_timeout_s
        found = {
            member: heard
            for member, heard in zip(
                self._roster.all_members, self._states, strict=True
            )
            if heard is not None and heard.heartbeat >= limit
        }
        if self._position >= 0:
            found[self._member] = self.own_state(now)
        return found

    def contact_age_ms(self, now: float) -> int:
        """Return the age of the newest known store contact, rounded up."""
        if self._contact_at == _NEVER:
            return NO_CONTACT_MS
        return min(NO_CONTACT_MS - 1, math.ceil((now - self._contact_at) * 1000) + 1)

    def encode(self, now: float) -> bytes:
        """Encode a reference contact, followed by two bytes for each member.

        The reference is the newest contact with its exact age; other contacts are
        stored as offsets from it. Absolute ages in one byte would overflow after
        13 s of a store outage, and rounding would shift the contact a little later
        at every hop.
        """
        unit_s = self._roster.timings.age_unit_s
        states = list(self._states)
        if self._position >= 0:
            states[self._position] = self.own_state(now)
        reference = max((s.contact for s in states if s is not None), default=_NEVER)
        out = bytearray(
            _HEADER.pack(
                _NO_REFERENCE
                if reference == _NEVER
                else max(0, math.floor((now - reference) * 1e6))
            )
        )
        oldest_encodable = reference - _MAX_CONTACT_OFFSET * unit_s
        for state in states:
            if state is None:
                out += _UNKNOWN_MEMBER
                continue
            heartbeat, contact, _, predates_contact, long_running, _ = state
            age = math.ceil((now - heartbeat) / unit_s + _ROUNDING_UNITS)
            age = min(age, _MAX_HEARTBEAT_AGE)
            contact_offset = _YOUNG_PROCESS
            if predates_contact or long_running:
                contact_offset = _MAX_CONTACT_OFFSET
                if contact > oldest_encodable:
                    contact_offset = int((reference - contact) / unit_s)
            out.append(age | _PREDATES_CONTACT if predates_contact else age)
            out.append(contact_offset)
        return bytes(out)

    def merge(
        self,
        roster_version: int,
        ages: bytes,
        contact_age_ms: int,
        requested_at: float,
        now: float,
    ) -> None:
        """Merge a reply that was requested at ``requested_at`` and arrived at ``now``.

        Ages of another roster version are ignored: their positions differ, and a
        majority must consist of nodes that use the same version.
        """
        if contact_age_ms != NO_CONTACT_MS:
            self.record_store_contact(requested_at - contact_age_ms / 1000)
        states = self._states
        size = _HEADER.size + 2 * len(states)
        if roster_version != self._roster.version or len(ages) != size:
            return
        unit_s = self._roster.timings.age_unit_s
        (reference_age,) = _HEADER.unpack_from(ages)
        reference = (
            _NEVER if reference_age == _NO_REFERENCE else now - reference_age / 1e6
        )
        for position, known in enumerate(states):
            heartbeat_byte = ages[_HEADER.size + 2 * position]
            age = heartbeat_byte & _MAX_HEARTBEAT_AGE
            if age == _MAX_HEARTBEAT_AGE or position == self._position:
                continue
            heartbeat = requested_at - age * unit_s
            if known is not None and known.heartbeat >= heartbeat:
                continue
            contact_offset = ages[_HEADER.size + 2 * position + 1]
            predates_contact = heartbeat_byte >= _PREDATES_CONTACT
            # For a young process, or an offset beyond the range, only an upper bound
            # of the contact is known.
            states[position] = MemberState(
                heartbeat,
                reference
                if contact_offset == _YOUNG_PROCESS
                else reference - contact_offset * unit_s,
                now,
                predates_contact,
                contact_offset != _YOUNG_PROCESS and not predates_contact,
                contact_offset < _MAX_CONTACT_OFFSET,
            )
