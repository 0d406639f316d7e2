"""A gateway process: creates the components and runs their loops."""

from __future__ import annotations

import asyncio
import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Iterable, Sequence
from typing import Protocol

import anyio
import attrs
import structlog

from flamingopond_core.exceptions import FlamingopondError

from .callers.attempt import TargetClient, TargetCodec
from .callers.forwarding import Forwarder
from .callers.retries import RetryBudget
from .clock import boot_time
from .configuration import Configuration, RequestLimits
from .demand import RateTracker
from .dispatch.admission import Admission
from .dispatch.crash_guard import CrashGuard
from .dispatch.dispatch import Dispatcher, FleetWork
from .dispatch.expected_connections import ExpectedConnections
from .dispatch.fair_order import request_order
from .dispatch.loads import InFlightTable, WorkTable
from .dispatch.quota import QuotaTracker
from .dispatch.returning import ReturningCallers
from .dispatch.scheduler import Scheduler
from .dispatch.service_shares import DEFAULT_CALL_S, ServiceShares
from .dispatch.tickets import Ticket
from .exchange.exchange import PeerExchange
from .exchange.members import Members
from .exchange.relay import RelayConnector
from .exchange.streamlink import StreamLink
from .loop_report import LoopReport
from .metrics import Metrics
from .placement.controller import LEASE_RANK_DELAY_S, EngineCodec, PlacementController
from .requests import Header, Request
from .settings import PRESSURE_CONTRACT, GatewaySettings
from .shutdown import ShutdownTimes
from .status import StatusResponse, StatusServer
from .store.shared_read import SharedRead
from .store.storage import Row, Store
from .store.watch import (
    RELIABLE_AFTER_S,
    EraTracker,
    StoreClock,
    StoreWatcher,
    watch_wait_s,
)
from .targets.call_latency import CallLatency
from .targets.cold import ColdTargets
from .targets.conditions import BLOCK_REASONS, PausedTargets, TargetConditions
from .targets.evacuation import EvacuatedZones, EvacuationRow
from .targets.health import HealthTracker
from .targets.holdings import HoldingsCache
from .targets.prefill_rate import PrefillRateEstimator
from .targets.request_limiter import DispatcherLimiter, LocalLimiter
from .targets.response_signals import ResponseSignals
from .targets.roster import Roster, Target, TargetEntry
from .targets.target_limits import TargetLimits
from .transport import client_limits
from .transport.http_client import ConnectionPool
from .transport.memory_budget import MemoryBudget
from .transport.paced_input import InputScheduler
from .transport.server import CallerServer, ResponseWriter

# Pause of the target watcher after a change, as a fraction of the time within which
# a removed target must get no more requests. 70 engines change their entries ten
# times a second, and each watch call returns at the first change.
WATCH_PAUSE_DRAIN_FRACTION = 0.08
# Period of the loop that closes idle connections and removes expired targets.
HOUSEKEEPING_PERIOD_S = 0.25
# The store drops an entry after this many heartbeats without one.
LAPSE_HEARTBEATS = 3
# With this among the settings' contracts, plain services limit their connections.
POOL_CONTRACT = "pool"
# Idle connections to all targets together, then. 45 engines and 8 plain targets with
# about 4 each need 212.
MAX_IDLE_CONNECTIONS = 256
# The settings file may change without a signal; it is reread this often.
SETTINGS_PERIOD_S = 5.0
METRICS_PATH = "/metrics"
# Connections that wait until they are accepted.
LISTEN_BACKLOG = 1024
# The first summary arrives within this time if a hub receives our reports.
FIRST_SUMMARY_TIMEOUT_S = 0.5
# Time for the answers to requests that are still running when the process exits.
FINAL_ANSWER_S = 0.1
# Contract under which operators evacuate zones; see ``GatewaySettings.contracts``.
PLACES_CONTRACT = "places"
# Period of attempts to assign waiting requests, besides those at each change of load.
ADMISSION_PERIOD_S = 0.02
# Period of the log lines on waiting requests, and their maximum number each time.
WAITING_LOG_PERIOD_S = 1.0
WAITING_LOG_LINES = 4

