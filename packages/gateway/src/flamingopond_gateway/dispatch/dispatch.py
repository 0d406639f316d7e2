"""Central assignment of the gateways' model requests to engines.

If each gateway chose by load reports some 0.1 s old, several would send prompts to
the engine that last looked idle, and all its running streams would pause. Instead,
each gateway leaves the choice to a dispatcher: the hub whose summaries it uses, which
assigns the requests of all gateways that use the same hub. A dispatch request carries
the sender's complete state and replaces its earlier ones, so lost or repeated messages
do no harm. A gateway whose dispatch requests stay unanswered chooses targets itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

from attrs import define, field, frozen

from ..demand import generation_cost
from ..messages import (
    DispatchReply,
    DispatchRequest,
    GatewayReport,
    PendingRequest,
    TargetAssignment,
    TargetWork,
)
from ..settings import Address
from ..targets.cold import GRANT_VALID_S
from .expected_connections import ExpectedConnections
from .loads import NO_WORK, Work, decode_work
from .returning import ReturningCallers
from .scheduler import Scheduler

# A gateway whose dispatch requests are unanswered for this long chooses targets
# itself. About thirty round trips within a region.
DISPATCH_TIMEOUT_S = 0.15
# A grant whose request is still pending after this time may have been lost and is
# sent again.
GRANT_RESEND_S = 0.05
# Maximum number of waiting requests listed in a dispatch request, the most urgent
# first; some 70 bytes each.
MAX_PENDING_PER_DISPATCH_REQUEST = 60
# Maximum time to prefill the prompts queued at an engine, relative to the longest
# allowed gap between the events of a stream. The rest of the gap covers the engine's
# decode steps, and load data that is some milliseconds old.
PREFILL_BURST_GAP_FRACTION = 0.5
# Fraction of its time that an engine is assumed to spend on prefill; the rest goes
# to decoding. With 0.4, engines idled while requests waited; with 0.75, half of the
# streams exceeded the allowed gap.
PREFILL_TIME_FRACTION = 0.6
# The first event of an answer arrives within this time of the end of its prefill.
FIRST_EVENT_DELAY_S = 0.3
# A gateway that has sent no dispatch request for this long no longer uses its grants.
# Its in-flight requests still count as work of their targets until its reports stop,
# too; see GATEWAY_TIMEOUT_S.
DISPATCH_REQUEST_EXPIRY_S = 0.6
# A gateway that has sent no message for this long is assumed to have exited, and the
# engines to have dropped its requests.
GATEWAY_TIMEOUT_S = 2.0
# Requests that can't be served in time are looked for in this period, as the order of
# all waiting requests is needed for it.
UNSERVABLE_PERIOD_S = 0.1
# A refused caller is named in dispatch requests for REFUSAL_REPEAT_S, as they may be
# lost, and remembered here for longer, so that it counts once.
REFUSAL_REPEAT_S = 0.35
REFUSALS_KEPT_S = 2.0


@define(eq=False)
class RemoteRequest:
    """A request that waits at any gateway; see ``queued.QueuedRequest``."""

    number: int
    service: str
    model: str | None
    adapter: str | None
    work: Work
    priority_rank: int
    arrived_at: float
    objective_deadline: float
    queue_deadline: float
    prompt_key: int
    excluded: Sequence[str]
    zone: str | None
    node: str
    resuming: bool = False
    software: str | None = None
    workspace_key: int = 0
    route_key: int = 0
    returning: bool = False
    deadline: float = 0.0

    @property
    def cost(self) -> int:
        """Cost to an engine, in prompt tokens; see :func:`demand.generation_cost`."""
        return generation_cost(
            self.work.prefill_tokens, self.work.kv_tokens - self.work.prefill_tokens
        )

    def late(self, now: float) -> bool:
        """Whether the request can no longer meet its latency objective."""
        return now > self.objective_deadline


@define
class _PrefillBacklog:
    """Prompt tokens that a target has yet to prefill as of ``updated_at``."""

    tokens: float = 0.0
    updated_at: float = 0.0


@define
class FleetWork:
    """Work by target: as reported by the gateways, and as granted to them since.

    Gateways report a prompt as prefilled on its first event, some 0.1 s late, so
    their reports overstate the prefill backlog. It is estimated from the grants
    to each target instead.
    """

    _reported: dict[str, Work] = field(factory=dict)
    _granted: dict[str, Work] = field(factory=dict)
    _backlogs: dict[str, _PrefillBacklog] = field(factory=dict)

    def at(self, target_id: str) -> Work:
        """Return the outstanding work of all gateways at a target."""
        reported = self._reported.get(target_id, NO_WORK)
        return reported + self._granted.get(target_id, NO_WORK)

    def prefill_backlog_tokens(
        self, target_id: str, prefill_tokens_per_s: float, now: float
    ) -> float:
        """Return the prompt tokens that a target has yet to prefill.

        The estimate is limited by the reported work. Its maximum is the tokens of all
        prompts without a first event. Its minimum is the tokens of the prompts whose
        first event is overdue.
        """
        tokens_before_first_event = self.at(target_id).prefill_tokens
        overdue = tokens_before_first_event - prefill_tokens_per_s * FIRST_EVENT_DELAY_S
        return min(
            max(self._update_backlog(target_id, prefill_tokens_per_s, now), overdue),
            tokens_before_first_event,
        )

    def can_accept_prompt(
        self,
        target_id: str,
        tokens: int,
        prefill_tokens_per_s: float,
        gap_s: float,
        now: float,
    ) -> bool:
        """Whether a prompt would pause the target's streams by at most ``gap_s``.

        An engine prefills a prompt in one step, and the next event of a stream may
        take a few steps, so prompts prefilled in a row must fit into the gap. A
        prompt that is too long by itself goes to an engine without a prefill backlog.
        """
        backlog_tokens = self.prefill_backlog_tokens(
            target_id, prefill_tokens_per_s, now
        )
        return backlog_tokens <= 0 or (
            backlog_tokens + tokens
            <= PREFILL_BURST_GAP_FRACTION * gap_s * prefill_tokens_per_s
        )

    def add(self, target_id: str, work: Work) -> None:
        """Add a grant; its target's prefill backlog must be up to date."""
        self._granted[target_id] = self._granted.get(target_id, NO_WORK) + work
        self._backlogs.setdefault(
            target_id, _PrefillBacklog()
        ).tokens += work.prefill_tokens

    def _update_backlog(
        self, target_id: str, prefill_tokens_per_s: float, now: float
    ) -> float:
        backlog = self._backlogs.get(target_id)
        if backlog is None:
            return 0.0
        prefilled = (
            max(now - backlog.updated_at, 0.0)
            * prefill_tokens_per_s
            * PREFILL_TIME_FRACTION
        )
        backlog.tokens = max(backlog.tokens - prefilled, 0.0)
        backlog.updated_at = now
        return backlog.tokens

    def remove(self, target_id: str, work: Work) -> None:
        """Remove a grant that has been confirmed, declined or dropped."""
        remaining = self._granted.get(target_id, NO_WORK) - work
        if remaining == NO_WORK:
            self._granted.pop(target_id, None)
        else:
            self._granted[target_id] = remaining

    def replace(self, before: Mapping[str, Work], after: Mapping[str, Work]) -> None:
        """Replace the work that one gateway has reported."""
        for target_id, work in before.items():
            self._reported[target_id] = self._reported.get(target_id, NO_WORK) - work
        for target_id, work in after.items():
            self._reported[target_id] = self._reported.get(target_id, NO_WORK) + work
        for target_id in before:
            if self._reported.get(target_id) == NO_WORK:
                del self._reported[target_id]


