"""Dispatch of model requests: token limits, admission, routing and retries."""

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
from flamingopond_daemon.attempts import RequestProgress, stream_attempt
from flamingopond_daemon.interfaces import (
    Emit,
    EngineClients,
    EngineDirectory,
    EventLog,
    TokenLimits,
)
from flamingopond_daemon.metrics import Metrics
from flamingopond_daemon.quarantine import Quarantine
from flamingopond_daemon.request_admission import Admission, AdmissionRequest
from flamingopond_daemon.requests import ModelRequest
from flamingopond_daemon.responses import Completion
from flamingopond_platform.engine import Engine, GenerateRequest

# Most attempts at one request; the retry budget usually ends retries earlier.
MAX_ATTEMPTS = 6
# Tokens that an engine may generate before a cancellation reaches it. They are charged,
# so that the charge is never below what was processed.
CANCEL_MARGIN_TOKENS = 2
# Longest wait for an engine that can resume a partly streamed answer.
RESUME_TIMEOUT_S = 10.0
# A single failed report call does not prove a crash: a restarting process may refuse
# connections, and a response may be lost.
_CRASH_CHECKS = 3
_CRASH_CHECK_INTERVAL_S = 0.1
_CANDIDATE_POLL_INTERVAL_S = 0.05
# Prefill rate assumed when the longest queue wait of a request is computed.
_PREFILL_TOKENS_PER_S = 8000.0


