"""Take-ups at a gateway that has missed a software version of the targets.

A version that was listed and gone while a gateway stood still, or was cut off, left no
trace in its list, so that it took the remaining version for the only one (ORDER).
"""

from __future__ import annotations

import asyncio
import signal

import gateway_parts as parts
import msgspec
import power_parts as power
import pytest
from attrs import define, evolve, field
from test_gateway_software_versions import Stream, add, joined, two_versions

from flamingopond_core.exceptions import PlatformError
from flamingopond_gateway.exchange.stream_origins import UnknownOriginError
from flamingopond_gateway.messages import BegunStreams, ServiceVersions
from flamingopond_gateway.store.continuity import MAX_GAP_S, ListContinuity
from flamingopond_gateway.store.software_history import (
    SOFTWARE_TABLE,
    ServiceHistory,
    SoftwareHistory,
    VersionSpan,
)
from flamingopond_gateway.store.storage import Change, Row, Rows

pytestmark = pytest.mark.anyio

SERVICE = "log-models"
WINDOW_MS = 60_000.0
LONG_GAP_S = 4 * MAX_GAP_S


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards ORDER: what was listed within a gap isn't known, also after it. Steps are times
# of contact, and ("read", start of a read of the others' history).
@pytest.mark.parametrize(
    ("steps", "now", "unbroken", "known_until"),
    [
        ([], 1.0, False, float("-inf")),
        ([1.0], 1.5, True, 1.5),
        ([1.0, 1.9, 2.8], 3.0, True, 3.0),
        ([1.0], 1.1 + MAX_GAP_S, False, 1.0),
        ([1.0, 5.0], 5.0, False, 1.0),
        ([1.0, 5.0, 5.5, 6.0], 6.0, False, 1.0),
        ([1.0, 5.0, ("read", 5.1)], 5.2, True, 5.2),
        ([1.0, 5.0, ("read", 5.1), 5.3], 5.4, True, 5.4),
        # The first contact after the read comes too late.
        ([("read", 1.0), 1.5], 1.6, True, 1.6),
        ([("read", 1.0), 3.5], 3.6, False, 1.0),
    ],
)
def test_gaps_in_what_has_been_heard(steps, now, unbroken, known_until):
    continuity = ListContinuity()
    for step in steps:
        if isinstance(step, tuple):
            continuity.close(step[1])
        else:
            continuity.note_followed(step)
    assert continuity.unbroken(now) is unbroken
    assert continuity.known_until(now) == known_until


def stored(known_since_ms, **versions):
    spans = {name[1:]: VersionSpan(*times) for name, times in versions.items()}
    value = msgspec.json.encode(ServiceHistory(known_since_ms, spans))
    return Row(SOFTWARE_TABLE, "", SERVICE, value, 7)


# Guards ORDER: what each of two gateways knows is added up. This one has listed version
# 1 from 1 s to 20 s, and again from 30 s on.
@pytest.mark.parametrize(
    ("rows", "sole"),
    [
        pytest.param([stored(0.0, v1=(1e3, None))], "1", id="nothing new"),
        pytest.param(
            [stored(0.0, v1=(1e3, None), v2=(21e3, 25e3))], None, id="came and went"
        ),
        pytest.param(
            [stored(0.0, v1=(1e3, None), v2=(21e3, None))], None, id="end not written"
        ),
        pytest.param([stored(0.0, v1=(1e3, 25e3))], "1", id="outdated row"),
        # Whoever wrote it didn't see all of the gap either.
        pytest.param(
            [stored(25e3, v1=(25e3, None))], None, id="writer began in the gap"
        ),
        pytest.param([], None, id="no row"),
    ],
)
def test_history_of_a_gap_is_that_of_the_others(rows, sole):
    made = SoftwareHistory(first_start=True)
    made.note_present({SERVICE: ["1"]}, 1e3, WINDOW_MS)
    made.merge(rows, known_until_ms=20e3, now_ms=30e3)
    made.note_present({SERVICE: ["1"]}, 31e3, WINDOW_MS)
    assert made.sole_version(SERVICE, 32e3, WINDOW_MS) == sole
    # All of it has ended, and nothing else has been seen since.
    assert made.sole_version(SERVICE, 95e3, WINDOW_MS) == "1"


