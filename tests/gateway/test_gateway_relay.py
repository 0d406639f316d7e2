"""Connections that one gateway carries for another, and when they are asked for."""

from __future__ import annotations

import asyncio
import contextlib

import gateway_parts as parts
import pytest

from flamingopond_gateway.exchange import relay as module
from flamingopond_gateway.exchange.members import Members
from flamingopond_gateway.exchange.pulls import PullServer
from flamingopond_gateway.exchange.relay import (
    DENIED,
    MAX_RELAYED,
    REFUSED,
    UNREACHABLE,
    RelayConnector,
    RelayError,
    RelayServer,
    open_relayed,
)
from flamingopond_gateway.messages import Relay
from flamingopond_gateway.metrics import Metrics
from flamingopond_gateway.transport.connection import ConnectionBrokenError
from flamingopond_gateway.transport.reachability import (
    DIRECT_RETRY_S,
    PROBE_PERIOD_S,
    Reachability,
)

pytestmark = pytest.mark.anyio

ONE, TWO, THREE = (("10.0.0.1", port) for port in (1, 2, 3))


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


# Guards against a gateway that takes one lost target for a cut, or misses a cut.
@pytest.mark.parametrize(
    ("events", "now", "cut_off", "detours"),
    [
        ([], 1.0, False, set()),
        ([("failed", ONE, 1.0)], 1.5, False, {ONE}),
        # A target that has failed is tried directly again.
        ([("failed", ONE, 1.0)], 1.0 + DIRECT_RETRY_S, False, set()),
        ([("failed", ONE, 1.0), ("failed", ONE, 1.2)], 1.5, False, {ONE}),
        # Two targets may crash at the same moment.
        ([("failed", ONE, 1.0), ("failed", TWO, 1.2)], 1.5, False, {ONE, TWO}),
        ([("failed", ONE, 1.0), ("failed", TWO, 1.6)], 1.7, True, {ONE, TWO, THREE}),
        # A cut has no end but an answer.
        ([("failed", ONE, 1.0), ("failed", TWO, 1.6)], 60.0, True, {ONE, TWO, THREE}),
        (
            [("failed", ONE, 1.0), ("connected", THREE, 1.1), ("failed", TWO, 1.6)],
            1.7,
            False,
            {ONE, TWO},
        ),
        (
            [("failed", ONE, 1.0), ("failed", TWO, 1.6), ("connected", ONE, 1.7)],
            1.8,
            False,
            {TWO},
        ),
        # Two targets have crashed; the others answer on open connections.
        (
            [("failed", ONE, 1.0), ("answered", None, 1.1), ("failed", TWO, 1.6)],
            1.7,
            False,
            {ONE, TWO},
        ),
        (
            [("failed", ONE, 1.0), ("failed", TWO, 1.6), ("answered", None, 1.7)],
            1.8,
            False,
            {ONE, TWO},
        ),
    ],
)
def test_targets_that_are_reached_through_others(events, now, cut_off, detours):
    reachability = Reachability()
    for kind, address, at in events:
        if kind == "failed":
            reachability.record_failed(address, at)
        elif kind == "answered":
            reachability.record_answered()
        else:
            reachability.record_connected(address)
    assert reachability.cut_off == cut_off
    found = {one for one in (ONE, TWO, THREE) if reachability.detours(one, now)}
    assert found == detours


# Guards the engines against a storm of probes from each cut gateway.
def test_probes_do_not_grow_with_the_targets():
    reachability = Reachability()
    due = [reachability.begin_probe(0.01 * number) for number in range(200)]
    assert sum(due) == pytest.approx(2.0 / PROBE_PERIOD_S, abs=1)


class Carrier:
    """A gateway that carries connections to ``e1``, and reaches ``e2``, or doesn't."""

    def __init__(self, target_port, other_port):
        self.members = Members("gw-2")
        self.members.add("gw-1", ("127.0.0.1", 1), 1, 100)
        listed = parts.roster(
            parts.target("e1", address=("127.0.0.1", target_port)),
            parts.target("e2", address=("127.0.0.1", other_port)),
        )
        self.leaving = False
        self.connector = RelayConnector("gw-2", self.members, listed, Metrics())
        self.server = RelayServer(
            self.members, listed, self.connector, Metrics(), lambda: self.leaving
        )
        self.address = ("127.0.0.1", 0)


@contextlib.asynccontextmanager
async def running_carrier(serve, address=None):
    """Run a carrier and its target, which ``serve`` answers for.

    Where ``address`` is given, the target is the one that listens there.
    """
    target = await asyncio.start_server(serve or never, "127.0.0.1", 0)
    other = await asyncio.start_server(never, "127.0.0.1", 0)
    ports = [one.sockets[0].getsockname()[1] for one in (target, other)]
    if address is not None:
        ports[0] = address[1]
    carrier = Carrier(*ports)
    carrier.other = other
    pulls = PullServer({}, Metrics(), None, carrier.server.serve)
    peers = await asyncio.start_server(pulls.serve, "127.0.0.1", 0)
    carrier.address = peers.sockets[0].getsockname()[:2]
    try:
        yield carrier, target
    finally:
        for server in (peers, target, other):
            server.close()


