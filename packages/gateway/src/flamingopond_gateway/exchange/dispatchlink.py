"""Exchange of dispatch requests and replies with the dispatcher."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import structlog
from attrs import define, field

from ..clock import boot_time
from ..dispatch.admission import Admission
from ..dispatch.cold_grants import SentRequests
from ..dispatch.dispatch import (
    MAX_PENDING_PER_DISPATCH_REQUEST,
    Dispatcher,
    DispatcherMonitor,
)
from ..dispatch.fair_order import RequestOrder
from ..dispatch.loads import WorkTable, encode_work
from ..dispatch.tickets import Ticket
from ..messages import (
    Datagram,
    DispatchReply,
    DispatchRequest,
    GatewayReport,
    PendingRequest,
)
from ..metrics import Metrics
from ..settings import PRESSURE_CONTRACT, Address, GatewaySettings
from .members import Members

# Changes within this time go into one dispatch request. An idle engine waits that
# much longer for its next prompt, whose prefill takes 60 to 80 ms.
REQUEST_DELAY_S = 0.004
# A dispatch request is repeated at this interval while requests wait, and after each
# change REQUEST_REPEATS times, since messages may be lost.
REQUEST_REPEAT_INTERVAL_S = 0.1
REQUEST_REPEATS = 2
# Dispatch requests that arrive within this time are answered together. It grows with
# the fleet, since the cost of each assignment grows with all pending requests.
REPLY_DELAY_S = 0.001
REPLY_DELAY_S_PER_GATEWAY = 0.0001
# Period of assignments without a new message: quarantines end, and gateways fall
# silent.
ASSIGN_PERIOD_S = 0.02

log = structlog.get_logger()


@define(eq=False)
class DispatchLink:
    """Sends a gateway's dispatch requests; as the dispatcher, answers those of all."""

    settings: GatewaySettings
    admission: Admission
    dispatcher: Dispatcher
    members: Members
    work: WorkTable
    send: Callable[[Datagram, Iterable[Address]], None]
    dispatcher_node: Callable[[float], str]
    next_number: Callable[[], tuple[int, int]]
    metrics: Metrics
    _monitor: DispatcherMonitor = field(factory=DispatcherMonitor)
    _sent: SentRequests = field(factory=SentRequests)
    _changed: asyncio.Event = field(factory=asyncio.Event)
    _assignments_due: asyncio.Event = field(factory=asyncio.Event)
    _repeats_left: int = 0
    _replies_due: bool = False
    _was_local: bool = False

    def answering(self, now: float) -> bool:
        """Whether the dispatcher answers, so that it may choose targets."""
        return self._monitor.answering(now)

    def note_change(self) -> None:
        """Send a dispatch request soon: pending or in-flight requests have changed."""
        self._repeats_left = REQUEST_REPEATS
        self._changed.set()

    async def run(self) -> None:
        """Send dispatch requests after changes and while requests wait."""
        loop = asyncio.get_running_loop()
        while True:
            # Each request that begins to wait is a change, so that an idle gateway
            # needs no timer.
            repeating = self._repeats_left or self.admission.waiting
            try:
                async with asyncio.timeout(
                    REQUEST_REPEAT_INTERVAL_S if repeating else None
                ):
                    await self._changed.wait()
            except TimeoutError:
                if not self._repeats_left and not self.admission.pending:
                    continue
                self._repeats_left = max(self._repeats_left - 1, 0)
            self._changed.clear()
            self.metrics.count_duty_run("dispatch request")
            self._send_request(loop.time())
            await asyncio.sleep(REQUEST_DELAY_S)

    async def assign_periodically(self) -> None:
        """Assign requests periodically while any are pending, until cancelled."""
        while True:
            await self._assignments_due.wait()
            await asyncio.sleep(ASSIGN_PERIOD_S)
            self.metrics.count_duty_run("assignment")
            if self.dispatcher.pending:
                self._send_replies()
            else:
                self._assignments_due.clear()

    def handle_dispatch_request(
        self, dispatch_request: DispatchRequest, address: Address, now: float
    ) -> None:
        """Pass a dispatch request to the dispatcher, and answer it soon."""
        self.dispatcher.handle_dispatch_request(dispatch_request, address, now)
        if dispatch_request.pending:
            self._assignments_due.set()
        if not self._replies_due:
            self._replies_due = True
            loop = asyncio.get_running_loop()
            delay_s = REPLY_DELAY_S + REPLY_DELAY_S_PER_GATEWAY * self.members.count()
            loop.call_later(delay_s, self._send_replies)

    def handle_report(self, report: GatewayReport, now: float) -> None:
        """Pass the load in a report to the dispatcher."""
        self.dispatcher.handle_report(report, now)

    def handle_dispatch_reply(self, reply: DispatchReply, now: float) -> None:
        """Release the granted requests to their targets."""
        self._monitor.request_answered(reply.answered_number, now)
        send_before = self._sent.send_before(
            reply.answered_number, self.dispatcher_node(now)
        )
        for granted in reply.granted:
            self.admission.grant(granted, send_before)
        self.admission.mark_returning(reply.returning)
        for number, wait_ms in reply.refused:
            self.admission.refuse(number, wait_ms / 1000)

    def _send_request(self, now: float) -> None:
        node = self.dispatcher_node(now)
        member = self.members.get(node)
        if member is None and node != self.settings.node:
            self._monitor.dispatcher_lost()
            return
        registration_version, number = self.next_number()
        fair = PRESSURE_CONTRACT in self.settings.contracts
        self._sent.add(number, node, boot_time())
        pending = sort_pending(
            self.admission.pending,
            lambda ticket: self.admission.has_copy(ticket, now),
            now,
            self.admission.order,
        )
        dispatch_request = DispatchRequest(
            node=self.settings.node,
            registration_version=registration_version,
            number=number,
            port=self.settings.peer_port,
            zone=self.settings.zone,
            pending=[
                _pending_request(ticket, now, fair)
                for ticket in pending[:MAX_PENDING_PER_DISPATCH_REQUEST]
            ],
            work=encode_work(self.work.own),
            unusable_targets=self.admission.unusable_targets(now),
            refused=self.admission.recent_refusals(now),
        )
        if pending:
            self._monitor.request_sent(number, now)
        self._log_dispatcher_state(node, now)
        if member is None:
            self.handle_dispatch_request(
                dispatch_request, (self.settings.ip, self.settings.peer_port), now
            )
        else:
            self.send(dispatch_request, [member.address])

    def _send_replies(self) -> None:
        self._replies_due = False
        now = asyncio.get_running_loop().time()
        own = (self.settings.ip, self.settings.peer_port)
        for address, reply in self.dispatcher.answer(now):
            if address == own:
                self.handle_dispatch_reply(reply, now)
            else:
                self.send(reply, [address])

    def _log_dispatcher_state(self, node: str, now: float) -> None:
        """Log when the dispatcher stops answering, and when it answers again."""
        local = not self._monitor.answering(now)
        if local != self._was_local:
            self._was_local = local
            log.info("dispatcher state changed", dispatcher=node, answering=not local)


