"""Exchange of what is known of software versions and of the streams begun there.

Gateways report the streams that have begun there to the hubs. While targets of several
software versions serve, each hub writes them, and which versions have been in service,
to the store: a hub can't tell whether another one reaches the store. A gateway that has
lost its memory finds them there.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable

import structlog
from attrs import define, field, frozen

from flamingopond_core.exceptions import PlatformError, PlatformUnavailableError

from ..clock import boot_time
from ..configuration import Configuration, RouteKind
from ..dispatch.tickets import Ticket
from ..messages import (
    BegunStreams,
    Datagram,
    ServiceVersions,
    StreamsBegun,
    StreamsStored,
)
from ..settings import Address, GatewaySettings
from ..store.continuity import ListContinuity
from ..store.row_writer import RowWriter
from ..store.shared_read import SharedRead
from ..store.software_history import SOFTWARE_TABLE, SoftwareHistory
from ..store.storage import Change, Row, RowConflictError, Rows, Store, era_of
from ..store.watch import RELIABLE_AFTER_S, EraTracker, StoreClock
from ..targets.roster import Roster
from .members import Members
from .stream_origins import StreamOrigins
from .stream_records import (
    STREAMS_TABLE,
    RecordLog,
    StreamOrigin,
    decode_keys,
    decode_records,
    encode_keys,
    encode_records,
)
from .stream_search import StreamSearch

# Longest time between looks for something to write, and shortest between two writes.
WRITE_PERIOD_S = 0.25
MIN_WRITE_INTERVAL_S = 0.05
# First events that arrive in this time are announced together.
ANNOUNCE_DELAY_S = 0.005
# The first event of a stream waits for its record to be stored, but not longer: an
# event counts as late if it is passed on 0.12 s after it was made.
MAX_HOLD_S = 0.08
STORE_TIMEOUT_S = 1.0
# A caller that takes its stream up may have begun it in an attempt before, so that it
# lasts longer than the time limit of its route.
STREAM_ATTEMPTS = 2
MIN_STREAM_S = 60.0

log = structlog.get_logger()


@frozen
class _StreamRoutes:
    """Services of the routes with streams, and the longest time that one takes.

    ``split`` is whether a route leads to several services.
    """

    services: frozenset[str]
    split: bool
    longest_s: float


def _stream_routes(configuration: Configuration | None) -> _StreamRoutes:
    routes = configuration.routes if configuration is not None else ()
    streams = [route for route in routes if route.kind is RouteKind.STREAM]
    longest_s = max((route.timeout_s for route in streams), default=0.0)
    return _StreamRoutes(
        frozenset(share.service for route in streams for share in route.shares),
        any(len({share.service for share in route.shares}) > 1 for route in streams),
        max(STREAM_ATTEMPTS * longest_s, MIN_STREAM_S),
    )


@define(eq=False)
class StreamLink:
    """Reports, collects, stores and reads the origins of streams.

    ``in_contact`` returns whether a hub that hears most of the fleet was heard lately.
    """

    settings: GatewaySettings
    store: Store
    store_era: EraTracker
    store_clock: StoreClock
    members: Members
    roster: Roster
    configuration: Callable[[], Configuration | None]
    confirm_targets: Callable[[float], Awaitable[None]]
    in_contact: Callable[[float], bool] = lambda now: True
    boot_clock: Callable[[], float] = boot_time
    history: SoftwareHistory = field(init=False)
    origins: StreamOrigins = field(init=False)
    search: StreamSearch = field(init=False)
    # Set by the exchange.
    send: Callable[[Datagram, Iterable[Address]], None] = lambda message, addresses: (
        None
    )
    _records: RecordLog = field(init=False)
    _work: asyncio.Event = field(factory=asyncio.Event)
    # Streams of this gateway whose first event waits, and those still to be announced.
    _holds: dict[int, asyncio.Future[None]] = field(factory=dict)
    _unannounced: dict[int, StreamOrigin] = field(factory=dict)
    # Hubs that have been sent all records, with the version of their registration.
    _informed_hubs: set[tuple[str, int]] = field(factory=set)
    # Gateways that wait for records, by key.
    _waiting: dict[int, Address] = field(factory=dict)
    _writer: RowWriter = field(init=False)
    _continuity: ListContinuity = field(factory=ListContinuity)
    _history_reads: SharedRead[bool] = field(init=False)
    _written_era: int | None = None
    _known_configuration: Configuration | None = None
    _routes: _StreamRoutes = field(factory=lambda: _stream_routes(None))

    @property
    def _key_prefix(self) -> str:
        return f"{self.settings.node}/"

    def __attrs_post_init__(self) -> None:
        """Create the history and the search for origins."""
        self._writer = RowWriter(self.store, STORE_TIMEOUT_S)
        self._records = RecordLog(self.settings.max_row_bytes)
        self.search = StreamSearch(
            self.settings,
            self.members,
            self._records,
            lambda message, addresses: self.send(message, addresses),
        )
        self.history = SoftwareHistory(self.settings.first_start)
        self.origins = StreamOrigins(
            self.history,
            self.store_clock.at,
            lambda: self._stream_routes().longest_s,
            self._read_records,
            self.confirm_targets,
            self.confirm_history,
            self.search.ask_hubs,
        )
        self._history_reads = SharedRead(self._read_history)

    def restore_history(self, rows: Rows, read_at: float) -> None:
        """Take over the history in the store, read at ``read_at`` of the boot clock."""
        self.history.restore(rows.rows)
        self._hold_copies(rows)
        self._continuity.close(read_at)

    def _hold_copies(self, rows: Rows) -> None:
        """Wait for the targets' entries if a history is from an older copy."""
        settled_ms = rows.store_ms + 1000 * RELIABLE_AFTER_S
        held = self.history.hold_copies(era_of(rows.version), settled_ms)
        if held:
            log.warning(
                "software versions of a restored store",
                services=",".join(held),
                era=era_of(rows.version),
            )

    def review_versions(self, now: float) -> None:
        """Record which versions are listed; the list must have been read."""
        now_ms = self.store_clock.at(now)
        if now_ms is None:
            return
        if self.in_contact(now):
            boot_now = self.boot_clock()
            if self._continuity.note_followed(boot_now):
                known_until = self._continuity.known_until(boot_now)
                log.info(
                    "list of targets followed again",
                    gap_s=round(boot_now - known_until, 2),
                )
        present: dict[str, set[str]] = {}
        for target in self.roster.listed():
            present.setdefault(target.service, set()).add(target.software)
        window_ms = 1000 * self._stream_routes().longest_s
        self.history.note_present(present, now_ms, window_ms)

    def shared_versions(self, now: float) -> list[ServiceVersions]:
        """Return the services of which several versions can have begun streams."""
        now_ms = self.store_clock.at(now)
        if now_ms is None:
            return []
        window_ms = 1000 * self._stream_routes().longest_s
        shared = self.history.shared_versions(now_ms, window_ms)
        return [ServiceVersions(service, seen) for service, seen in shared.items()]

    def note_versions(self, software: Iterable[ServiceVersions]) -> None:
        """Record the versions that a hub names.

        A version that is listed for a moment only may be seen by some gateways alone.
        """
        for service in software:
            for version, seen_ms in service.seen_ms.items():
                self.history.note_seen(service.service, version, seen_ms)

    async def confirm_history(self, now: float) -> None:
        """Return once it is known which versions have been listed up to now.

        After a gap the store's history is read. Raises PlatformError if that fails.
        """
        if not self._continuity.unbroken(self.boot_clock()):
            await self._history_reads.get(now)

    async def _read_history(self) -> bool:
        loop = asyncio.get_running_loop()
        read_at = self.boot_clock()
        rows = await self._read(SOFTWARE_TABLE)
        now = loop.time()
        now_ms = self.store_clock.at(now)
        if now_ms is None:
            raise PlatformUnavailableError("the store's clock is unknown")
        boot_now = self.boot_clock()
        gap_s = boot_now - self._continuity.known_until(boot_now)
        self.history.merge(rows.rows, now_ms - 1000 * gap_s, now_ms if gap_s else None)
        self._hold_copies(rows)
        self._continuity.close(read_at)
        log.info("history of software versions read", rows=len(rows.rows))
        return True

    def next_report(self, now: float) -> list[BegunStreams]:
        """Return the streams to report.

        The hubs hear of them also while only one version serves: when another one
        comes, this gateway may be suspended or gone. A hub that is new, or has been
        restarted, is told all that is known here.
        """
        hubs = {
            (member.node, member.registration_version)
            for node in self.members.hubs(now)
            if (member := self.members.get(node)) is not None
        }
        if not hubs <= self._informed_hubs:
            self.origins.own.report_again(self._records.records())
        self._informed_hubs = hubs
        return self.origins.own.next_report()

    def _records_needed(self, now: float) -> bool:
        """Whether streams can have begun in several services or versions."""
        routes = self._stream_routes()
        return routes.split or any(
            self.origins.sole_version(service, now) is None
            for service in routes.services
        )

    async def hold(self, ticket: Ticket) -> None:
        """Wait until the store has the record of a stream, for a short time at most.

        Its first event is passed on afterwards, so that a caller which has one can
        take the stream up even if all gateways lose their memory.
        """
        loop = asyncio.get_running_loop()
        route = ticket.route
        if ticket.taken_up or not route.resumable:
            return
        if self.origins.implied(route, loop.time()) is not None:
            return
        key = self.origins.key(ticket)
        origin = self.origins.own.find(key)
        if origin is None:
            return
        if not self._unannounced:
            loop.call_later(ANNOUNCE_DELAY_S, self._announce)
        self._unannounced[key] = origin
        hold = self._holds.setdefault(key, loop.create_future())
        try:
            async with asyncio.timeout(MAX_HOLD_S):
                await asyncio.shield(hold)
        except TimeoutError:
            log.info("stream goes on without a record", request=ticket.request.id)
        finally:
            self._holds.pop(key, None)

    def handle_begun(self, message: StreamsBegun, address: Address, now: float) -> None:
        """Store the records that another gateway waits for."""
        sender = (address[0], message.port)
        known = []
        for key, _ in decode_records(message.begun):
            if self._records.stored(key):
                known.append(key)
            else:
                self._waiting[key] = sender
        if known:
            self.send(StreamsStored(self.settings.node, encode_keys(known)), [sender])
        self.collect(message.begun, now)
        self._work.set()

    def handle_stored(self, message: StreamsStored) -> None:
        """Let the streams go on whose records are stored."""
        self._release(decode_keys(message.keys))

    def collect(self, begun: Iterable[BegunStreams], now: float) -> None:
        """Add the streams that a gateway reports, and the versions where they began."""
        self._records.add(begun, now)
        now_ms = self.store_clock.at(now)
        if now_ms is not None:
            for group in begun:
                self.history.note_seen(group.service, group.software, now_ms)

    async def run(self) -> None:
        """Write what is new while this gateway is a hub, until cancelled.

        Any gateway reads the store's history after a gap.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(MIN_WRITE_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WRITE_PERIOD_S):
                    await self._work.wait()
            self._work.clear()
            now = loop.time()
            if self._continuity.has_gap:
                try:
                    await self.confirm_history(now)
                except PlatformError as error:
                    log.info("reading software versions failed", reason=str(error))
            self._records.expire(self._stream_routes().longest_s, now)
            if self.settings.node not in self.members.hubs(now):
                self._waiting.clear()
                continue
            try:
                await self._write(now)
            except PlatformError as error:
                # The streams that wait go on without a record by then.
                self._waiting.clear()
                log.info("writing streams failed, retrying", reason=str(error))

    async def _write(self, now: float) -> None:
        """Write the rows that are new."""
        era = self.store_era.era
        if era != self._written_era:
            # The store may have lost what has been written.
            if self._written_era is not None:
                self.history.note_stored((await self._read(SOFTWARE_TABLE)).rows)
                self._records.forget_ring()
                self._records.write_again()
            self._written_era = era
        routes = self._stream_routes()
        if self._records_needed(now):
            await self._write_records(routes.longest_s, now)
        await self._write_history(routes.services, now)

    async def _write_records(self, longest_s: float, now: float) -> None:
        """Write a row of records that are new."""
        if self._records.pending and not self._records.ready:
            await self._choose_ring()
        row = self._records.next_row(longest_s, now)
        if row is None:
            return
        key, value = row
        expected = self._records.row_version(key)
        change = Change(STREAMS_TABLE, "", self._key_prefix + key, value, expected)
        try:
            version = await self._writer.write_one(change, now)
        except RowConflictError as conflict:
            # An earlier write without an answer has been carried out.
            for found in conflict.rows:
                self._records.note_version(key, found.version)
            if not conflict.rows:
                self._records.forget_ring()
            self._work.set()
            return
        if version is None:
            self._records.drop_row()
            self._waiting.clear()
            return
        self._records.note_version(key, version)
        self._records.note_written()
        self._confirm()
        if self._records.pending:
            self._work.set()

    async def _write_history(self, services: frozenset[str], now: float) -> None:
        """Write the history of each service unless the store's row tells the same."""
        now_ms = self.store_clock.at(now)
        if now_ms is None:
            return
        unstored = self.history.unstored_rows(self.store_era.era, now_ms)
        # Entries of other writers may name any service.
        rows = {
            service: value for service, value in unstored.items() if service in services
        }
        for service, value in rows.items():
            expected = self.history.stored_version(service)
            change = Change(SOFTWARE_TABLE, "", service, value, expected)
            try:
                version = await self._writer.write_one(change, now)
            except RowConflictError:
                # Another gateway has written it; what it knows is added here first.
                await self._read_history()
                return
            if version is not None:
                self.history.note_written({service: value}, version)
                log.info("software versions", services={service: value.decode()})

    def _confirm(self) -> None:
        """Tell the gateways that wait for records that have been stored."""
        stored: dict[Address, list[int]] = {}
        for key in [key for key in self._waiting if self._records.stored(key)]:
            stored.setdefault(self._waiting.pop(key), []).append(key)
        for address, keys in stored.items():
            message = StreamsStored(self.settings.node, encode_keys(keys))
            self.send(message, [address])
        self._release([key for key in self._holds if self._records.stored(key)])

    def _release(self, keys: Iterable[int]) -> None:
        for key in keys:
            hold = self._holds.get(key)
            if hold is not None and not hold.done():
                hold.set_result(None)

    def _announce(self) -> None:
        """Send the records of new streams to the hubs, which store them."""
        now = asyncio.get_running_loop().time()
        begun = encode_records(self._unannounced.items())
        self._unannounced.clear()
        hubs = self.members.hubs(now)
        if self.settings.node in hubs:
            self.collect(begun, now)
            self._work.set()
        others = [member for hub in hubs if (member := self.members.get(hub))]
        message = StreamsBegun(self.settings.node, self.settings.peer_port, begun)
        self.send(message, [member.address for member in others])

    async def _choose_ring(self) -> None:
        prefix = self._key_prefix
        self._records.choose_ring(
            {
                row.key.removeprefix(prefix): row.version
                for row in await self._read_records()
                if row.key.startswith(prefix)
            }
        )

    async def _read(self, table: str) -> Rows:
        rows = await self.store.read(table, STORE_TIMEOUT_S)
        self.store_clock.note(rows.store_ms, asyncio.get_running_loop().time())
        return rows

    async def _read_records(self) -> tuple[Row, ...]:
        return (await self._read(STREAMS_TABLE)).rows

    def _stream_routes(self) -> _StreamRoutes:
        configuration = self.configuration()
        if configuration is not self._known_configuration:
            self._known_configuration = configuration
            self._routes = _stream_routes(configuration)
        return self._routes
