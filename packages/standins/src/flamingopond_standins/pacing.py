"""Rate limits of stand-ins, kept in real time."""

from __future__ import annotations

import time

import anyio


class Pacer:
    """Lets ``rate`` operations a second through and delays the others.

    An operation that would wait more than ``patience_s`` is turned down. A rate
    of 0 means no limit.
    """

    def __init__(self, rate: float, patience_s: float = 1.0) -> None:
        """Start with no operation waiting."""
        self._rate = rate
        self._patience_s = patience_s
        self._free_at = 0.0

    def reserve(self, now: float) -> float | None:
        """Take the next turn; return the seconds until then, or ``None``."""
        if not self._rate:
            return 0.0
        start = max(now, self._free_at)
        if start - now > self._patience_s:
            return None
        self._free_at = start + 1.0 / self._rate
        return start - now

    async def enter(self) -> bool:
        """Wait for a turn; return ``False`` if the queue is too long."""
        delay = self.reserve(time.monotonic())
        if delay is None:
            return False
        if delay:
            await anyio.sleep(delay)
        return True
