"""Health of each target, from the answers that this gateway has received."""

from __future__ import annotations

from attrs import define, field

# An unreachable target gets no requests for this long; each further consecutive
# failure doubles it. The list entries of crashed targets expire after three heartbeats
# (4 s), so longer quarantines are of no use.
QUARANTINE_S = 0.5
MAX_QUARANTINE_S = 4.0
# Weight of the newest outcome in the moving average of failures.
FAILURE_WEIGHT = 0.15
# Weight of the newest answer in the moving average of latency ratios.
LATENCY_RATIO_WEIGHT = 0.3
# What a latency ratio is above 1 halves in this time, so that a target that has
# recovered gets calls again.
LATENCY_HALF_LIFE_S = 3.0
# The failure ratio halves in this time, so that a target that has recovered gets
# requests again without health probes.
FAILURE_HALF_LIFE_S = 3.0
MAX_LATENCY_RATIO = 20.0
# Lower ratios count as usual: an idle target would get no calls at all for a small
# difference, and so could not show that it is as fast as the others.
MIN_SLOW_RATIO = 2.0


@define
class TargetHealth:
    """Health record of one incarnation of a target."""

    incarnation: tuple[str, int]
    _failure_ratio: float = 0.0
    _updated_at: float = 0.0
    _latency_ratio: float = 1.0
    _latency_at: float = 0.0
    _consecutive_failures: int = 0
    _quarantined_since: float = 0.0
    _quarantined_until: float = 0.0

    @property
    def quarantine(self) -> tuple[float, float]:
        """Start and end of the latest quarantine."""
        return self._quarantined_since, self._quarantined_until

    def failure_ratio(self, now: float) -> float:
        """Return the recent fraction of requests that failed, from 0 to 1."""
        age_s = max(now - self._updated_at, 0.0)
        return float(self._failure_ratio * 0.5 ** (age_s / FAILURE_HALF_LIFE_S))

    def latency_ratio(self, now: float) -> float:
        """Return the moving average of call durations over the usual durations."""
        age_s = max(now - self._latency_at, 0.0)
        excess = self._latency_ratio - 1
        return float(1 + excess * 0.5 ** (age_s / LATENCY_HALF_LIFE_S))

    def slowness(self, now: float) -> float:
        """Return the factor of the score for a target that is clearly slow, else 1."""
        ratio = self.latency_ratio(now)
        return ratio if ratio >= MIN_SLOW_RATIO else 1.0

    def record_latency(self, ratio: float, now: float) -> None:
        """Record a call's duration over the usual duration of such calls."""
        bounded = min(max(ratio, 1 / MAX_LATENCY_RATIO), MAX_LATENCY_RATIO)
        known = self.latency_ratio(now)
        self._latency_ratio = known + LATENCY_RATIO_WEIGHT * (bounded - known)
        self._latency_at = now

    def record_overdue(self, ratio: float, now: float) -> None:
        """Record that a call has taken ``ratio`` times the usual duration so far."""
        self._latency_ratio = max(self.latency_ratio(now), ratio)
        self._latency_at = now

    def usable(self, now: float) -> bool:
        """Whether the target is not in quarantine."""
        return now >= self._quarantined_until

    def record_success(self, now: float) -> None:
        """Record an answer that reports no failure."""
        self._record(0.0, now)
        self._consecutive_failures = 0
        self._quarantined_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record an answer that reports a failure or that was cut off."""
        self._record(1.0, now)

    def record_unreachable(self, now: float) -> None:
        """Record a connection that could not be opened or that stalled."""
        self._record(1.0, now)
        quarantine_s = min(
            QUARANTINE_S * 2**self._consecutive_failures, MAX_QUARANTINE_S
        )
        self._consecutive_failures = min(self._consecutive_failures + 1, 10)
        self._quarantined_since = now
        self._quarantined_until = now + quarantine_s

    def _record(self, failed: float, now: float) -> None:
        ratio = self.failure_ratio(now)
        self._failure_ratio = ratio + FAILURE_WEIGHT * (failed - ratio)
        self._updated_at = now


@define
class HealthTracker:
    """Health records by target; a new incarnation starts with a fresh one."""

    _records: dict[str, TargetHealth] = field(factory=dict)

    def of(self, incarnation: tuple[str, int]) -> TargetHealth:
        """Return the record of an incarnation, given as target id and ``start_id``."""
        target_id = incarnation[0]
        record = self._records.get(target_id)
        if record is None or record.incarnation != incarnation:
            record = self._records[target_id] = TargetHealth(incarnation)
        return record
