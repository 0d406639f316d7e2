"""Finds where a stream has begun that its caller takes up again."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from attrs import define, field

from flamingopond_core.exceptions import FlamingopondError, PlatformError

from ..configuration import Route
from ..dispatch.tickets import Ticket
from ..store.shared_read import SharedRead
from ..store.software_history import SoftwareHistory
from ..store.storage import Row
from .stream_records import OwnStreams, StreamOrigin, find_origins, stream_key

# Time until the record of a stream is in the store, through report and hub. A record
# that is missing is looked for once more after it.
RECORD_DELAY_S = 0.4


async def ask_nobody(key: int) -> set[StreamOrigin]:
    """Return what the other gateways know of a stream, if there are none to ask."""
    return set()


class UnknownOriginError(FlamingopondError):
    """Nobody knows at which software version a stream has begun."""


class DiscontinuedStreamError(FlamingopondError):
    """No target of the software version is left at which a stream has begun."""


@define(eq=False)
class StreamOrigins:
    """Where streams have begun: of this gateway, of others, or by the only version.

    ``store_ms`` returns the time of the store's clock for one of the event loop, None
    while it is unknown. ``longest_s`` returns how long a stream lasts at most.
    ``confirm_targets`` returns once the list of targets is known to be current, and
    ``confirm_history`` once it is known which versions have been listed; they raise
    PlatformError if that can't be found out. ``ask_hubs`` returns the origins of a
    stream that the hubs know, within a tenth of a second.
    """

    history: SoftwareHistory
    store_ms: Callable[[float], float | None]
    longest_s: Callable[[], float]
    read_records: Callable[[], Awaitable[Iterable[Row]]]
    confirm_targets: Callable[[float], Awaitable[None]]
    confirm_history: Callable[[float], Awaitable[None]]
    ask_hubs: Callable[[int], Awaitable[set[StreamOrigin]]] = ask_nobody
    own: OwnStreams = field(factory=OwnStreams)
    _records: SharedRead[Iterable[Row]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Share the reads of records."""
        self._records = SharedRead(self.read_records)

    def implied(self, route: Route, now: float) -> StreamOrigin | None:
        """Return the only origin that a stream of a route can have, if there is one."""
        services = {share.service for share in route.shares}
        if len(services) != 1:
            return None
        (service,) = services
        version = self.sole_version(service, now)
        return StreamOrigin(service, version) if version is not None else None

    def sole_version(self, service: str, now: float) -> str | None:
        """Return the only version at which a stream of a service can have begun."""
        now_ms = self.store_ms(now)
        if now_ms is None:
            return None
        return self.history.sole_version(service, now_ms, 1000 * self.longest_s())

    def key(self, ticket: Ticket) -> int:
        """Return the key of the stream that an attempt begins."""
        workspace = ticket.workspace.name if ticket.workspace is not None else None
        return stream_key(workspace, ticket.request.id)

    def record(self, ticket: Ticket, software: str, now: float) -> None:
        """Record the first event of an attempt."""
        origin = StreamOrigin(ticket.service, software)
        self.own.record(self.key(ticket), origin, self.longest_s(), now)

    async def find(self, ticket: Ticket) -> StreamOrigin:
        """Return where the stream has begun that a request takes up.

        Raises UnknownOriginError if that isn't known for sure.
        """
        workspace = ticket.workspace.name if ticket.workspace is not None else None
        resumes = ticket.request.resumes
        key = stream_key(workspace, resumes) if resumes is not None else None
        if key is not None:
            own = self.own.find(key)
            if own is not None:
                return own
        loop = asyncio.get_running_loop()
        implied = self.implied(ticket.route, loop.time())
        if implied is not None:
            # Another version may be, or have been, in service of which nothing has been
            # heard here.
            try:
                await self._confirm(loop.time())
            except PlatformError as error:
                return await self._ask(key, f"versions may be unknown here: {error}")
            implied = self.implied(ticket.route, loop.time())
        if implied is not None:
            return implied
        if key is None:
            raise UnknownOriginError("the stream to take up is not named")
        found = await self._look_up(key, loop.time())
        if not found:
            await asyncio.sleep(RECORD_DELAY_S)
            found = await self._look_up(key, loop.time())
        if not found:
            implied = await self._settled(ticket)
            found = {implied} if implied is not None else set()
        if len(found) != 1:
            raise UnknownOriginError("the software version of the stream is unknown")
        return found.pop()

    async def _settled(self, ticket: Ticket) -> StreamOrigin | None:
        """Return the only origin once the targets of a restored store are listed.

        None if there is no restored store, or not enough time.
        """
        loop = asyncio.get_running_loop()
        now_ms = self.store_ms(loop.time())
        if now_ms is None:
            return None
        route = ticket.route
        settled_ms = max(
            self.history.settled_ms(share.service) for share in route.shares
        )
        wait_s = (settled_ms - now_ms) / 1000
        if wait_s <= 0 or loop.time() + wait_s >= ticket.deadline:
            return None
        await asyncio.sleep(wait_s)
        return self.implied(route, loop.time())

    async def _confirm(self, now: float) -> None:
        """Wait until the list of targets and its history are known to be current."""
        await self.confirm_targets(now)
        await self.confirm_history(now)

    async def _ask(self, key: int | None, obstacle: str) -> StreamOrigin:
        """Return the origin that the hubs know, while the store can't be asked."""
        found = await self.ask_hubs(key) if key is not None else set()
        if len(found) != 1:
            raise UnknownOriginError(obstacle)
        return found.pop()

    async def _look_up(self, key: int, wanted_at: float) -> set[StreamOrigin]:
        """Return the origins that the hubs know, else those in the store's records.

        These are read no earlier than asked for.
        """
        found = await self.ask_hubs(key)
        if found:
            return found
        try:
            rows = await self._records.get(wanted_at)
        except PlatformError as error:
            raise UnknownOriginError(
                f"the stream can't be looked up: {error}"
            ) from error
        return find_origins(rows, key)
