"""Exponentially decayed averages of the demand for models."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs

# The fast average follows bursts, the slow one keeps copies through lulls.
FAST_HALF_LIFE_S = 10.0
SLOW_HALF_LIFE_S = 120.0


@attrs.define
class DecayedRate:
    """A rate in tokens/s as an exponentially decayed average."""

    half_life_s: float
    _decayed_tokens: float = attrs.field(default=0.0, init=False)
    _updated_at: float = attrs.field(default=-math.inf, init=False)

    def add(self, tokens: float, now: float) -> None:
        """Count ``tokens`` at ``now``."""
        self._decayed_tokens = self._decayed(now) + tokens
        self._updated_at = max(now, self._updated_at)

    def rate(self, now: float) -> float:
        """Return the average in tokens/s."""
        return self._decayed(now) * math.log(2) / self.half_life_s

    def _decayed(self, now: float) -> float:
        if not self._decayed_tokens:
            return 0.0
        age_s = max(0.0, now - self._updated_at)
        return self._decayed_tokens * math.exp2(-age_s / self.half_life_s)


class Demand:
    """Demand for each model as seen by one node."""

    def __init__(self) -> None:
        """Start without any demand."""
        self._rates: dict[str, tuple[DecayedRate, DecayedRate]] = {}

    def add(self, model: str, tokens: float, now: float) -> None:
        """Count ``tokens`` of prompts and answers for ``model``."""
        rates = self._rates.get(model)
        if rates is None:
            rates = DecayedRate(FAST_HALF_LIFE_S), DecayedRate(SLOW_HALF_LIFE_S)
            self._rates[model] = rates
        for rate in rates:
            rate.add(tokens, now)

    def rates(self, now: float) -> dict[str, tuple[float, float]]:
        """Return each model's fast and slow average in tokens/s."""
        return {
            model: (fast.rate(now), slow.rate(now))
            for model, (fast, slow) in self._rates.items()
        }

    def retain(self, models: Iterable[str]) -> None:
        """Drop all models but these."""
        kept = set(models)
        self._rates = {m: r for m, r in self._rates.items() if m in kept}
