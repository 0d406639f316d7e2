"""A single attempt to serve a request at one target."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Protocol

from attrs import define, field

from flamingopond_core.exceptions import FlamingopondError

from ..configuration import RouteKind
from ..dispatch.queued import Assignment
from ..dispatch.service_shares import ServiceShares
from ..dispatch.tickets import Ticket
from ..requests import Header, Request, ResponseHead
from ..targets.roster import Target
from ..transport.connection import Connection, ConnectionBrokenError
from ..transport.connector import Connector, DirectConnector, has_ended
from ..transport.http_client import ConnectionPool
from ..transport.memory_budget import MemoryBudget, Worth
from ..transport.server import READ_AHEAD_BYTES, ResponseWriter
from .events import EventSplitter, first_event_id, has_event
from .retries import Outcome
from .stalls import StreamProgress, stall_timeout_s

# Idle time after which a connection is closed if the target sends no keep-alive
# time-out.
DEFAULT_KEEP_ALIVE_S = 4.0
# Connections are closed this long before the target would close them.
KEEP_ALIVE_MARGIN_S = 1.0
# Requests that must not run twice reuse only connections that have been idle for
# at most this long: if the target closes an idle connection at that moment, it is
# unknown whether the request ran.
MAX_UNSAFE_IDLE_S = 0.3
# With shares of connections, these requests also reuse one for this fraction of the
# idle time-out that its target states, unless its close has arrived, and connections
# are closed this long before it, for the way there and a busy event loop.
UNSAFE_IDLE_FRACTION = 0.5
SHARED_KEEP_ALIVE_MARGIN_S = 0.3
# A target over its cap accepts a connection and resets it at once. The reset takes a
# round trip (1 to 6 ms between zones) and the target's time to accept; the bounds
# hold for very short and for delayed measurements of that trip.
RESET_WAIT_S = (0.005, 0.025)
# The measured time to connect is one round trip; its reset may take this many.
RESET_WAIT_TRIPS = 2.0
# Statuses that tell the caller that its request has not run. A target that sends
# one without stating that it didn't run the request may have run it, so such a
# response isn't relayed.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Body of a response that is not a stream; it is kept in memory until it is complete.
MAX_RESPONSE_BYTES = 16777216
MEMORY_USED_UP = "memory for bodies is used up"
# Reads of a stream with complete events after which an answer counts as begun. A
# target that crashes as it begins to answer may still have sent the first event.
BEGUN_READS = 2
# What the connection of a larger response keeps besides is counted as well.
COUNTED_RESPONSE_BYTES = 65536
# An event of a stream, which is kept until it is complete.
MAX_EVENT_BYTES = 1048576
# Incomplete events below this size aren't counted as kept memory.
COUNTED_EVENT_BYTES = 16384


class TargetCodec(Protocol):
    """Encodes requests to targets and decodes the heads of their responses."""

    def encode_request(
        self,
        request: Request,
        instance: str,
        remaining_s: float,
        workspace: str | None,
        priority: int | None,
        last_event_id: int | None,
    ) -> bytes:
        """Return the complete request, head and body.

        Raises ValueError if a name in it can't be sent.
        """

    def decode_response_head(
        self, status: int, reason: bytes, headers: list[Header]
    ) -> ResponseHead:
        """Return the decoded head of a response."""

    def response_request_id(self, headers: list[Header]) -> str | None:
        """Return the id of the request that a response answers, if it has one."""


@define(eq=False)
class StreamState:
    """What a caller has received of its stream in all attempts so far.

    ``on_begun`` is called once in an attempt, when the target goes on with its answer
    after the first event. ``before_first_write`` is awaited before the caller gets
    the first event of all. ``begun`` is whether any attempt came so far.
    ``can_move`` tells whether another target could go on with the stream.
    """

    splitter: EventSplitter = field(factory=EventSplitter)
    first_event_at: float | None = None
    on_first_event: Callable[[], None] | None = None
    on_begun: Callable[[], None] | None = None
    before_first_write: Callable[[], Awaitable[None]] | None = None
    can_move: Callable[[], bool] = lambda: False
    begun: bool = False
    last_event_at: float | None = None
    longest_gap_s: float = 0.0
    _attempt_reads: int = 0

    def begin_attempt(self) -> None:
        """Start to count the reads of a new attempt."""
        self._attempt_reads = 0

    def record_events(self, now: float) -> None:
        """Record that complete events have arrived."""
        if self.first_event_at is None:
            self.first_event_at = now
        if self.last_event_at is not None:
            self.longest_gap_s = max(self.longest_gap_s, now - self.last_event_at)
        self.last_event_at = now
        if self.on_first_event is not None:
            self.on_first_event()
            self.on_first_event = None
        self._attempt_reads += 1
        if self._attempt_reads == BEGUN_READS:
            self.begun = True
            if self.on_begun is not None:
                self.on_begun()


@define(eq=False)
class AttemptResult:
    """How an attempt ended; an error response is kept so it can be relayed.

    ``closed_by_peer`` is whether the target's host closed the connection before the
    end of the response, ``skipped_responses`` how many responses to other requests came
    before it. ``over_cap`` is whether it reset a new connection before the request was
    written.
    """

    outcome: Outcome
    reason: str = ""
    sent: bool = False
    closed_by_peer: bool = False
    skipped_responses: int = 0
    over_cap: bool = False
    response: ResponseHead | None = None
    body: bytes = b""
    elapsed_s: float = 0.0
    retry_after_s: float | None = None


def idle_times_s(stated_s: float | None, shared: bool) -> tuple[float, float]:
    """Return how long an idle connection is reused, and that for at-most-once requests.

    ``stated_s`` is the idle time-out that the target has stated, ``shared`` whether the
    gateways share connections.
    """
    margin_s = SHARED_KEEP_ALIVE_MARGIN_S if shared else KEEP_ALIVE_MARGIN_S
    reuse_s = DEFAULT_KEEP_ALIVE_S if stated_s is None else stated_s - margin_s
    if not shared or stated_s is None:
        return reuse_s, MAX_UNSAFE_IDLE_S
    fresh_s = min(stated_s * UNSAFE_IDLE_FRACTION, reuse_s)
    return reuse_s, max(fresh_s, MAX_UNSAFE_IDLE_S)


class UnencodableRequestError(FlamingopondError):
    """A request can't be sent to any target, as a name in it can't be encoded."""


class ResetBeforeWriteError(ConnectionBrokenError):
    """A target reset a new connection, as it does beyond its cap."""


def reset_wait_s(connect_s: float) -> float:
    """Return how long a new connection waits for a reset, from its time to connect."""
    return min(max(RESET_WAIT_TRIPS * connect_s, RESET_WAIT_S[0]), RESET_WAIT_S[1])


@define(eq=False)
class TargetClient:
    """Sends requests to targets over pooled connections.

    With ``shares``, the targets of plain services reset connections beyond a cap, so
    that nothing is written on a new one before a reset would have arrived.
    ``on_connection`` is called with ``opened``, ``reused`` or ``reset``, ``on_kept``
    with the time for which a connection is kept once its request has ended.
    """

    codec: TargetCodec
    budget: MemoryBudget
    pool: ConnectionPool = field(factory=ConnectionPool)
    on_head: Callable[[Target, ResponseHead], None] = lambda target, response: None
    # Asked once the connection is open, which may take as long as CONNECT_TIMEOUT_S.
    may_send: Callable[[Assignment[Ticket]], bool] = lambda assignment: True
    on_connection: Callable[[Target, str], None] = lambda target, event: None
    on_kept: Callable[[Target, float], None] = lambda target, kept_s: None
    shares: ServiceShares | None = None
    connector: Connector = field(factory=DirectConnector)

    @asynccontextmanager
    async def _connection(
        self,
        target: Target,
        at_most_once: bool,
        plain: bool,
        request_id: str | None = None,
    ) -> AsyncIterator[Connection]:
        loop = asyncio.get_running_loop()
        acquire = self.pool.acquire_fresh if at_most_once else self.pool.acquire
        connection = acquire(target.address, loop.time(), request_id)
        shares = self.shares if plain else None
        if connection is not None and self.shares and connection.peer_has_closed():
            connection.close()
            connection = None
        is_new = connection is None
        started_at = loop.time()
        if connection is not None:
            self.on_connection(target, "reused")
        if connection is None:
            if shares is not None:
                self._trim(target, shares.idle_limit(target))
            connection = await self.connector.connect(target.address)
        try:
            if is_new and shares is not None:
                wait_s = reset_wait_s(loop.time() - started_at)
                try:
                    await connection.wait_for_reset(wait_s)
                except asyncio.CancelledError:
                    # Without a request it would pass for one that may be reused.
                    connection.close()
                    raise
                if not connection.reusable:
                    self.on_connection(target, "reset")
                    raise ResetBeforeWriteError("reset before the request was written")
            if is_new:
                self.on_connection(target, "opened")
            yield connection
        finally:
            if not connection.complete or not connection.reusable:
                connection.close()

    def _trim(self, target: Target, limit: int | None) -> None:
        if limit is not None:
            self.pool.trim(target.address, limit)

    def _release(
        self,
        ticket: Ticket,
        target: Target,
        connection: Connection,
        response: ResponseHead,
    ) -> None:
        """Keep a connection for as long as its target does."""
        now = asyncio.get_running_loop().time()
        shares = self.shares
        reuse_s, fresh_s = idle_times_s(response.keep_alive_s, shares is not None)
        back_to_direct = connection.relayed and not self.connector.detours(
            target.address
        )
        if response.close or reuse_s <= 0 or back_to_direct:
            connection.disable_reuse()
        if not response.close:
            self.on_kept(target, reuse_s)
        self.pool.release(target.address, connection, now + reuse_s, now, now + fresh_s)
        if shares is not None and ticket.model is None:
            self._trim(target, shares.idle_limit(target, ending=1))

    async def attempt(
        self,
        assignment: Assignment[Ticket],
        writer: ResponseWriter,
        stream: StreamState,
        priority: int | None,
    ) -> AttemptResult:
        """Send a request and relay the response unless it calls for a retry.

        Cancelling the attempt closes its connection, which makes the target
        cancel the request.
        """
        ticket, target = assignment.queued, assignment.target
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        stream.begin_attempt()
        result = AttemptResult(Outcome.UNREACHABLE)
        try:
            async with (
                asyncio.timeout_at(ticket.deadline),
                self._connection(
                    target,
                    not ticket.route.retryable,
                    ticket.model is None,
                    ticket.request.id,
                ) as connection,
            ):
                if not self.may_send(assignment):
                    # It became blocked while the connection was opened.
                    result.outcome = Outcome.WITHHELD
                    result.reason = "target gets no such requests any more"
                    # How long the target still keeps it isn't known.
                    connection.close()
                    return result
                try:
                    await self._exchange(
                        connection, assignment, writer, stream, priority, result
                    )
                except ConnectionBrokenError:
                    if not connection.head_complete and not connection.relayed:
                        self.connector.note_lost(target.address)
                    raise
                finally:
                    result.closed_by_peer = connection.closed_by_peer
                    result.skipped_responses = connection.skipped_responses
        except UnencodableRequestError as error:
            result.outcome = Outcome.UNENCODABLE
            result.reason = str(error)
        except ConnectionBrokenError as error:
            result.over_cap = isinstance(error, ResetBeforeWriteError)
            result.reason = str(error)
            result.outcome = Outcome.BROKEN if result.sent else Outcome.UNREACHABLE
        except TimeoutError:
            result.reason = "deadline exceeded"
            result.outcome = Outcome.TIMED_OUT
        head = result.response
        if result.outcome in (Outcome.BROKEN, Outcome.TIMED_OUT) and (
            head is not None and head.not_run and head.status >= 300
        ):
            # The head has told it; only the rest of the response was lost.
            result.outcome = Outcome.NOT_RUN
        result.elapsed_s = loop.time() - started_at
        return result

    async def _exchange(
        self,
        connection: Connection,
        assignment: Assignment[Ticket],
        writer: ResponseWriter,
        stream: StreamState,
        priority: int | None,
        result: AttemptResult,
    ) -> None:
        ticket, target = assignment.queued, assignment.target
        loop = asyncio.get_running_loop()
        workspace = ticket.workspace.name if ticket.workspace is not None else None
        try:
            data = self.codec.encode_request(
                ticket.request,
                target.id,
                ticket.deadline - loop.time(),
                workspace,
                priority,
                ticket.last_event_id,
            )
        except ValueError as error:
            connection.close()
            raise UnencodableRequestError(str(error)) from error
        request_id = ticket.request.id

        def is_own(headers: list[Header]) -> bool:
            found = self.codec.response_request_id(headers)
            if found is None:
                # It may be an earlier response that the target writes once more.
                return not connection.may_hold_other_responses
            return found == request_id

        connection.send(data, is_own, request_id)
        # A large body would be kept twice while the target works on it.
        del data
        result.sent = True
        response = await self._read_head(connection, target)
        result.response = response
        if not connection.relayed:
            self.connector.note_answered()
        self.on_head(target, response)
        if response.status < 300 and ticket.route.kind is RouteKind.STREAM:
            await self._relay_stream(connection, assignment, response, writer, stream)
            result.outcome = Outcome.DONE
        else:
            await self._read_body(connection, target, result, ticket.route.retryable)
            self._classify_response(ticket, writer, result)
        self._release(ticket, target, connection, response)

    async def _read_head(self, connection: Connection, target: Target) -> ResponseHead:
        """Return the head of the response; raises ConnectionBrokenError."""
        try:
            await connection.wait_for_head()
        except asyncio.CancelledError:
            if connection.head_complete:
                # It arrived as the caller went, or at the deadline.
                response = self._decode_head(connection)
                if _is_attributable(response):
                    self.on_head(target, response)
            raise
        response = self._decode_head(connection)
        if not _is_attributable(response):
            raise ConnectionBrokenError(
                "success response without a request id or signature"
            )
        return response

    def _decode_head(self, connection: Connection) -> ResponseHead:
        return self.codec.decode_response_head(
            connection.status, connection.reason, connection.headers
        )

    async def _check_end(self, connection: Connection, target: Target) -> None:
        """Raise ConnectionBrokenError if a response ended as its target did.

        The kernel closes the connections of a process that is killed, and a response
        without a length or chunks has no other end. A gateway that carries the
        connection does this itself.
        """
        if connection.framed or connection.relayed:
            return
        if await has_ended(self.connector, target.address):
            raise ConnectionBrokenError("target ended together with its response")

    async def _read_body(
        self,
        connection: Connection,
        target: Target,
        result: AttemptResult,
        retryable: bool,
    ) -> None:
        assert result.response is not None
        connection.check_announced_length(MAX_RESPONSE_BYTES)
        worth = Worth.REPEATABLE if retryable else Worth.AT_MOST_ONCE
        if result.response.status >= 300:
            worth = Worth.ERROR
        # One block, which returns to the system as a whole when it is freed.
        body = bytearray()
        size = 0

        def end() -> None:
            body.clear()
            connection.abandon(MEMORY_USED_UP)

        with self.budget.keeping("response", worth, end) as kept:
            while chunk := await connection.read():
                body += chunk
                size += len(chunk)
                if size > MAX_RESPONSE_BYTES:
                    raise ConnectionBrokenError("response body exceeds the size limit")
                ahead = READ_AHEAD_BYTES if size > COUNTED_RESPONSE_BYTES else 0
                self.budget.resize(kept, size + ahead)
                if kept.ended:
                    break
            if kept.ended:
                # The rest may have arrived before the connection was abandoned.
                raise ConnectionBrokenError(MEMORY_USED_UP)
        if not size and not connection.framed:
            # Its end looks the same as a crash after the head.
            raise ConnectionBrokenError("response without a length has no body")
        await self._check_end(connection, target)
        result.body = bytes(body)

    def _classify_response(
        self, ticket: Ticket, writer: ResponseWriter, result: AttemptResult
    ) -> None:
        response = result.response
        assert response is not None
        if response.not_run:
            result.outcome = Outcome.NOT_RUN
            result.reason = f"status {response.status}"
        elif (
            response.status >= 500
            or response.status in NOT_RUN_STATUSES
            or writer.started
        ):
            # An error response can't be a part of a stream that has begun.
            result.outcome = Outcome.FAILED
            result.reason = f"status {response.status}"
        else:
            result.outcome = Outcome.DONE
            write_response(response, result.body, writer)

    async def _relay_stream(
        self,
        connection: Connection,
        assignment: Assignment[Ticket],
        response: ResponseHead,
        writer: ResponseWriter,
        stream: StreamState,
    ) -> None:
        """Relay the complete events of a stream as they arrive.

        Comments before the first event are kept until it comes: until then the target
        has not begun to answer, and another one may do so.
        """
        loop = asyncio.get_running_loop()
        ticket = assignment.queued
        splitter = stream.splitter
        splitter.discard_partial()
        has_events = False
        comments = bytearray()
        progress = StreamProgress(stall_timeout_s(ticket.route.stall_s))
        worth = Worth.REPEATABLE if ticket.route.resumable else Worth.AT_MOST_ONCE
        with (
            _stall_limit(connection, progress, stream),
            self.budget.keeping(
                "event", worth, lambda: connection.abandon(MEMORY_USED_UP)
            ) as kept,
        ):
            while chunk := await connection.read():
                events = splitter.feed(chunk)
                is_event = has_event(events)
                if not has_events and not is_event:
                    comments += events
                    events = b""
                kept_bytes = splitter.partial_bytes + len(comments)
                if kept_bytes > MAX_EVENT_BYTES:
                    raise ConnectionBrokenError("event exceeds the size limit")
                if kept_bytes > COUNTED_EVENT_BYTES or kept.size:
                    self.budget.resize(kept, kept_bytes)
                if kept.ended:
                    raise ConnectionBrokenError(MEMORY_USED_UP)
                if not events:
                    continue
                if is_event:
                    if not has_events:
                        check_resumed_events(events, ticket.last_event_id)
                        events = bytes(comments) + events
                        comments.clear()
                    has_events = True
                    now = loop.time()
                    progress.record_event(now)
                    stream.record_events(now)
                if not writer.started:
                    if stream.before_first_write is not None:
                        await stream.before_first_write()
                    writer.start(
                        response.status, response.reason, response.headers, None
                    )
                writer.write(events)
                if splitter.last_id is not None:
                    ticket.last_event_id = splitter.last_id
                # They would be kept as long as the caller doesn't read.
                del chunk, events
                progress.begin_wait_for_caller()
                await writer.drain()
                progress.end_wait_for_caller(loop.time())
        if splitter.partial_bytes:
            raise ConnectionBrokenError("stream ended within an event")
        if not has_events and not connection.framed:
            # Its end looks the same as a crash before the first event.
            raise ConnectionBrokenError("stream ended without an event")
        await self._check_end(connection, assignment.target)
        if not writer.started:
            writer.start(response.status, response.reason, response.headers, None)
        if comments:
            writer.write(bytes(comments))
        writer.finish()


def _is_attributable(response: ResponseHead) -> bool:
    """Whether a response can be that of the target; a success has to prove it."""
    signed = response.request_id is not None and response.signed
    return response.status >= 300 or signed


def check_resumed_events(events: bytes, last_event_id: int | None) -> None:
    """Raise ConnectionBrokenError if a target repeats events that its caller has.

    ``events`` are the first ones of an attempt, ``last_event_id`` the last one that the
    caller has, if any.
    """
    if last_event_id is None:
        return
    event_id = first_event_id(events)
    if event_id is not None and event_id <= last_event_id:
        raise ConnectionBrokenError("resumed stream repeats events")


@contextmanager
def _stall_limit(
    connection: Connection, progress: StreamProgress, stream: StreamState
) -> Iterator[None]:
    """Abandon a connection whose stream has stalled and can move to another target."""
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle

    def check() -> None:
        nonlocal timer
        now = loop.time()
        if progress.stalled(now) and stream.can_move():
            connection.abandon("no event in time")
            return
        timer = loop.call_at(progress.next_check_at(now), check)

    timer = loop.call_at(progress.next_check_at(loop.time()), check)
    try:
        yield
    finally:
        timer.cancel()


def write_response(response: ResponseHead, body: bytes, writer: ResponseWriter) -> None:
    """Write a complete response of a target to the caller."""
    writer.start(response.status, response.reason, response.headers, len(body))
    if body:
        writer.write(body)
    writer.finish()
