"""Daemons that all lose power at the same moment; the platform keeps what it has.

Table and object store are fakes that keep their rows and objects; the nodes that
start afterwards know nothing else.
"""

from __future__ import annotations

import contextlib

import anyio
import attrs
import config_fakes
import pytest
import test_calls

from flamingopond_core.enums import ObjectKind
from flamingopond_core.exceptions import PlatformUnavailableError
from flamingopond_core.keys import digest_of
from flamingopond_core.objects import Change
from flamingopond_core.revisions import SNAPSHOT_INTERVAL

# Moments around the commit of a revision with a snapshot.
CONFIGURATION_MOMENTS = [
    "reply to the commit lost",
    "row written, snapshot not",
    "snapshot torn",
    "snapshot written",
    "two more revisions",
]


@pytest.mark.anyio
@pytest.mark.parametrize("moment", CONFIGURATION_MOMENTS)
async def test_accepted_changes_stand(moment) -> None:
    """Guards against a withdrawn key or an old rate after all daemons lost power."""
    fleet = config_fakes.Fleet()
    (a, _) = await fleet.start("a", "b")
    await a.propose(
        [config_fakes.contract(1), config_fakes.key("k", digest_of("secret"))],
        0,
        "op",
        "",
    )
    for revision in range(1, SNAPSHOT_INTERVAL - 1):
        await a.propose(
            [config_fakes.contract(revision)], revision, "op", f"{revision}"
        )
    withdrawal = [Change(ObjectKind.KEY, "k", None), config_fakes.contract(7)]
    if moment == "reply to the commit lost":
        fleet.table.faults = ["lost reply"]
    result = await a.propose(withdrawal, SNAPSHOT_INTERVAL - 1, "op", "withdrawal")
    assert result.revision == SNAPSHOT_INTERVAL
    if moment not in ("reply to the commit lost", "row written, snapshot not"):
        await a._snapshots.write_pending()
        (name,) = fleet.objects.data
        if moment == "snapshot torn":
            fleet.objects.data[name] = fleet.objects.data[name][:100]
    last = SNAPSHOT_INTERVAL
    if moment == "two more revisions":
        for revision in (last, last + 1):
            await a.propose(
                [config_fakes.contract(revision)], revision, "op", f"{revision}"
            )
        last += 2

    fleet.clusters.clear()
    for node in await fleet.start("a", "b"):
        assert node.ready
        assert node.configuration.revision == last
        assert "k" not in node.configuration.keys
        rate = 7 if last == SNAPSHOT_INTERVAL else last - 1
        assert node.configuration.contracts["w"].rate == rate
        assert await node.find_operation("withdrawal") == SNAPSHOT_INTERVAL
    # The history goes on from there, and an operator's repeated change has no effect.
    again = await fleet.syncs["b"].propose(
        withdrawal, SNAPSHOT_INTERVAL - 1, "op", "withdrawal"
    )
    assert again.revision == SNAPSHOT_INTERVAL
    result = await fleet.syncs["b"].propose(
        [config_fakes.contract(9)], last, "op", "next"
    )
    assert result.revision == last + 1


@attrs.define
class Mains:
    """Power of some nodes; it is cut at the moment ``cut_at``.

    Work of a node without power stops until ``end``, and then fails.
    """

    cut_at: str
    cut: anyio.Event = attrs.field(factory=anyio.Event)
    end: anyio.Event = attrs.field(factory=anyio.Event)
    commits: int = 0

    async def pass_moment(self, name: str) -> None:
        if name == self.cut_at:
            self.cut.set()
        if self.cut.is_set():
            await self.end.wait()
            raise PlatformUnavailableError("no power")


@attrs.define
class Powered:
    """A table, object store or service as nodes with power reach it."""

    mains: Mains
    inner: object

    def __getattr__(self, name):
        """Pass on what takes no part in the loss of power."""
        return getattr(self.inner, name)

    async def commit(self, conditions, writes):
        self.mains.commits += 1
        number = self.mains.commits
        await self.mains.pass_moment(f"commit {number} under way")
        version = await self.inner.commit(conditions, writes)
        await self.mains.pass_moment(f"commit {number} done")
        return version

    async def put(self, name, data):
        await self.mains.pass_moment("object under way")
        await self.inner.put(name, data)
        await self.mains.pass_moment("object stored")

    async def call(self, request, **options):
        await self.mains.pass_moment("call under way")
        response = await self.inner.call(request, **options)
        await self.mains.pass_moment("call ran")
        return response


UNKNOWN = "outcome_unknown unknown"
# Moment of the loss, what a resend gets afterwards, and how often the call ran in all.
CALL_MOMENTS = [
    ("commit 1 under way", "body", 1),
    ("commit 1 done", UNKNOWN, 0),
    ("call under way", UNKNOWN, 0),
    ("call ran", UNKNOWN, 1),
    ("object under way", UNKNOWN, 1),
    ("object stored", UNKNOWN, 1),
    ("commit 2 under way", UNKNOWN, 1),
    ("commit 2 done", "body", 1),
    ("answered", "body", 1),
]


@pytest.mark.parametrize(("moment", "resend", "runs"), CALL_MOMENTS)
def test_calls_run_at_most_once(moment, resend, runs) -> None:
    """Guards against a second run, or a lost reply, after all daemons lost power.

    The reply is so large that its body is stored as an object before its row.
    """

    async def check() -> None:
        fleet = test_calls.Fleet()
        fleet.service.body = b"z" * 20_000
        table, objects, service = fleet.table, fleet.objects, fleet.service
        mains = Mains(moment)
        fleet.table, fleet.objects = Powered(mains, table), Powered(mains, objects)
        fleet.service = Powered(mains, service)
        fleet.start("a")
        async with anyio.create_task_group() as tasks:

            async def post() -> None:
                with contextlib.suppress(PlatformUnavailableError):
                    result = await fleet.post("a")
                    assert mains.cut.is_set() or result == service.body.decode()
                    await mains.pass_moment("answered")

            tasks.start_soon(post)
            with anyio.fail_after(5):
                await mains.cut.wait()
            fleet.table, fleet.objects, fleet.service = table, objects, service
            for name in "ab":
                fleet.start(name, 2)
            expected = service.body.decode() if resend == "body" else resend
            for name in "baab":
                assert await fleet.post(name) == expected
            assert service.runs == runs
            mains.end.set()
        assert service.runs == runs

    anyio.run(check)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