async def never(reader, writer):
    await reader.read()
    writer.close()


def unknown(carrier):
    del carrier.members._members["gw-1"]


def moved(carrier):
    carrier.members.add("gw-1", ("127.0.0.9", 1), 2, 100)


def cut_off(carrier):
    for number, address in enumerate((ONE, TWO)):
        carrier.connector.reachability.record_failed(address, float(number))


def full(carrier):
    carrier.server._open = MAX_RELAYED


def leaving(carrier):
    carrier.leaving = True


# Guards against connections for anybody, and against replies that mislead: a gateway
# that is cut off itself can't tell about a target.
@pytest.mark.parametrize(
    ("change", "target", "reply"),
    [
        (unknown, "e1", DENIED),
        (moved, "e1", DENIED),
        (cut_off, "e1", DENIED),
        (full, "e1", DENIED),
        (leaving, "e1", DENIED),
        (lambda carrier: None, "e9", UNREACHABLE),
        (lambda carrier: None, "gone", REFUSED),
        # All new connections of this gateway are refused, open ones live on.
        (lambda carrier: carrier.other.close(), "gone", DENIED),
    ],
)
async def test_connections_that_are_not_carried(change, target, reply):
    async with running_carrier(never) as (carrier, listener):
        change(carrier)
        if target == "gone":
            listener.close()
            await listener.wait_closed()
            target = "e1"
        with pytest.raises(RelayError) as error:
            await open_relayed(carrier.address, Relay("gw-1", target))
        assert error.value.reply == reply


async def answer(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n" + 500000 * b"x")
    await writer.drain()


async def reset(reader, writer):
    try:
        await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        # The carrier looks whether the target still listens.
        writer.close()
        return
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
    await writer.drain()
    await asyncio.sleep(0.05)
    writer.transport.abort()


# Guards MIXED: an answer that arrives in pieces is whole, and one that is cut off at
# the target doesn't look complete.
@pytest.mark.parametrize(("serve", "size"), [(answer, 500000), (reset, None)])
async def test_carried_answer_is_that_of_the_target(serve, size):
    async with running_carrier(serve) as (carrier, _):
        connection = await open_relayed(carrier.address, Relay("gw-1", "e1"))
        assert connection.relayed
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        await connection.wait_for_head()
        body = b""
        if size is None:
            with pytest.raises(ConnectionBrokenError):
                while True:
                    body += await connection.read()
            assert body in (b"", b"abc")
        else:
            while chunk := await connection.read():
                body += chunk
            assert len(body) == size
            assert connection.reusable
        connection.close()


# Guards GONE: a target worked on for callers that had left.
async def test_close_of_the_caller_reaches_the_target():
    closed = asyncio.Event()

    async def serve(reader, writer):
        with contextlib.suppress(ConnectionError):
            while await reader.read(1000):
                pass
        closed.set()
        writer.close()

    async with running_carrier(serve) as (carrier, _):
        connection = await open_relayed(carrier.address, Relay("gw-1", "e1"))
        connection.send(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.05)
        connection.close()
        async with asyncio.timeout(0.5):
            await closed.wait()
        await asyncio.sleep(0.05)
        assert carrier.server._open == 0


def connector_at(address, carrier_address=None):
    members = Members("gw-1")
    if carrier_address is not None:
        members.add("gw-2", carrier_address, 1, 100)
    return RelayConnector(
        "gw-1", members, parts.roster(parts.target("e1", address=address)), Metrics()
    )


async def refused_port():
    server = await asyncio.start_server(never, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return port


# Guards against crash evidence from a cut, and against none from a crash.
@pytest.mark.parametrize(
    ("others", "listening", "refusing"),
    [(False, False, True), (True, False, True), (True, True, False)],
)
async def test_crash_is_confirmed_by_another_gateway(others, listening, refusing):
    address = ("127.0.0.1", await refused_port())
    async with running_carrier(never) as (carrier, listener):
        if not listening:
            listener.close()
            await listener.wait_closed()
        connector = connector_at(address, carrier.address if others else None)
        assert await connector.is_refusing(address, 0.25) == refusing


# Guards against connections that go round for ever once a cut has ended.
async def test_direct_connections_come_back(monkeypatch):
    monkeypatch.setattr(module, "DETOUR_DELAY_S", 0.05)
    address = ("127.0.0.1", await refused_port())
    async with running_carrier(never) as (carrier, _):
        connector = connector_at(address, carrier.address)
        connection = await connector.connect(address)
        assert connection.relayed
        assert connector.detours(address)
        connection.close()
        server = await asyncio.start_server(never, *address)
        await asyncio.sleep(PROBE_PERIOD_S)
        (await connector.connect(address)).close()
        await asyncio.sleep(0.1)
        assert not connector.detours(address)
        connection = await connector.connect(address)
        assert not connection.relayed
        connection.close()
        server.close()
