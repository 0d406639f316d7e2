"""Budget that bounds the load added by retries."""

from __future__ import annotations

SHARE = 0.1
PER_SECOND = 1.0
HALF_LIFE = 5.0
_SECONDS = HALF_LIFE / 0.693
"""Length in seconds of the window that equals the decayed sums."""


class RetryBudget:
    """Allows retries up to a share of recent requests plus a constant rate.

    One budget serves one target group. Without it, a group that fails every
    request would receive each of them several times.
    """

    def __init__(self, share: float = SHARE, per_second: float = PER_SECOND) -> None:
        """Set the ``share`` of requests and the retries ``per_second`` beyond it."""
        self._share = share
        self._per_second = per_second
        self._requests = 0.0
        self._retries = 0.0
        self._at = 0.0

    def record_request(self, now: float) -> None:
        """Count a first attempt."""
        self._decay(now)
        self._requests += 1.0

    def allow_retry(self, now: float) -> bool:
        """Count a retry and return whether it may be made."""
        self._decay(now)
        if self._retries + 1.0 > self._share * self._requests + (
            self._per_second * _SECONDS
        ):
            return False
        self._retries += 1.0
        return True

    def _decay(self, now: float) -> None:
        factor = 0.5 ** (max(0.0, now - self._at) / HALF_LIFE)
        self._requests *= factor
        self._retries *= factor
        self._at = max(self._at, now)
