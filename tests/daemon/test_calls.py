"""Calls to plain services: at most one run of a key, and true refusals."""

from __future__ import annotations

from random import Random

import anyio
import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from once_fakes import FakeObjects, FakeService, FakeTable, Network

from flamingopond_core import objects
from flamingopond_core.at_most_once import Claim
from flamingopond_core.enums import Priority, RunState
from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_daemon.calls import ServiceCalls
from flamingopond_daemon.oncerows import OnceRows
from flamingopond_platform.service import ServiceRequest

DESK = objects.Service("desk", ("1",), ("POST /lookup",))


class FakeLimits:
    """Records what was charged."""

    def __init__(self) -> None:
        """Start without charges."""
        self.charged: list[int] = []

    async def reserve(self, workspace, tokens, deadline):
        """Reserve."""
        return tokens

    def settle(self, reservation, used) -> None:
        """Settle."""
        self.charged.append(used)


class World:
    """Nodes ``a`` and ``b`` before one service."""

    def __init__(self) -> None:
        """Start both nodes."""
        self.table, self.objects = FakeTable(), FakeObjects()
        self.network, self.service = Network(), FakeService()
        self.limits = FakeLimits()
        self.rows: dict[str, OnceRows] = {}
        self.nodes: dict[str, ServiceCalls] = {}
        for name in "ab":
            self.start(name)

    def start(self, name: str, incarnation: int = 1) -> None:
        """Start or restart a node; it forgets everything."""
        rows = OnceRows(
            name, incarnation, self.table, self.objects, self.network.node(name)
        )
        self.rows[name] = rows
        self.nodes[name] = ServiceCalls(
            lambda: {"desk": DESK},
            lambda address: self.service,
            self.limits,
            rows,
            rng=Random(1),
        )

    async def post(self, node: str, body: bytes = b"x", key: str | None = "k") -> str:
        """Make a booking; return the reply's body or the error and run state."""
        request = ServiceRequest("1", "POST", "/book", {}, body)
        try:
            reply = await self.nodes[node].call("w", "desk", request, key)
        except RequestRefusedError as error:
            return f"{error.code} {error.run_state}"
        return reply.body.decode()


TABLE_FAULTS = [
    # Table faults of the first call, its answer, the resend's at another node,
    # and the runs in total.
    ([], "done", "done", 1),
    (["lost"], "done", "done", 1),
    (["dropped"], "done", "done", 1),
    (["late"], "done", "done", 1),
    (["down"], "store_unavailable not_run", "done", 1),
    (["lost", "down"], "store_unavailable not_run", "done", 1),
    (["late", "down"], "store_unavailable not_run", "done", 1),
    (["dropped"] * 5, "store_unavailable not_run", "done", 1),
    (["", "down"], "done", "done", 1),
    (["", "lost"], "done", "done", 1),
]


@pytest.mark.parametrize(("faults", "first", "resend", "runs"), TABLE_FAULTS)
def test_table_faults(faults, first, resend, runs) -> None:
    """Guards against a second run, and ``not_run`` of a call that ran."""

    async def check() -> None:
        world = World()
        # A read consumes a fault too; dropped commits alternate with good reads.
        if faults == ["dropped"] * 5:
            world.table.faults = ["dropped", "dropped"]
        else:
            world.table.faults = list(faults)
        assert await world.post("a") == first
        world.table.faults = []
        assert await world.post("b") == resend
        assert world.service.runs == runs

    anyio.run(check)


SERVICE_FAULTS = [
    (["unreachable"], "no_target not_run", "done", 1),
    (["broken"], "target_failed unknown", "outcome_unknown unknown", 1),
]


@pytest.mark.parametrize(("faults", "first", "resend", "runs"), SERVICE_FAULTS)
def test_service_faults(faults, first, resend, runs) -> None:
    """Guards against a resent call after a broken reply."""

    async def check() -> None:
        world = World()
        world.service.faults = list(faults)
        assert await world.post("a") == first
        assert await world.post("b") == resend
        assert world.service.runs == runs
        assert all(fresh for _, fresh in world.service.requests)

    anyio.run(check)


