"""Usual duration of calls to each service, as this gateway measures it."""

from __future__ import annotations

from attrs import define, field

# Weight of the newest call in the moving average of a service's durations.
DURATION_WEIGHT = 0.1
# A duration counts at most this many times the average, so that calls that hang don't
# become the usual case.
MAX_DURATION_RATIO = 4.0
# Shorter averages are not told apart from delays of this gateway.
MIN_DURATION_S = 0.02
# A call that takes these multiples of the usual duration marks its target as slow
# before it ends.
OVERDUE_RATIOS = (3.0, 6.0, 12.0)


@define
class CallLatency:
    """Moving averages of the durations of calls, by service (seconds)."""

    _durations_s: dict[str, float] = field(factory=dict)

    def usual_s(self, service: str, objective_s: float) -> float:
        """Return the usual duration of a call; without a sample, its objective."""
        return max(self._durations_s.get(service, objective_s), MIN_DURATION_S)

    def overdue(self, service: str, objective_s: float, duration_s: float) -> bool:
        """Whether a call that took ``duration_s`` took far longer than usual.

        Without a sample of the service, a call is overdue once it misses its objective.
        """
        known_s = self._durations_s.get(service)
        if known_s is None:
            return duration_s >= objective_s
        return duration_s >= OVERDUE_RATIOS[0] * max(known_s, MIN_DURATION_S)

    def record(self, service: str, duration_s: float) -> None:
        """Record a call that was answered."""
        known_s = self._durations_s.get(service)
        if known_s is None:
            self._durations_s[service] = duration_s
            return
        bounded_s = min(duration_s, MAX_DURATION_RATIO * max(known_s, MIN_DURATION_S))
        self._durations_s[service] = known_s + DURATION_WEIGHT * (bounded_s - known_s)
