"""Gateway processes against engines that crash because of what they are sent."""

from __future__ import annotations

import asyncio
import contextlib

import path_parts as path
import pytest
import soak_checks as checks
from fleet_parts import running_fleet, send_each, send_prompt

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

SERVICES = ("models",) * 6
FATAL_PART = "bad"
FATAL_BODY = "dead"
# Requests a second over all gateways.
FATAL_RATE = 4.0
SOUND_RATE = 12.0
SECONDS = 10.0
# Stated by the users: arrivals allowed later than the bound after the fifth crash, or
# after the third for one request that comes again.
MAX_LATE_ARRIVALS = 3
CRASHES_OF_PART = 5
CRASHES_OF_REQUEST = 3


@pytest.fixture
def anyio_backend():
    return "asyncio"


def late_arrivals(record, crash_count, bound_s):
    """Return the fatal arrivals later than the bound after the last of the crashes."""
    crashes = sorted(crash.at for crash in record.crashes)
    if len(crashes) < crash_count:
        return []
    bound = crashes[crash_count - 1] + bound_s
    return [run for run in record.fatal_runs if run.at > bound]


def served_fraction(record, prefix, since):
    found = [
        exchange
        for exchange in record.exchanges
        if exchange.request_id.startswith(prefix) and exchange.sent_at > since
    ]
    served = [
        exchange
        for exchange in found
        if checks.is_served(exchange.response, record.events)
    ]
    assert len(found) >= 20
    return len(served) / len(found)


# A prompt part crashed engine after engine, under requests of which no two were alike.
@pytest.mark.parametrize("gateway_count", [2, 8])
async def test_prompt_part_that_crashes_engines_stops_reaching_them(
    tmp_path, gateway_count
):
    async with running_fleet(tmp_path, gateway_count, SERVICES) as (
        gateways,
        engines,
        record,
    ):
        for engine in engines:
            engine.fatal_parts = frozenset({FATAL_PART})

        async def send_fatal(number):
            gateway = gateways[number % gateway_count]
            parts = ("first", FATAL_PART, f"group-{number % 3}")
            await send_prompt(gateway, record, f"fatal-{number}", parts)

        async def send_sound(number):
            gateway = gateways[number % gateway_count]
            parts = ("first", f"group-{number % 3}")
            await send_prompt(gateway, record, f"sound-{number}", parts)

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(send_each(FATAL_RATE, SECONDS, send_fatal))
            tasks.create_task(send_each(SOUND_RATE, SECONDS, send_sound))
    assert record.crashes
    stable_s = checks.STABLE_S
    late = late_arrivals(record, CRASHES_OF_PART, stable_s)
    assert len(late) <= MAX_LATE_ARRIVALS
    crashes = sorted(crash.at for crash in record.crashes)[:CRASHES_OF_PART]
    # Stated by the users: at least half as many as without the crashes.
    assert served_fraction(record, "sound", crashes[-1] + 2 * stable_s) >= 0.5


# One request that comes again, with the same body, crashed engine after engine.
async def test_repeated_request_that_crashes_engines_stops_reaching_them(tmp_path):
    async with running_fleet(tmp_path, 3, SERVICES) as (gateways, engines, record):
        for engine in engines:
            engine.fatal_body = FATAL_BODY

        async def send_fatal(number):
            data = path.request_bytes("/drafts/1", f"fatal-{number}", 4000)
            data = data.replace(b"\r\n\r\nbody", f"\r\n\r\n{FATAL_BODY}".encode())
            with contextlib.suppress(OSError, TimeoutError):
                await gateways[number % 3].send(data)

        async def send_sound(number):
            await send_prompt(gateways[number % 3], record, f"sound-{number}", ("p",))

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(send_each(FATAL_RATE, SECONDS, send_fatal))
            tasks.create_task(send_each(SOUND_RATE, SECONDS, send_sound))
    assert record.crashes
    late = late_arrivals(record, CRASHES_OF_REQUEST, checks.STABLE_S)
    assert len(late) <= MAX_LATE_ARRIVALS


def crash(events=0):
    """Script of a target that ends: its listener and all its connections close."""

    async def script(target, request, writer):
        if events:
            await path.stream(1, events, end=False)(target, request, writer)
        target.listener.close()
        writer.transport.abort()
        return False

    return script


async def close_only(target, request, writer):
    """Script of a target that closes this connection only."""
    return False


# A reset connection, or a crash in the middle of an answer, was taken as evidence.
@pytest.mark.parametrize(
    ("script", "crash_count"),
    [(crash(), 1), (crash(events=1), 1), (crash(events=5), 0), (close_only, 0)],
)
async def test_only_crashes_before_the_answer_count_against_content(
    script, crash_count
):
    target = path.FakeTarget(script)
    prompt = {"X_Model": "m0", "X_Tokens": "9,9", "X_Prompt_Prefix": "a:3,b:3,own:3"}
    async with path.running_path(target) as running:
        await running.exchange(path.request_bytes("/once/1", **prompt))
        assert len(target.requests) == 1
        evidence = running.forwarder.crash_guard.evidence
        published = evidence.publish(asyncio.get_running_loop().time())
    assert {len(suspect.exposures) for suspect in published} <= {1}
    assert len(published) == 3 * crash_count


# What can't be served is refused at once, is not charged and tells no time to return.
async def test_named_content_is_refused_without_reaching_a_target():
    targets = [path.FakeTarget(crash()) for _ in range(4)]
    async with path.running_path(*targets) as running:
        forwarder = running.forwarder
        responses = []
        for number in range(4):
            data = path.request_bytes("/once/1", f"r-{number}")
            responses.append(await running.exchange(data))
            now = asyncio.get_running_loop().time()
            forwarder.crash_guard.review(0.0, now)
        admitted = dict(forwarder.quota.admitted)
    assert [response.split(b" ")[1] for response in responses] == [b"502"] * 4
    assert b"retry-after" not in responses[3].lower()
    assert sum(len(target.requests) for target in targets) == 3
    assert not any(admitted.values())


# A faulty target's error response cleared content that crashes targets.
@pytest.mark.parametrize(
    ("script", "is_cleared"),
    [(path.respond(500, b"oops"), False), (path.stream(1, 9), True)],
)
async def test_only_answers_clear_content(script, is_cleared):
    targets = [path.FakeTarget(crash()), path.FakeTarget(script)]
    async with path.running_path(*targets) as running:
        await running.exchange(path.request_bytes())
        evidence = running.forwarder.crash_guard.evidence
        published = evidence.publish(asyncio.get_running_loop().time())
    assert [suspect.begun_age_ms >= 0 for suspect in published] == [is_cleared]


# After a crash, 382 attempts met the closed port of a target (incident inc1).
async def test_crashed_target_gets_no_requests_for_a_while():
    targets = [path.FakeTarget(crash()), path.FakeTarget(*[path.stream(1, 9)] * 3)]
    async with path.running_path(*targets) as running:
        await running.exchange(path.request_bytes())
        health = running.forwarder.health.of(("e0", 1))
        assert not health.usable(asyncio.get_running_loop().time())
