"""Which model is placed on which engine."""

from __future__ import annotations

import heapq
from collections.abc import Mapping
from enum import IntEnum

from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.placement_state import PlacementState
from flamingopond_core.placement_view import (
    EngineView,
    Move,
    PlacedModel,
    PlacementView,
    PlannerLimits,
)
from flamingopond_core.reports import OrderKind

__all__ = [
    "EngineView",
    "Move",
    "PlacedModel",
    "PlacementView",
    "Planner",
    "PlannerLimits",
]


# Engines looked at closely for one copy, and models without a copy for one plan.
_CANDIDATES = 4
# Least loaded engines among which candidates are sought.
_SCANNED = 64
_MISSING_TRIES = 24
# Loads that the weight store must have room for before one is made ahead of need.
_SPARE_BUDGET = 2
# Share of the capacity of its copies that a model's demand may take.
_COMFORT = 0.8


class _Rank(IntEnum):
    """How willingly an engine takes a copy: with room, or after an eviction."""

    ROOM = 0
    EVICTION = 1


class Planner:
    """Computes the next few moves of one region.

    It remembers how old copies are and which of its moves the view does not show
    yet; both may be lost without harm, after which it moves less for a while.
    """

    def __init__(self, limits: PlannerLimits | None = None) -> None:
        """Start without knowledge; copies then count as old."""
        self._limits = limits or PlannerLimits()
        self._tokens = 1.0
        self._tokens_at: float | None = None
        self._first = True
        self._ready_since: dict[tuple[str, str, str], float] = {}
        self._open: dict[Move, float] = {}
        self._unplaced: tuple[str, ...] = ()

    @property
    def unplaced(self) -> tuple[str, ...]:
        """Models for which the last plan found no engine with room."""
        return self._unplaced

    @property
    def open_moves(self) -> Mapping[Move, float]:
        """Moves that the view does not show yet, with the time of their planning."""
        return self._open

    def plan(self, view: PlacementView, now: float) -> list[Move]:
        """Return the next moves, most urgent first."""
        self._refill(now)
        self._follow(view, now)
        step = _Step(view, self._limits, self._open)
        young = {
            key
            for key, since in self._ready_since.items()
            if now - since < self._limits.keep_s
        }
        step.young = young
        loading = step.loading + sum(
            move.kind is OrderKind.LOAD_MODEL for move in self._open
        )
        step.budget = min(int(self._tokens), self._limits.parallel_loads - loading)
        step.run()
        self._unplaced = tuple(step.unplaced)
        for move in step.moves:
            self._open[move] = now
            if move.kind is OrderKind.LOAD_MODEL:
                self._tokens -= 1.0
        return step.moves

    def forget(self, move: Move) -> None:
        """Note that a move was turned down, so that it may be planned anew."""
        self._open.pop(move, None)

    def _refill(self, now: float) -> None:
        rate = self._limits.loads_per_second
        if self._tokens_at is not None:
            self._tokens += (now - self._tokens_at) * rate
        # Two seconds' worth: plans are about one second apart.
        self._tokens = min(self._tokens, max(1.0, 2.0 * rate))
        self._tokens_at = now

    def _follow(self, view: PlacementView, now: float) -> None:
        first, self._first = self._first, False
        ready = {}
        for engine in view.engines.values():
            for copy in engine.copies:
                if copy.state is CopyState.READY:
                    key = (engine.name, copy.model, copy.version)
                    start = now - self._limits.keep_s if first else now
                    ready[key] = self._ready_since.get(key, start)
        self._ready_since = ready
        for move, since in list(self._open.items()):
            if now - since >= self._limits.forget_s or _shown(move, view):
                del self._open[move]


def _shown(move: Move, view: PlacementView) -> bool:
    """Tell whether the view already accounts for the move."""
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
    has = any(move.adapter in c.adapters for c in copies)
    return has == (move.kind is OrderKind.LOAD_ADAPTER)