@define
class Clocks:
    """The time since boot; ``jump_s`` is that of a suspension."""

    jump_s: float = 0.0

    def boot(self):
        return asyncio.get_running_loop().time() + self.jump_s


@define(eq=False)
class Machine:
    """A gateway that lists version 1; version 2 came and went unseen."""

    store: parts.VersionedStore = field(factory=parts.VersionedStore)
    clocks: Clocks = field(factory=Clocks)
    contact: bool = True
    link: object = None

    def start(self):
        now = asyncio.get_running_loop().time()
        target = parts.target("e1", ("m0",), software="1")
        self.link = parts.stream_link(
            self.store,
            parts.roster(target),
            parts.configuration(routes=[parts.route()]),
            now,
            in_contact=lambda now: self.contact,
            boot_clock=self.clocks.boot,
        )
        self.link.history.first_start = True
        self.link.restore_history(Rows((), 1), self.clocks.boot())
        self.link.review_versions(now)
        row = stored(0.0, v1=(1.0, None), v2=(1000 * now, 1000 * now + 1))
        self.store.rows[SOFTWARE_TABLE, SERVICE] = row
        return now


# Guards ORDER: a machine that had stood still, was suspended or cut from the others
# went on with streams of the version that it had missed at the remaining one.
@pytest.mark.parametrize(
    ("gap_s", "contact", "error", "version", "reads"),
    [
        pytest.param(0.0, True, None, "1", 0, id="no gap"),
        pytest.param(LONG_GAP_S, True, None, None, 1, id="suspended"),
        pytest.param(LONG_GAP_S, False, None, None, 1, id="cut from the others"),
        pytest.param(
            LONG_GAP_S, True, PlatformError("mute"), None, 1, id="store doesn't answer"
        ),
    ],
)
async def test_only_version_is_unknown_after_a_gap(
    gap_s, contact, error, version, reads
):
    machine = Machine()
    now = machine.start()
    machine.clocks.jump_s = gap_s
    machine.contact = contact
    machine.store.error = error
    if contact:
        machine.link.review_versions(now)
    ticket = parts.ticket("again", last_event_id=3, resumes="begun")
    if version is None:
        with pytest.raises(UnknownOriginError):
            await machine.link.origins.find(ticket)
    else:
        assert (await machine.link.origins.find(ticket)).software == version
    assert machine.store.count("read", SOFTWARE_TABLE) == reads


# Guards LOST: after a gap in which nothing happened, streams go on as before, and one
# read is enough.
async def test_gap_is_closed_by_one_read():
    machine = Machine()
    now = machine.start()
    machine.store.rows[SOFTWARE_TABLE, SERVICE] = stored(0.0, v1=(1.0, None))
    machine.clocks.jump_s = LONG_GAP_S
    machine.link.review_versions(now)
    running = asyncio.create_task(machine.link.run())
    await asyncio.sleep(0.5)
    running.cancel()
    for number in range(3):
        ticket = parts.ticket(f"again-{number}", last_event_id=3, resumes="begun")
        assert (await machine.link.origins.find(ticket)).software == "1"
    assert machine.store.count("read", SOFTWARE_TABLE) == 1


# Guards ORDER: a version that only some gateways have seen, as it was listed for a
# moment, is named by the hubs as long as its streams may go on.
@pytest.mark.parametrize(
    ("seen_ago_ms", "sole"),
    [
        ({"1": 0}, "1"),
        ({"1": 0, "2": 300}, None),
        ({"1": 0, "2": 59_000}, None),
        ({"1": 0, "2": 61_000}, "1"),
    ],
)
async def test_versions_that_a_hub_names_are_known(seen_ago_ms, sole):
    machine = Machine()
    now = machine.start()
    now_ms = machine.link.store_clock.at(now)
    seen = {version: int(now_ms - ago) for version, ago in seen_ago_ms.items()}
    machine.link.note_versions([ServiceVersions(SERVICE, seen)])
    assert machine.link.origins.sole_version(SERVICE, now) == sole


