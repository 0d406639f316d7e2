"""Exact token bucket, for the baselines and to check admissions against limits."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.define
class ExactBucket:
    """Token bucket that starts full; ``rate`` in tokens/s, ``burst`` in tokens."""

    rate: float
    burst: float
    _level: float = attrs.field(init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self._level = self.burst

    def has_room(self, tokens: float, now: float) -> bool:
        """Return whether the bucket holds ``tokens``."""
        self._refill(now)
        return self._level >= tokens

    def try_take(self, tokens: float, now: float) -> bool:
        """Take ``tokens`` if the bucket holds them."""
        if not self.has_room(tokens, now):
            return False
        self._level -= tokens
        return True

    def charge(self, tokens: float, now: float) -> None:
        """Take ``tokens`` even if the level becomes negative."""
        self._refill(now)
        self._level -= tokens

    def refund(self, tokens: float, now: float) -> None:
        """Return tokens that were taken and not used."""
        self._refill(now)
        self._level = min(self.burst, self._level + tokens)

    def _refill(self, now: float) -> None:
        if self._updated_at is not None and now > self._updated_at:
            self._level = min(
                self.burst, self._level + self.rate * (now - self._updated_at)
            )
        self._updated_at = (
            now if self._updated_at is None else max(self._updated_at, now)
        )


def largest_excess(
    uses: Iterable[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return the most tokens used beyond burst + rate * t in any window of length t.

    ``uses`` are (time, tokens) pairs. At 0 or less the limit was kept.
    """
    level = 0.0
    previous: float | None = None
    worst = -burst
    for when, tokens in sorted(uses):
        if previous is not None:
            level = max(0.0, level - rate * (when - previous))
        level += tokens
        previous = when
        worst = max(worst, level - burst)
    return worst
