"""Waits for targets, assigned by the local scheduler or by the dispatcher."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable

import structlog

from flamingopond_core.exceptions import FlamingopondError

from ..messages import RefusedCaller, TargetAssignment
from ..targets.roster import TargetState
from .dispatch import REFUSAL_REPEAT_S
from .fair_order import RequestOrder
from .queued import Assignment
from .returning import ReturningCallers
from .scheduler import Scheduler
from .tickets import Ticket

# Period of the search for requests whose targets have all been blocked as they wait.
# It asks about each pair of a waiting request and a target.
BLOCK_CHECK_PERIOD_S = 0.1
# Maximum number of refused callers named in a dispatch request; some 12 bytes each.
MAX_REFUSALS_PER_MESSAGE = 60

log = structlog.get_logger()


class WaitTooLongError(FlamingopondError):
    """Raised when no target is expected to have room for a request in time."""

    reason = "no target will have room in time"

    def __init__(self, wait_s: float) -> None:
        """Store the estimated wait in seconds."""
        super().__init__(self.reason)
        self._wait_s = wait_s

    @property
    def wait_s(self) -> float:
        """Estimated wait for a target in seconds.

        It is 0 if the gateway shuts down, infinite if the end isn't known.
        """
        return self._wait_s


class TargetsBlockedError(WaitTooLongError):
    """Raised when all targets that could serve a request are blocked for too long.

    ``wait_s`` is the time until one of them takes requests, infinite if not known.
    """

    reason = "all targets that could serve it are blocked"


class Admission:
    """Lets requests wait for a target and wakes them once they are assigned."""

    def __init__(self, scheduler: Scheduler[Ticket]) -> None:
        """Create the admission for requests queued in ``scheduler``."""
        self._scheduler = scheduler
        self._futures: dict[Ticket, asyncio.Future[Assignment[Ticket]]] = {}
        self._by_number: dict[int, Ticket] = {}
        self._last_number = 0
        self._closed = False
        self._refusing_new = False
        self._ends_at = float("inf")
        self._returning: ReturningCallers | None = None
        # Time, end of the Retry-After, number and caller key of each.
        self._refusals: deque[tuple[float, float, int, int]] = deque(
            maxlen=MAX_REFUSALS_PER_MESSAGE
        )
        self._on_wait: Callable[[Ticket], None] = lambda ticket: None
        self._on_change: Callable[[], None] = lambda: None
        self._dispatcher_answering: Callable[[float], bool] = lambda now: False
        self._blocks_checked_at = float("-inf")
        self._any_waiting = asyncio.Event()

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a target."""
        return len(self._futures)

    async def wait_for_requests(self) -> None:
        """Return as soon as any request waits for a target."""
        await self._any_waiting.wait()

    def recognize_returning(self) -> None:
        """Prefer callers that come back after a refusal for lack of capacity."""
        self._returning = ReturningCallers()

    def note_refusal(self, ticket: Ticket, retry_after_s: float, now: float) -> None:
        """Note that a caller was refused, and asked to come back."""
        if self._returning is None:
            return
        due_at = now + retry_after_s
        self._returning.note(ticket.caller_key, due_at, now)
        self._refusals.append((now, due_at, ticket.number, ticket.caller_key))
        self._on_change()

    def recent_refusals(self, now: float) -> list[RefusedCaller]:
        """Return the refusals that the dispatcher may not know yet."""
        while self._refusals and now - self._refusals[0][0] > REFUSAL_REPEAT_S:
            self._refusals.popleft()
        return [
            RefusedCaller(number, caller_key, int(1000 * (due_at - now)))
            for _, due_at, number, caller_key in self._refusals
        ]

    def mark_returning(self, numbers: Iterable[int]) -> None:
        """Mark the requests that the dispatcher has recognized as returning."""
        for number in numbers:
            ticket = self._by_number.get(number)
            if ticket is not None:
                ticket.returning = True

    def refuse(self, number: int, wait_s: float) -> None:
        """Refuse a request that the dispatcher expects to wait for too long."""
        ticket = self._by_number.get(number)
        future = self._futures.get(ticket) if ticket is not None else None
        if future is not None and not future.done():
            future.set_exception(WaitTooLongError(wait_s))

    def watch_waiting(self, callback: Callable[[Ticket], None]) -> None:
        """Call ``callback`` for each request that is not assigned at once."""
        self._on_wait = callback

    @property
    def pending(self) -> list[Ticket]:
        """Waiting requests that the dispatcher may assign.

        It alone sends requests to targets with a limit, so that other requests are left
        to it, too, if there are such targets.
        """
        limited = {
            service
            for service in {ticket.service for ticket in self._futures}
            if self._scheduler.has_limit(service)
        }
        return [
            ticket
            for ticket in self._futures
            if _dispatchable(ticket) or ticket.service in limited
        ]

    @property
    def order(self) -> RequestOrder:
        """Order of the waiting requests."""
        return self._scheduler.order

    def has_copy(self, ticket: Ticket, now: float) -> bool:
        """Whether any target in service holds the model and adapter of a request."""
        return self._scheduler.has_copy(ticket, now)

    def unusable_targets(self, now: float) -> list[str]:
        """Return the targets to which the dispatcher must not send from here."""
        return [
            target.id
            for target in self._scheduler.roster
            if self._scheduler.blocked(target, now) is not None
        ]

    def use_dispatcher(
        self, answering: Callable[[float], bool], on_change: Callable[[], None]
    ) -> None:
        """Leave model requests to the dispatcher while ``answering(now)`` is true.

        ``on_change`` is called after changes of the pending requests or of the
        outstanding work.
        """
        self._dispatcher_answering = answering
        self._on_change = on_change

    async def assign(self, ticket: Ticket) -> Assignment[Ticket]:
        """Wait until a target has room for the request.

        Raises TimeoutError at the request's deadline, or WaitTooLongError earlier if
        the wait is expected to exceed it; TargetsBlockedError if no target may take it.
        """
        is_new = ticket.taken_up or not ticket.resuming
        if is_new and (self._refusing_new or ticket.deadline > self._ends_at):
            raise WaitTooLongError(0.0)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Assignment[Ticket]] = loop.create_future()
        self._futures[ticket] = future
        self._last_number += 1
        ticket.number = self._last_number
        self._by_number[ticket.number] = ticket
        if self._returning is not None and not self._dispatcher_answering(loop.time()):
            ticket.returning |= self._returning.claim(ticket.caller_key, loop.time())
        self._scheduler.submit(ticket)
        try:
            self.assign_waiting(ticket.service, loop.time())
            if not future.done():
                if self._closed:
                    raise WaitTooLongError(0.0)
                self._check_blocks(ticket, loop.time())
                self._any_waiting.set()
                self._on_wait(ticket)
            async with asyncio.timeout_at(ticket.queue_deadline):
                return await future
        except BaseException:
            if future.done() and not future.cancelled() and not future.exception():
                # Assigned in the same iteration of the loop as the wait ended.
                assigned = future.result()
                self._scheduler.work.remove(assigned.target.id, ticket.work)
            raise
        finally:
            del self._futures[ticket]
            del self._by_number[ticket.number]
            if not self._futures:
                self._any_waiting.clear()
            self._scheduler.withdraw(ticket)
            self._on_change()

    def grant(
        self, granted: TargetAssignment, send_before: float = float("-inf")
    ) -> None:
        """Assign the target that the dispatcher chose, if the request still waits.

        A cold target gets the request before ``send_before`` (``clock.boot_time``), or
        not at all: the dispatcher grants it again later.
        """
        ticket = self._by_number.get(granted.number)
        future = self._futures.get(ticket) if ticket is not None else None
        if ticket is None or future is None or future.done():
            return
        target = self._scheduler.roster.get(granted.target)
        now = asyncio.get_running_loop().time()
        if (
            target is None
            or target.start_id != granted.start_id
            or target.state is not TargetState.READY
            or not self._scheduler.fits_stream(target, ticket)
        ):
            log.info("grant declined", request=ticket.request.id, target=granted.target)
            ticket.unavailable.append(granted.target)
            self._on_change()
            return
        if self._scheduler.blocked(target, now):
            # The next dispatch request lists the target as unusable. The block may end
            # while the request still waits, so that the target isn't excluded.
            self._on_change()
            return
        assignment = Assignment(ticket, target, send_before if granted.cold else None)
        if not self._scheduler.may_send(assignment, now):
            if not granted.cold:
                # The dispatcher takes a cold target for warm; it would only repeat it.
                ticket.unavailable.append(granted.target)
                self._on_change()
            return
        self._scheduler.withdraw(ticket)
        self._scheduler.work.add(target.id, ticket.work)
        self._scheduler.order.record_served(ticket, now)
        future.set_result(assignment)

    def assign_waiting(self, service: str, now: float) -> None:
        """Assign waiting requests of a service after a change."""
        self._assign(service, now)
        self._on_change()

    def _assign(self, service: str, now: float) -> None:
        dispatched = not self._closed and self._dispatcher_answering(now)

        # Calls to a service with a limited target are left to the dispatcher, too: it
        # alone can send them there, and without any the target can't end its limit.
        limited = dispatched and self._scheduler.has_limit(service)

        def eligible(ticket: Ticket) -> bool:
            return not dispatched or not (
                _dispatchable(ticket) or (limited and not ticket.resuming)
            )

        for assignment in self._scheduler.assign(service, now, eligible):
            future = self._futures.get(assignment.queued)
            if future is None or future.done():
                self._scheduler.work.remove(
                    assignment.target.id, assignment.queued.work
                )
            else:
                future.set_result(assignment)

    def refuse_unservable(self, now: float) -> None:
        """Refuse the waiting requests that can't be served in time."""
        # The dispatcher sees the shares of the whole fleet.
        by_share = not self._dispatcher_answering(now)
        unservable = self._scheduler.unservable(now, by_share)
        unservable += self._scheduler.unservable_calls(now)
        for ticket, wait_s in unservable:
            future = self._futures.get(ticket)
            if future is not None and not future.done():
                wait_s = self.order.return_wait_s(ticket, now) or wait_s
                future.set_exception(WaitTooLongError(wait_s))

    def refuse_blocked(self, now: float) -> None:
        """Refuse the waiting requests whose targets are all blocked for too long."""
        if now - self._blocks_checked_at < BLOCK_CHECK_PERIOD_S:
            return
        self._blocks_checked_at = now
        roster = self._scheduler.roster
        blocked = {
            target.service
            for target in roster
            if self._scheduler.blocked(target, now) is not None
        }
        for ticket, future in self._futures.items():
            if ticket.service not in blocked or future.done():
                continue
            try:
                self._check_blocks(ticket, now)
            except TargetsBlockedError as error:
                future.set_exception(error)

    def _check_blocks(self, ticket: Ticket, now: float) -> None:
        """Raise TargetsBlockedError if all targets are blocked for too long."""
        found = self._scheduler.blocked_until(ticket, now)
        if found is not None and found.assignable_at > ticket.queue_deadline:
            raise TargetsBlockedError(found.servable_at - now)

    def refuse_where(
        self, predicate: Callable[[Ticket], bool], error: FlamingopondError
    ) -> None:
        """Let the waits of some requests end with ``error``."""
        for ticket, future in self._futures.items():
            if not future.done() and predicate(ticket):
                future.set_exception(error)

    def close(self) -> None:
        """Refuse waiting requests, and later ones that can't be assigned at once."""
        self._closed = True
        for future in self._futures.values():
            if not future.done():
                future.set_exception(WaitTooLongError(0.0))

    def refuse_beyond(self, ends_at: float) -> None:
        """Refuse new requests that may take longer than until ``ends_at``.

        The process exits then (event loop clock).
        """
        self._ends_at = ends_at

    def refuse_new(self) -> None:
        """Refuse all new requests: the process will exit before they are answered."""
        self._refusing_new = True

    def assign_all_waiting(self, now: float) -> None:
        """Assign waiting requests of all services."""
        for service in {ticket.service for ticket in self._futures}:
            self._assign(service, now)


def _dispatchable(ticket: Ticket) -> bool:
    """Whether the dispatcher may choose the target of a request.

    Interrupted streams must resume at once, and calls to targets other than model
    engines are short, so the local scheduler assigns both.
    """
    return ticket.model is not None and not ticket.resuming