# Guards LOST: hubs that repeat each other's news kept a version for ever, so that
# take-ups needed records long after a release.
async def test_version_that_hubs_name_to_each_other_is_forgotten():
    machines = [Machine(), Machine()]
    now = machines[0].start()
    machines[1].start()
    link, other = (machine.link for machine in machines)
    link.collect([BegunStreams(SERVICE, "2", bytes(8))], now)
    for period in range(1, 1200):
        at = now + 0.06 * period
        other.note_versions(link.shared_versions(at))
        link.note_versions(other.shared_versions(at + 0.03))
    assert link.origins.sole_version(SERVICE, now + 62.0) == "1"
    assert other.origins.sole_version(SERVICE, now + 62.0) == "1"


# Guards ORDER: a hub that has seen one version hears of another one by the reports of
# streams that have begun there.
@pytest.mark.parametrize(("software", "shared"), [("1", []), ("2", ["1", "2"])])
async def test_hub_names_the_versions_of_reported_streams(software, shared):
    machine = Machine()
    now = machine.start()
    machine.link.collect([BegunStreams(SERVICE, software, bytes(8))], now)
    named = machine.link.shared_versions(now)
    assert [sorted(found.seen_ms) for found in named] == ([shared] if shared else [])


# Guards ORDER: a writer that has not seen a version replaced the row that named it,
# also by a write that the store carried out late.
@pytest.mark.parametrize("late", [False, True])
async def test_written_history_keeps_what_others_have_seen(late):
    store = parts.VersionedStore()
    now = asyncio.get_running_loop().time()
    configuration = parts.configuration(routes=[parts.route()])
    targets = {name: parts.target(f"e{name}", ("m0",), software=name) for name in "12"}
    links = [
        parts.stream_link(store, parts.roster(*listed), configuration, now, node)
        for node, listed in (("gw-1", [targets["1"]]), ("gw-2", targets.values()))
    ]
    for link in links:
        link.history.first_start = True
        link.restore_history(Rows((), 1), 0.0)
        link.review_versions(now)
    held = []
    if late:
        for service, value in links[0].history.unstored_rows().items():
            held.append(Change(SOFTWARE_TABLE, "", service, value, 0))
    for link in reversed(links):
        writing = asyncio.create_task(link.run())
        await asyncio.sleep(0.5)
        writing.cancel()
        if late:
            with pytest.raises(PlatformError):
                store.apply(held)
    (row,) = store.of(SOFTWARE_TABLE)
    found = msgspec.json.decode(row.value, type=ServiceHistory)
    assert sorted(found.versions) == ["1", "2"]
    assert links[0].origins.sole_version(SERVICE, now) is None


# Guards LOST: as two hubs write their first rows, the one that comes second reads the
# table; services whose rows are not there yet counted as unknown from then on.
async def test_conflict_without_a_gap_forgets_nothing():
    machine = Machine()
    now = machine.start()
    machine.store.rows.clear()
    machine.link.review_versions(now)
    row = evolve(stored(0.0, v1=(1.0, None)), key="other")
    machine.store.rows[SOFTWARE_TABLE, "other"] = row
    await machine.link._read_history()
    assert machine.link.origins.sole_version(SERVICE, now) == "1"


@pytest.mark.processes
async def test_streams_at_a_machine_that_stood_still_are_not_joined(tmp_path):
    """Guards ORDER: a version was listed and gone while the machine was frozen."""
    async with two_versions(tmp_path, ("1", "1"), gateways=4) as running:
        awake, frozen = running.gateways[:3], running.gateways[3]
        await asyncio.sleep(1.0)
        frozen.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(0.3)
            target = await add(running, "n-0", "2")
            await asyncio.sleep(0.7)
            streams = [Stream(f"s{number}", []) for number in range(18)]
            await asyncio.gather(
                *(
                    stream.ask(awake[number % 3], 5)
                    for number, stream in enumerate(streams)
                )
            )
            running.store.remove("servers", target.id)
            await asyncio.sleep(1.5)
        finally:
            frozen.process.send_signal(signal.SIGCONT)
        await power.wait_until(frozen.ready)
        await asyncio.sleep(1.0)
        assert any(stream.versions[0] == "2" for stream in streams)
        await asyncio.gather(*(stream.ask(frozen, 3) for stream in streams))
    assert joined(streams) == []
    # Those of the version that still serves go on.
    assert all(
        len(stream.versions) == 8 for stream in streams if stream.versions[0] == "1"
    )
