"""Dispatch of model requests over failing connections and engines."""

from __future__ import annotations

import anyio
import pytest
from fakes import ANSWER, FakeNode

from flamingopond_core.enums import Priority, RunState
from flamingopond_core.exceptions import (
    RequestRefusedError,
    TargetError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from flamingopond_daemon.requests import ModelRequest
from flamingopond_platform.engine import TokenChunk


def model_request(fingerprint="fingerprint") -> ModelRequest:
    return ModelRequest(
        "r1", "w", Priority.PREMIUM, "m", "1", "", "p", 5, 9, 1.0, fingerprint
    )


def generate(node, request=None, engines=("e1", "e2")):
    """Run one request; return its tokens and its completion or refusal."""
    tokens = []

    async def emit(part):
        tokens.extend(part)

    async def main():
        node.router.set_leaving(set(node.engines) - set(engines))
        try:
            return await node.dispatcher.generate(request or model_request(), emit)
        except RequestRefusedError as error:
            return error

    outcome = anyio.run(main)
    return tuple(tokens), outcome


BROKEN = TargetError("broken")
TIMED_OUT = TargetTimeoutError("timed out")


@pytest.mark.parametrize(
    ("first", "second"),
    [
        pytest.param([["all"]], [], id="undisturbed"),
        pytest.param([[2, BROKEN], ["all"]], [], id="broken"),
        pytest.param([[2, TIMED_OUT], ["all"]], [], id="silent"),
        pytest.param([[2, BROKEN], [1, "open", BROKEN]], [["all"]], id="broken twice"),
        pytest.param([[2], ["all"]], [], id="end with tokens missing"),
        pytest.param(
            [["open", TargetUnreachableError("no")]], [["all"]], id="unreachable"
        ),
        pytest.param(
            [[TokenChunk("r0-1", 0, ("foreign ",)), "all"]], [], id="foreign tokens"
        ),
        pytest.param(
            [[3, TokenChunk("r1-1", 1, ANSWER[1:5]), BROKEN], ["all"]],
            [],
            id="tokens repeated",
        ),
        pytest.param([[TokenChunk("r1-1", 1, ANSWER[1:3])], ["all"]], [], id="gap"),
    ],
)
def test_no_token_is_lost_or_doubled(first, second):
    """Guards against missing, repeated or foreign tokens in an answer."""
    node = FakeNode(first, second)
    # The second engine is usable once the first one has reached "open".
    node.router.set_leaving(["e2"])
    node.engines["e1"].on_open = lambda: node.router.set_leaving([])
    seen = []

    async def emit(part):
        seen.extend(part)

    async def main():
        return await node.dispatcher.generate(model_request(), emit)

    completion = anyio.run(main)
    assert tuple(seen) == ANSWER
    assert completion.answer_tokens == len(ANSWER)
    assert node.limits.settled == [(14, 11)]
    assert node.engines["e1"].fresh_connections[1:] == [True] * (len(first) - 1)
    assert len(node.engines["e2"].requests) == len(second)
    assert node.router.in_flight("e1") == node.router.in_flight("e2") == 0


def test_failure_says_whether_the_request_ran():
    """Guards against ``not_run`` for a request that an engine has worked on."""
    node = FakeNode([[BROKEN]] * 9, [[BROKEN]] * 9)
    _, error = generate(node)
    assert (error.code, error.run_state) == ("target_failed", RunState.UNKNOWN)
    node = FakeNode(
        [[TargetUnreachableError("no")]] * 9, [[TargetUnreachableError("")]] * 9
    )
    _, error = generate(node)
    assert (error.code, error.run_state) == ("target_failed", RunState.NOT_RUN)
    assert node.limits.settled == [(14, 0)]


def test_request_crashes_at_most_two_targets():
    """Guards against a request that crashes one engine after the other."""
    node = FakeNode([[2, "die", BROKEN]], [[1, "die", BROKEN]])
    tokens, error = generate(node)
    assert error.code == "request_crashes_targets"
    runs = sum(len(engine.requests) for engine in node.engines.values())
    assert runs == 2
    _, again = generate(node)
    assert again.code == "request_crashes_targets"
    assert sum(len(engine.requests) for engine in node.engines.values()) == 2
    assert len(node.events) == 2
    assert tokens == ANSWER[: len(tokens)]


# Failure: a request crashed a third engine, because a crash did not count: the engine
# had closed its connections and not yet its port when it was asked for a report.
@pytest.mark.parametrize(
    ("errors", "is_down"),
    [
        pytest.param([BROKEN], False, id="restarted"),
        pytest.param([BROKEN, TargetUnreachableError("no")], False, id="restarts"),
        pytest.param([BROKEN], True, id="down"),
        pytest.param([BROKEN] * 2, True, id="lost twice, then down"),
    ],
)
def test_crash_is_noticed_although_a_report_is_lost(errors, is_down):
    """Guards against a crash that is taken for a broken connection."""
    node = FakeNode([[2, "die", BROKEN]], [[1, "die", BROKEN]])
    for engine in node.engines.values():

        def die(engine=engine):
            engine.report_errors, engine.is_down = list(errors), is_down

        engine.on_die = die
    _, error = generate(node)
    assert error.code == "request_crashes_targets"
    assert sum(len(engine.requests) for engine in node.engines.values()) == 2
    assert len(node.events) == 2


@pytest.mark.parametrize("lost", [BROKEN, TIMED_OUT], ids=["lost", "silent"])
def test_lost_reports_alone_show_no_crash(lost):
    """Guards against suspecting a request whose engine only fails to report."""
    node = FakeNode([[2, BROKEN], ["all"]])
    node.engines["e1"].report_errors = [lost] * 9
    tokens, _ = generate(node, engines=("e1",))
    assert tokens == ANSWER
    assert node.events == []


@pytest.mark.parametrize(
    ("first", "code", "state"),
    [
        pytest.param(
            ["die", BROKEN], "request_crashes_targets", RunState.UNKNOWN, id="no token"
        ),
        pytest.param(
            [2, "die", BROKEN], "request_crashes_targets", RunState.RAN, id="tokens"
        ),
    ],
)
def test_refusal_after_an_attempt_is_not_called_not_run(first, code, state):
    """Guards against ``not_run`` from the quarantine after engines ran the request."""
    node = FakeNode([first], [["die", BROKEN]])
    _, error = generate(node)
    assert (error.code, error.run_state) == (code, state)
    _, again = generate(node)
    assert (again.code, again.run_state) == (code, RunState.NOT_RUN)


def test_no_engine_left_for_the_next_attempt_is_not_called_not_run():
    """Guards against ``not_run`` from a full queue after an engine ran the request."""
    node = FakeNode([["open", BROKEN]], [["open", BROKEN]])
    node.dispatcher.admission.acquire = refuse_after_first(node.dispatcher.admission)
    for engine in node.engines.values():
        engine.on_open = lambda: node.router.set_leaving(["e1", "e2"])
    _, error = generate(node)
    assert error.run_state is RunState.UNKNOWN


def refuse_after_first(admission):
    """Return an ``acquire`` that refuses all requests but the first."""
    acquire, seen = admission.acquire, []

    async def acquire_once(name, admission_request):
        seen.append(admission_request)
        if len(seen) > 1:
            raise RequestRefusedError("overloaded", "full")
        await acquire(name, admission_request)

    return acquire_once


def test_request_ends_with_its_reservation():
    """Guards against generating tokens after their reservation has ended."""
    node = FakeNode([[3, anyio.Event()]], [[3, anyio.Event()]])
    node.limits.hold_s = 0.05
    tokens, error = generate(node)
    assert (error.code, error.run_state) == ("target_timeout", RunState.RAN)
    assert tokens == ANSWER[:3]
    assert node.limits.settled == [(14, 5 + 3 + 2)]
    assert sum(engine.cancelled for engine in node.engines.values()) == 1


def test_innocent_request_completes_alone_and_is_cleared():
    """Guards against blocking a request that was only in flight during a crash."""
    node = FakeNode([[2, "die", BROKEN]])
    tokens, completion = generate(node, engines=("e1",))
    assert tokens == ANSWER
    assert completion.answer_tokens == len(ANSWER)
    tokens, _ = generate(node)
    assert tokens == ANSWER


def test_cancelled_request_is_charged_for_what_ran():
    """Guards against free tokens for callers that disconnect before the end."""
    node = FakeNode([[3, anyio.Event()]], [[3, anyio.Event()]])

    async def emit(part):
        pass

    async def main():
        with anyio.move_on_after(0.05):
            await node.dispatcher.generate(model_request(), emit)

    anyio.run(main)
    assert node.limits.settled == [(14, 5 + 3 + 2)]
    assert sum(engine.cancelled for engine in node.engines.values()) == 1


@pytest.mark.parametrize(("lookups", "found"), [(3, True), (10**6, False)])
def test_request_before_the_first_digests_waits(lookups, found):
    """Guards against ``no_target`` from a daemon that has just started."""
    node = FakeNode()
    node.dispatcher._first_token_target_s = 0.3
    node.directory.empty_lookups = lookups
    tokens, outcome = generate(node)
    if found:
        assert tokens == ANSWER
    else:
        assert (outcome.code, outcome.run_state) == ("no_target", RunState.NOT_RUN)
    assert node.directory.empty_lookups < lookups - 2
