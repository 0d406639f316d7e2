"""An exact token bucket, for the baselines and to judge refusals and use."""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.define
class ExactBucket:
    """A bucket that starts full; ``rate`` in tokens/s, ``burst`` in tokens."""

    rate: float
    burst: float
    _level: float = attrs.field(init=False)
    _at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self._level = self.burst

    def holds(self, tokens: float, now: float) -> bool:
        """Return whether ``tokens`` could be taken."""
        self._advance(now)
        return self._level >= tokens

    def take(self, tokens: float, now: float) -> bool:
        """Take ``tokens`` if the bucket holds them."""
        if not self.holds(tokens, now):
            return False
        self._level -= tokens
        return True

    def charge(self, tokens: float, now: float) -> None:
        """Take ``tokens`` even if the bucket does not hold them."""
        self._advance(now)
        self._level -= tokens

    def give_back(self, tokens: float, now: float) -> None:
        """Return tokens that were taken and not used."""
        self._advance(now)
        self._level = min(self.burst, self._level + tokens)

    def _advance(self, now: float) -> None:
        if self._at is not None and now > self._at:
            self._level = min(self.burst, self._level + self.rate * (now - self._at))
        self._at = now if self._at is None else max(self._at, now)


def largest_excess(
    uses: Iterable[tuple[float, float]], rate: float, burst: float
) -> float:
    """Return the most tokens beyond burst + rate * t in any window of length t.

    ``uses`` are (time, tokens). A value of 0 or less means that the bound held.
    """
    used = 0.0
    at: float | None = None
    worst = -burst
    for when, tokens in sorted(uses):
        if at is not None:
            used = max(0.0, used - rate * (when - at))
        used += tokens
        at = when
        worst = max(worst, used - burst)
    return worst
