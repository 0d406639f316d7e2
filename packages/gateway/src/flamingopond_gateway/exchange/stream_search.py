"""Asks the hubs where streams have begun.

They keep the records in memory, also while they are not in the store: before several
software versions serve, or while a hub doesn't reach the store.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import structlog
from attrs import define, field

from ..messages import Datagram, StreamsFound, StreamsSought
from ..settings import Address, GatewaySettings
from .members import Members
from .stream_records import (
    RecordLog,
    StreamOrigin,
    decode_keys,
    decode_records,
    encode_keys,
    encode_records,
)

# Hubs reply within a few ms inside a region, and are late by some 0.05 s when busy.
SEARCH_TIMEOUT_S = 0.1

log = structlog.get_logger()


@define(eq=False)
class _Search:
    """A stream that is sought; ``asked`` are the hubs that have not replied."""

    asked: set[str]
    found: set[StreamOrigin] = field(factory=set)
    ended: asyncio.Event = field(factory=asyncio.Event)


@define(eq=False)
class StreamSearch:
    """Searches of this gateway, and its replies to those of others."""

    settings: GatewaySettings
    members: Members
    records: RecordLog
    send: Callable[[Datagram, Iterable[Address]], None]
    _searches: dict[int, _Search] = field(factory=dict)

    async def ask_hubs(self, key: int) -> set[StreamOrigin]:
        """Return the origins of a stream that the hubs know, this gateway included.

        Waits for a hub that knows the stream, or until none of them does, at most
        ``SEARCH_TIMEOUT_S``.
        """
        own = self.records.find(key)
        if own is not None:
            return {own}
        search = self._searches.get(key) or self._begin(key)
        if search is None:
            return set()
        try:
            async with asyncio.timeout(SEARCH_TIMEOUT_S):
                await search.ended.wait()
        except TimeoutError:
            log.info("hubs did not reply", hubs=",".join(sorted(search.asked)))
        finally:
            if self._searches.get(key) is search:
                del self._searches[key]
        return set(search.found)

    def _begin(self, key: int) -> _Search | None:
        """Ask all hubs; return None if there are none besides this gateway."""
        nodes = self.members.hubs(asyncio.get_running_loop().time())
        hubs = [member for node in nodes if (member := self.members.get(node))]
        if not hubs:
            return None
        search = self._searches[key] = _Search({member.node for member in hubs})
        message = StreamsSought(
            self.settings.node, self.settings.peer_port, encode_keys([key])
        )
        self.send(message, [member.address for member in hubs])
        return search

    def handle_sought(self, message: StreamsSought, address: Address) -> None:
        """Tell another gateway what is known here of the streams that it seeks."""
        found = [
            (key, origin)
            for key in decode_keys(message.keys)
            if (origin := self.records.find(key)) is not None
        ]
        reply = StreamsFound(self.settings.node, message.keys, encode_records(found))
        self.send(reply, [(address[0], message.port)])

    def handle_found(self, message: StreamsFound) -> None:
        """End searches whose stream a hub knows, or that all hubs have replied to."""
        found = dict(decode_records(message.begun))
        for key in decode_keys(message.sought):
            search = self._searches.get(key)
            if search is None:
                continue
            search.asked.discard(message.node)
            if key in found:
                search.found.add(found[key])
            if search.found or not search.asked:
                search.ended.set()
