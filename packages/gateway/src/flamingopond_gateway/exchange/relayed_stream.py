"""The protocol of relayed connections, once both sides are connected.

Requests are sent as they are. The bytes of the target are sent in frames, each of which
is a length (four bytes, network order) and as many bytes. A mark in place of a length
tells how the target's connection ended: a response may end with its connection, and the
end of the connection between the gateways may be that of the gateway in between.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator
from enum import IntEnum
from typing import Protocol

from attrs import define, field

from ..transport.connection import (
    Connection,
    ConnectionBrokenError,
    enable_dead_peer_detection,
)

# Bytes that are read from a target at a time, and wait for the other side at most.
RELAY_BUFFER_BYTES = 16384
_LENGTH = struct.Struct(">I")

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Mark(IntEnum):
    """Values in place of a frame's length; the first two end the stream."""

    # The target has closed its connection; all its bytes have been sent.
    CLOSED = 0xFFFFFFFF
    # The connection to the target was reset or lost.
    LOST = 0xFFFFFFFE
    # No more requests may be sent, as the gateway in between is about to stop or the
    # target has closed the connection; more frames may follow.
    NO_REUSE = 0xFFFFFFFD


@define
class FrameDecoder:
    """Returns the bytes of a target that arrive in frames."""

    _mark: Mark | None = None
    _reuse_disabled: bool = False
    _left: int = 0
    _length: bytearray = field(factory=bytearray)

    @property
    def mark(self) -> Mark | None:
        """The mark that has ended the stream."""
        return self._mark

    @property
    def reuse_disabled(self) -> bool:
        """Whether no more requests may be sent."""
        return self._reuse_disabled

    def decode(self, data: bytes | memoryview) -> bytes:
        """Return the bytes of the target in ``data``.

        Raises ConnectionBrokenError if these are no frames.
        """
        rest = memoryview(data)
        parts = []
        while rest:
            if self._mark is not None:
                raise ConnectionBrokenError("bytes received after the last frame")
            if self._left:
                parts.append(rest[: self._left])
                rest = rest[self._left :]
                self._left -= len(parts[-1])
                continue
            missing = _LENGTH.size - len(self._length)
            self._length += rest[:missing]
            rest = rest[missing:]
            if len(self._length) == _LENGTH.size:
                self._begin_frame(*_LENGTH.unpack(self._length))
                self._length.clear()
        return b"".join(parts)

    def _begin_frame(self, length: int) -> None:
        if 0 < length <= RELAY_BUFFER_BYTES:
            self._left = length
            return
        try:
            mark = Mark(length)
        except ValueError:
            raise ConnectionBrokenError("malformed frame") from None
        if mark is Mark.NO_REUSE:
            self._reuse_disabled = True
        else:
            self._mark = mark


class RelayedConnection(Connection):
    """A connection to a target that another gateway carries.

    Without frames, as from a gateway of the previous version, a response that ends with
    its connection is never complete.
    """

    def __init__(self, framed: bool) -> None:
        """``framed`` is whether the bytes of the target arrive in frames."""
        super().__init__()
        self.relayed = True
        self._frames = FrameDecoder() if framed else None

    @property
    def has_frames(self) -> bool:
        """Whether the bytes of the target arrive in frames."""
        return self._frames is not None

    @property
    def closed_by_peer(self) -> bool:
        """Whether the target closed the connection, or may have done so."""
        if self._frames is None:
            return super().closed_by_peer
        return self._frames.mark is not None

    def eof_received(self) -> bool:
        """Note that the other gateway has closed the connection."""
        self._closed_by_peer = True
        return False

    def _parse(self, data: bytes | memoryview) -> None:
        if self._frames is None:
            super()._parse(data)
            return
        try:
            received = self._frames.decode(data)
        except ConnectionBrokenError as error:
            self._fail(str(error))
            return
        if received:
            super()._parse(received)
        if self._frames.reuse_disabled:
            self.disable_reuse()
            if self.complete:
                self.close()
        if self._frames.mark is Mark.CLOSED:
            super().eof_received()
            self._fail("connection closed by the target")
        elif self._frames.mark is Mark.LOST:
            self._fail("connection to the target lost")


