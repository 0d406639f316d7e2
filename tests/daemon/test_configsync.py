"""Tests that changes are accepted once, reach every node and are never undone."""

import anyio
import pytest
from config_fakes import Fleet, contract, key

from flamingopond_core.enums import ObjectKind
from flamingopond_core.exceptions import InvalidInputError, PlatformUnavailableError
from flamingopond_core.keys import digest_of
from flamingopond_core.objects import Change
from flamingopond_daemon import configuration_log

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_log, "_SETTLE_RETRY_S", 0.0)


@pytest.mark.parametrize(
    "fault", ["", "lost reply", "lost request", "delayed", "delayed twice"]
)
async def test_a_lost_reply_leads_to_exactly_one_revision(fault: str) -> None:
    """Guards against a change lost or accepted twice after a lost reply (F6)."""
    fleet = Fleet()
    (a, b) = await fleet.start("a", "b")
    fleet.table.faults = ["delayed"] * 2 if fault == "delayed twice" else [fault]
    result = await a.propose([contract(5)], 0, "op", "o1")
    fleet.table.deliver()
    assert result.change_set is not None
    assert (result.revision, fleet.table.commits) == (1, 1)
    again = await b.propose([contract(5)], 0, "op", "o1")
    assert (again.revision, again.change_set) == (1, result.change_set)
    assert fleet.table.commits == 1
    assert await b.find_operation("o1") == 1
    assert await b.find_operation("o2") is None
    with pytest.raises(InvalidInputError, match="used before for other changes"):
        await b.propose([contract(6)], 1, "op", "o1")


