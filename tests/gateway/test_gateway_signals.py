"""Signals that reach a gateway process while it starts or terminates."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import fake_platform
import path_parts as path
import pytest
from test_gateway_process import fleet, respond_slowly

pytestmark = [pytest.mark.anyio, pytest.mark.processes]


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards LOST: a signal after SIGTERM ended the process, and its requests with it.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
async def test_signal_while_terminating_cuts_no_request(tmp_path, number):
    target = path.FakeTarget(respond_slowly)
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store.put("op", "config", fake_platform.CONFIGURATION)
        await gateway.start()
        await gateway.wait_until(gateway.ready)
        running = asyncio.ensure_future(
            gateway.send(path.request_bytes("/orders/1", "r-1", 5000))
        )
        await asyncio.sleep(0.3)
        gateway.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        gateway.process.send_signal(number)
        assert (await running).endswith(b"done")
        async with asyncio.timeout(6):
            assert await gateway.process.wait() == 0


# Guards against processes that a change of their settings ends while they start.
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.3])
async def test_sighup_does_not_end_a_starting_process(tmp_path, delay_s):
    target = path.FakeTarget()
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store.put("op", "config", fake_platform.CONFIGURATION)
        await gateway.start()
        await asyncio.sleep(delay_s)
        gateway.process.send_signal(signal.SIGHUP)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(gateway.process.wait(), 0.5)
        assert gateway.process.returncode is None
        await gateway.wait_until(gateway.ready)
