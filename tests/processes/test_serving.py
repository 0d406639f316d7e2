"""End-to-end tests with real processes: daemons, fake platform, engines, services."""

from __future__ import annotations

import time

import anyio
import anyio.to_thread
import pytest

from flamingopond_bench.callers import Caller, CompletionResult, expected_answer
from flamingopond_standins.answers import answer_token_count

pytestmark = [pytest.mark.processes, pytest.mark.anyio]

# Guarantees P5 and P12: seconds from an operator's successful change until it is in
# effect on all nodes.
PROPAGATION_LIMIT_S = 3.0
WORKSPACE = "sundarban-watch"
MODEL = "bn-chat"


async def run_as_operator(demo, work):
    """Run ``work(session)`` as an operator, in a thread."""

    def run():
        with demo.operator_session() as session:
            return work(session)

    return await anyio.to_thread.run_sync(run)


async def grant_key(demo, key_id, workspace=WORKSPACE):
    granted = await run_as_operator(demo, lambda s: s.keys.grant(key_id, workspace))
    return granted.secret


def prompt_with_long_answer(tokens=180):
    """Return a prompt whose answer has at least ``tokens`` tokens."""
    prompts = (f"a long answer, please, number {n}" for n in range(1000))
    return next(
        p for p in prompts if answer_token_count(MODEL, "3", "", p, 512) >= tokens
    )


async def seconds_until_all(demo, key, condition):
    """Return the seconds until ``condition(answer)`` is true on each daemon."""
    since = time.monotonic()

    async def wait(daemon):
        async with Caller(daemon.url, key) as caller:
            while not condition(await caller.complete(MODEL, "hello", 1)):
                await anyio.sleep(0.05)

    with anyio.fail_after(10):
        async with anyio.create_task_group() as tasks:
            for daemon in demo.fleet.daemons:
                tasks.start_soon(wait, daemon)
    return time.monotonic() - since


async def test_whole_path(demo):
    """Guards against components that work alone but not together."""
    await demo.send_requests()
    assert demo.failed_checks == 0


async def test_no_target_sees_a_key(demo):
    """Guards against a caller's key in any request that a target receives."""
    key = demo.keys[WORKSPACE]
    async with Caller(demo.fleet.daemons[0].url, key) as caller:
        await caller.call_service("GET", f"/services/bandh-desk/x?api_key={key}")
        await caller.call_service("GET", f"/open/levels/x?token={key}")
        await caller.complete(MODEL, "no key here", 4)
    targets = [*demo.fleet.engines]
    for service in demo.fleet.services.values():
        targets += [f"{service.name}-{n + 1}" for n in range(len(service.addresses))]
    runs = 0
    for name in targets:
        records = await demo.fleet.records(name)
        runs += len(records["runs"])
        assert not [key for key in demo.keys.values() if key in str(records)]
    assert runs


async def test_withdrawn_key_stops_everywhere(demo):
    """Guards against streams that continue and requests accepted after a withdrawal."""
    key = await grant_key(demo, "to-withdraw")
    assert await seconds_until_all(demo, key, lambda a: a.done) < PROPAGATION_LIMIT_S
    prompt = prompt_with_long_answer()
    answers = [CompletionResult() for _ in demo.fleet.daemons]
    ended = []
    withdrawn_at = []

    async def stream(daemon, answer):
        async with Caller(daemon.url, key) as caller:
            await caller.stream(MODEL, prompt, 512, answer)
        ended.append(time.monotonic())

    async def ask(daemon):
        async with Caller(daemon.url, key) as caller:
            while True:
                sent = time.monotonic()
                answer = await caller.complete(MODEL, "hello", 1)
                if withdrawn_at and sent > withdrawn_at[0] + PROPAGATION_LIMIT_S:
                    assert answer.code == "unauthenticated"
                    return
                await anyio.sleep(0.1)

    async with anyio.create_task_group() as tasks:
        for daemon, answer in zip(demo.fleet.daemons, answers, strict=True):
            tasks.start_soon(stream, daemon, answer)
            tasks.start_soon(ask, daemon)
        while not all(answer.chunks > 3 for answer in answers):
            await anyio.sleep(0.01)
        await run_as_operator(demo, lambda s: s.keys.withdraw("to-withdraw"))
        withdrawn_at.append(time.monotonic())
    whole = expected_answer(demo.fleet.objects, MODEL, prompt, 512)
    for answer in answers:
        assert (answer.code, answer.error["run_state"]) == ("key_withdrawn", "ran")
        assert not answer.done
        assert whole.startswith(answer.text)
    assert max(ended) < withdrawn_at[0] + PROPAGATION_LIMIT_S


