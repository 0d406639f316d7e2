"""Targets of a daemon that write an earlier response once more on a kept connection."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import TargetError
from flamingopond_platform.engine import GenerateRequest
from flamingopond_platform.engine_client import EngineClient

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


REFUSAL = b"HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy"


def answer(body):
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


@contextlib.asynccontextmanager
async def target(*scripts):
    """Answer each request with the next script; yield the address and the paths."""
    remaining = list(scripts)
    paths = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                paths.append(head.split(" ", 2)[1])
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:] if line
                )
                await reader.readexactly(int(fields.get("content-length", 0)))
                if paths[-1] == "/engine/cancel":
                    writer.write(answer(b"{}"))
                    continue
                writer.write(remaining.pop(0))
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}", paths
    finally:
        server.close()


async def refused_state(client, attempt_id, fresh=False):
    request = GenerateRequest(
        attempt_id=attempt_id, model="m", prompt="p", max_tokens=1
    )
    with pytest.raises(TargetError) as caught:
        async with client.generate(request, fresh_connection=fresh):
            pass
    return caught.value.run_state


async def test_refusal_on_a_kept_connection_leaves_the_outcome_open():
    """It may be the first one once more, while the engine runs the second attempt."""
    async with target(REFUSAL, REFUSAL) as (address, paths):
        client = EngineClient(address)
        assert await refused_state(client, "a-1") is RunState.NOT_RUN
        assert await refused_state(client, "a-2") is RunState.UNKNOWN
        assert paths.count("/engine/generate") == 2
        # The attempt may run, so it is cancelled.
        assert paths.count("/engine/cancel") == 1
        await client.aclose()


async def test_refusal_on_a_new_connection_holds():
    async with target(REFUSAL, REFUSAL) as (address, _):
        client = EngineClient(address)
        for number in range(2):
            state = await refused_state(client, f"a-{number}", fresh=True)
            assert state is RunState.NOT_RUN
        await client.aclose()
