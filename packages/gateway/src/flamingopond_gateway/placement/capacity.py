"""Capacity model of a service's engines, for the planner.

It splits the demand for each model over the engines that hold it, as the gateways
do, and computes the demand that remains unmet.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, field

from ..configuration import EngineSpec
from ..demand import ModelDemand
from ..targets.engines import EngineState

# Cost that an engine serves per second, in prompt tokens; see demand.generation_cost.
ENGINE_SERVED_COST_PER_S = 28000.0
# Demand is planned this far ahead; about the duration of a load.
HORIZON_S = 4.0
# Above this fraction of their capacity, engines answer many requests too late, so
# load beyond it counts as unmet demand.
TARGET_UTILIZATION = 0.6
# Unmet cost added per second that a request has waited, so that a request for a rare
# model is served before its caller gives up, however great the demand for others.
WAITING_COST_PER_S = 3000.0
# Longest wait that is counted in this way.
MAX_WAITING_S = 6.0
# Fixed overhead of a load: order, unload notice and first requests.
LOAD_OVERHEAD_S = 0.7
# A model with at least this fraction of the busiest one's demand is a candidate for
# the next busiest, and gets as many copies on idle engines.
CANDIDATE_DEMAND_RATIO = 0.12
# Value of such a copy: the cost of two requests, so that unmet demand goes first.
CANDIDATE_COPY_VALUE = 6000.0
# Lowest demand of a candidate, in cost per second: about one request per second.
MIN_CANDIDATE_COST_PER_S = 3000.0
# Up to this load time, copies follow demand when it comes: a caller that waits for one
# still gets its first event within a few seconds. Memory then holds more models instead
# of copies for demand that is only expected.
FAST_LOAD_S = 2.0
# Models with demand below this fraction of an engine's capacity are rare.
RARE_UTILIZATION = 0.2
# Fraction of the engines that may load rare models from the weight store at once:
# such a load blocks all other orders to the engine for seconds.
STORE_LOADING_ENGINES_FRACTION = 0.34
# Once the unmet demand for a model that is not rare exceeds this fraction of what an
# engine serves in the horizon, loads of rare models are limited: each of them serves
# a few requests and blocks other orders to the engine for up to 9 s.
PRESSURE_FRACTION = 0.25
# Fraction of the engines that may load rare models then, starving ones included.
RARE_ENGINES_FRACTION = 0.15
# A model without a copy is starving once requests have waited this long for it, and
# goes before all other demand.
STARVING_S = 7.0
# Fraction of the engines that may load starving models at a time.
STARVING_ENGINES_FRACTION = 0.11
# Iterations that balance the split of demand over copies.
SPLIT_ITERATIONS = 4


def loads_are_fast(spec: EngineSpec) -> bool:
    """Whether every model of a service can be loaded once requests wait for it."""
    return all(model.load_s <= FAST_LOAD_S for model in spec.models.values())


@define
class CapacityModel:
    """Copies, demand and load of one service's engines at one moment.

    ``incoming`` counts the copies that are planned or being loaded, by model.
    ``utilizations`` (by engine) and ``shares`` (by engine and model) are fractions of
    an engine's capacity.
    """

    spec: EngineSpec
    engines: list[EngineState]
    demand: Mapping[str, ModelDemand]
    engines_by_model: dict[str, list[EngineState]] = field(factory=dict)
    incoming: dict[str, int] = field(factory=dict)
    planned_starving: int = 0
    rare_loads_blocked: bool = False
    shares: dict[tuple[str, str], float] = field(factory=dict)
    utilizations: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Count copies, then split each model's demand over its holders."""
        for engine in self.engines:
            self.utilizations[engine.target.id] = engine.reserved_utilization
            for name in engine.models:
                if name != engine.unloading:
                    self.engines_by_model.setdefault(name, []).append(engine)
            for incoming_name in {engine.planned_model, engine.loading}:
                if incoming_name and incoming_name not in engine.models:
                    self.incoming[incoming_name] = (
                        self.incoming.get(incoming_name, 0) + 1
                    )
        self._split_demand()
        self._update_rare_block()

    def relative_demand(self, name: str) -> float:
        """Return the demand for a model as a fraction of an engine's capacity."""
        demand = self.demand.get(name)
        return demand.rate / ENGINE_SERVED_COST_PER_S if demand is not None else 0.0

    def copies(self, name: str) -> int:
        """Return the number of copies of a model, incoming ones included."""
        return len(self.engines_by_model.get(name, ())) + self.incoming.get(name, 0)

    def utilization(self, engine: EngineState) -> float:
        """Return an engine's load as a fraction of its capacity."""
        return self.utilizations[engine.target.id]

    def share(self, engine: EngineState, name: str) -> float:
        """Return the part of :meth:`utilization` that is due to one model."""
        return self.shares.get((engine.target.id, name), 0.0)

    def unmet(self, name: str) -> float:
        """Return the cost that the copies of a model leave unserved in the horizon."""
        demand = self.demand.get(name)
        if demand is None:
            return 0.0
        cost = demand.waiting_cost + WAITING_COST_PER_S * min(
            demand.waited_s, MAX_WAITING_S
        )
        if not demand.waiting:
            cost = 0.0
        holders = self.engines_by_model.get(name)
        if not holders:
            cost += demand.rate * HORIZON_S
        else:
            for engine in holders:
                excess = max(self.utilization(engine) - TARGET_UTILIZATION, 0.0)
                fraction = self.share(engine, name) / max(
                    self.utilization(engine), 1e-9
                )
                cost += excess * fraction * ENGINE_SERVED_COST_PER_S * HORIZON_S
        return cost - self._incoming_cost(name)

    def starving(self, name: str) -> bool:
        """Whether requests have waited too long for a model without a copy."""
        demand = self.demand.get(name)
        return (
            demand is not None
            and demand.waiting > 0
            and demand.waited_s > STARVING_S
            and self.copies(name) == 0
        )

    def starving_limit_reached(self) -> bool:
        """Whether no more engines may load starving models."""
        limit = max(1, math.ceil(STARVING_ENGINES_FRACTION * len(self.engines)))
        return self.planned_starving >= limit

    def rare(self, name: str) -> bool:
        """Whether a model's demand is a small fraction of an engine's capacity."""
        return self.relative_demand(name) < RARE_UTILIZATION

    def under_pressure(self) -> bool:
        """Whether a model that is not rare has too few copies."""
        threshold = PRESSURE_FRACTION * ENGINE_SERVED_COST_PER_S * HORIZON_S
        return any(
            not self.rare(name) and self.unmet(name) > threshold for name in self.demand
        )

    def rare_limit_reached(self) -> bool:
        """Whether no more engines may load rare models under pressure."""
        limit = max(1, round(RARE_ENGINES_FRACTION * len(self.engines)))
        loading = 0
        for engine in self.engines:
            name = engine.loading or engine.planned_model or ""
            loading += name != "" and self.rare(name)
        return loading >= limit

    def candidate_value(self, name: str) -> float:
        """Return the value of more copies of a model that may become the busiest."""
        if loads_are_fast(self.spec):
            return 0.0
        busiest = max((demand.rate for demand in self.demand.values()), default=0.0)
        rate = self.demand[name].rate if name in self.demand else 0.0
        if rate < max(CANDIDATE_DEMAND_RATIO * busiest, MIN_CANDIDATE_COST_PER_S):
            return 0.0
        copies = math.ceil(busiest / (ENGINE_SERVED_COST_PER_S * TARGET_UTILIZATION))
        missing = min(copies, len(self.engines)) - self.copies(name)
        return max(missing, 0) * CANDIDATE_COPY_VALUE

    def add_planned_copy(
        self, engine: EngineState, name: str, evictions: Iterable[str]
    ) -> None:
        """Account for a planned copy and for the evictions that it needs."""
        self.planned_starving += self.starving(name)
        self.incoming[name] = self.incoming.get(name, 0) + 1
        for evicted in evictions:
            self.engines_by_model[evicted].remove(engine)
            self.utilizations[engine.target.id] -= self.share(engine, evicted)
            self.shares.pop((engine.target.id, evicted), None)
            self._split_demand()
        self._update_rare_block()

    def store_load_limit_reached(self) -> bool:
        """Whether no more engines may load rare models from the weight store."""
        limit = max(1, int(STORE_LOADING_ENGINES_FRACTION * len(self.engines)))
        loading = 0
        for engine in self.engines:
            name = engine.loading or engine.planned_model
            model = self.spec.models.get(name) if name else None
            loading += model is not None and engine.needs_store_load(model)
        return loading >= limit

    def _update_rare_block(self) -> None:
        self.rare_loads_blocked = self.rare_limit_reached() and self.under_pressure()

    def _incoming_cost(self, name: str) -> float:
        incoming = self.incoming.get(name, 0)
        return incoming * ENGINE_SERVED_COST_PER_S * TARGET_UTILIZATION * HORIZON_S

    def _split_demand(self) -> None:
        """Split demand over holders as gateways do: less loaded ones get more."""
        for iteration in range(SPLIT_ITERATIONS):
            for name, holders in self.engines_by_model.items():
                rate = self.relative_demand(name)
                if rate <= 0:
                    continue
                weights = [
                    1.0
                    if iteration == 0
                    else 1.0 / (self.utilization(e) - self.share(e, name) + 0.05)
                    for e in holders
                ]
                total = sum(weights)
                for engine, weight in zip(holders, weights, strict=True):
                    key = (engine.target.id, name)
                    share = rate * weight / total
                    self.utilizations[engine.target.id] += share - self.shares.get(
                        key, 0.0
                    )
                    self.shares[key] = share
