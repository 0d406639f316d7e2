"""Relayed connections between gateways of this version and of the previous one.

The previous version knows no frames: it sends the bytes of the target as they are.
"""

from __future__ import annotations

import asyncio
import contextlib

import gateway_parts as parts
import msgspec
import path_parts as path
import pytest
import test_gateway_relayed_ends as ends
from test_gateway_relay import running_carrier

from flamingopond_gateway.exchange.members import Members
from flamingopond_gateway.exchange.pulls import to_frame
from flamingopond_gateway.exchange.relay import RelayConnector, open_relayed
from flamingopond_gateway.exchange.relayed_stream import FrameDecoder, Mark
from flamingopond_gateway.messages import Relay, decode_peer_request, encode
from flamingopond_gateway.metrics import Metrics
from flamingopond_gateway.transport.connection import ConnectionBrokenError

pytestmark = pytest.mark.anyio

RESPONSES = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabcdef",
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nabcdef\r\n0\r\n\r\n"
    ),
    "close": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcdef",
}


class PreviousRelay(msgspec.Struct, array_like=True, frozen=True, tag="relay"):
    """The request for a connection as the previous version sends and reads it."""

    node: str
    target: str


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


# Guards against a request that one version sends and the other refuses.
def test_requests_of_both_versions():
    new = msgspec.msgpack.decode(
        encode(Relay("gw-1", "e1", framed=True)), type=PreviousRelay
    )
    assert new == PreviousRelay("gw-1", "e1")
    old = decode_peer_request(msgspec.msgpack.encode(PreviousRelay("gw-1", "e1")))
    assert old == Relay("gw-1", "e1", framed=False)


def frame(data):
    return len(data).to_bytes(4, "big") + data


CLOSED = Mark.CLOSED.to_bytes(4, "big")


# Guards against bytes that are lost or added where a read ends within a frame.
@pytest.mark.parametrize("step", [1, 2, 3, 4, 5, 7, 100])
def test_frames_that_arrive_in_pieces(step):
    data = frame(b"abc") + frame(b"d") + frame(b"e" * 16384) + CLOSED
    decoder = FrameDecoder()
    received = b""
    for begin in range(0, len(data), step):
        assert decoder.mark is None
        received += decoder.decode(data[begin : begin + step])
    assert received == b"abcd" + b"e" * 16384
    assert decoder.mark is Mark.CLOSED


# Guards against bytes of a faulty peer that pass for those of a target.
@pytest.mark.parametrize(
    "data",
    [
        frame(b""),
        frame(b"x" * 16385),
        b"\x7f\xff\xff\xff",
        b"HTTP/1.1 200 OK\r\n\r\n",
        frame(b"abc") + CLOSED + b"\0",
        CLOSED + frame(b"abc"),
    ],
)
def test_malformed_frames(data):
    with pytest.raises(ConnectionBrokenError):
        FrameDecoder().decode(data)


def answer_with(data):
    async def serve(reader, writer):
        with contextlib.suppress(EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await asyncio.sleep(0.02)
        writer.close()

    return serve


@contextlib.asynccontextmanager
async def running_previous_carrier(data):
    """Run a gateway of the previous version, whose target answers with ``data``."""
    serve_target = answer_with(data)

    async def serve(reader, writer):
        size = int.from_bytes(await reader.readexactly(4), "big")
        request = await reader.readexactly(size)
        msgspec.msgpack.decode(request, type=PreviousRelay)
        writer.write(b"c")
        await serve_target(reader, writer)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    yield server.sockets[0].getsockname()[:2]
    server.close()


async def read_response(connection):
    connection.send(b"GET / HTTP/1.1\r\n\r\n")
    await connection.wait_for_head()
    body = b""
    while chunk := await connection.read():
        body += chunk
    return body


# Guards MIXED: a response whose end nobody knows passed for a complete one.
@pytest.mark.parametrize(
    ("form", "complete"), [("length", True), ("chunks", True), ("close", False)]
)
async def test_response_through_the_previous_version(form, complete):
    async with running_previous_carrier(RESPONSES[form]) as address:
        connection = await open_relayed(address, Relay("gw-1", "e1", framed=True))
        assert not connection.has_frames
        if complete:
            assert await read_response(connection) == b"abcdef"
        else:
            with pytest.raises(ConnectionBrokenError):
                await read_response(connection)
        connection.close()


# Guards the callers of the previous version's gateways.
@pytest.mark.parametrize("form", RESPONSES)
async def test_response_for_the_previous_version(form):
    async with running_carrier(answer_with(RESPONSES[form])) as (carrier, _):
        reader, writer = await open_as_previous(carrier.address, "e1")
        assert await reader.read() == RESPONSES[form]
        writer.close()


async def open_as_previous(address, target):
    """Ask for a connection as the previous version does, and send a request on it."""
    reader, writer = await asyncio.open_connection(*address)
    request = msgspec.msgpack.encode(PreviousRelay("gw-1", target))
    writer.write(to_frame(request, compressed=False))
    assert await reader.readexactly(1) == b"c"
    writer.write(b"GET / HTTP/1.1\r\nX-Request-Id: r\r\nX-Form: close\r\n\r\n")
    return reader, writer


# Guards MIXED and ORDER: the previous version takes each close for the target's, and
# the connection was closed without a reset when the target reset its own.
async def test_reset_of_the_target_reaches_the_previous_version():
    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(RESPONSES["close"][:-3])
        await asyncio.sleep(0.05)
        ends.reset(writer)
        writer.close()

    async with running_carrier(serve) as (carrier, _):
        reader, writer = await open_as_previous(carrier.address, "e1")
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


# Guards MIXED and ORDER in the same way where the carrier ends, also by a kill.
@pytest.mark.parametrize("end", [ends.kill, ends.kill_frozen, ends.terminate])
async def test_end_of_a_carrier_reaches_the_previous_version(end, tmp_path):
    target = ends.SlowTarget(pause_s=0.4)
    async with (
        path.running_path(target),
        ends.carrier_process(tmp_path, target) as carrier,
    ):
        address = ("127.0.0.1", carrier.ports[2])
        reader, writer = await open_as_previous(address, "e0")
        await reader.readuntil(b"piece-1\n")
        await end(carrier, target)
        with pytest.raises(ConnectionResetError):
            await reader.read()
        writer.close()


async def reset_within_body(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(RESPONSES["length"][:-3])
    await asyncio.sleep(0.02)
    ends.reset(writer)
    writer.close()


async def vanish(reader, writer):
    """End as a carrier whose process is killed."""
    await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))
    writer.write(b"f" + frame(RESPONSES["length"][:-3]))
    writer.close()


