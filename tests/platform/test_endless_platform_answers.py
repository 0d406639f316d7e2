"""Answers of the platform, engines and services that do not end."""

from __future__ import annotations

import asyncio
import contextlib
import gzip
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import pytest

from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    TargetError,
    TargetTimeoutError,
)
from flamingopond_core.reports import Order, OrderKind
from flamingopond_platform.engine import GenerateRequest
from flamingopond_platform.engine_client import EngineClient
from flamingopond_platform.objects_client import ObjectStoreClient
from flamingopond_platform.service import ServiceRequest
from flamingopond_platform.service_client import ServiceClient
from flamingopond_platform.table import Write
from flamingopond_platform.table_client import TableClient
from flamingopond_platform.vms_client import VmListClient
from flamingopond_platform.weights_client import WeightStoreClient

pytestmark = pytest.mark.anyio

MIB = 1024 * 1024
# The peer stops by itself after this many bytes, which is above every limit but
# that of KV caches.
SAFETY_BYTES = 160 * MIB
BLOCK_BYTES = 65536
# Bytes that the peer may have handed to the sockets of both ends.
SOCKET_BYTES = 8 * MIB


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class EndlessPeer:
    """Answers the first call with ``start`` and ``piece`` repeated until it is closed.

    Later calls, which cancel an attempt, get an empty response.
    """

    def __init__(self, start: bytes, piece: bytes, pause_s: float = 0.0) -> None:
        self.start = start
        self.block = piece if pause_s else piece * max(BLOCK_BYTES // len(piece), 1)
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.calls: list[bytes] = []
        self.closed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            self.calls.append(await reader.readuntil(b"\r\n\r\n"))
            if len(self.calls) > 1:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                return
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, BLOCK_BYTES
            )
            writer.write(self.start)
            while self.sent_bytes < SAFETY_BYTES:
                writer.write(self.block)
                self.sent_bytes += len(self.block)
                await writer.drain()
                await asyncio.sleep(self.pause_s)
                if writer.is_closing():
                    break
            else:
                return
            self.closed.set()
        except ConnectionError:
            self.closed.set()
        finally:
            writer.close()

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[str]:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f"{host}:{port}"
        finally:
            server.close()


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ANSWERS = {
    "until close": (HEAD + b"Connection: close\r\n\r\n", b"a"),
    "chunked": (HEAD + CHUNKED, b"4000\r\n" + 16384 * b"a" + b"\r\n"),
    "announced": (HEAD + b"Content-Length: %d\r\n\r\n" % 10**12, b"a"),
    "error": (b"HTTP/1.1 500 Oops\r\n\r\n", b"a"),
}
Call = Callable[[Any], Awaitable[Any]]
ORDER = Order("o", OrderKind.LOAD_MODEL, 1, "m")
SERVICE_REQUEST = ServiceRequest("a1", "POST", "/orders", {}, b"", "")

# Client, call, error, and the largest body of an answer.
CALLS: dict[str, tuple[Any, Call, type[Exception], int]] = {
    "table read": (
        TableClient,
        lambda client: client.read(["k"]),
        PlatformUnavailableError,
        16 * MIB,
    ),
    "table commit": (
        TableClient,
        lambda client: client.commit([], [Write("k", b"v")]),
        OutcomeUnknownError,
        16 * MIB,
    ),
    "object": (
        ObjectStoreClient,
        lambda client: client.get("o"),
        PlatformUnavailableError,
        64 * MIB,
    ),
    "VMs": (
        VmListClient,
        lambda client: client.list_vms(),
        PlatformUnavailableError,
        16 * MIB,
    ),
    "weight store": (
        WeightStoreClient,
        lambda client: client.status(),
        PlatformUnavailableError,
        16 * MIB,
    ),
    "engine report": (EngineClient, lambda client: client.report(), TargetError, MIB),
    "engine order": (
        EngineClient,
        lambda client: client.order(ORDER),
        TargetError,
        MIB,
    ),
    "cache events": (
        EngineClient,
        lambda client: client.cache_events(0),
        TargetError,
        16 * MIB,
    ),
    "service report": (ServiceClient, lambda client: client.report(), TargetError, MIB),
    "service call": (
        ServiceClient,
        lambda client: client.call(SERVICE_REQUEST),
        TargetError,
        16 * MIB,
    ),
}


