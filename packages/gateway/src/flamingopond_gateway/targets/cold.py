"""Cold targets: which incarnations take few requests, how many, and until when."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from ..configuration import Configuration, Service
from ..settings import Bounds
from .conditions import Block, UnavailableReason
from .roster import Target

# A grant to a cold target that no dispatch request has confirmed by then is dropped,
# and its request counts again. It is sent twice within this time.
GRANT_VALID_S = 0.1
# A gateway uses a grant only this long after the dispatch request that it answers.
# Dispatch requests are repeated every 0.1 s.
ANSWER_VALID_S = 0.25
# Time from the last check before a request is sent until it arrives at the target.
TRANSIT_S = 0.05
# Requests that arrive in a second were granted within this time, see
# docs/design/cold-and-evacuated.md.
WINDOW_S = 1.0 + GRANT_VALID_S + ANSWER_VALID_S + TRANSIT_S
# Requests that may be granted at once after a pause, if the bound leaves room for it.
MAX_BURST = 2
# The rate stays below the one at which the bound would be reached.
RATE_MARGIN = 0.99
# Incarnations that are remembered; the largest fleet has 12,000 engines.
MAX_SEEN = 20000


@frozen
class ColdRate:
    """Requests per second, and at once, that a dispatcher grants to a cold target."""

    per_s: float
    burst: int


def cold_rate(per_s: float, bounds: Bounds) -> ColdRate:
    """Return what keeps the requests in any second within the bound.

    ``per_s`` is what a cold target takes. A token bucket grants at most ``burst`` +
    ``WINDOW_S`` x rate requests in ``WINDOW_S``, which has to stay below the next whole
    number above the bound.
    """
    limit = math.floor(per_s * bounds.cold_over + bounds.cold_slack)
    burst = max(min(MAX_BURST, limit - 1), 1)
    most = RATE_MARGIN * (limit + 1 - burst) / WINDOW_S
    return ColdRate(min(per_s, most) if limit >= 1 else 0.0, burst)


@frozen
class ColdPeriod:
    """The time in which one incarnation of a target is cold; see ``Block``."""

    start_id: int
    source: str
    since: float
    until: float


@define
class ColdTargets:
    """The targets that are cold at present, as far as this gateway knows.

    Services without a cold time or rate have none. Periods end in :meth:`expire`.
    """

    configuration: Callable[[], Configuration | None] = lambda: None
    bounds: Bounds | None = None
    _periods: dict[str, ColdPeriod] = field(factory=dict)
    # The last incarnation of each target that has been listed.
    _seen: dict[str, int] = field(factory=dict)
    _traffic: bool = False

    @property
    def active(self) -> bool:
        """Whether any target is cold."""
        return bool(self._periods)

    def __len__(self) -> int:
        """Count the cold targets."""
        return len(self._periods)

    def note_traffic(self) -> None:
        """Record that this gateway or another one gets requests."""
        self._traffic = True

    def observe(self, target: Target, started: bool, now: float) -> ColdPeriod | None:
        """Record an entry of a target; return its cold period if that is new.

        ``started`` is whether the gateway has read the list before. What the entry
        says counts; without it, an incarnation that appears during traffic is assumed
        to have just started.
        """
        known = self._periods.get(target.id)
        appeared = self._seen.get(target.id) != target.start_id
        self._seen[target.id] = target.start_id
        while len(self._seen) > MAX_SEEN:
            del self._seen[next(iter(self._seen))]
        if known is not None and known.start_id != target.start_id:
            del self._periods[target.id]
            known = None
        service = self._service(target)
        if service is None:
            return None
        if target.cold_left_s is not None:
            return self._apply_entry(target, target.cold_left_s, known, now)
        if appeared and started and self._traffic:
            return self._begin(target, "appeared", now, now + service.cold_s)
        return None

    def begin_after_evacuation(
        self, targets: Iterable[Target], now: float
    ) -> list[Target]:
        """Take targets whose evacuation has ended as cold; return those it concerns."""
        begun = []
        for target in targets:
            service = self._service(target)
            if service is not None:
                self._begin(target, "evacuation", now, now + service.cold_s)
                begun.append(target)
        return begun

    def expire(self, now: float) -> list[str]:
        """End the periods that are over; return the ids of their targets."""
        ended = [name for name, one in self._periods.items() if one.until <= now]
        for name in ended:
            del self._periods[name]
        return ended

    def rate(self, target: Target) -> ColdRate | None:
        """Return what a target may be granted, None if it isn't cold."""
        if self._period(target) is None:
            return None
        service = self._service(target)
        if service is None or self.bounds is None:
            return None
        return cold_rate(service.cold_per_s, self.bounds)

    def block(self, target: Target, now: float) -> Block | None:
        """Return why ``target`` gets requests by grants only, None if it isn't cold."""
        period = self._period(target)
        if period is None:
            return None
        return Block(UnavailableReason.COLD, period.source, period.since, period.until)

    def _period(self, target: Target) -> ColdPeriod | None:
        period = self._periods.get(target.id)
        if period is None or period.start_id != target.start_id:
            return None
        return period

    def _service(self, target: Target) -> Service | None:
        """Return the service of a target if its targets can be cold."""
        configuration = self.configuration()
        if configuration is None:
            return None
        service = configuration.services.get(target.service)
        if service is None or not service.cold_s or not service.cold_per_s:
            return None
        return service

    def _apply_entry(
        self, target: Target, left_s: float, known: ColdPeriod | None, now: float
    ) -> ColdPeriod | None:
        """Apply what an entry says; it doesn't shorten the time after an evacuation."""
        until = now + left_s
        if known is not None and known.source == "evacuation":
            self._begin(target, "evacuation", now, max(until, known.until))
            return None
        if left_s <= 0:
            self._periods.pop(target.id, None)
            return None
        period = self._begin(target, "entry", now, until)
        return period if known is None else None

    def _begin(
        self, target: Target, source: str, now: float, until: float
    ) -> ColdPeriod:
        known = self._period(target)
        since = now if known is None else known.since
        period = ColdPeriod(target.start_id, source, since, until)
        self._periods[target.id] = period
        return period