@frozen
class _UnconfirmedGrant:
    """A grant that no dispatch request of its gateway has confirmed yet."""

    target_id: str
    start_id: int
    work: Work
    granted_at: float
    cold: bool = False


@define(eq=False)
class _Gateway:
    """State of one gateway: its requests, grants and reported work.

    ``refused`` are the waits whose refusals are known, with the times at which they
    became known, and ``unservable`` those to refuse, with their estimated waits in ms.
    ``order`` is the registration version and message number of its newest message,
    ``last_dispatch_number`` the message number of its newest dispatch request.
    """

    order: tuple[int, int]
    heard_at: float
    address: Address | None = None
    last_dispatch_number: int = 0
    last_dispatch_request_at: float = float("-inf")
    work: dict[str, Work] = field(factory=dict)
    pending: dict[int, RemoteRequest] = field(factory=dict)
    unconfirmed: dict[int, _UnconfirmedGrant] = field(factory=dict)
    answer_due: bool = False
    refused: dict[int, float] = field(factory=dict)
    unservable: dict[int, int] = field(factory=dict)


@define(eq=False)
class Dispatcher:
    """Assigns the pending requests of the gateways that this one dispatches for.

    With ``returning`` it prefers callers that come back after a refusal, and names the
    requests that can't be served in time. ``connections`` are those that the scheduler
    uses, if any.
    """

    scheduler: Scheduler[RemoteRequest]
    work: FleetWork
    returning: ReturningCallers | None = None
    connections: ExpectedConnections | None = None
    _checked_at: float = float("-inf")
    _gateways: dict[str, _Gateway] = field(factory=dict)

    @property
    def pending(self) -> bool:
        """Whether any request waits for a target."""
        return any(True for _ in self.scheduler.waiting)

    def handle_dispatch_request(
        self, dispatch_request: DispatchRequest, address: Address, now: float
    ) -> None:
        """Update a gateway's pending requests and work, and settle its grants."""
        order = (dispatch_request.registration_version, dispatch_request.number)
        gateway = self._update_gateway(
            dispatch_request.node, order, dispatch_request.work, now
        )
        if gateway is None:
            return
        gateway.address = (address[0], dispatch_request.port)
        gateway.last_dispatch_number = dispatch_request.number
        gateway.last_dispatch_request_at = now
        gateway.answer_due = bool(dispatch_request.pending)
        self._note_refused(gateway, dispatch_request, now)
        listed = {item.number: item for item in dispatch_request.pending}
        for number, grant in list(gateway.unconfirmed.items()):
            item = listed.get(number)
            if item is None or grant.target_id in (
                *item.excluded,
                *dispatch_request.unusable_targets,
            ):
                self._remove_grant(dispatch_request.node, gateway, number)
        for number in gateway.pending.keys() - listed.keys():
            self.scheduler.withdraw(gateway.pending.pop(number))
        for number, item in listed.items():
            if number in gateway.unconfirmed:
                continue
            known = gateway.pending.get(number)
            excluded = [*item.excluded, *dispatch_request.unusable_targets]
            if known is not None:
                known.excluded = excluded
                continue
            request = _remote_request(dispatch_request, item, excluded, now)
            if self.returning is not None and not request.returning:
                request.returning = self.returning.claim(item.caller_key, now)
            gateway.pending[number] = request
            self.scheduler.submit(request)

    def handle_report(self, report: GatewayReport, now: float) -> None:
        """Update a gateway's work from its report."""
        self._update_gateway(
            report.node, (report.registration_version, report.number), report.work, now
        )

    def answer(self, now: float) -> list[tuple[Address, DispatchReply]]:
        """Assign pending requests; return the grants to send and their addresses."""
        self._expire(now)
        self._drop_old_cold_grants(now)
        services = {request.service for request in self.scheduler.waiting}
        for service in services:
            for assignment in self.scheduler.assign(service, now):
                request, target = assignment.queued, assignment.target
                gateway = self._gateways[request.node]
                del gateway.pending[request.number]
                gateway.unconfirmed[request.number] = _UnconfirmedGrant(
                    target.id,
                    target.start_id,
                    request.work,
                    now,
                    self.scheduler.limiter.is_cold(target),
                )
                gateway.answer_due = True
        self._find_unservable(now)
        answers = []
        for node, gateway in self._gateways.items():
            if gateway.answer_due and gateway.address is not None:
                gateway.answer_due = False
                granted = [
                    TargetAssignment(
                        number, grant.target_id, grant.start_id, grant.cold
                    )
                    for number, grant in gateway.unconfirmed.items()
                    if grant.granted_at == now
                    or now - grant.granted_at > GRANT_RESEND_S
                ]
                answers.append(
                    (
                        gateway.address,
                        DispatchReply(
                            node,
                            gateway.last_dispatch_number,
                            granted,
                            [
                                number
                                for number, request in gateway.pending.items()
                                if request.returning
                            ],
                            list(gateway.unservable.items()),
                        ),
                    )
                )
        return answers

    def _note_refused(
        self, gateway: _Gateway, dispatch_request: DispatchRequest, now: float
    ) -> None:
        """Note refused callers; each is named in a few messages in a row."""
        if self.returning is None:
            return
        for number, noted_at in list(gateway.refused.items()):
            if now - noted_at > REFUSALS_KEPT_S:
                del gateway.refused[number]
        for refused in dispatch_request.refused:
            if refused.number not in gateway.refused:
                gateway.refused[refused.number] = now
                due_at = now + refused.due_ms / 1000
                self.returning.note(refused.caller_key, due_at, now)

    def _find_unservable(self, now: float) -> None:
        """Find the requests that can't be served in time, from time to time."""
        if self.returning is None or now - self._checked_at < UNSERVABLE_PERIOD_S:
            return
        self._checked_at = now
        found: dict[str, dict[int, int]] = {}
        for request, wait_s in self.scheduler.unservable(now, by_share=True):
            gateway = self._gateways[request.node]
            wait_ms = gateway.unservable.get(request.number)
            if wait_ms is None:
                wait_s = self.scheduler.order.return_wait_s(request, now) or wait_s
                wait_ms = int(1000 * wait_s)
            found.setdefault(request.node, {})[request.number] = wait_ms
        for node, gateway in self._gateways.items():
            gateway.unservable = found.get(node, {})
            gateway.answer_due |= bool(gateway.unservable)

    def _update_gateway(
        self,
        node: str,
        order: tuple[int, int],
        reported: Iterable[TargetWork],
        now: float,
    ) -> _Gateway | None:
        """Update a gateway's work; returns None if the message is outdated."""
        gateway = self._gateways.get(node)
        if gateway is None:
            gateway = self._gateways[node] = _Gateway(order, now)
        elif order <= gateway.order:
            return None
        elif order[0] != gateway.order[0]:
            # The gateway has restarted and numbers its requests from one again.
            self._drop_requests(node, gateway)
            if self.connections is not None:
                self.connections.forget_gateway(node)
            self.work.replace(gateway.work, {})
            gateway.work = {}
        work = decode_work(reported)
        self.work.replace(gateway.work, work)
        if self.connections is not None:
            self._record_connections(node, gateway.work, work, now)
        gateway.work = work
        gateway.order = order
        gateway.heard_at = now
        return gateway

    def _record_connections(
        self,
        node: str,
        before: Mapping[str, Work],
        after: Mapping[str, Work],
        now: float,
    ) -> None:
        """Record where a gateway's requests have begun or ended."""
        assert self.connections is not None
        for target_id in before.keys() | after.keys():
            counts = (
                before.get(target_id, NO_WORK).requests,
                after.get(target_id, NO_WORK).requests,
            )
            target = self.scheduler.roster.get(target_id)
            if counts[0] != counts[1] and target is not None:
                self.connections.record_work(node, target, *counts, now)

    def _remove_grant(self, node: str, gateway: _Gateway, number: int) -> None:
        grant = gateway.unconfirmed.pop(number)
        self.work.remove(grant.target_id, grant.work)
        if self.connections is not None:
            self.connections.record_grant_ended(node, grant.target_id)

    def _drop_old_cold_grants(self, now: float) -> None:
        """Drop grants for cold targets that would be used too late.

        Their requests are granted again, and count again, once they are listed anew.
        """
        for node, gateway in self._gateways.items():
            for number, grant in list(gateway.unconfirmed.items()):
                if grant.cold and now - grant.granted_at > GRANT_VALID_S:
                    self._remove_grant(node, gateway, number)

    def _drop_requests(self, node: str, gateway: _Gateway) -> None:
        """Drop the pending requests and grants of a gateway."""
        for request in gateway.pending.values():
            self.scheduler.withdraw(request)
        gateway.pending = {}
        gateway.refused = {}
        gateway.unservable = {}
        for number in list(gateway.unconfirmed):
            self._remove_grant(node, gateway, number)

    def _expire(self, now: float) -> None:
        for node, gateway in list(self._gateways.items()):
            if now - gateway.last_dispatch_request_at > DISPATCH_REQUEST_EXPIRY_S:
                self._drop_requests(node, gateway)
            if now - gateway.heard_at > GATEWAY_TIMEOUT_S:
                self.work.replace(gateway.work, {})
                del self._gateways[node]
                if self.connections is not None:
                    self.connections.forget_gateway(node)


