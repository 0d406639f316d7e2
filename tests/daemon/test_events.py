"""Timeline of several daemons for operators."""

from __future__ import annotations

from types import SimpleNamespace

import anyio
import pytest

from flamingopond_daemon.events import Events
from flamingopond_daemon.operator_subsystems import TimelineQuery
from flamingopond_daemon.status import FleetTimeline


class LocalPeers:
    """Calls the handlers of the other daemon directly."""

    def __init__(self):
        self.handlers = {}

    def serve(self, method, handler):
        self.handlers[method] = handler

    async def call(self, member, method, **params):
        return await self.handlers[method](params)


@pytest.mark.parametrize(
    "query",
    [
        TimelineQuery(request="r1", limit=3),
        TimelineQuery(workspace="rare", limit=3),
        TimelineQuery(target="e1", limit=3),
        TimelineQuery(request="r1", target="e1", kinds=("engine_died",), limit=3),
    ],
)
def test_rare_events_are_found_among_many(query):
    """Guards against a limit that is applied before the filter."""
    peers = LocalPeers()
    local, remote = Events("a"), Events("b")
    remote.serve(peers)
    for events in (local, remote):
        fields = {"request_id": "r1", "workspace": "rare", "target": "e1"}
        events.record("engine_died", **fields)
        for _ in range(5):
            events.record("engine_died", workspace="busy", target="e2")
    members = SimpleNamespace(
        members=lambda now: [SimpleNamespace(name=name) for name in "ab"]
    )
    timeline = FleetTimeline(local, peers, members)
    found, unanswered = anyio.run(timeline.collect, query)
    assert sorted(event["node"] for event in found) == ["a", "b"]
    assert {event["fields"]["workspace"] for event in found} == {"rare"}
    assert unanswered == ()