# Guards against answers that are kept without a limit until the call times out.
@pytest.mark.parametrize("answer", ANSWERS)
@pytest.mark.parametrize("name", CALLS)
async def test_endless_answer_fails_a_call(name: str, answer: str) -> None:
    client_type, call, error, limit_bytes = CALLS[name]
    peer = EndlessPeer(*ANSWERS[answer])
    async with peer.running() as address:
        client = client_type(
            address
            if client_type in (EngineClient, ServiceClient)
            else f"http://{address}"
        )
        with pytest.raises(error) as caught:
            await call(client)
        async with asyncio.timeout(1):
            await peer.closed.wait()
        await client.aclose()
    assert "bytes" in str(caught.value)
    assert len(peer.calls) == 1
    if answer == "announced":
        limit_bytes = 0
    assert peer.sent_bytes <= limit_bytes + SOCKET_BYTES


# Guards against taking the length of a body that is not sent for an endless answer.
@pytest.mark.parametrize(
    ("method", "start", "status"),
    [
        ("HEAD", HEAD + b"Content-Length: 1000000000000\r\n\r\n", 200),
        ("GET", b"HTTP/1.1 304 Same\r\nContent-Length: 1000000000000\r\n\r\n", 304),
    ],
)
async def test_length_of_a_body_that_is_not_sent(
    method: str, start: bytes, status: int
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = ServiceClient(f"{host}:{port}")
    response = await client.call(ServiceRequest("a1", method, "/orders", {}))
    assert (response.status, response.body) == (status, b"")
    await client.aclose()
    server.close()


TRICKLES = {
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "interim responses": (b"", b"HTTP/1.1 102 Wait\r\n\r\n"),
    "headers": (HEAD, b"A: b\r\n"),
    "body": (HEAD + b"Connection: close\r\n\r\n", b"a"),
    "trailers": (HEAD + CHUNKED + b"0\r\n", b"A: b\r\n"),
}


# Guards against bytes that come slowly and keep a call past its time-out.
@pytest.mark.parametrize("answer", TRICKLES)
async def test_trickling_answer_ends_a_call_at_its_time_out(answer: str) -> None:
    peer = EndlessPeer(*TRICKLES[answer], pause_s=0.02)
    async with peer.running() as address:
        client = TableClient(f"http://{address}", timeout_s=0.3)
        async with asyncio.timeout(1):
            with pytest.raises(PlatformUnavailableError):
                await client.read(["k"])
            await peer.closed.wait()
        await client.aclose()


# Guards against heads that take more than the bytes that h11 allows.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"HTTP/1.1 200 ", b"a", id="status line"),
        pytest.param(HEAD, b"X-Junk: a\r\n", id="headers"),
        pytest.param(b"", b"\r\n", id="blank lines"),
        pytest.param(HEAD + CHUNKED + b"5;x=", b"a", id="chunk extension"),
        pytest.param(HEAD + CHUNKED + b"0\r\n", b"X-Junk: a\r\n", id="trailers"),
        pytest.param(b"", b"HTTP/1.1 102 Wait\r\n\r\n", id="interim responses"),
    ],
)
async def test_endless_framing_fails_a_call(start: bytes, piece: bytes) -> None:
    peer = EndlessPeer(start, piece)
    async with peer.running() as address:
        client = TableClient(f"http://{address}", timeout_s=0.5)
        async with asyncio.timeout(2):
            with pytest.raises(PlatformUnavailableError):
                await client.read(["k"])
            await peer.closed.wait()
        await client.aclose()
    assert peer.sent_bytes <= 2 * MIB + SOCKET_BYTES


STREAM = HEAD + b"Content-Type: text/event-stream\r\n"
CLOSE = b"Connection: close\r\n\r\n"
FOREIGN = (
    b'event: chunk\ndata: {"attempt_id": "other", "index": 0, "tokens": ["a"]}\n\n'
)


