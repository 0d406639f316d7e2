"""Connections to targets through other gateways, for one that doesn't reach them.

A gateway whose own connections fail asks another one, over its port for peers, to
connect to a target and to copy bytes both ways. Requests, limits and evidence stay with
the gateway that has the caller; see docs/design/relayed-connections.md.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from functools import partial
from typing import cast

import structlog
import xxhash
from attrs import define, field

from flamingopond_core.exceptions import FlamingopondError

from ..messages import Relay, encode
from ..metrics import Metrics
from ..settings import Address
from ..targets.roster import Roster, Target
from ..transport.connection import (
    Connection,
    ConnectionBrokenError,
    connect,
    enable_dead_peer_detection,
    is_refusing_connections,
)
from ..transport.connector import has_ended
from ..transport.reachability import Reachability
from .members import Member, Members
from .pulls import to_frame
from .relayed_stream import (
    RELAY_BUFFER_BYTES,
    FramedWriter,
    PlainWriter,
    RelayedConnection,
    TargetWriter,
    carry,
)

# A direct connection takes some 3 ms inside a region; once it has taken this long,
# another gateway is asked as well, and the first connection that is open is used.
DETOUR_DELAY_S = 0.3
# Time for another gateway to connect to a target, and for the whole detour.
RELAY_CONNECT_TIMEOUT_S = 0.5
DETOUR_TIMEOUT_S = 0.8
# Gateways that are asked for one connection, and how long one is left alone after it
# has not opened one. Many may be cut off from the targets at once.
MAX_ASKED = 4
HELPER_PAUSE_S = 1.0
# Other targets that a gateway tries before it says that one can't be connected to.
CONFIRMING_TARGETS = 2
# Relayed connections that a gateway carries for others. Each keeps up to four buffers.
MAX_RELAYED = 128

# Replies to a request for a connection. After ``CONNECTED`` the bytes of the target
# follow as they are, after ``FRAMED`` in frames.
CONNECTED, FRAMED = b"c", b"f"
REFUSED, UNREACHABLE, DENIED = b"r", b"u", b"d"

log = structlog.get_logger()


class RelayError(FlamingopondError):
    """Raised when another gateway opened no connection; ``reply`` is its reason."""

    def __init__(self, reply: bytes) -> None:
        """Store the reply, ``DENIED`` if there was none."""
        super().__init__("no connection through another gateway")
        self._reply = reply

    @property
    def reply(self) -> bytes:
        """One of the replies above."""
        return self._reply


class _Handshake(asyncio.Protocol):
    """Waits for the one byte with which a gateway answers, and reads no further.

    More bytes may have arrived with it if the target has ended the connection already.
    """

    def __init__(self) -> None:
        self.reply: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self._transport.pause_reading()
        if not self.reply.done():
            self.reply.set_result(data)

    def connection_lost(self, error: Exception | None) -> None:
        if not self.reply.done():
            self.reply.set_result(DENIED)


async def open_relayed(address: Address, relay: Relay) -> RelayedConnection:
    """Open a connection to a target through the gateway at ``address``.

    Raises RelayError, OSError or TimeoutError.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(DETOUR_TIMEOUT_S):
        transport, handshake = await loop.create_connection(_Handshake, *address)
        try:
            enable_dead_peer_detection(transport.get_extra_info("socket"))
            transport.write(to_frame(encode(relay), compressed=False))
            received = await handshake.reply
        except BaseException:
            transport.abort()
            raise
    reply, rest = received[:1], received[1:]
    if reply not in (CONNECTED, FRAMED):
        transport.abort()
        raise RelayError(reply)
    connection = RelayedConnection(framed=reply == FRAMED)
    transport.set_protocol(connection)
    connection.connection_made(transport)
    transport.resume_reading()
    if rest:
        connection.data_received(rest)
    return connection