class _AttemptFailedError(Exception):
    """An attempt failed, but another one may succeed."""


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
        """Create a dispatcher without requests."""
        self._limits = limits
        self._router = router
        self._engines = engines
        self._directory = directory
        self._suspicion = suspicion
        self._quarantine = quarantine
        self._metrics = metrics
        self._events = events
        self._first_token_target_s = first_token_target_s
        self._clock = clock
        self._rng = rng or Random()
        self._admission = Admission(self.available_slots, first_token_target_s, clock)
        self._budgets: dict[str, RetryBudget] = {}
        self._last_reports: dict[str, tuple[str, int]] = {}

    @property
    def admission(self) -> Admission:
        """The admission queues of the models."""
        return self._admission

    async def generate(self, request: ModelRequest, emit: Emit) -> Completion:
        """Run ``request`` and pass its tokens to ``emit`` in order, each once.

        Raises ``RequestRefusedError``.
        """
        await self._wait_for_verdict(request)
        requested_tokens = request.prompt_tokens + request.max_tokens
        # Refused requests count too: placement has to provide capacity for them.
        self._directory.record_demand(request.model, requested_tokens, self._clock())
        reservation = await self._limits.reserve(
            request.workspace,
            requested_tokens,
            self._clock() + self._first_token_target_s,
        )
        progress = RequestProgress(request.prompt_tokens)
        complete = False
        try:
            # The bucket's owner counts the tokens as spent when the reservation
            # ends, so the request must not generate any after that.
            remaining_s = max(0.0, reservation.ends_at - self._clock())
            with anyio.move_on_after(remaining_s):
                completion = await self._run_with_retries(request, progress, emit)
                complete = True
                return completion
            raise RequestRefusedError(
                "target_timeout",
                "the request lasted longer than its tokens are reserved",
                progress.run_state,
            )
        except RequestRefusedError as error:
            # A refusal before a retry, such as ``overloaded``, does not reflect
            # earlier attempts.
            if error.run_state is RunState.NOT_RUN and progress.may_have_run:
                error.run_state = progress.run_state
            raise
        finally:
            used = self._tokens_to_charge(request, progress, complete)
            self._limits.settle(reservation, used)
            if used:
                self._metrics.tokens.labels(request.workspace).inc(used)

    def available_slots(self, model: str) -> int:
        """Return how many more requests the engines of ``model`` can start."""
        candidates = self._directory.serving_engines(model)
        self._update_router(candidates)
        return self._router.available_slots(candidates, self._clock())

    async def _run_with_retries(
        self, request: ModelRequest, progress: RequestProgress, emit: Emit
    ) -> Completion:
        budget = self._budgets.setdefault(request.model, RetryBudget())
        budget.record_request(self._clock())
        blocks = prefix_blocks(request.model, request.adapter, request.prompt)
        while True:
            try:
                return await self._run_attempt(request, blocks, progress, emit)
            except _AttemptFailedError:
                self._metrics.attempts.labels("broken").inc()
            # The first resumption of a partly streamed answer is exempt from the
            # retry budget: it costs no more than the rest of the answer, and a crash
            # breaks more streams than the budget covers.
            is_first_resumption = progress.next_token_index and progress.attempts < 3
            if progress.attempts >= MAX_ATTEMPTS or not (
                is_first_resumption or budget.allow_retry(self._clock())
            ):
                raise _failure_error(progress)
            self._metrics.attempts.labels("retry").inc()

    async def _run_attempt(
        self,
        request: ModelRequest,
        blocks: Sequence[str],
        progress: RequestProgress,
        emit: Emit,
    ) -> Completion:
        progress.attempts += 1
        attempt_id = f"{request.request_id}-{progress.attempts}"
        async with self._assign_engine(request, blocks, progress, attempt_id) as (
            name,
            fresh_connection,
        ):
            engine = self._engines.get(name)
            report = self._directory.report(name)
            if engine is None:
                progress.excluded_engines.add(name)
                raise _AttemptFailedError
            try:
                end = await stream_attempt(
                    engine,
                    _generate_request(request, attempt_id, progress.next_token_index),
                    progress,
                    emit,
                    fresh_connection,
                    self._metrics.dropped_chunks.inc,
                )
            except TargetError as error:
                progress.last_error = error
                not_reached = error.run_state is RunState.NOT_RUN or isinstance(
                    error, TargetUnreachableError
                )
                instance = report.instance if report else None
                crashed = not not_reached and await self._has_crashed(engine, instance)
                if crashed:
                    self._record_crash(request, name, attempt_id)
                if not_reached or crashed or fresh_connection:
                    progress.excluded_engines.add(name)
                else:
                    progress.reconnect_engine = name
                raise _AttemptFailedError from error
            now = self._clock()
            self._suspicion.record_completion(request.fingerprint, attempt_id)
            self._router.record_finish(name, attempt_id, now, end.answer_tokens)
            self._router.observe(
                LoadReport(name, end.load, lag_s=0.0, from_answer=True), now
            )
            progress.prompt_tokens = end.prompt_tokens
            return Completion(end.finish_reason, end.prompt_tokens, end.answer_tokens)

    @asynccontextmanager
    async def _assign_engine(
        self,
        request: ModelRequest,
        blocks: Sequence[str],
        progress: RequestProgress,
        attempt_id: str,
    ) -> AsyncIterator[tuple[str, bool]]:
        """Choose an engine and track the attempt as in flight on it.

        Yields the engine and whether the attempt needs a new connection.
        """
        reconnect, progress.reconnect_engine = progress.reconnect_engine, ""
        verdict = await self._wait_for_verdict(request)
        if verdict is Verdict.QUARANTINE:
            routing = await self._wait_for_candidates(request, blocks, progress)
            async with self._reserve_engine(request, routing, attempt_id) as name:
                yield name, True
        elif reconnect and self._router.usable(reconnect):
            routing = self._routing_request((reconnect,), request, blocks, progress)
            with self._track_attempt(reconnect, attempt_id, routing):
                yield reconnect, True
        else:
            routing = await self._wait_for_candidates(request, blocks, progress)
            async with self._admission.slot(
                request.model, self._admission_request(request)
            ) as release:
                self._update_router(routing.candidates)
                chosen = self._router.choose(routing, self._clock(), self._rng)
                if chosen is None:
                    raise _no_target_error(progress)
                with self._track_attempt(chosen, attempt_id, routing):
                    release()
                    yield chosen, False

    async def _wait_for_verdict(self, request: ModelRequest) -> Verdict:
        """Return ``FREE``, or ``QUARANTINE`` once a suspect request may run."""
        verdict = self._suspicion.verdict(request.fingerprint, self._clock())
        if verdict is Verdict.FREE:
            return verdict
        return await self._quarantine.wait_for_verdict(request.fingerprint)

    @asynccontextmanager
    async def _reserve_engine(
        self, request: ModelRequest, routing: RoutingRequest, attempt_id: str
    ) -> AsyncIterator[str]:
        """Reserve an idle engine for a suspect request and track the attempt on it."""

        def choose() -> str | None:
            now = self._clock()
            return self._router.reservation_candidate(
                routing, now
            ) or self._router.choose(routing, now, self._rng)

        async with self._quarantine.reserve_engine(
            request.fingerprint, attempt_id, choose
        ) as name:
            with self._track_attempt(name, attempt_id, routing):
                yield name

    def _admission_request(self, request: ModelRequest) -> AdmissionRequest:
        prefill_s = request.prompt_tokens / _PREFILL_TOKENS_PER_S
        return AdmissionRequest(
            request.workspace,
            request.priority,
            request.prompt_tokens + request.max_tokens,
            request.weight,
            max(0.0, self._first_token_target_s - prefill_s),
        )

    @contextmanager
    def _track_attempt(
        self, name: str, attempt_id: str, routing: RoutingRequest
    ) -> Iterator[None]:
        self._router.record_start(name, attempt_id, routing, self._clock())
        try:
            yield
        finally:
            self._router.record_finish(name, attempt_id, self._clock())

    async def _wait_for_candidates(
        self, request: ModelRequest, blocks: Sequence[str], progress: RequestProgress
    ) -> RoutingRequest:
        """Wait for a usable engine and return the routing request."""
        timeout_s = (
            RESUME_TIMEOUT_S
            if progress.next_token_index
            else self._first_token_target_s
        )
        deadline = self._clock() + timeout_s
        while True:
            served_name = request.adapter or request.model
            candidates = self._directory.serving_engines(served_name)
            routing = self._routing_request(candidates, request, blocks, progress)
            if any(
                self._router.usable(name) and name not in progress.excluded_engines
                for name in candidates
            ):
                return routing
            if self._clock() >= deadline:
                raise _no_target_error(progress)
            # If all usable engines have failed once, try them again.
            if any(map(self._router.usable, candidates)):
                progress.excluded_engines.clear()
            await anyio.sleep(_CANDIDATE_POLL_INTERVAL_S)

    def _routing_request(
        self,
        candidates: Sequence[str],
        request: ModelRequest,
        blocks: Sequence[str],
        progress: RequestProgress,
    ) -> RoutingRequest:
        return RoutingRequest(
            candidates,
            request.prompt_tokens,
            request.max_tokens,
            blocks,
            frozenset(progress.excluded_engines),
        )

    def _update_router(self, engines: Sequence[str]) -> None:
        """Pass new engine reports to the router."""
        for name in engines:
            report = self._directory.report(name)
            if report is None:
                continue
            last = self._last_reports.get(name)
            current = (report.instance, report.sequence)
            if last == current:
                continue
            self._last_reports[name] = current
            if last is not None and last[0] != report.instance:
                self._router.reset_engine(name)
            self._router.observe(
                LoadReport(name, report.running, report.waiting, report.waiting_tokens),
                self._clock(),
            )

    async def _has_crashed(self, engine: Engine, instance: str | None) -> bool:
        """Return whether the engine process that ran an attempt has ended."""
        refused = 0
        for check in range(2 * _CRASH_CHECKS):
            if check:
                await anyio.sleep(_CRASH_CHECK_INTERVAL_S)
            try:
                report = await engine.report()
            except TargetUnreachableError:
                refused += 1
                if refused == _CRASH_CHECKS:
                    return True
            except TargetTimeoutError:
                return False
            except TargetError:
                # A process that ends closes its connections before its port.
                continue
            else:
                return instance is not None and report.instance != instance
        return False

    def _record_crash(self, request: ModelRequest, name: str, attempt_id: str) -> None:
        self._suspicion.record_crash(request.fingerprint, attempt_id, self._clock())
        self._router.reset_engine(name)
        self._events.record(
            "engine_died",
            target=name,
            request_id=request.request_id,
            workspace=request.workspace,
        )

    @staticmethod
    def _tokens_to_charge(
        request: ModelRequest, progress: RequestProgress, complete: bool
    ) -> int:
        if not progress.may_have_run:
            return 0
        used = progress.prompt_tokens + progress.next_token_index
        if not complete:
            remaining = max(0, request.max_tokens - progress.next_token_index)
            used += min(CANCEL_MARGIN_TOKENS, remaining)
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


def _no_target_error(progress: RequestProgress) -> RequestRefusedError:
    if progress.may_have_run:
        return _failure_error(progress)
    return RequestRefusedError(
        "no_target", "no engine holds the model at the moment", retry_after=1.0
    )


def _failure_error(progress: RequestProgress) -> RequestRefusedError:
    if isinstance(progress.last_error, TargetTimeoutError):
        return RequestRefusedError(
            "target_timeout", "the engine did not answer in time", RunState.UNKNOWN
        )
    return RequestRefusedError(
        "target_failed", "the engines failed to answer", progress.run_state
    )
