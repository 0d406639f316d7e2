"""Calls to plain services: one run per idempotency key, correct run states."""

from __future__ import annotations

from random import Random

import anyio
import attrs
import pytest
from fake_platform_and_peers import (
    FakeObjectStore,
    FakePeerNetwork,
    FakeService,
    FakeTable,
)
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingopond_core import objects
from flamingopond_core.at_most_once import Claim
from flamingopond_core.enums import Priority, RunState
from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_daemon.at_most_once_calls import AtMostOnceCalls
from flamingopond_daemon.service_calls import ServiceCalls
from flamingopond_platform.service import ServiceRequest

DESK = objects.Service("desk", ("1",), ("POST /lookup",))


class FakeLimits:
    """Grants everything and records what was charged."""

    def __init__(self) -> None:
        """Start without charges."""
        self.charged: list[int] = []

    async def reserve(self, workspace, tokens, deadline):
        """Reserve."""
        return tokens

    def settle(self, reservation, used) -> None:
        """Settle."""
        self.charged.append(used)


class Fleet:
    """Nodes ``a`` and ``b``, which call the same service."""

    def __init__(self) -> None:
        """Start both nodes."""
        self.table, self.objects = FakeTable(), FakeObjectStore()
        self.network, self.service = FakePeerNetwork(), FakeService()
        self.limits = FakeLimits()
        self.rows: dict[str, AtMostOnceCalls] = {}
        self.nodes: dict[str, ServiceCalls] = {}
        for name in "ab":
            self.start(name)

    def start(self, name: str, incarnation: int = 1) -> None:
        """Start or restart a node; it has no state from before."""
        rows = AtMostOnceCalls(
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
        """Call a path that is not idempotent.

        Return the body of the response, or error code and run state.
        """
        request = ServiceRequest("1", "POST", "/book", {}, body)
        try:
            response = await self.nodes[node].call("w", "desk", request, key)
        except RequestRefusedError as error:
            return f"{error.code} {error.run_state}"
        return response.body.decode()


TABLE_FAULTS = [
    # Table faults during the first call, its result, the result of a resend to the
    # other node, and the total number of runs.
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
    """Guards against a second run, and ``not_run`` for a call that ran."""

    async def check() -> None:
        fleet = Fleet()
        # Reads consume faults too; dropped commits alternate with successful reads.
        if faults == ["dropped"] * 5:
            fleet.table.faults = ["dropped", "dropped"]
        else:
            fleet.table.faults = list(faults)
        assert await fleet.post("a") == first
        fleet.table.faults = []
        assert await fleet.post("b") == resend
        assert fleet.service.runs == runs

    anyio.run(check)


SERVICE_FAULTS = [
    (["unreachable"], "no_target not_run", "done", 1),
    (["broken"], "target_failed unknown", "outcome_unknown unknown", 1),
]


@pytest.mark.parametrize(("faults", "first", "resend", "runs"), SERVICE_FAULTS)
def test_service_faults(faults, first, resend, runs) -> None:
    """Guards against repeating a call whose response broke off."""

    async def check() -> None:
        fleet = Fleet()
        fleet.service.faults = list(faults)
        assert await fleet.post("a") == first
        assert await fleet.post("b") == resend
        assert fleet.service.runs == runs
        assert all(fresh for _, fresh in fleet.service.requests)

    anyio.run(check)


def test_resend_while_running_gets_the_same_outcome() -> None:
    """Guards against a second run while the first is in progress."""

    async def check() -> None:
        fleet = Fleet()
        fleet.service.hold = anyio.Event()
        results: list[str] = []

        async def post(node: str) -> None:
            results.append(await fleet.post(node))

        async with anyio.create_task_group() as group:
            group.start_soon(post, "a")
            await anyio.wait_all_tasks_blocked()
            group.start_soon(post, "b")
            group.start_soon(post, "a")
            await anyio.sleep(0.01)
            fleet.service.hold.set()
        assert results == ["done"] * 3
        assert fleet.service.runs == 1

    anyio.run(check)


@pytest.mark.parametrize("gone", ["restarted", "silent"])
def test_resend_after_the_claimant_is_gone(gone) -> None:
    """Guards against a run, or ``not_run``, when the outcome is unknown."""

    async def check() -> None:
        fleet = Fleet()
        claim = Claim("lost", "a", 1, "", 1e12)
        other_fleet = Fleet()
        assert await other_fleet.post("a") == "done"
        row = next(iter(other_fleet.table.rows.values()))
        # The row of a node that stopped after its claim: state ``claimed``.
        assert row.value is not None
        record = attrs.evolve(type(claim.record).from_bytes(row.value), outcome=None)
        record = attrs.evolve(record, state=claim.record.state)
        fleet.table._apply([], [attrs.evolve(row, value=record.to_bytes())])
        if gone == "silent":
            fleet.network.cut.add("a")
        else:
            fleet.start("a", 2)
        assert await fleet.post("b") == "outcome_unknown unknown"
        assert fleet.service.runs == 0

    anyio.run(check)


def test_cancelled_before_sending_can_be_resent() -> None:
    """Guards against a key that stays claimed although nothing was sent."""

    async def check() -> None:
        fleet = Fleet()
        with anyio.CancelScope() as scope:
            scope.cancel()
            await fleet.post("a")
        assert await fleet.post("b") == "done"
        assert fleet.service.runs == 1

    anyio.run(check)


def test_outcome_survives_a_caller_that_hangs_up() -> None:
    """Guards against losing the outcome of a call when its caller disconnects."""

    async def check() -> None:
        fleet = Fleet()
        fleet.service.hold = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.post, "a")
            await anyio.wait_all_tasks_blocked()
            group.cancel_scope.cancel()
            fleet.service.hold.set()
        assert await fleet.post("b") == "done"
        assert fleet.service.runs == 1

    anyio.run(check)


def test_large_outcomes_go_to_the_object_store() -> None:
    """Guards against rows that are too large for the table."""

    async def check() -> None:
        fleet = Fleet()
        fleet.service.body = b"z" * 20_000
        assert len(await fleet.post("a")) == 20_000
        assert len(fleet.objects) == 1
        assert all(len(r.value or b"") < 1000 for r in fleet.table.rows.values())
        assert len(await fleet.post("b")) == 20_000
        assert fleet.service.runs == 1
        assert fleet.limits.charged == [1 + 20, 1 + 20]

    anyio.run(check)


REFUSALS = [
    (b"other", "k", "idempotency_key_reused not_run"),
    (b"x", None, "idempotency_key_required not_run"),
    (b"x", "k" * 300, "invalid_request not_run"),
]


@pytest.mark.parametrize(("body", "key", "result"), REFUSALS)
def test_refused_keys(body, key, result) -> None:
    """Guards against a key used for two requests, and missing or invalid keys."""

    async def check() -> None:
        fleet = Fleet()
        assert await fleet.post("a") == "done"
        assert await fleet.post("b", body, key) == result
        assert fleet.service.runs == 1
        assert fleet.limits.charged[1:] in ([0], [])

    anyio.run(check)


def test_idempotent_calls_are_retried_under_the_budget() -> None:
    """Guards against retries on the failed connection, and unlimited retries."""

    async def check() -> None:
        fleet = Fleet()
        request = ServiceRequest("1", "POST", "/lookup", {}, b"x")
        fleet.service.faults = ["broken"]
        assert (await fleet.nodes["a"].call("w", "desk", request, None)).status == 200
        assert [fresh for _, fresh in fleet.service.requests] == [True, True]
        fleet.service.faults = ["broken"] * 1000
        for _ in range(100):
            with pytest.raises(RequestRefusedError) as caught:
                await fleet.nodes["a"].call("w", "desk", request, None)
        assert caught.value.run_state is RunState.UNKNOWN
        assert fleet.service.runs <= 2 + 100 + 20

    anyio.run(check)


_TABLE_FAULT_LISTS = st.lists(
    st.sampled_from(["", "", "down", "lost", "dropped", "late"]), max_size=6
)
_STEP = st.tuples(
    st.sampled_from("ab"),
    _TABLE_FAULT_LISTS,
    st.sampled_from(["", "", "broken", "unreachable"]),
    st.sampled_from(["", "", "", "restart", "cut"]),
)


async def _find_violation(steps) -> str:
    fleet = Fleet()
    for number, (node, faults, target, event) in enumerate(steps):
        fleet.table.faults = list(faults)
        fleet.service.faults = [target] if target else []
        before = fleet.service.runs
        result = await fleet.post(node)
        if result.endswith(RunState.NOT_RUN) and fleet.service.runs > before:
            return f"false not_run: {result}"
        fleet.network.cut = {node} if event == "cut" else set()
        if event == "restart":
            fleet.start(node, number + 2)
    return "second run" if fleet.service.runs > 1 else ""


@settings(max_examples=300, deadline=None)
@given(st.lists(_STEP, min_size=2, max_size=6))
def test_at_most_one_run(steps) -> None:
    """Guards against a second run and a false ``not_run`` under random faults."""
    assert anyio.run(_find_violation, steps) == ""


BROKEN_VARIANTS = [
    # A claimant that cannot be asked is assumed not to have sent the call.
    ("claimant_answered", lambda self, state: self.begin(), "restart"),
    # A call whose response broke off is reported as not sent.
    ("reply_broken", lambda self: self.nothing_sent(), ""),
]


@pytest.mark.parametrize(("method", "variant", "event"), BROKEN_VARIANTS)
def test_checks_find_broken_variants(method, variant, event, monkeypatch) -> None:
    """Guards against checks that miss a second run, by breaking ``Claim``."""
    monkeypatch.setattr(Claim, method, variant)
    steps = [("a", ["", "down"], "broken", event), ("b", [], "", "")]
    assert anyio.run(_find_violation, steps) == "second run"


def test_full_service_serves_premium_first_and_reports_not_run() -> None:
    """Guards against too many calls to a target, and standard before premium calls."""
    fleet = Fleet()
    contracts = {
        "p": objects.Contract("p", Priority.PREMIUM, 1e6, 1e6),
        "s": objects.Contract("s", Priority.STANDARD, 1e6, 1e6),
    }
    calls = ServiceCalls(
        lambda: {"desk": DESK},
        lambda address: fleet.service,
        fleet.limits,
        fleet.rows["a"],
        max_wait_s=10.0,
        calls_per_target=2,
        contracts=lambda: contracts,
    )
    results = []

    async def call_service(workspace, path, mark):
        request = ServiceRequest("1", "POST", path, {}, mark)
        try:
            await calls.call(workspace, "desk", request, f"k{mark!r}")
            results.append(mark)
        except RequestRefusedError as error:
            results.append(f"{error.code} {error.run_state}")

    async def main():
        fleet.service.hold = anyio.Event()
        async with anyio.create_task_group() as tasks:
            for number in range(2):
                tasks.start_soon(call_service, "s", "/lookup", b"first%d" % number)
            await anyio.wait_all_tasks_blocked()
            for mark in (b"s1", b"s2"):
                tasks.start_soon(call_service, "s", "/lookup", mark)
            tasks.start_soon(call_service, "p", "/lookup", b"p")
            tasks.start_soon(call_service, "p", "/book", b"booking")
            await anyio.sleep(0.1)
            assert fleet.service.runs == 2
            # No call has started for a while, so any expected wait exceeds this limit.
            calls._max_wait_s = 0.0
            for path in ("/lookup", "/book"):
                await call_service("s", path, b"late")
            assert results == ["overloaded not_run"] * 2
            assert fleet.service.runs == 2
            fleet.service.hold.set()

    anyio.run(main)
    order = [request.body for request, _ in fleet.service.requests]
    assert set(order[2:4]) == {b"p", b"booking"}
    assert set(order[4:]) == {b"s1", b"s2"}


@pytest.mark.parametrize("path", ["/lookup", "/book"])
def test_call_uses_a_connection_of_its_own(path) -> None:
    """Guards against an answer of an earlier call that the target writes twice."""

    async def check() -> None:
        fleet = Fleet()
        for number in range(2):
            request = ServiceRequest(str(number), "POST", path, {}, b"x")
            await fleet.nodes["a"].call("w", "desk", request, f"k{number}")
        assert [fresh for _, fresh in fleet.service.requests] == [True, True]

    anyio.run(check)
