"""Members as the platform's lagging list of VMs shows them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from flamingopond_core.roster import Member, Roster

# The list lags. A member counts as gone only after it was missing for this long.
GONE_AFTER_S = 30.0


@attrs.frozen
class Listing:
    """``live`` members of the list, those ``leaving``, and roster members gone."""

    live: frozenset[Member] = frozenset()
    leaving: frozenset[Member] = frozenset()
    gone: frozenset[Member] = frozenset()

    def wanted(self, roster: Roster) -> tuple[Member, ...]:
        """Return the members that the roster should have."""
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


class ListingTracker:
    """Follows the list and dates the absence of roster members."""

    def __init__(self) -> None:
        """Start without a list."""
        self._missing: dict[Member, float] = {}
        self._listing = Listing()

    @property
    def listing(self) -> Listing:
        """What the newest list shows."""
        return self._listing

    def update(
        self,
        live: Iterable[Member],
        leaving: Iterable[Member],
        roster: Roster,
        now: float,
    ) -> None:
        """Take in a list that was read ``now``; an empty one is not believed."""
        present, going = frozenset(live), frozenset(leaving)
        if not present and not going:
            return
        absent = set(roster.order) - present - going
        self._missing = {m: self._missing.get(m, now) for m in absent}
        gone = frozenset(m for m, t in self._missing.items() if now - t >= GONE_AFTER_S)
        self._listing = Listing(present, going, gone)
