"""Engine reports, orders and placement."""

from __future__ import annotations

import math
import time
from collections.abc import Sequence
from typing import Protocol

import anyio
import attrs

from flamingopond_core.configuration import EngineTarget
from flamingopond_core.demand import Demand
from flamingopond_core.exceptions import PlatformError
from flamingopond_core.orders import CopyState
from flamingopond_core.placement import (
    Move,
    Planner,
    PlannerLimits,
)
from flamingopond_daemon.enginedigest import (
    EngineDigest,
    PlannedAt,
)
from flamingopond_daemon.engineknowledge import (
    ConfigurationHolder,
    EngineKnowledge,
    GossipTopics,
)
from flamingopond_daemon.engineorders import Authorities, Clock, OwnedEngine
from flamingopond_daemon.interfaces import EngineClients, EventLog
from flamingopond_platform.engine import EngineReport
from flamingopond_platform.table import Table
from flamingopond_platform.vms import Vm, VmList

# A plan for 3,000 engines takes about 35 ms, so one each 3 s stays near 1 % of a core.
_ENGINES_PER_PLAN_SECOND = 1000
# Polls a second of quiet engines by one node, with the default period.
POLLS_PER_S = 10.0
# A node shares its demand this often; the fast average has a half-life of 10 s.
_DEMAND_S = 3.0
# Models in one node's demand entry; the rest of a node's demand is too small to
# change a placement.
_DEMAND_MODELS = 64


class GossipCluster(Authorities, GossipTopics, Protocol):
    """What is needed of the cluster."""

    @property
    def name(self) -> str:
        """Name of this node."""


@attrs.frozen
class EngineControlSettings:
    """Times in seconds; weight store limits are those of all regions together.

    An engine that has not answered its owner for ``silent_s`` counts as gone: its
    copies are replaced elsewhere. Digests are shared when they change and every
    ``refresh_s``, and forgotten after three times that.
    """

    region: str
    loads_per_second: float = 2.0
    parallel_loads: int = 16
    adapter_parallel: int = 70
    poll_s: float = 1.0
    plan_s: float = 1.0
    silent_s: float = 3.0
    refresh_s: float = 15.0


