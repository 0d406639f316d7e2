"""One HTTP request of a caller with its response and the caller's disconnect."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, MutableMapping
from typing import Any, TypeAlias

import anyio
from starlette.types import Receive, Scope, Send

from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_daemon.responses import error_body, error_response

Header: TypeAlias = tuple[bytes, bytes]


class CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class Exchange:
    """A request and its response.

    ``cancel_scope`` covers the work for the request. ``abort`` cancels it and sets
    the error to send; a disconnect cancels it without an error. ``send_started_at``
    is when the server got the message being sent, ``None`` between messages; the
    server accepts it once the caller has read enough of the earlier ones.
    """

    def __init__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
        request_id: str,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Wrap the ASGI callables."""
        self.scope = scope
        self.request_id = request_id
        self.cancel_scope = anyio.CancelScope()
        self.error: RequestRefusedError | None = None
        self.response_started = False
        self.streaming = False
        self.caller_stalled = False
        self.send_started_at: float | None = None
        self._receive = receive
        self._server_send = send
        self._clock = clock
        self._id_header = (b"x-request-id", request_id.encode())

    def header(self, name: bytes) -> str | None:
        """Return a request header; ``name`` must be in lower case."""
        for key, value in self.scope["headers"]:
            if key == name:
                return str(value.decode("latin-1"))
        return None

    async def read_body(self, limit: int) -> bytes:
        """Return the request body.

        Raises ``RequestRefusedError`` if it exceeds ``limit`` bytes and
        ``CallerDisconnectedError`` if the caller disconnects.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            part = message.get("body", b"")
            size += len(part)
            if size > limit:
                raise RequestRefusedError(
                    "request_too_large", f"the body exceeds {limit} bytes"
                )
            parts.append(part)
            if not message.get("more_body", False):
                return parts[0] if len(parts) == 1 else b"".join(parts)

    async def watch_disconnect(self) -> None:
        """Cancel the work when the caller disconnects."""
        message: MutableMapping[str, Any] = {"type": ""}
        while message["type"] != "http.disconnect":
            message = await self._receive()
        self.cancel_scope.cancel()

    def abort_if_stalled(self, now: float, timeout_s: float) -> None:
        """Cancel the work if the caller has read nothing for ``timeout_s`` seconds."""
        if self.send_started_at is not None and now - self.send_started_at >= timeout_s:
            self.caller_stalled = True
            self.cancel_scope.cancel()

    def abort(self, error: RequestRefusedError) -> None:
        """Cancel the work and set ``error``, unless an error is already set."""
        if self.error is None:
            self.error = error
            self.cancel_scope.cancel()

    async def send_response(
        self, status: int, headers: Iterable[Header], body: bytes
    ) -> None:
        """Send a complete response."""
        self.response_started = True
        length = (b"content-length", str(len(body)).encode())
        await self._send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": [*headers, length, self._id_header],
            }
        )
        await self._send({"type": "http.response.body", "body": body})

    async def start_stream(self, headers: Iterable[Header]) -> None:
        """Send status 200 and the headers of a streamed response."""
        self.response_started = self.streaming = True
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [*headers, self._id_header],
            }
        )

    async def write(self, data: bytes) -> None:
        """Send the next part of a streamed response."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end_stream(self, data: bytes = b"") -> None:
        """Send the last part of a streamed response."""
        self.streaming = False
        await self._send({"type": "http.response.body", "body": data})

    async def send_error(self, error: RequestRefusedError) -> None:
        """Send ``error``, as an event if the response is already being streamed."""
        if self.streaming:
            body = error_body(error, self.request_id)
            await self.end_stream(b"event: error\ndata: " + body + b"\n\n")
        elif not self.response_started:
            await self.send_response(*error_response(error, self.request_id))

    async def _send(self, message: MutableMapping[str, Any]) -> None:
        self.send_started_at = self._clock()
        try:
            await self._server_send(message)
        except OSError as error:
            # The server raises a time-out of the connection as an OSError.
            raise CallerDisconnectedError from error
        finally:
            self.send_started_at = None
