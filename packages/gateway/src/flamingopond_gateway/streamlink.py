"""Exchange of what is known of software versions and of the streams begun there.

Gateways report the streams that have begun there to the hubs while targets of several
software versions serve; the first hub writes them, and which versions have been in
service, to the store. A gateway that has lost its memory finds them there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import structlog
from attrs import define, field, frozen

from flamingopond_core.exceptions import PlatformError

from .configuration import Configuration, RouteKind
from .members import Members
from .messages import BegunStreams
from .roster import Roster
from .settings import GatewaySettings
from .software_history import SOFTWARE_TABLE, SoftwareHistory
from .storage import Change, Row, Store
from .stream_origins import StreamOrigins
from .stream_records import STREAMS_TABLE, RecordLog
from .watch import EraTracker, StoreClock

# Period of writes to the store, each only if there is something new.
WRITE_PERIOD_S = 0.25
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
    """Reports, collects, stores and reads the origins of streams."""

    settings: GatewaySettings
    store: Store
    store_era: EraTracker
    store_clock: StoreClock
    members: Members
    roster: Roster
    configuration: Callable[[], Configuration | None]
    history: SoftwareHistory = field(init=False)
    origins: StreamOrigins = field(init=False)
    _records: RecordLog = field(factory=RecordLog)
    _written_era: int = 0
    _known_configuration: Configuration | None = None
    _routes: _StreamRoutes = field(factory=lambda: _stream_routes(None))

    @property
    def _key_prefix(self) -> str:
        return f"{self.settings.node}/"

    def __attrs_post_init__(self) -> None:
        """Create the history and the search for origins."""
        self.history = SoftwareHistory(self.settings.first_start)
        self.origins = StreamOrigins(
            self.history,
            self.store_clock.at,
            lambda: self._stream_routes().longest_s,
            self._read_records,
        )

    def review_versions(self, now: float) -> None:
        """Record which versions are listed; the list must have been read."""
        now_ms = self.store_clock.at(now)
        if now_ms is None:
            return
        present: dict[str, set[str]] = {}
        for target in self.roster.listed():
            present.setdefault(target.service, set()).add(target.software)
        window_ms = 1000 * self._stream_routes().longest_s
        self.history.note_present(present, now_ms, window_ms)

    def next_report(self, now: float) -> list[BegunStreams]:
        """Return the streams to report; none while they aren't needed."""
        routes = self._stream_routes()
        needed = routes.split or any(
            self.origins.sole_version(service, now) is None
            for service in routes.services
        )
        return self.origins.own.next_report() if needed else []

    def collect(self, begun: Iterable[BegunStreams], now: float) -> None:
        """Add the streams that a gateway reports."""
        self._records.add(begun, now)

    async def run(self) -> None:
        """Write what is new while this gateway is the first hub, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(WRITE_PERIOD_S)
            now = loop.time()
            if self.members.hubs(now)[:1] != [self.settings.node]:
                self._records.expire(now)
                continue
            try:
                await self._write(now)
            except PlatformError as error:
                log.info("writing streams failed, retrying", reason=str(error))

    async def _write(self, now: float) -> None:
        """Write the rows that are new, all in one call."""
        era = self.store_era.era
        if era != self._written_era:
            # The store may have lost what has been written.
            self.history.note_stored(
                await self._read(SOFTWARE_TABLE) if self._written_era else ()
            )
            self._records.write_again(now)
            self._written_era = era
        history_rows = self.history.unstored_rows()
        changes = [
            Change(SOFTWARE_TABLE, "", service, value)
            for service, value in history_rows.items()
        ]
        if self._records.pending and not self._records.ready:
            await self._choose_ring()
        row = self._records.next_row(self._stream_routes().longest_s, now)
        if row is not None:
            key, value = row
            changes.append(Change(STREAMS_TABLE, "", self._key_prefix + key, value))
        if not changes:
            return
        await self.store.write(changes, STORE_TIMEOUT_S)
        self.history.note_written(history_rows)
        if row is not None:
            self._records.note_written()
        if history_rows:
            log.info(
                "software versions",
                services={
                    service: value.decode() for service, value in history_rows.items()
                },
            )

    async def _choose_ring(self) -> None:
        prefix = self._key_prefix
        self._records.choose_ring(
            {
                row.key.removeprefix(prefix): row.version
                for row in await self._read(STREAMS_TABLE)
                if row.key.startswith(prefix)
            }
        )

    async def _read(self, table: str) -> tuple[Row, ...]:
        return (await self.store.read(table, STORE_TIMEOUT_S)).rows

    async def _read_records(self) -> tuple[Row, ...]:
        return await self._read(STREAMS_TABLE)

    def _stream_routes(self) -> _StreamRoutes:
        configuration = self.configuration()
        if configuration is not self._known_configuration:
            self._known_configuration = configuration
            self._routes = _stream_routes(configuration)
        return self._routes
