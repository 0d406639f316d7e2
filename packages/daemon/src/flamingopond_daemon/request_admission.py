"""Admission of requests: one queue for each model or service."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import anyio
import attrs

from flamingopond_core.admission import AdmissionQueue, EarlyRefusal, Ticket
from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError

# A queued request is refused after this multiple of the first-token target. For a
# workspace within its rate, a late answer is better than a refusal.
_MAX_WAIT_FACTOR = 4.0
# Slots also become available when a load report arrives, which wakes no waiter.
_RECHECK_INTERVAL_S = 0.02


@attrs.frozen
class AdmissionRequest:
    """Properties of a request that determine its place in the queue.

    It is refused at once if its expected wait exceeds ``max_wait_s``.
    """

    workspace: str
    priority: Priority
    tokens: int
    weight: float
    max_wait_s: float


@attrs.define
class _QueueState:
    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)
    admitted: dict[Ticket, anyio.Event] = attrs.field(factory=dict)
    # Admitted requests that ``available_slots`` does not take into account yet.
    starting: int = 0


class Admission:
    """Admits requests in fair order as slots become available.

    ``available_slots(name)`` is the number of requests that can start now.
    """

    def __init__(
        self,
        available_slots: Callable[[str], int],
        first_token_target_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with empty queues."""
        self._available_slots = available_slots
        self._first_token_target_s = first_token_target_s
        self._clock = clock
        self._states: dict[str, _QueueState] = {}

    def set_recent_use(self, workspace: str, recent_use: float) -> None:
        """Set a workspace's recent use over the whole fleet, in tokens."""
        for state in self._states.values():
            state.queue.set_recent_use(workspace, recent_use)

    @asynccontextmanager
    async def slot(
        self, name: str, admission_request: AdmissionRequest
    ) -> AsyncIterator[Callable[[], None]]:
        """Hold one slot of ``name``; yields a function that releases it early.

        Call it once ``available_slots`` counts the request as started. Raises
        ``RequestRefusedError`` with ``overloaded``.
        """
        await self.acquire(name, admission_request)
        held = True

        def release() -> None:
            nonlocal held
            if held:
                held = False
                self._states[name].starting -= 1

        try:
            yield release
        finally:
            release()
            self.admit_waiting(name)

    async def acquire(self, name: str, admission_request: AdmissionRequest) -> None:
        """Wait until a request may start, and take a slot.

        Raises ``RequestRefusedError`` with ``overloaded``.
        """
        state = self._states.setdefault(name, _QueueState())
        if not len(state.queue) and self._available_slots(name) > state.starting:
            state.starting += 1
            return
        ticket = state.queue.enqueue(
            admission_request.workspace,
            admission_request.priority,
            admission_request.tokens,
            self._clock(),
            admission_request.weight,
            admission_request.max_wait_s,
        )
        if isinstance(ticket, EarlyRefusal):
            raise _overloaded(name, ticket.expected_wait_s)
        with self._queued(state, ticket) as admitted:
            with anyio.move_on_after(self._first_token_target_s * _MAX_WAIT_FACTOR):
                while not admitted.is_set():
                    with anyio.move_on_after(_RECHECK_INTERVAL_S):
                        await admitted.wait()
                    self.admit_waiting(name)
            if not admitted.is_set():
                raise _overloaded(name, self._first_token_target_s)

    def admit_waiting(self, name: str) -> None:
        """Admit queued requests while slots are available."""
        state = self._states.get(name)
        if state is None:
            return
        while len(state.queue) and self._available_slots(name) > state.starting:
            ticket = state.queue.next(self._clock())
            if ticket is None:
                return
            state.starting += 1
            state.admitted[ticket].set()

    @contextmanager
    def _queued(self, state: _QueueState, ticket: Ticket) -> Iterator[anyio.Event]:
        event = state.admitted[ticket] = anyio.Event()
        slot_taken = False
        try:
            yield event
            slot_taken = event.is_set()
        finally:
            del state.admitted[ticket]
            if event.is_set() and not slot_taken:
                state.starting -= 1
            state.queue.remove(ticket, self._clock())


def _overloaded(name: str, retry_after_s: float) -> RequestRefusedError:
    return RequestRefusedError(
        "overloaded", f"no target of {name} has room", retry_after=retry_after_s
    )
