"""Waiting for room on the engines: one admission queue for each model."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import attrs

from flamingopond_core.admission import AdmissionQueue, EarlyRefusal, Ticket
from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_daemon.requests import ModelRequest

# Prefill speed assumed for the wait that a request can bear, in tokens/s.
_PREFILL_RATE = 8000.0
# A request that waits longer than expected is kept for this multiple of the
# first-token target: an answer that comes late is still better than a refusal
# inside the rate.
_PATIENCE = 4.0
# Room also appears by itself, when a report arrives.
_RECHECK_S = 0.02


@attrs.define
class _Model:
    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)
    admitted: dict[Ticket, anyio.Event] = attrs.field(factory=dict)
    # Requests that were admitted but are not on an engine yet.
    entering: int = 0


class Admission:
    """Admits requests as ``room(model)`` allows, in fair order."""

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
        self._models: dict[str, _Model] = {}

    def seed(self, workspace: str, recent_use: float) -> None:
        """Note a workspace's recent use over the whole fleet, in tokens."""
        for model in self._models.values():
            model.queue.seed(workspace, recent_use)

    async def enter(self, request: ModelRequest) -> None:
        """Wait until ``request`` may start; call ``entered`` when it has.

        Raises ``RequestRefusedError`` with ``overloaded``.
        """
        model = self._models.setdefault(request.model, _Model())
        if not len(model.queue) and self._room(request.model) > model.entering:
            model.entering += 1
            return
        now = self._clock()
        bearable = max(0.0, self._target_s - request.prompt_tokens / _PREFILL_RATE)
        place = model.queue.offer(
            request.workspace,
            request.priority,
            request.prompt_tokens + request.max_tokens,
            now,
            request.weight,
            bearable,
        )
        if isinstance(place, EarlyRefusal):
            raise _overloaded(place.expected_wait)
        with self._place(model, place) as admitted:
            with anyio.move_on_after(self._target_s * _PATIENCE):
                while not admitted.is_set():
                    with anyio.move_on_after(_RECHECK_S):
                        await admitted.wait()
                    self.admit(request.model)
            if not admitted.is_set():
                raise _overloaded(self._target_s)

    def entered(self, model: str) -> None:
        """Note that an admitted request is on an engine, or has given up."""
        self._models[model].entering -= 1

    def admit(self, name: str) -> None:
        """Admit waiting requests for which there is room."""
        model = self._models.get(name)
        if model is None:
            return
        while len(model.queue) and self._room(name) > model.entering:
            ticket = model.queue.next(self._clock())
            if ticket is None:
                return
            model.entering += 1
            model.admitted[ticket].set()

    @contextmanager
    def _place(self, model: _Model, ticket: Ticket) -> Iterator[anyio.Event]:
        event = model.admitted[ticket] = anyio.Event()
        passed_on = False
        try:
            yield event
            passed_on = event.is_set()
        finally:
            del model.admitted[ticket]
            if event.is_set() and not passed_on:
                model.entering -= 1
            model.queue.abandon(ticket, self._clock())


def _overloaded(wait: float) -> RequestRefusedError:
    return RequestRefusedError(
        "overloaded", "no engine of the model has room", retry_after=wait
    )
