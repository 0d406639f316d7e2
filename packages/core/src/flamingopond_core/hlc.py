"""Hybrid logical clock: orders events of nodes whose clocks are not synchronized."""

from __future__ import annotations

_LOGICAL_BITS = 16


class HybridLogicalClock:
    """Issues increasing stamps that are later than every observed stamp.

    A stamp is an integer with milliseconds in the upper bits and a counter in the
    lower 16. ``now`` is a wall-clock time in seconds; it makes stamps readable, but
    the order does not rely on it.
    """

    def __init__(self) -> None:
        """Start below every stamp."""
        self._last = 0

    @property
    def last(self) -> int:
        """Newest stamp issued or observed."""
        return self._last

    def stamp(self, now: float) -> int:
        """Return a stamp later than all earlier ones."""
        self._last = max(int(now * 1000) << _LOGICAL_BITS, self._last + 1)
        return self._last

    def observe(self, stamp: int) -> None:
        """Record a stamp received from another node."""
        self._last = max(self._last, stamp)


def to_seconds(stamp: int) -> float:
    """Return the wall-clock part of a stamp in seconds."""
    return (stamp >> _LOGICAL_BITS) / 1000