async def test_changes_take_effect_everywhere(demo):
    """Guards against keys, rates and priorities that take effect on some nodes only."""
    key = await grant_key(demo, "to-change", "kakdwip-school")
    assert await seconds_until_all(demo, key, lambda a: a.done) < PROPAGATION_LIMIT_S

    def change(**fields):
        return run_as_operator(
            demo, lambda s: s.contracts.change("kakdwip-school", fields)
        )

    await change(rate=0.1, burst=2)
    refused = ("rate_limited", "request_too_large")
    assert (
        await seconds_until_all(demo, key, lambda a: a.code in refused)
        < PROPAGATION_LIMIT_S
    )
    await change(rate=4000, burst=8000, priority="premium")
    assert await seconds_until_all(demo, key, lambda a: a.done) < PROPAGATION_LIMIT_S

    prompts = [f"priority through {daemon.name}" for daemon in demo.fleet.daemons]
    for daemon, prompt in zip(demo.fleet.daemons, prompts, strict=True):
        async with Caller(daemon.url, key) as caller:
            assert (await caller.complete(MODEL, prompt, 1)).done
    runs = [
        run
        for name in demo.fleet.engines
        for run in (await demo.fleet.records(name))["runs"]
    ]
    for prompt in prompts:
        assert {r["priority"] for r in runs if r["prompt"] == prompt} == {"premium"}


async def test_termination_lets_streams_complete(demo):
    """Guards against a shutdown that cuts off streams in progress."""
    daemon = demo.fleet.daemons[-1]
    process = demo.fleet.processes[daemon.name]
    key = demo.keys[WORKSPACE]
    prompt = prompt_with_long_answer()
    answers = [CompletionResult() for _ in range(4)]

    async def stream(answer):
        async with Caller(daemon.url, key) as caller:
            await caller.stream(MODEL, prompt, 512, answer)

    async with anyio.create_task_group() as tasks:
        for answer in answers:
            tasks.start_soon(stream, answer)
        while not all(answer.chunks > 3 for answer in answers):
            await anyio.sleep(0.01)
        process.terminate()
    whole = expected_answer(demo.fleet.objects, MODEL, prompt, 512)
    assert [answer.text for answer in answers] == [whole] * 4
    assert all(answer.done for answer in answers)
    assert await process.wait(30) == 0


async def test_daemon_started_without_the_table(demo):
    """Guards against a node that cannot start while the table is down."""
    fleet = demo.fleet
    daemon = fleet.daemons[-1]
    fleet.processes[daemon.name].terminate()
    await fleet.processes[daemon.name].wait(30)
    key = await grant_key(demo, "before-outage")
    # This is the last test of the module: the table stays down.
    await fleet.set_faults("table", [{"kind": "down", "for_s": 600}])
    fleet.start_daemon(daemon)
    await fleet.processes[daemon.name].wait_until_ok(f"{daemon.url}/readyz")
    async with Caller(daemon.url, key) as caller:
        answer = await caller.complete(MODEL, "without a table", 8)
    expected = expected_answer(fleet.objects, MODEL, "without a table", 8)
    assert (answer.text, answer.code) == (expected, "")
