"""Times of a planned stop, counted from SIGTERM."""

from __future__ import annotations

from attrs import frozen

# New connections still arrive until two readiness checks, 1 s apart, have failed.
LISTEN_AFTER_TERM_S = 2.6
# Most responses take no longer than this. Requests that arrive with less time left
# before the process exits are refused: their callers still have time to return.
MAX_RESPONSE_TIME_S = 5.0
# The process exits this long before the platform would kill it.
EXIT_MARGIN_S = 0.5


@frozen
class ShutdownTimes:
    """When a terminating process stops to listen, to take requests, and to run.

    ``grace_s`` is the time after which the platform kills it (seconds).
    """

    grace_s: float

    @property
    def end_s(self) -> float:
        """When the process exits, whatever is still running."""
        return max(self.grace_s - EXIT_MARGIN_S, 0.0)

    @property
    def listen_s(self) -> float:
        """Until when it takes new connections, and requests may wait."""
        return min(LISTEN_AFTER_TERM_S, self.end_s)

    @property
    def refuse_s(self) -> float:
        """From when it refuses all new requests; never before ``listen_s``."""
        return max(self.end_s - MAX_RESPONSE_TIME_S, self.listen_s)
