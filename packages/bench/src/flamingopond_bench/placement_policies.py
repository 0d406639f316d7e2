"""Compares the planner with static placement on a simulated region.

Run ``python -m flamingopond_bench.placement_policies`` for peak load and moves, and
with ``--cpu`` for the planner's CPU time at larger sizes. The simulation runs in one
process and calls no engine.
"""

from __future__ import annotations

import random
import time
from collections.abc import Iterable, Iterator
from typing import Annotated

import attrs
import typer

from flamingopond_core.load_estimate import LoadEstimate
from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.placement import (
    EngineView,
    PlacedModel,
    PlacementView,
    PlannedMove,
    Planner,
    PlannerLimits,
)
from flamingopond_core.reports import OrderKind

ZONES = ("a", "b", "c")
LOAD_S = 4.0
UNLOAD_S = 0.5


@attrs.define
class SimulatedEngine:
    """Copies of models on one engine: model, state and time of the next change."""

    name: str
    zone: str
    memory_mb: int
    copies: dict[str, tuple[PlacedModel, CopyState, float]] = attrs.field(factory=dict)

    def view(self) -> EngineView:
        """Return the engine as given to the planner."""
        copies = tuple(
            Copy(model.name, model.version, model.memory_mb, state)
            for model, state, _ in self.copies.values()
        )
        used = sum(copy.memory_mb for copy in copies)
        return EngineView(self.name, self.zone, self.memory_mb - used, copies)

    def advance(self, now: float) -> None:
        """Complete loads and unloads that are due."""
        for name, (model, state, due) in list(self.copies.items()):
            if due > now:
                continue
            if state is CopyState.UNLOADING:
                del self.copies[name]
            elif state is CopyState.LOADING:
                self.copies[name] = (model, CopyState.READY, due)

    def ready_models(self) -> Iterator[str]:
        """Yield the models that serve requests, including those being unloaded."""
        for name, (_, state, _) in self.copies.items():
            if state is not CopyState.LOADING:
                yield name


