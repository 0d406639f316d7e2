"""Polling of engines, orders to them, and placement of models."""

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
    PlannedMove,
    Planner,
    PlannerLimits,
)
from flamingopond_daemon.enginedigest import (
    EngineDigest,
    PlannedAt,
)
from flamingopond_daemon.enginegossip import (
    ConfigurationHolder,
    EngineGossip,
    GossipTopics,
)
from flamingopond_daemon.engineorders import AuthoritySource, Clock, OwnedEngine
from flamingopond_daemon.interfaces import EngineClients, EventLog
from flamingopond_platform.engine import EngineReport
from flamingopond_platform.table import Table
from flamingopond_platform.vms import Vm, VmList

# Planning 3,000 engines takes about 35 ms, so one plan every 3 s uses about 1 % of a
# core.
_MAX_ENGINES_PLANNED_PER_S = 1000
# Rate at which one node polls all its engines without orders in progress together, if
# ``poll_period_s`` is 1 s, the default.
POLLS_PER_S = 10.0
# Each node publishes its averages of demand in this period. The faster average has a
# half-life of 10 s.
_DEMAND_PERIOD_S = 3.0
# Maximum number of models in the demand entry of one node; demand for further models
# is too small to change a placement.
_MAX_DEMAND_MODELS = 64


class GossipCluster(AuthoritySource, GossipTopics, Protocol):
    """Cluster operations that engine control needs."""

    @property
    def name(self) -> str:
        """Name of this node."""


@attrs.frozen
class EngineControlSettings:
    """Periods and load limits; the limits apply to all regions together.

    If an engine has not answered its owner for ``silence_timeout_s``, its copies are
    replaced on other engines. Digests are published when they change and every
    ``refresh_period_s``, and expire after three times that.
    """

    region: str
    loads_per_second: float = 2.0
    parallel_loads: int = 16
    parallel_adapter_loads: int = 70
    poll_period_s: float = 1.0
    plan_period_s: float = 1.0
    silence_timeout_s: float = 3.0
    refresh_period_s: float = 15.0


