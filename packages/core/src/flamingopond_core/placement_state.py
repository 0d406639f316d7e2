"""Working state of one placement plan."""

from __future__ import annotations

from collections.abc import Mapping

from flamingopond_core.load_estimate import LoadEstimate
from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.placement_view import (
    PlacedModel,
    PlacementView,
    PlannedMove,
    PlannerLimits,
)
from flamingopond_core.reports import OrderKind


class PlacementState:
    """Engines and copies as they will be once all issued moves are done.

    Only usable engines count. Copies of the configured version are tracked apart from
    those of old versions.
    """

    def __init__(
        self,
        view: PlacementView,
        limits: PlannerLimits,
        issued: Mapping[PlannedMove, float],
    ) -> None:
        """Read the view, then apply the moves that were issued before."""
        self.moves: list[PlannedMove] = []
        self.unplaced: list[str] = []
        self.young_copies: set[tuple[str, str, str]] = set()
        self.load_budget = 0
        self.loading_count = 0
        self._view = view
        self._limits = limits
        self._issued = issued
        self._engines = {e.name: e for e in view.engines.values() if e.usable}
        self._free_mb = {name: e.free_mb for name, e in self._engines.items()}
        # Copies of the configured version that stay: model to engine to ready.
        self._kept_copies: dict[str, dict[str, bool]] = {
            name: {} for name in view.models
        }
        self._held_versions: dict[str, set[tuple[str, str]]] = {
            name: set() for name in self._engines
        }
        self._evicting_engines: set[str] = set()
        self._old_copies: list[tuple[str, Copy]] = []
        self._old_ready_counts: dict[str, int] = {}
        self._adapters_loading = 0
        self._read_copies()
        self._read_issued()
        self._balance = LoadEstimate.of_engines(self._engines)

    def _read_copies(self) -> None:
        for engine in self._view.engines.values():
            for copy in engine.copies:
                self.loading_count += copy.state is CopyState.LOADING
                if not engine.usable:
                    continue
                self._held_versions[engine.name].add((copy.model, copy.version))
                if copy.state is CopyState.UNLOADING:
                    self._evicting_engines.add(engine.name)
                    continue
                ready = copy.state is CopyState.READY
                model = self._view.models.get(copy.model)
                if model is not None and model.version == copy.version:
                    self._kept_copies[copy.model][engine.name] = ready
                else:
                    self._old_copies.append((engine.name, copy))
                    self._old_ready_counts[copy.model] = (
                        self._old_ready_counts.get(copy.model, 0) + ready
                    )

    def _read_issued(self) -> None:
        for move in self._issued:
            if move.engine not in self._engines:
                continue
            if move.kind is OrderKind.LOAD_MODEL:
                self._free_mb[move.engine] -= self._needed_mb(
                    move.engine, (move.model, move.version), move.memory_mb
                )
                self._held_versions[move.engine].add((move.model, move.version))
                self._kept_copies.get(move.model, {}).setdefault(move.engine, False)
            elif move.kind is OrderKind.UNLOAD_MODEL:
                self._evicting_engines.add(move.engine)
                self._kept_copies.get(move.model, {}).pop(move.engine, None)
                old = [
                    (engine, copy)
                    for engine, copy in self._old_copies
                    if engine == move.engine
                    and (copy.model, copy.version) == (move.model, move.version)
                ]
                for item in old:
                    self._old_copies.remove(item)
                    if item[1].state is CopyState.READY:
                        self._old_ready_counts[move.model] -= 1
            elif move.kind is OrderKind.LOAD_ADAPTER:
                self._adapters_loading += 1

    def _needed_mb(self, engine: str, subject: tuple[str, str], memory_mb: int) -> int:
        """Return the free memory that a copy needs beyond what is reserved for it."""
        return max(
            0, memory_mb - self._engines[engine].abandoned_load_mb.get(subject, 0)
        )

    def _compute_work(self, model: PlacedModel) -> float:
        fast, slow = self._view.demand.get(model.name, (0.0, 0.0))
        return max(fast, slow) / model.tokens_per_second

    def _compute_load(self) -> None:
        self._work_by_model = {
            m.name: self._compute_work(m) for m in self._view.models.values()
        }
        # Models with the most work first; a second pass corrects the division of the
        # first. A single copy takes all work, so only models with replicas are divided
        # twice.
        order = sorted(
            self._work_by_model, key=self._work_by_model.__getitem__, reverse=True
        )
        for min_copies in (1, 2):
            for name in order:
                if (
                    self._work_by_model[name] > 0.0
                    and len(self._kept_copies[name]) >= min_copies
                ):
                    self._balance.place(
                        name, self._work_by_model[name], self._kept_copies[name]
                    )
        # Loads change little within one plan, so this order is not updated.
        self._engines_by_load = sorted(
            self._engines, key=self._balance.load.__getitem__
        )

    def _eviction_in_progress_for(self, model: PlacedModel) -> bool:
        return any(
            self._free_mb[engine] + self._unloading_mb(engine) >= model.memory_mb
            for engine in self._evicting_engines
            if engine in self._engines
        )

    def _unloading_mb(self, engine: str) -> int:
        unloading = {
            (move.model, move.version)
            for move in (*self._issued, *self.moves)
            if move.engine == engine and move.kind is OrderKind.UNLOAD_MODEL
        }
        return sum(
            copy.memory_mb
            for copy in self._engines[engine].copies
            if copy.state is CopyState.UNLOADING
            or (copy.model, copy.version) in unloading
        )

    def _kept_models(self, engine: str) -> list[str]:
        """Return the models whose copy on ``engine`` stays."""
        return sorted(
            model
            for model, _ in self._held_versions[engine]
            if engine in self._kept_copies.get(model, {})
        )

    def _copies_per_zone(self, model: str) -> dict[str, int]:
        zones: dict[str, int] = {}
        for engine in self._kept_copies[model]:
            zone = self._engines[engine].availability_zone
            zones[zone] = zones.get(zone, 0) + 1
        return zones

    def _copies_to_evict(
        self, engine: str, model: PlacedModel, peak: float | None
    ) -> list[str] | None:
        """Return surplus copies whose eviction makes room for ``model`` on ``engine``.

        A copy is surplus if enough others are ready, it is not young, and the others
        would stay below the peak that is to be cut. For a model without any copy, it is
        enough that one other copy is ready, since each model must stay reachable.
        """
        urgent = not self._kept_copies[model.name]
        available_mb = self._free_mb[engine]
        chosen: list[str] = []
        candidates = [
            name
            for name in self._kept_models(engine)
            if self._kept_copies.get(name, {}).get(engine)
            and self._is_surplus(name, engine, urgent)
        ]
        candidates.sort(key=lambda name: self._balance.share(name, engine))
        for name in candidates:
            if available_mb >= model.memory_mb:
                break
            other_holders = [
                other for other in self._kept_copies[name] if other != engine
            ]
            work = self._work_by_model[name]
            max_load = 0.8 * peak if peak is not None else 1.0
            if (
                not urgent
                and work > 0
                and self._balance.peak_load_with(name, work, other_holders) > max_load
            ):
                continue
            chosen.append(name)
            available_mb += self._view.models[name].memory_mb
        return chosen if available_mb >= model.memory_mb else None

    def _is_surplus(self, name: str, engine: str, urgent: bool) -> bool:
        model = self._view.models[name]
        others = sum(r for e, r in self._kept_copies[name].items() if e != engine)
        if urgent:
            return others >= 1
        if (engine, name, model.version) in self.young_copies:
            return False
        return others >= max(1, model.min_copies)

    def _unload(self, engine: str, model: str, version: str) -> None:
        self.moves.append(PlannedMove(engine, OrderKind.UNLOAD_MODEL, model, version))
        self._evicting_engines.add(engine)
        if self._kept_copies.get(model, {}).pop(engine, None) is not None:
            self._balance.place(
                model, self._work_by_model[model], self._kept_copies[model]
            )

    def _unload_old_copy(self, engine: str, copy: Copy) -> None:
        self.moves.append(
            PlannedMove(engine, OrderKind.UNLOAD_MODEL, copy.model, copy.version)
        )
        self._evicting_engines.add(engine)
        self._old_copies.remove((engine, copy))
        if copy.state is CopyState.READY:
            self._old_ready_counts[copy.model] -= 1