class EngineControl:
    """Polls owned engines, orders what placement wants, and knows all engines."""

    def __init__(
        self,
        settings: EngineControlSettings,
        cluster: GossipCluster,
        table: Table,
        vms: VmList,
        configuration: ConfigurationHolder,
        clients: EngineClients,
        events: EventLog,
        clock: Clock = time.monotonic,
    ) -> None:
        """Join the gossip topics; nothing else happens before ``run``."""
        self._settings = settings
        self._cluster = cluster
        self._table = table
        self._vms = vms
        self._source = configuration
        self._clients = clients
        self._events = events
        self._clock = clock
        self._demand = Demand()
        self._planners: dict[str, Planner] = {}
        self._tasks: dict[str, EngineTarget] = {}
        self._ordered: dict[str, dict[Move, PlannedAt]] = {}
        self._knowledge = EngineKnowledge(
            settings.refresh_s, cluster, configuration, events, clock
        )

    def report(self, engine: str) -> EngineReport | None:
        """Return the newest report known of an engine that answers its owner."""
        return self._knowledge.report(engine)

    def placed(self, model: str) -> tuple[str, ...]:
        """Return the engines that serve a model (or adapter) and are not leaving."""
        return self._knowledge.placed(model)

    def leaving(self, engine: str) -> bool:
        """Return whether an engine is on its way out or gone from the list of VMs."""
        return self._knowledge.leaving(engine)

    def demand(self, model: str, tokens: float, now: float) -> None:
        """Count prompt and answer tokens that callers asked of a model."""
        self._demand.add(model, tokens, now)

    async def run(self) -> None:
        """Poll, plan and order until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_vms)
            tasks.start_soon(self._publish_demand)
            tasks.start_soon(self._plan_regions)
            while True:
                for name, target in self._source.configuration.engines.items():
                    resource = f"engine/{name}"
                    if name not in self._tasks and self._cluster.authority(
                        resource, self._clock()
                    ):
                        self._tasks[name] = target
                        tasks.start_soon(self._own, target)
                # Large fleets are scanned less often: each engine is looked up.
                engines = len(self._source.configuration.engines)
                await anyio.sleep(max(self._settings.poll_s / 4, engines / 2000))

    async def _own(self, target: EngineTarget) -> None:
        """Act as owner of an engine until that is over."""
        engine = OwnedEngine(
            target,
            self._cluster,
            self._table,
            self._clients,
            self._events,
            self._witnesses,
            lambda model: model in self._source.configuration.models,
            self._clock,
        )
        answered_at = self._clock()
        next_poll = -math.inf
        try:
            while (
                engine.owned
                and self._source.configuration.engines.get(target.name) == target
            ):
                start = self._clock()
                if start >= next_poll:
                    digest = await engine.poll()
                    if digest is not None:
                        answered_at = start
                        self._knowledge.share(target.name, engine.epoch, digest)
                    elif start - answered_at > self._settings.silent_s:
                        self._knowledge.share_silence(target.name, engine.epoch)
                    next_poll = start + self._poll_period(digest)
                moves = self._moves_for(target)
                for move in await engine.carry_out(tuple(moves)):
                    if move in moves:
                        self._ordered[target.name][move] = moves[move]
                rest = self._settings.poll_s - (self._clock() - start)
                await anyio.sleep(max(0.05, rest))
        finally:
            self._tasks.pop(target.name, None)

    def _poll_period(self, digest: EngineDigest | None) -> float:
        """Return the time to the next poll; shorter while something goes on.

        A poll takes 2 ms of CPU time, so a node with 30 engines polls quiet ones
        every 3 s.
        """
        settings = self._settings
        if (
            digest is None
            or not digest.orderable
            or any(copy.state is not CopyState.READY for copy in digest.copies)
        ):
            return settings.poll_s / 2
        # Half a period less, because the loop's own period is added.
        return (max(1.0, len(self._tasks) / POLLS_PER_S) - 0.5) * settings.poll_s

    def _witnesses(self, model: str, engine: str) -> list[str]:
        return [name for name in self.placed(model) if name != engine]

    def _moves_for(self, target: EngineTarget) -> dict[Move, PlannedAt]:
        """Return the planned moves for an engine that were not ordered yet."""
        plan = self._knowledge.plan(target.region)
        mine = {move: at for move, at in plan if move.engine == target.name}
        done = self._ordered.get(target.name, {})
        # Only moves that are still planned have to be remembered.
        kept = {move: at for move, at in done.items() if mine.get(move) == at}
        self._ordered[target.name] = kept
        return {move: at for move, at in mine.items() if move not in kept}

    async def _plan_regions(self) -> None:
        while True:
            engines = self._source.configuration.engines.values()
            regions = {target.region for target in engines}
            share = len(engines) / max(1, len(regions)) / _ENGINES_PER_PLAN_SECOND
            await anyio.sleep(self._settings.plan_s * max(1.0, share))
            for region in sorted(regions):
                now = self._clock()
                authority = self._cluster.authority(f"placement/{region}", now)
                if authority is None:
                    self._planners.pop(region, None)
                else:
                    self._plan(region, len(regions), authority.epoch, now)

    def _plan(self, region: str, regions: int, epoch: int, now: float) -> None:
        planner = self._planners.get(region)
        if planner is None:
            settings = self._settings
            planner = Planner(
                PlannerLimits(
                    loads_per_second=settings.loads_per_second / regions,
                    parallel_loads=max(1, settings.parallel_loads // regions),
                    adapter_parallel=max(1, settings.adapter_parallel // regions),
                )
            )
            self._planners[region] = planner
        before = planner.unplaced
        moves = planner.plan(self._knowledge.view(region, now), now)
        if planner.unplaced != before:
            self._events.record(
                "models_unplaced", region=region, models=list(planner.unplaced)
            )
        # Every plan names all open moves, because only the newest plan is kept.
        plan = tuple(
            (move, (epoch, round(1000 * at))) for move, at in planner.open_moves.items()
        )
        self._knowledge.share_plan(region, epoch, plan)
        if moves:
            self._events.record("moves_planned", region=region, moves=len(moves))

    async def _publish_demand(self) -> None:
        while True:
            now = self._clock()
            self._demand.retain(self._source.configuration.models)
            rates = sorted(
                self._demand.rates(now).items(), key=lambda item: -max(item[1])
            )
            top = {
                model: (round(fast, 1), round(slow, 1))
                for model, (fast, slow) in rates[:_DEMAND_MODELS]
                if max(fast, slow) >= 0.05
            }
            self._knowledge.share_demand(self._cluster.name, self._settings.region, top)
            await anyio.sleep(_DEMAND_S)

    async def _watch_vms(self) -> None:
        read: Sequence[Vm] = ()
        targets: Sequence[Vm] = ()
        while True:
            try:
                vms = await self._vms.list_vms()
            except PlatformError:
                vms = ()
            # The client returns the same list until something changes.
            if vms and vms is not read:
                read = vms
                targets = [vm for vm in vms if vm.role != "entry"]
            if vms and targets:
                self._knowledge.note_targets(targets)
            await anyio.sleep(1.0)
