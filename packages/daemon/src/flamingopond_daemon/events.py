"""Events of this node: stamped, kept in the time line and logged."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import attrs
import orjson
import structlog

from flamingopond_core.hlc import HybridLogicalClock
from flamingopond_core.timeline import Event, EventFilter, Timeline, merge_events
from flamingopond_daemon.peers import Peers, PeerUnavailableError


class Events:
    """Records events and answers queries for them, from here and from peers."""

    def __init__(self, node: str, wall_clock: Callable[[], float] = time.time) -> None:
        """``wall_clock`` returns seconds since the epoch; it may be wrong."""
        self._node = node
        self._wall_clock = wall_clock
        self._hlc = HybridLogicalClock()
        self._timeline = Timeline()
        self._log = structlog.get_logger("flamingopond").bind(node=node)

    @property
    def clock(self) -> HybridLogicalClock:
        """Logical clock of this node; gossip carries it to others."""
        return self._hlc

    def stamp(self) -> int:
        """Return a new stamp."""
        return self._hlc.stamp(self._wall_clock())

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event; ``fields`` must be JSON values."""
        event = Event(self.stamp(), self._node, kind, fields)
        self._timeline.append(event)
        # Fields such as `event` would collide with the logger's own.
        self._log.info(kind, stamp=event.stamp, fields=fields)

    def select(self, wanted: EventFilter) -> list[Event]:
        """Return this node's events that match."""
        return self._timeline.select(wanted)

    def serve(self, peers: Peers) -> None:
        """Answer queries of peers."""
        peers.serve("events", self._answer)

    async def collect(
        self, peers: Peers, members: Iterable[str], wanted: EventFilter
    ) -> tuple[list[Event], tuple[str, ...]]:
        """Return the events of this node and ``members`` in causal order.

        The second value names the members that did not answer.
        """
        histories = [self.select(wanted)]
        silent: list[str] = []
        query = orjson.dumps(attrs.asdict(wanted))

        async def ask(member: str) -> None:
            try:
                reply = await peers.call(member, "events", query=query)
                found = [Event(**orjson.loads(data)) for data in reply["events"]]
            except (PeerUnavailableError, ValueError, TypeError):
                silent.append(member)
            else:
                histories.append(found)

        async with anyio.create_task_group() as group:
            for member in members:
                if member != self._node:
                    group.start_soon(ask, member)
        return merge_events(histories)[-wanted.limit :], tuple(sorted(silent))

    async def _answer(self, params: dict[str, Any]) -> dict[str, Any]:
        query = orjson.loads(params["query"])
        query["kinds"] = tuple(query["kinds"])
        found = self.select(EventFilter(**query))
        return {"events": [orjson.dumps(attrs.asdict(event)) for event in found]}
