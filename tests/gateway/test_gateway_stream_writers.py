"""Who writes the records of begun streams, and what a write may replace.

One hub alone wrote them, so that a hub which could not reach the store kept all others
from knowing where streams had begun (LOST).
"""

from __future__ import annotations

import asyncio
import contextlib

import gateway_parts as parts
import power_parts as power
import pytest
from attrs import evolve
from soak_parts import Proxy
from test_gateway_software_versions import begin, joined, two_versions

from flamingopond_core.exceptions import OutcomeUnknownError, PlatformError
from flamingopond_gateway.exchange.stream_records import (
    STREAMS_TABLE,
    StreamOrigin,
    encode_keys,
    find_origins,
)
from flamingopond_gateway.messages import BegunStreams, StreamsBegun, StreamsStored

pytestmark = pytest.mark.anyio

SERVICE = "log-models"
V1 = StreamOrigin(SERVICE, "1")
HUBS = ("gw-1", "gw-2")


@pytest.fixture
def anyio_backend():
    return "asyncio"


class Links:
    """Stream links of gateways that know each other, each with a store of its own.

    ``sent`` are the messages of each gateway with the names of their receivers.
    """

    def __init__(self, nodes, stores):
        self.now = asyncio.get_running_loop().time()
        self.sent = {node: [] for node in nodes}
        self.links = {}
        configuration = parts.configuration(routes=[parts.route()])
        targets = [parts.target(f"e{n}", ("m0",), software=n) for n in "12"]
        for node in nodes:
            link = parts.stream_link(
                stores[node], parts.roster(*targets), configuration, self.now, node
            )
            port = 7000 + nodes.index(node)
            link.settings = evolve(link.settings, peer_port=port)
            for other in nodes:
                address = ("127.0.0.1", 7000 + nodes.index(other))
                link.members.add(other, address, 1, 1000)
                if other in HUBS:
                    link.members.note_hub_summary(other, self.now)
            link.send = self._sender(node, nodes)
            link.review_versions(self.now)
            self.links[node] = link

    def _sender(self, node, nodes):
        def send(message, addresses):
            for _, port in addresses:
                self.sent[node].append((message, nodes[port - 7000]))

        return send

    def receivers(self, node, kind):
        return [to for message, to in self.sent[node] if isinstance(message, kind)]

    @contextlib.asynccontextmanager
    async def running(self, *nodes):
        tasks = [asyncio.create_task(self.links[node].run()) for node in nodes]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()


def begun(*keys):
    return BegunStreams(SERVICE, "1", encode_keys(keys))


# Guards LOST: only the first hub was told of a stream whose first event waits, and only
# it wrote; cut from the store, it neither wrote nor said so.
@pytest.mark.parametrize("cut", [(), ("gw-1",), ("gw-2",)], ids=["none", "1", "2"])
async def test_either_hub_stores_the_records(cut):
    stores = dict.fromkeys(("gw-1", "gw-2", "gw-3"), parts.VersionedStore())
    for node in cut:
        stores[node] = parts.VersionedStore()
        stores[node].error = PlatformError("no response in time")
    fleet = Links(["gw-1", "gw-2", "gw-3"], stores)
    third = fleet.links["gw-3"]
    ticket = parts.ticket("begun", at=fleet.now)
    third.origins.record(ticket, "1", fleet.now)
    async with fleet.running("gw-1", "gw-2"):
        hold = asyncio.create_task(third.hold(ticket))
        await asyncio.sleep(0.02)
        assert sorted(fleet.receivers("gw-3", StreamsBegun)) == ["gw-1", "gw-2"]
        for message, hub in fleet.sent["gw-3"]:
            fleet.links[hub].handle_begun(message, ("127.0.0.1", 7002), fleet.now)
        await asyncio.sleep(0.5)
        await hold
    key = third.origins.key(ticket)
    confirming = {
        hub for hub in HUBS if fleet.receivers(hub, StreamsStored) and hub not in cut
    }
    assert confirming == set(HUBS) - set(cut)
    assert find_origins(stores["gw-3"].of(STREAMS_TABLE), key) == {V1}


class LateStore(parts.VersionedStore):
    """Leaves the first write of records without an answer, and carries it out late."""

    def __init__(self):
        super().__init__()
        self.late = None

    async def write(self, changes, timeout_s):
        if self.late is None and changes[0].table == STREAMS_TABLE:
            self.late = changes
            raise OutcomeUnknownError("no response in time")
        return await super().write(changes, timeout_s)

    def carry_out(self):
        with contextlib.suppress(PlatformError):
            self.apply(self.late)


# Guards LOST: a write that was carried out late put an older state of its row back, so
# that the records written since were gone. When it comes: before the next write of the
# row, or after it.
@pytest.mark.parametrize("before", [True, False], ids=["before", "after"])
async def test_late_write_takes_no_records_away(before):
    store = LateStore()
    fleet = Links(["gw-1"], {"gw-1": store})
    link = fleet.links["gw-1"]
    link.collect([begun(1)], fleet.now)
    async with fleet.running("gw-1"):
        while store.late is None:
            await asyncio.sleep(0.01)
        link.collect([begun(2)], fleet.now)
        if before:
            store.carry_out()
        await asyncio.sleep(0.8)
        link.collect([begun(3)], fleet.now)
        await asyncio.sleep(0.8)
        if not before:
            store.carry_out()
    rows = store.of(STREAMS_TABLE)
    assert [find_origins(rows, key) for key in (1, 2, 3)] == [{V1}] * 3


@pytest.mark.processes
async def test_take_ups_go_on_while_the_first_hub_is_cut_from_the_store(tmp_path):
    """Guards LOST: nobody wrote the records of streams that began meanwhile."""
    async with two_versions(tmp_path, gateways=0) as running:
        link = await Proxy(running.store_port).start()
        running.gateways = [
            power.Gateway(f"gw-{number}", tmp_path, running.store_port)
            for number in range(5)
        ]
        hub, *others = running.gateways
        hub.store_port = link.port
        await running.start(running.gateways)
        await asyncio.sleep(1.0)
        link.mode = "silence"
        await asyncio.sleep(0.5)
        running.gateways = others
        try:
            streams = await begin(running, read=2)
            await asyncio.gather(
                *(
                    stream.ask(others[(number + 1) % 4], 3)
                    for number, stream in enumerate(streams)
                )
            )
        finally:
            running.gateways = [hub, *others]
            link.close()
    assert joined(streams) == []
    went_on = [stream for stream in streams if len(stream.versions) == 2 + 3]
    assert len(went_on) >= len(streams) / 2
