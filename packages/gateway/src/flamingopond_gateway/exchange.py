"""What gateways tell each other, and what follows from hearing it.

Each gateway reports to two hubs and to the holder of the placement lease; the
hubs answer their reporters with sums. The messages of a gateway that is not a hub
do not grow in number with the fleet.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

import anyio.abc
import msgspec
import structlog
from attrs import define, field

from flamingopond_core.exceptions import PlatformError

from .admission import Admission
from .configuration import Configuration
from .controller import PlacementController
from .demand import RateBook
from .dispatch import Dispatcher
from .dispatchlink import DispatchLink
from .health import HealthBook
from .holdings import HoldingsBook
from .hub import Hub
from .loads import UseTable, WorkTable, tell, told
from .members import Member, Members, Registration
from .messages import (
    Ask,
    Datagram,
    Grant,
    Holdings,
    Report,
    Summary,
)
from .peers import PeerLink
from .quota import QuotaLedger
from .roster import Roster
from .scheduler import Scheduler
from .settings import Address, GatewaySettings
from .storage import Change, Row, Store
from .summaries import Following
from .tickets import Ticket
from .watch import StoreAccount, StoreWatcher

MEMBERS_TABLE = "flamingopond-members"
# Period of reports and summaries in a small fleet: an engine is sent a request
# every 0.1 s, so that older figures would let several gateways choose alike.
MIN_PERIOD_S = 0.06
# Reports that a hub takes in a second, which lengthens the period of large fleets.
HUB_REPORTS_PER_S = 200
# Longest period: three reports within the time after which a gateway is silent.
MAX_PERIOD_S = 0.4
# A need for a model or adapter that is new is told at once, but no more often.
WANT_PAUSE_S = 0.03
# Pause between messages on new configurations; several may come in a row.
NEWS_PAUSE_S = 0.03
# Gateways that watch the store at a time; the others hear from them.
WATCHERS = 3
# With fewer than two watchers left, these many try.
SPARE_WATCHERS = 6
# Fleets up to this size are told of all holdings at once; larger ones only where
# requests wait for them, and all others with the next summary of holdings.
SMALL_FLEET = 16
REGISTER_TIMEOUT_S = 1.0
REGISTER_PAUSE_S = 0.3
# Reports with which a new gateway makes itself known, and the pause between them.
GREETINGS = 3
GREETING_PAUSE_S = 0.4
# Failed calls to the store are told to peers for this long.
FORGET_TROUBLE_S = 60.0

log = structlog.get_logger()


@define(eq=False)
class Exchange:
    """Reports, summaries and holdings of one gateway."""

    settings: GatewaySettings
    store: Store
    members: Members
    watchers: Mapping[str, StoreWatcher]
    work: WorkTable
    uses: UseTable
    rates: RateBook
    quota: QuotaLedger
    scheduler: Scheduler[Ticket]
    admission: Admission
    dispatcher: Dispatcher
    health: HealthBook
    roster: Roster
    holdings: HoldingsBook
    controller: PlacementController
    configuration: Callable[[], Configuration | None]
    configuration_table: str
    link: PeerLink = field(init=False)
    hub: Hub = field(init=False)
    dispatch: DispatchLink = field(init=False)
    _boot: int = 0
    _number: int = 0
    _leaving: bool = False
    _misplaced: set[str] = field(factory=set)
    _pulling: set[str] = field(factory=set)
    _tasks: anyio.abc.TaskGroup | None = None
    _want_now: asyncio.Event = field(factory=asyncio.Event)
    _news: asyncio.Event = field(factory=asyncio.Event)
    _following: Following = field(init=False)
    _reported: Report | None = None
    _told_needs: set[tuple[str, str, str]] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Make the link to the peers and the hub."""
        self.link = PeerLink(
            (self.settings.ip, self.settings.peer_port),
            {table: watcher.copy for table, watcher in self.watchers.items()},
            self._hear,
        )
        self.hub = Hub(self.settings.node, self.members)
        self._following = Following(self.members)
        self.dispatch = DispatchLink(
            settings=self.settings,
            admission=self.admission,
            dispatcher=self.dispatcher,
            members=self.members,
            work=self.work,
            health=self.health,
            roster=self.roster,
            send=self.link.send,
            dispatcher_node=self._hub_followed,
            next_order=self._next_order,
        )
        self.admission.use_dispatcher(
            self.dispatch.answering, self.dispatch.note_change
        )

    @property
    def joined(self) -> bool:
        """Whether this gateway is registered and knows the others."""
        return self._boot > 0

    def holder_heard(self, now: float) -> bool:
        """Whether another gateway is known to hold the placement lease."""
        summary = self._following.fresh(now)
        return summary is not None and summary.holder not in ("", self.settings.node)

    def on_duty(self) -> bool:
        """Whether this gateway is one of those that watch the store."""
        now = asyncio.get_running_loop().time()
        summary = self._following.fresh(now)
        if summary is None or summary.watchers == 0:
            return True
        rank = self.members.rank()
        if rank < WATCHERS:
            return True
        return summary.watchers < 2 and rank < SPARE_WATCHERS

    def store_doubtful(self, now: float) -> bool:
        """Whether the store may have dropped the entries of living targets."""
        summary = self._following.fresh(now)
        if summary is not None and summary.sound:
            return False
        return not self._own_account(now).sound

    def note_misplaced(self, target_id: str) -> None:
        """Note that a target lacks what it was thought to hold."""
        self._misplaced.add(target_id)
        self._want_now.set()

    def want(self) -> None:
        """Tell the lease holder soon what waits here, if that is new."""
        now = asyncio.get_running_loop().time()
        needs = self.scheduler.needs(now)
        places = {(need.service, need.model, need.adapter) for need in needs}
        if places - self._told_needs:
            self._told_needs = places
            self._want_now.set()

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Register, then report until cancelled."""
        self._tasks = tasks
        server = await self.link.open()
        try:
            await self._register()
            tasks.start_soon(self._greet)
            tasks.start_soon(self._send_wants)
            tasks.start_soon(self.dispatch.run)
            tasks.start_soon(self.dispatch.review)
            while True:
                self._step()
                await self._pause()
        finally:
            server.close()
            self.link.close()

    def note_configuration(self) -> None:
        """Pass a new configuration on at once, if this gateway is to tell it."""
        now = asyncio.get_running_loop().time()
        if self.on_duty() or self.settings.node in self.members.hubs(now):
            self._news.set()

    def leave(self) -> None:
        """Tell the others that this gateway ends."""
        self._leaving = True
        if self.joined:
            self._report()

    def tell_holdings(self, holdings: Holdings, everyone: bool) -> None:
        """Tell what engines hold: all gateways, or those that wait for it."""
        self._hear_holdings(holdings)
        reporters = dict(self.hub.subscribers(asyncio.get_running_loop().time()))
        if not everyone and len(reporters) > SMALL_FLEET:
            now = asyncio.get_running_loop().time()
            models = {name for held in holdings.engines for name in held.models}
            waiting = self.controller.demand.awaiting(models, now)
            reporters = {n: a for n, a in reporters.items() if n in waiting}
        self.link.send(holdings, reporters.values())

    # Registration

    async def _register(self) -> None:
        loop = asyncio.get_running_loop()
        row = Registration(
            self.settings.ip, self.settings.peer_port, int(self.settings.link_mbps)
        )
        change = Change(MEMBERS_TABLE, "", self.settings.node, msgspec.json.encode(row))
        while not self.joined:
            try:
                boot = await self.store.write([change], REGISTER_TIMEOUT_S)
                listed = await self.store.read(MEMBERS_TABLE, REGISTER_TIMEOUT_S)
            except PlatformError as error:
                log.info("not registered yet", reason=str(error))
                await asyncio.sleep(REGISTER_PAUSE_S)
                continue
            for found in listed.rows:
                self._enroll(found)
            self._boot = boot
            log.info(
                "registered", boot=boot, members=self.members.count(), at_s=loop.time()
            )

    async def _greet(self) -> None:
        """Make this gateway known to those that registered before it.

        They have not read its row; the greeting is repeated as it may be lost.
        """
        for _ in range(GREETINGS):
            now = asyncio.get_running_loop().time()
            self._send_report(
                self._make_report(now), {member.node for member in self.members}, now
            )
            await asyncio.sleep(GREETING_PAUSE_S)

    def _enroll(self, row: Row) -> None:
        try:
            found = msgspec.json.decode(row.value, type=Registration)
        except msgspec.MsgspecError as error:
            log.warning("registration unreadable", node=row.key, reason=str(error))
            return
        address = (found.ip, found.port)
        self.members.enroll(row.key, address, row.version, found.capacity)

    # Sending

    def _period_s(self) -> float:
        period_s = self.members.count() / HUB_REPORTS_PER_S
        return min(max(period_s, MIN_PERIOD_S), MAX_PERIOD_S)

    async def _pause(self) -> None:
        """Wait for a period, or for a new configuration."""
        try:
            async with asyncio.timeout(self._period_s()):
                await self._news.wait()
        except TimeoutError:
            return
        await asyncio.sleep(NEWS_PAUSE_S)
        self._news.clear()

    def _step(self) -> None:
        now = asyncio.get_running_loop().time()
        for node in self.members.expire(now):
            log.info("member gone", peer=node)
            self.hub.forget(node)
        self.work.expire(now)
        summary = self._following.fresh(now)
        heard = summary.heard if summary is not None else 1
        self.quota.set_reach(heard, self.members.count())
        self._report()
        self._summarize(now)
        for watcher in self.watchers.values():
            watcher.wake()

    def _report(self) -> None:
        """Report to the hubs and to the holder of the lease."""
        now = asyncio.get_running_loop().time()
        report = self._make_report(now)
        self._reported = report
        self.hub.hear(report, (self.settings.ip, 0), now)
        self.dispatch.hear_report(report, now)
        nodes = set(self.members.hubs(now)) | {self._holder(now)}
        self._send_report(report, nodes, now)

    def _send_report(self, report: Report, nodes: set[str], now: float) -> None:
        if self.controller.fence:
            self.controller.hear(report, now)
        found = [self.members.get(node) for node in nodes]
        self.link.send(report, [member.address for member in found if member])

    def _make_report(self, now: float) -> Report:
        self._number += 1
        account = self._own_account(now)
        needs = self.scheduler.needs(now)
        self._told_needs = {(need.service, need.model, need.adapter) for need in needs}
        misplaced = sorted(self._misplaced)
        self._misplaced.clear()
        return Report(
            node=self.settings.node,
            boot=self._boot,
            number=self._number,
            port=self.settings.peer_port,
            capacity=int(self.settings.link_mbps),
            leaving=self._leaving,
            watching=account.watching,
            trouble_ms=int(1000 * account.trouble_age_s),
            versions={t: w.copy.content_version for t, w in self.watchers.items()},
            fence=self.controller.fence,
            work=tell(self.work.own),
            admitted={name: int(sum_) for name, sum_ in self.quota.admitted.items()},
            needs=needs,
            rates=self.rates.rates(now),
            uses=self.uses.told(),
            misplaced=misplaced,
        )

    def _own_account(self, now: float) -> StoreAccount:
        watchers = self.watchers.values()
        age_s = now - max(watcher.trouble_at for watcher in watchers)
        if age_s > FORGET_TROUBLE_S:
            age_s = -1.0
        return StoreAccount(all(w.watching(now) for w in watchers), age_s)

    def _summarize(self, now: float) -> None:
        """Answer those that report here."""
        if self.settings.node not in self.members.hubs(now):
            # Whoever asks for these sums is to find the gateways that hear all.
            return
        subscribers = self.hub.subscribers(now)
        self._number += 1
        summary = self.hub.summary(self._boot, self._number, now)
        self._follow(summary, now)
        if subscribers:
            self.link.send(summary, [address for _, address in subscribers])

    async def _send_wants(self) -> None:
        """Tell the lease holder at once what waits here for the first time."""
        loop = asyncio.get_running_loop()
        while True:
            await self._want_now.wait()
            # Collects what arrives at the same moment.
            await asyncio.sleep(WANT_PAUSE_S / 6)
            self._want_now.clear()
            now = loop.time()
            report = self._make_report(now)
            self._send_report(report, {self._holder(now)}, now)
            await asyncio.sleep(WANT_PAUSE_S)

    def _next_order(self) -> tuple[int, int]:
        """Return the start of this gateway and the number of its next message."""
        self._number += 1
        return self._boot, self._number

    def _hub_followed(self, now: float) -> str:
        summary = self._following.fresh(now)
        return summary.node if summary is not None else ""

    def _holder(self, now: float) -> str:
        summary = self._following.fresh(now)
        return summary.holder if summary is not None else ""

    # Hearing

    def _hear(self, message: Datagram, address: Address) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(message, Report):
            if self.hub.hear(message, address, now):
                self.dispatch.hear_report(message, now)
                self._fetch(message)
                if self.controller.fence:
                    self.controller.hear(message, now)
        elif isinstance(message, Summary):
            self._follow(message, now)
        elif isinstance(message, Ask):
            self.dispatch.hear_ask(message, address, now)
        elif isinstance(message, Grant):
            self.dispatch.hear_grant(message, now)
        else:
            self._hear_holdings(message)

    def _follow(self, summary: Summary, now: float) -> None:
        """Act on a summary, if it is of the hub that this gateway follows."""
        if not self._following.offer(summary, self._period_s(), now):
            return
        reported = self._reported
        configuration = self.configuration()
        if reported is not None and configuration is not None:
            self.work.hear(told(summary.work), told(reported.work), now)
            self.quota.hear(
                f"{summary.node}#{summary.boot}",
                summary.admitted,
                reported.admitted,
                configuration.workspaces,
                now,
            )
        for table, (version, node) in summary.versions.items():
            watcher = self.watchers.get(table)
            if watcher is not None and version > watcher.copy.content_version:
                member = self.members.get(summary.node) or self.members.get(node)
                if member is not None:
                    self._pull(member, table)

    def _fetch(self, report: Report) -> None:
        """Pull a newer configuration from its reporter, for those that follow."""
        version = report.versions.get(self.configuration_table, 0)
        watcher = self.watchers[self.configuration_table]
        member = self.members.get(report.node)
        if member is not None and version > watcher.copy.content_version:
            self._pull(member, self.configuration_table)

    def _hear_holdings(self, holdings: Holdings) -> None:
        now = asyncio.get_running_loop().time()
        if self.holdings.hear(holdings, now):
            self.admission.run_all(now)

    def _pull(self, member: Member, table: str) -> None:
        if table in self._pulling or self._tasks is None:
            return
        self._pulling.add(table)
        self._tasks.start_soon(self._pull_from, member, table)

    async def _pull_from(self, member: Member, table: str) -> None:
        watcher = self.watchers[table]
        try:
            rows = await self.link.pull(member, table, watcher.copy.content_version)
            if rows is not None:
                watcher.adopt(rows, member.node)
        finally:
            self._pulling.discard(table)
