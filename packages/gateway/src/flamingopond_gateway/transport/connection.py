"""HTTP/1.1 connections to targets, to the store and between gateways.

``httpx`` hides whether any bytes of a request were sent, and reuses connections
after responses that may not be complete. ``httptools`` does the parsing
(docs/platform.md has the measurement).
"""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import cast

import httptools

from flamingopond_core.exceptions import FlamingopondError

from ..requests import Header
from ..settings import Address
from .paced_input import ChunkAllowance, PacedInput

# Inside a region a connection takes a round trip of about 3 ms and a few ms at the
# peer; a lost SYN is retransmitted after 1 s.
CONNECT_TIMEOUT_S = 1.5
# Connections with bytes unacknowledged for this long are closed; a network
# partition shows in no other way.
UNACKNOWLEDGED_TIMEOUT_MS = 1500
# TCP keep-alive probes detect a dead peer while nothing is sent.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Reading from a connection pauses while more body bytes than this wait for the
# reader.
MAX_BUFFERED_BYTES = 65536
# Bytes of a response other than its body: status line, headers, interim responses,
# blank lines before them, chunk sizes, chunk extensions and trailers.
MAX_FRAMING_BYTES = 65536
# Body bytes restore the allowance for framing at this rate, so that bodies of any
# length may be chunked. A chunk of one byte takes 5 bytes of framing.
FRAMING_BYTES_PER_BODY_BYTE = 16
# Headers and trailers of one response.
MAX_HEADER_COUNT = 256
# Statuses of responses (RFC 9110, section 15); those below 200 are interim ones. The
# parser takes any three digits.
MIN_STATUS, MIN_FINAL_STATUS, MAX_STATUS = 100, 200, 599
# Requests of which a connection knows that it has carried them. A faulty peer writes a
# response once more where the next one is due, so that the last one would do.
REMEMBERED_REQUESTS = 16
# Body bytes of the responses that are skipped in one exchange.
MAX_SKIPPED_BYTES = 1048576

# Returns whether a response with these headers belongs to the current request.
ResponseFilter = Callable[[list[Header]], bool]


class ConnectionBrokenError(FlamingopondError):
    """A connection was lost or received malformed data; it can't be used again."""


def enable_dead_peer_detection(sock: socket.socket | None) -> None:
    """Let the kernel close a connection whose peer stops acknowledging.

    Raises ConnectionBrokenError if it has been closed already: asyncio then has a
    socket without a descriptor, uvloop none, and one that is closing in between.
    """
    if sock is None:
        raise ConnectionBrokenError("connection closed as it was opened")
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS),
    )
    try:
        for level, option, value in options:
            sock.setsockopt(level, option, value)
    except (OSError, ValueError) as error:
        raise ConnectionBrokenError(f"connection closed: {error}") from error


