"""HTTP/1.1 server for callers."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Awaitable, Callable, Iterator
from typing import Protocol, cast

import httptools
from attrs import define, field

from ..configuration import RequestLimits
from ..requests import Header, Request
from .client_limits import (
    ConnectionState,
    LimitReport,
    Use,
    connections_to_close,
)
from .memory_budget import SMALL_BODY_BYTES, KeptBody, MemoryBudget, Worth
from .paced_input import ChunkAllowance, PacedInput

# Reading from a connection pauses while more pipelined requests than this are
# queued on it.
MAX_PIPELINED = 4
# Writing to a slow caller pauses while more bytes than this are buffered.
WRITE_HIGH_WATER_BYTES = 65536
# Smaller input and output isn't counted as kept memory.
COUNTED_BYTES = 4096
# What a header takes beyond its bytes: a tuple and two objects.
HEADER_OVERHEAD_BYTES = 160
# What is read ahead from a target while a caller doesn't read its response.
READ_AHEAD_BYTES = 131072
# Retry-After of a request that is refused as memory is used up.
MEMORY_RETRY_AFTER_S = 1.0
# The rest of such a request is read and dropped for this long.
LINGER_S = 1.0
# Callers reuse an idle connection for up to four fifths of the idle time-out. The
# server closes it this long after the time-out, so that no request crosses the
# close.
TIMEOUT_MARGIN_S = 1.0

_REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class ResponseWriter(Protocol):
    """Writes the response to one request."""

    @property
    def started(self) -> bool:
        """Whether any byte of the response has been written."""

    def refuse(self, status: int, retry_after_s: float | None = None) -> None:
        """Send a response of the gateway's own with ``status`` and no body."""

    def start(
        self, status: int, reason: str, headers: list[Header], length: int | None
    ) -> None:
        """Write the response head; without ``length`` the body is chunked."""

    def write(self, data: bytes) -> None:
        """Write body bytes."""

    def finish(self) -> None:
        """End the body."""

    def abort(self) -> None:
        """Close the connection, so that the response is visibly incomplete."""

    async def drain(self) -> None:
        """Wait until the write buffer has drained."""


Handler = Callable[[Request, ResponseWriter], Awaitable[None]]
# Takes the method, request target, headers and arrival time; raises ValueError if
# the request head is malformed.
RequestDecoder = Callable[[bytes, bytes, list[Header], float], Request]


@define(eq=False)
class CallerServer:
    """State shared by all caller connections.

    ``is_known`` tells from a request's target and headers whether its key is known.
    Above ``max_connections`` those worth least are closed.
    """

    handler: Handler
    decode: RequestDecoder
    limits: Callable[[], RequestLimits]
    budget: MemoryBudget
    closing: bool = False
    is_known: Callable[[bytes, list[Header]], bool] = lambda url, headers: True
    max_connections: int | None = None
    report: LimitReport | None = None
    _connections: set[CallerConnection] = field(factory=set)

    @property
    def open_requests(self) -> int:
        """Number of requests being received or answered."""
        return sum(connection.busy for connection in self._connections)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def create_connection(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self)

    def start_draining(self) -> None:
        """Close each connection after its current response from now on."""
        self.closing = True

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def end_requests(self) -> int:
        """Answer 504 to all requests without a response; return their number."""
        return sum(connection.end_request() for connection in self._connections)

    def sweep(self, now: float) -> None:
        """Close connections past their idle or header time-out."""
        for connection in list(self._connections):
            connection.check_timeouts(now)
            # The buffer of a connection shrinks without a notice.
            connection.count_output()

    def _make_room(self, newcomer: CallerConnection) -> None:
        """Close connections if there are too many; the new one if it must be."""
        limit = self.max_connections
        if limit is None or len(self._connections) < limit:
            return
        connections = list(self._connections)
        states = [c.state(number) for number, c in enumerate(connections)]
        victims = connections_to_close(states, limit)
        for victim in victims:
            connections[victim.index].close_at_once()
        if not victims:
            newcomer.close_at_once()
        if self.report is not None:
            use = victims[0].use.name.lower() if victims else "new"
            now = asyncio.get_running_loop().time()
            self.report.record_closed(use, max(len(victims), 1), now)

    @contextlib.contextmanager
    def _registered(self, connection: CallerConnection) -> Iterator[None]:
        self._make_room(connection)
        self._connections.add(connection)
        try:
            yield
        finally:
            self._connections.discard(connection)