def test_resend_while_running_gets_the_same_outcome() -> None:
    """Guards against a second run beside the first."""

    async def check() -> None:
        world = World()
        world.service.hold = anyio.Event()
        answers: list[str] = []

        async def post(node: str) -> None:
            answers.append(await world.post(node))

        async with anyio.create_task_group() as group:
            group.start_soon(post, "a")
            await anyio.wait_all_tasks_blocked()
            group.start_soon(post, "b")
            group.start_soon(post, "a")
            await anyio.sleep(0.01)
            world.service.hold.set()
        assert answers == ["done"] * 3
        assert world.service.runs == 1

    anyio.run(check)


@pytest.mark.parametrize("gone", ["restarted", "silent"])
def test_resend_after_the_claimant_is_gone(gone) -> None:
    """Guards against a run, or ``not_run``, when nobody knows what happened."""

    async def check() -> None:
        world = World()
        claim = Claim("lost", "a", 1, "", 1e12)
        digest_source = World()
        assert await digest_source.post("a") == "done"
        row = next(iter(digest_source.table.rows.values()))
        # A row in state claimed, as a node leaves it that stops before sending.
        assert row.value is not None
        record = attrs.evolve(type(claim.record).from_bytes(row.value), outcome=None)
        record = attrs.evolve(record, state=claim.record.state)
        world.table._apply([], [attrs.evolve(row, value=record.to_bytes())])
        if gone == "silent":
            world.network.cut.add("a")
        else:
            world.start("a", 2)
        assert await world.post("b") == "outcome_unknown unknown"
        assert world.service.runs == 0

    anyio.run(check)


def test_cancelled_before_sending_can_be_resent() -> None:
    """Guards against a key that stays claimed though nothing was sent."""

    async def check() -> None:
        world = World()
        with anyio.CancelScope() as scope:
            scope.cancel()
            await world.post("a")
        assert await world.post("b") == "done"
        assert world.service.runs == 1

    anyio.run(check)


def test_outcome_survives_a_caller_that_hangs_up() -> None:
    """Guards against a lost outcome of a call that was already sent."""

    async def check() -> None:
        world = World()
        world.service.hold = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(world.post, "a")
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
            world.service.hold.set()
        assert await world.post("b") == "done"
        assert world.service.runs == 1

    anyio.run(check)


def test_large_outcomes_go_to_the_object_store() -> None:
    """Guards against rows beyond what the table keeps."""

    async def check() -> None:
        world = World()
        world.service.body = b"z" * 20_000
        assert len(await world.post("a")) == 20_000
        assert len(world.objects) == 1
        assert all(len(r.value or b"") < 1000 for r in world.table.rows.values())
        assert len(await world.post("b")) == 20_000
        assert world.service.runs == 1
        assert world.limits.charged == [1 + 20, 1 + 20]

    anyio.run(check)


REFUSALS = [
    (b"other", "k", "idempotency_key_reused not_run"),
    (b"x", None, "idempotency_key_required not_run"),
    (b"x", "k" * 300, "invalid_request not_run"),
]


@pytest.mark.parametrize(("body", "key", "answer"), REFUSALS)
def test_refused_keys(body, key, answer) -> None:
    """Guards against a key that stands for two requests, or for none."""

    async def check() -> None:
        world = World()
        assert await world.post("a") == "done"
        assert await world.post("b", body, key) == answer
        assert world.service.runs == 1
        assert world.limits.charged[1:] in ([0], [])

    anyio.run(check)


def test_idempotent_calls_are_retried_under_the_budget() -> None:
    """Guards against retries on the broken connection and without end."""

    async def check() -> None:
        world = World()
        request = ServiceRequest("1", "POST", "/lookup", {}, b"x")
        world.service.faults = ["broken"]
        assert (await world.nodes["a"].call("w", "desk", request, None)).status == 200
        assert [fresh for _, fresh in world.service.requests] == [False, True]
        world.service.faults = ["broken"] * 1000
        for _ in range(100):
            with pytest.raises(RequestRefusedError) as caught:
                await world.nodes["a"].call("w", "desk", request, None)
        assert caught.value.run_state is RunState.UNKNOWN
        assert world.service.runs <= 2 + 100 + 20

    anyio.run(check)


