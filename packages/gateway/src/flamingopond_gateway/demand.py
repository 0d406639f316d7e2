"""Demand for models: rates at this gateway, and the total over all gateways."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field, frozen

from .messages import GatewayReport, InFlightCount, ModelRate, WaitingDemand

# Time constants of the exponential moving rates. Demand shifts over 4 to 6 s, about
# the duration of a load, so the difference of the two rates shows its trend.
FAST_TIME_CONSTANT_S = 1.0
SLOW_TIME_CONSTANT_S = 3.0
# Fraction of that difference that is added to the fast rate.
TREND_WEIGHT = 0.8
# Rates below this cost per second are not reported.
MIN_REPORTED_COST_PER_S = 20.0
# A generated token costs an engine as much as this many prompt tokens: a decode step
# for 16 requests takes 9 ms, and a prefill takes 1 ms per 25 prompt tokens.
OUTPUT_TOKEN_COST = 10
# Mean cost of a generation per prompt token. Generations on the measured deployments
# had 1,460 prompt tokens and 171 generated ones.
COST_PER_PROMPT_TOKEN = 2.2
# Reports older than this are ignored.
REPORT_MAX_AGE_S = 1.5


def generation_cost(prompt_tokens: int, output_tokens: int) -> int:
    """Return the cost of a generation to an engine, in prompt token equivalents."""
    return prompt_tokens + OUTPUT_TOKEN_COST * output_tokens


@define
class _Rate:
    fast: float = 0.0
    slow: float = 0.0
    updated_at: float = 0.0

    def add(self, cost: float, now: float) -> None:
        self.decay(now)
        self.fast += cost / FAST_TIME_CONSTANT_S
        self.slow += cost / SLOW_TIME_CONSTANT_S

    def decay(self, now: float) -> None:
        age_s = now - self.updated_at
        self.fast *= math.exp(-age_s / FAST_TIME_CONSTANT_S)
        self.slow *= math.exp(-age_s / SLOW_TIME_CONSTANT_S)
        self.updated_at = now


@define
class RateTracker:
    """Exponentially weighted demand rates of this gateway, by service and model."""

    _rates: dict[tuple[str, str], _Rate] = field(factory=dict)

    def add(self, service: str, model: str, cost: float, now: float) -> None:
        """Add the cost of a request."""
        self._rates.setdefault((service, model), _Rate()).add(cost, now)

    def rates(self, now: float) -> list[ModelRate]:
        """Return the rates to report; forgets those below the minimum."""
        reported = []
        for (service, model), rate in list(self._rates.items()):
            rate.decay(now)
            if max(rate.fast, rate.slow) >= MIN_REPORTED_COST_PER_S:
                model_rate = ModelRate(service, model, int(rate.fast), int(rate.slow))
                reported.append(model_rate)
            else:
                del self._rates[(service, model)]
        return reported


@frozen
class ModelDemand:
    """Demand of all gateways for one model; costs as in :func:`generation_cost`.

    ``rate`` is in cost per second. ``waited_s`` is the longest wait of the waiting
    requests, ``slack_s`` the least time left to meet a latency objective.
    """

    rate: float = 0.0
    waiting: int = 0
    waiting_cost: float = 0.0
    waited_s: float = 0.0
    slack_s: float = float("inf")


@define
class DemandTracker:
    """Keeps the newest report of each gateway at the lease holder."""

    _reports: dict[str, tuple[float, GatewayReport]] = field(factory=dict)

    def add_report(self, report: GatewayReport, now: float) -> bool:
        """Store a report; returns False if it is not the sender's newest."""
        known = self._reports.get(report.node)
        if known is not None:
            before = known[1]
            if (report.registration_version, report.number) <= (
                before.registration_version,
                before.number,
            ):
                return False
        self._reports[report.node] = (now, report)
        return True

    def reporters(self, now: float) -> int:
        """Return the number of gateways with a recent report."""
        return sum(1 for _ in self._fresh_reports(now))

    def gateways_waiting_for(self, models: Iterable[str], now: float) -> set[str]:
        """Return the gateways with requests that wait for one of ``models``."""
        names = set(models)
        return {
            report.node
            for report in self._fresh_reports(now)
            if any(demand.model in names for demand in report.waiting_demand)
        }

    def models(self, now: float) -> dict[tuple[str, str], ModelDemand]:
        """Return the demand by service and model."""
        fast: dict[tuple[str, str], int] = {}
        slow: dict[tuple[str, str], int] = {}
        waiting: dict[tuple[str, str], list[WaitingDemand]] = {}
        for report in self._fresh_reports(now):
            for rate in report.demand_rates:
                key = (rate.service, rate.model)
                fast[key] = fast.get(key, 0) + rate.fast
                slow[key] = slow.get(key, 0) + rate.slow
            for demand in report.waiting_demand:
                waiting.setdefault((demand.service, demand.model), []).append(demand)
        return {
            key: _model_demand(
                extrapolated_rate(fast.get(key, 0), slow.get(key, 0)),
                waiting.get(key, []),
            )
            for key in slow.keys() | waiting.keys()
        }

    def adapters(self, now: float) -> dict[tuple[str, str, str], ModelDemand]:
        """Return the demand of waiting requests by service, model and adapter."""
        waiting: dict[tuple[str, str, str], list[WaitingDemand]] = {}
        for report in self._fresh_reports(now):
            for demand in report.waiting_demand:
                if demand.adapter:
                    key = (demand.service, demand.model, demand.adapter)
                    waiting.setdefault(key, []).append(demand)
        return {key: _model_demand(0.0, demands) for key, demands in waiting.items()}

    def in_flight(self, now: float) -> Iterable[InFlightCount]:
        """Iterate over the in-flight requests that gateways report."""
        for report in self._fresh_reports(now):
            yield from report.in_flight

    def _fresh_reports(self, now: float) -> Iterable[GatewayReport]:
        for received_at, report in self._reports.values():
            if now - received_at < REPORT_MAX_AGE_S:
                yield report


def extrapolated_rate(fast: float, slow: float) -> float:
    """Extrapolate the trend of a rising or falling rate."""
    return max(fast + TREND_WEIGHT * (fast - slow), 0.0)


def _model_demand(rate: float, demands: list[WaitingDemand]) -> ModelDemand:
    if not demands:
        return ModelDemand(rate=rate)
    return ModelDemand(
        rate=rate,
        waiting=sum(demand.requests for demand in demands),
        waiting_cost=sum(demand.cost for demand in demands),
        waited_s=max(demand.waited_ms for demand in demands) / 1000,
        slack_s=min(demand.slack_ms for demand in demands) / 1000,
    )
