"""Who keeps and writes the records of begun streams, who is asked for them.

One hub alone wrote them, and only the store was asked, so that a hub which could not
reach the store, or had been restarted, kept all others from knowing where streams had
begun (LOST).
"""

from __future__ import annotations

import asyncio
import contextlib
import signal

import gateway_parts as parts
import msgspec
import power_parts as power
import pytest
from attrs import evolve
from soak_parts import Proxy
from test_gateway_software_versions import (
    Stream,
    add,
    begin,
    joined,
    take_up,
    two_versions,
)

from flamingopond_core.exceptions import OutcomeUnknownError, PlatformError
from flamingopond_gateway.exchange.stream_origins import UnknownOriginError
from flamingopond_gateway.exchange.stream_records import (
    MAX_ROW_RECORDS,
    STREAMS_TABLE,
    StreamOrigin,
    decode_records,
    encode_keys,
    find_origins,
    stream_key,
)
from flamingopond_gateway.messages import BegunStreams, StreamsBegun, StreamsStored
from flamingopond_gateway.store.storage import Change, make_version

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


def reported(link, now, reports=8):
    """Return the keys of the records in the next reports."""
    groups = [group for _ in range(reports) for group in link.next_report(now)]
    return {key for key, _ in decode_records(groups)}


# Guards LOST: records were reported right after a stream's begin and never again, so
# that a hub which had been restarted didn't have those of streams that went on.
@pytest.mark.parametrize(
    ("changes", "again"),
    [
        pytest.param([], False, id="no change"),
        pytest.param([("gw-1", 2)], True, id="first hub restarted"),
        pytest.param([("gw-2", 2)], True, id="second hub restarted"),
        pytest.param([("gw-4", 2)], False, id="another gateway restarted"),
        pytest.param([("gw-0", 2)], True, id="another hub"),
    ],
)
@pytest.mark.parametrize("node", ["gw-2", "gw-3"], ids=["hub", "no hub"])
async def test_new_hub_is_told_all_records(node, changes, again):
    store = parts.VersionedStore()
    nodes = ["gw-1", "gw-2", "gw-3", "gw-4"]
    fleet = Links(nodes, dict.fromkeys(nodes, store))
    link = fleet.links[node]
    link.collect([begun(1, 2)], fleet.now)
    link.next_report(fleet.now)
    reported(link, fleet.now)
    assert reported(link, fleet.now) == set()
    for name, registration_version in changes:
        if name != node:
            link.members.add(name, ("127.0.0.1", 7000), registration_version, 1000)
            link.members.note_hub_summary(name, fleet.now)
    expected = {1, 2} if again and dict(changes).keys() - {node} else set()
    assert reported(link, fleet.now) == expected
    assert reported(link, fleet.now) == set()


# Guards LOST: only the last two rows were written again to a store that had come back
# from an older copy.
async def test_all_records_are_written_again_to_a_restored_store():
    store = parts.VersionedStore()
    fleet = Links(["gw-1"], {"gw-1": store})
    link = fleet.links["gw-1"]
    keys = range(3 * MAX_ROW_RECORDS + 5)
    async with fleet.running("gw-1"):
        link.collect([begun(*keys)], fleet.now)
        await asyncio.sleep(1.5)
        assert len(store.of(STREAMS_TABLE)) == 4
        store.rows.clear()
        link.store_era.note(make_version(1, 1), fleet.now)
        await asyncio.sleep(1.5)
    rows = store.of(STREAMS_TABLE)
    assert all(find_origins(rows, key) == {V1} for key in keys[::100])


# Guards LOST: only the store was asked for the origin of a stream, so that it was
# unknown before a release had begun, and while the store could not be reached. Which
# hubs know the stream, which reply, whether the store has it, and the reads of it.
@pytest.mark.parametrize(
    ("knowing", "replying", "stored", "found", "reads"),
    [
        pytest.param(HUBS, HUBS, False, {V1}, 0, id="both hubs know"),
        pytest.param(HUBS[1:], HUBS, False, {V1}, 0, id="second hub knows"),
        pytest.param(HUBS[1:], HUBS[1:], False, {V1}, 0, id="first hub is silent"),
        pytest.param((), HUBS, True, {V1}, 1, id="store knows"),
        pytest.param((), (), True, {V1}, 1, id="hubs are silent"),
        pytest.param((), HUBS, False, set(), 2, id="nobody knows"),
    ],
)
async def test_take_up_asks_hubs_and_store(knowing, replying, stored, found, reads):
    store = parts.VersionedStore()
    nodes = ["gw-1", "gw-2", "gw-3"]
    fleet = Links(nodes, dict.fromkeys(nodes, store))
    asking = fleet.links["gw-3"]
    key = stream_key(None, "begun")
    for node in knowing:
        fleet.links[node].collect([begun(key)], fleet.now)
    if stored:
        value = msgspec.msgpack.encode([begun(key)])
        store.apply([Change(STREAMS_TABLE, "", "gw-9/0-00", value)])

    def deliver(message, addresses):
        for _, port in addresses:
            hub = fleet.links[nodes[port - 7000]]
            if hub.settings.node in replying:
                hub.search.handle_sought(message, ("127.0.0.1", 0))

    asking.send = deliver
    for node in HUBS:
        fleet.links[node].send = lambda message, _: asking.search.handle_found(message)
    ticket = parts.ticket("again", last_event_id=3, resumes="begun")
    try:
        origins = {await asking.origins.find(ticket)}
    except UnknownOriginError:
        origins = set()
    assert origins == found
    assert store.count("read", STREAMS_TABLE) == reads


@pytest.mark.processes
@pytest.mark.parametrize("stopped", [(0,), (1,), (0, 1)], ids=["1", "2", "1 and 2"])
async def test_take_ups_go_on_after_hubs_were_restarted(tmp_path, stopped):
    """Guards LOST: a release began after a planned stop of the hubs, in turn."""
    async with two_versions(tmp_path, ("1", "1"), gateways=4) as running:
        others = running.gateways[2:]
        streams = [Stream(f"s{number}", []) for number in range(12)]
        await asyncio.gather(*(stream.ask(others[0], 5) for stream in streams))
        for number in stopped:
            gateway = running.gateways[number]
            gateway.process.send_signal(signal.SIGTERM)
            await gateway.ended()
            gateway.first_start = False
            await running.start([gateway])
            await asyncio.sleep(1.5)
        await add(running, "n-0", "2")
        await asyncio.sleep(1.0)
        await asyncio.gather(*(stream.ask(others[1], 3) for stream in streams))
    assert joined(streams) == []
    went_on = [stream for stream in streams if len(stream.versions) == 5 + 3]
    assert len(went_on) >= len(streams) / 2


@pytest.mark.processes
async def test_take_ups_go_on_while_the_store_is_away(tmp_path):
    """Guards LOST: in a release all were refused until the store was back."""
    async with two_versions(tmp_path) as running:
        streams = await begin(running)
        await asyncio.sleep(0.5)
        running.store.state = "refusing"
        running.store.changed.set()
        await take_up(running, streams)
    assert joined(streams) == []
    went_on = [stream for stream in streams if len(stream.versions) == 5 + 3]
    assert len(went_on) >= len(streams) / 2


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
