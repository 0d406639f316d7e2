"""Rate limiter of the fake services."""

from __future__ import annotations

import time

import anyio


class RateLimiter:
    """Delays operations so that ``rate_per_s`` of them start per second.

    An operation that would wait longer than ``max_wait_s`` is rejected. A rate of 0
    means no limit.
    """

    def __init__(self, rate_per_s: float, max_wait_s: float = 1.0) -> None:
        """Start without waiting operations."""
        self._rate_per_s = rate_per_s
        self._max_wait_s = max_wait_s
        self._next_slot = 0.0

    def reserve(self, now: float) -> float | None:
        """Reserve a slot; return the seconds until it, or ``None`` if rejected."""
        if not self._rate_per_s:
            return 0.0
        start = max(now, self._next_slot)
        if start - now > self._max_wait_s:
            return None
        self._next_slot = start + 1.0 / self._rate_per_s
        return start - now

    async def acquire(self) -> bool:
        """Wait for a slot; return ``False`` if the operation is rejected."""
        delay_s = self.reserve(time.monotonic())
        if delay_s is None:
            return False
        if delay_s:
            await anyio.sleep(delay_s)
        return True
