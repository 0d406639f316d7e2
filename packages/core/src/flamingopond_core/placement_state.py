"""The working state of one placement plan."""

from __future__ import annotations

from collections.abc import Mapping

from flamingopond_core.balance import Balance
from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.placement_view import (
    Move,
    PlacedModel,
    PlacementView,
    PlannerLimits,
)
from flamingopond_core.reports import OrderKind


class PlacementState:
    """Engines and copies as they will be once all issued moves are done.

    Only usable engines count. Copies of the configured version that stay are kept
    apart from those of old versions.
    """

    def __init__(
        self, view: PlacementView, limits: PlannerLimits, issued: Mapping[Move, float]
    ) -> None:
        """Read the view, then apply the moves issued before."""
        self.moves: list[Move] = []
        self.unplaced: list[str] = []
        self.young: set[tuple[str, str, str]] = set()
        self.budget = 0
        self.loading = 0
        self._view = view
        self._limits = limits
        self._issued = issued
        self._engines = {e.name: e for e in view.engines.values() if e.usable}
        self._free = {name: e.free_mb for name, e in self._engines.items()}
        # Copies of the configured version that stay, by model: engine to ready.
        self._stay: dict[str, dict[str, bool]] = {name: {} for name in view.models}
        self._held: dict[str, set[tuple[str, str]]] = {
            name: set() for name in self._engines
        }
        self._evicting: set[str] = set()
        self._old: list[tuple[str, Copy]] = []
        self._old_ready: dict[str, int] = {}
        self._adapters_loading = 0
        self._read_copies()
        self._read_issued()
        self._balance = Balance.of_engines(self._engines)

    def _read_copies(self) -> None:
        for engine in self._view.engines.values():
            for copy in engine.copies:
                self.loading += copy.state is CopyState.LOADING
                if not engine.usable:
                    continue
                self._held[engine.name].add((copy.model, copy.version))
                if copy.state is CopyState.UNLOADING:
                    self._evicting.add(engine.name)
                    continue
                ready = copy.state is CopyState.READY
                model = self._view.models.get(copy.model)
                if model is not None and model.version == copy.version:
                    self._stay[copy.model][engine.name] = ready
                else:
                    self._old.append((engine.name, copy))
                    self._old_ready[copy.model] = (
                        self._old_ready.get(copy.model, 0) + ready
                    )

    def _read_issued(self) -> None:
        for move in self._issued:
            if move.engine not in self._engines:
                continue
            if move.kind is OrderKind.LOAD_MODEL:
                self._free[move.engine] -= self._needs(
                    move.engine, (move.model, move.version), move.memory_mb
                )
                self._held[move.engine].add((move.model, move.version))
                self._stay.get(move.model, {}).setdefault(move.engine, False)
            elif move.kind is OrderKind.UNLOAD_MODEL:
                self._evicting.add(move.engine)
                self._stay.get(move.model, {}).pop(move.engine, None)
                old = [
                    (engine, copy)
                    for engine, copy in self._old
                    if engine == move.engine
                    and (copy.model, copy.version) == (move.model, move.version)
                ]
                for item in old:
                    self._old.remove(item)
                    if item[1].state is CopyState.READY:
                        self._old_ready[move.model] -= 1
            elif move.kind is OrderKind.LOAD_ADAPTER:
                self._adapters_loading += 1

    def _needs(self, engine: str, subject: tuple[str, str], memory_mb: int) -> int:
        """Return the free memory that a copy needs on an engine."""
        return max(0, memory_mb - self._engines[engine].lost.get(subject, 0))

    def _work(self, model: PlacedModel) -> float:
        fast, slow = self._view.demand.get(model.name, (0.0, 0.0))
        return max(fast, slow) / model.tokens_per_second

    def _compute_load(self) -> None:
        self._work_of = {m.name: self._work(m) for m in self._view.models.values()}
        # Large models first; a second pass corrects the first ones' division.
        # A single copy takes all, so only models with replicas are divided twice.
        order = sorted(self._work_of, key=self._work_of.__getitem__, reverse=True)
        for least in (1, 2):
            for name in order:
                if self._work_of[name] > 0.0 and len(self._stay[name]) >= least:
                    self._balance.place(name, self._work_of[name], self._stay[name])
        # Loads change little within one plan; this order is not kept up to date.
        self._by_load = sorted(self._engines, key=self._balance.load.__getitem__)

    def _evicting_for(self, model: PlacedModel) -> bool:
        return any(
            self._free[engine] + self._leaving_mb(engine) >= model.memory_mb
            for engine in self._evicting
            if engine in self._engines
        )

    def _leaving_mb(self, engine: str) -> int:
        leaving = {
            (move.model, move.version)
            for move in (*self._issued, *self.moves)
            if move.engine == engine and move.kind is OrderKind.UNLOAD_MODEL
        }
        return sum(
            copy.memory_mb
            for copy in self._engines[engine].copies
            if copy.state is CopyState.UNLOADING
            or (copy.model, copy.version) in leaving
        )

    def _current(self, engine: str) -> list[str]:
        """Return the models of which a copy on ``engine`` stays."""
        return sorted(
            model
            for model, _ in self._held[engine]
            if engine in self._stay.get(model, {})
        )

    def _zones(self, model: str) -> dict[str, int]:
        zones: dict[str, int] = {}
        for engine in self._stay[model]:
            zone = self._engines[engine].availability_zone
            zones[zone] = zones.get(zone, 0) + 1
        return zones

    def _evictions(
        self, engine: str, model: PlacedModel, peak: float | None
    ) -> list[str] | None:
        """Return surplus copies on ``engine`` that make room for ``model``.

        A copy is surplus if enough others serve, it is not young, and the others
        stay below the peak that is to be cut. For a model without any copy, one
        other copy is enough, since each model has to stay reachable.
        """
        urgent = not self._stay[model.name]
        room = self._free[engine]
        chosen: list[str] = []
        candidates = [
            name
            for name in self._current(engine)
            if self._stay.get(name, {}).get(engine)
            and self._surplus(name, engine, urgent)
        ]
        candidates.sort(key=lambda name: self._balance.share(name, engine))
        for name in candidates:
            if room >= model.memory_mb:
                break
            rest = [other for other in self._stay[name] if other != engine]
            work = self._work_of[name]
            limit = 0.8 * peak if peak is not None else 1.0
            if (
                not urgent
                and work > 0
                and self._balance.peak_with(name, work, rest) > limit
            ):
                continue
            chosen.append(name)
            room += self._view.models[name].memory_mb
        return chosen if room >= model.memory_mb else None

    def _surplus(self, name: str, engine: str, urgent: bool) -> bool:
        model = self._view.models[name]
        others = sum(r for e, r in self._stay[name].items() if e != engine)
        if urgent:
            return others >= 1
        if (engine, name, model.version) in self.young:
            return False
        return others >= max(1, model.min_copies)

    def _unload(self, engine: str, model: str, version: str) -> None:
        self.moves.append(Move(engine, OrderKind.UNLOAD_MODEL, model, version))
        self._evicting.add(engine)
        if self._stay.get(model, {}).pop(engine, None) is not None:
            self._balance.place(model, self._work_of[model], self._stay[model])

    def _unload_old(self, engine: str, copy: Copy) -> None:
        self.moves.append(
            Move(engine, OrderKind.UNLOAD_MODEL, copy.model, copy.version)
        )
        self._evicting.add(engine)
        self._old.remove((engine, copy))
        if copy.state is CopyState.READY:
            self._old_ready[copy.model] -= 1
