"""Linear fits of measured values."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
import numpy as np


@attrs.frozen
class LinearFit:
    """The line ``intercept + slope * size`` and its coefficient of determination."""

    intercept: float
    slope: float
    r_squared: float

    def predict(self, size: float) -> float:
        """Return the fitted value at ``size``."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LinearFit:
    """Return the least-squares line through the points."""
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    slope, intercept = np.polyfit(x, y, 1)
    residual = float(((y - (intercept + slope * x)) ** 2).sum())
    total = float(((y - y.mean()) ** 2).sum())
    r_squared = 1.0 if total == 0.0 else 1.0 - residual / total
    return LinearFit(float(intercept), float(slope), r_squared)