@attrs.define
class Region:
    """A simulated region; the ``hot`` models have ten times their base demand."""

    engines: list[SimulatedEngine]
    models: dict[str, PlacedModel]
    base_demand: dict[str, float]
    hot: set[str] = attrs.field(factory=set)

    @classmethod
    def build(
        cls,
        engine_count: int,
        model_count: int,
        rng: random.Random,
        mean_load: float = 0.35,
    ) -> Region:
        """Return a region with one copy of each model, placed round robin."""
        per_engine = -(-model_count // engine_count)
        models = {
            f"m{n}": PlacedModel(f"m{n}", "1", rng.choice((10, 15, 20)), 1000.0)
            for n in range(model_count)
        }
        memory_mb = max(60, 20 * (per_engine + 2))
        engines = [
            SimulatedEngine(f"e{n}", ZONES[n % len(ZONES)], memory_mb)
            for n in range(engine_count)
        ]
        for number, model in enumerate(models.values()):
            engine = engines[number % engine_count]
            engine.copies[model.name] = (model, CopyState.READY, 0.0)
        # A tenth of the models has ten times its demand: 1.9 times the base in total.
        weights = {name: rng.uniform(0.5, 1.5) for name in models}
        scale = mean_load * engine_count * 1000.0 / (1.9 * sum(weights.values()))
        base = {name: weight * scale for name, weight in weights.items()}
        region = cls(engines, models, base)
        region.shift_demand(rng)
        return region

    def shift_demand(self, rng: random.Random) -> None:
        """Choose another tenth of the models as hot."""
        self.hot = set(rng.sample(sorted(self.models), max(1, len(self.models) // 10)))

    def demand(self) -> dict[str, float]:
        """Return the current demand of each model in tokens/s."""
        return {
            n: d * (10.0 if n in self.hot else 1.0) for n, d in self.base_demand.items()
        }

    def view(self, rates: dict[str, tuple[float, float]]) -> PlacementView:
        """Return the planner's input; ``rates`` are (fast, slow) demand averages."""
        views = {engine.name: engine.view() for engine in self.engines}
        return PlacementView(views, self.models, rates)

    def loads(self) -> list[float]:
        """Return the load of each engine under load-aware routing."""
        estimate = LoadEstimate.of_engines(engine.name for engine in self.engines)
        holders: dict[str, list[str]] = {name: [] for name in self.models}
        for engine in self.engines:
            for name in engine.ready_models():
                holders[name].append(engine.name)
        work = {n: d / 1000.0 for n, d in self.demand().items()}
        for _ in range(3):
            for name in sorted(work, key=work.__getitem__, reverse=True):
                estimate.place(name, work[name], holders[name])
        return list(estimate.load.values())

    def apply_moves(self, moves: Iterable[PlannedMove], now: float) -> int:
        """Apply the moves and return their number."""
        by_name = {engine.name: engine for engine in self.engines}
        count = 0
        for move in moves:
            copies = by_name[move.engine].copies
            model = self.models[move.model]
            count += 1
            if move.kind is OrderKind.LOAD_MODEL:
                copies[move.model] = (model, CopyState.LOADING, now + LOAD_S)
            else:
                copies[move.model] = (model, CopyState.UNLOADING, now + UNLOAD_S)
        return count


@attrs.frozen
class Outcome:
    """Result of one run; loads are fractions of one engine's capacity."""

    peak: float
    mean_peak: float
    overloaded: float
    moves: int


class DemandAverages:
    """Fast and slow moving averages of an exactly known demand.

    Their half-lives are 10 s and 120 s.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self._values: dict[str, tuple[float, float]] = {}

    def step(self, demand: dict[str, float]) -> dict[str, tuple[float, float]]:
        """Advance by one second and return (fast, slow) per model."""
        fast_weight, slow_weight = 1 - 0.5 ** (1 / 10.0), 1 - 0.5 ** (1 / 120.0)
        for name, value in demand.items():
            fast, slow = self._values.get(name, (value, value))
            fast += (value - fast) * fast_weight
            slow += (value - slow) * slow_weight
            self._values[name] = (fast, slow)
        return dict(self._values)


def simulate(
    use_planner: bool, seed: int, engines: int, models: int, seconds: int, shift_s: int
) -> Outcome:
    """Simulate static or planned placement; hot models change every ``shift_s``."""
    rng = random.Random(seed)
    region = Region.build(engines, models, rng)
    planner = Planner(PlannerLimits())
    averages = DemandAverages()
    peaks: list[float] = []
    overloaded = 0
    moves = 0
    for second in range(seconds):
        now = float(second)
        if second and second % shift_s == 0:
            region.shift_demand(rng)
        for engine in region.engines:
            engine.advance(now)
        rates = averages.step(region.demand())
        if use_planner:
            moves += region.apply_moves(planner.plan(region.view(rates), now), now)
        loads = region.loads()
        peaks.append(max(loads))
        overloaded += sum(load > 1.0 for load in loads)
    return Outcome(
        max(peaks),
        sum(peaks) / len(peaks),
        overloaded / (seconds * engines),
        moves,
    )


def measure_plan_cpu_s(models: int, engines: int, seed: int, plans: int) -> list[float]:
    """Return the CPU seconds of each of ``plans`` successive plans."""
    rng = random.Random(seed)
    region = Region.build(engines, models, rng)
    scale = engines / 9
    limits = PlannerLimits(loads_per_second=2 * scale, parallel_loads=int(16 * scale))
    planner = Planner(limits)
    averages = DemandAverages()
    result = []
    for second in range(plans):
        now = float(second)
        if second and second % 10 == 0:
            region.shift_demand(rng)
        for engine in region.engines:
            engine.advance(now)
        view = region.view(averages.step(region.demand()))
        start = time.process_time()
        moves = planner.plan(view, now)
        result.append(time.process_time() - start)
        region.apply_moves(moves, now)
    return result


def main(
    cpu: Annotated[bool, typer.Option(help="Measure the planner's CPU time.")] = False,
    seeds: int = 5,
    seconds: int = 1800,
    shift_s: int = 300,
    plans: int = 30,
) -> None:
    """Print the comparison, or the CPU time per plan."""
    if cpu:
        for models in (200, 600, 1200, 1800):
            engines = 3000 * models // 1800
            cpu_times_s = sorted(measure_plan_cpu_s(models, engines, 1, plans))
            typer.echo(
                f"models={models} engines={engines} plans={plans} "
                f"median={1000 * cpu_times_s[len(cpu_times_s) // 2]:.0f} ms "
                f"max={1000 * cpu_times_s[-1]:.0f} ms"
            )
        return
    for seed in range(1, seeds + 1):
        for name, use_planner in (("static", False), ("planner", True)):
            outcome = simulate(use_planner, seed, 9, 20, seconds, shift_s)
            typer.echo(
                f"seed={seed} policy={name} peak={outcome.peak:.2f} "
                f"mean_peak={outcome.mean_peak:.2f} "
                f"overloaded={100 * outcome.overloaded:.1f} % moves={outcome.moves}"
            )


if __name__ == "__main__":
    typer.run(main)
