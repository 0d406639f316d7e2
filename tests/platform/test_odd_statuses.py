"""Answers whose status the protocol does not have."""

from __future__ import annotations

import asyncio

import pytest
from test_endless_platform_answers import CALLS

from flamingopond_platform.engine_client import EngineClient
from flamingopond_platform.service_client import ServiceClient

pytestmark = pytest.mark.anyio


# Guards MIXED: httpx accepts any status up to 999, so that a service's answer with
# status 600 was passed on. 000 and 099 are errors of httpx.
@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
@pytest.mark.parametrize("name", CALLS)
async def test_odd_status_fails_a_call(name: str, status: str) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        writer.close()

    client_type, call, error, _ = CALLS[name]
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    plain = client_type in (EngineClient, ServiceClient)
    client = client_type(f"{host}:{port}" if plain else f"http://{host}:{port}")
    with pytest.raises(error):
        await call(client)
    await client.aclose()
    server.close()
