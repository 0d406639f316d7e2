"""Hybrid logical clock: orders events of several nodes without synchronised clocks."""

from __future__ import annotations

_LOGICAL_BITS = 16


class HybridLogicalClock:
    """Issues stamps that rise and follow every stamp that was observed.

    A stamp is an integer: milliseconds in the upper bits, a counter in the lower
    16. ``now`` is a wall-clock time in seconds; it only keeps stamps readable.
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
        """Take note of a ``stamp`` received from another node."""
        self._last = max(self._last, stamp)


def to_seconds(stamp: int) -> float:
    """Return the wall-clock part of a stamp in seconds."""
    return (stamp >> _LOGICAL_BITS) / 1000
