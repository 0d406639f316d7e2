"""One caller's HTTP exchange: body, answer, and the caller's disconnect."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, MutableMapping
from typing import Any, TypeAlias

import anyio
from starlette.types import Receive, Scope, Send

from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_daemon.answers import error_answer, error_body

Header: TypeAlias = tuple[bytes, bytes]


class CallerGoneError(Exception):
    """The caller closed its connection."""


class Exchange:
    """A request and its answer.

    ``cancel_scope`` covers the work for the caller; ``end`` cancels it with the
    error that the caller is to see, and a disconnect cancels it without one.
    ``sending_since`` is when the present part was handed to the server, which takes
    it once the caller has read enough of the parts before it.
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
        self.started = False
        self.streaming = False
        self.stalled = False
        self.sending_since: float | None = None
        self._receive = receive
        self._server_send = send
        self._clock = clock
        self._id_header = (b"x-request-id", request_id.encode())

    def header(self, name: bytes) -> str | None:
        """Return a request header; ``name`` is in lower case."""
        for key, value in self.scope["headers"]:
            if key == name:
                return str(value.decode("latin-1"))
        return None

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body.

        Raises ``RequestRefusedError`` above ``limit`` bytes and
        ``CallerGoneError``.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGoneError
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
        """Cancel the work when the caller closes its connection."""
        message: MutableMapping[str, Any] = {"type": ""}
        while message["type"] != "http.disconnect":
            message = await self._receive()
        self.cancel_scope.cancel()

    def end_if_stalled(self, now: float, limit_s: float) -> None:
        """Cancel the work if the caller has read nothing for ``limit_s`` seconds."""
        if self.sending_since is not None and now - self.sending_since >= limit_s:
            self.stalled = True
            self.cancel_scope.cancel()

    def end(self, error: RequestRefusedError) -> None:
        """Cancel the work; the caller gets ``error``."""
        if self.error is None:
            self.error = error
            self.cancel_scope.cancel()

    async def answer(self, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Send a whole answer."""
        self.started = True
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
        """Send status 200 and the headers of a streamed answer."""
        self.started = self.streaming = True
        await self._send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [*headers, self._id_header],
            }
        )

    async def write(self, data: bytes) -> None:
        """Send the next part of a streamed answer."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end_stream(self, data: bytes = b"") -> None:
        """Send the last part of a streamed answer."""
        self.streaming = False
        await self._send({"type": "http.response.body", "body": data})

    async def fail(self, error: RequestRefusedError) -> None:
        """Send ``error``, as an event if the answer is already being streamed."""
        if self.streaming:
            body = error_body(error, self.request_id)
            await self.end_stream(b"event: error\ndata: " + body + b"\n\n")
        elif not self.started:
            await self.answer(*error_answer(error, self.request_id))

    async def _send(self, message: MutableMapping[str, Any]) -> None:
        self.sending_since = self._clock()
        try:
            await self._server_send(message)
        except OSError as error:
            # The server passes on time-outs of the connection as they are.
            raise CallerGoneError from error
        finally:
            self.sending_since = None
