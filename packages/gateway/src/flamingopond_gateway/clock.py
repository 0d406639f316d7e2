"""The clock for times that must include system suspend."""

from __future__ import annotations

import time


def boot_time() -> float:
    """Return a monotonic time in seconds that includes system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