class _Step(PlacementState):
    """Plans the moves of one step, in order of urgency."""

    def run(self) -> None:
        """Plan in order of urgency."""
        self._restore_roles()
        self._compute_load()
        self._add_missing_copies()
        self._remove_old_versions()
        self._level_load()
        self._use_spare_memory()
        self._match_adapters()

    def _restore_roles(self) -> None:
        for engine in self._engines.values():
            move = Move(engine.name, OrderKind.SET_ROLE, role="serve")
            if engine.role != "serve" and move not in self._issued:
                self.moves.append(move)

    def _add_missing_copies(self) -> None:
        wanted = {
            model.name: min(model.min_copies, len(self._engines))
            for model in self._view.models.values()
        }
        missing = [
            (len(self._stay[name]) > 0, -self._work_of[name], name)
            for name, copies in wanted.items()
            if len(self._stay[name]) < copies
        ]
        for _, _, name in heapq.nsmallest(_MISSING_TRIES, missing):
            model = self._view.models[name]
            while self.budget > 0 and len(self._stay[name]) < wanted[name]:
                if self._add_copy(model):
                    continue
                if not self._make_room(model):
                    self.unplaced.append(name)
                break

    def _make_room(self, model: PlacedModel) -> bool:
        """Free memory for a model that has no engine; return whether that began."""
        if self._evicting_for(model):
            return True
        if self._old_ready.get(model.name, 0) >= 2:
            for engine, copy in self._old:
                room = self._free[engine] + copy.memory_mb
                if copy.model == model.name and room >= model.memory_mb:
                    self._unload_old(engine, copy)
                    return True
        return self._migrate_for(model)

    def _migrate_for(self, model: PlacedModel) -> bool:
        """Copy a smaller model elsewhere, so that its present copy becomes surplus.

        That joins free memory that is scattered over engines.
        """
        if any(not all(copies.values()) for copies in self._stay.values()):
            # A copy on its way may be the one that makes room.
            return True
        options = []
        for engine, free in self._free.items():
            for name in self._current(engine):
                other = self._view.models[name]
                fits = free + other.memory_mb >= model.memory_mb
                if fits and other.memory_mb < model.memory_mb:
                    options.append((other.memory_mb, name, engine))
        for _, name, engine in sorted(options)[:_CANDIDATES]:
            other = self._view.models[name]
            if any(
                self._free[target] >= other.memory_mb
                and target != engine
                and (name, other.version) not in self._held[target]
                for target in self._engines
            ):
                return self._add_copy(other)
        return False

    def _add_copy(self, model: PlacedModel, peak: float | None = None) -> bool:
        """Load the model on the best engine, or evict a copy to make room for it.

        With ``peak``, only if that cuts the peak load enough. Returns whether a
        load was planned.
        """
        found = self._find_engine(model, peak)
        if found is None:
            return False
        rank, engine = found
        if rank is _Rank.EVICTION:
            for evicted in self._evictions(engine, model, peak) or ():
                self._unload(engine, evicted, self._view.models[evicted].version)
            return False
        self.moves.append(
            Move(
                engine,
                OrderKind.LOAD_MODEL,
                model.name,
                model.version,
                memory_mb=model.memory_mb,
            )
        )
        self.budget -= 1
        subject = (model.name, model.version)
        self._free[engine] -= self._needs(engine, subject, model.memory_mb)
        self._held[engine].add(subject)
        self._stay[model.name][engine] = False
        self._balance.place(
            model.name, self._work_of[model.name], self._stay[model.name]
        )
        return True

    def _find_engine(
        self, model: PlacedModel, peak: float | None
    ) -> tuple[_Rank, str] | None:
        zones = self._zones(model.name)
        subject = (model.name, model.version)
        choices: dict[_Rank, list[tuple[float, int, float, int, str]]] = {
            rank: [] for rank in _Rank
        }
        load = self._balance.load
        for name in self._by_load:
            engine = self._engines[name]
            if not engine.orderable or subject in self._held[name]:
                continue
            if peak is not None:
                scanned = sum(map(len, choices.values()))
                if load[name] >= peak or scanned >= _SCANNED:
                    break
            elif len(choices[_Rank.ROOM]) >= _SCANNED:
                break
            room = self._free[name] >= self._needs(name, subject, model.memory_mb)
            rank = _Rank.ROOM if room else _Rank.EVICTION
            copies = zones.get(engine.availability_zone, 0)
            # A first copy goes to a new zone; relief goes to an idle engine first.
            coarse = 0.0 if peak is None else round(load[name], 1)
            if subject in engine.lost:
                coarse -= 1.0
            choices[rank].append((coarse, copies, load[name], -self._free[name], name))
        # Few candidates suffice for relief; a first copy goes wherever it can.
        count = _SCANNED if peak is None else _CANDIDATES
        best = [
            (rank, name)
            for rank in _Rank
            for *_, name in heapq.nsmallest(count, choices[rank])
        ]
        for rank, name in best:
            if rank is _Rank.EVICTION and (
                name in self._evicting or not self._evictions(name, model, peak)
            ):
                continue
            if peak is not None:
                holders = {*self._stay[model.name], name}
                work = self._work_of[model.name]
                after = self._balance.peak_with(model.name, work, holders)
                if after > peak * (1.0 - self._limits.gain):
                    continue
            return rank, name
        return None

    def _remove_old_versions(self) -> None:
        """Give up old copies once the new version carries the load.

        Where it does not yet, they go one at a time to make room for new ones.
        """
        slow = {
            copy.model
            for engine in self._engines.values()
            for copy in engine.copies
            if copy.state is CopyState.UNLOADING
        }
        for engine, copy in list(self._old):
            model = self._view.models.get(copy.model)
            if not self._engines[engine].orderable:
                continue
            if model is not None:
                ready = sum(self._stay[copy.model].values())
                if ready < max(1, min(model.min_copies, len(self._engines))):
                    continue
                if self._work_of[copy.model] > _COMFORT * ready:
                    if copy.model in slow:
                        continue
                    slow.add(copy.model)
            self._unload_old(engine, copy)

    def _level_load(self) -> None:
        stuck: set[str] = set()
        for _ in range(self._limits.balance_tries):
            load = self._balance.load
            open_engines = [name for name in load if name not in stuck]
            if self.budget <= 0 or not open_engines:
                return
            mean = sum(load.values()) / len(load)
            hottest = max(open_engines, key=load.__getitem__)
            peak = load[hottest]
            if peak < self._limits.calm_load:
                return
            if peak <= mean * (1.0 + self._limits.tolerance):
                return
            if not self._relieve(hottest, peak):
                stuck.add(hottest)

    def _use_spare_memory(self) -> None:
        """Give a model that has one copy a second one where memory is unused.

        A burst on a single copy lasts until another one is loaded, which takes
        longer than most bursts. One copy a plan leaves the rest of the weight
        store's rate to moves that are needed.
        """
        missing = any(
            len(self._stay[model.name]) < min(model.min_copies, len(self._engines))
            for model in self._view.models.values()
        )
        if self.budget < _SPARE_BUDGET or missing or self.unplaced:
            return
        # Less busy models stay at one copy, so that the moves are few; before any
        # demand is known all models get a spare copy.
        least = sum(self._work_of.values()) / max(1, len(self._work_of))
        for count in range(1, self._limits.spare_copies):
            wanting = [
                (-self._work_of[name], name)
                for name, copies in self._stay.items()
                if len(copies) == count
                and all(copies.values())
                and self._work_of[name] >= least
            ]
            for _, name in heapq.nsmallest(_MISSING_TRIES, wanting):
                model = self._view.models[name]
                found = self._find_engine(model, None)
                if found is not None and found[0] is _Rank.ROOM:
                    self._add_copy(model)
                    return

    def _relieve(self, engine: str, peak: float) -> bool:
        for name in self._balance.models_on(engine, self._current(engine))[:3]:
            if self._balance.share(name, engine) <= 0.0:
                return False
            if not all(self._stay[name].values()):
                # A copy on its way will bring relief first.
                continue
            if self._add_copy(self._view.models[name], peak):
                return True
        return False

    def _match_adapters(self) -> None:
        room = self._limits.adapter_parallel - self._adapters_loading
        for engine in self._engines.values():
            if not engine.orderable:
                continue
            for copy in engine.copies:
                model = self._view.models.get(copy.model)
                if (
                    model is None
                    or not (model.adapters or copy.adapters)
                    or model.version != copy.version
                    or copy.state is not CopyState.READY
                    or engine.name not in self._stay[copy.model]
                ):
                    continue
                for move in _adapter_moves(engine.name, copy, model):
                    if move in self._issued:
                        continue
                    if move.kind is OrderKind.LOAD_ADAPTER:
                        room -= 1
                        if room < 0:
                            continue
                    self.moves.append(move)


def _adapter_moves(engine: str, copy: Copy, model: PlacedModel) -> list[Move]:
    wanted, held = set(model.adapters), set(copy.adapters)
    return [
        Move(engine, kind, model.name, model.version, adapter)
        for kind, names in (
            (OrderKind.LOAD_ADAPTER, wanted - held),
            (OrderKind.UNLOAD_ADAPTER, held - wanted),
        )
        for adapter in sorted(names)
    ]
