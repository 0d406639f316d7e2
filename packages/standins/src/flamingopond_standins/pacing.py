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

    async def enter(self) -> bool:
        """Wait for a turn; return ``False`` if the queue is too long."""
        if not self._rate:
            return True
        now = time.monotonic()
        start = max(now, self._free_at)
        if start - now > self._patience_s:
            return False
        self._free_at = start + 1.0 / self._rate
        await anyio.sleep(start - now)
        return True
