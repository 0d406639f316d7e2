"""Which hub's summaries a gateway follows."""

from __future__ import annotations

from attrs import define

from .members import SILENT_S, Members
from .messages import Summary

# A summary overdue by this many periods lets another hub's take its place.
OVERDUE_PERIODS = 3


@define
class Following:
    """The newest summary of the hub that this gateway follows.

    It follows one hub as long as that is heard, since the sums of two hubs differ
    by what each has missed.
    """

    members: Members
    _summary: Summary | None = None
    _heard: float = float("-inf")

    def fresh(self, now: float) -> Summary | None:
        """Return the newest summary, unless it is too old to go by."""
        return self._summary if now - self._heard < SILENT_S else None

    def offer(self, summary: Summary, period_s: float, now: float) -> bool:
        """Take over a summary if it is to be followed; return whether it was."""
        if summary.node != self.members.node:
            self.members.hear_hub(summary.node, now)
        if not self._prefers(summary, period_s, now):
            return False
        self._summary = summary
        self._heard = now
        self.members.join(summary.joined)
        self.members.note_silent(summary.silent, now)
        return True

    def _prefers(self, offered: Summary, period_s: float, now: float) -> bool:
        present = self.fresh(now)
        if present is None:
            return True
        if present.node == offered.node:
            return (offered.boot, offered.number) > (present.boot, present.number)
        if offered.heard < present.heard:
            # A hub that has just come back does not hear everyone yet.
            return False
        if now - self._heard > OVERDUE_PERIODS * period_s:
            return True
        hubs = self.members.hubs(now)
        if offered.node not in hubs:
            return False
        return present.node not in hubs or offered.heard > present.heard