class CallerConnection(asyncio.BufferedProtocol):
    """A caller's connection; its requests are answered in order."""

    def __init__(self, server: CallerServer) -> None:
        """Start without a transport; ``connection_made`` sets it."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._registration = contextlib.ExitStack()
        self._url = b""
        self._headers: list[Header] = []
        self._header_bytes = 0
        # Pieces are joined: a small one would cost more than it carries.
        self._body = bytearray()
        self._body_bytes = 0
        # Since the parser last called back.
        self._unheard_bytes = 0
        self._key_checked = False
        self._served = 0
        # Of the request that is being received, and of those before it.
        self._kept = KeptBody("request", Worth.RECEIVING, self._end_input)
        self._kept_requests = KeptBody("request", Worth.IN_SERVICE, lambda: None)
        self._kept_output = KeptBody("output", Worth.OUTPUT, self._end_output)
        self._chunk_allowance = ChunkAllowance()
        self._input = PacedInput(self._parse)
        self._error_status: int | None = None
        self._arrived_at = 0.0
        self._receiving = False
        self._receiving_body = False
        self._queued: deque[tuple[Request | int, bool]] = deque()
        self._task: asyncio.Task[None] | None = None
        self._writer: _ConnectionWriter | None = None
        self._write_resumed: asyncio.Future[None] | None = None
        self._last_activity = self._loop.time()
        self._input_ended = False

    @property
    def busy(self) -> bool:
        """Whether a request is being received or answered."""
        return self._task is not None or self._receiving

    def state(self, index: int) -> ConnectionState:
        """Return what the connection is used for."""
        if self._write_resumed is not None or (
            self._task is None
            and self._transport is not None
            and self._transport.get_write_buffer_size()
        ):
            use = Use.UNREAD
        elif self._task is not None:
            use = Use.SERVED
        elif self._receiving_body:
            use = Use.BODY
        elif self._receiving or not self._served:
            use = Use.HEAD
        else:
            use = Use.IDLE
        return ConnectionState(index, use, self._last_activity)

    def close_at_once(self) -> None:
        """Close the connection and drop what waits for its caller."""
        self._registration.close()
        if self._transport is not None:
            self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress on it."""
        if not self.busy and self._transport is not None:
            self._transport.close()

    def end_request(self) -> bool:
        """Answer 504 to the request in progress, unless its response has begun.

        It may have run. Returns whether there was one.
        """
        if self._task is None or self._writer is None or self._writer.started:
            return False
        self._input_ended = True
        self._writer.refuse(504)
        self._task.cancel()
        return True

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is past its idle or header time-out."""
        limits = self._server.limits()
        idle = now - self._last_activity
        if self._task is not None or self._transport is None:
            return
        if self._receiving and idle > limits.header_timeout_s + TIMEOUT_MARGIN_S:
            self._transport.abort()
        elif not self._receiving and idle > limits.idle_timeout_s + TIMEOUT_MARGIN_S:
            self._transport.close()

    # asyncio.BufferedProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._input.attach(self._transport)
        for kept in (self._kept, self._kept_requests, self._kept_output):
            kept.peer = self._input.peer
        self._registration.enter_context(self._server._registered(self))

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the requests of a caller that has disconnected."""
        self._input_ended = True
        self._input.clear()
        for kept in (self._kept, self._kept_requests, self._kept_output):
            self._server.budget.resize(kept, 0)
        self._registration.close()
        self.resume_writing()
        self._queued.clear()
        if self._task is not None:
            self._task.cancel()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer that all connections of the event loop read into."""
        return self._input.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take ``nbytes`` that were read into the buffer."""
        self.data_received(bytes(memoryview(self._input.buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Pass received bytes to the parser, at a pace that follows their cost."""
        self._last_activity = self._loop.time()
        if not self._input_ended:
            self._input.receive(data)
            self._count_input()

    def _parse(self, data: bytes | memoryview) -> None:
        """Feed the parser; a malformed request closes the connection."""
        # Waiting for a turn is not the caller's idleness.
        self._last_activity = self._loop.time()
        body_bytes = self._body_bytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse_and_close(400)
        except httptools.HttpParserError:
            self._refuse_and_close(self._error_status or 400)
        else:
            self._check_chunks(body_bytes)
            self._check_unheard(len(data))
        self._count_input()

    def pause_writing(self) -> None:
        """Block ``drain`` until the write buffer has room."""
        if self._write_resumed is None:
            self._write_resumed = self._loop.create_future()

    def resume_writing(self) -> None:
        """Wake the task that waits in ``drain``."""
        if self._kept_output.size:
            self._server.budget.resize(self._kept_output, 0)
        if self._write_resumed is not None:
            if not self._write_resumed.done():
                self._write_resumed.set_result(None)
            self._write_resumed = None

    async def drain(self) -> None:
        """Wait while the write buffer is full."""
        if self._write_resumed is not None:
            await self._write_resumed

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._input.count_callback()
        self._url = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._key_checked = False
        self._server.budget.set_worth(self._kept, Worth.RECEIVING)
        self._chunk_allowance = ChunkAllowance()
        self._error_status = None
        self._arrived_at = self._loop.time()
        self._receiving = True
        self._receiving_body = False

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._input.count_callback()
        self._headers.append((name, value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Reject ambiguous framing; answer ``Expect: 100-continue``."""
        self._receiving_body = True
        lengths = [v for n, v in self._headers if n.lower() == b"content-length"]
        codings = [v for n, v in self._headers if n.lower() == b"transfer-encoding"]
        if (lengths and codings) or len(lengths) > 1 or len(codings) > 1:
            self._reject(400)
        if codings and codings[0].strip().lower() != b"chunked":
            self._reject(400)
        if lengths and int(lengths[0]) > self._server.limits().body_bytes:
            self._reject(413)
        expects_continue = any(
            n.lower() == b"expect" and v.strip().lower() == b"100-continue"
            for n, v in self._headers
        )
        if expects_continue and self._task is None and self._transport is not None:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Collect the body up to the configured limit."""
        self._input.count_callback()
        if self._input_ended:
            return
        self._body_bytes += len(data)
        if self._body_bytes > self._server.limits().body_bytes:
            self._reject(413)
        self._body += data

    def on_message_complete(self) -> None:
        """Queue the request."""
        if self._input_ended:
            return
        self._receiving = False
        self._receiving_body = False
        keep_alive = self._parser.should_keep_alive()
        method = self._parser.get_method()
        request_or_status: Request | int
        try:
            request_or_status = self._server.decode(
                method, self._url, self._headers, self._arrived_at
            )
            request_or_status.body = bytes(self._body)
        except ValueError:
            request_or_status = 400
        self._body = bytearray()
        budget = self._server.budget
        budget.resize(self._kept, 0)
        if isinstance(request_or_status, Request):
            size = self._kept_requests.size + self._body_bytes
            budget.resize(self._kept_requests, size)
        self._queued.append((request_or_status, keep_alive))
        if len(self._queued) > MAX_PIPELINED:
            self._input.hold()
        if self._task is None:
            self._start_next()

    def _check_chunks(self, body_bytes_before: int) -> None:
        """Refuse a body of very many small chunks."""
        if not self._receiving_body:
            return
        # The bytes before may be those of a pipelined request.
        size = max(self._body_bytes - body_bytes_before, 0)
        now = self._loop.time()
        if not self._chunk_allowance.use(self._input.callbacks, size, now):
            self._refuse_and_close(413)

    def _check_unheard(self, size: int) -> None:
        """Refuse input without end that the parser makes nothing of.

        It keeps the beginning of a header, and skips empty lines.
        """
        if self._input.callbacks or self._input_ended:
            self._unheard_bytes = 0
            return
        self._unheard_bytes += size
        if self._unheard_bytes > self._server.limits().header_bytes:
            in_head = self._receiving and not self._receiving_body
            status = 431 if in_head else 400
            if self._server.report is not None:
                now = self._loop.time()
                self._server.report.record_endless_input(status, self._input.peer, now)
            self._refuse_and_close(status)

    def _count_input(self) -> None:
        """Count what is kept of the request that is being received."""
        if self._input_ended:
            return
        size = self._input.waiting_bytes + self._unheard_bytes
        if self._receiving:
            size += self._body_bytes + self._header_bytes
            size += HEADER_OVERHEAD_BYTES * len(self._headers)
        if size <= COUNTED_BYTES and not self._kept.size:
            return
        if size > SMALL_BODY_BYTES and self._receiving_body and not self._key_checked:
            self._key_checked = True
            if not self._server.is_known(self._url, self._headers):
                self._server.budget.set_worth(self._kept, Worth.UNIDENTIFIED)
        self._server.budget.resize(self._kept, size)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._server.limits().header_bytes:
            self._reject(431)

    def _reject(self, status: int) -> None:
        self._error_status = status
        raise ValueError(f"request refused with status {status}")

    def _refuse_and_close(self, status: int) -> None:
        """Refuse a request that can't be parsed and ignore all input after it."""
        self._input_ended = True
        self._input.clear()
        self._body = bytearray()
        self._headers = []
        self._server.budget.resize(self._kept, 0)
        if self._task is None and self._transport is not None:
            _ConnectionWriter(self, self._transport, keep_alive=False).refuse(status)
            self._transport.close()

    def _end_input(self) -> None:
        """Refuse the request that is being received, as memory is used up."""
        self._body = bytearray()
        self._headers = []
        self._input_ended = True
        self._input.clear()
        if self._task is not None or self._transport is None:
            # The connection is closed after the response to the request before.
            return
        writer = _ConnectionWriter(self, self._transport, keep_alive=False)
        writer.refuse(503, MEMORY_RETRY_AFTER_S)
        # A close with bytes unread would reset the connection, and the refusal be lost.
        self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.abort)

    def _end_output(self) -> None:
        """Close a connection whose caller doesn't read, as memory is used up."""
        if self._transport is not None:
            self._transport.abort()

    def count_output(self) -> None:
        """Count what waits for a caller that reads slowly."""
        if self._transport is None:
            return
        size = self._transport.get_write_buffer_size()
        if size > WRITE_HIGH_WATER_BYTES:
            size += READ_AHEAD_BYTES
        elif size <= COUNTED_BYTES:
            size = 0
        if size or self._kept_output.size:
            self._server.budget.resize(self._kept_output, size)

    def _start_next(self) -> None:
        if not self._queued or self._transport is None:
            return
        request_or_status, keep_alive = self._queued.popleft()
        writer = _ConnectionWriter(self, self._transport, keep_alive)
        if isinstance(request_or_status, int):
            writer.refuse(request_or_status)
            self._after_response(writer)
            return
        self._writer = writer
        self._task = self._loop.create_task(self._handle(request_or_status, writer))

    async def _handle(self, request: Request, writer: _ConnectionWriter) -> None:
        try:
            await self._server.handler(request, writer)
            # The next response isn't added to one that waits for its caller.
            await self.drain()
        except asyncio.CancelledError:
            # The caller has disconnected; asyncio has closed the transport.
            writer.abort()
        finally:
            self._task = None
            size = max(self._kept_requests.size - len(request.body), 0)
            self._server.budget.resize(self._kept_requests, size)
            self._last_activity = self._loop.time()
            self._after_response(writer)

    def _after_response(self, writer: _ConnectionWriter) -> None:
        self._served += 1
        if self._transport is None or self._transport.is_closing():
            return
        if self._input_ended or not writer.keep_alive or not writer.finished:
            self._transport.close()
            return
        self._input.release()
        if self._task is None:
            self._start_next()

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their current response."""
        return self._server.closing


class _ConnectionWriter:
    """Writes one response to a caller's connection."""

    def __init__(
        self,
        connection: CallerConnection,
        transport: asyncio.Transport,
        keep_alive: bool,
    ) -> None:
        self._connection = connection
        self._transport = transport
        self._keep_alive = keep_alive
        self._chunked = False
        self._started = False
        self._finished = False

    @property
    def started(self) -> bool:
        return self._started

    @property
    def finished(self) -> bool:
        return self._finished

    @property
    def keep_alive(self) -> bool:
        return self._keep_alive

    def refuse(self, status: int, retry_after_s: float | None = None) -> None:
        headers: list[Header] = []
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        self.start(status, "", headers, 0)
        self.finish()

    def start(
        self, status: int, reason: str, headers: list[Header], length: int | None
    ) -> None:
        self._started = True
        if self._connection.closing:
            self._keep_alive = False
        phrase = reason.encode("latin-1") or _REASON_PHRASES.get(status, b"Status")
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, phrase)]
        lines += [b"%b: %b\r\n" % header for header in headers]
        if length is not None:
            lines.append(b"Content-Length: %d\r\n" % length)
        else:
            self._chunked = True
            lines.append(b"Transfer-Encoding: chunked\r\n")
        if not self._keep_alive:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._transport.write(b"".join(lines))

    def write(self, data: bytes) -> None:
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._transport.write(data)
        self._connection.count_output()

    def finish(self) -> None:
        if self._chunked:
            self._transport.write(b"0\r\n\r\n")
        self._finished = True

    def abort(self) -> None:
        # Buffered bytes are still sent; without the end of its body the response
        # is visibly incomplete.
        self._keep_alive = False
        if not self._finished:
            self._transport.close()

    async def drain(self) -> None:
        await self._connection.drain()
