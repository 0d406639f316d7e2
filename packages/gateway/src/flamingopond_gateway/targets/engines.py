"""State of each engine as tracked by the lease holder: models, orders and usage."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from ..configuration import EngineSpec, Model
from ..messages import InFlightCount
from .reports import EngineReport
from .roster import Target

# Time from an adapter order until the adapter is ready; measured engines take 5 to
# 14 ms.
ADAPTER_LOAD_S = 0.02


@define(eq=False)
class EngineState:
    """One incarnation of an engine that the lease holder sends orders to.

    ``accepted_order_count`` is None (unknown) before the first report and after an
    order whose outcome is unknown. ``models`` holds the loaded adapters by loaded
    model. ``planned_model`` is the model that the engine shall load next,
    ``planned_evictions`` are the models to be unloaded for it. ``loaded_at`` and
    ``used_at`` are loop times; ``used_at`` and ``in_use``, the numbers of requests
    in progress, are by model and adapter. ``reserved_utilization`` is the fraction of
    its capacity that its limit of requests per second leaves unused. ``paused`` is
    whether it has asked this gateway to send nothing at present.
    """

    target: Target
    models: dict[str, set[str]] = field(factory=dict)
    loading: str | None = None
    unloading: str | None = None
    accepted_order_count: int | None = None
    order_in_flight: bool = False
    ready_at: float = 0.0
    in_memory: set[str] = field(factory=set)
    on_disk: set[str] = field(factory=set)
    planned_model: str | None = None
    planned_evictions: tuple[str, ...] = ()
    loaded_at: dict[str, float] = field(factory=dict)
    used_at: dict[tuple[str, str], float] = field(factory=dict)
    in_use: dict[tuple[str, str], int] = field(factory=dict)
    running: int = 0
    reserved_utilization: float = 0.0
    paused: bool = False

    @property
    def busy(self) -> bool:
        """Whether a model is being loaded or unloaded."""
        return self.loading is not None or self.unloading is not None

    @property
    def can_take_order(self) -> bool:
        """Whether an order can be sent: the count is known and none is in flight."""
        return (
            self.accepted_order_count is not None
            and not self.order_in_flight
            and not self.paused
        )

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Update the state from an engine's report."""
        self.accepted_order_count = report.accepted_order_count
        self.running = report.running + report.waiting
        self.in_memory = set(report.in_memory)
        self.on_disk = set(report.on_disk)
        reported = {
            name: set(holding.adapters) for name, holding in report.holdings.items()
        }
        for arriving in report.arriving:
            model, _, adapter = arriving.partition("/")
            if model in reported and adapter:
                reported[model].add(adapter)
        for name in reported.keys() - self.models.keys():
            self.loaded_at[name] = now
        self.models = reported
        if not report.busy:
            self.loading = None
            self.unloading = None
        elif self.unloading is None and self.loading is None:
            # An order of another lease holder; the report doesn't name its model.
            self.loading = ""

    def record_in_flight(self, in_flight: Iterable[InFlightCount], now: float) -> None:
        """Replace the numbers of requests in progress."""
        self.in_use = {}
        for count in in_flight:
            for usage_key in {(count.model, count.adapter), (count.model, "")}:
                self.in_use[usage_key] = self.in_use.get(usage_key, 0) + count.requests
                self.used_at[usage_key] = now

    def used_mb(self, spec: EngineSpec) -> float:
        """Return the memory used by models and adapters, in MB.

        A model counts from the order to load it until the engine reports that it
        is unloaded.
        """
        names = set(self.models)
        if self.loading:
            names.add(self.loading)
        total = 0.0
        for name in names:
            model = spec.models.get(name)
            if model is None:
                continue
            adapters = len(self.models.get(name, ()))
            total += model.weights_mb + adapters * model.adapter_mb
        return total

    def adapters(self) -> int:
        """Return the number of adapter slots in use."""
        return sum(len(adapters) for adapters in self.models.values())

    def load_s(self, model: Model) -> float:
        """Return the load time of a model from memory, disk or the weight store."""
        if model.name in self.in_memory:
            return model.warm_s
        if model.name in self.on_disk:
            return model.disk_s
        return model.load_s

    def needs_store_load(self, model: Model) -> bool:
        """Whether a model would have to be loaded from the weight store."""
        return model.name not in self.in_memory and model.name not in self.on_disk