class EngineControl:
    """Polls owned engines, carries out placement plans, and tracks all engines."""

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
        """Join the gossip topics; ``run`` starts everything else."""
        self._settings = settings
        self._cluster = cluster
        self._table = table
        self._vms = vms
        self._config = configuration
        self._clients = clients
        self._events = events
        self._clock = clock
        self._demand = Demand()
        self._planners: dict[str, Planner] = {}
        self._owned_targets: dict[str, EngineTarget] = {}
        self._issued_moves: dict[str, dict[PlannedMove, PlannedAt]] = {}
        self._gossip = EngineGossip(
            settings.refresh_period_s, cluster, configuration, events, clock
        )

    def report(self, engine: str) -> EngineReport | None:
        """Return the newest known report of an engine, or ``None`` if unresponsive."""
        return self._gossip.report(engine)

    def serving_engines(self, model: str) -> tuple[str, ...]:
        """Return the engines that can serve a model or adapter and are not leaving."""
        return self._gossip.serving_engines(model)

    def is_leaving(self, engine: str) -> bool:
        """Return whether an engine is leaving or was removed from the list of VMs."""
        return self._gossip.is_leaving(engine)

    def record_demand(self, model: str, tokens: float, now: float) -> None:
        """Record prompt and answer tokens that callers requested of a model."""
        self._demand.add(model, tokens, now)

    async def run(self) -> None:
        """Poll, plan and order until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_vms)
            tasks.start_soon(self._publish_demand)
            tasks.start_soon(self._plan_regions)
            while True:
                for name, target in self._config.configuration.engines.items():
                    resource = f"engine/{name}"
                    if name not in self._owned_targets and self._cluster.authority(
                        resource, self._clock()
                    ):
                        self._owned_targets[name] = target
                        tasks.start_soon(self._run_owner, target)
                # A scan looks up every engine, so large fleets are scanned less often.
                engines = len(self._config.configuration.engines)
                await anyio.sleep(max(self._settings.poll_period_s / 4, engines / 2000))

    async def _run_owner(self, target: EngineTarget) -> None:
        """Poll an engine and send it orders while this node owns it."""
        engine = OwnedEngine(
            target,
            self._cluster,
            self._table,
            self._clients,
            self._events,
            self._other_replicas,
            lambda model: model in self._config.configuration.models,
            self._clock,
        )
        answered_at = self._clock()
        next_poll = -math.inf
        try:
            while (
                engine.owned
                and self._config.configuration.engines.get(target.name) == target
            ):
                start = self._clock()
                if start >= next_poll:
                    digest = await engine.poll()
                    if digest is not None:
                        answered_at = start
                        self._gossip.publish_digest(target.name, engine.epoch, digest)
                    elif start - answered_at > self._settings.silence_timeout_s:
                        self._gossip.publish_unresponsive(target.name, engine.epoch)
                    next_poll = start + self._poll_period(digest)
                moves = self._unissued_moves(target)
                for move in await engine.issue_orders(tuple(moves)):
                    if move in moves:
                        self._issued_moves[target.name][move] = moves[move]
                remaining_s = self._settings.poll_period_s - (self._clock() - start)
                await anyio.sleep(max(0.05, remaining_s))
        finally:
            self._owned_targets.pop(target.name, None)

    def _poll_period(self, digest: EngineDigest | None) -> float:
        """Return the time to the next poll, shorter while orders are in progress.

        A poll takes 2 ms of CPU time, so a node with 30 engines polls those without
        orders in progress only every 3 s.
        """
        settings = self._settings
        if (
            digest is None
            or not digest.accepts_orders
            or any(copy.state is not CopyState.READY for copy in digest.copies)
        ):
            return settings.poll_period_s / 2
        # The owner's loop checks only once per period whether a poll is due, so a poll
        # is up to one period late. Half a period less makes up for the mean delay.
        return (
            max(1.0, len(self._owned_targets) / POLLS_PER_S) - 0.5
        ) * settings.poll_period_s

    def _other_replicas(self, model: str, engine: str) -> list[str]:
        return [name for name in self.serving_engines(model) if name != engine]

    def _unissued_moves(self, target: EngineTarget) -> dict[PlannedMove, PlannedAt]:
        """Return the planned moves of an engine without an order so far."""
        plan = self._gossip.plan(target.region)
        planned = {
            move: planned_at for move, planned_at in plan if move.engine == target.name
        }
        issued = self._issued_moves.get(target.name, {})
        # Issued moves are kept only while they are part of the plan.
        kept = {
            move: planned_at
            for move, planned_at in issued.items()
            if planned.get(move) == planned_at
        }
        self._issued_moves[target.name] = kept
        return {
            move: planned_at for move, planned_at in planned.items() if move not in kept
        }

    async def _plan_regions(self) -> None:
        while True:
            engines = self._config.configuration.engines.values()
            regions = {target.region for target in engines}
            period_factor = (
                len(engines) / max(1, len(regions)) / _MAX_ENGINES_PLANNED_PER_S
            )
            await anyio.sleep(self._settings.plan_period_s * max(1.0, period_factor))
            for region in sorted(regions):
                now = self._clock()
                authority = self._cluster.authority(f"placement/{region}", now)
                if authority is None:
                    self._planners.pop(region, None)
                else:
                    self._plan_region(region, len(regions), authority.epoch, now)

    def _plan_region(self, region: str, regions: int, epoch: int, now: float) -> None:
        planner = self._planners.get(region)
        if planner is None:
            settings = self._settings
            planner = Planner(
                PlannerLimits(
                    loads_per_second=settings.loads_per_second / regions,
                    parallel_loads=max(1, settings.parallel_loads // regions),
                    parallel_adapter_loads=max(
                        1, settings.parallel_adapter_loads // regions
                    ),
                )
            )
            self._planners[region] = planner
        before = planner.unplaced
        moves = planner.plan(self._gossip.placement_view(region, now), now)
        if planner.unplaced != before:
            self._events.record(
                "models_unplaced", region=region, models=list(planner.unplaced)
            )
        # Each plan lists all open moves, because it replaces the previous plan.
        plan = tuple(
            (move, (epoch, round(1000 * planned_at_s)))
            for move, planned_at_s in planner.open_moves.items()
        )
        self._gossip.publish_plan(region, epoch, plan)
        if moves:
            self._events.record("moves_planned", region=region, moves=len(moves))

    async def _publish_demand(self) -> None:
        while True:
            now = self._clock()
            self._demand.retain(self._config.configuration.models)
            rates = sorted(
                self._demand.rates(now).items(), key=lambda item: -max(item[1])
            )
            top = {
                model: (round(fast, 1), round(slow, 1))
                for model, (fast, slow) in rates[:_MAX_DEMAND_MODELS]
                if max(fast, slow) >= 0.05
            }
            self._gossip.publish_demand(self._cluster.name, self._settings.region, top)
            await anyio.sleep(_DEMAND_PERIOD_S)

    async def _watch_vms(self) -> None:
        newest: Sequence[Vm] = ()
        targets: Sequence[Vm] = ()
        while True:
            try:
                vms = await self._vms.list_vms()
            except PlatformError:
                vms = ()
            # The client returns the same object until the list changes.
            if vms and vms is not newest:
                newest = vms
                # VMs of the role ``entry`` run this daemon and no engine.
                targets = [vm for vm in vms if vm.role != "entry"]
            if vms and targets:
                self._gossip.update_vm_list(targets)
            await anyio.sleep(1.0)
