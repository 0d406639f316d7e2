"""What the planner is given and what it returns."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from flamingopond_core.orders import Copy
from flamingopond_core.reports import OrderKind


@attrs.frozen
class PlacedModel:
    """A configured model; ``tokens_per_second`` is what one engine does for it."""

    name: str
    version: str
    memory_mb: int
    tokens_per_second: float
    min_copies: int = 1
    adapters: tuple[str, ...] = ()


@attrs.frozen
class EngineView:
    """An engine as its ledger's owner last described it.

    ``usable`` is false for engines that are leaving, gone or not heard of;
    ``orderable`` says that its ledger can take an order now. ``lost`` is memory that
    only these models and versions can use, as an unanswered order may load them.
    """

    name: str
    availability_zone: str
    free_mb: int
    copies: tuple[Copy, ...] = ()
    usable: bool = True
    orderable: bool = True
    role: str = "serve"
    lost: Mapping[tuple[str, str], int] = attrs.field(factory=dict)


@attrs.frozen
class PlacementView:
    """What a plan is made from; ``demand`` is (fast, slow) tokens/s per model."""

    engines: Mapping[str, EngineView]
    models: Mapping[str, PlacedModel]
    demand: Mapping[str, tuple[float, float]]


@attrs.frozen
class Move:
    """One change that the owner of the engine is to order."""

    engine: str
    kind: OrderKind
    model: str = ""
    version: str = ""
    adapter: str = ""
    memory_mb: int = 0
    role: str = ""


@attrs.frozen
class PlannerLimits:
    """Limits of one region's planner; times in seconds.

    ``loads_per_second`` and ``parallel_loads`` are the region's share of the weight
    store, ``adapter_parallel`` of its adapter transfers. A copy younger than
    ``keep_s`` is not removed. A move must cut the peak by ``gain``; engines below
    ``calm_load`` or within ``tolerance`` of the mean are left alone. Unused memory
    takes further copies until each model has ``spare_copies``.
    """

    loads_per_second: float = 2.0
    parallel_loads: int = 16
    adapter_parallel: int = 130
    keep_s: float = 30.0
    gain: float = 0.10
    tolerance: float = 0.20
    calm_load: float = 0.25
    forget_s: float = 10.0
    balance_tries: int = 24
    spare_copies: int = 2
