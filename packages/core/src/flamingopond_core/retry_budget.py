"""Budget that bounds the load added by retries."""

from __future__ import annotations

RETRY_RATIO = 0.1
MIN_RETRIES_PER_S = 1.0
HALF_LIFE_S = 5.0
_WINDOW_S = HALF_LIFE_S / 0.693
"""Length of a plain window with the same sum as the decayed one at a constant rate."""


class RetryBudget:
    """Allows retries up to a ratio of recent requests plus a constant rate.

    Each target group has its own budget. Without it, a group that fails every request
    would receive each of them several times.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, min_retries_per_s: float = MIN_RETRIES_PER_S
    ) -> None:
        """Set the retries allowed per request and the constant rate on top of it."""
        self._ratio = ratio
        self._min_retries_per_s = min_retries_per_s
        self._requests = 0.0
        self._retries = 0.0
        self._decayed_at = 0.0

    def record_request(self, now: float) -> None:
        """Count a first attempt."""
        self._decay(now)
        self._requests += 1.0

    def allow_retry(self, now: float) -> bool:
        """Return whether a retry may be made, and count it if so."""
        self._decay(now)
        if self._retries + 1.0 > self._ratio * self._requests + (
            self._min_retries_per_s * _WINDOW_S
        ):
            return False
        self._retries += 1.0
        return True

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._decayed_at) / HALF_LIFE_S)
        self._requests *= factor
        self._retries *= factor
        self._decayed_at = max(self._decayed_at, now)
