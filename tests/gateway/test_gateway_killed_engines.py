"""Engines whose process is killed while they answer.

The kernel closes the connections of a process that ends. A response with neither a
length nor chunks ends with its connection, so that its engine's end looks like its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

import path_parts as path
import pytest
import test_gateway_relayed_ends as ends
from attrs import frozen
from test_gateway_relay import running_carrier

from flamingopond_gateway.transport.connector import DirectConnector

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@frozen
class EngineConnector(DirectConnector):
    """Connects to the engine at ``address``, whatever target is named."""

    address: tuple

    async def connect(self, address):
        return await super().connect(self.address)

    async def is_refusing(self, address, timeout_s):
        return await super().is_refusing(self.address, timeout_s)


@contextlib.asynccontextmanager
async def engine_process():
    """Run an engine; yields its process and address."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name("engine_process.py")),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        port = int(await process.stdout.readline())
        yield process, ("127.0.0.1", port)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@contextlib.asynccontextmanager
async def connector_by(way, address):
    """Yield a connector that reaches an engine directly or through a carrier."""
    if way == "direct":
        yield EngineConnector(address)
        return
    async with running_carrier(None, address) as (carrier, _):
        yield ends.CarriedConnector(carrier.address, "e1")


# Guards MIXED and ORDER: the first part of a response passed for the whole one.
@pytest.mark.parametrize("url", ends.URLS)
@pytest.mark.parametrize("way", ["direct", "carried"])
@pytest.mark.parametrize("number", [None, signal.SIGKILL, signal.SIGTERM])
async def test_response_of_an_engine_that_ends(number, way, url):
    async with contextlib.AsyncExitStack() as stack:
        process, address = await stack.enter_async_context(engine_process())
        connector = await stack.enter_async_context(connector_by(way, address))
        running = await stack.enter_async_context(
            path.running_path(path.FakeTarget(), max_attempts=1)
        )
        running.forwarder.client.connector = connector
        sent = ends.send_each_form(running, url, 1.5)
        await asyncio.sleep(5.5 * ends.EVENT_PAUSE_S)
        if number is not None:
            process.send_signal(number)
        whole = [ends.is_whole(data) for data in await asyncio.gather(*sent)]
        assert whole == [number is None] * len(ends.HEADS)
