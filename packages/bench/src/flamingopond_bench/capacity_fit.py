"""Straight lines through measured figures."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import numpy as np


@attrs.frozen
class Slope:
    """``intercept + slope * size``, and the share of the variance it explains."""

    intercept: float
    slope: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the value on the line at ``size``."""
        return self.intercept + self.slope * size


def fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Return the least-squares line through the points."""
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    slope, intercept = np.polyfit(x, y, 1)
    rest = float(((y - (intercept + slope * x)) ** 2).sum())
    total = float(((y - y.mean()) ** 2).sum())
    quality = 1.0 if total == 0.0 else 1.0 - rest / total
    return Slope(float(intercept), float(slope), quality)
