"""Members according to the platform's list of VMs, which may be out of date."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from flamingopond_core.roster import Member, Roster

# The list lags, so a member counts as gone only after missing for this long.
GONE_AFTER_S = 30.0


@attrs.frozen
class MemberListing:
    """Members whose VMs are listed as live or leaving.

    ``gone`` holds the roster members missing from the list for ``GONE_AFTER_S``.
    """

    live: frozenset[Member] = frozenset()
    leaving: frozenset[Member] = frozenset()
    gone: frozenset[Member] = frozenset()

    def desired_members(self, roster: Roster) -> tuple[Member, ...]:
        """Return the members that the next roster should have."""
        if not self.live:
            return roster.members
        names = {member.name for member in self.live}
        kept = {
            member
            for member in roster.members
            if member not in self.gone
            and member not in self.leaving
            and member.name not in names
        }
        return tuple(sorted(kept | self.live))


class MemberListingTracker:
    """Tracks since when roster members have been missing from the list."""

    def __init__(self) -> None:
        """Start without a list."""
        self._missing_since: dict[Member, float] = {}
        self._member_listing = MemberListing()

    @property
    def member_listing(self) -> MemberListing:
        """The members according to the newest list."""
        return self._member_listing

    def update(
        self,
        live: Iterable[Member],
        leaving: Iterable[Member],
        roster: Roster,
        now: float,
    ) -> None:
        """Apply a list that was read at ``now``; an empty list is ignored."""
        live_members, leaving_members = frozenset(live), frozenset(leaving)
        if not live_members and not leaving_members:
            return
        missing = set(roster.all_members) - live_members - leaving_members
        self._missing_since = {
            member: self._missing_since.get(member, now) for member in missing
        }
        gone = frozenset(
            member
            for member, since in self._missing_since.items()
            if now - since >= GONE_AFTER_S
        )
        self._member_listing = MemberListing(live_members, leaving_members, gone)