async def test_an_unsettled_proposal_is_reported_as_unknown(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reporting success or failure when the outcome is unknown."""
    fleet = Fleet()
    (a,) = await fleet.start("a")
    monkeypatch.setattr(configuration_log, "SETTLE_TIMEOUT_S", -1.0)
    fleet.table.faults = ["lost reply, then down"]
    result = await a.propose([contract(5)], 0, "op", "o1")
    assert result.outcome_unknown
    assert a.configuration.revision == 0
    fleet.table.down = False
    assert await a.find_operation("o1") == 1
    await a.poll()
    assert a.configuration.contracts["w"].rate == 5


@pytest.mark.parametrize("race", ["before", "during"])
async def test_concurrent_operators_get_both_changes(race: str) -> None:
    """Guards against one operator overwriting another's racing change (F8)."""
    fleet = Fleet()
    (a, b) = await fleet.start("a", "b")
    other = [contract(7), contract(1, "unrelated")]

    async def commit_first() -> None:
        await b.propose(other, 0, "other", "o2")
        await b.propose([contract(2, "unrelated")], 1, "other", "o3")

    if race == "before":
        await commit_first()
    else:
        fleet.table.before_commit = [commit_first]
    result = await a.propose([contract(5)], 0, "op", "o1")
    assert result.change_set is None
    assert (result.base_revision, result.revision) == (0, 2)
    assert [c.operation_id for c in result.conflicts] == ["o2"]
    assert a.configuration.contracts["w"].rate == 7


async def test_invalid_changes_and_minority_nodes_change_nothing() -> None:
    """Guards against accepting a change that other nodes cannot receive or apply."""
    fleet = Fleet()
    (a,) = await fleet.start("a")
    with pytest.raises(InvalidInputError) as caught:
        await a.propose([key("k", "x"), contract(-1)], 0, "op", "o1")
    assert len(caught.value.findings) == 2
    with pytest.raises(InvalidInputError, match="later than"):
        await a.propose([contract(1)], 4, "op", "o1")
    fleet.clusters["a"].majority = False
    with pytest.raises(PlatformUnavailableError, match="majority"):
        await a.propose([contract(1)], 0, "op", "o1")
    assert fleet.table.commits == 0


async def test_push_poll_and_gossip_each_suffice() -> None:
    """Guards against a distribution channel that works only along with the others."""
    fleet = Fleet()
    (a, b, c) = await fleet.start("a", "b", "c")
    touched: list[object] = []
    b.subscribe(touched.append)
    result = await a.propose([contract(5)], 0, "op", "o1")
    assert result.change_set is not None
    assert not a.in_force(1)
    fleet.clusters["c"].cut_off = True
    await a.push(result.change_set)
    assert (b.configuration.revision, c.configuration.revision) == (1, 0)
    assert touched == [frozenset({(ObjectKind.CONTRACT, "w")})]
    assert await a.wait_in_force(1, 0.0)
    await c.poll()
    assert c.configuration.revision == 1
    fleet.now += 4.0
    await b.propose([contract(6)], 1, "op", "o2")
    fleet.clusters["c"].cut_off = False
    fleet.gossip("b", "c")
    assert not c.is_fresh(fleet.now)
    assert await c.fetch("b")
    assert c.is_fresh(fleet.now)
    assert c.configuration.contracts["w"].rate == 6


async def test_a_push_with_a_gap_waits_for_the_rest() -> None:
    """Guards against applying revision 2 on top of revision 0."""
    fleet = Fleet()
    (a, b) = await fleet.start("a", "b")
    await a.propose([contract(5)], 0, "op", "o1")
    second = await a.propose([contract(6)], 1, "op", "o2")
    assert second.change_set is not None
    await a.push(second.change_set)
    assert b.configuration.revision == 0
    assert not a.in_force(2)
    await b.fetch("a")
    assert b.configuration.revision == 2


async def test_running_nodes_catch_up_without_the_table() -> None:
    """Guards against a table outage that stops distribution (F5)."""
    fleet = Fleet()
    (a, b) = (fleet.add("a"), fleet.add("b"))
    async with anyio.create_task_group() as tasks:
        with anyio.fail_after(20):
            assert await a.start()
            assert await b.start()
            tasks.start_soon(b._fetch_forever)
            for revision in range(3):
                await a.propose([contract(revision + 1)], revision, "op", f"{revision}")
            fleet.table.down = True
            fleet.gossip("a", "b")
            while b.configuration.revision < 3:
                await anyio.sleep(0)
        tasks.cancel_scope.cancel()


# Failure: a peer whose name comes first got the calls of all nodes that lagged behind.
# A large configuration cannot be sent to all of them within the limit of a call.
async def test_lagging_nodes_do_not_all_fetch_from_the_same_peer() -> None:
    """Guards against one peer whose link must carry a change to the whole fleet."""
    fleet = Fleet()
    sources = [f"a{number}" for number in range(8)]
    lagging = [f"b{number}" for number in range(16)]
    syncs = await fleet.start(*sources, *lagging)
    for name in lagging:
        fleet.clusters[name].cut_off = True
    change_set = (await syncs[0].propose([contract(5)], 0, "op", "o1")).change_set
    assert change_set is not None
    await syncs[0].push(change_set)
    fleet.table.down = True
    for cluster in fleet.clusters.values():
        cluster.cut_off = False
        cluster.called_by.clear()
    async with anyio.create_task_group() as tasks:
        for name in lagging:
            for source in sources:
                fleet.gossip(source, name)
            tasks.start_soon(fleet.syncs[name].run)
        with anyio.fail_after(10):
            while any(sync.configuration.revision < 1 for sync in syncs):
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    calls = {name: len(cluster.called_by) for name, cluster in fleet.clusters.items()}
    assert sum(calls.values()) == len(lagging)
    assert max(calls.values()) <= len(lagging) / 2


async def test_restart_with_the_table_down_takes_the_highest_peer() -> None:
    """Guards against an empty or stale restart (F3) during a table outage (F5)."""
    fleet = Fleet()
    (a, b) = await fleet.start("a", "b")
    for revision in range(3):
        await a.propose([contract(revision + 1)], revision, "op", f"{revision}")
        if revision == 1:
            await b.poll()
    fleet.table.down = True
    c = fleet.add("c")
    assert await c.start()
    assert c.configuration.revision == 3
    assert not c.may_serve(fleet.now)
    fleet.clusters["c"].outage = True
    assert c.may_serve(fleet.now)
    # A peer without a configuration must not count as a source.
    d = fleet.add("d")
    for name in "abc":
        fleet.clusters[name].cut_off = True
    fleet.add("e")
    assert not await d.start()
    assert not d.ready


@pytest.mark.parametrize("objects_down", [False, True])
async def test_start_from_snapshot_or_log(objects_down: bool) -> None:
    """Guards against a start that fails when a snapshot is missing."""
    fleet = Fleet()
    (a,) = await fleet.start("a")
    for revision in range(260):
        await a.propose([contract(revision + 1)], revision, "op", f"{revision}")
    fleet.objects.down = objects_down
    await a._snapshots.write_pending()
    assert bool(fleet.objects.data) != objects_down
    fleet.clusters["a"].cut_off = True
    (b,) = await fleet.start("b")
    assert b.configuration.revision == 260
    assert b.is_fresh(fleet.now)
    assert (len(b._feed.recent) == 4) != objects_down
    assert [c.revision for c in await b.history(10, 3)] == [11, 12, 13]


async def test_isolation_and_pause() -> None:
    """Guards against a withdrawn key that works on an isolated or paused node."""
    fleet = Fleet()
    (a, b) = await fleet.start("a", "b")
    grant = [contract(5), key("k", digest_of("secret"))]
    await a.propose(grant, 0, "op", "o1")
    await b.poll()
    fleet.now += 2.0
    assert b.is_fresh(fleet.now)
    fleet.now += 2.0
    assert not b.is_fresh(fleet.now)
    assert b.may_serve(fleet.now)
    await a.propose([Change(ObjectKind.KEY, "k")], 1, "op", "o2")
    # The node was paused; after that it must use the current time.
    fleet.now += 60.0
    assert not b.may_serve(fleet.now)
    # Gossip about a revision that it lacks must not make it serve again.
    await a.poll()
    fleet.gossip("a", "b")
    assert not b.may_serve(fleet.now)
    await b.fetch("a")
    assert b.may_serve(fleet.now)
    assert b.configuration.authenticate("secret") is None


async def test_gossip_confirms_without_reading_the_table() -> None:
    """Guards against isolation of a node that only cannot reach the table."""
    fleet = Fleet()
    (a, b) = await fleet.start("a", "b")
    fleet.now += 10.0
    await a.poll()
    fleet.now += 2.5
    fleet.gossip("a", "b")
    assert b.is_fresh(fleet.now)
    fleet.now += 1.0
    assert not b.is_fresh(fleet.now)


async def test_a_majority_is_one_of_the_roster() -> None:
    """Guards against "in force" on the minority side of a network partition."""
    fleet = Fleet()
    (a, _, c, d, e) = await fleet.start(*"abcde")
    for name in "cde":
        fleet.clusters[name].cut_off = True
    result = await a.propose([contract(5)], 0, "op", "o1")
    assert result.change_set is not None
    await a.push(result.change_set)
    assert not a.in_force(1)
    fleet.clusters["c"].cut_off = False
    await a.push(result.change_set)
    assert a.in_force(1)
    assert [n.configuration.revision for n in (c, d, e)] == [1, 0, 0]


async def test_an_unusable_change_stops_the_node_at_its_revision() -> None:
    """Guards against a poll that raises, or skips a revision it cannot apply."""
    fleet = Fleet()
    (a, b) = await fleet.start("a", "b")
    result = await a.propose([contract(5)], 0, "op", "o1")
    assert result.change_set is not None
    row = fleet.table.rows["config/log/000000000001"]
    assert row.value is not None
    bad = row.value.replace(b'"rate":5', b'"rate":-5')
    assert bad != row.value
    fleet.table.rows[row.key] = type(row)(row.key, bad, row.version)
    fleet.now += 20.0
    assert not await b.poll()
    assert b.configuration.revision == 0
    assert not b.may_serve(fleet.now)
