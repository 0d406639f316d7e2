"""Which dispatcher may grant requests to cold targets, and which grants are used."""

from __future__ import annotations

from collections import deque

from attrs import define, field

from ..messages import GatewayReport
from ..targets.cold import ANSWER_VALID_S

# A dispatcher that hears nothing of the lease holder for this long grants no more
# requests to cold targets. Reports arrive at least three times in this time.
TERM_LAPSE_S = 1.2
# A dispatcher waits for this long before it grants the first ones: the previous one has
# stopped by then, since the last report for it may be ``TERM_LAPSE_S`` old and have
# been on its way for a while.
TERM_DELAY_S = 2.0
# Dispatch requests that are remembered; they are 4 ms apart at least.
MAX_SENT = 128


@define
class ColdTerm:
    """Whether this gateway is the dispatcher for cold targets.

    It is that of the holder of the placement lease, of which there is one at a time in
    the whole fleet. Times include system suspend, so that a gateway that stood still
    waits again.
    """

    node: str
    _fence: int = 0
    _since: float = float("inf")
    _heard_at: float = float("-inf")

    def note_report(self, report: GatewayReport, now: float) -> None:
        """Record a report; that of the lease holder tells which dispatcher it uses."""
        if not report.fence or report.fence < self._fence:
            return
        self._fence = report.fence
        if report.dispatcher != self.node:
            self._heard_at = float("-inf")
            return
        if now - self._heard_at > TERM_LAPSE_S:
            self._since = now
        self._heard_at = now

    def held(self, now: float) -> bool:
        """Whether requests to cold targets may be granted."""
        return (
            now - self._heard_at <= TERM_LAPSE_S and now - self._since >= TERM_DELAY_S
        )


@define
class SentRequests:
    """When, and to which dispatcher, the last dispatch requests were sent.

    Times include system suspend.
    """

    _sent: deque[tuple[int, str, float]] = field(factory=lambda: deque(maxlen=MAX_SENT))

    def add(self, number: int, node: str, now: float) -> None:
        """Record a dispatch request that is sent."""
        self._sent.append((number, node, now))

    def send_before(self, answered_number: int, node: str) -> float:
        """Return until when the grants in an answer may be used for cold targets.

        ``node`` is the present dispatcher; answers of others are of no use.
        """
        for number, receiver, sent_at in reversed(self._sent):
            if number == answered_number and receiver == node:
                return sent_at + ANSWER_VALID_S
        return float("-inf")
