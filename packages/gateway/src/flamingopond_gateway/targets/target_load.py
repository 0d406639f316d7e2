"""Load that targets report in their responses."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from ..messages import PublishedDuration
from .roster import Target

# A reported duration changes many times a second. What its factor differs from 1 halves
# in this time, so that a target that was slow gets work again, and can say how it is.
# Simulated with durations that change every 0.2 s to 4 s or not at all, 1 to 4 s gave
# calls of about the same mean length, and shorter times longer calls.
DURATION_HALF_LIFE_S = 2.0
# Figures are averaged over about this time, as single ones vary.
AVERAGING_TIME_S = 0.3
# Weight of a figure that arrives at once after another one.
MIN_WEIGHT = 0.1
# Smaller differences count as none: an idle target would get no requests for them, and
# could not show that it is as fast as the others.
MIN_DIFFERENCE = 0.1
# As for the latencies that the gateway measures itself.
MAX_DURATION_FACTOR = 20.0
# Targets that are remembered, the ones heard last; above the planned 12,000 engines.
MAX_TARGETS = 16384
# A gateway's own figures are reported for this long, about the longest period of
# reports. One that is reported twice only weighs more in the average.
REPORTED_S = 0.4
# Averages are published in summaries for this long; they have decayed by then.
PUBLISHED_S = 4 * DURATION_HALF_LIFE_S
# Figures in one message, the newest first; some 25 bytes each.
MAX_PUBLISHED = 64


@frozen
class LoadFigures:
    """What one incarnation of a target has reported.

    ``counts`` are its running and waiting requests and its slots. ``duration`` is how
    long work takes there, averaged, as a factor of what is usual. Each has the time of
    its newest report, None without any. ``heard`` is the newest duration in a response
    to this gateway, and ``heard_at`` its time.
    """

    start_id: int
    counts: tuple[int, int, int] | None = None
    counts_at: float | None = None
    duration: float | None = None
    duration_at: float | None = None
    heard: float | None = None
    heard_at: float = float("-inf")


@define
class TargetLoads:
    """The figures of each target, from the responses that this gateway has received."""

    _figures: dict[str, LoadFigures] = field(factory=dict)

    def get(self, target: Target) -> LoadFigures | None:
        """Return what an incarnation has reported, None if it has reported nothing."""
        figures = self._figures.get(target.id)
        if figures is None or figures.start_id != target.start_id:
            return None
        return figures

    def record(
        self,
        target: Target,
        counts: tuple[int, int, int] | None,
        duration_percent: float | None,
        now: float,
    ) -> bool:
        """Record the figures of a response; None stands for those it lacks.

        Returns whether the target has reported a duration for the first time.
        """
        if counts is None and duration_percent is None:
            return False
        known = self._figures.get(target.id)
        if known is not None and known.start_id > target.start_id:
            return False
        figures = self.get(target) or LoadFigures(target.start_id)
        is_first = duration_percent is not None and figures.duration is None
        if counts is not None:
            figures = evolve(figures, counts=counts, counts_at=now)
        if duration_percent is not None:
            duration = duration_percent / 100
            figures = _with_duration(figures, duration, now)
            figures = evolve(figures, heard=duration, heard_at=now)
        self._set(target.id, figures)
        return is_first

    def merge(self, published: Iterable[PublishedDuration], now: float) -> None:
        """Average in what another gateway has heard, as the hub that it reports to."""
        for entry in published:
            figures = self._published_figures(entry)
            if figures is not None:
                heard_at = now - entry.age_ms / 1000
                averaged = _with_duration(figures, entry.percent / 100, heard_at)
                self._set(entry.target, averaged)

    def adopt(self, published: Iterable[PublishedDuration], now: float) -> None:
        """Use the averages of a hub's summary that are newer than what is known."""
        for entry in published:
            figures = self._published_figures(entry)
            heard_at = now - entry.age_ms / 1000
            if figures is None or (
                figures.duration_at is not None and figures.duration_at >= heard_at
            ):
                continue
            duration = entry.percent / 100
            self._set(
                entry.target, evolve(figures, duration=duration, duration_at=heard_at)
            )

    def reported(self, now: float) -> list[PublishedDuration]:
        """Return what this gateway has heard itself lately, for its report."""
        return _publish(
            (
                (target_id, figures.start_id, figures.heard, now - figures.heard_at)
                for target_id, figures in self._figures.items()
                if figures.heard is not None and now - figures.heard_at < REPORTED_S
            )
        )

    def summarized(self, now: float) -> list[PublishedDuration]:
        """Return the averages of all gateways' figures, for a hub's summary."""
        return _publish(
            (
                (target_id, figures.start_id, figures.duration, age_s)
                for target_id, figures in self._figures.items()
                if figures.duration is not None
                and figures.duration_at is not None
                and (age_s := now - figures.duration_at) < PUBLISHED_S
            )
        )

    def _published_figures(self, entry: PublishedDuration) -> LoadFigures | None:
        """Return the figures to update, None if they are those of a newer start."""
        known = self._figures.get(entry.target)
        if known is None or known.start_id < entry.start_id:
            return LoadFigures(entry.start_id)
        return known if known.start_id == entry.start_id else None

    def _set(self, target_id: str, figures: LoadFigures) -> None:
        # Moved to the end: those heard last are kept longest.
        self._figures.pop(target_id, None)
        self._figures[target_id] = figures
        while len(self._figures) > MAX_TARGETS:
            del self._figures[next(iter(self._figures))]

    def duration_factor(self, target: Target, now: float) -> float:
        """Return how long work takes at a target, 1 for as usual or not known.

        The factor of an older report is closer to 1.
        """
        figures = self.get(target)
        if figures is None or figures.duration is None or figures.duration_at is None:
            return 1.0
        age_s = max(now - figures.duration_at, 0.0)
        difference = figures.duration - 1
        difference *= 0.5 ** (age_s / DURATION_HALF_LIFE_S)
        if abs(difference) < MIN_DIFFERENCE:
            return 1.0
        return float(min(1 + difference, MAX_DURATION_FACTOR))


def _with_duration(figures: LoadFigures, duration: float, now: float) -> LoadFigures:
    """Average ``duration`` into the figures; it weighs more after a longer time."""
    if figures.duration is not None and figures.duration_at is not None:
        elapsed_s = max(now - figures.duration_at, 0.0)
        weight = max(1 - math.exp(-elapsed_s / AVERAGING_TIME_S), MIN_WEIGHT)
        duration = figures.duration + weight * (duration - figures.duration)
        now = max(now, figures.duration_at)
    return evolve(figures, duration=duration, duration_at=now)


def _publish(
    durations: Iterable[tuple[str, int, float, float]],
) -> list[PublishedDuration]:
    newest = sorted(durations, key=lambda entry: entry[3])
    return [
        PublishedDuration(
            target_id, start_id, round(100 * duration), max(round(1000 * age_s), 0)
        )
        for target_id, start_id, duration, age_s in newest[:MAX_PUBLISHED]
    ]