@define(eq=False)
class RelayConnector:
    """Connects to targets directly, or through another gateway where that fails.

    ``on_cut_off`` is called once this gateway finds that it reaches no target.
    """

    node: str
    members: Members
    roster: Roster
    metrics: Metrics
    reachability: Reachability = field(factory=Reachability)
    on_cut_off: Callable[[], None] = lambda: None
    _paused_until: dict[str, float] = field(factory=dict)
    # Gateways that send no frames, with the versions of their registrations.
    _unframed: dict[str, int] = field(factory=dict)
    _probes: set[asyncio.Task[None]] = field(factory=set)

    def detours(self, address: Address) -> bool:
        """Whether a new connection would be opened through another gateway."""
        return self.reachability.detours(address, asyncio.get_running_loop().time())

    async def connect(self, address: Address) -> Connection:
        """Open a connection; raises ConnectionBrokenError if no way leads there."""
        if not self.detours(address):
            return await self._connect_either_way(address)
        self._probe(address)
        try:
            return await self._connect_relayed(address)
        except RelayError as error:
            if error.reply != DENIED:
                raise ConnectionBrokenError("unreachable from here and there") from None
        return await self.connect_directly(address)

    async def connect_directly(self, address: Address) -> Connection:
        """Open a connection without a detour, and record whether that was possible."""
        try:
            connection = await connect(address)
        except ConnectionBrokenError:
            self.record_failed(address)
            raise
        self.record_connected(address)
        return connection

    async def is_refusing(self, address: Address, timeout_s: float) -> bool:
        """Whether nothing listens at an address, as after the crash of a process.

        A cut between this gateway and a sound target looks the same from here, so that
        it doesn't count if another gateway connects.
        """
        if not await is_refusing_connections(address, timeout_s):
            return False
        self.record_failed(address)
        if not self.members.count() > 1:
            return True
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._connect_relayed(address)
        except (RelayError, TimeoutError):
            return True
        connection.close()
        return False

    def note_lost(self, address: Address) -> None:
        """Look whether a target that has lost a connection can be connected to."""
        self._probe(address)

    def note_answered(self) -> None:
        """Note that a response has begun on a direct connection."""
        if self.reachability.record_answered():
            log.info("targets reached again", address="")

    async def _connect_either_way(self, address: Address) -> Connection:
        direct = asyncio.ensure_future(self.connect_directly(address))
        async with _owned(direct):
            await asyncio.wait((direct,), timeout=DETOUR_DELAY_S)
            if direct.done() and direct.exception() is None:
                return direct.result()
            relayed = asyncio.ensure_future(self._connect_relayed(address))
            async with _owned(relayed):
                waiting = {one for one in (direct, relayed) if not one.done()}
                while waiting:
                    done, waiting = await asyncio.wait(
                        waiting, return_when=asyncio.FIRST_COMPLETED
                    )
                    for one in done:
                        if one.exception() is None:
                            if one is relayed and not direct.done():
                                self.record_failed(address)
                            return one.result()
            return direct.result()

    async def _connect_relayed(self, address: Address) -> Connection:
        """Ask other gateways in turn; raises RelayError with the most telling reply."""
        loop = asyncio.get_running_loop()
        target = self._target(address)
        told = DENIED
        if target is None:
            raise RelayError(told)
        relay = Relay(self.node, target.id, framed=True)
        for node in self._helpers(target, loop.time())[:MAX_ASKED]:
            helper = self.members.get(node)
            if helper is None:
                continue
            reply = DENIED
            try:
                connection = await open_relayed(helper.address, relay)
            except RelayError as error:
                reply = error.reply
            except (OSError, TimeoutError, ConnectionBrokenError):
                pass
            else:
                self.metrics.count_relay("asked", "connected")
                if not connection.has_frames:
                    self._unframed[node] = helper.registration_version
                return connection
            if reply == DENIED:
                self._paused_until[node] = loop.time() + HELPER_PAUSE_S
                self.metrics.count_relay("asked", "denied")
                continue
            # This gateway tells about the target, not about itself.
            self.metrics.count_relay("asked", "unreachable")
            told = reply
            break
        raise RelayError(told)

    def _helpers(self, target: Target, now: float) -> list[str]:
        """Return the gateways to ask, in an order that differs between targets.

        Those that send no frames come last: a response that ends with its connection
        is broken there.
        """
        usable = [
            member
            for member in self.members
            if member.silent_since is None
            and self._paused_until.get(member.node, 0.0) <= now
        ]

        def order(member: Member) -> tuple[bool, int]:
            unframed = self._unframed.get(member.node) == member.registration_version
            names = f"{self.node}\0{member.node}\0{target.id}"
            return unframed, xxhash.xxh3_64_intdigest(names.encode())

        return [member.node for member in sorted(usable, key=order)]

    def _target(self, address: Address) -> Target | None:
        for target in self.roster.listed():
            if target.address == address:
                return target
        return None

    def _probe_another(self) -> None:
        """Look whether a target can be connected to that has not failed."""
        for target in self.roster:
            if not self.reachability.failed_in_a_row(target.address):
                self._probe(target.address)
                return

    def _probe(self, address: Address) -> None:
        """Connect directly in the background, unless that was tried just now."""
        now = asyncio.get_running_loop().time()
        if not self.reachability.begin_probe(now):
            return

        async def probe() -> None:
            with contextlib.suppress(ConnectionBrokenError):
                (await self.connect_directly(address)).close()

        task = asyncio.ensure_future(probe())
        self._probes.add(task)
        task.add_done_callback(self._probes.discard)

    def record_connected(self, address: Address) -> None:
        """Record that this gateway has connected to a target itself."""
        if self.reachability.record_connected(address):
            log.info("targets reached again", address=address[0])

    def record_failed(self, address: Address) -> None:
        """Record that this gateway could not connect to a target itself."""
        now = asyncio.get_running_loop().time()
        if self.reachability.record_failed(address, now):
            log.warning("cut off from targets", address=address[0])
            self.on_cut_off()
        elif self.reachability.in_doubt and not self.reachability.cut_off:
            self._probe_another()


