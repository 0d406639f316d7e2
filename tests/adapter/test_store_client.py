"""Calls to the store over slow or silent connections."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json

import pytest

from flamingopond_adapter import store
from flamingopond_core.exceptions import (
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
)
from flamingopond_gateway.store.storage import Change
from flamingopond_gateway.transport import http_client

pytestmark = pytest.mark.anyio

VALUE = b"x" * 600_000


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def running_store(serve):
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        address = server.sockets[0].getsockname()
        yield store.StoreClient(http_client.HttpClient(), address)
    finally:
        server.close()


@contextlib.asynccontextmanager
async def store_that_sends(pieces, pause_s):
    """Run a store that sends its response in ``pieces``, the last one incomplete."""
    row = {"key": "config", "ver": 7, "value": base64.b64encode(VALUE).decode()}
    body = json.dumps({"ver": 7, "rows": [row]}).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    step = len(body) // 10 + 1

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(head)
        for start in range(0, pieces * step, step):
            writer.write(body[start : start + step])
            await asyncio.sleep(pause_s)
        await reader.read()
        writer.close()

    async with running_store(serve) as client:
        yield client


def calls(client):
    return {
        "read": lambda: client.read("op", timeout_s=0.2),
        "watch": lambda: client.watch("op", 6, wait_s=0.0),
        "long watch": lambda: client.watch("op", 6, wait_s=25.0),
    }


# Guards against tables that are never read because their transfer takes longer than a
# fixed limit.
@pytest.mark.parametrize("call", ["read", "watch"])
async def test_large_response_may_take_as_long_as_its_bytes_arrive(call, monkeypatch):
    monkeypatch.setattr(store, "RESPONSE_MARGIN_S", 0.2)
    monkeypatch.setattr(http_client, "BODY_STALL_TIMEOUT_S", 0.3)
    async with store_that_sends(pieces=10, pause_s=0.05) as client:
        rows = await calls(client)[call]()
    assert [row.value for row in rows.rows] == [VALUE]


# Guards against a response that stalls near its end and is waited for as long as its
# early bytes had been fast, or as long as a watch may take.
@pytest.mark.parametrize("call", ["read", "watch", "long watch"])
async def test_stalled_response_fails_soon(call, monkeypatch):
    monkeypatch.setattr(http_client, "BODY_STALL_TIMEOUT_S", 0.2)
    async with store_that_sends(pieces=9, pause_s=0.0) as client:
        with pytest.raises(OutcomeUnknownError):
            async with asyncio.timeout(5.0):
                await calls(client)[call]()


# Guards against a response that trickles without end.
async def test_response_below_the_lowest_rate_fails(monkeypatch):
    monkeypatch.setattr(http_client, "BODY_STALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(store, "MIN_BYTES_PER_S", 10_000_000)
    async with store_that_sends(pieces=10, pause_s=0.1) as client:
        with pytest.raises(OutcomeUnknownError):
            await client.read("op", timeout_s=0.5)


# Guards against a process that ends because the store answered with unreadable bytes.
@pytest.mark.parametrize(
    "body",
    [b"", b"{", b'{"ver": "x"}', b"\xff\xfe", b"[1]", b'{"x":' + 9**5 * b"["],
    ids=["empty", "cut", "type", "utf-8", "list", "nested"],
)
@pytest.mark.parametrize("call", ["read", "watch", "write"])
async def test_malformed_response_is_an_error_of_the_store(call, body):
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(head + body)
        await reader.read()
        writer.close()

    change = Change("t", "", "k", b"v")
    async with running_store(serve) as client:
        made = calls(client) | {"write": lambda: client.write([change], timeout_s=1.0)}
        with pytest.raises(OutcomeUnknownError):
            await made[call]()


# Guards against a read that never ends, with all rows kept, as the store repeats pages.
@pytest.mark.parametrize(
    ("keys", "rows"),
    [
        # Two pages, and a store that says "more" with the same page again and again.
        (["a", "b"], 2),
        (["b", "a", "a", "a", "a"], None),
        (["a"] * 50, None),
    ],
)
async def test_read_ends_although_the_store_repeats_pages(keys, rows):
    asked = []

    async def serve(reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                asked.append(head)
                key = keys[min(len(asked), len(keys)) - 1]
                more = len(asked) < len(keys) or rows is None
                page = {"ver": 7, "rows": [{"key": key, "ver": 5}], "hasMore": more}
                body = json.dumps(page).encode()
                length = b"Content-Length: %d\r\n\r\n" % len(body)
                writer.write(b"HTTP/1.1 200 OK\r\n" + length + body)
        writer.close()

    async with running_store(serve) as client, asyncio.timeout(5.0):
        if rows is not None:
            found = await client.read("servers", timeout_s=1.0)
            assert len(found.rows) == rows
        else:
            with pytest.raises(PlatformUnavailableError):
                await client.read("servers", timeout_s=1.0)
    assert len(asked) <= 3


# Guards against rows or acknowledgements of a store that dies within a response with
# neither a length nor chunks: its end passes for that of the response.
@pytest.mark.parametrize("call", ["read", "watch", "write"])
async def test_response_that_ends_early_is_not_believed(call):
    row = {"key": "config", "ver": 7, "value": base64.b64encode(b"x").decode()}
    body = json.dumps({"rows": [row], "hasMore": False, "ver": 7}).encode()
    bodies = [body[:size] for size in range(len(body) + 1)]
    responses = iter(bodies)

    async def serve(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        size = [x for x in head.lower().split(b"\r\n") if x.startswith(b"content-l")]
        await reader.readexactly(int(size[0].split(b":")[1]) if size else 0)
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
        writer.write(head + next(responses))
        writer.close()

    async with running_store(serve) as client:
        known = calls(client) | {
            "write": lambda: client.write([Change("t", "", "k", b"v", 0)], 0.5)
        }
        for _ in bodies[:-1]:
            with pytest.raises(PlatformError):
                await known[call]()
        await known[call]()