def _remote_request(
    dispatch_request: DispatchRequest,
    item: PendingRequest,
    excluded: Sequence[str],
    now: float,
) -> RemoteRequest:
    return RemoteRequest(
        number=item.number,
        service=item.service,
        model=item.model or None,
        adapter=item.adapter or None,
        work=Work(1, item.prefill_tokens, item.kv_tokens),
        priority_rank=item.priority_rank,
        arrived_at=now,
        objective_deadline=now + item.objective_deadline_ms / 1000,
        queue_deadline=now + item.queue_deadline_ms / 1000,
        prompt_key=item.prompt_key,
        excluded=excluded,
        zone=dispatch_request.zone,
        node=dispatch_request.node,
        software=item.software,
        workspace_key=item.workspace_key,
        route_key=item.route_key,
        returning=item.returning,
        deadline=now
        + (item.queue_deadline_ms if item.deadline_ms < 0 else item.deadline_ms) / 1000,
    )


@define
class DispatcherMonitor:
    """Tracks whether the dispatcher answers this gateway's dispatch requests."""

    _unanswered_since: float | None = None
    _last_dispatch_number: int = 0

    def request_sent(self, number: int, now: float) -> None:
        """Record a dispatch request that is sent."""
        self._last_dispatch_number = number
        if self._unanswered_since is None:
            self._unanswered_since = now

    def request_answered(self, number: int, now: float) -> None:
        """Record an answer to the dispatch request with ``number``."""
        self._unanswered_since = None if number >= self._last_dispatch_number else now

    def dispatcher_lost(self) -> None:
        """Record that no dispatcher is known."""
        self._unanswered_since = float("-inf")

    def answering(self, now: float) -> bool:
        """Whether the dispatcher answers, so that requests may be left to it."""
        since = self._unanswered_since
        return since is None or now - since < DISPATCH_TIMEOUT_S
