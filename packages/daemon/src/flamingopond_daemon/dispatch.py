"""Model requests: limits, admission, routing, streaming and retries."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager, contextmanager
from random import Random

import anyio

from flamingopond_core.blocks import prefix_blocks
from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import (
    RequestRefusedError,
    TargetError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from flamingopond_core.retry_budget import RetryBudget
from flamingopond_core.routing import LoadReport, Router, RoutingRequest
from flamingopond_core.suspicion import SuspicionTable, Verdict
from flamingopond_daemon.answers import Completion
from flamingopond_daemon.attempts import Progress, stream_attempt
from flamingopond_daemon.interfaces import (
    Emit,
    EngineClients,
    EngineDirectory,
    EventLog,
    TokenLimits,
)
from flamingopond_daemon.metrics import Metrics
from flamingopond_daemon.quarantine import Quarantine
from flamingopond_daemon.requests import ModelRequest
from flamingopond_daemon.waiting import Admission, Applicant
from flamingopond_platform.engine import Engine, GenerateRequest

# Attempts at one request; the retry budget usually ends it earlier.
MAX_ATTEMPTS = 6
# Tokens that an engine may still generate while a cancel is on its way to it;
# they are charged, so that the charge is not below what was processed.
CANCEL_MARGIN_TOKENS = 2
# Time for which a begun answer waits for an engine of its model to come back.
RESUME_PATIENCE_S = 10.0
# A restarting process may refuse connections without being dead, and a report may
# be lost, so one failed call does not make an engine's requests suspects.
_DEATH_CHECKS = 3
_DEATH_CHECK_PAUSE_S = 0.1
_CANDIDATE_PAUSE_S = 0.05
# Prefill speed assumed for the wait that a request can bear, in tokens/s.
_PREFILL_RATE = 8000.0


class _BrokenAttemptError(Exception):
    """An attempt failed in a way that another attempt may mend."""


class Dispatcher:
    """Runs model requests on engines."""

    def __init__(
        self,
        limits: TokenLimits,
        router: Router,
        engines: EngineClients,
        directory: EngineDirectory,
        suspicion: SuspicionTable,
        quarantine: Quarantine,
        metrics: Metrics,
        events: EventLog,
        first_token_target_s: float,
        clock: Callable[[], float] = time.monotonic,
        rng: Random | None = None,
    ) -> None:
        """Take the subsystems that a request passes through."""
        self._limits = limits
        self._router = router
        self._engines = engines
        self._directory = directory
        self._suspicion = suspicion
        self._quarantine = quarantine
        self._metrics = metrics
        self._events = events
        self._target_s = first_token_target_s
        self._clock = clock
        self._rng = rng or Random()
        self._admission = Admission(self.room, first_token_target_s, clock)
        self._budgets: dict[str, RetryBudget] = {}
        self._seen: dict[str, tuple[str, int]] = {}

    @property
    def admission(self) -> Admission:
        """The queues in which requests wait for room."""
        return self._admission

    async def generate(self, request: ModelRequest, emit: Emit) -> Completion:
        """Run ``request`` and pass its tokens to ``emit`` in order, each once.

        Raises ``RequestRefusedError``.
        """
        await self._wait_turn(request)
        wanted = request.prompt_tokens + request.max_tokens
        # Also of requests that are refused: placement has to make room for them.
        self._directory.demand(request.model, wanted, self._clock())
        reservation = await self._limits.reserve(
            request.workspace,
            wanted,
            self._clock() + self._target_s,
        )
        progress = Progress(request.prompt_tokens)
        complete = False
        try:
            # The owner counts the tokens as spent after this time, so the request
            # must not generate any more of them.
            left = max(0.0, reservation.until - self._clock())
            with anyio.move_on_after(left):
                completion = await self._attempt_until_done(request, progress, emit)
                complete = True
                return completion
            raise RequestRefusedError(
                "target_timeout",
                "the request lasted longer than its tokens are reserved",
                progress.run_state,
            )
        except RequestRefusedError as error:
            # A refusal while another attempt is prepared, such as ``overloaded``,
            # does not know of the attempts before it.
            if error.run_state is RunState.NOT_RUN and progress.sent:
                error.run_state = progress.run_state
            raise
        finally:
            used = self._charge(request, progress, complete)
            self._limits.settle(reservation, used)
            if used:
                self._metrics.tokens.labels(request.workspace).inc(used)

    def room(self, model: str) -> int:
        """Return how many further requests the engines of ``model`` can start."""
        candidates = self._directory.placed(model)
        self._observe(candidates)
        return self._router.available_slots(candidates, self._clock())

    async def _attempt_until_done(
        self, request: ModelRequest, progress: Progress, emit: Emit
    ) -> Completion:
        budget = self._budgets.setdefault(request.model, RetryBudget())
        budget.record_request(self._clock())
        blocks = prefix_blocks(request.model, request.adapter, request.prompt)
        while True:
            try:
                return await self._attempt(request, blocks, progress, emit)
            except _BrokenAttemptError:
                self._metrics.attempts.labels("broken").inc()
            # The first resumption of a begun answer is outside of the budget: it
            # costs the engines no more than the rest of the answer, and without it
            # a crash would cut off more streams than the budget covers.
            resumption = progress.next_index and progress.attempts < 3
            if progress.attempts >= MAX_ATTEMPTS or not (
                resumption or budget.allow_retry(self._clock())
            ):
                raise _failure(progress)
            self._metrics.attempts.labels("retry").inc()

    async def _attempt(
        self,
        request: ModelRequest,
        blocks: Sequence[str],
        progress: Progress,
        emit: Emit,
    ) -> Completion:
        progress.attempts += 1
        attempt_id = f"{request.request_id}-{progress.attempts}"
        async with self._place(request, blocks, progress, attempt_id) as (name, fresh):
            engine = self._engines.get(name)
            report = self._directory.report(name)
            if engine is None:
                progress.excluded.add(name)
                raise _BrokenAttemptError
            try:
                end = await stream_attempt(
                    engine,
                    _generate_request(request, attempt_id, progress.next_index),
                    progress,
                    emit,
                    fresh,
                    self._metrics.dropped_chunks.inc,
                )
            except TargetError as error:
                progress.last = error
                not_reached = error.run_state is RunState.NOT_RUN or isinstance(
                    error, TargetUnreachableError
                )
                instance = report.instance if report else None
                crashed = not not_reached and await self._died(engine, instance)
                if crashed:
                    self._note_crash(request, name, attempt_id)
                if not_reached or crashed or fresh:
                    progress.excluded.add(name)
                else:
                    progress.same_engine = name
                raise _BrokenAttemptError from error
            now = self._clock()
            self._suspicion.record_completion(request.fingerprint, attempt_id)
            self._router.record_finish(name, attempt_id, now, end.answer_tokens)
            self._router.observe(LoadReport(name, end.load, lag_s=0.0, exact=True), now)
            progress.prompt_tokens = end.prompt_tokens
            return Completion(end.finish_reason, end.prompt_tokens, end.answer_tokens)

    @asynccontextmanager
    async def _place(
        self,
        request: ModelRequest,
        blocks: Sequence[str],
        progress: Progress,
        attempt_id: str,
    ) -> AsyncIterator[tuple[str, bool]]:
        """Choose the engine of an attempt and count the attempt on it.

        Yields the engine and whether a new connection is wanted.
        """
        same, progress.same_engine = progress.same_engine, ""
        verdict = await self._wait_turn(request)
        if verdict is Verdict.QUARANTINE:
            routing = await self._routing(request, blocks, progress)
            async with self._alone(request, routing, attempt_id) as name:
                yield name, True
        elif same and self._router.usable(same):
            routing = self._routing_to((same,), request, blocks, progress)
            with self._counted(same, attempt_id, routing):
                yield same, True
        else:
            routing = await self._routing(request, blocks, progress)
            async with self._admission.slot(
                request.model, self._applicant(request)
            ) as release:
                self._observe(routing.candidates)
                chosen = self._router.choose(routing, self._clock(), self._rng)
                if chosen is None:
                    raise _no_target(progress)
                with self._counted(chosen, attempt_id, routing):
                    release()
                    yield chosen, False

    async def _wait_turn(self, request: ModelRequest) -> Verdict:
        """Return ``FREE`` or, once a suspect may run, ``QUARANTINE``."""
        verdict = self._suspicion.verdict(request.fingerprint, self._clock())
        if verdict is Verdict.FREE:
            return verdict
        return await self._quarantine.wait_turn(request.fingerprint)

    @asynccontextmanager
    async def _alone(
        self, request: ModelRequest, routing: RoutingRequest, attempt_id: str
    ) -> AsyncIterator[str]:
        """Reserve an engine for a suspect and count the attempt on it."""

        def choose() -> str | None:
            now = self._clock()
            return self._router.quarantine_candidate(
                routing, now
            ) or self._router.choose(routing, now, self._rng)

        async with self._quarantine.alone(
            request.fingerprint, attempt_id, choose
        ) as name:
            with self._counted(name, attempt_id, routing):
                yield name

    def _applicant(self, request: ModelRequest) -> Applicant:
        prefill_s = request.prompt_tokens / _PREFILL_RATE
        return Applicant(
            request.workspace,
            request.priority,
            request.prompt_tokens + request.max_tokens,
            request.weight,
            max(0.0, self._target_s - prefill_s),
        )

    @contextmanager
    def _counted(
        self, name: str, attempt_id: str, routing: RoutingRequest
    ) -> Iterator[None]:
        self._router.record_start(name, attempt_id, routing, self._clock())
        try:
            yield
        finally:
            self._router.record_finish(name, attempt_id, self._clock())

    async def _routing(
        self, request: ModelRequest, blocks: Sequence[str], progress: Progress
    ) -> RoutingRequest:
        """Return the routing request once there is an engine to choose."""
        patience = RESUME_PATIENCE_S if progress.next_index else self._target_s
        until = self._clock() + patience
        while True:
            subject = request.adapter or request.model
            candidates = self._directory.placed(subject)
            routing = self._routing_to(candidates, request, blocks, progress)
            if any(
                self._router.usable(name) and name not in progress.excluded
                for name in candidates
            ):
                return routing
            if self._clock() >= until:
                raise _no_target(progress)
            # Engines that failed once may be tried again if there is no other.
            if any(map(self._router.usable, candidates)):
                progress.excluded.clear()
            await anyio.sleep(_CANDIDATE_PAUSE_S)

    def _routing_to(
        self,
        candidates: Sequence[str],
        request: ModelRequest,
        blocks: Sequence[str],
        progress: Progress,
    ) -> RoutingRequest:
        return RoutingRequest(
            candidates,
            request.prompt_tokens,
            request.max_tokens,
            blocks,
            frozenset(progress.excluded),
        )

    def _observe(self, engines: Sequence[str]) -> None:
        """Give the router the reports that it has not seen."""
        for name in engines:
            report = self._directory.report(name)
            if report is None:
                continue
            seen = self._seen.get(name)
            mark = (report.instance, report.sequence)
            if seen == mark:
                continue
            self._seen[name] = mark
            if seen is not None and seen[0] != report.instance:
                self._router.reset_engine(name)
            self._router.observe(
                LoadReport(name, report.running, report.waiting, report.waiting_tokens),
                self._clock(),
            )

    async def _died(self, engine: Engine, instance: str | None) -> bool:
        """Return whether the engine process that ran an attempt is gone."""
        for check in range(_DEATH_CHECKS):
            if check:
                await anyio.sleep(_DEATH_CHECK_PAUSE_S)
            try:
                report = await engine.report()
            except TargetUnreachableError:
                continue
            except TargetError:
                return False
            return instance is not None and report.instance != instance
        return True

    def _note_crash(self, request: ModelRequest, name: str, attempt_id: str) -> None:
        self._suspicion.record_crash(request.fingerprint, attempt_id, self._clock())
        self._router.reset_engine(name)
        self._events.record(
            "engine_died",
            target=name,
            request_id=request.request_id,
            workspace=request.workspace,
        )

    @staticmethod
    def _charge(request: ModelRequest, progress: Progress, complete: bool) -> int:
        if not progress.sent:
            return 0
        used = progress.prompt_tokens + progress.next_index
        if not complete:
            left = max(0, request.max_tokens - progress.next_index)
            used += min(CANCEL_MARGIN_TOKENS, left)
        return used


def _generate_request(
    request: ModelRequest, attempt_id: str, resume_from: int
) -> GenerateRequest:
    return GenerateRequest(
        attempt_id=attempt_id,
        model=request.model,
        prompt=request.prompt,
        max_tokens=request.max_tokens,
        priority=request.priority,
        adapter=request.adapter,
        version=request.version,
        resume_from=resume_from,
        parameters=request.parameters,
    )


def _no_target(progress: Progress) -> RequestRefusedError:
    if progress.sent:
        return _failure(progress)
    return RequestRefusedError(
        "no_target", "no engine holds the model at the moment", retry_after=1.0
    )


def _failure(progress: Progress) -> RequestRefusedError:
    if isinstance(progress.last, TargetTimeoutError):
        return RequestRefusedError(
            "target_timeout", "the engine did not answer in time", RunState.UNKNOWN
        )
    return RequestRefusedError(
        "target_failed", "the engines failed to answer", progress.run_state
    )