# Guards against a crash of a gateway that counts as that of a target, and against one
# of a target that isn't noticed through another gateway.
@pytest.mark.parametrize(
    "serve", [reset_within_body, answer_with(RESPONSES["length"][:-3])]
)
async def test_end_of_the_target_is_told(serve):
    async with running_carrier(serve) as (carrier, _):
        connection = await open_relayed(
            carrier.address, Relay("gw-1", "e1", framed=True)
        )
        with pytest.raises(ConnectionBrokenError):
            await read_response(connection)
        assert connection.closed_by_peer


# Guards against an unreadable reply where the target resets a new connection at once,
# as one over its cap does: the mark may arrive together with the reply.
async def test_target_that_ends_at_once():
    async def serve(reader, writer):
        await reader.readexactly(int.from_bytes(await reader.readexactly(4), "big"))
        writer.write(b"f" + Mark.LOST.to_bytes(4, "big"))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    connection = await open_relayed(address, Relay("gw-1", "e1", framed=True))
    await connection.wait_for_reset(0.5)
    assert not connection.reusable
    server.close()


async def test_end_of_the_carrier_is_not_that_of_the_target():
    server = await asyncio.start_server(vanish, "127.0.0.1", 0)
    address = server.sockets[0].getsockname()[:2]
    connection = await open_relayed(address, Relay("gw-1", "e1", framed=True))
    with pytest.raises(ConnectionBrokenError):
        await read_response(connection)
    assert not connection.closed_by_peer
    server.close()


# Guards against an error in the carrier if its sender leaves while it looks whether a
# target that has closed still listens, and against a target's connection left open.
@pytest.mark.parametrize("framed", [False, True])
@pytest.mark.parametrize("after_s", [0.0, 0.01, 0.02, 0.04])
async def test_sender_that_leaves_as_the_target_closes(after_s, framed):
    closed = asyncio.Event()

    async def serve(reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
        except EOFError:
            # The carrier looks whether the target still listens.
            writer.close()
            return
        writer.write(RESPONSES["close"])
        writer.write_eof()
        await reader.read()
        closed.set()
        writer.close()

    async with running_carrier(serve) as (carrier, _):
        connection = await open_relayed(
            carrier.address, Relay("gw-1", "e1", framed=framed)
        )
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        await connection.wait_for_head()
        await connection.read()
        await asyncio.sleep(after_s)
        connection.close()
        async with asyncio.timeout(1.0):
            await closed.wait()
        await asyncio.sleep(0.1)
        assert carrier.server.carried == 0


# Guards against requests on a kept connection that the target has closed: its sender
# would be told only after the carrier has looked whether the target still listens.
async def test_close_of_an_idle_target_is_told_at_once():
    async def serve(reader, writer):
        with contextlib.suppress(EOFError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(RESPONSES["length"])
            await asyncio.sleep(0.05)
        writer.close()

    async with running_carrier(serve) as (carrier, _):
        connection = await open_relayed(
            carrier.address, Relay("gw-1", "e1", framed=True)
        )
        assert await read_response(connection) == b"abcdef"
        assert connection.reusable
        await asyncio.sleep(0.065)
        assert not connection.reusable


# Guards against broken responses while another gateway would send them in frames.
async def test_gateways_with_frames_are_asked_first():
    async with contextlib.AsyncExitStack() as stack:
        old = await stack.enter_async_context(running_previous_carrier(b""))
        new, _ = await stack.enter_async_context(running_carrier(answer_with(b"")))
        members = Members("gw-1")
        members.add("gw-2", new.address, 1, 100)
        for number in range(3, 9):
            members.add(f"gw-{number}", old, 1, 100)
        connector = RelayConnector(
            "gw-1",
            members,
            parts.roster(parts.target("e1", address=("10.0.0.1", 1))),
            Metrics(),
        )
        found = []
        for _ in range(8):
            connection = await connector._connect_relayed(("10.0.0.1", 1))
            found.append(connection.has_frames)
            connection.close()
        assert found[-1]
        assert found == sorted(found)
