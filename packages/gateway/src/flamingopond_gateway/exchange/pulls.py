"""Pulls of table rows from another gateway over TCP.

The time limit of a transfer follows its progress: a large one may take long, while one
that stands still, or is slower than any link of a gateway, is given up.
"""

from __future__ import annotations

import asyncio
import random
import struct
import zlib
from collections.abc import Awaitable, Callable, Iterator, Mapping
from contextlib import closing, contextmanager, suppress

import msgspec
import structlog
from attrs import define, field

from flamingopond_core.exceptions import FlamingopondError

from ..messages import (
    Pull,
    Pulled,
    Relay,
    RowVersion,
    WireRow,
    decode_peer_request,
    decode_pulled,
    encode,
)
from ..metrics import Metrics
from ..settings import Address
from ..store.row_delta import RowDeltaError, apply_delta, encode_delta
from ..store.storage import Row, Rows
from ..store.tables import TableCopy
from ..transport.connection import ConnectionBrokenError, enable_dead_peer_detection
from .distribution import HolderList, UploadBudget

# A lost SYN is sent again after 1 s; by then another holder has been asked.
CONNECT_TIMEOUT_S = 0.5
# A transfer is given up if it stands still for this long, or falls as far behind the
# lowest acceptable rate, a tenth of a link of 5 Mbit/s.
STALL_TIMEOUT_S = 1.0
MIN_BYTES_PER_S = 65536
# Data is written in pieces of this size, each with a time limit of its own.
CHUNK_BYTES = 16384
# Largest frame, also once decompressed: a whole table of the largest fleet.
MAX_FRAME_BYTES = 16777216
# Frames below this size are not compressed.
MIN_COMPRESSED_BYTES = 1024
COMPRESSION_LEVEL = 1
# Frames that are kept, as many gateways ask for the same rows.
KEPT_FRAMES = 8
# Gateways of the previous version do not tell the rate of their link.
UNKNOWN_LINK_MBPS = 10
# Bit of a frame's length that marks the frame as compressed.
COMPRESSED_FLAG = 0x80000000

log = structlog.get_logger()

RelayHandler = Callable[
    [Relay, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]

# What ``pull_rows`` raises.
PULL_ERRORS = (
    FlamingopondError,
    OSError,
    TimeoutError,
    EOFError,
    RecursionError,
    msgspec.MsgspecError,
    zlib.error,
)


class FrameError(FlamingopondError):
    """A peer sent a frame that is too large or can't be decompressed."""


@define
class Transfer:
    """Progress of one pull, at the gateway that asked or at the one that serves.

    ``size`` and ``done`` are in bytes as sent; the size is 0 until it is known.
    """

    stage: str = "connecting"
    table: str = ""
    size: int = 0
    done: int = 0
    _started_at: float = field(factory=lambda: asyncio.get_running_loop().time())
    _progress_at: float = field(init=False)

    @_progress_at.default
    def _start(self) -> float:
        return self._started_at

    @property
    def elapsed_s(self) -> float:
        """Time since the start."""
        return asyncio.get_running_loop().time() - self._started_at

    @property
    def deadline(self) -> float:
        """Time by which the next bytes are due."""
        return min(
            self._progress_at + STALL_TIMEOUT_S,
            self._started_at + STALL_TIMEOUT_S + self.done / MIN_BYTES_PER_S,
        )

    def note_progress(self, stage: str, size: int = 0) -> None:
        """Note that ``stage`` has begun, or gone on by ``size`` bytes."""
        self.stage = stage
        self.done += size
        self._progress_at = asyncio.get_running_loop().time()

    def log_fields(self, error: BaseException) -> dict[str, object]:
        """Return what the log line of a failed pull says."""
        return {
            "table": self.table,
            "stage": self.stage,
            "reason": str(error) or type(error).__name__,
            "bytes": self.done,
            "of_bytes": self.size,
            "elapsed_s": round(self.elapsed_s, 3),
        }


async def pull_rows(address: Address, pull: Pull, transfer: Transfer) -> Pulled:
    """Ask the gateway at ``address`` for rows.

    Raises one of ``PULL_ERRORS``; ``transfer`` tells how far the pull came.
    """
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*address)
    try:
        enable_dead_peer_detection(writer.get_extra_info("socket"))
        transfer.note_progress("waiting")
        _write_frame(writer, encode(pull))
        return decode_pulled(await _read_frame(reader, transfer))
    finally:
        writer.close()


