"""Request handling: validation, admission, attempts and the final response."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

import structlog
from attrs import define, field

from ..configuration import Configuration, Route, RouteKind, Workspace
from ..demand import RateTracker
from ..dispatch.admission import Admission, TargetsBlockedError, WaitTooLongError
from ..dispatch.crash_guard import CrashGuard, FatalContentError
from ..dispatch.fair_order import MAX_RETRY_AFTER_FRACTION
from ..dispatch.loads import InFlightTable, Work
from ..dispatch.queued import Assignment
from ..dispatch.quota import QuotaTracker
from ..dispatch.scheduler import Scheduler
from ..dispatch.service_shares import ServiceShares
from ..dispatch.tickets import Ticket
from ..exchange.stream_origins import (
    DiscontinuedStreamError,
    StreamOrigins,
    UnknownOriginError,
)
from ..metrics import Metrics
from ..requests import Request, ResponseHead
from ..targets.call_latency import OVERDUE_RATIOS, CallLatency
from ..targets.crashes import Trait
from ..targets.health import HealthTracker, TargetHealth
from ..targets.prefill_rate import PrefillRateEstimator
from ..targets.response_signals import ResponseSignals
from ..targets.roster import Target
from ..targets.target_limits import TargetLimits
from ..transport.server import ResponseWriter
from .attempt import (
    NOT_RUN_STATUSES,
    AttemptResult,
    StreamState,
    TargetClient,
    write_response,
)
from .deadlines import (
    DEFAULT_RETRY_AFTER_S,
    DEFAULT_TIMEOUT_S,
    RETRY_AFTER_TOLERANCE_S,
    make_ticket,
    suggest_retry_after_s,
    target_priority,
)
from .retries import UNSENT, NextAction, Outcome, RetryBudget, next_action

# An attempt is a sample of the target's prefill rate only if the other prompt
# tokens queued at the target are at most this ratio of its own.
MAX_OTHER_PREFILL_RATIO = 0.1

# A target that refuses a connection after it has closed one is taken to have crashed.
# Inside a region the answer takes a round trip of about 3 ms.
CRASH_CHECK_TIMEOUT_S = 0.25
# Longest wait of a stream for the limit of its workspace; its caller sees a pause.
MAX_TAKE_UP_WAIT_S = 2.0
TAKE_UP_POLL_S = 0.05
# A call waits for a slot until its usual duration is left, at most this fraction of
# its time, so that short time limits still allow a wait.
MAX_CALL_TIME_FRACTION = 0.33
# Characters of a malformed limit in a log line.
MAX_LOGGED_LIMIT = 40

log = structlog.get_logger()


@define(eq=False)
class Forwarder:
    """Authorizes callers' requests and forwards them to targets."""

    configuration: Callable[[], Configuration | None]
    configuration_outdated: Callable[[], bool]
    admission: Admission
    client: TargetClient
    scheduler: Scheduler[Ticket]
    health: HealthTracker
    prefill_rates: PrefillRateEstimator
    quota: QuotaTracker
    retry_budget: RetryBudget
    demand_rates: RateTracker
    in_flight: InFlightTable
    member_count: Callable[[], int]
    on_not_held: Callable[[str], None]
    crash_guard: CrashGuard
    limits: TargetLimits
    metrics: Metrics
    origins: StreamOrigins
    hold_stream: Callable[[Ticket], Awaitable[None]]
    signals: ResponseSignals = field(factory=ResponseSignals)
    call_latency: CallLatency = field(factory=CallLatency)
    shares: ServiceShares | None = None
    spreads_retries: bool = False

    def __attrs_post_init__(self) -> None:
        """Watch the heads of responses, and count connections."""
        self.client.on_head = self._record_head
        self.client.may_send = self._may_send
        self.client.on_connection = self._count_connection

    async def handle(self, request: Request, writer: ResponseWriter) -> None:
        """Serve one request; the task is cancelled when the caller disconnects."""
        try:
            await self._handle(request, writer)
        except Exception:
            # A defect that one request brings out; its caller gets an answer.
            self.metrics.count_unexpected_error("request")
            log.exception("unexpected error in a request", request=request.id)
            if writer.started:
                writer.abort()
            else:
                self._refuse(request, writer, 500, "unexpected error")

    async def _handle(self, request: Request, writer: ResponseWriter) -> None:
        loop = asyncio.get_running_loop()
        configuration = self.configuration()
        if configuration is None:
            self._refuse(
                request, writer, 503, "no configuration loaded", DEFAULT_RETRY_AFTER_S
            )
            return
        route = configuration.route(request.host, request.path)
        if route is None:
            self._refuse_unknown(
                request, writer, 404, "no matching route", version=configuration.version
            )
            return
        workspace = configuration.workspace(request.key)
        if workspace is None and not route.public:
            self._refuse_unknown(
                request,
                writer,
                401,
                "unknown API key",
                version=configuration.version,
                route=route.name,
            )
            return
        now = loop.time()
        ticket = self._make_ticket(request, route, workspace)
        try:
            self.crash_guard.check(ticket.traits, now)
        except FatalContentError as error:
            self._refuse_fatal_content(ticket, writer, error)
            return
        cost = 0.0
        if workspace is not None:
            generation = request.generation
            tokens = generation.tokens if generation is not None else None
            cost = self.quota.cost(workspace, tokens)
            wait_s = await self._admit(ticket, workspace, cost)
            if wait_s > 0:
                self._refuse(
                    request,
                    writer,
                    429,
                    "workspace rate limit exceeded",
                    wait_s,
                    workspace=workspace.name,
                    cost=cost,
                    rate=workspace.rate,
                    version=configuration.version,
                )
                return
        self.retry_budget.count_request(ticket.service, now)
        if ticket.model is not None:
            self.demand_rates.add(ticket.service, ticket.model, ticket.cost, now)
        try:
            await self._serve(ticket, writer)
        finally:
            if workspace is not None and not ticket.possibly_ran:
                self.quota.refund(workspace, cost)

    async def _admit(self, ticket: Ticket, workspace: Workspace, cost: float) -> float:
        """Charge the workspace's limit; return 0, or the time until it would fit.

        A stream that is taken up waits for a while: many come back at the same moment,
        and those of them that were refused would do so again.
        """
        loop = asyncio.get_running_loop()
        wait_s = self.quota.admit(workspace, cost, loop.time(), ticket.taken_up)
        if not ticket.taken_up or not wait_s:
            return wait_s
        until = min(ticket.queue_deadline, loop.time() + MAX_TAKE_UP_WAIT_S)
        with self.quota.waiting(workspace, cost):
            while wait_s and loop.time() + wait_s < until:
                await asyncio.sleep(min(wait_s, TAKE_UP_POLL_S))
                wait_s = self.quota.admit(workspace, cost, loop.time(), True)
        return wait_s

    def _make_ticket(
        self, request: Request, route: Route, workspace: Workspace | None
    ) -> Ticket:
        ticket = make_ticket(request, route, workspace)
        if ticket.model is not None:
            # The objective applies to the first event, so the request has to be
            # sent earlier by the expected time to that event.
            ticket.objective_deadline -= self.prefill_rates.first_event_s(
                ticket.service
            )
        elif self.shares is not None:
            # A call that is sent later times out, and its outcome is in doubt then.
            usual_s = self.call_latency.usual_s(ticket.service, route.objective_s)
            time_s = ticket.deadline - ticket.arrived_at
            ticket.queue_deadline -= min(usual_s, time_s * MAX_CALL_TIME_FRACTION)
        return ticket

    def _count_connection(self, target: Target, event: str) -> None:
        self.metrics.count_connection(target.service, event)
        if (
            event == "opened"
            and self.shares is not None
            and self.shares.record_accepted(target)
        ):
            log.info(
                "target accepts connections again",
                target=target.id,
                start_id=target.start_id,
            )

    def _record_room(
        self, ticket: Ticket, target: Target, result: AttemptResult, now: float
    ) -> None:
        """Record that the target of a call had no slot or connection for it."""
        if self.shares is None or ticket.model is not None:
            return
        if result.outcome is Outcome.NOT_RUN:
            self.shares.record_refusal(target, now)
        elif result.outcome is Outcome.DONE:
            self.shares.record_answer(target, now)
        if result.over_cap and self.shares.record_reset(target, now):
            log.warning(
                "target over its cap of connections",
                target=target.id,
                start_id=target.start_id,
                idle=self.shares.idle_connections(target.address),
            )

    async def _serve(self, ticket: Ticket, writer: ResponseWriter) -> None:
        loop = asyncio.get_running_loop()
        stream = StreamState(before_first_write=lambda: self.hold_stream(ticket))
        result = AttemptResult(Outcome.TIMED_OUT, "no target available in time")
        while True:
            try:
                if ticket.taken_up and not ticket.resuming:
                    await self._find_origin(ticket)
                assignment = await self._assign(ticket, stream)
            except (UnknownOriginError, DiscontinuedStreamError) as error:
                result.reason = str(error)
                action = NextAction.FAIL if ticket.possibly_ran else NextAction.REFUSE
                self._finish_request(ticket, writer, action, result, stream)
                return
            except FatalContentError as error:
                if writer.started:
                    writer.abort()
                else:
                    self._refuse_fatal_content(ticket, writer, error)
                return
            except (TimeoutError, WaitTooLongError) as error:
                result.outcome = Outcome.TIMED_OUT
                result.reason = str(error) or "no target available in time"
                result.retry_after_s = self._retry_after_s(ticket, error)
                action = next_action(result.outcome, False, 0, ticket.possibly_ran)
                if action is NextAction.REFUSE and not writer.started:
                    self._note_refusal(ticket, result.retry_after_s)
                break
            result = await self._attempt(assignment, writer, stream)
            action = self._decide(ticket, result)
            if action is not NextAction.RETRY:
                break
            if writer.started:
                ticket.resume(loop.time())
        if ticket.returning:
            self.metrics.count_returned(ticket.service, action.value)
        self._finish_request(ticket, writer, action, result, stream)

    def _retry_after_s(self, ticket: Ticket, error: Exception) -> float:
        """Return the Retry-After time of a request that no target took in time."""
        now = asyncio.get_running_loop().time()
        wait_s = error.wait_s if isinstance(error, WaitTooLongError) else 0.0
        if isinstance(error, TargetsBlockedError) and math.isfinite(wait_s):
            return wait_s
        return suggest_retry_after_s(ticket, wait_s, now, self.spreads_retries)

    def _note_refusal(self, ticket: Ticket, retry_after_s: float) -> None:
        """Expect the caller back, unless it won't wait for so long."""
        if not self.spreads_retries:
            return
        now = asyncio.get_running_loop().time()
        max_s = (ticket.deadline - now) * MAX_RETRY_AFTER_FRACTION
        expected_back = retry_after_s <= max_s + RETRY_AFTER_TOLERANCE_S
        if expected_back:
            self.admission.note_refusal(ticket, retry_after_s, now)
        self.metrics.count_overload_refusal(ticket.service, expected_back)

    async def _find_origin(self, ticket: Ticket) -> None:
        """Find where a stream has begun that its caller takes up.

        Raises UnknownOriginError if that isn't known, or if the route no longer leads
        there.
        """
        origin = await self.origins.find(ticket)
        if origin.service not in {share.service for share in ticket.route.shares}:
            raise UnknownOriginError("the route has left the stream's service")
        ticket.service = origin.service
        ticket.software = origin.software
        ticket.resuming = True

    async def _assign(self, ticket: Ticket, stream: StreamState) -> Assignment[Ticket]:
        """Wait for a target.

        Raises FatalContentError if the request must not reach one, also if that is
        found during the wait, and DiscontinuedStreamError if none can go on with it.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        if ticket.software is not None and not self.scheduler.can_continue(ticket, now):
            raise _discontinued(ticket)
        if not stream.begun:
            self.crash_guard.check(ticket.traits, loop.time())
        assignment = await self.admission.assign(ticket)
        if not stream.begun:
            try:
                self.crash_guard.check(ticket.traits, loop.time())
            except FatalContentError:
                self.scheduler.work.remove(assignment.target.id, ticket.work)
                self._run_admission(ticket.service)
                raise
        return assignment

    def refuse_fatal_content(self, now: float) -> None:
        """Refuse waiting requests whose content has been found to crash targets."""
        for suspect in self.crash_guard.evidence.all_named(now):
            trait = suspect.trait

            def is_fatal(ticket: Ticket, trait: Trait = trait) -> bool:
                is_new = ticket.taken_up or not ticket.resuming
                return is_new and trait in ticket.traits.traits

            self.admission.refuse_where(is_fatal, FatalContentError(suspect))

    def end_discontinued(self) -> None:
        """End the waits of streams that no target can go on with any more."""
        now = asyncio.get_running_loop().time()
        for ticket in list(self.scheduler.waiting):
            if ticket.software is None or self.scheduler.can_continue(ticket, now):
                continue

            def is_ended(waiting: Ticket, ended: Ticket = ticket) -> bool:
                return waiting is ended

            self.admission.refuse_where(is_ended, _discontinued(ticket))

    async def _attempt(
        self,
        assignment: Assignment[Ticket],
        writer: ResponseWriter,
        stream: StreamState,
    ) -> AttemptResult:
        ticket, target = assignment.queued, assignment.target
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        ran_before = ticket.possibly_ran
        # Assumed until the outcome is known, so it also holds if the attempt is
        # cancelled.
        ticket.possibly_ran = True
        stream.can_move = lambda: self._can_move(ticket, target)
        health = self.health.of(target.incarnation)
        with (
            self._track_work(assignment, stream) as queued_tokens,
            self._watch_call(ticket, health),
        ):
            result = await self.client.attempt(
                assignment, writer, stream, target_priority(ticket, started_at)
            )
        crashed = await self._check_crash(assignment, result, stream)
        now = loop.time()
        if crashed:
            self.crash_guard.record_crash(ticket, target, started_at, now)
        elif result.outcome is Outcome.DONE:
            self.crash_guard.record_begun(ticket, now)
        if result.sent:
            ticket.tried.append(target.id)
        hung = result.outcome is Outcome.TIMED_OUT and self._overdue(ticket, result)
        self._record_room(ticket, target, result, now)
        unreachable = result.outcome is Outcome.UNREACHABLE and not result.over_cap
        if crashed or hung or unreachable:
            health.record_unreachable(now)
        elif result.outcome in (Outcome.FAILED, Outcome.BROKEN):
            health.record_failure(now)
        elif result.outcome is Outcome.NOT_RUN and ticket.model is not None:
            if result.response is None or result.response.pause_s is None:
                self.on_not_held(target.id)
        elif result.outcome is Outcome.DONE:
            health.record_success(now)
            if ticket.model is None:
                self._record_duration(ticket, health, now - started_at, now)
            tokens = ticket.work.prefill_tokens
            sole_prefill = queued_tokens <= tokens * (1 + MAX_OTHER_PREFILL_RATIO)
            if (
                stream.first_event_at is not None
                and len(ticket.tried) == 1
                and sole_prefill
            ):
                elapsed_s = stream.first_event_at - started_at
                self.prefill_rates.record_first_event(ticket.service, tokens, elapsed_s)
        ran = result.sent and result.outcome is not Outcome.NOT_RUN
        ticket.possibly_ran = ran_before or ran
        self.metrics.count_attempt(ticket.service, result.outcome.value)
        if result.skipped_responses:
            log.warning(
                "responses to other requests skipped",
                request=ticket.request.id,
                target=target.id,
                start_id=target.start_id,
                count=result.skipped_responses,
                outcome=result.outcome.value,
            )
        if result.outcome is not Outcome.DONE:
            log.info(
                "attempt",
                request=ticket.request.id,
                target=target.id,
                outcome=result.outcome.value,
                reason=result.reason,
                elapsed_s=round(result.elapsed_s, 3),
                last_event=ticket.last_event_id,
                start_id=target.start_id,
                software=target.software,
                crashed=crashed,
                parts=ticket.traits.part_labels,
            )
        return result

    def _may_send(self, assignment: Assignment[Ticket]) -> bool:
        return self.scheduler.may_send(assignment, asyncio.get_running_loop().time())

    @contextmanager
    def _watch_call(self, ticket: Ticket, health: TargetHealth) -> Iterator[None]:
        """Mark a target as slow while a call there takes longer than usual."""
        if ticket.model is not None:
            yield
            return
        loop = asyncio.get_running_loop()
        usual_s = self.call_latency.usual_s(ticket.service, ticket.route.objective_s)
        started_at = loop.time()
        due_times = [(ratio, started_at + ratio * usual_s) for ratio in OVERDUE_RATIOS]
        timers = [
            loop.call_at(due_at, health.record_overdue, ratio, due_at)
            for ratio, due_at in due_times
        ]
        try:
            yield
        finally:
            for timer in timers:
                timer.cancel()

    def _overdue(self, ticket: Ticket, result: AttemptResult) -> bool:
        """Whether a call took far longer than usual; its caller may just hurry."""
        if ticket.model is not None:
            return False
        return self.call_latency.overdue(
            ticket.service, ticket.route.objective_s, result.elapsed_s
        )

    def _record_duration(
        self, ticket: Ticket, health: TargetHealth, duration_s: float, now: float
    ) -> None:
        usual_s = self.call_latency.usual_s(ticket.service, ticket.route.objective_s)
        health.record_latency(duration_s / usual_s, now)
        self.call_latency.record(ticket.service, duration_s)

    def _can_move(self, ticket: Ticket, target: Target) -> bool:
        """Whether a stream that has stalled at a target can go on at another one."""
        now = asyncio.get_running_loop().time()
        return (
            ticket.route.retryable
            # The present attempt is not counted yet.
            and ticket.attempts_left > 1
            and self.retry_budget.allows(ticket.service, self.member_count(), now)
            and self.scheduler.has_alternative(ticket, target.id, now)
        )

    def _record_head(self, target: Target, response: ResponseHead) -> None:
        """Record what a response says about its target."""
        self._record_limit(target, response)
        now = asyncio.get_running_loop().time()
        self.signals.record(target, response, now)

    def _record_limit(self, target: Target, response: ResponseHead) -> None:
        """Record the limit that a target names in its response, or no longer names.

        A rejection without a limit does not tell that the limit has ended.
        """
        now = asyncio.get_running_loop().time()
        if response.malformed_limit is not None:
            log.warning(
                "malformed target limit",
                target=target.id,
                value=response.malformed_limit[:MAX_LOGGED_LIMIT],
            )
            return
        rate = response.request_limit
        if rate is None and response.not_run:
            return
        if self.limits.record_response(target, rate, now):
            log.info(
                "target limit",
                target=target.id,
                start_id=target.start_id,
                limit=rate,
                source=self.limits.node,
                age_s=0.0,
            )

    async def _check_crash(
        self,
        assignment: Assignment[Ticket],
        result: AttemptResult,
        stream: StreamState,
    ) -> bool:
        """Whether the target crashed before it began to answer the request.

        Requests whose answer had begun are not checked: the crash has other causes.
        """
        if (
            result.outcome is not Outcome.BROKEN
            or not result.closed_by_peer
            or stream.begun
        ):
            return False
        return await self.client.connector.is_refusing(
            assignment.target.address, CRASH_CHECK_TIMEOUT_S
        )

    @contextmanager
    def _track_work(
        self, assignment: Assignment[Ticket], stream: StreamState
    ) -> Iterator[int]:
        """Take an attempt's work off its target's load as it completes.

        The prompt is taken off at the first event, the rest at the end. Yields the
        prompt tokens queued at the target at the start, this attempt's included.
        """
        ticket, target = assignment.queued, assignment.target
        scheduler = self.scheduler
        work = ticket.work
        queued_tokens = scheduler.work.at(target.id).prefill_tokens
        prefill = Work(prefill_tokens=work.prefill_tokens)
        prefill_done = False

        def finish_prefill() -> None:
            nonlocal prefill_done
            if not prefill_done:
                prefill_done = True
                scheduler.work.remove(target.id, prefill)
                self._run_admission(ticket.service)
                self._record_origin(ticket, target)

        stream.on_first_event = finish_prefill
        stream.on_begun = lambda: self.crash_guard.record_begun(
            ticket, asyncio.get_running_loop().time()
        )
        if ticket.model is not None:
            self.in_flight.begin(target.id, ticket.model, ticket.adapter)
        try:
            yield queued_tokens
        finally:
            stream.on_first_event = stream.on_begun = None
            if ticket.model is not None:
                self.in_flight.end(target.id, ticket.model, ticket.adapter)
            remaining = work if not prefill_done else work - prefill
            scheduler.work.remove(target.id, remaining)
            self._run_admission(ticket.service)

    def _record_origin(self, ticket: Ticket, target: Target) -> None:
        """Record where a stream has begun; it goes on at that version only."""
        if ticket.route.kind is not RouteKind.STREAM:
            return
        if ticket.software is None:
            ticket.software = target.software
        now = asyncio.get_running_loop().time()
        self.origins.record(ticket, ticket.software, now)

    def _run_admission(self, service: str) -> None:
        self.admission.assign_waiting(service, asyncio.get_running_loop().time())

    def _decide(self, ticket: Ticket, result: AttemptResult) -> NextAction:
        now = asyncio.get_running_loop().time()
        action = next_action(
            result.outcome,
            ticket.route.retryable,
            ticket.attempts_left,
            ticket.possibly_ran,
        )
        if action is not NextAction.RETRY or result.outcome in UNSENT:
            return action
        if self.retry_budget.try_spend(ticket.service, self.member_count(), now):
            return action
        if result.outcome is Outcome.FAILED:
            return NextAction.RELAY_ERROR
        return NextAction.FAIL if ticket.possibly_ran else NextAction.REFUSE

    def _finish_request(
        self,
        ticket: Ticket,
        writer: ResponseWriter,
        action: NextAction,
        result: AttemptResult,
        stream: StreamState,
    ) -> None:
        """Send the final response unless the attempt has already sent it."""
        if action is NextAction.FINISH:
            self.metrics.count_response(ticket.route.kind.value, 200)
            self._log_served(ticket, stream, result)
            return
        if writer.started:
            self.metrics.count_response(ticket.route.kind.value, 0)
            self._log_answered(ticket, 0, f"stream aborted: {result.reason}")
            writer.abort()
            return
        response = result.response
        if action is NextAction.RELAY_ERROR and response is not None:
            if response.status not in NOT_RUN_STATUSES:
                self._log_answered(ticket, response.status, "target error relayed")
                write_response(response, result.body, writer)
                return
            action = NextAction.FAIL
        if action is NextAction.REFUSE:
            retry_after_s = result.retry_after_s
            if retry_after_s is None:
                now = asyncio.get_running_loop().time()
                retry_after_s = self._blocked_s(ticket)
                if retry_after_s is None:
                    retry_after_s = suggest_retry_after_s(ticket, 0.0, now)
            log_fields = self._refusal_fields(ticket)
            self._refuse(
                ticket.request, writer, 503, result.reason, retry_after_s, **log_fields
            )
            return
        status = 504 if result.outcome is Outcome.TIMED_OUT else 502
        log_fields = self._refusal_fields(ticket)
        self._refuse(ticket.request, writer, status, result.reason, None, **log_fields)

    def _blocked_s(self, ticket: Ticket) -> float | None:
        """Return the time until a target takes requests, if all are blocked."""
        now = asyncio.get_running_loop().time()
        found = self.scheduler.blocked_until(ticket, now)
        if found is None or not math.isfinite(found.servable_at):
            return None
        return max(found.servable_at - now, 0.0)

    def _refusal_fields(self, ticket: Ticket) -> dict[str, object]:
        """Return the log fields that explain why a request was refused."""
        now = asyncio.get_running_loop().time()
        backlog_s = 0.0
        if ticket.model is not None:
            backlog_s = self.scheduler.holdings.backlog_wait_s(
                ticket.service, ticket.model
            )
        returning = {"returning": True} if ticket.returning else {}
        return returning | {
            "route": ticket.route.name,
            "workspace": ticket.workspace.name if ticket.workspace else None,
            "model": ticket.model,
            "adapter": ticket.adapter,
            "targets": ",".join(ticket.tried),
            "age_s": round(now - ticket.arrived_at, 3),
            "backlog_s": round(backlog_s, 2),
        }

    def _refuse_fatal_content(
        self, ticket: Ticket, writer: ResponseWriter, error: FatalContentError
    ) -> None:
        """Answer a request whose content crashes targets.

        It may have run, and can't be served later either, so that no status tells the
        caller to come back.
        """
        suspect = error.suspect
        now = asyncio.get_running_loop().time()
        self.metrics.count_refused_content(ticket.service)
        log_fields = self._refusal_fields(ticket) | {
            "trait": suspect.trait.label,
            "crashes": len(suspect.exposures),
            "named_ago_s": round(now - suspect.named_at, 2),
        }
        self._refuse(ticket.request, writer, 502, str(error), None, **log_fields)

    def _refuse_unknown(
        self,
        request: Request,
        writer: ResponseWriter,
        status: int,
        reason: str,
        **log_fields: object,
    ) -> None:
        """Refuse a request whose route or key the configuration does not have.

        A newer configuration that is on its way here may have it.
        """
        retry_after_s = None
        if self.configuration_outdated():
            status = 503
            reason = f"{reason}, a newer configuration has not arrived"
            timeout_s = request.timeout_s or DEFAULT_TIMEOUT_S
            retry_after_s = min(
                DEFAULT_RETRY_AFTER_S, timeout_s * MAX_RETRY_AFTER_FRACTION
            )
        self._refuse(request, writer, status, reason, retry_after_s, **log_fields)

    def _refuse(
        self,
        request: Request,
        writer: ResponseWriter,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        **log_fields: object,
    ) -> None:
        """Send a status of the gateway's own and log ``log_fields`` with it."""
        self.metrics.count_response("own", status)
        if request.resumes is not None:
            log_fields["resumes"] = request.resumes
        if retry_after_s is not None:
            log_fields["retry_after_s"] = round(retry_after_s, 2)
        log.info(
            "refused", request=request.id, status=status, reason=reason, **log_fields
        )
        writer.refuse(status, retry_after_s)

    def _log_served(
        self, ticket: Ticket, stream: StreamState, result: AttemptResult
    ) -> None:
        now = asyncio.get_running_loop().time()
        first_at = stream.first_event_at or now
        self.metrics.observe_first_byte(
            ticket.service, ticket.route.kind.value, first_at - ticket.arrived_at
        )
        size = self.scheduler.size_class(ticket)
        if size is not None:
            self.metrics.observe_size(
                ticket.service, size, first_at - ticket.arrived_at
            )
        log.info(
            "served",
            request=ticket.request.id,
            route=ticket.route.name,
            model=ticket.model,
            adapter=ticket.adapter,
            targets=",".join(ticket.tried),
            software=ticket.software,
            resumes=ticket.request.resumes,
            waited_s=round(now - result.elapsed_s - ticket.arrived_at, 3),
            first_s=round(first_at - ticket.arrived_at, 3),
            gap_s=round(stream.longest_gap_s, 3),
            total_s=round(now - ticket.arrived_at, 3),
            tokens=ticket.work.prefill_tokens,
            read_rate=int(self.prefill_rates.tokens_per_s(ticket.service)),
        )

    def _log_answered(self, ticket: Ticket, status: int, reason: str) -> None:
        log.info(
            "answered",
            request=ticket.request.id,
            route=ticket.route.name,
            status=status,
            reason=reason,
        )


def _discontinued(ticket: Ticket) -> DiscontinuedStreamError:
    return DiscontinuedStreamError(
        f"no target of software version {ticket.software!r} can go on with the stream"
    )