# Guards against a stream that is read without limit although it has no item of use.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(STREAM + CLOSE, b"a", id="bytes without lines"),
        pytest.param(STREAM + CLOSE, b"data: a\n", id="event without end"),
        pytest.param(
            STREAM + CHUNKED, b"40\r\n" + 64 * b"a" + b"\r\n", id="small chunks"
        ),
        pytest.param(STREAM + CLOSE, b": ping\n\n", id="comments"),
        pytest.param(STREAM + CLOSE, b"event: x\ndata: a\n\n", id="unknown events"),
        pytest.param(STREAM + CLOSE, FOREIGN, id="chunks of another attempt"),
        pytest.param(
            STREAM + b"Content-Encoding: gzip\r\n" + CLOSE, b"a", id="content coding"
        ),
        pytest.param(
            b"HTTP/1.1 503 Busy\r\n" + CLOSE, b"a", id="body of an error status"
        ),
        pytest.param(b"", b"HTTP/1.1 102 Wait\r\n\r\n", id="interim responses"),
        pytest.param(STREAM, b"X-Junk: a\r\n", id="headers"),
        pytest.param(STREAM + CHUNKED + b"5;x=", b"a", id="chunk extension"),
    ],
)
async def test_endless_stream_of_an_engine_fails(start: bytes, piece: bytes) -> None:
    peer = EndlessPeer(start, piece)
    async with peer.running() as address:
        client = EngineClient(
            address, connect_timeout_s=0.5, read_timeout_s=0.2, cancel_timeout_s=0.1
        )
        # The head may take as long as connecting, reading and one second: 1.7 s.
        async with asyncio.timeout(3):
            with pytest.raises(TargetError) as caught:
                async with client.generate(GenerateRequest("a1", "m", "p", 9)) as items:
                    async for _ in items:
                        pass
            # The peer sees no end of a call that was never sent.
            assert caught.value.run_state is RunState.UNKNOWN
            await peer.closed.wait()
        await client.aclose()
    assert len([call for call in peer.calls if b"/generate" in call]) == 1
    assert peer.sent_bytes <= 4 * MIB + SOCKET_BYTES


# Guards against a head that trickles past the time-out of the connection.
@pytest.mark.parametrize("answer", ["status line", "interim responses", "headers"])
async def test_trickling_head_of_a_stream_ends_at_the_time_out(answer: str) -> None:
    peer = EndlessPeer(*TRICKLES[answer], pause_s=0.02)
    async with peer.running() as address:
        client = EngineClient(
            address, connect_timeout_s=0.1, read_timeout_s=0.1, cancel_timeout_s=0.1
        )
        async with asyncio.timeout(2):
            with pytest.raises(TargetTimeoutError):
                async with client.generate(GenerateRequest("a1", "m", "p", 9)):
                    pass
            await peer.closed.wait()
        await client.aclose()


# Guards against reading a compressed stream, which could expand without limit.
async def test_compressed_stream_of_an_engine_is_refused() -> None:
    end = b'{"attempt_id":"a1","finish_reason":"stop","prompt_tokens":1'
    body = gzip.compress(b"event: end\ndata: " + end + b',"answer_tokens":0}\n\n')
    start = STREAM + b"Content-Encoding: gzip\r\n" + CLOSE
    peer = EndlessPeer(start + body, b"\0")
    async with peer.running() as address:
        client = EngineClient(address)
        with pytest.raises(TargetError, match="content coding"):
            async with client.generate(GenerateRequest("a1", "m", "p", 9)) as items:
                async for _ in items:
                    pass
        await client.aclose()


# Guards against a compressed body that reaches a caller decoded, but labelled as
# compressed.
async def test_compressed_response_of_a_service_is_passed_on_as_it_is() -> None:
    body = gzip.compress(b"hello")

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"Content-Encoding: gzip\r\n" + CLOSE + body)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    client = ServiceClient(f"{host}:{port}")
    response = await client.call(SERVICE_REQUEST)
    assert response.headers["content-encoding"] == "gzip"
    assert response.body == body
    await client.aclose()
    server.close()


ITEMS = (
    b'event: chunk\ndata: {"attempt_id":"a1","index":0,"tokens":["a"]}\n\n'
    b'event: end\ndata: {"attempt_id":"a1","finish_reason":"stop",'
    b'"prompt_tokens":1,"answer_tokens":1}\n\n'
)


# Guards against a stream without a length that broke off and is taken as complete.
@pytest.mark.parametrize(
    ("sent_bytes", "reset", "complete"),
    [
        pytest.param(len(ITEMS), False, True, id="whole"),
        pytest.param(len(ITEMS) - 1, False, False, id="within the last event"),
        pytest.param(ITEMS.index(b"event: end"), False, False, id="between events"),
        pytest.param(ITEMS.index(b"event: end"), True, False, id="reset"),
        pytest.param(0, False, False, id="without an event"),
    ],
)
async def test_stream_without_a_length_ends_with_its_connection(
    sent_bytes: int, reset: bool, complete: bool
) -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(STREAM + CLOSE + ITEMS[:sent_bytes])
        await writer.drain()
        if reset:
            await asyncio.sleep(0.02)
            writer.transport.abort()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        port = server.sockets[0].getsockname()[1]
        client = EngineClient(f"http://127.0.0.1:{port}", cancel_timeout_s=0.1)
        items = []
        failed = False
        try:
            async with client.generate(GenerateRequest("a1", "m", "p", 9)) as stream:
                items = [item async for item in stream]
        except TargetError:
            failed = True
        await client.aclose()
    assert failed != complete
    assert len(items) == (2 if complete else 0)
