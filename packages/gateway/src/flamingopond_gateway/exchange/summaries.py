"""Choice of the hub whose summaries a gateway uses."""

from __future__ import annotations

from attrs import define

from ..messages import Summary
from .members import SILENCE_TIMEOUT_S, Members

# A gateway may switch to another hub once its summary is older than these periods.
MAX_AGE_PERIODS = 3


@define
class SummaryFollower:
    """The newest summary of the hub that this gateway follows.

    It stays with one hub while that one is heard, since the totals of two hubs
    differ by the reports that each has missed.
    """

    members: Members
    _summary: Summary | None = None
    _received_at: float = float("-inf")

    def fresh(self, now: float) -> Summary | None:
        """Return the newest summary, or None if it is stale."""
        return self._summary if now - self._received_at < SILENCE_TIMEOUT_S else None

    def offer(self, summary: Summary, period_s: float, now: float) -> bool:
        """Use a summary if it is preferable to the present one; return if it was."""
        if summary.node != self.members.node:
            self.members.note_hub_summary(summary.node, now)
        if not self._preferable(summary, period_s, now):
            return False
        self._summary = summary
        self._received_at = now
        self.members.join(summary.joined)
        self.members.restore_lost(summary.reporting_count)
        self.members.note_silent(summary.silent, now)
        return True

    def _preferable(self, offered: Summary, period_s: float, now: float) -> bool:
        present = self.fresh(now)
        if present is None:
            return True
        if present.node == offered.node:
            return (offered.registration_version, offered.number) > (
                present.registration_version,
                present.number,
            )
        if offered.reporting_count < present.reporting_count:
            # A hub that has just restarted has not heard everyone yet.
            return False
        if now - self._received_at > MAX_AGE_PERIODS * period_s:
            return True
        hubs = self.members.hubs(now)
        if offered.node not in hubs:
            return False
        return (
            present.node not in hubs
            or offered.reporting_count > present.reporting_count
        )