class Connection(asyncio.BufferedProtocol):
    """A client connection that carries one request at a time.

    It is reusable only after a response that was framed, complete and followed
    by no further bytes.
    """

    def __init__(self) -> None:
        """Start without a transport; ``connection_made`` sets it."""
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._header_count = 0
        self._receiving_body = False
        self._reason = b""
        self._status = 0
        self._framed = False
        self._head_received: asyncio.Future[None] | None = None
        # Pieces are joined: a small one would cost more than it carries.
        self._buffered = bytearray()
        self._read_waiter: asyncio.Future[None] | None = None
        self._complete = True
        self._failure_reason: str | None = None
        self._closed_by_peer = False
        self._reusable = True
        self._response_filter: ResponseFilter | None = None
        self._exchanges = 0
        self._request_ids: deque[str] = deque(maxlen=REMEMBERED_REQUESTS)
        self._skipped_responses = 0
        self._skipping_response = False
        self._framing_allowance = MAX_FRAMING_BYTES
        self._chunk_allowance = ChunkAllowance()
        self._skipped_bytes = 0
        self._body_bytes = 0
        self._input = PacedInput(self._parse)
        # Whether another gateway carries the connection.
        self.relayed = False
        self._loop = asyncio.get_running_loop()

    @property
    def status(self) -> int:
        """Status code of the current response."""
        return self._status

    @property
    def reason(self) -> bytes:
        """Reason phrase of the current response."""
        return self._reason

    @property
    def headers(self) -> list[Header]:
        """Headers of the current response."""
        return self._headers

    @property
    def framed(self) -> bool:
        """Whether the response body has a length or is chunked."""
        return self._framed

    @property
    def complete(self) -> bool:
        """Whether the current response has arrived completely."""
        return self._complete

    @property
    def head_complete(self) -> bool:
        """Whether the head of the current response has arrived."""
        return self._status >= MIN_FINAL_STATUS

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on this connection."""
        return (
            self._reusable
            and self._complete
            and not self._input.waiting
            and self._failure_reason is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    @property
    def may_hold_other_responses(self) -> bool:
        """Whether a response to an earlier request may still arrive.

        A faulty peer may write one once more. On a new connection there is none, until
        one has arrived.
        """
        return self._exchanges > 1 or self._skipped_responses > 0

    @property
    def skipped_responses(self) -> int:
        """Number of responses to other requests in the current exchange."""
        return self._skipped_responses

    @property
    def closed_by_peer(self) -> bool:
        """Whether the peer closed or reset the connection, or its host did."""
        return self._closed_by_peer

    def disable_reuse(self) -> None:
        """Send no further request on this connection."""
        self._reusable = False

    def has_carried(self, request_id: str | None) -> bool:
        """Whether an earlier attempt of a request was sent on this connection.

        Its response, written once more, would pass for that of another attempt.
        """
        return request_id in self._request_ids

    def send(
        self,
        data: bytes,
        response_filter: ResponseFilter | None = None,
        request_id: str | None = None,
    ) -> None:
        """Start an exchange; ``data`` is the complete request.

        Responses that ``response_filter`` rejects belong to other requests. They
        are skipped, and the connection isn't reused after them. ``request_id`` is
        that of the request, if it has one.

        Raises ConnectionBrokenError if the connection has been closed; nothing
        has been sent then.
        """
        if not self.reusable or self._transport is None:
            raise ConnectionBrokenError(
                self._failure_reason or "connection is not reusable"
            )
        self._status = 0
        self._headers = []
        self._reason = b""
        self._framed = False
        self._complete = False
        self._buffered = bytearray()
        self._response_filter = response_filter
        self._skipping_response = False
        self._framing_allowance = MAX_FRAMING_BYTES
        self._chunk_allowance = ChunkAllowance()
        self._skipped_bytes = 0
        self._exchanges += 1
        if request_id is not None:
            self._request_ids.append(request_id)
        self._skipped_responses = 0
        self._head_received = asyncio.get_running_loop().create_future()
        self._transport.write(data)

    def peer_has_closed(self) -> bool:
        """Whether a close or reset has arrived, also if the loop hasn't seen it yet.

        Call it only on an idle connection: bytes that have arrived count, too.
        """
        if self._transport is None or self._transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    async def wait_for_reset(self, timeout_s: float) -> None:
        """Give a peer that accepts no more connections time to reset this one.

        After a reset the connection isn't reusable.
        """
        if not self.reusable:
            return
        self._read_waiter = asyncio.get_running_loop().create_future()
        await asyncio.wait((self._read_waiter,), timeout=timeout_s)

    async def wait_for_head(self) -> None:
        """Wait for the head of the response."""
        if self._head_received is not None:
            await self._head_received

    def check_announced_length(self, max_bytes: int) -> None:
        """Raise ConnectionBrokenError if the body will be above ``max_bytes``."""
        if self._status == 304:
            # Content-Length is that of a body that is not sent.
            return
        for name, value in self._headers:
            if name.lower() != b"content-length":
                continue
            # The parser accepts only decimal numbers below 2**64, but any number of
            # leading zeros; `int` refuses texts of more than 4300 digits.
            if int(b"0" + value.strip().lstrip(b"0")) > max_bytes:
                raise ConnectionBrokenError("response body exceeds the size limit")

    async def read(self) -> bytes:
        """Return body bytes, or none at the end of a complete response.

        Raises ConnectionBrokenError if the response was cut off.
        """
        while not self._buffered:
            if self._complete:
                return b""
            if self._failure_reason is not None:
                raise ConnectionBrokenError(self._failure_reason)
            self._read_waiter = asyncio.get_running_loop().create_future()
            await self._read_waiter
        data = bytes(self._buffered)
        self._buffered = bytearray()
        self._input.release()
        return data

    def abandon(self, reason: str) -> None:
        """Close immediately and let the exchange in progress fail."""
        self._fail(reason)

    def close(self) -> None:
        """Close immediately and drop unread bytes."""
        self._reusable = False
        if self._transport is not None:
            self._transport.abort()

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and set the options that detect dead peers."""
        self._transport = cast(asyncio.Transport, transport)
        self._input.attach(self._transport)
        try:
            enable_dead_peer_detection(transport.get_extra_info("socket"))
        except ConnectionBrokenError as error:
            self._fail(str(error))

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that all connections of the event loop read into."""
        return self._input.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take ``nbytes`` that were read into the buffer."""
        self.data_received(bytes(memoryview(self._input.buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser, at a pace that follows their cost."""
        self._input.receive(data)

    def _parse(self, data: bytes | memoryview) -> None:
        """Feed the parser; bytes outside an exchange close the connection."""
        if self._complete:
            self._fail("bytes received after the end of the response")
            return
        self._body_bytes = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            if not self._complete:
                # The parser reports an exception of a callback as the context.
                self._fail(f"malformed HTTP response: {error.__context__ or error}")
            else:
                self._reusable = False
        if not self._complete:
            self._check_limits(len(data))

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        self._closed_by_peer = True
        if not self._complete and self._status and not self._framed and self._has_head:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fail the exchange in progress, if any."""
        self._reusable = False
        self._input.clear()
        if isinstance(error, ConnectionResetError | BrokenPipeError):
            self._closed_by_peer = True
        self._fail(str(error) if error is not None else "connection closed by the peer")

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Reset the head; a second response to one request is an error."""
        if self._complete:
            self._reusable = False
            raise ConnectionBrokenError("response without a request")
        self._headers = []
        self._header_count = 0
        self._receiving_body = False
        self._reason = b""
        self._framed = False
        self._status = 0

    def on_status(self, reason: bytes) -> None:
        """Collect the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; a trailer is dropped."""
        self._input.count_callback()
        self._header_count += 1
        if self._header_count > MAX_HEADER_COUNT:
            raise ConnectionBrokenError("too many headers")
        if self._receiving_body:
            return
        lowered = name.lower()
        if lowered in (b"content-length", b"transfer-encoding"):
            self._framed = True
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Wake the waiter for the head unless the response is interim or filtered."""
        status = self._parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise ConnectionBrokenError(f"status {status:03} is no response")
        if status < MIN_FINAL_STATUS:
            return
        self._receiving_body = True
        if self._response_filter is not None and not self._response_filter(
            self._headers
        ):
            self._skipping_response = True
            self._skipped_responses += 1
            self._reusable = False
            return
        self._status = status
        if status in (204, 304):
            self._framed = True
        if self._head_received is not None and not self._head_received.done():
            self._head_received.set_result(None)

    def on_body(self, data: bytes) -> None:
        """Buffer body bytes for the reader."""
        self._input.count_callback()
        self._body_bytes += len(data)
        if self._skipping_response:
            self._skipped_bytes += len(data)
            return
        if not self.head_complete:
            # It would be taken for the start of the next response's body.
            raise ConnectionBrokenError("interim response with a body")
        self._buffered += data
        if len(self._buffered) > MAX_BUFFERED_BYTES:
            self._input.hold()
        self._wake_reader()

    def on_message_complete(self) -> None:
        """End the exchange."""
        if self._skipping_response:
            self._skipping_response = False
            return
        if not self.head_complete:
            return
        if not self._parser.should_keep_alive():
            self._reusable = False
        self._finish()

    @property
    def _has_head(self) -> bool:
        return self._head_received is not None and self._head_received.done()

    def _check_limits(self, received_bytes: int) -> None:
        """Close the connection if the response can't be one that ends."""
        framing_bytes = received_bytes - self._body_bytes
        self._framing_allowance = min(
            self._framing_allowance
            + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
            - framing_bytes,
            MAX_FRAMING_BYTES,
        )
        if self._framing_allowance < 0:
            self._fail("response head or framing exceeds the size limit")
        elif not self._chunk_allowance.use(
            self._input.callbacks, self._body_bytes, self._loop.time()
        ):
            self._fail("response has too many small chunks")
        elif self._skipped_bytes > MAX_SKIPPED_BYTES:
            self._fail("responses to other requests exceed the size limit")

    def _finish(self) -> None:
        self._complete = True
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._read_waiter is not None and not self._read_waiter.done():
            self._read_waiter.set_result(None)

    def _fail(self, reason: str) -> None:
        if self._failure_reason is None:
            self._failure_reason = reason
        self._reusable = False
        self._input.clear()
        if self._head_received is not None and not self._head_received.done():
            self._head_received.set_exception(
                ConnectionBrokenError(self._failure_reason)
            )
            # Marks the exception as retrieved: the waiter may have been cancelled,
            # and asyncio logs exceptions that are never retrieved.
            self._head_received.exception()
        self._wake_reader()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()


async def is_refusing_connections(address: Address, timeout_s: float) -> bool:
    """Whether nothing listens at an address, as after the crash of a process.

    False if a connection can be opened, and if there is no reply in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            transport, _ = await loop.create_connection(asyncio.Protocol, *address)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    transport.abort()
    return False


async def connect(address: Address, timeout_s: float = CONNECT_TIMEOUT_S) -> Connection:
    """Open a connection; raises ConnectionBrokenError if that fails in time."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(Connection, *address)
    except (OSError, TimeoutError) as error:
        reason = str(error) or "timed out while connecting"
        raise ConnectionBrokenError(reason) from error
    return connection
