"""Take-ups of streams at a gateway that is out of step with the others."""

from __future__ import annotations

import asyncio

import gateway_parts as parts
import pytest
from attrs import define

from flamingopond_core.exceptions import PlatformError
from flamingopond_gateway.exchange.contact import FleetContact
from flamingopond_gateway.exchange.stream_origins import (
    StreamOrigins,
    UnknownOriginError,
)
from flamingopond_gateway.exchange.stream_records import (
    STREAMS_TABLE,
    RecordLog,
    StreamOrigin,
    encode_keys,
    find_origins,
    stream_key,
)
from flamingopond_gateway.messages import BegunStreams
from flamingopond_gateway.store.shared_read import MIN_READ_INTERVAL_S, SharedRead
from flamingopond_gateway.store.software_history import SoftwareHistory
from flamingopond_gateway.store.storage import Row, Rows

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


@define
class Fleet:
    """What the store knows, and whether this gateway is in step with the others."""

    in_step: bool
    store_answers: bool
    listed: tuple[str, ...]
    reads: int = 0

    def origins(self):
        """Return the origins of a gateway that knows of version 1 only."""
        history = SoftwareHistory(first_start=True)
        history.note_present({"log-models": ["1"]}, 1.0, 60000.0)

        async def confirm(now):
            if self.in_step:
                return
            await self._call()
            history.note_present({"log-models": self.listed}, 2.0, 60000.0)

        return StreamOrigins(
            history,
            lambda now: 1000 * now,
            lambda: 60.0,
            self._records,
            confirm,
            parts.are_current,
        )

    async def _call(self):
        self.reads += 1
        if not self.store_answers:
            raise PlatformError("no response in time")

    async def _records(self):
        await self._call()
        log = RecordLog()
        log.choose_ring({})
        keys = encode_keys([stream_key(None, "begun")])
        log.add([BegunStreams("log-models", "2", keys)], 0.0)
        key, value = log.next_row(60.0, 0.0)
        return (Row("streams", "", key, value, 1),)


def take_up():
    return parts.ticket("again", last_event_id=3, resumes="begun")


# Guards ORDER: a gateway that had heard neither the others nor the store answered from
# its own list of targets, whatever its age, and went on at another version. In step,
# whether the store answers, what it lists, and the version of the stream, if known.
@pytest.mark.parametrize(
    ("in_step", "store_answers", "listed", "version", "reads"),
    [
        pytest.param(True, False, ("1",), "1", 0, id="in step"),
        pytest.param(False, True, ("1", "2"), "2", 2, id="new version at the store"),
        pytest.param(False, True, ("2",), "2", 1, id="only the new version is left"),
        pytest.param(False, True, ("1",), "1", 1, id="nothing new"),
        pytest.param(False, False, ("1", "2"), None, 1, id="cut off"),
    ],
)
async def test_origin_of_a_stream_rests_on_a_current_list(
    in_step, store_answers, listed, version, reads
):
    fleet = Fleet(in_step, store_answers, listed)
    origins = fleet.origins()
    if version is None:
        with pytest.raises(UnknownOriginError):
            await origins.find(take_up())
    else:
        assert (await origins.find(take_up())).software == version
    assert fleet.reads == reads


# Guards against a read for each of many callers that come back together.
async def test_requests_share_a_read():
    reads = 0

    async def read():
        nonlocal reads
        reads += 1
        await asyncio.sleep(0.01)
        return reads

    shared = SharedRead(read)
    now = asyncio.get_running_loop().time()
    results = await asyncio.gather(*(shared.get(now) for _ in range(50)))
    assert set(results) == {1}
    assert await shared.get(now + MIN_READ_INTERVAL_S / 2) == 2


# Guards against callers that wait for as many reads, one after the other, as there are
# callers, while the store doesn't answer.
async def test_requests_share_a_read_that_fails():
    reads = 0

    async def read():
        nonlocal reads
        reads += 1
        await asyncio.sleep(0.05)
        raise PlatformError("no response in time")

    shared = SharedRead(read)
    loop = asyncio.get_running_loop()
    now = loop.time()
    results = await asyncio.gather(
        *(shared.get(now) for _ in range(50)), return_exceptions=True
    )
    assert all(isinstance(result, PlatformError) for result in results)
    assert reads == 1
    assert loop.time() - now < 1.0
    with pytest.raises(PlatformError):
        await shared.get(loop.time())
    assert reads == 2


# Guards against contact that is taken for granted after the last hub was heard.
@pytest.mark.parametrize(
    ("heard_at", "now", "recent"), [(5.0, 5.4, True), (5.0, 5.6, False)]
)
def test_contact_with_the_fleet_ages(heard_at, now, recent):
    contact = FleetContact()
    assert not contact.heard_within(0.5, heard_at)
    contact.record(heard_at)
    assert contact.heard_within(0.5, now) is recent


# Guards LOST: streams that had begun before a second version served were reported only
# afterwards, so that those of a gateway that was suspended just then had no record.
async def test_streams_begun_before_a_second_version_are_stored_once_it_serves():
    now = asyncio.get_running_loop().time()
    targets = [
        parts.target(f"e{version}", ("m0",), software=version) for version in "12"
    ]
    configuration = parts.configuration(routes=[parts.route()])
    store = Store()
    begun_at = parts.stream_link(store, parts.roster(targets[0]), configuration, now)
    begun_at.review_versions(now)
    ticket = parts.ticket("begun", at=now)
    begun_at.origins.record(ticket, "1", now)
    hub = parts.stream_link(store, parts.roster(targets[0]), configuration, now)
    hub.review_versions(now)
    hub.collect(begun_at.next_report(now), now)
    writing = asyncio.create_task(hub.run())
    await asyncio.sleep(0.6)
    assert not store.streams()
    hub.roster = parts.roster(*targets)
    hub.review_versions(now)
    await asyncio.sleep(0.6)
    writing.cancel()
    key = stream_key(None, "begun")
    assert find_origins(store.streams(), key) == {StreamOrigin("log-models", "1")}


class Store:
    """Keeps the rows that are written."""

    def __init__(self):
        self.rows = []

    async def read(self, table, timeout_s, part=""):
        return Rows(tuple(row for row in self.rows if row.table == table), 1)

    async def write(self, changes, timeout_s):
        self.rows += [Row(c.table, c.part, c.key, c.value, 1) for c in changes]
        return 1

    def streams(self):
        return [row for row in self.rows if row.table == STREAMS_TABLE]
