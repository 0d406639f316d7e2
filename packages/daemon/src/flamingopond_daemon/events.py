"""Events of this node: timestamped, kept in the timeline and logged."""

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
    """Records events and answers queries for events of this node and its peers."""

    def __init__(self, node: str, wall_clock: Callable[[], float] = time.time) -> None:
        """``wall_clock`` returns Unix time in seconds and need not be accurate."""
        self._node = node
        self._wall_clock = wall_clock
        self._hlc = HybridLogicalClock()
        self._timeline = Timeline()
        self._log = structlog.get_logger("flamingopond").bind(node=node)

    @property
    def clock(self) -> HybridLogicalClock:
        """Hybrid logical clock of this node, synchronized by gossip."""
        return self._hlc

    def stamp(self) -> int:
        """Return a new timestamp of the hybrid logical clock."""
        return self._hlc.stamp(self._wall_clock())

    def record(self, kind: str, **fields: Any) -> None:
        """Record and log an event; ``fields`` must be JSON values."""
        event = Event(self.stamp(), self._node, kind, fields)
        self._timeline.append(event)
        # Nested, because names such as `event` would collide with the logger's own.
        self._log.info(kind, stamp=event.stamp, fields=fields)

    def select(self, event_filter: EventFilter) -> list[Event]:
        """Return this node's events that match."""
        return self._timeline.select(event_filter)

    def serve(self, peers: Peers) -> None:
        """Register the handler for queries of peers."""
        peers.serve("events", self._handle_query)

    async def collect(
        self, peers: Peers, members: Iterable[str], event_filter: EventFilter
    ) -> tuple[list[Event], tuple[str, ...]]:
        """Return the events of this node and ``members`` in causal order.

        The second value names the members that did not answer.
        """
        histories = [self.select(event_filter)]
        unanswered: list[str] = []
        query = orjson.dumps(attrs.asdict(event_filter))

        async def query_member(member: str) -> None:
            try:
                reply = await peers.call(member, "events", query=query)
                found = [Event(**orjson.loads(data)) for data in reply["events"]]
            except (PeerUnavailableError, ValueError, TypeError):
                unanswered.append(member)
            else:
                histories.append(found)

        async with anyio.create_task_group() as group:
            for member in members:
                if member != self._node:
                    group.start_soon(query_member, member)
        return merge_events(histories)[-event_filter.limit :], tuple(sorted(unanswered))

    async def _handle_query(self, params: dict[str, Any]) -> dict[str, Any]:
        query = orjson.loads(params["query"])
        query["kinds"] = tuple(query["kinds"])
        found = self.select(EventFilter(**query))
        return {"events": [orjson.dumps(attrs.asdict(event)) for event in found]}