@asynccontextmanager
async def _owned(task: asyncio.Task[Connection]) -> AsyncIterator[None]:
    """Close the connection that a task opens unless it is returned."""
    returned = False
    try:
        yield
        returned = task.done() and not task.cancelled() and task.exception() is None
    finally:
        if not returned:
            task.cancel()
            task.add_done_callback(_close_connection)


def _close_connection(task: asyncio.Task[Connection]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


@define(eq=False)
class RelayServer:
    """Connects to targets for other gateways and copies bytes both ways."""

    members: Members
    roster: Roster
    connector: RelayConnector
    metrics: Metrics
    is_leaving: Callable[[], bool] = lambda: False
    _open: int = 0
    _carried: set[TargetWriter] = field(factory=set)

    @property
    def carried(self) -> int:
        """Number of connections that this gateway carries."""
        return len(self._carried)

    def leave(self) -> None:
        """Ask the senders to use the carried connections for no further request."""
        for output in self._carried:
            output.disable_reuse()

    async def serve(
        self,
        relay: Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Answer a request for a connection, and carry it until either side ends."""
        peer = writer.get_extra_info("peername")
        if not self._may_carry(relay.node, peer[0] if peer else ""):
            await self._reply(writer, DENIED)
            return
        self._open += 1
        try:
            target = self.roster.get(relay.target)
            upstream = UNREACHABLE if target is None else await self._dial(target)
            if isinstance(upstream, bytes):
                if target is not None and not await self._reaches_others(target):
                    upstream = DENIED
                await self._reply(writer, upstream)
                return
            assert target is not None
            with contextlib.closing(upstream[1]):
                await self._reply(writer, FRAMED if relay.framed else CONNECTED)
                writer_type = FramedWriter if relay.framed else PlainWriter
                with self._carrying(writer_type(writer)) as output:
                    await carry(
                        (reader, writer),
                        upstream,
                        output,
                        partial(has_ended, self.connector, target.address),
                    )
        finally:
            self._open -= 1

    @contextlib.contextmanager
    def _carrying(self, output: TargetWriter) -> Iterator[TargetWriter]:
        """Count a connection, and tell its sender once this gateway leaves."""
        self._carried.add(output)
        if self.is_leaving():
            output.disable_reuse()
        try:
            yield output
        finally:
            self._carried.discard(output)

    def _may_carry(self, node: str, peer_ip: str) -> bool:
        """Whether to try; a gateway that is cut off itself would mislead others."""
        member = self.members.get(node)
        return (
            member is not None
            and member.address[0] == peer_ip
            and self._open < MAX_RELAYED
            and not self.connector.reachability.cut_off
            and not self.is_leaving()
        )

    async def _dial(
        self, target: Target
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | bytes:
        """Connect to a target; return the reply that tells why not."""
        try:
            async with asyncio.timeout(RELAY_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *target.address, limit=RELAY_BUFFER_BYTES
                )
        except ConnectionRefusedError:
            self.connector.record_failed(target.address)
            return REFUSED
        except (OSError, TimeoutError):
            self.connector.record_failed(target.address)
            return UNREACHABLE
        self.connector.record_connected(target.address)
        return reader, writer

    async def _reaches_others(self, failed: Target) -> bool:
        """Whether this gateway can open connections to targets at all.

        One whose new connections are refused, while its open ones live on, would name
        sound targets as failed.
        """
        others = [one for one in self.roster if one.address != failed.address]
        for target in others[:CONFIRMING_TARGETS]:
            found = await self._dial(target)
            if not isinstance(found, bytes):
                found[1].close()
                return True
        return False

    async def _reply(self, writer: asyncio.StreamWriter, reply: bytes) -> None:
        opened = {CONNECTED: "connected", FRAMED: "connected", DENIED: "denied"}
        outcome = opened.get(reply, "unreachable")
        self.metrics.count_relay("carried", outcome)
        writer.write(reply)
        await writer.drain()