def sort_pending(
    tickets: Iterable[Ticket],
    has_copy: Callable[[Ticket], bool],
    now: float,
    order: RequestOrder,
) -> list[Ticket]:
    """Sort requests for a dispatch request, which lists only the first ones.

    Requests for models that no target holds come last, or they would crowd out
    requests that can be sent.
    """
    return sorted(order.sort(list(tickets), now), key=lambda t: not has_copy(t))


def _pending_request(ticket: Ticket, now: float, fair: bool) -> PendingRequest:
    work = ticket.work
    return PendingRequest(
        number=ticket.number,
        service=ticket.service,
        model=ticket.model or "",
        adapter=ticket.adapter or "",
        prefill_tokens=work.prefill_tokens,
        kv_tokens=work.kv_tokens,
        priority_rank=ticket.priority_rank,
        objective_deadline_ms=int(1000 * (ticket.objective_deadline - now)),
        queue_deadline_ms=int(1000 * (ticket.queue_deadline - now)),
        prompt_key=ticket.prompt_key,
        excluded=list(ticket.excluded),
        software=ticket.software,
        workspace_key=ticket.workspace_key if fair else 0,
        route_key=ticket.route_key if fair else 0,
        caller_key=ticket.caller_key if fair else 0,
        returning=ticket.returning,
        deadline_ms=int(1000 * (ticket.deadline - now)) if fair else -1,
    )
