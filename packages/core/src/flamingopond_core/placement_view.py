"""Input and output of the placement planner."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from flamingopond_core.orders import Copy
from flamingopond_core.reports import OrderKind


@attrs.frozen
class PlacedModel:
    """A configured model; ``tokens_per_second`` is one engine's throughput for it."""

    name: str
    version: str
    memory_mb: int
    tokens_per_second: float
    min_copies: int = 1
    adapters: tuple[str, ...] = ()


@attrs.frozen
class EngineView:
    """An engine as last described by the owner of its ledger.

    ``usable`` is false for engines that are leaving, gone or not heard of;
    ``accepts_orders`` tells whether it can be expected to get new orders soon.
    ``abandoned_load_mb`` is memory that only these models and versions can use, as an
    abandoned order may still load them.
    """

    name: str
    availability_zone: str
    free_mb: int
    copies: tuple[Copy, ...] = ()
    usable: bool = True
    accepts_orders: bool = True
    role: str = "serve"
    abandoned_load_mb: Mapping[tuple[str, str], int] = attrs.field(factory=dict)


@attrs.frozen
class PlacementView:
    """Input of a plan; ``demand`` holds (fast, slow) averages in tokens/s by model."""

    engines: Mapping[str, EngineView]
    models: Mapping[str, PlacedModel]
    demand: Mapping[str, tuple[float, float]]


@attrs.frozen
class PlannedMove:
    """A planned change at an engine, such as a load; its owner issues the order."""

    engine: str
    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    memory_mb: int = 0
    role: str = ""


@attrs.frozen
class PlannerLimits:
    """Limits of one region's planner.

    ``loads_per_second`` and ``parallel_loads`` are the region's share of the weight
    store, ``parallel_adapter_loads`` of its adapter transfers. A copy younger than
    ``min_copy_age_s`` is not removed. A move must cut the peak load by
    ``min_gain_fraction``; engines with a load below ``calm_load`` or within
    ``tolerance_fraction`` of the mean are left alone. A move that the view does not
    show after ``forget_after_s`` may be planned again. Unused memory takes further
    copies until each model has ``spare_copies``.
    """

    loads_per_second: float = 2.0
    parallel_loads: int = 16
    parallel_adapter_loads: int = 130
    min_copy_age_s: float = 30.0
    min_gain_fraction: float = 0.10
    tolerance_fraction: float = 0.20
    calm_load: float = 0.25
    forget_after_s: float = 10.0
    max_balance_attempts: int = 24
    spare_copies: int = 2
