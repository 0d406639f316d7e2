"""A small HTTP server for readiness checks and metrics."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from attrs import frozen

# Health checkers keep their connection between checks that are seconds apart.
IDLE_TIMEOUT_S = 30.0


@frozen
class StatusResponse:
    """Response to a GET request: status 200 if ``ok``, else 503."""

    ok: bool
    body: bytes = b""


@frozen
class StatusServer:
    """Answers GET requests by path, with 404 for unknown paths."""

    handlers: Mapping[str, Callable[[], StatusResponse]]

    async def listen(self, address: tuple[str, int]) -> asyncio.Server:
        """Start to listen at an address."""
        return await asyncio.start_server(self._serve, *address)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    head = await reader.readuntil(b"\r\n\r\n")
                writer.write(self._respond(head))
                await writer.drain()
        except (EOFError, asyncio.LimitOverrunError, TimeoutError, OSError):
            # The client has disconnected, or does not speak HTTP.
            writer.close()

    def _respond(self, head: bytes) -> bytes:
        words = head.split(b" ", 2)
        path = words[1].partition(b"?")[0].decode("latin-1") if len(words) > 1 else ""
        handler = self.handlers.get(path)
        if handler is None:
            return _encode(b"404 Not Found", b"")
        response = handler()
        status = b"200 OK" if response.ok else b"503 Service Unavailable"
        return _encode(status, response.body)


def _encode(status: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)
