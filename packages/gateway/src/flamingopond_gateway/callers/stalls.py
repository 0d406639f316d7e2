"""Detection of streams whose target has stopped to make progress.

Progress is a complete event: a target that sends comments, or single bytes of an event,
makes none.
"""

from __future__ import annotations

from attrs import define

# Callers abandon a stream after this time without an event if its route doesn't give a
# longer one.
DEFAULT_CALLER_STALL_S = 2.0
# A stream counts as stalled after this part of the time after which its caller leaves;
# the rest is for another target to go on with it.
STALL_FRACTION = 0.6
# A stalled stream that no other target can take at present is looked at again after
# this time.
RECHECK_S = 0.1


def stall_timeout_s(caller_stall_s: float | None) -> float:
    """Return after how many seconds without an event a stream counts as stalled."""
    if caller_stall_s is None:
        caller_stall_s = DEFAULT_CALLER_STALL_S
    return STALL_FRACTION * caller_stall_s


@define
class StreamProgress:
    """When the target of a stream last made progress (event loop clock, seconds).

    While the gateway waits for the caller to read, the target is not waited for.
    """

    timeout_s: float
    _last_event_at: float | None = None
    _waiting_for_caller: bool = False

    def record_event(self, now: float) -> None:
        """Record that the target has completed an event."""
        self._last_event_at = now

    def begin_wait_for_caller(self) -> None:
        """Stop the clock until the caller has read more."""
        self._waiting_for_caller = True

    def end_wait_for_caller(self, now: float) -> None:
        """Start the clock anew."""
        self._waiting_for_caller = False
        self._last_event_at = now

    def stalled(self, now: float) -> bool:
        """Whether the target has completed no event for too long.

        The time before its first event is the engine's queue and the prefill.
        """
        if self._last_event_at is None or self._waiting_for_caller:
            return False
        return now - self._last_event_at >= self.timeout_s

    def next_check_at(self, now: float) -> float:
        """Return when to ask again whether the stream is stalled."""
        if self.stalled(now):
            return now + RECHECK_S
        if self._last_event_at is None or self._waiting_for_caller:
            return now + self.timeout_s
        return self._last_event_at + self.timeout_s
