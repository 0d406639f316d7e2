"""What operators see of a busy event loop."""

from __future__ import annotations

from typing import Protocol

import structlog
from attrs import define

from .metrics import Metrics

# A timer that is this late is logged: deadlines of requests are missed by as much.
LOGGED_LAG_S = 0.1
# Shortest time between two log lines of a kind, and the peers that one names.
LOG_PERIOD_S = 1.0
MAX_LOGGED_PEERS = 8

log = structlog.get_logger()


class CostlyInput(Protocol):
    """The connections whose input waits for its turn to be parsed."""

    @property
    def waiting(self) -> int:
        """Number of connections."""

    @property
    def peers(self) -> set[str]:
        """IP addresses of their peers."""


@define
class LoopReport:
    """Records by how much timers are late, and which peers send costly input."""

    _metrics: Metrics
    _input: CostlyInput
    _lag_logged_at: float = float("-inf")
    _input_logged_at: float = float("-inf")

    def record(self, due_at: float, now: float) -> None:
        """Record a timer that was due at ``due_at``, both in seconds."""
        lag_s = max(now - due_at, 0.0)
        self._metrics.observe_loop_lag(lag_s)
        self._metrics.set_paced_connections(self._input.waiting)
        if lag_s >= LOGGED_LAG_S and now - self._lag_logged_at >= LOG_PERIOD_S:
            self._lag_logged_at = now
            log.warning("event loop delayed", lag_s=round(lag_s, 3))
        if self._input.waiting and now - self._input_logged_at >= LOG_PERIOD_S:
            self._input_logged_at = now
            log.warning(
                "input paced",
                connections=self._input.waiting,
                peers=",".join(sorted(self._input.peers)[:MAX_LOGGED_PEERS]),
            )
