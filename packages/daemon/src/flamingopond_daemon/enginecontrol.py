"""Engine reports, orders and placement."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping
from typing import Protocol

import anyio
import attrs

from flamingopond_core.configuration import Configuration, EngineTarget
from flamingopond_core.demand import Demand
from flamingopond_core.exceptions import PlatformError
from flamingopond_core.placement import (
    EngineView,
    Move,
    PlacedModel,
    PlacementView,
    Planner,
    PlannerLimits,
)
from flamingopond_daemon.enginedigest import (
    EngineDigest,
    Plan,
    PlannedAt,
    plan_from_json,
    plan_to_json,
)
from flamingopond_daemon.engineorders import Authorities, Clock, OwnedEngine
from flamingopond_daemon.gossipbook import GossipBook
from flamingopond_daemon.interfaces import EngineClients, EventLog
from flamingopond_platform.engine import EngineReport
from flamingopond_platform.table import Table
from flamingopond_platform.vms import VmList, VmState

# A plan for 3,000 engines takes about 35 ms, so one each 3 s stays near 1 % of a core.
_ENGINES_PER_PLAN_SECOND = 1000
# Load digests of all engines a second; with more engines each is shared less often,
# and nodes rely on the load that comes with their own answers.
_LOADS_PER_S = 25.0
# A node shares its demand this often; the fast average has a half-life of 10 s.
_DEMAND_S = 3.0
# Models in one node's demand entry; the rest of a node's demand is too small to
# change a placement.
_DEMAND_MODELS = 64


class GossipCluster(Authorities, Protocol):
    """What is needed of the cluster."""

    @property
    def name(self) -> str:
        """Name of this node."""

    def topic(
        self,
        name: str,
        publish: Callable[[], bytes],
        receive: Callable[[str, bytes], None],
    ) -> None:
        """Add a gossip topic."""


class ConfigurationHolder(Protocol):
    """What is needed of the configuration."""

    @property
    def configuration(self) -> Configuration:
        """The present configuration."""


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
        self._counter = 0
        # Stamps of a restarted node must exceed those that it gave out before.
        self._incarnation = int(time.time())
        self._digests = GossipBook(
            3 * settings.refresh_s, EngineDigest.to_json, EngineDigest.from_json
        )
        self._loads = GossipBook(30.0, from_json=tuple, max_sends=4, bytes_per_s=3000.0)
        self._demands = GossipBook(60.0, max_sends=4, bytes_per_s=3000.0)
        self._plans = GossipBook(5.0, plan_to_json, plan_from_json)
        self._leaving = GossipBook(60.0, bytes_per_s=500.0)
        self._shared: dict[str, tuple[EngineDigest, float, float]] = {}
        self._index: dict[str, tuple[str, ...]] = {}
        self._index_of: tuple[int, int, float] = (-1, -1, 0.0)
        self._listed: frozenset[str] | None = None
        self._seen_targets: set[str] = set()
        for name, book in (
            ("engines", self._digests),
            ("load", self._loads),
            ("demand", self._demands),
            ("placement", self._plans),
            ("leaving", self._leaving),
        ):
            cluster.topic(name, self._publisher(book), self._receiver(name, book))

    def report(self, engine: str) -> EngineReport | None:
        """Return the newest report known of an engine that answers its owner."""
        digest = self._digest(engine)
        if digest is None or not digest.alive:
            return None
        return digest.with_load(self._loads.get(engine, self._clock()))

    def placed(self, model: str) -> tuple[str, ...]:
        """Return the engines that serve a model (or adapter) and are not leaving."""
        mark = (self._digests.changes, self._leaving.changes)
        now = self._clock()
        # Digests also expire, and the list of VMs changes, without a new digest.
        if self._index_of[:2] != mark or now - self._index_of[2] > 0.5:
            # Rebuilding costs about a microsecond per engine and copy.
            self._index = self._build_index()
            self._index_of = (*mark, now)
        return self._index.get(model, ())

    def _build_index(self) -> dict[str, tuple[str, ...]]:
        index: dict[str, list[str]] = {}
        for name in self._source.configuration.engines:
            digest = self._digest(name)
            if digest is None or not digest.alive or digest.report.draining:
                continue
            if not self.leaving(name):
                for subject in digest.serving:
                    index.setdefault(subject, []).append(name)
        return {subject: tuple(names) for subject, names in index.items()}

    def leaving(self, engine: str) -> bool:
        """Return whether an engine is on its way out or gone from the list of VMs."""
        target = self._source.configuration.engines.get(engine)
        if target is None:
            return True
        if self._leaving.get(target.address, self._clock()) is not None:
            return True
        # A new engine may not be on the list yet; one that was there is gone.
        return (
            self._listed is not None
            and target.address in self._seen_targets
            and target.address not in self._listed
        )

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
                await anyio.sleep(self._settings.poll_s / 4)

    def view(self, region: str, now: float) -> PlacementView:
        """Return what the planner of a region is given."""
        configuration = self._source.configuration
        engines = {}
        for target in configuration.engines.values():
            if target.region != region:
                continue
            digest = self._digest(target.name)
            if digest is not None:
                usable = (
                    digest.alive
                    and not digest.report.draining
                    and not self.leaving(target.name)
                )
                engines[target.name] = EngineView(
                    target.name,
                    target.availability_zone,
                    digest.free_mb,
                    digest.copies,
                    usable,
                    digest.orderable,
                    digest.report.role,
                    digest.lost,
                )
        adapters: dict[str, list[str]] = {}
        for adapter in configuration.adapters.values():
            adapters.setdefault(adapter.model, []).append(adapter.name)
        models = {
            model.name: PlacedModel(
                model.name,
                model.version,
                model.memory_mb,
                model.tokens_per_second,
                model.min_copies,
                tuple(adapters.get(model.name, ())),
            )
            for model in configuration.models.values()
        }
        return PlacementView(engines, models, self._demand_of(region, now))

    def _digest(self, engine: str) -> EngineDigest | None:
        digest: EngineDigest | None = self._digests.get(engine, self._clock())
        return digest

    def _demand_of(self, region: str, now: float) -> Mapping[str, tuple[float, float]]:
        total: dict[str, tuple[float, float]] = {}
        for _, (node_region, rates) in self._demands.items(now):
            if node_region != region:
                continue
            for model, (fast, slow) in rates.items():
                before = total.get(model, (0.0, 0.0))
                total[model] = (before[0] + fast, before[1] + slow)
        return total

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
        try:
            while (
                engine.owned
                and self._source.configuration.engines.get(target.name) == target
            ):
                start = self._clock()
                digest = await engine.poll()
                if digest is not None:
                    answered_at = start
                    self._share(target.name, engine.epoch, digest)
                elif start - answered_at > self._settings.silent_s:
                    self._share_silence(target.name, engine.epoch)
                moves = self._moves_for(target)
                for move in await engine.carry_out(tuple(moves)):
                    if move in moves:
                        self._ordered[target.name][move] = moves[move]
                rest = self._settings.poll_s - (self._clock() - start)
                await anyio.sleep(max(0.05, rest))
        finally:
            self._tasks.pop(target.name, None)

    def _share(self, engine: str, epoch: int, digest: EngineDigest) -> None:
        """Gossip a digest if it changed, and its load if that is due."""
        now = self._clock()
        state = attrs.evolve(
            digest, report=digest.with_load((digest.report.instance, 0, 0, 0, 0))
        )
        last = self._shared.get(engine)
        if (
            last is None
            or last[0].to_json() != state.to_json()
            or now - last[1] >= self._settings.refresh_s
        ):
            self._digests.put(engine, self._stamp(epoch), state, now)
            last = (state, now, last[2] if last else 0.0)
        engines = len(self._source.configuration.engines)
        if now - last[2] >= engines / _LOADS_PER_S:
            self._loads.put(engine, self._stamp(epoch), digest.load(), now)
            last = (last[0], last[1], now)
        self._shared[engine] = last

    def _share_silence(self, engine: str, epoch: int) -> None:
        digest = self._digest(engine)
        if digest is not None and digest.alive:
            self._events.record("engine_silent", engine=engine)
            silent = attrs.evolve(digest, alive=False, orderable=False)
            self._digests.put(engine, self._stamp(epoch), silent, self._clock())
            self._shared.pop(engine, None)

    def _stamp(self, epoch: int) -> tuple[int, int]:
        self._counter += 1
        return epoch, self._incarnation * 1_000_000 + self._counter

    def _witnesses(self, model: str, engine: str) -> list[str]:
        return [name for name in self.placed(model) if name != engine]

    def _moves_for(self, target: EngineTarget) -> dict[Move, PlannedAt]:
        """Return the planned moves for an engine that were not ordered yet."""
        plan: Plan = self._plans.get(target.region, self._clock()) or ()
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
        moves = planner.plan(self.view(region, now), now)
        if planner.unplaced != before:
            self._events.record(
                "models_unplaced", region=region, models=list(planner.unplaced)
            )
        # Every plan names all open moves, because only the newest plan is kept.
        plan = tuple(
            (move, (epoch, round(1000 * at))) for move, at in planner.open_moves.items()
        )
        if plan or self._plans.get(region, now):
            self._plans.put(region, self._stamp(epoch), plan, now)
        if moves:
            self._events.record("moves_planned", region=region, moves=len(moves))

    async def _publish_demand(self) -> None:
        while True:
            now = self._clock()
            self._demand.keep(self._source.configuration.models)
            rates = sorted(
                self._demand.rates(now).items(), key=lambda item: -max(item[1])
            )
            top = {
                model: (round(fast, 1), round(slow, 1))
                for model, (fast, slow) in rates[:_DEMAND_MODELS]
                if max(fast, slow) >= 0.05
            }
            self._counter += 1
            self._demands.put(
                self._cluster.name,
                (self._incarnation, self._counter),
                (self._settings.region, top),
                now,
            )
            await anyio.sleep(_DEMAND_S)

    async def _watch_vms(self) -> None:
        while True:
            try:
                vms = await self._vms.list_vms()
            except PlatformError:
                vms = ()
            targets = [vm for vm in vms if vm.role != "entry"]
            if targets:
                self._listed = frozenset(vm.address for vm in targets)
                self._seen_targets |= self._listed
            for vm in targets:
                if vm.state is VmState.LEAVING:
                    stamp = (int(time.time()), 0)
                    self._leaving.put(vm.address, stamp, 1, self._clock())
            await anyio.sleep(1.0)

    def _publisher(self, book: GossipBook) -> Callable[[], bytes]:
        return lambda: book.publish(self._clock())

    def _receiver(self, name: str, book: GossipBook) -> Callable[[str, bytes], None]:
        def receive(sender: str, data: bytes) -> None:
            try:
                book.receive(data, self._clock())
            except (ValueError, TypeError, KeyError, IndexError) as error:
                self._events.record(
                    "gossip_malformed", topic=name, sender=sender, reason=repr(error)
                )

        return receive
