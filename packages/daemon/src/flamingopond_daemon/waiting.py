"""Waiting for room on the targets: one admission queue for each model or service."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

import anyio
import attrs

from flamingopond_core.admission import AdmissionQueue, EarlyRefusal, Ticket
from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError

# A request that waits longer than expected is kept for this multiple of the
# first-token target: an answer that comes late is still better than a refusal
# inside the rate.
_PATIENCE = 4.0
# Room also appears by itself, when a report arrives.
_RECHECK_S = 0.02


@attrs.frozen
class Applicant:
    """What the order of a waiting request depends on.

    ``bearable_s`` is the expected wait beyond which it is refused early.
    """

    workspace: str
    priority: Priority
    tokens: int
    weight: float
    bearable_s: float


@attrs.define
class _Line:
    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)
    admitted: dict[Ticket, anyio.Event] = attrs.field(factory=dict)
    # Requests that were admitted and that ``room`` does not count yet.
    entering: int = 0


class Admission:
    """Admits requests as ``room(name)`` of a model or service allows, in fair order."""

    def __init__(
        self,
        room: Callable[[str], int],
        first_token_target_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start with empty queues."""
        self._room = room
        self._target_s = first_token_target_s
        self._clock = clock
        self._lines: dict[str, _Line] = {}

    def seed(self, workspace: str, recent_use: float) -> None:
        """Note a workspace's recent use over the whole fleet, in tokens."""
        for line in self._lines.values():
            line.queue.set_recent_use(workspace, recent_use)

    @asynccontextmanager
    async def slot(
        self, name: str, applicant: Applicant
    ) -> AsyncIterator[Callable[[], None]]:
        """Hold one place of ``name``; yields a function that gives it up early.

        It is called once ``room`` counts the request. Raises
        ``RequestRefusedError`` with ``overloaded``.
        """
        await self.enter(name, applicant)
        held = True

        def release() -> None:
            nonlocal held
            if held:
                held = False
                self._lines[name].entering -= 1

        try:
            yield release
        finally:
            release()
            self.admit(name)

    async def enter(self, name: str, applicant: Applicant) -> None:
        """Wait until a request may start, and take its place.

        Raises ``RequestRefusedError`` with ``overloaded``.
        """
        line = self._lines.setdefault(name, _Line())
        if not len(line.queue) and self._room(name) > line.entering:
            line.entering += 1
            return
        ticket = line.queue.enqueue(
            applicant.workspace,
            applicant.priority,
            applicant.tokens,
            self._clock(),
            applicant.weight,
            applicant.bearable_s,
        )
        if isinstance(ticket, EarlyRefusal):
            raise _overloaded(name, ticket.expected_wait_s)
        with self._queued(line, ticket) as admitted:
            with anyio.move_on_after(self._target_s * _PATIENCE):
                while not admitted.is_set():
                    with anyio.move_on_after(_RECHECK_S):
                        await admitted.wait()
                    self.admit(name)
            if not admitted.is_set():
                raise _overloaded(name, self._target_s)

    def admit(self, name: str) -> None:
        """Admit waiting requests for which there is room."""
        line = self._lines.get(name)
        if line is None:
            return
        while len(line.queue) and self._room(name) > line.entering:
            ticket = line.queue.next(self._clock())
            if ticket is None:
                return
            line.entering += 1
            line.admitted[ticket].set()

    @contextmanager
    def _queued(self, line: _Line, ticket: Ticket) -> Iterator[anyio.Event]:
        event = line.admitted[ticket] = anyio.Event()
        passed_on = False
        try:
            yield event
            passed_on = event.is_set()
        finally:
            del line.admitted[ticket]
            if event.is_set() and not passed_on:
                line.entering -= 1
            line.queue.remove(ticket, self._clock())


def _overloaded(name: str, wait: float) -> RequestRefusedError:
    return RequestRefusedError(
        "overloaded", f"no target of {name} has room", retry_after=wait
    )
