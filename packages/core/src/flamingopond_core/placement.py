"""Planner for the placement of models on engines."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from enum import IntEnum

from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.placement_state import PlacementState
from flamingopond_core.placement_view import (
    EngineView,
    PlacedModel,
    PlacementView,
    PlannedMove,
    PlannerLimits,
)
from flamingopond_core.reports import OrderKind

__all__ = [
    "EngineView",
    "PlannedMove",
    "PlacedModel",
    "PlacementView",
    "Planner",
    "PlannerLimits",
]


# Candidates examined closely when relieving an engine or migrating a copy.
_MAX_CANDIDATES = 4
# Least loaded engines among which candidates are sought.
_MAX_SCANNED_ENGINES = 64
# Models considered in one plan for missing copies, and for spare ones.
_MAX_MODELS_PER_PLAN = 24
# Load budget that must be available before a spare copy is loaded.
_MIN_SPARE_LOAD_BUDGET = 2
# Fraction of the capacity of its copies that a model's demand may use.
_MAX_UTILIZATION = 0.8


class _PlacementRank(IntEnum):
    """Order of preference for a copy: engines with room, then those that must evict."""

    ROOM = 0
    EVICTION = 1


class Planner:
    """Plans the next moves of one region.

    It tracks the age of copies and its moves that the view does not show yet. Both may
    be lost without harm: the planner then makes fewer moves for a while.
    """

    def __init__(self, limits: PlannerLimits | None = None) -> None:
        """Create a planner without history; existing copies count as old."""
        self._limits = limits or PlannerLimits()
        self._load_tokens = 1.0
        self._refilled_at: float | None = None
        self._is_first_plan = True
        self._ready_since: dict[tuple[str, str, str], float] = {}
        self._open_moves: dict[PlannedMove, float] = {}
        self._unplaced: tuple[str, ...] = ()

    @property
    def unplaced(self) -> tuple[str, ...]:
        """Models for which the last plan found no engine with enough memory."""
        return self._unplaced

    @property
    def open_moves(self) -> Mapping[PlannedMove, float]:
        """Moves that the view does not show yet, with the time they were planned."""
        return self._open_moves

    def plan(self, view: PlacementView, now: float) -> list[PlannedMove]:
        """Return the next moves, most urgent first."""
        self._refill(now)
        self._update_from_view(view, now)
        step = _PlanStep(view, self._limits, self._open_moves)
        young_copies = {
            key
            for key, since in self._ready_since.items()
            if now - since < self._limits.min_copy_age_s
        }
        step.young_copies = young_copies
        loading = step.loading_count + sum(
            move.kind is OrderKind.LOAD_MODEL for move in self._open_moves
        )
        step.load_budget = min(
            int(self._load_tokens), self._limits.parallel_loads - loading
        )
        step.run()
        self._unplaced = tuple(step.unplaced)
        for move in step.moves:
            self._open_moves[move] = now
            if move.kind is OrderKind.LOAD_MODEL:
                self._load_tokens -= 1.0
        return step.moves

    def discard_move(self, move: PlannedMove) -> None:
        """Drop a rejected move, so that it can be planned again."""
        self._open_moves.pop(move, None)

    def _refill(self, now: float) -> None:
        rate = self._limits.loads_per_second
        if self._refilled_at is not None:
            self._load_tokens += (now - self._refilled_at) * rate
        # Cap at two seconds' worth, as plans are about one second apart.
        self._load_tokens = min(self._load_tokens, max(1.0, 2.0 * rate))
        self._refilled_at = now

    def _update_from_view(self, view: PlacementView, now: float) -> None:
        is_first_plan, self._is_first_plan = self._is_first_plan, False
        ready = {}
        for engine in view.engines.values():
            for copy in engine.copies:
                if copy.state is CopyState.READY:
                    key = (engine.name, copy.model, copy.version)
                    start = now - self._limits.min_copy_age_s if is_first_plan else now
                    ready[key] = self._ready_since.get(key, start)
        self._ready_since = ready
        for move, since in list(self._open_moves.items()):
            if (
                now - since >= self._limits.forget_after_s
                or _is_shown(move, view)
                or _is_blocked_load(move, view)
            ):
                del self._open_moves[move]


def _is_blocked_load(move: PlannedMove, view: PlacementView) -> bool:
    """Return whether the engine of a load accepts no orders, so others are tried."""
    if move.kind is not OrderKind.LOAD_MODEL:
        return False
    return not view.engines[move.engine].accepts_orders


def _is_shown(move: PlannedMove, view: PlacementView) -> bool:
    """Return whether the view already reflects the move."""
    engine = view.engines.get(move.engine)
    if engine is None:
        return True
    if move.kind is OrderKind.SET_ROLE:
        return engine.role == move.role
    copies = [
        c for c in engine.copies if (c.model, c.version) == (move.model, move.version)
    ]
    if move.kind is OrderKind.LOAD_MODEL:
        return bool(copies)
    if move.kind is OrderKind.UNLOAD_MODEL:
        return all(c.state is CopyState.UNLOADING for c in copies)
    has_adapter = any(move.adapter in c.adapters for c in copies)
    return has_adapter == (move.kind is OrderKind.LOAD_ADAPTER)


class _PlanStep(PlacementState):
    """Collects the moves of one plan."""

    def run(self) -> None:
        """Plan all moves, most urgent first."""
        self._restore_roles()
        self._compute_load()
        self._add_missing_copies()
        self._remove_old_versions()
        self._balance_load()
        self._use_spare_memory()
        self._plan_adapter_moves()

    def _restore_roles(self) -> None:
        for engine in self._engines.values():
            move = PlannedMove(engine.name, OrderKind.SET_ROLE, role="serve")
            if engine.role != "serve" and move not in self._issued:
                self.moves.append(move)

    def _add_missing_copies(self) -> None:
        wanted = {
            model.name: min(model.min_copies, len(self._engines))
            for model in self._view.models.values()
        }
        missing = [
            (len(self._kept_copies[name]) > 0, -self._work_by_model[name], name)
            for name, copies in wanted.items()
            if len(self._kept_copies[name]) < copies
        ]
        for _, _, name in heapq.nsmallest(_MAX_MODELS_PER_PLAN, missing):
            model = self._view.models[name]
            while self.load_budget > 0 and len(self._kept_copies[name]) < wanted[name]:
                if self._add_copy(model):
                    continue
                if not self._make_room(model):
                    self.unplaced.append(name)
                break

    def _make_room(self, model: PlacedModel) -> bool:
        """Free memory for a model that fits on no engine; return whether that began."""
        if self._eviction_in_progress_for(model):
            return True
        if self._old_ready_counts.get(model.name, 0) >= 2:
            for engine, copy in self._old_copies:
                available_mb = self._free_mb[engine] + copy.memory_mb
                if copy.model == model.name and available_mb >= model.memory_mb:
                    self._unload_old_copy(engine, copy)
                    return True
        return self._migrate_for(model)

    def _migrate_for(self, model: PlacedModel) -> bool:
        """Copy a smaller model elsewhere, so that its current copy becomes surplus.

        This consolidates free memory that is scattered over engines.
        """
        if any(not all(copies.values()) for copies in self._kept_copies.values()):
            # A copy that is still loading may be the one that makes room.
            return True
        candidates = []
        for engine, free in self._free_mb.items():
            for name in self._kept_models(engine):
                smaller = self._view.models[name]
                fits = free + smaller.memory_mb >= model.memory_mb
                if fits and smaller.memory_mb < model.memory_mb:
                    candidates.append((smaller.memory_mb, name, engine))
        for _, name, engine in sorted(candidates)[:_MAX_CANDIDATES]:
            smaller = self._view.models[name]
            if any(
                self._free_mb[target] >= smaller.memory_mb
                and target != engine
                and (name, smaller.version) not in self._held_versions[target]
                for target in self._engines
            ):
                return self._add_copy(smaller)
        return False

    def _add_copy(self, model: PlacedModel, peak: float | None = None) -> bool:
        """Load the model on the best engine, or evict copies there to make room for it.

        With ``peak``, do so only if it cuts the peak load enough. Returns whether a
        load was planned.
        """
        found = self._find_engine(model, peak)
        if found is None:
            return False
        rank, engine = found
        if rank is _PlacementRank.EVICTION:
            for evicted in self._copies_to_evict(engine, model, peak) or ():
                self._unload(engine, evicted, self._view.models[evicted].version)
            return False
        self.moves.append(
            PlannedMove(
                engine,
                OrderKind.LOAD_MODEL,
                model.name,
                model.version,
                memory_mb=model.memory_mb,
            )
        )
        self.load_budget -= 1
        subject = (model.name, model.version)
        self._free_mb[engine] -= self._needed_mb(engine, subject, model.memory_mb)
        self._held_versions[engine].add(subject)
        self._kept_copies[model.name][engine] = False
        self._balance.place(
            model.name, self._work_by_model[model.name], self._kept_copies[model.name]
        )
        return True

    def _find_engine(
        self, model: PlacedModel, peak: float | None
    ) -> tuple[_PlacementRank, str] | None:
        zones = self._copies_per_zone(model.name)
        subject = (model.name, model.version)
        choices: dict[_PlacementRank, list[tuple[float, int, float, int, str]]] = {
            rank: [] for rank in _PlacementRank
        }
        load = self._balance.load
        for name in self._engines_by_load:
            engine = self._engines[name]
            if not engine.accepts_orders or subject in self._held_versions[name]:
                continue
            if peak is not None:
                scanned = sum(map(len, choices.values()))
                if load[name] >= peak or scanned >= _MAX_SCANNED_ENGINES:
                    break
            elif len(choices[_PlacementRank.ROOM]) >= _MAX_SCANNED_ENGINES:
                break
            has_room = self._free_mb[name] >= self._needed_mb(
                name, subject, model.memory_mb
            )
            rank = _PlacementRank.ROOM if has_room else _PlacementRank.EVICTION
            copies = zones.get(engine.availability_zone, 0)
            # Prefer a new zone for a first copy, and an idle engine for relief.
            coarse_load = 0.0 if peak is None else round(load[name], 1)
            if subject in engine.abandoned_load_mb:
                coarse_load -= 1.0
            choices[rank].append(
                (coarse_load, copies, load[name], -self._free_mb[name], name)
            )
        # A few candidates suffice for relief; a first copy goes wherever it fits.
        max_candidates = _MAX_SCANNED_ENGINES if peak is None else _MAX_CANDIDATES
        best = [
            (rank, name)
            for rank in _PlacementRank
            for *_, name in heapq.nsmallest(max_candidates, choices[rank])
        ]
        for rank, name in best:
            if rank is _PlacementRank.EVICTION and (
                name in self._evicting_engines
                or not self._copies_to_evict(name, model, peak)
            ):
                continue
            if peak is not None:
                holders = {*self._kept_copies[model.name], name}
                work = self._work_by_model[model.name]
                peak_after = self._balance.peak_load_with(model.name, work, holders)
                if peak_after > peak * (1.0 - self._limits.min_gain_fraction):
                    continue
            return rank, name
        return None

    def _remove_old_versions(self) -> None:
        """Unload old versions once the new one can carry the load.

        Until then, they are unloaded one at a time to make room for the new one.
        """
        unloading = {
            copy.model
            for engine in self._engines.values()
            for copy in engine.copies
            if copy.state is CopyState.UNLOADING
        }
        for engine, copy in list(self._old_copies):
            model = self._view.models.get(copy.model)
            if not self._engines[engine].accepts_orders:
                continue
            if model is not None:
                ready = sum(self._kept_copies[copy.model].values())
                if ready < max(1, min(model.min_copies, len(self._engines))):
                    continue
                if self._work_by_model[copy.model] > _MAX_UTILIZATION * ready:
                    if copy.model in unloading:
                        continue
                    unloading.add(copy.model)
            self._unload_old_copy(engine, copy)

    def _balance_load(self) -> None:
        stuck: set[str] = set()
        for _ in range(self._limits.max_balance_attempts):
            load = self._balance.load
            open_engines = [name for name in load if name not in stuck]
            if self.load_budget <= 0 or not open_engines:
                return
            mean = sum(load.values()) / len(load)
            hottest = max(open_engines, key=load.__getitem__)
            peak = load[hottest]
            if peak < self._limits.calm_load:
                return
            if peak <= mean * (1.0 + self._limits.tolerance_fraction):
                return
            if not self._relieve_engine(hottest, peak):
                stuck.add(hottest)

    def _use_spare_memory(self) -> None:
        """Add a second copy of a model where memory is unused.

        A burst on a single copy lasts until another one is loaded, which takes longer
        than most bursts. One spare copy per plan leaves the rest of the weight store's
        rate to necessary moves.
        """
        missing = any(
            len(self._kept_copies[model.name])
            < min(model.min_copies, len(self._engines))
            for model in self._view.models.values()
        )
        if self.load_budget < _MIN_SPARE_LOAD_BUDGET or missing or self.unplaced:
            return
        # Less busy models keep one copy, which limits the moves; before any demand is
        # known, all models get a spare copy.
        min_work = sum(self._work_by_model.values()) / max(1, len(self._work_by_model))
        for count in range(1, self._limits.spare_copies):
            candidates = [
                (-self._work_by_model[name], name)
                for name, copies in self._kept_copies.items()
                if len(copies) == count
                and all(copies.values())
                and self._work_by_model[name] >= min_work
            ]
            for _, name in heapq.nsmallest(_MAX_MODELS_PER_PLAN, candidates):
                model = self._view.models[name]
                found = self._find_engine(model, None)
                if found is not None and found[0] is _PlacementRank.ROOM:
                    self._add_copy(model)
                    return

    def _relieve_engine(self, engine: str, peak: float) -> bool:
        for name in self._balance.models_by_load(engine, self._kept_models(engine))[:3]:
            if self._balance.share(name, engine) <= 0.0:
                return False
            if not all(self._kept_copies[name].values()):
                # A copy that is still loading will bring relief first.
                continue
            if self._add_copy(self._view.models[name], peak):
                return True
        return False

    def _plan_adapter_moves(self) -> None:
        transfers_left = self._limits.parallel_adapter_loads - self._adapters_loading
        for engine in self._engines.values():
            if not engine.accepts_orders:
                continue
            for copy in engine.copies:
                model = self._view.models.get(copy.model)
                if (
                    model is None
                    or not (model.adapters or copy.adapters)
                    or model.version != copy.version
                    or copy.state is not CopyState.READY
                    or engine.name not in self._kept_copies[copy.model]
                ):
                    continue
                for move in _adapter_moves(engine.name, copy, model):
                    if move in self._issued:
                        continue
                    if move.kind is OrderKind.LOAD_ADAPTER:
                        transfers_left -= 1
                        if transfers_left < 0:
                            continue
                    self.moves.append(move)


def _adapter_moves(engine: str, copy: Copy, model: PlacedModel) -> list[PlannedMove]:
    wanted, held = set(model.adapters), set(copy.adapters)
    return [
        PlannedMove(engine, kind, model.name, model.version, adapter)
        for kind, names in (
            (OrderKind.LOAD_ADAPTER, wanted - held),
            (OrderKind.UNLOAD_ADAPTER, held - wanted),
        )
        for adapter in sorted(names)
    ]
