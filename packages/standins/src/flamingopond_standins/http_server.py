"""Small HTTP/1.1 server on h11 that can inject connection faults.

General-purpose servers hide the connection from the application, which could then
not drop a response or let a connection go silent on purpose.
"""

from __future__ import annotations

import os
import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

import anyio
import anyio.abc
import attrs
import h11

from flamingopond_platform.wire import encode
from flamingopond_standins.faults import Fault, FaultKind, FaultTable

_CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.RemoteProtocolError,
    h11.LocalProtocolError,
    OSError,
)


@attrs.frozen
class HttpRequest:
    """A complete request; header names are in lower case."""

    method: str
    path: str
    query: str
    headers: Mapping[str, str]
    body: bytes

    def query_parameter(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter."""
        return parse_qs(self.query).get(name, [default])[0]


@attrs.frozen
class HttpResponse:
    """A response; ``stream``, if set, is sent instead of ``body``."""

    status: int = 200
    body: bytes = b""
    stream: AsyncIterator[bytes] | None = None
    content_type: str = "application/json"
    headers: Mapping[str, str] = attrs.field(factory=dict)


def json_response(value: Any, status: int = 200) -> HttpResponse:
    """Return a response with ``value`` as JSON."""
    return HttpResponse(status, encode(value))


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class _ConnectionDroppedError(Exception):
    """A fault closes the connection."""


class HttpServer:
    """Serves requests with one handler and injects the faults of a table.

    ``GET /records`` returns the records; ``PUT /faults`` replaces the faults.
    """

    def __init__(
        self,
        handler: Handler,
        faults: FaultTable,
        records: Callable[[], Any],
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Prepare a server.

        ``records`` returns the body of ``GET /records``; ``on_crash`` is called when
        a ``crash`` fault hits, and the server is then down for the fault's ``for_s``.
        """
        self._handler = handler
        self._faults = faults
        self._records = records
        self._on_crash = on_crash
        self._address = ""

    @property
    def address(self) -> str:
        """The ``ip:port`` that the server listens on."""
        return self._address

    async def run(
        self,
        listen: str = "127.0.0.1:0",
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled; the listener is closed while a fault is ``down``."""
        host, port = listen.rsplit(":", 1)
        started = False
        while True:
            with socket.create_server((host, int(port)), backlog=1024) as listener:
                listener.setblocking(False)
                bound_port = listener.getsockname()[1]
                port = str(bound_port)
                self._address = f"{host}:{bound_port}"
                if not started:
                    started = True
                    task_status.started()
                async with anyio.create_task_group() as connection_tasks:
                    connection_tasks.start_soon(
                        self._accept, listener, connection_tasks
                    )
                    while not self._faults.down_s:
                        await anyio.sleep(0.01)
                    connection_tasks.cancel_scope.cancel()
            while self._faults.down_s:
                await anyio.sleep(0.01)

    async def _accept(
        self, listener: socket.socket, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Accept connections until cancelled.

        Uses ``wait_readable`` because asyncio 3.11 raises InvalidStateError in the
        event loop if its accept is cancelled just as a connection arrives.
        """
        while True:
            await anyio.wait_readable(listener)
            try:
                accepted, _ = listener.accept()
            except BlockingIOError:
                # The client has disconnected.
                continue
            stream = await anyio.abc.SocketStream.from_socket(accepted)
            tasks.start_soon(self._serve_connection, stream)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        try:
            async with stream:
                connection = h11.Connection(h11.SERVER)
                while await self._serve_request(stream, connection):
                    connection.start_next_cycle()
        except (*_CONNECTION_ERRORS, _ConnectionDroppedError):
            return

    async def _serve_request(
        self, stream: anyio.abc.SocketStream, connection: h11.Connection
    ) -> bool:
        request = await self._receive_request(stream, connection)
        if request is None:
            return False
        await self._faults.wait_while_paused()
        if request.path == "/records":
            await self._send_response(
                stream, connection, json_response(self._records()), None
            )
        elif request.path == "/faults" and request.method == "PUT":
            try:
                self._faults.replace_from_json(request.body)
                response = json_response({})
            except ValueError as error:
                response = json_response({"error": str(error)}, 400)
            await self._send_response(stream, connection, response, None)
        else:
            await self._respond(stream, connection, request)
        return bool(connection.our_state is h11.DONE)

    async def _respond(
        self,
        stream: anyio.abc.SocketStream,
        connection: h11.Connection,
        request: HttpRequest,
    ) -> None:
        fault = self._faults.match(request.path, request.body)
        kind = fault.kind if fault else None
        if fault is None:
            pass
        elif kind is FaultKind.REFUSE:
            await self._send_response(stream, connection, json_response({}, 503), None)
            return
        elif kind is FaultKind.SLOW:
            await anyio.sleep(fault.delay_s)
        elif kind is FaultKind.LOST:
            raise _ConnectionDroppedError
        elif kind is FaultKind.LATE:
            await stream.aclose()
            await anyio.sleep(fault.delay_s)
            await self._drain_stream(await self._handler(request))
            return
        response = await self._handler(request)
        if fault is not None:
            if kind is FaultKind.REPLY_LOST and response.stream is None:
                raise _ConnectionDroppedError
            if kind is FaultKind.SILENT and response.stream is None:
                await anyio.sleep_forever()
            if kind is FaultKind.CRASH and response.stream is None:
                self._crash(fault)
        await self._send_response(stream, connection, response, fault)
        if fault is not None and kind is FaultKind.REPEATED:
            await anyio.sleep(fault.delay_s)
            await self._drain_stream(await self._handler(request))

    def _crash(self, fault: Fault) -> None:
        self._faults.take_down(fault.for_s)
        if self._on_crash is not None:
            self._on_crash()
        raise _ConnectionDroppedError

    async def _drain_stream(self, response: HttpResponse) -> None:
        if response.stream is not None:
            async for _ in response.stream:
                pass

    async def _receive_request(
        self, stream: anyio.abc.SocketStream, connection: h11.Connection
    ) -> HttpRequest | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                try:
                    connection.receive_data(await stream.receive())
                except anyio.EndOfStream:
                    connection.receive_data(b"")
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                return None
        assert head is not None
        url = urlsplit(head.target.decode())
        return HttpRequest(
            method=head.method.decode(),
            path=unquote(url.path),
            query=url.query,
            headers={name.decode(): value.decode() for name, value in head.headers},
            body=bytes(body),
        )

    async def _send_response(
        self,
        stream: anyio.abc.SocketStream,
        connection: h11.Connection,
        response: HttpResponse,
        fault: Fault | None,
    ) -> None:
        headers = [("content-type", response.content_type), *response.headers.items()]
        if response.stream is None:
            headers.append(("content-length", str(len(response.body))))
        else:
            headers.append(("transfer-encoding", "chunked"))
        data = connection.send(
            h11.Response(status_code=response.status, headers=headers)
        )
        if response.stream is None:
            parts = [data, connection.send(h11.Data(data=response.body))]
            parts.append(connection.send(h11.EndOfMessage()))
            await stream.send(b"".join(part for part in parts if part))
            return
        await stream.send(data or b"")
        await self._send_stream(stream, connection, response.stream, fault)

    async def _send_stream(
        self,
        stream: anyio.abc.SocketStream,
        connection: h11.Connection,
        chunks: AsyncIterator[bytes],
        fault: Fault | None,
    ) -> None:
        sent = 0
        try:
            async for chunk in chunks:
                await self._faults.wait_while_paused()
                if fault is not None and not chunk.startswith(b":"):
                    if sent >= fault.after_chunks:
                        if fault.kind is FaultKind.REPLY_LOST:
                            raise _ConnectionDroppedError
                        if fault.kind is FaultKind.CRASH:
                            self._crash(fault)
                        if fault.kind is FaultKind.SILENT:
                            await anyio.sleep_forever()
                    sent += 1
                await stream.send(connection.send(h11.Data(data=chunk)) or b"")
        finally:
            with anyio.CancelScope(shield=True):
                await chunks.aclose()  # type: ignore[attr-defined]
        await stream.send(connection.send(h11.EndOfMessage()) or b"")


def exit_on_crash() -> None:
    """End the process at once, without clean-up."""
    os._exit(70)


@asynccontextmanager
async def serve(server: HttpServer, listen: str = "127.0.0.1:0") -> AsyncIterator[str]:
    """Run ``server`` in the background and yield its address."""
    async with anyio.create_task_group() as tasks:
        await tasks.start(server.run, listen)
        try:
            yield server.address
        finally:
            tasks.cancel_scope.cancel()