@define(eq=False)
class PullServer:
    """Serves the rows of this gateway's tables to other gateways.

    While its link is busy it answers with the names of other holders instead.
    """

    tables: Mapping[str, TableCopy]
    metrics: Metrics
    budget: UploadBudget
    # Carries a connection for a gateway that asks for one in place of rows.
    relay: RelayHandler | None = None
    _holders: dict[str, HolderList] = field(factory=dict)
    _frames: dict[object, bytes] = field(factory=dict)
    _rng: random.Random = field(factory=random.Random)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, which carries one pull or becomes a relayed one."""
        transfer = Transfer(stage="waiting")
        try:
            with closing(writer):
                enable_dead_peer_detection(writer.get_extra_info("socket"))
                asked = decode_peer_request(await _read_frame(reader, transfer))
                if isinstance(asked, Relay):
                    await self._carry(asked, reader, writer)
                    return
                pull = asked
                transfer = Transfer(stage="sending", table=pull.table)
                await self._answer(pull, reader, writer, transfer)
        except PULL_ERRORS as error:
            outcome = f"failed_{transfer.stage}"
            self.metrics.count_served_pull(transfer.table, outcome, transfer.done)
            peer = writer.get_extra_info("peername") or ("",)
            log.info("serving pull failed", peer=peer[0], **transfer.log_fields(error))

    async def _carry(
        self,
        relay: Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        # Either end may be lost at any time; its gateway or target sees that itself.
        with suppress(OSError, ConnectionBrokenError):
            if self.relay is not None:
                await self.relay(relay, reader, writer)

    async def _answer(
        self,
        pull: Pull,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        transfer: Transfer,
    ) -> None:
        copy = self.tables.get(pull.table)
        if copy is None or not copy.complete:
            _write_frame(writer, encode(Pulled(pull.table, False, 0, [])))
            self.metrics.count_served_pull(pull.table, "unavailable", 0)
            return
        version = copy.content_version
        data = self._encode_rows(copy, pull)
        transfer.size = len(data)
        with self._reserved(len(data), pull.link_mbps) as admitted:
            if not admitted:
                self._refuse(pull, writer)
                return
            await _write_paced(writer, data, transfer)
            # The peer closes the connection once it has the rows.
            async with asyncio.timeout_at(transfer.deadline):
                await reader.read(1)
        holders = self._holders.setdefault(pull.table, HolderList())
        holders.add(pull.node, version, pull.link_mbps)
        self.metrics.count_served_pull(pull.table, "sent", len(data))

    @contextmanager
    def _reserved(self, size: int, receiver_mbps: int) -> Iterator[bool]:
        """Reserve part of the link; yields whether that was possible."""
        rate_mbps = receiver_mbps or UNKNOWN_LINK_MBPS
        admitted = self.budget.try_begin(size, rate_mbps)
        try:
            yield admitted
        finally:
            if admitted:
                self.budget.end(size, rate_mbps)

    def _refuse(self, pull: Pull, writer: asyncio.StreamWriter) -> None:
        holders = self._holders.setdefault(pull.table, HolderList())
        named = holders.sample(pull.after, pull.node, self._rng)
        reply = Pulled(pull.table, False, 0, [], busy=True, holders=named)
        _write_frame(writer, encode(reply))
        self.metrics.count_served_pull(pull.table, "busy", 0)

    def _encode_rows(self, copy: TableCopy, pull: Pull) -> bytes:
        """Return the frame with the rows that the peer lacks."""
        whole_at = copy.content_version if pull.after < copy.removals_since else 0
        changed = copy.changed_after(0 if whole_at else pull.after)
        versions = tuple((row.part, row.key, row.version) for row in changed.rows)
        key = (pull.table, pull.compressed, whole_at, tuple(pull.present), versions)
        frame = self._frames.get(key)
        if frame is not None:
            return frame
        present = {(row.part, row.key): row.version for row in pull.present}
        rows = [
            _to_wire_row(row, copy, present.get((row.part, row.key), 0))
            for row in changed.rows
        ]
        reply = Pulled(pull.table, True, changed.version, rows, whole_at=whole_at)
        frame = to_frame(encode(reply), pull.compressed)
        self._frames[key] = frame
        while len(self._frames) > KEPT_FRAMES:
            del self._frames[next(iter(self._frames))]
        return frame


def present_rows(copy: TableCopy) -> list[RowVersion]:
    """Return the rows of which a peer may send differences."""
    return [RowVersion(row.part, row.key, row.version) for row in copy.large_rows()]


def received_rows(table: str, reply: Pulled, copy: TableCopy) -> Rows:
    """Return the rows of a successful pull.

    Raises RowDeltaError if a difference doesn't fit the rows of ``copy``.
    """
    rows = []
    for wire in reply.rows:
        value = wire.value
        if wire.base_version:
            base = copy.row(wire.part, wire.key)
            if base is None or base.version != wire.base_version:
                raise RowDeltaError("row has changed since the pull began")
            value = apply_delta(base.value, value)
        rows.append(Row(table, wire.part, wire.key, value, wire.version, wire.removed))
    return Rows(tuple(rows), reply.version)


def _to_wire_row(row: Row, copy: TableCopy, base_version: int) -> WireRow:
    """Encode a row, as the difference from ``base_version`` if that is possible."""
    base = row.value if base_version == row.version else None
    if base_version and base is None and not row.removed:
        base = copy.previous_value(row.part, row.key, base_version)
    delta = encode_delta(base, row.value) if base is not None else None
    if delta is None:
        return WireRow(row.part, row.key, row.value, row.version, row.removed)
    return WireRow(row.part, row.key, delta, row.version, False, base_version)


def to_frame(data: bytes, compressed: bool) -> bytes:
    """Return a message with its length before it, compressed if that is allowed."""
    if compressed and len(data) >= MIN_COMPRESSED_BYTES:
        data = zlib.compress(data, COMPRESSION_LEVEL)
        return struct.pack(">I", len(data) | COMPRESSED_FLAG) + data
    return struct.pack(">I", len(data)) + data


def _write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(to_frame(data, compressed=False))


async def _write_paced(
    writer: asyncio.StreamWriter, data: bytes, transfer: Transfer
) -> None:
    """Write ``data`` no faster than the peer reads it."""
    writer.transport.set_write_buffer_limits(high=CHUNK_BYTES)
    for start in range(0, len(data), CHUNK_BYTES):
        chunk = data[start : start + CHUNK_BYTES]
        writer.write(chunk)
        async with asyncio.timeout_at(transfer.deadline):
            await writer.drain()
        transfer.note_progress("sending", len(chunk))


async def _read_frame(reader: asyncio.StreamReader, transfer: Transfer) -> bytes:
    async with asyncio.timeout_at(transfer.deadline):
        (header,) = struct.unpack(">I", await reader.readexactly(4))
    size = header & ~COMPRESSED_FLAG
    if size > MAX_FRAME_BYTES:
        raise FrameError(f"frame too large: {size} bytes")
    transfer.size = size
    transfer.note_progress("receiving")
    chunks = []
    while transfer.done < size:
        async with asyncio.timeout_at(transfer.deadline):
            chunk = await reader.read(size - transfer.done)
        if not chunk:
            raise EOFError("connection closed by the peer")
        chunks.append(chunk)
        transfer.note_progress("receiving", len(chunk))
    data = b"".join(chunks)
    return _decompress(data) if header & COMPRESSED_FLAG else data


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(data, MAX_FRAME_BYTES)
    if not decompressor.eof:
        raise FrameError("compressed frame is incomplete or too large")
    return plain
