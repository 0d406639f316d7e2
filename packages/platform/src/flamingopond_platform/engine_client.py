"""httpx client of one model engine."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from typing import TypeVar

import anyio
import httpx
import orjson
from httpx_sse import EventSource, SSEError

from flamingopond_core.exceptions import (
    OrderRefusedError,
    TargetError,
    TargetSilentError,
    TargetUnreachableError,
)
from flamingopond_core.structures import RunState
from flamingopond_platform.connection import (
    Connection,
    NotSentError,
    ReplyLostError,
    SilentError,
    failure_stages,
)
from flamingopond_platform.engine import (
    CacheEvent,
    EngineReport,
    GenerateEnd,
    GenerateRequest,
    Order,
    OrderAnswer,
    TokenChunk,
)
from flamingopond_platform.wire import decode, encode

T = TypeVar("T")


class EngineClient:
    """Implements ``Engine`` over HTTP.

    ``silence_s`` is the silence after which a stream is given up;
    ``call_timeout_s`` is the same limit for all other calls.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        silence_s: float = 2.0,
        call_timeout_s: float = 1.0,
        cancel_timeout_s: float = 0.5,
    ) -> None:
        """Prepare a client of the engine at ``address``."""
        self._address = address
        self._call_s = call_timeout_s
        self._cancel_s = cancel_timeout_s
        self._mismatched = 0
        self._streams = 0
        self._connection = Connection(
            address, connect_timeout_s=connect_timeout_s, silence_s=silence_s
        )

    @property
    def mismatched_chunks(self) -> int:
        """Chunks that were dropped because they carry another attempt id."""
        return self._mismatched

    @property
    def streaming(self) -> bool:
        """Whether a stream is open."""
        return self._streams > 0

    @asynccontextmanager
    async def generate(
        self, request: GenerateRequest, *, fresh_connection: bool = False
    ) -> AsyncIterator[AsyncIterator[TokenChunk | GenerateEnd]]:
        """Open a stream; see ``Engine.generate``."""
        self._streams += 1
        try:
            async with self._open_stream(request, fresh_connection) as stream:
                yield stream
        finally:
            self._streams -= 1

    @asynccontextmanager
    async def _open_stream(
        self, request: GenerateRequest, fresh_connection: bool
    ) -> AsyncIterator[AsyncIterator[TokenChunk | GenerateEnd]]:
        client = self._connection.client(fresh=fresh_connection)
        ended = False

        async def chunks(
            source: EventSource,
        ) -> AsyncGenerator[TokenChunk | GenerateEnd, None]:
            nonlocal ended
            with self._target_failures():
                async for event in source.aiter_sse():
                    item = self._decode_event(event.event, event.data)
                    if item is None:
                        continue
                    if item.attempt_id != request.attempt_id:
                        self._mismatched += 1
                        continue
                    if isinstance(item, GenerateEnd):
                        ended = True
                    yield item
                    if ended:
                        return
            raise TargetError(f"{self._address}: stream closed before its end")

        sent = True
        try:
            with self._target_failures():
                message = client.build_request(
                    "POST",
                    "/engine/generate",
                    content=encode(request),
                    headers={"accept": "text/event-stream"},
                )
                try:
                    response = await client.send(message, stream=True)
                except (httpx.ConnectError, httpx.ConnectTimeout):
                    sent = False
                    raise
            try:
                if response.status_code != 200:
                    ended = True
                    await self._raise_refusal(response)
                stream = chunks(EventSource(response))
                try:
                    yield stream
                finally:
                    await stream.aclose()
            finally:
                with anyio.CancelScope(shield=True):
                    await response.aclose()
        finally:
            if sent and not ended:
                # The engine may not notice for a while that the connection is
                # gone, so the work is cancelled explicitly.
                with anyio.CancelScope(shield=True):
                    await self.cancel(request.attempt_id)

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; failures are ignored because nothing depends on it."""
        try:
            await self._connection.request(
                "POST",
                "/engine/cancel",
                encode({"attempt_id": attempt_id}),
                fresh=True,
                silence_s=self._cancel_s,
            )
        except (NotSentError, ReplyLostError):
            return

    async def order(self, order: Order) -> OrderAnswer:
        """Give an order once; see ``Engine.order``."""
        reply = await self._call("POST", "/engine/order", encode(order), fresh=True)
        if reply.status_code == 409:
            raise OrderRefusedError(f"{self._address}: {reply.text}")
        self._expect_success(reply)
        return self._decode(reply.content, OrderAnswer)

    async def report(self) -> EngineReport:
        """Return the newest published report. Raises ``TargetError``."""
        reply = await self._call("GET", "/engine/report")
        self._expect_success(reply)
        return self._decode(reply.content, EngineReport)

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return published cache events; see ``Engine.cache_events``."""
        reply = await self._call("GET", f"/engine/cache-events?after={after}")
        self._expect_success(reply)
        return self._decode(reply.content, list[CacheEvent])

    async def export_kv(self, attempt_id: str) -> bytes | None:
        """Return the KV cache of an attempt, or ``None`` if it is gone."""
        reply = await self._call("GET", f"/engine/kv/{attempt_id}")
        if reply.status_code == 404:
            return None
        self._expect_success(reply)
        return reply.content

    async def import_kv(self, attempt_id: str, data: bytes) -> None:
        """Hand the engine a KV cache. Raises ``TargetError``."""
        reply = await self._call("PUT", f"/engine/kv/{attempt_id}", data)
        self._expect_success(reply)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()

    async def _call(
        self, method: str, path: str, body: bytes = b"", *, fresh: bool = False
    ) -> httpx.Response:
        with self._target_failures():
            return await self._connection.request(
                method, path, body, fresh=fresh, silence_s=self._call_s
            )

    @contextmanager
    def _target_failures(self) -> Iterator[None]:
        try:
            with failure_stages():
                yield
        except NotSentError as error:
            raise TargetUnreachableError(f"{self._address}: {error}") from error
        except SilentError as error:
            raise TargetSilentError(f"{self._address}: {error}") from error
        except (ReplyLostError, SSEError) as error:
            raise TargetError(f"{self._address}: {error}") from error

    def _decode_event(self, kind: str, data: str) -> TokenChunk | GenerateEnd | None:
        if kind == "chunk":
            return self._decode_chunk(data)
        if kind == "end":
            return self._decode(data, GenerateEnd)
        if kind == "error":
            raise TargetError(f"{self._address}: engine error: {data}", RunState.RAN)
        return None

    def _decode_chunk(self, data: str) -> TokenChunk:
        """Decode the event on the hot path, in 2.5 instead of 5.3 us."""
        try:
            fields = orjson.loads(data)
            index, tokens = fields["index"], fields["tokens"]
            if type(index) is int and type(tokens) is list:
                return TokenChunk(str(fields["attempt_id"]), index, tuple(tokens))
        except (ValueError, KeyError, TypeError) as error:
            raise TargetError(f"{self._address}: malformed chunk: {error}") from error
        raise TargetError(f"{self._address}: malformed chunk")

    def _decode(self, data: bytes | str, kind: type[T]) -> T:
        try:
            return decode(data, kind)
        except ValueError as error:
            raise TargetError(f"{self._address}: malformed reply: {error}") from error

    def _expect_success(self, reply: httpx.Response) -> None:
        if reply.status_code >= 300:
            raise TargetError(f"{self._address}: status {reply.status_code}")

    async def _raise_refusal(self, response: httpx.Response) -> None:
        with self._target_failures():
            await response.aread()
        # Engines answer 4xx and 503 before they start any work.
        status = response.status_code
        not_run = 400 <= status < 500 or status == 503
        raise TargetError(
            f"{self._address}: status {status}: {response.text[:200]}",
            RunState.NOT_RUN if not_run else RunState.UNKNOWN,
        )
