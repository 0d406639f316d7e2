"""Pool of connections, and a client for calls with complete responses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from attrs import define, field, frozen

from ..requests import Header
from ..settings import Address
from .connection import Connection, ConnectionBrokenError, connect

# Idle connections to the store and to report endpoints are kept this long; the
# peers' idle time-outs are longer.
CALL_KEEP_ALIVE_S = 4.0
# A response body whose time limit follows its bytes may stand still for this long.
BODY_STALL_TIMEOUT_S = 1.0
# Default limit of the answer to a call. The store sends the rows of several large
# configurations in one answer.
MAX_CALL_BYTES = 33554432


@frozen
class CallResponse:
    """A complete response to a call."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@frozen
class _IdleConnection:
    connection: Connection
    idle_since: float
    expires_at: float
    fresh_until: float


@define
class ConnectionPool:
    """Idle connections by address; each is closed before its peer would do so.

    At most ``max_idle`` are kept to all addresses together, 0 for no limit; those that
    have been idle longest are closed first.
    """

    max_idle: int = 0
    _idle: dict[Address, list[_IdleConnection]] = field(factory=dict)

    def acquire(
        self, address: Address, now: float, request_id: str | None = None
    ) -> Connection | None:
        """Return the most recently used connection that is still usable.

        It has not carried an earlier attempt of ``request_id``.
        """
        idle = self._idle.get(address, [])
        for number in reversed(range(len(idle))):
            if idle[number].connection.has_carried(request_id):
                continue
            entry = idle.pop(number)
            if entry.connection.reusable and entry.expires_at > now:
                return entry.connection
            entry.connection.close()
        return None

    def acquire_fresh(
        self, address: Address, now: float, request_id: str | None = None
    ) -> Connection | None:
        """Return a connection that its peer won't close for being idle.

        It has not carried an earlier attempt of ``request_id``.
        """
        idle = self._idle.get(address, [])
        for number in reversed(range(len(idle))):
            entry = idle[number]
            if entry.connection.has_carried(request_id):
                continue
            if entry.fresh_until >= now and entry.connection.reusable:
                return idle.pop(number).connection
            return None
        return None

    def idle_count(self, address: Address) -> int:
        """Return the number of idle connections to an address."""
        return len(self._idle.get(address, ()))

    def trim(self, address: Address, limit: int) -> None:
        """Close the longest idle connections to an address beyond ``limit``."""
        idle = self._idle.get(address, [])
        for entry in idle[: max(len(idle) - limit, 0)]:
            entry.connection.close()
            idle.remove(entry)

    def release(
        self,
        address: Address,
        connection: Connection,
        expires_at: float,
        now: float,
        fresh_until: float = float("-inf"),
    ) -> None:
        """Keep a connection for reuse until ``expires_at``.

        Until ``fresh_until``, ``acquire_fresh`` may return it.
        """
        if connection.reusable:
            self._idle.setdefault(address, []).append(
                _IdleConnection(connection, now, expires_at, fresh_until)
            )
            self._trim_all()
        else:
            connection.close()

    def _trim_all(self) -> None:
        if not self.max_idle:
            return
        count = sum(len(idle) for idle in self._idle.values())
        while count > self.max_idle:
            filled = [idle for idle in self._idle.values() if idle]
            oldest = min(filled, key=lambda idle: idle[0].idle_since)
            oldest.pop(0).connection.close()
            count -= 1

    def sweep(self, now: float) -> None:
        """Close the connections that have expired."""
        for address, idle in list(self._idle.items()):
            kept = []
            for entry in idle:
                if entry.connection.reusable and entry.expires_at > now:
                    kept.append(entry)
                else:
                    entry.connection.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close_address(self, address: Address) -> None:
        """Close all idle connections to an address."""
        for entry in self._idle.pop(address, []):
            entry.connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_address(address)


@define
class HttpClient:
    """HTTP client on pooled connections that returns complete responses.

    ``connect`` opens a connection; it raises ConnectionBrokenError.
    """

    connect: Callable[[Address], Awaitable[Connection]] = connect
    _pool: ConnectionPool = field(factory=ConnectionPool)

    @asynccontextmanager
    async def _connection(self, address: Address) -> AsyncIterator[Connection]:
        loop = asyncio.get_running_loop()
        connection = self._pool.acquire(address, loop.time())
        if connection is None:
            connection = await self.connect(address)
        try:
            yield connection
        finally:
            if connection.complete:
                now = loop.time()
                self._pool.release(address, connection, now + CALL_KEEP_ALIVE_S, now)
            else:
                connection.close()

    async def call(
        self,
        address: Address,
        data: bytes,
        timeout_s: float,
        max_bytes: int = MAX_CALL_BYTES,
        min_bytes_per_s: float | None = None,
    ) -> CallResponse:
        """Send a request and return its response.

        ``timeout_s`` limits the whole call. With ``min_bytes_per_s`` it only limits the
        time to the head of the response; the body may then take as long as it arrives
        at that rate, with pauses up to ``BODY_STALL_TIMEOUT_S``.

        Raises ConnectionBrokenError, also for a body of more than ``max_bytes``, or
        TimeoutError; the request may have been executed then.
        """
        try:
            return await self._call(
                address, data, timeout_s, max_bytes, min_bytes_per_s
            )
        except TimeoutError:
            # Other connections that were open at the time may have gone silent, too.
            self._pool.close_address(address)
            raise

    async def _call(
        self,
        address: Address,
        data: bytes,
        timeout_s: float,
        max_bytes: int,
        min_bytes_per_s: float | None,
    ) -> CallResponse:
        loop = asyncio.get_running_loop()
        async with (
            asyncio.timeout(timeout_s) as limit,
            self._connection(address) as connection,
        ):
            connection.send(data)
            await connection.wait_for_head()
            connection.check_announced_length(max_bytes)
            head_at = loop.time()
            chunks: list[bytes] = []
            size = 0
            while True:
                if min_bytes_per_s is not None:
                    due_at = min(loop.time(), head_at + size / min_bytes_per_s)
                    limit.reschedule(due_at + BODY_STALL_TIMEOUT_S)
                chunk = await connection.read()
                if not chunk:
                    headers = tuple(connection.headers)
                    return CallResponse(connection.status, headers, b"".join(chunks))
                chunks.append(chunk)
                size += len(chunk)
                if size > max_bytes:
                    raise ConnectionBrokenError("response body exceeds the size limit")

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