class TargetWriter(Protocol):
    """Passes the bytes of a target on to the gateway that asked for them."""

    async def write(self, data: bytes) -> None:
        """Pass bytes on; returns once there is room for more."""

    async def finish(self) -> None:
        """Tell that the target has closed its connection."""

    async def fail(self) -> None:
        """Tell that the connection to the target was reset or lost."""

    def disable_reuse(self) -> None:
        """Tell that no more requests may be sent."""


@define(eq=False)
class FramedWriter:
    """Passes the bytes of a target on in frames."""

    _writer: asyncio.StreamWriter

    async def write(self, data: bytes) -> None:
        """Pass at most ``RELAY_BUFFER_BYTES`` on; returns once there is room."""
        self._writer.write(_LENGTH.pack(len(data)) + data)
        await self._writer.drain()

    async def finish(self) -> None:
        """Tell that the target has closed its connection."""
        await self._end(Mark.CLOSED)

    async def fail(self) -> None:
        """Tell that the connection to the target was reset or lost."""
        await self._end(Mark.LOST)

    def disable_reuse(self) -> None:
        """Tell between two frames that no more requests may be sent."""
        self._write_mark(Mark.NO_REUSE)

    async def _end(self, mark: Mark) -> None:
        self._write_mark(mark)
        await self._writer.drain()

    def _write_mark(self, mark: Mark) -> None:
        # uvloop raises RuntimeError for a connection that has been closed.
        if not self._writer.transport.is_closing():
            self._writer.write(_LENGTH.pack(mark))


@define(eq=False)
class PlainWriter:
    """Passes the bytes of a target on as they are, to the previous version.

    The end of the connection is a reset, also if this process is killed, unless the
    target has closed its own.
    """

    _writer: asyncio.StreamWriter

    def __attrs_post_init__(self) -> None:
        """Let the kernel reset the connection when its descriptor is closed."""
        self._set_linger(True)

    async def write(self, data: bytes) -> None:
        """Pass bytes on; returns once there is room for more."""
        self._writer.write(data)
        await self._writer.drain()

    async def finish(self) -> None:
        """Let the connection end with a close once all bytes have been passed on."""
        self._writer.transport.set_write_buffer_limits(high=0)
        await self._writer.drain()
        self._set_linger(False)

    async def fail(self) -> None:
        """Reset the connection."""
        self._writer.transport.abort()

    def disable_reuse(self) -> None:
        """Tell nothing, as there is no way to."""

    def _set_linger(self, resets: bool) -> None:
        sock = self._writer.get_extra_info("socket")
        if sock is None:
            raise ConnectionBrokenError("connection closed as it was opened")
        # Without a time to linger, `close` resets the connection.
        linger = struct.pack("ii", resets, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


async def carry(
    gateway: Streams,
    target: Streams,
    output: TargetWriter,
    has_ended: Callable[[], Awaitable[bool]],
) -> None:
    """Copy bytes until either side ends, and tell the gateway how the target ended.

    ``output`` writes the bytes of the target to the gateway. ``has_ended`` tells
    whether the target's process has ended; its kernel has closed the connection then.
    """
    reader, writer = gateway
    writer.transport.set_write_buffer_limits(high=RELAY_BUFFER_BYTES)
    target[1].transport.set_write_buffer_limits(high=RELAY_BUFFER_BYTES)
    enable_dead_peer_detection(target[1].get_extra_info("socket"))
    requests = asyncio.ensure_future(_copy_requests(reader, target[1]))
    responses = asyncio.ensure_future(_copy_responses(target[0], output))
    with _cancelled_at_end(requests, responses):
        done, _ = await asyncio.wait(
            (requests, responses), return_when=asyncio.FIRST_COMPLETED
        )
        if any(task.exception() is not None for task in done):
            if target[0].exception() is None or writer.transport.is_closing():
                writer.transport.abort()
            else:
                await output.fail()
        elif responses in done:
            # Nothing more may be sent on it, whatever has ended it.
            output.disable_reuse()
            await (output.fail() if await has_ended() else output.finish())


@contextlib.contextmanager
def _cancelled_at_end(*tasks: asyncio.Task[None]) -> Iterator[None]:
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


async def _copy_requests(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    while data := await reader.read(RELAY_BUFFER_BYTES):
        writer.write(data)
        await writer.drain()


async def _copy_responses(reader: asyncio.StreamReader, writer: TargetWriter) -> None:
    while data := await reader.read(RELAY_BUFFER_BYTES):
        await writer.write(data)
