"""Planning of model and adapter placement under changing demand.

The lease holder calls :meth:`Planner.plan` several times a second. Each idle
engine gets the model whose copy serves the most unmet demand per second of loading,
less the demand that the evicted copies would have served. Where all demand is met,
models without a copy fill free memory.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from ..configuration import EngineSpec, Model
from ..demand import ModelDemand
from ..settings import Bounds
from ..targets.engines import EngineState
from ..targets.orders import LoadRateLimiter, Order, OrderKind, PlannedOrder
from .capacity import (
    ENGINE_SERVED_COST_PER_S,
    HORIZON_S,
    LOAD_OVERHEAD_S,
    TARGET_UTILIZATION,
    CapacityModel,
    loads_are_fast,
)

# Unmet demand below this cost, less than half a request, is not worth a load.
MIN_UNMET_COST = 500.0
# Least cost of unloading the last copy of a model: that of its likely next request.
MIN_LAST_COPY_COST = 1500.0
# An unload waits for the running requests of its model: this long, plus
# UNLOAD_S_PER_REQUEST for each of them, as they share the engine.
BUSY_UNLOAD_S = 1.0
UNLOAD_S_PER_REQUEST = 0.15
# Before there is any demand, each initial copy of a model beyond the first counts as
# this much demand, as a fraction of an engine's capacity: whoever placed it expected
# it to be used.
PRIOR_UTILIZATION_PER_COPY = 0.3
# Fraction of the engines' total capacity that models with adapters are expected to
# use.
PRIOR_ADAPTER_MODELS_FRACTION = 0.36
# A copy is not unloaded for this long after its load. Otherwise two competing models
# would evict each other before either served a request.
MIN_RESIDENCY_S = 1.5
# Extra value of a copy for a starving model; see CapacityModel.starving.
STARVING_VALUE = 40000.0
# Period in which the next model of each idle engine is chosen.
MODEL_CHOICE_PERIOD_S = 0.2
# An adapter that an engine holds is loaded on another one, too, once requests have
# waited this long for it.
ADAPTER_REPLICATION_WAIT_S = 0.2


@frozen
class _LoadOption:
    """A model that an engine could load, and the models to evict for it.

    ``value`` is the gain in served cost per second of loading.
    """

    engine: EngineState
    model: Model
    evictions: tuple[str, ...]
    value: float


@define
class Planner:
    """Plans the orders to the engines of all services."""

    bounds: Bounds
    load_limiter: LoadRateLimiter = field(init=False)
    _chosen_at: dict[str, float] = field(factory=dict)
    _initial_models: dict[str, dict[str, frozenset[str]]] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        """Create the load limit."""
        self.load_limiter = LoadRateLimiter(self.bounds)

    def plan(
        self,
        service: str,
        spec: EngineSpec,
        engines: Iterable[EngineState],
        demand: Mapping[str, ModelDemand],
        now: float,
    ) -> list[PlannedOrder]:
        """Return the model orders to send now, at most one per engine.

        Loads from the weight store among them count in ``load_limiter`` from now on.
        """
        engine_list = list(engines)
        last_chosen_at = self._chosen_at.get(service, float("-inf"))
        if now - last_chosen_at >= MODEL_CHOICE_PERIOD_S:
            self._chosen_at[service] = now
            for engine in engine_list:
                if not engine.busy:
                    engine.planned_model = None
            expected_demand = demand
            if not demand and not loads_are_fast(spec):
                expected_demand = self._prior_demand(service, spec, engine_list)
            capacity = CapacityModel(spec, engine_list, expected_demand)
            self._choose_models(capacity, now)
            self._fill_free_memory(capacity, now)
        orders = []
        for engine in engine_list:
            planned = self._next_order(spec, engine, now)
            if planned is not None:
                if planned.from_weight_store:
                    self.load_limiter.record_order()
                orders.append(planned)
        return orders

    def plan_adapters(
        self,
        spec: EngineSpec,
        engines: Iterable[EngineState],
        demand: Mapping[tuple[str, str], ModelDemand],
        now: float,
    ) -> list[PlannedOrder]:
        """Return the orders for adapters that requests wait for, one per engine."""
        engine_list = list(engines)
        ordered: set[str] = set()
        orders = []
        by_urgency = sorted(demand.items(), key=lambda item: item[1].slack_s)
        for (name, adapter), adapter_demand in by_urgency:
            model = spec.models.get(name)
            if model is None:
                continue
            holders = [e for e in engine_list if adapter in e.models.get(name, ())]
            if holders and adapter_demand.waited_s < ADAPTER_REPLICATION_WAIT_S:
                continue
            candidates = [
                engine
                for engine in engine_list
                if engine.can_take_order
                and not engine.busy
                and engine.target.id not in ordered
                and name in engine.models
                and engine.unloading != name
                and adapter not in engine.models[name]
            ]
            if not candidates:
                continue
            engine = min(candidates, key=lambda e: _adapter_sort_key(e, spec))
            planned = _adapter_order(engine, spec, model, adapter, demand)
            if planned is not None:
                ordered.add(engine.target.id)
                orders.append(planned)
        return orders

    def _prior_demand(
        self, service: str, spec: EngineSpec, engines: list[EngineState]
    ) -> Mapping[str, ModelDemand]:
        """Return the demand to expect from the initial copies and from adapters.

        Models with adapters have many callers. A load before the first request also
        leaves copies in the memory and on the disks of the engines' hosts, from which
        later loads take a fifth of the time.
        """
        initial = self._initial_models.setdefault(service, {})
        for engine in engines:
            if engine.accepted_order_count is not None:
                initial.setdefault(engine.target.id, frozenset(engine.models))
        counts = Counter(name for names in initial.values() for name in names)
        per_copy = PRIOR_UTILIZATION_PER_COPY * ENGINE_SERVED_COST_PER_S
        rates = {
            name: (count - 1) * per_copy for name, count in counts.items() if count > 1
        }
        with_adapters = [model.name for model in spec.models.values() if model.adapters]
        for name in with_adapters:
            engines_each = len(engines) / len(with_adapters)
            rate = (
                PRIOR_ADAPTER_MODELS_FRACTION * engines_each * ENGINE_SERVED_COST_PER_S
            )
            rates[name] = max(rates.get(name, 0.0), rate)
        return {name: ModelDemand(rate=rate) for name, rate in rates.items()}

    def _choose_models(self, capacity: CapacityModel, now: float) -> None:
        """Choose the next models of idle engines, the most valuable ones first."""
        unmet = {
            name: max(capacity.unmet(name), capacity.candidate_value(name))
            for name in capacity.demand
        }
        idle = [e for e in capacity.engines if not e.busy and e.can_take_order]
        while idle:
            options = [
                option
                for name, unmet_cost in unmet.items()
                if unmet_cost >= MIN_UNMET_COST and name in capacity.spec.models
                for engine in idle
                if (option := self._evaluate(capacity, engine, name, unmet_cost, now))
            ]
            if not options:
                return
            best = max(options, key=lambda option: option.value)
            engine, name = best.engine, best.model.name
            engine.planned_model = name
            engine.planned_evictions = best.evictions
            idle.remove(engine)
            capacity.add_planned_copy(engine, name, best.evictions)
            for changed in (name, *best.evictions):
                if changed in unmet:
                    unmet[changed] = max(
                        capacity.unmet(changed), capacity.candidate_value(changed)
                    )

    def _servable_cost(
        self, capacity: CapacityModel, engine: EngineState, evictions: Iterable[str]
    ) -> float:
        """Return the cost of a new model that an engine could serve in the horizon."""
        utilization = capacity.utilization(engine)
        utilization -= sum(capacity.share(engine, victim) for victim in evictions)
        spare = max(1.0 - utilization, 0.05)
        return spare * ENGINE_SERVED_COST_PER_S * HORIZON_S

    def _evaluate(
        self,
        capacity: CapacityModel,
        engine: EngineState,
        name: str,
        unmet_cost: float,
        now: float,
    ) -> _LoadOption | None:
        model = capacity.spec.models[name]
        if name in engine.models:
            return None
        from_weight_store = engine.needs_store_load(model)
        if from_weight_store and not self.load_limiter.allowed(
            capacity.spec.loads_per_s, now
        ):
            return None
        starving = capacity.starving(name)
        if starving and capacity.starving_limit_reached():
            return None
        rare = capacity.rare(name)
        if rare and capacity.rare_loads_blocked:
            return None
        if (
            from_weight_store
            and rare
            and not starving
            and capacity.store_load_limit_reached()
        ):
            return None
        evictions = _choose_evictions(capacity, engine, model, now)
        if evictions is None:
            return None
        duration_s = LOAD_OVERHEAD_S + engine.load_s(model)
        duration_s += sum(_unload_s(engine, victim) for victim in evictions)
        gain = min(unmet_cost, self._servable_cost(capacity, engine, evictions))
        gain += STARVING_VALUE * starving
        gain -= sum(_eviction_cost(capacity, engine, victim) for victim in evictions)
        if gain <= 0:
            return None
        return _LoadOption(engine, model, tuple(evictions), gain / duration_s)

    def _fill_free_memory(self, capacity: CapacityModel, now: float) -> None:
        """Choose engines with free memory for models without a copy."""
        if capacity.under_pressure():
            return
        absent = [
            model
            for name, model in capacity.spec.models.items()
            if capacity.copies(name) == 0
        ]
        free_mb = [
            (engine, _free_mb(capacity.spec, engine))
            for engine in capacity.engines
            if engine.planned_model is None
            and not engine.busy
            and engine.can_take_order
        ]
        for model in sorted(absent, key=lambda m: (-m.adapters, -m.weights_mb, m.name)):
            if not self.load_limiter.allowed(capacity.spec.loads_per_s, now):
                return
            weights_mb = model.weights_mb
            candidates = [
                engine
                for engine, free in free_mb
                if free >= weights_mb and engine.planned_model is None
            ]
            if candidates:
                engine = min(
                    candidates,
                    key=lambda e: (
                        e.needs_store_load(model),
                        capacity.utilization(e),
                        e.target.id,
                    ),
                )
                engine.planned_model = model.name
                engine.planned_evictions = ()

    def _next_order(
        self, spec: EngineSpec, engine: EngineState, now: float
    ) -> PlannedOrder | None:
        """Return the next order to load the chosen model, if one can be sent."""
        if engine.planned_model is None or engine.busy or not engine.can_take_order:
            return None
        model = spec.models[engine.planned_model]
        if _free_mb(spec, engine) >= model.weights_mb:
            from_weight_store = engine.needs_store_load(model)
            if from_weight_store and not self.load_limiter.allowed(
                spec.loads_per_s, now
            ):
                return None
            order = Order(
                OrderKind.LOAD,
                model.name,
                accepted_order_count=engine.accepted_order_count,
            )
            return PlannedOrder(engine, order, from_weight_store, engine.load_s(model))
        for victim in engine.planned_evictions:
            if victim in engine.models:
                order = Order(
                    OrderKind.UNLOAD,
                    victim,
                    accepted_order_count=engine.accepted_order_count,
                )
                return PlannedOrder(engine, order)
        return None


def _free_mb(spec: EngineSpec, engine: EngineState) -> float:
    """Return the memory in MB for another model, less a reserve for all adapters."""
    adapters_mb = sum(
        len(resident) * spec.models[name].adapter_mb
        for name, resident in engine.models.items()
        if name in spec.models
    )
    reserve_mb = max(spec.adapter_reserve_mb - adapters_mb, 0.0)
    return spec.weights_mb - engine.used_mb(spec) - reserve_mb


def _unload_s(engine: EngineState, name: str) -> float:
    running = engine.in_use.get((name, ""), 0)
    return BUSY_UNLOAD_S + UNLOAD_S_PER_REQUEST * running if running else 0.0


def _eviction_cost(capacity: CapacityModel, engine: EngineState, name: str) -> float:
    """Return the cost that goes unserved in the horizon if a copy is unloaded."""
    demand = capacity.demand.get(name)
    if demand is not None and demand.waiting:
        return demand.waiting_cost + ENGINE_SERVED_COST_PER_S * HORIZON_S
    share = capacity.share(engine, name) * ENGINE_SERVED_COST_PER_S * HORIZON_S
    others = [e for e in capacity.engines_by_model.get(name, ()) if e is not engine]
    if not others:
        return MIN_LAST_COPY_COST + share
    # Engines with other copies take over what they have room for.
    spare = sum(max(TARGET_UTILIZATION - capacity.utilization(e), 0.0) for e in others)
    return max(share - spare * ENGINE_SERVED_COST_PER_S * HORIZON_S, 0.0)


def _choose_evictions(
    capacity: CapacityModel, engine: EngineState, model: Model, now: float
) -> list[str] | None:
    """Return the models to evict for ``model``, None if they free too little."""
    free_mb = _free_mb(capacity.spec, engine)
    evictions: list[str] = []
    if free_mb >= model.weights_mb:
        return evictions
    candidates = [
        name
        for name in engine.models
        if now - engine.loaded_at.get(name, float("-inf")) >= MIN_RESIDENCY_S
    ]
    candidates.sort(
        key=lambda name: (
            _eviction_cost(capacity, engine, name),
            engine.used_at.get((name, ""), float("-inf")),
        )
    )
    for name in candidates:
        victim = capacity.spec.models.get(name)
        if victim is None:
            continue
        evictions.append(name)
        free_mb += victim.weights_mb
        if free_mb >= model.weights_mb:
            return evictions
    return None


def _adapter_sort_key(engine: EngineState, spec: EngineSpec) -> tuple[bool, int, int]:
    full = engine.adapters() >= spec.adapter_slots
    return (full, engine.running, engine.adapters())


def _adapter_order(
    engine: EngineState,
    spec: EngineSpec,
    model: Model,
    adapter: str,
    demand: Mapping[tuple[str, str], ModelDemand],
) -> PlannedOrder | None:
    fits = spec.weights_mb - engine.used_mb(spec) >= model.adapter_mb
    if engine.adapters() < spec.adapter_slots and fits:
        order = Order(OrderKind.LOAD, model.name, adapter, engine.accepted_order_count)
        return PlannedOrder(engine, order)
    unused = [
        (engine.used_at.get((name, resident), float("-inf")), name, resident)
        for name, adapters in engine.models.items()
        for resident in adapters
        if not engine.in_use.get((name, resident)) and (name, resident) not in demand
    ]
    if not unused:
        return None
    _, name, oldest = min(unused)
    order = Order(OrderKind.UNLOAD, name, oldest, engine.accepted_order_count)
    return PlannedOrder(engine, order)
