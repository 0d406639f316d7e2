"""Exchange of load reports, summaries and holdings between gateways.

Each gateway reports to two hubs and to the holder of the placement lease; the
hubs send the gateways that report to them a summary with fleet-wide totals. The lease
holder sends holdings: the models and adapters loaded on each engine. The number of
messages that an ordinary gateway sends does not depend on the fleet size.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping

import anyio.abc
import structlog
from attrs import define, field

from ..clock import boot_time
from ..configuration import Configuration
from ..demand import RateTracker
from ..dispatch.admission import Admission
from ..dispatch.cold_grants import ColdTerm
from ..dispatch.crash_guard import CrashGuard
from ..dispatch.dispatch import Dispatcher
from ..dispatch.loads import InFlightTable, WorkTable, decode_work, encode_work
from ..dispatch.quota import QuotaTracker
from ..dispatch.scheduler import Scheduler
from ..dispatch.tickets import Ticket
from ..messages import (
    BegunStreams,
    CrashReport,
    Datagram,
    DispatchReply,
    DispatchRequest,
    GatewayReport,
    Holdings,
    PublishedLimit,
    StreamsBegun,
    StreamsFound,
    StreamsSought,
    StreamsStored,
    Summary,
)
from ..metrics import Metrics
from ..placement.controller import PlacementController
from ..settings import Address, GatewaySettings
from ..store.storage import Store
from ..store.watch import RELIABLE_AFTER_S, EraTracker, StoreHealth, StoreWatcher
from ..targets.cold import ColdTargets
from ..targets.health import HealthTracker
from ..targets.holdings import HoldingsCache, split_holdings
from ..targets.roster import Roster
from ..targets.target_limits import TargetLimits
from ..targets.target_load import TargetLoads
from .contact import FleetContact
from .crashlink import CrashLink
from .dispatchlink import DispatchLink
from .distribution import UploadBudget
from .hub import Hub
from .members import Members
from .peers import PeerLink
from .pulls import PullServer
from .registration import Registrar
from .relay import RelayConnector, RelayServer
from .streamlink import StreamLink
from .summaries import SummaryFollower
from .table_sync import TableSync

# Period of reports and summaries in a small fleet. An engine gets a request about
# every 0.1 s; with older reports several gateways would choose the same engine.
MIN_PERIOD_S = 0.06
# Reports per second that a hub handles; large fleets report less often to keep to it.
HUB_REPORTS_PER_S = 200
# Longest period: three reports within SILENCE_TIMEOUT_S, after which a gateway counts
# as silent.
MAX_PERIOD_S = 0.4
# Minimum time between reports that are sent early because of new demand.
EARLY_REPORT_INTERVAL_S = 0.03
# Delay before a new configuration is announced; several may come in a row.
CONFIGURATION_DELAY_S = 0.03
# Contact with the fleet at most this old shows that a table is current. Summaries
# arrive in each period.
CURRENT_S = MAX_PERIOD_S + 0.1
# Gateways that watch the store; the others get table rows from their peers.
MAX_WATCHERS = 3
# Gateways that try to watch the store when fewer than two succeed.
FALLBACK_WATCHERS = 6
# In fleets up to this size, a change of holdings is sent to all gateways at once. In
# larger fleets it is sent at once only to gateways with requests waiting for one of the
# changed engine's models; the others get it with the next periodic message.
SMALL_FLEET_GATEWAYS = 16
# Reports that a new gateway sends to all members, and the time between them.
ANNOUNCEMENTS = 3
ANNOUNCEMENT_INTERVAL_S = 0.4
# In larger fleets, gateways that learn of a version at the same time spread their first
# pulls over this time for each gateway of the fleet.
PULL_SPREAD_S = 0.0002
# Reports mention a failed call to the store for this long.
STORE_FAILURE_REPORTED_S = 60.0

log = structlog.get_logger()


@define(eq=False)
class PeerExchange:
    """Sends and handles the datagrams of one gateway, and pulls rows from peers."""

    settings: GatewaySettings
    store: Store
    store_era: EraTracker
    members: Members
    watchers: Mapping[str, StoreWatcher]
    work: WorkTable
    in_flight: InFlightTable
    demand_rates: RateTracker
    quota: QuotaTracker
    scheduler: Scheduler[Ticket]
    admission: Admission
    dispatcher: Dispatcher
    health: HealthTracker
    roster: Roster
    holdings: HoldingsCache
    controller: PlacementController
    configuration: Callable[[], Configuration | None]
    configuration_table: str
    crash_guard: CrashGuard
    limits: TargetLimits
    loads: TargetLoads
    stream_link: StreamLink
    metrics: Metrics
    cold_targets: ColdTargets
    connector: RelayConnector
    cold_term: ColdTerm = field(init=False)
    link: PeerLink = field(init=False)
    relays: RelayServer = field(init=False)
    hub: Hub = field(init=False)
    dispatch_link: DispatchLink = field(init=False)
    crash_link: CrashLink = field(init=False)
    _registrar: Registrar = field(init=False)
    _last_number: int = 0
    _leaving: bool = False
    _targets_with_stale_holdings: set[str] = field(factory=set)
    _table_sync: TableSync = field(init=False)
    _early_report_due: asyncio.Event = field(factory=asyncio.Event)
    _configuration_changed: asyncio.Event = field(factory=asyncio.Event)
    _summaries: SummaryFollower = field(init=False)
    _contact: FleetContact = field(factory=FleetContact)
    _last_report: GatewayReport | None = None
    _reported_demand: set[tuple[str, str, str]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Create the peer link, the hub and the dispatch link."""
        copies = {table: watcher.copy for table, watcher in self.watchers.items()}
        self.relays = RelayServer(
            self.members,
            self.roster,
            self.connector,
            self.metrics,
            lambda: self._leaving,
        )
        self.link = PeerLink(
            (self.settings.ip, self.settings.peer_port),
            self._handle_message,
            PullServer(
                copies,
                self.metrics,
                UploadBudget(self.settings.link_mbps),
                self.relays.serve,
            ),
            self.metrics,
        )
        self._table_sync = TableSync(
            self.settings, self.members, self.watchers, self.metrics
        )
        self.cold_term = ColdTerm(self.settings.node)
        self.hub = Hub(self.settings.node, self.members, self.limits, self.loads)
        self._summaries = SummaryFollower(self.members)
        self.dispatch_link = DispatchLink(
            settings=self.settings,
            admission=self.admission,
            dispatcher=self.dispatcher,
            members=self.members,
            work=self.work,
            send=self.link.send,
            dispatcher_node=self._followed_hub,
            next_number=self._next_number,
            metrics=self.metrics,
        )
        self.crash_link = CrashLink(
            settings=self.settings,
            store=self.store,
            guard=self.crash_guard,
            members=self.members,
            contact=self._contact,
            subscribers=lambda now: [a for _, a in self.hub.subscribers(now)],
            send=self.link.send,
        )
        self.stream_link.send = self.link.send
        self._registrar = Registrar(
            self.settings,
            self.store,
            self.store_era,
            self.members,
            self.hub,
            self.crash_link,
            self.stream_link.restore_history,
        )
        self.admission.use_dispatcher(
            self.dispatch_link.answering, self.dispatch_link.note_change
        )

    @property
    def joined(self) -> bool:
        """Whether this gateway is registered and has read the list of members."""
        return self._registrar.version > 0

    def other_lease_holder_known(self, now: float) -> bool:
        """Whether a fresh summary names another gateway as the lease holder."""
        summary = self._summaries.fresh(now)
        return summary is not None and summary.lease_holder not in (
            "",
            self.settings.node,
        )

    @property
    def configuration_outdated(self) -> bool:
        """Whether another gateway has a newer configuration than this one."""
        return self._table_sync.outdated(self.configuration_table)

    def should_watch(self) -> bool:
        """Whether this gateway is one of the few that watch the store."""
        now = asyncio.get_running_loop().time()
        summary = self._summaries.fresh(now)
        if summary is None or summary.watchers == 0:
            return True
        member_rank = self.members.member_rank()
        if member_rank < MAX_WATCHERS:
            return True
        return summary.watchers < 2 and member_rank < FALLBACK_WATCHERS

    def roles(self, now: float) -> dict[str, bool]:
        """Return whether this gateway has each of the roles in the fleet."""
        return {
            "hub": self.settings.node in self.members.hubs(now),
            "lease_holder": bool(self.controller.fence),
            "watcher": self.should_watch(),
            "dispatcher": self._followed_hub(now) == self.settings.node,
        }

    def in_contact(self, now: float) -> bool:
        """Whether a hub that hears most of the fleet was heard within ``CURRENT_S``."""
        return self._contact.heard_within(CURRENT_S, now)

    def table_current(self, table: str, now: float) -> bool:
        """Whether nobody in most of the fleet has newer rows of a table.

        The others have said so within ``CURRENT_S``.
        """
        return self.in_contact(now) and not self._table_sync.outdated(table)

    def store_unreliable(self, now: float) -> bool:
        """Whether the store may have dropped the entries of live targets."""
        if self.store_era.risen_within(RELIABLE_AFTER_S, now):
            return True
        summary = self._summaries.fresh(now)
        if summary is not None and summary.store_reliable:
            return False
        return not self._store_health(now).reliable

    def note_stale_holdings(self, target_id: str) -> None:
        """Note that a target lacks a model or adapter that it was listed with."""
        self._targets_with_stale_holdings.add(target_id)
        self._early_report_due.set()

    def report_new_demand(self) -> None:
        """Report to the lease holder early if there is new demand.

        Demand is new if requests wait for a model or adapter that the last report did
        not list.
        """
        now = asyncio.get_running_loop().time()
        demands = self.scheduler.waiting_demand(now)
        current = {(demand.service, demand.model, demand.adapter) for demand in demands}
        if current - self._reported_demand:
            self._reported_demand = current
            self._early_report_due.set()

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Register, then send reports and summaries until cancelled."""
        self._table_sync.start(tasks)
        server = await self.link.open()
        try:
            await self._registrar.register()
            tasks.start_soon(self._registrar.run)
            tasks.start_soon(self._announce)
            tasks.start_soon(self._send_early_reports)
            tasks.start_soon(self.dispatch_link.run)
            tasks.start_soon(self.dispatch_link.assign_periodically)
            tasks.start_soon(self.crash_link.run)
            tasks.start_soon(self.stream_link.run)
            while True:
                self._run_period()
                await self._wait_for_period()
        finally:
            server.close()
            self.link.close()

    def announce_configuration(self) -> None:
        """Announce a new configuration early if this is a watcher or a hub."""
        now = asyncio.get_running_loop().time()
        if self.should_watch() or self.settings.node in self.members.hubs(now):
            self._configuration_changed.set()

    def leave(self) -> None:
        """Tell the hubs and the lease holder that this gateway is shutting down.

        The gateways for which it carries connections are told, too.
        """
        self._leaving = True
        self.relays.leave()
        if self.joined:
            self._report_to_hubs()

    def send_holdings(self, holdings: Holdings, everyone: bool) -> None:
        """Send holdings of engines to all gateways that report to this one.

        Unless ``everyone`` is set, large fleets send it only to the gateways with
        requests waiting for one of the models.
        """
        self._handle_holdings(holdings)
        reporters = dict(self.hub.subscribers(asyncio.get_running_loop().time()))
        if not everyone and len(reporters) > SMALL_FLEET_GATEWAYS:
            now = asyncio.get_running_loop().time()
            models = {name for held in holdings.engines for name in held.models}
            waiting = self.controller.demand.gateways_waiting_for(models, now)
            reporters = {n: a for n, a in reporters.items() if n in waiting}
        for message in split_holdings(holdings):
            self.link.send(message, reporters.values())

    # Registration

    async def _announce(self) -> None:
        """Announce this gateway to the members that registered before it.

        They have not read its row. The report is repeated because it may be lost.
        """
        for _ in range(ANNOUNCEMENTS):
            now = asyncio.get_running_loop().time()
            self._send_report(
                self._make_report(now), {member.node for member in self.members}, now
            )
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    # Sending

    def _period_s(self) -> float:
        period_s = self.members.count() / HUB_REPORTS_PER_S
        return min(max(period_s, MIN_PERIOD_S), MAX_PERIOD_S)

    async def _wait_for_period(self) -> None:
        """Wait until the next period, or until there is a new configuration."""
        try:
            async with asyncio.timeout(self._period_s()):
                await self._configuration_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(CONFIGURATION_DELAY_S)
        self._configuration_changed.clear()

    def _run_period(self) -> None:
        self.metrics.count_duty_run("report")
        now = asyncio.get_running_loop().time()
        for node in self.members.expire(now):
            log.info("member timed out", peer=node)
            self.hub.remove(node)
        self.work.expire(now)
        summary = self._summaries.fresh(now)
        reporting_count = summary.reporting_count if summary is not None else 1
        self.quota.set_reachable(reporting_count, self.members.count())
        self._report_to_hubs()
        self._send_summary(now)
        self.crash_link.run_period(self._period_s(), now)
        for watcher in self.watchers.values():
            watcher.wake()

    def _report_to_hubs(self) -> None:
        """Report to the hubs and to the lease holder."""
        now = asyncio.get_running_loop().time()
        report = self._make_report(now, self.stream_link.next_report(now))
        self._last_report = report
        self.cold_term.note_report(report, boot_time())
        self.stream_link.collect(report.begun, now)
        self.hub.add_report(report, (self.settings.ip, 0), now)
        self.dispatch_link.handle_report(report, now)
        nodes = {*self.members.report_receivers(now), self._lease_holder(now)}
        self._send_report(report, nodes, now)

    def _send_report(self, report: GatewayReport, nodes: set[str], now: float) -> None:
        if self.controller.fence:
            self.controller.handle_report(report, now)
        addresses = [self.members.address(node) for node in nodes]
        self.link.send(report, [address for address in addresses if address])

    def _make_report(
        self, now: float, begun: Iterable[BegunStreams] = ()
    ) -> GatewayReport:
        self._last_number += 1
        store_health = self._store_health(now)
        demands = self.scheduler.waiting_demand(now)
        self._reported_demand = {
            (demand.service, demand.model, demand.adapter) for demand in demands
        }
        targets_with_stale_holdings = sorted(self._targets_with_stale_holdings)
        self._targets_with_stale_holdings.clear()
        return GatewayReport(
            node=self.settings.node,
            registration_version=self._registrar.version,
            number=self._last_number,
            port=self.settings.peer_port,
            capacity=int(self.settings.link_mbps),
            leaving=self._leaving,
            watching=store_health.watching,
            store_failure_age_ms=int(1000 * store_health.failure_age_s),
            versions={t: w.copy.content_version for t, w in self.watchers.items()},
            fence=self.controller.fence,
            work=encode_work(self.work.own),
            admitted={name: int(total) for name, total in self.quota.admitted.items()},
            waiting_demand=demands,
            demand_rates=self.demand_rates.rates(now),
            in_flight=self.in_flight.counts(),
            targets_with_stale_holdings=targets_with_stale_holdings,
            limits=self.limits.reported(now),
            dispatcher=self._followed_hub(now),
            begun=list(begun),
            durations=self.loads.reported(now),
        )

    def _store_health(self, now: float) -> StoreHealth:
        watchers = self.watchers.values()
        # A store that is back from an older copy lacks entries, as after an outage.
        failure_age_s = now - max(
            self.store_era.risen_at, *(watcher.failed_at for watcher in watchers)
        )
        if failure_age_s > STORE_FAILURE_REPORTED_S:
            failure_age_s = -1.0  # no recent failure
        return StoreHealth(all(w.watching(now) for w in watchers), failure_age_s)

    def _send_summary(self, now: float) -> None:
        """Send a summary to the gateways that report here, if this is a hub."""
        if self.settings.node not in self.members.hubs(now):
            # Gateways that still report here get no summary and so change to a hub that
            # receives the reports of all gateways.
            return
        subscribers = self.hub.subscribers(now)
        self._last_number += 1
        summary = self.hub.summary(
            self._registrar.version,
            self._last_number,
            now,
            self.stream_link.shared_versions(now),
        )
        self._handle_summary(summary, now)
        if subscribers:
            # In turn, as a full link loses what is sent last.
            first = self._last_number % len(subscribers)
            addresses = [address for _, address in subscribers]
            self.link.send_paced(
                summary,
                addresses[first:] + addresses[:first],
                self.settings.link_mbps,
                self._period_s(),
            )

    async def _send_early_reports(self) -> None:
        """Report early to the lease holder when there is new demand."""
        loop = asyncio.get_running_loop()
        while True:
            await self._early_report_due.wait()
            # One report covers requests that arrive together.
            await asyncio.sleep(EARLY_REPORT_INTERVAL_S / 6)
            self._early_report_due.clear()
            now = loop.time()
            report = self._make_report(now)
            self._send_report(report, {self._lease_holder(now)}, now)
            await asyncio.sleep(EARLY_REPORT_INTERVAL_S)

    def _next_number(self) -> tuple[int, int]:
        """Return this gateway's registration version and its next message number."""
        self._last_number += 1
        return self._registrar.version, self._last_number

    def _followed_hub(self, now: float) -> str:
        summary = self._summaries.fresh(now)
        return summary.node if summary is not None else ""

    def _lease_holder(self, now: float) -> str:
        summary = self._summaries.fresh(now)
        return summary.lease_holder if summary is not None else ""

    # Receiving

    def _handle_message(self, message: Datagram, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, GatewayReport):
            if self.hub.add_report(message, address, now):
                self._merge_limits(message.limits, now)
                self.cold_term.note_report(message, boot_time())
                self.loads.merge(message.durations, now)
                self.stream_link.collect(message.begun, now)
                self.dispatch_link.handle_report(message, now)
                self._pull_configuration(message, now)
                if self.controller.fence:
                    self.controller.handle_report(message, now)
        elif isinstance(message, Summary):
            self._handle_summary(message, now)
        elif isinstance(message, DispatchRequest):
            self.dispatch_link.handle_dispatch_request(message, address, now)
        elif isinstance(message, DispatchReply):
            self.dispatch_link.handle_dispatch_reply(message, now)
        elif isinstance(message, StreamsBegun):
            self.stream_link.handle_begun(message, address, now)
        elif isinstance(message, StreamsStored):
            self.stream_link.handle_stored(message)
        elif isinstance(message, StreamsSought):
            self.stream_link.search.handle_sought(message, address)
        elif isinstance(message, StreamsFound):
            self.stream_link.search.handle_found(message)
        elif isinstance(message, CrashReport):
            self.crash_link.handle_report(message, now)
        else:
            self._handle_holdings(message)

    def _merge_limits(self, limits: list[PublishedLimit], now: float) -> None:
        for target_id in self.limits.merge(limits, now):
            limit = self.limits.get(target_id)
            if limit is not None:
                log.info(
                    "target limit",
                    target=target_id,
                    start_id=limit.start_id,
                    limit=limit.rate,
                    source=limit.source,
                    age_s=round(now - limit.heard_at, 3),
                )

    def _handle_summary(self, summary: Summary, now: float) -> None:
        """Apply a summary if it is from the hub that this gateway follows."""
        self._merge_limits(summary.limits, now)
        if summary.work or any(summary.admitted.values()):
            self.cold_targets.note_traffic()
        self.loads.adopt(summary.durations, now)
        self.stream_link.note_versions(summary.software)
        followed = self._followed_hub(now)
        if not self._summaries.offer(summary, self._period_s(), now):
            return
        if summary.node != followed:
            log.info(
                "hub followed",
                hub=summary.node,
                before=followed,
                reporting=summary.reporting_count,
                members=self.members.count(),
            )
        if 2 * summary.reporting_count > self.members.count():
            self._contact.record(now)
        last_report = self._last_report
        configuration = self.configuration()
        if last_report is not None and configuration is not None:
            self.work.update_peers(
                decode_work(summary.work), decode_work(last_report.work), now
            )
            self.quota.apply_fleet_totals(
                f"{summary.node}#{summary.registration_version}",
                summary.admitted,
                last_report.admitted,
                configuration.workspaces,
                now,
            )
        for table, (version, node) in summary.versions.items():
            watcher = self.watchers.get(table)
            if watcher is not None and version > watcher.copy.content_version:
                spread_s = PULL_SPREAD_S * self.members.count()
                holders = [summary.node, node]
                self._table_sync.want(table, version, holders, now, spread_s)

    def _pull_configuration(self, report: GatewayReport, now: float) -> None:
        """Pull a newer configuration from a gateway that reports to this hub.

        The hub's summaries name the newest version that any gateway has reported.
        If the hub lacked that version, gateways that follow it would pull from it
        without success and have to wait for the next summary.
        """
        version = report.versions.get(self.configuration_table, 0)
        watcher = self.watchers[self.configuration_table]
        if version > watcher.copy.content_version:
            self._table_sync.want(self.configuration_table, version, [report.node], now)

    def _handle_holdings(self, holdings: Holdings) -> None:
        now = asyncio.get_running_loop().time()
        if self.holdings.update(holdings, now):
            self.admission.assign_all_waiting(now)