_FAULTS = st.lists(
    st.sampled_from(["", "", "down", "lost", "dropped", "late"]), max_size=6
)
_STEP = st.tuples(
    st.sampled_from("ab"),
    _FAULTS,
    st.sampled_from(["", "", "broken", "unreachable"]),
    st.sampled_from(["", "", "", "restart", "cut"]),
)


async def _violation(steps) -> str:
    world = World()
    for number, (node, faults, target, event) in enumerate(steps):
        world.table.faults = list(faults)
        world.service.faults = [target] if target else []
        before = world.service.runs
        answer = await world.post(node)
        if answer.endswith(RunState.NOT_RUN) and world.service.runs > before:
            return f"false not_run: {answer}"
        world.network.cut = {node} if event == "cut" else set()
        if event == "restart":
            world.start(node, number + 2)
    return "second run" if world.service.runs > 1 else ""


@settings(max_examples=300, deadline=None)
@given(st.lists(_STEP, min_size=2, max_size=6))
def test_at_most_one_run(steps) -> None:
    """Guards against a second run and a false ``not_run`` under random faults."""
    assert anyio.run(_violation, steps) == ""


BROKEN = [
    # A claimant that cannot be asked is taken for one that sent nothing.
    ("claimant_answered", lambda self, state: self.begin(), "restart"),
    # A broken reply is reported as not sent.
    ("reply_broken", lambda self: self.nothing_sent(), ""),
]


@pytest.mark.parametrize(("method", "variant", "event"), BROKEN)
def test_checks_find_broken_variants(method, variant, event, monkeypatch) -> None:
    """Guards against checks that cannot fail."""
    monkeypatch.setattr(Claim, method, variant)
    steps = [("a", ["", "down"], "broken", event), ("b", [], "", "")]
    assert anyio.run(_violation, steps) == "second run"


def test_full_service_serves_premium_first_and_refuses_in_truth() -> None:
    """Guards against unbounded calls at a target, and standard calls before premium."""
    world = World()
    contracts = {
        "p": objects.Contract("p", Priority.PREMIUM, 1e6, 1e6),
        "s": objects.Contract("s", Priority.STANDARD, 1e6, 1e6),
    }
    calls = ServiceCalls(
        lambda: {"desk": DESK},
        lambda address: world.service,
        world.limits,
        world.rows["a"],
        max_wait=10.0,
        calls_per_target=2,
        contracts=lambda: contracts,
    )
    answers = []

    async def one(workspace, path, mark):
        request = ServiceRequest("1", "POST", path, {}, mark)
        try:
            await calls.call(workspace, "desk", request, f"k{mark!r}")
            answers.append(mark)
        except RequestRefusedError as error:
            answers.append(f"{error.code} {error.run_state}")

    async def main():
        world.service.hold = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for number in range(2):
                tasks.start_soon(one, "s", "/lookup", b"first%d" % number)
            await anyio.wait_all_tasks_blocked()
            for mark in (b"s1", b"s2"):
                tasks.start_soon(one, "s", "/lookup", mark)
            tasks.start_soon(one, "p", "/lookup", b"p")
            tasks.start_soon(one, "p", "/book", b"booking")
            await anyio.sleep(0.1)
            assert world.service.runs == 2
            # Nothing has started for long, so the expected wait is too long.
            calls._max_wait = 0.0
            for path in ("/lookup", "/book"):
                await one("s", path, b"late")
            assert answers == ["overloaded not_run"] * 2
            assert world.service.runs == 2
            world.service.hold.set()

    anyio.run(main)
    order = [request.body for request, _ in world.service.requests]
    assert set(order[2:4]) == {b"p", b"booking"}
    assert set(order[4:]) == {b"s1", b"s2"}
