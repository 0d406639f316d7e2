"""Transport between gateways: UDP for messages, TCP for pulls of table rows."""

from __future__ import annotations

import asyncio
import struct
from collections.abc import Callable, Iterable, Mapping

import msgspec
import structlog
from attrs import define, field

from .connection import enable_dead_peer_detection
from .members import Member
from .messages import (
    Datagram,
    Pull,
    Pulled,
    WireRow,
    decode_datagram,
    decode_pull,
    decode_pulled,
    encode,
)
from .metrics import Metrics
from .settings import Address
from .storage import Row, Rows
from .tables import TableCopy

# A pull within a region takes a few milliseconds; a lost packet is sent again after
# 0.2 s.
PULL_TIMEOUT_S = 0.5
# A frame holds at most a whole table: some hundred target entries, or one large
# configuration.
MAX_FRAME_BYTES = 4194304
# Largest payload of an IPv4 UDP datagram.
MAX_DATAGRAM_BYTES = 65507

log = structlog.get_logger()


class _DatagramReceiver(asyncio.DatagramProtocol):
    """Decodes datagrams and drops malformed ones."""

    def __init__(self, on_message: Callable[[Datagram, Address], None]) -> None:
        self._on_message = on_message

    def datagram_received(self, data: bytes, address: Address) -> None:
        try:
            message = decode_datagram(data)
        except msgspec.MsgspecError as error:
            log.warning("malformed datagram", sender=address[0], reason=str(error))
            return
        self._on_message(message, address)

    def error_received(self, error: Exception) -> None:
        # Nothing listens on the peer's port; its silence is detected anyway.
        return


def _to_wire_row(row: Row) -> WireRow:
    return WireRow(row.part, row.key, row.value, row.version, row.removed)


def _from_wire_row(table: str, wire: WireRow) -> Row:
    return Row(table, wire.part, wire.key, wire.value, wire.version, wire.removed)


@define
class Transfer:
    """Progress of one pull, at the gateway that asked or at the one that serves.

    ``size`` and ``done`` are in bytes; the size is 0 until it is known.
    """

    stage: str = "connecting"
    table: str = ""
    size: int = 0
    done: int = 0
    started_at: float = field(factory=lambda: asyncio.get_running_loop().time())

    @property
    def elapsed_s(self) -> float:
        """Time since the start."""
        return asyncio.get_running_loop().time() - self.started_at

    def log_fields(self, error: Exception) -> dict[str, object]:
        """Return what the log line of a failed pull says."""
        return {
            "table": self.table,
            "stage": self.stage,
            "reason": str(error) or type(error).__name__,
            "bytes": self.done,
            "of_bytes": self.size,
            "elapsed_s": round(self.elapsed_s, 3),
        }


@define(eq=False)
class PeerLink:
    """Sends and receives messages, and serves and sends pulls, for one gateway."""

    address: Address
    tables: Mapping[str, TableCopy]
    on_message: Callable[[Datagram, Address], None]
    metrics: Metrics
    _transport: asyncio.DatagramTransport | None = None

    async def open(self) -> asyncio.Server:
        """Listen for datagrams and pulls."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self.on_message), local_addr=self.address
        )
        self._transport = transport
        return await asyncio.start_server(self._serve_pulls, *self.address)

    def close(self) -> None:
        """Stop sending and receiving datagrams."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: Datagram, addresses: Iterable[Address]) -> None:
        """Send a message to other gateways; it may be lost."""
        data = encode(message)
        if self._transport is None or len(data) > MAX_DATAGRAM_BYTES:
            log.error("message too large or transport closed", size=len(data))
            return
        for address in addresses:
            self._transport.sendto(data, address)

    async def pull(
        self, member: Member, table: str, after: int
    ) -> tuple[Rows, Transfer] | None:
        """Request rows newer than ``after`` from a member; None if that fails."""
        transfer = Transfer(table=table)
        try:
            async with asyncio.timeout(PULL_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*member.address)
                try:
                    transfer.stage = "waiting"
                    _write_frame(writer, encode(Pull(table, after)))
                    reply = decode_pulled(await _read_frame(reader, transfer))
                finally:
                    writer.close()
        except (OSError, TimeoutError, EOFError, msgspec.MsgspecError) as error:
            self.metrics.count_pull(table, f"failed_{transfer.stage}", transfer.done)
            log.info("pull failed", peer=member.node, **transfer.log_fields(error))
            return None
        outcome = "received" if reply.available else "unavailable"
        self.metrics.count_pull(table, outcome, transfer.done)
        if not reply.available:
            return None
        rows = tuple(_from_wire_row(table, wire) for wire in reply.rows)
        return Rows(rows, reply.version), transfer

    async def _serve_pulls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        transfer = Transfer(stage="waiting")
        try:
            enable_dead_peer_detection(writer.get_extra_info("socket"))
            async with asyncio.timeout(PULL_TIMEOUT_S):
                pull = decode_pull(await _read_frame(reader))
                transfer.table = pull.table
                transfer.stage = "sending"
                data = encode(self._answer_pull(pull))
                transfer.size = len(data)
                _write_frame(writer, data)
                await writer.drain()
            self.metrics.count_served_pull(pull.table, "sent", len(data))
        except (OSError, TimeoutError, EOFError, msgspec.MsgspecError) as error:
            transfer.done = transfer.size - writer.transport.get_write_buffer_size()
            self.metrics.count_served_pull(
                transfer.table, f"failed_{transfer.stage}", transfer.done
            )
            log.info(
                "serving pull failed",
                peer=writer.get_extra_info("peername")[0],
                **transfer.log_fields(error),
            )
        finally:
            writer.close()

    def _answer_pull(self, pull: Pull) -> Pulled:
        copy = self.tables.get(pull.table)
        if copy is None or not copy.complete:
            return Pulled(pull.table, False, 0, [])
        changed = copy.changed_after(pull.after)
        rows = [_to_wire_row(row) for row in changed.rows]
        return Pulled(pull.table, True, changed.version, rows)


def _write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(struct.pack(">I", len(data)) + data)


async def _read_frame(
    reader: asyncio.StreamReader, transfer: Transfer | None = None
) -> bytes:
    (size,) = struct.unpack(">I", await reader.readexactly(4))
    if size > MAX_FRAME_BYTES:
        raise EOFError(f"frame too large: {size} bytes")
    transfer = transfer or Transfer()
    transfer.stage, transfer.size = "receiving", size
    chunks = []
    while transfer.done < size:
        chunk = await reader.read(size - transfer.done)
        if not chunk:
            raise EOFError("connection closed by the peer")
        chunks.append(chunk)
        transfer.done += len(chunk)
    return b"".join(chunks)
