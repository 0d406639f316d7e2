"""Gateway processes against engines that name a limit of requests per second."""

from __future__ import annotations

import asyncio

import pytest
import soak_checks as checks
from fleet_parts import running_fleet, send_call, send_each, send_prompt

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

SERVICES = ("models", "models", "models", "models", "desk", "desk")
LIMIT = 1.5
LIMITED_MODEL_ENGINE, LIMITED_DESK_ENGINE = 0, 4
PROMPT_RATE = 24.0
CALL_RATE = 12.0
LIMITED_SECONDS = 10.0
UNLIMITED_SECONDS = 4.0
# Stated by the users: in a window, an engine may get this many times its limit, and
# this many requests more.
WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5


@pytest.fixture
def anyio_backend():
    return "asyncio"


def most_in_window(times):
    """Return the largest number of ``times`` within a window."""
    times = sorted(times)
    return max((sum(t <= s < t + WINDOW_S for s in times) for t in times), default=0)


def arrivals(record, engine, start, end):
    return [r.at for r in record.runs if r.engine == engine and start <= r.at < end]


def served(record, start, end):
    """Return the fraction of requests sent in a span that were served."""
    found = [e for e in record.exchanges if start <= e.sent_at < end]
    assert found
    return sum(checks.is_served(e.response, record.events) for e in found) / len(found)


# An engine in need got as many requests as before, whatever limit it named.
@pytest.mark.parametrize("gateway_count", [2, 8])
async def test_engine_gets_no_more_than_the_limit_that_it_names(
    tmp_path, gateway_count
):
    loop = asyncio.get_running_loop()
    async with running_fleet(tmp_path, gateway_count, SERVICES) as fleet:
        gateways, engines, record = fleet
        limited = [engines[LIMITED_MODEL_ENGINE], engines[LIMITED_DESK_ENGINE]]

        async def send_one(number):
            gateway = gateways[number % gateway_count]
            await send_prompt(gateway, record, f"p-{number}", (f"group-{number % 5}",))

        async def send_other(number):
            await send_call(gateways[number % gateway_count], record, f"c-{number}")

        async def change_limits():
            for engine in limited:
                engine.request_limit = LIMIT
            await asyncio.sleep(LIMITED_SECONDS)
            for engine in limited:
                engine.request_limit = None

        began_at = loop.time()
        seconds = LIMITED_SECONDS + UNLIMITED_SECONDS
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(change_limits())
            tasks.create_task(send_each(PROMPT_RATE, seconds, send_one))
            tasks.create_task(send_each(CALL_RATE, seconds, send_other))
    stable_at = began_at + checks.STABLE_S
    ended_at = began_at + LIMITED_SECONDS
    allowed = LIMIT_FACTOR * LIMIT * WINDOW_S + LIMIT_SLACK
    counts = {
        engine.name: most_in_window(arrivals(record, engine.name, stable_at, ended_at))
        for engine in limited
    }
    assert max(counts.values()) <= allowed
    # The engine still gets requests, or it could not say that its limit has ended.
    assert min(counts.values()) >= 1
    # The other engines take the rest.
    assert served(record, stable_at, ended_at) > 0.95
    for engine in limited:
        later = arrivals(record, engine.name, ended_at + 2.0, ended_at + 4.0)
        assert len(later) > 2 * LIMIT * 2.0