log = structlog.get_logger()


class PlatformAdapter(Protocol):
    """Names, formats and clients of the platform, implemented by the adapter."""

    @property
    def configuration_table(self) -> str:
        """Name of the table with the operator's configuration."""

    @property
    def targets_table(self) -> str:
        """Name of the table with the targets' entries."""

    @property
    def ready_path(self) -> str:
        """Path of the platform's readiness check."""

    @property
    def targets(self) -> TargetCodec:
        """Codec of requests that are sent to targets."""

    @property
    def store(self) -> Store:
        """Client of the platform's store."""

    @property
    def engines(self) -> EngineCodec:
        """Codec of engine reports and orders."""

    def decode_request(
        self, method: bytes, url: bytes, found: list[Header], arrived_at: float
    ) -> Request:
        """Decode a caller's request without its body; raises ValueError."""

    def decode_configuration(self, rows: Iterable[Row]) -> Configuration | None:
        """Decode the configuration among ``rows``; raises ValueError."""

    def evacuated_zone(self, row: Row) -> str | None:
        """Return the zone that a row of the configuration table evacuates, if any."""

    def decode_entry(self, row: Row) -> tuple[TargetEntry, str | None]:
        """Decode a row of the targets table; also return why it is unusable, if so."""


class Gateway:
    """All components of one gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        codec: PlatformAdapter,
        load_settings: Callable[[], GatewaySettings],
        dropped_log_lines: Callable[[], int] = lambda: 0,
    ) -> None:
        """Create the components and connect them."""
        self._dropped_log_lines = dropped_log_lines
        self.settings = settings
        self.codec = codec
        self._load_settings = load_settings
        self.metrics = Metrics()
        idle_bytes = client_limits.resident_bytes()
        self.memory_budget = MemoryBudget(
            client_limits.budget_bytes(
                settings.memory_mb, idle_bytes, settings.clients
            ),
            self.metrics,
        )
        self.roster = Roster()
        self.work = WorkTable()
        self.health = HealthTracker()
        self.prefill_rates = PrefillRateEstimator()
        self._configuration: Configuration | None = None
        self._terminating = False
        self._under_pressure = PRESSURE_CONTRACT in settings.contracts
        self._term_received = asyncio.Event()
        self._waiting_logged_at = 0.0
        self._settings_read_at = 0.0
        self.holdings = HoldingsCache()
        self.in_flight = InFlightTable()
        self.demand_rates = RateTracker()
        self.members = Members(settings.node, int(settings.link_mbps))
        self.limits = TargetLimits(settings.node)
        self.signals = ResponseSignals(
            paused=PausedTargets(lambda target_id: self.work.own_requests(target_id))
        )
        self.evacuated_zones = EvacuatedZones()
        # Those that hold for all gateways; what targets say concerns this one alone.
        self.fleet_conditions = TargetConditions([self.evacuated_zones])
        self.cold_targets = ColdTargets(lambda: self._configuration, settings.bounds)
        self._targets_listed = False
        # Faults of targets' entries that have been logged, by target.
        self._entry_faults: dict[str, str] = {}
        limiter = LocalLimiter(self.limits, cold=self.cold_targets)
        self.call_latency = CallLatency()
        self.pool = ConnectionPool()
        self.connector = RelayConnector(
            settings.node,
            self.members,
            self.roster,
            self.metrics,
            on_cut_off=self.pool.close,
        )
        self.shares = self._make_shares()
        self.scheduler: Scheduler[Ticket] = Scheduler(
            self.roster,
            self.work,
            self.health,
            self.prefill_rates,
            self.holdings,
            settings.zone,
            lambda: self._configuration,
            limiter,
            TargetConditions(
                [self.signals.leaving, self.signals.paused, self.evacuated_zones]
            ),
            order=request_order(settings),
            shares=self.shares,
            loads=self.signals.loads,
        )
        self.admission = Admission(self.scheduler)
        fleet_work = FleetWork()
        connections = self._make_expected_connections()
        self.dispatcher = Dispatcher(
            Scheduler(
                self.roster,
                fleet_work,
                self.health,
                self.prefill_rates,
                self.holdings,
                settings.zone,
                lambda: self._configuration,
                DispatcherLimiter(
                    self.limits,
                    lambda now: self.exchange.hub.dispatched_share(now),
                    lambda: self.exchange.cold_term.held(boot_time()),
                    cold=self.cold_targets,
                ),
                self.fleet_conditions,
                order=request_order(settings),
                loads=self.signals.loads,
                connections=connections,
            ),
            fleet_work,
            ReturningCallers() if self._under_pressure else None,
            connections,
        )
        if self._under_pressure:
            self.admission.recognize_returning()
        self.crash_guard = CrashGuard(self.metrics)
        self.store_era = EraTracker()
        self.store_clock = StoreClock()
        self.stream_link = StreamLink(
            settings,
            codec.store,
            self.store_era,
            self.store_clock,
            self.members,
            self.roster,
            lambda: self._configuration,
            self._confirm_targets,
            lambda now: self.exchange.in_contact(now),
        )
        self.quota = QuotaTracker(self.settings.first_start)
        self.forwarder = Forwarder(
            configuration=lambda: self._configuration,
            configuration_outdated=lambda: self.exchange.configuration_outdated,
            admission=self.admission,
            client=TargetClient(
                self.codec.targets,
                self.memory_budget,
                self.pool,
                shares=self.shares,
                connector=self.connector,
            ),
            scheduler=self.scheduler,
            health=self.health,
            prefill_rates=self.prefill_rates,
            quota=self.quota,
            retry_budget=RetryBudget(self.settings.bounds),
            demand_rates=self.demand_rates,
            in_flight=self.in_flight,
            member_count=self.members.count,
            on_not_held=lambda target_id: self.exchange.note_stale_holdings(target_id),
            crash_guard=self.crash_guard,
            limits=self.limits,
            metrics=self.metrics,
            origins=self.stream_link.origins,
            hold_stream=self.stream_link.hold,
            call_latency=self.call_latency,
            shares=self.shares,
            signals=self.signals,
            spreads_retries=self._under_pressure,
        )
        if connections is not None:
            self.forwarder.client.on_kept = lambda target, kept_s: (
                connections.record_kept(target.service, kept_s)
            )
        self.server = CallerServer(
            self._handle_request,
            self.codec.decode_request,
            self._limits,
            self.memory_budget,
            is_known=self._is_known,
        )
        self._descriptors = client_limits.descriptor_limit(settings.descriptors)
        self.server.max_connections = client_limits.max_connections(
            self._descriptors, settings.memory_mb, idle_bytes, settings.clients
        )
        self.server.report = client_limits.LimitReport(
            self.metrics, self.server.max_connections
        )
        self.configuration_watcher = self._make_watcher(
            self.codec.configuration_table, self._apply_operator_rows, 0.0
        )
        self.target_watcher = self._make_watcher(
            self.codec.targets_table,
            self._apply_targets,
            settings.bounds.drain_s * WATCH_PAUSE_DRAIN_FRACTION,
        )
        self._target_reads = SharedRead(self._read_targets)
        self.controller = PlacementController(
            settings,
            codec.store,
            self.store_era,
            codec.engines,
            self.roster,
            lambda: self._configuration,
            lambda holdings, everyone: self.exchange.send_holdings(holdings, everyone),
            self.metrics,
            self.prefill_rates,
            self.members.count,
            limiter,
            self._record_engine_answer,
            self.signals.paused.paused,
            self.holdings,
            self.fleet_conditions,
            connect=self.connector.connect_directly,
            note_answered=self.connector.note_answered,
            cut_off_s=lambda: self.connector.reachability.cut_off_s(
                asyncio.get_running_loop().time()
            ),
        )
        self.exchange = PeerExchange(
            settings=settings,
            store=codec.store,
            store_era=self.store_era,
            members=self.members,
            watchers={
                codec.configuration_table: self.configuration_watcher,
                codec.targets_table: self.target_watcher,
            },
            work=self.work,
            in_flight=self.in_flight,
            demand_rates=self.demand_rates,
            quota=self.quota,
            scheduler=self.scheduler,
            admission=self.admission,
            dispatcher=self.dispatcher,
            health=self.health,
            roster=self.roster,
            holdings=self.holdings,
            controller=self.controller,
            configuration=lambda: self._configuration,
            configuration_table=self.codec.configuration_table,
            crash_guard=self.crash_guard,
            limits=self.limits,
            loads=self.signals.loads,
            stream_link=self.stream_link,
            metrics=self.metrics,
            cold_targets=self.cold_targets,
            connector=self.connector,
        )
        self.admission.watch_waiting(lambda ticket: self.exchange.report_new_demand())

    async def _handle_request(self, request: Request, writer: ResponseWriter) -> None:
        self.cold_targets.note_traffic()
        await self.forwarder.handle(request, writer)

    def _make_shares(self) -> ServiceShares | None:
        if POOL_CONTRACT not in self.settings.contracts:
            return None
        self.pool.max_idle = MAX_IDLE_CONNECTIONS
        return ServiceShares(
            self.work,
            self.members.count,
            self.pool.idle_count,
            self._connection_cap,
            lambda service: self.call_latency.usual_s(service, DEFAULT_CALL_S),
        )

    def _make_expected_connections(self) -> ExpectedConnections | None:
        if POOL_CONTRACT not in self.settings.contracts:
            return None
        return ExpectedConnections(
            lambda target, expected: self.metrics.count_grant(target.service, expected)
        )

    def _connection_cap(self, service: str) -> int:
        configuration = self._configuration
        found = configuration.services.get(service) if configuration else None
        return found.max_connections if found is not None else 0

    @property
    def ready(self) -> bool:
        """Whether the platform may route new callers here."""
        return (
            not self._terminating
            and self._configuration is not None
            and self.target_watcher.copy.complete
            and self.exchange.joined
        )

    async def run(self) -> None:
        """Serve until SIGTERM, then finish the requests in flight and return.

        Signals are handled to the end: by default they would end the process, and the
        requests in flight with it.
        """
        client_limits.return_freed_memory()
        log.info("starting", zone=self.settings.zone)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._handle_signals, signals)
                tasks.start_soon(self.configuration_watcher.run)
                tasks.start_soon(self.target_watcher.run)
                tasks.start_soon(self._housekeeping)
                tasks.start_soon(self._run_admission)
                tasks.start_soon(self.exchange.run, tasks)
                tasks.start_soon(self._keep_lease)
                tasks.start_soon(self.controller.run, tasks)
                front = await self._listen(self.settings.front)
                status = await self._listen_status()
                await self._term_received.wait()
                await self._close(front)
                for server in status:
                    server.close()
                tasks.cancel_scope.cancel()
            log.info("stopped", open_requests=self.server.open_requests)

    async def _keep_lease(self) -> None:
        loop = asyncio.get_running_loop()
        while not self.exchange.joined:
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
        # The first summary says whether another gateway already holds the lease. The
        # rank falls as members before this one are found to be silent.
        joined_at = loop.time()
        while loop.time() - joined_at < (
            FIRST_SUMMARY_TIMEOUT_S + LEASE_RANK_DELAY_S * self.members.member_rank()
        ):
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
        await self.controller.keep_lease(
            lambda: self.exchange.other_lease_holder_known(loop.time()),
            self.members.member_rank,
        )

    async def _handle_signals(self, signals: AsyncIterator[signal.Signals]) -> None:
        async for number in signals:
            if number == signal.SIGTERM:
                self._term_received.set()
            else:
                self._reload("signal")

    def _reload(self, cause: str) -> None:
        """Apply changed settings where a running process can.

        Changed addresses take effect at the next start, since callers are connected
        to the present ones.
        """
        try:
            loaded = self._load_settings()
        except FlamingopondError as error:
            log.error("reading settings failed", cause=cause, reason=str(error))
            return
        if loaded == self.settings:
            return
        changed = [
            name
            for name, value in attrs.asdict(loaded, recurse=False).items()
            if value != getattr(self.settings, name)
        ]
        self.settings = loaded
        self.forwarder.retry_budget.bounds = loaded.bounds
        self.cold_targets.bounds = loaded.bounds
        log.info("settings reloaded", cause=cause, changed=",".join(changed))

    async def _close(self, front: asyncio.Server) -> None:
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        times = ShutdownTimes(self.settings.bounds.grace_s)
        self._terminating = True
        self.server.start_draining()
        self.exchange.leave()
        await self.controller.resign()
        log.info("terminating", open_requests=self.server.open_requests)
        while (elapsed_s := loop.time() - began_at) < times.end_s:
            await asyncio.sleep(0.05)
            if elapsed_s < times.listen_s:
                continue
            front.close()
            self.admission.close()
            self.admission.refuse_beyond(began_at + times.end_s)
            if elapsed_s >= times.refuse_s:
                self.admission.refuse_new()
            self.server.close_idle()
            if not self.server.connections and not self.exchange.relays.carried:
                break
        if self.server.end_requests():
            await asyncio.sleep(FINAL_ANSWER_S)

    async def _listen(self, address: tuple[str, int]) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        assert self.server.max_connections is not None
        batch = client_limits.accept_batch(
            self._descriptors, self.server.max_connections
        )
        sock = socket.create_server(address, backlog=LISTEN_BACKLOG)
        server = await loop.create_server(
            self.server.create_connection, sock=sock, backlog=batch
        )
        # asyncio also takes the backlog as the number of connections that it accepts
        # at a time.
        sock.listen(LISTEN_BACKLOG)
        return server

    async def _listen_status(self) -> list[asyncio.Server]:
        """Listen for readiness checks and metrics scrapes."""
        ready = StatusServer(
            {self.codec.ready_path: lambda: StatusResponse(self.ready)}
        )
        metrics = StatusServer(
            {METRICS_PATH: lambda: StatusResponse(True, self._metrics_text())}
        )
        servers = [await ready.listen(self.settings.ready)]
        address = (self.settings.ip, self.settings.metrics_port)
        try:
            servers.append(await metrics.listen(address))
        except OSError as error:
            # Callers are served without metrics.
            log.error("metrics listener failed", port=address[1], reason=str(error))
        return servers

    async def _housekeeping(self) -> None:
        loop = asyncio.get_running_loop()
        report = LoopReport(self.metrics, InputScheduler.of(loop))
        while True:
            due_at = loop.time() + HOUSEKEEPING_PERIOD_S
            await asyncio.sleep(HOUSEKEEPING_PERIOD_S)
            self.metrics.count_duty_run("housekeeping")
            now = loop.time()
            report.record(due_at, now)
            self.server.sweep(now)
            self.forwarder.client.pool.sweep(now)
            self._review_targets(now)
            if self.shares is not None:
                self.shares.forget(self.roster.listed())
            self._review_memory()
            self.metrics.set_waiting(self.admission.waiting)
            self.metrics.set_dropped_log_lines(self._dropped_log_lines())
            self.metrics.set_cold_targets(len(self.cold_targets))
            self.metrics.set_evacuated_zones(len(self.evacuated_zones))
            self.metrics.set_limited_targets(sum(1 for _ in self.limits))
            if now - self._settings_read_at > SETTINGS_PERIOD_S:
                self._settings_read_at = now
                self._reload("poll")

    def _metrics_text(self) -> bytes:
        """Return all metrics; those that nothing else needs are taken now."""
        now = asyncio.get_running_loop().time()
        self.metrics.set_processor_seconds(time.process_time())
        self.metrics.set_roles(self.exchange.roles(now))
        self.metrics.set_blocked_targets(self._count_blocked(now))
        self.metrics.set_target_durations(self._reported_durations(now))
        return self.metrics.text()

    def _record_engine_answer(
        self, target: Target, status: int, headers: Sequence[Header]
    ) -> None:
        """Record what the answer to a report call or an order says."""
        now = asyncio.get_running_loop().time()
        head = self.codec.targets.decode_response_head(status, b"", list(headers))
        self.signals.record(target, head, now)

    def _reported_durations(self, now: float) -> dict[str, float]:
        """Return the factors of the targets that report how long work takes there."""
        return {
            target.id: self.signals.loads.duration_factor(target, now)
            for target in self.roster.listed()
            if (figures := self.signals.loads.get(target)) is not None
            and figures.duration is not None
        }

    def _count_blocked(self, now: float) -> dict[str, int]:
        """Return the number of blocked targets of each reason, also those with none."""
        counts = dict.fromkeys((reason.value for reason in BLOCK_REASONS), 0)
        for target in self.roster.listed():
            block = self.scheduler.block(target, now)
            if block is not None:
                counts[block.reason.value] += 1
        return counts

    def _review_memory(self) -> None:
        """End bodies if the process exceeds its memory by what isn't counted."""
        resident = client_limits.resident_bytes()
        excess = client_limits.excess_bytes(
            self.settings.memory_mb, resident, self.settings.clients
        )
        if excess:
            self.memory_budget.shed(excess)
        self.metrics.set_resident_bytes(resident)
        self.metrics.set_kept_bytes(self.memory_budget.used)

    def _review_targets(self, now: float) -> None:
        """Drop targets whose entries have not come back, use those that have."""
        unreliable = self.target_watcher.failed_recently(
            now
        ) or self.store_era.risen_within(RELIABLE_AFTER_S, now)
        if self.target_watcher.copy.complete:
            self.stream_link.review_versions(now)
        for target_id in self.cold_targets.expire(now):
            log.info("target no longer cold", target=target_id)
        self._targets_listed |= self.target_watcher.copy.complete
        ended = self.evacuated_zones.expire(now)
        if ended:
            self._end_evacuations(ended, "no row after a restore", now)
        for target_id in self.roster.expire(now, unreliable):
            log.info("target removed after grace period", target=target_id)
        lapse_s = LAPSE_HEARTBEATS * self.settings.heartbeat_s + RELIABLE_AFTER_S
        if not self.store_era.risen_within(lapse_s, now):
            for target_id in self.roster.release_held_back():
                log.info("departed target is listed again", target=target_id)

    async def _run_admission(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self.admission.wait_for_requests()
            await asyncio.sleep(ADMISSION_PERIOD_S)
            self.metrics.count_duty_run("admission")
            if self.admission.waiting:
                now = loop.time()
                self.admission.assign_all_waiting(now)
                self.admission.refuse_blocked(now)
                self.admission.refuse_unservable(now)
                self.forwarder.refuse_fatal_content(now)
                self.forwarder.end_discontinued()
                self._log_waiting(now)

    def _log_waiting(self, now: float) -> None:
        """Log once a second why the oldest waiting request of each model waits."""
        if now - self._waiting_logged_at < WAITING_LOG_PERIOD_S:
            return
        self._waiting_logged_at = now
        oldest: dict[tuple[str | None, str | None], Ticket] = {}
        for ticket in self.scheduler.waiting:
            oldest.setdefault((ticket.model, ticket.adapter), ticket)
        for ticket in list(oldest.values())[:WAITING_LOG_LINES]:
            if now - ticket.arrived_at < WAITING_LOG_PERIOD_S:
                continue
            log.info(
                "waiting",
                request=ticket.request.id,
                model=ticket.model,
                adapter=ticket.adapter,
                waited_s=round(now - ticket.arrived_at, 2),
                obstacles=self.scheduler.unavailable_targets(ticket, now),
            )

    def _make_watcher(
        self, table: str, on_rows: Callable[[list[Row]], None], pause_s: float
    ) -> StoreWatcher:
        return StoreWatcher(
            self.codec.store,
            table,
            on_rows,
            self.metrics,
            self.store_era,
            self.store_clock,
            lambda: self.exchange.should_watch(),
            pause_s,
            watch_wait_s(self.settings.bounds),
        )

    def _limits(self) -> RequestLimits:
        if self._configuration is None:
            return RequestLimits()
        return self._configuration.limits

    def _is_known(self, url: bytes, headers: list[Header]) -> bool:
        """Whether a request has a known key, or may have one, or needs none."""
        configuration = self._configuration
        if configuration is None or self.exchange.configuration_outdated:
            return True
        try:
            request = self.codec.decode_request(b"POST", url, headers, 0.0)
        except ValueError:
            return False
        if configuration.workspace(request.key) is not None:
            return True
        route = configuration.route(request.host, request.path)
        return route is not None and route.public

    def _apply_operator_rows(self, rows: list[Row]) -> None:
        """Apply changed rows of the operator: evacuations and the configuration."""
        if PLACES_CONTRACT in self.settings.contracts:
            self._apply_evacuations(rows)
        self._apply_configuration(rows)

    def _apply_evacuations(self, rows: list[Row]) -> None:
        now = asyncio.get_running_loop().time()
        changed = [
            EvacuationRow(zone, row.version, row.removed)
            for row in rows
            if (zone := self.codec.evacuated_zone(row)) is not None
        ]
        if not changed:
            return
        restored_version = self.configuration_watcher.copy.restored_version
        change = self.evacuated_zones.apply(changed, now, restored_version)
        for zone in change.begun:
            log.info("zone evacuated", zone=zone)
        for zone in change.held:
            log.warning("evacuation held without its row", zone=zone)
        self._end_evacuations(change.ended, "row removed", now)
        self.exchange.announce_configuration()

    def _end_evacuations(self, zones: list[str], cause: str, now: float) -> None:
        for zone in zones:
            cold = self.cold_targets.begin_after_evacuation(
                (one for one in self.roster.listed() if one.zone == zone), now
            )
            log.info("evacuation ended", zone=zone, cause=cause, cold_targets=len(cold))
        self.admission.assign_all_waiting(now)

    def _apply_configuration(self, rows: list[Row]) -> None:
        try:
            decoded = self.codec.decode_configuration(rows)
        except ValueError as error:
            log.error("invalid configuration", error=str(error))
            return
        current = self._configuration
        if decoded is None or (
            current is not None and decoded.version <= current.version
        ):
            return
        self._configuration = decoded
        log.info("configuration", version=decoded.version, routes=len(decoded.routes))
        self.exchange.announce_configuration()

    async def _confirm_targets(self, now: float) -> None:
        """Read the targets unless the others have confirmed the copy just now.

        Raises PlatformError if the store does not answer.
        """
        if not self.exchange.table_current(self.codec.targets_table, now):
            await self._target_reads.get(now)

    async def _read_targets(self) -> bool:
        await self.target_watcher.read_now(cause="out of contact")
        return True

    def _apply_targets(self, rows: list[Row]) -> None:
        now = asyncio.get_running_loop().time()
        entries = []
        for row in rows:
            entry, reason = self.codec.decode_entry(row)
            entries.append(entry)
            if reason is None:
                self._entry_faults.pop(row.key, None)
            elif self._entry_faults.get(row.key) != reason:
                self._entry_faults[row.key] = reason
                log.warning("invalid target entry", target=row.key, reason=reason)
        version = self.target_watcher.copy.version
        for target_id in self.roster.apply(
            entries,
            version,
            now,
            self.exchange.store_unreliable(now),
            self.target_watcher.copy.restored_version,
        ):
            target = self.roster.get(target_id)
            if target is not None:
                self._observe_cold(target, now)
            state = target.state.value if target is not None else "gone"
            if self.roster.removal_unconfirmed(target_id):
                state = "lapsing"
            log.info(
                "target",
                target=target_id,
                state=state,
                models=",".join(target.holdings) if target is not None else "",
            )
        self._targets_listed = True
        self.stream_link.review_versions(now)
        self.admission.assign_all_waiting(now)

    def _observe_cold(self, target: Target, now: float) -> None:
        period = self.cold_targets.observe(target, self._targets_listed, now)
        if period is not None:
            log.info(
                "target cold",
                target=target.id,
                start_id=target.start_id,
                source=period.source,
                left_s=round(period.until - now, 2),
            )
