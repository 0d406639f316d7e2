"""Estimates of how long the backlog of each model takes to serve."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..configuration import EngineSpec, Model
from ..demand import ModelDemand
from ..targets.engines import EngineState
from .capacity import ENGINE_SERVED_COST_PER_S, LOAD_OVERHEAD_S, CapacityModel

# Minimum fraction of a model's capacity that is assumed for late requests, since
# the rate of new requests, which go first, is only an estimate.
MIN_LATE_FRACTION = 0.05


def estimate_backlog_waits_s(
    spec: EngineSpec,
    engines: Iterable[EngineState],
    demand: Mapping[str, ModelDemand],
    now: float,
    *,
    late: bool = False,
    engine_served_cost_per_s: float = ENGINE_SERVED_COST_PER_S,
) -> dict[str, float]:
    """Return the seconds that the backlog of each model takes to serve.

    ``engine_served_cost_per_s`` is the cost per second that one engine serves. With
    ``late`` the estimate is for requests that have missed their objective: they get
    only the capacity that new requests leave.
    """
    engine_list = list(engines)
    capacity_model = CapacityModel(spec, engine_list, demand)
    waits = {}
    for name, model_demand in demand.items():
        if not model_demand.waiting or name not in spec.models:
            continue
        available_engines = sum(
            max(
                1.0
                - capacity_model.utilization(engine)
                + capacity_model.share(engine, name),
                0.1,
            )
            for engine in capacity_model.engines_by_model.get(name, ())
        )
        if available_engines:
            served_per_s = available_engines * engine_served_cost_per_s
            if late:
                served_per_s = max(
                    served_per_s - model_demand.rate, MIN_LATE_FRACTION * served_per_s
                )
            waits[name] = model_demand.waiting_cost / served_per_s
        else:
            waits[name] = _load_wait_s(spec.models[name], engine_list, now)
    return waits


def _load_wait_s(model: Model, engines: Iterable[EngineState], now: float) -> float:
    """Return the seconds until the first copy of a model can be ready."""
    waits = [model.load_s + LOAD_OVERHEAD_S]
    for engine in engines:
        if engine.loading == model.name:
            waits.append(max(engine.ready_at - now, 0.0))
        elif engine.planned_model == model.name:
            waits.append(engine.load_s(model) + LOAD_OVERHEAD_S)
    return min(waits)
