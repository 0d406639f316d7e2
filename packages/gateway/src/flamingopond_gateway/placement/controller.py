"""Placement of models by the lease holder.

It asks engines for reports, orders them to load and unload models, and publishes their
holdings: the models and adapters loaded on each engine.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from typing import Protocol

import anyio.abc
import structlog
from attrs import define, field

from flamingopond_core.exceptions import PlatformError, TransactionConflictError

from ..clock import boot_time
from ..configuration import Configuration, EngineSpec
from ..demand import COST_PER_PROMPT_TOKEN, DemandTracker, ModelDemand
from ..dispatch.dispatch import PREFILL_TIME_FRACTION
from ..messages import EngineHoldings, GatewayReport, Holdings, InFlightCount
from ..metrics import Metrics
from ..requests import Header
from ..settings import Address, GatewaySettings
from ..store.lease import LeaseManager, LeaseStep
from ..store.storage import Change, RowConflictError, Store, era_of
from ..store.watch import EraTracker
from ..targets.conditions import TargetConditions, UnavailableReason
from ..targets.engines import ADAPTER_LOAD_S, EngineState
from ..targets.holdings import HoldingsCache, HoldingsRefresh
from ..targets.orders import Order, OrderKind, OrderOutcome, PlannedOrder
from ..targets.prefill_rate import PrefillRateEstimator
from ..targets.reports import EngineReport
from ..targets.request_limiter import RequestLimiter
from ..targets.roster import Roster, Target
from ..transport.connection import Connection, ConnectionBrokenError, connect
from ..transport.http_client import HttpClient
from .backlog import estimate_backlog_waits_s
from .capacity import ENGINE_SERVED_COST_PER_S
from .placement import Planner

PLANNING_PERIOD_S = 0.05
# Period of lease checks, and of checks whether this gateway holds the lease.
LEASE_CHECK_PERIOD_S = 0.25
CALL_TIMEOUT_S = 1.0
# Report of an engine, or its answer to an order.
MAX_ENGINE_ANSWER_BYTES = 1048576
# Engine reports show the state of 0.1 s ago. After an order with an unknown outcome,
# the next report is requested after this longer time, so that it shows the order.
ENGINE_REPORT_LAG_S = 0.15
# Period of report requests to engines without an order in progress. It may be long,
# since the platform's target list shows most changes of these engines.
IDLE_REPORT_PERIOD_S = 1.0
# Gateways are told to stop using a copy this long before it is unloaded.
UNLOAD_NOTICE_S = 0.04
# Estimated waits are sent in this period; gateways use them to refuse requests that
# can't be served in time.
WAITS_PERIOD_S = 0.2
# Extra time, per member rank, that a gateway waits before it takes over an expired
# lease.
LEASE_RANK_DELAY_S = 0.4
SUMMARY_PERIOD_S = 1.0
# A holder that has reached no engine for this long resigns: all are asked for a report
# within IDLE_REPORT_PERIOD_S.
RESIGN_AFTER_S = 1.0
# Cost of a request at an engine with a limit, in prompt tokens: that of a mean request.
LIMITED_REQUEST_COST = 3000.0
LEASE_TABLE = "flamingopond-leases"
LEASE_KEY = "placement"

log = structlog.get_logger()


class EngineCodec(Protocol):
    """Encodes calls to engines and decodes their answers."""

    def encode_report_call(self, target: Target) -> bytes:
        """Return the call that asks for a report."""

    def decode_report(self, body: bytes) -> EngineReport:
        """Return the report in ``body``; raises ValueError if it is malformed."""

    def encode_order(
        self, target: Target, order: Order, lease_holder: str, fence: int
    ) -> bytes:
        """Return the call that sends an order.

        Raises ValueError if a name in it can't be sent.
        """

    def decode_outcome(self, status: int) -> OrderOutcome:
        """Return the outcome for the HTTP status of the answer to an order."""


def serving_engines(
    engines: Iterable[EngineState], conditions: TargetConditions, now: float
) -> list[EngineState]:
    """Return the engines to plan for; those of evacuated zones keep their models.

    The others lose their planned model, which may be outdated when they come back.
    """
    serving = []
    for engine in engines:
        block = conditions.block(engine.target, now)
        if block is not None and block.reason is UnavailableReason.EVACUATED:
            engine.planned_model = None
        else:
            serving.append(engine)
    return serving


@define(eq=False)
class PlacementController:
    """Places models and adapters on engines while this gateway holds the lease."""

    settings: GatewaySettings
    store: Store
    store_era: EraTracker
    codec: EngineCodec
    roster: Roster
    configuration: Callable[[], Configuration | None]
    # Called with the message and whether it must go to all gateways.
    send_holdings: Callable[[Holdings, bool], None]
    metrics: Metrics
    prefill_rates: PrefillRateEstimator
    gateway_count: Callable[[], int]
    limiter: RequestLimiter
    # Called with an engine and the status and headers of its answer.
    record_answer: Callable[[Target, int, Sequence[Header]], None]
    # Whether an engine has asked this gateway to send nothing at present.
    paused: Callable[[Target, float], bool]
    holdings: HoldingsCache
    conditions: TargetConditions = field(factory=TargetConditions)
    demand: DemandTracker = field(factory=DemandTracker)
    _lease: LeaseManager = field(init=False)
    _planner: Planner = field(init=False)
    # Opens connections for reports and orders: an order that another gateway carries
    # would count as that gateway's.
    connect: Callable[[Address], Awaitable[Connection]] = connect
    # Called with each answer of an engine.
    note_answered: Callable[[], None] = lambda: None
    # For how long this gateway has reached no engine, in seconds.
    cut_off_s: Callable[[], float] = lambda: 0.0
    _http_client: HttpClient = field(init=False)
    _engines: dict[str, EngineState] = field(factory=dict)
    _report_asked_at: dict[str, float] = field(factory=dict)
    _message_number: int = 0
    _refresh: HoldingsRefresh = field(factory=HoldingsRefresh)
    _refreshed_at: float = 0.0
    _waits_published_at: float = 0.0
    # Ids of engines whose newest holdings went only to the gateways waiting for them.
    _targets_not_sent_to_all: set[str] = field(factory=set)
    # Estimated times to serve the backlog, by service and model; see ``Holdings``.
    _backlog_waits_ms: dict[str, dict[str, int]] = field(factory=dict)
    _late_request_waits_ms: dict[str, dict[str, int]] = field(factory=dict)
    _summary_logged_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Create the lease state and the planner."""
        self._lease = LeaseManager(self.settings.bounds.lease_s)
        self._planner = Planner(self.settings.bounds)
        self._http_client = HttpClient(self.connect)

    @property
    def fence(self) -> int:
        """Fencing token while this gateway holds the lease, else 0."""
        return self._lease.fence if self._lease.held(boot_time()) else 0

    def handle_report(self, report: GatewayReport, now: float) -> None:
        """Record the demand that a gateway reports.

        Engines that refused a request for a model they should hold are asked for a
        report at the next tick.
        """
        if self.demand.add_report(report, now):
            for target_id in report.targets_with_stale_holdings:
                self._report_asked_at.pop(target_id, None)

    async def keep_lease(
        self, holder_heard: Callable[[], bool], member_rank: Callable[[], int]
    ) -> None:
        """Acquire and renew the lease until cancelled.

        ``member_rank`` returns this gateway's position among the members that are
        not silent; a higher one takes over an expired lease later.
        """
        while True:
            await asyncio.sleep(LEASE_CHECK_PERIOD_S)
            now = boot_time()
            self._lease.note_era(self.store_era.era, now)
            if self._must_leave_the_lease():
                if self.fence:
                    self._lease.abstain(now)
                    await self.resign()
                continue
            step = self._lease.step(
                now, holder_heard(), member_rank() * LEASE_RANK_DELAY_S
            )
            try:
                if step is LeaseStep.READ:
                    await self._read_lease()
                elif step is LeaseStep.WRITE:
                    await self._write_lease()
            except RowConflictError as conflict:
                self._handle_conflict(conflict)
            except PlatformError as error:
                log.info(
                    "store call for the lease failed",
                    step=step.value,
                    reason=str(error),
                )
                await asyncio.sleep(0.2)

    def _must_leave_the_lease(self) -> bool:
        """Whether another gateway should hold it, as this one reaches no engine."""
        cut_off_s = self.cut_off_s()
        return cut_off_s > (RESIGN_AFTER_S if self.fence else 0.0)

    async def resign(self) -> None:
        """Clear the lease row, so that another gateway takes over at once."""
        if not self.fence:
            return
        change = self._lease_change(b"")
        self._lease.end_term()
        try:
            await self.store.write([change], CALL_TIMEOUT_S)
            log.info("lease resigned")
        except PlatformError as error:
            log.info("lease resignation failed", reason=str(error))

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Plan and send orders while the lease is held, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(
                PLANNING_PERIOD_S if self.fence else LEASE_CHECK_PERIOD_S
            )
            if not self.fence:
                self._engines.clear()
                self._report_asked_at.clear()
                continue
            now = loop.time()
            self._sync_engines(now)
            self._request_reports(tasks, now)
            self._plan(tasks, now)
            self._log_summary(now)
            if now - self._waits_published_at > WAITS_PERIOD_S:
                self._publish(self._engines_due(now), now, to_all=True)

    # Lease

    def _lease_change(self, value: bytes) -> Change:
        return Change(LEASE_TABLE, "", LEASE_KEY, value, self._lease.version)

    async def _read_lease(self) -> None:
        rows = await self.store.read(LEASE_TABLE, CALL_TIMEOUT_S)
        self.metrics.count_store_call("lease", "read")
        lease_rows = [row for row in rows.rows if row.key == LEASE_KEY]
        version = lease_rows[0].version if lease_rows else 0
        vacant = not lease_rows or not lease_rows[0].value
        self._lease.observe(version, vacant, era_of(rows.version), boot_time())

    async def _write_lease(self) -> None:
        sent_at = boot_time()
        value = self.settings.node.encode()
        had_holder = self._lease.version > 0
        version = await self.store.write([self._lease_change(value)], CALL_TIMEOUT_S)
        self.metrics.count_store_call("lease", "write")
        if self._lease.record_write(version, sent_at):
            log.info("lease acquired", fence=version)
            if had_holder:
                self._assume_previous_loads()

    def _handle_conflict(self, conflict: TransactionConflictError) -> None:
        if self._lease.fence:
            log.info("lease lost", fence=self._lease.fence)
        now = boot_time()
        self._lease.lose_term(now)
        if isinstance(conflict, RowConflictError):
            for row in conflict.rows:
                era = era_of(row.version)
                self._lease.observe(row.version, not row.value, era, now)

    def _assume_previous_loads(self) -> None:
        """Assume that the previous lease holder has just started model loads."""
        specs = dict(self._specs())
        rate = min((spec.loads_per_s for spec in specs.values()), default=0.0)
        self._planner.load_limiter.record_previous(
            rate, self.holdings.previous_loads, asyncio.get_running_loop().time()
        )

    # Engines

    def _specs(self) -> Iterable[tuple[str, EngineSpec]]:
        configuration = self.configuration()
        if configuration is None:
            return
        for name, service in configuration.services.items():
            if service.engine is not None and service.engine.models:
                yield name, service.engine

    def _sync_engines(self, now: float) -> None:
        """Keep one state for each engine incarnation in the roster."""
        services = {name for name, _ in self._specs()}
        listed = {
            target.id: target for target in self.roster if target.service in services
        }
        for target_id, target in listed.items():
            state = self._engines.get(target_id)
            if state is None or state.target.incarnation != target.incarnation:
                self._engines[target_id] = EngineState(target)
                self._report_asked_at.pop(target_id, None)
            else:
                state.target = target
        for target_id in self._engines.keys() - listed.keys():
            del self._engines[target_id]
            self._report_asked_at.pop(target_id, None)
        in_flight_by_target: dict[str, list[InFlightCount]] = {}
        for count in self.demand.in_flight(now):
            in_flight_by_target.setdefault(count.target, []).append(count)
        for target_id, state in self._engines.items():
            state.record_in_flight(in_flight_by_target.get(target_id, ()), now)
            state.paused = self.paused(state.target, now)

    def _request_reports(self, tasks: anyio.abc.TaskGroup, now: float) -> None:
        for target_id, state in self._engines.items():
            if state.order_in_flight or state.paused:
                continue
            asked_at = self._report_asked_at.get(target_id, float("-inf"))
            due = now - asked_at > IDLE_REPORT_PERIOD_S
            if state.busy or state.accepted_order_count is None:
                due = now >= state.ready_at and now - asked_at > ENGINE_REPORT_LAG_S
            if due:
                self._report_asked_at[target_id] = now
                tasks.start_soon(self._request_report, state)

    async def _request_report(self, state: EngineState) -> None:
        try:
            await self._update_from_report(state)
        except Exception:
            # One engine must not end the placement of all others.
            self.metrics.count_unexpected_error("report")
            log.exception("unexpected error in a report", target=state.target.id)

    async def _update_from_report(self, state: EngineState) -> None:
        data = self.codec.encode_report_call(state.target)
        orders_at_call = state.accepted_order_count
        try:
            response = await self._http_client.call(
                state.target.address,
                data,
                CALL_TIMEOUT_S,
                MAX_ENGINE_ANSWER_BYTES,
            )
            self.note_answered()
            if response.status != 200:
                self.record_answer(state.target, response.status, response.headers)
                raise ValueError(f"status {response.status}")
            report = self.codec.decode_report(response.body)
        except (ConnectionBrokenError, TimeoutError, OSError, ValueError) as error:
            log.info("engine report failed", target=state.target.id, reason=str(error))
            return
        if not report.start_id or report.start_id == state.target.start_id:
            self.record_answer(state.target, response.status, response.headers)
        if state.order_in_flight or state.accepted_order_count != orders_at_call:
            # An order was sent in the meantime; the report may predate it.
            return
        if report.start_id and report.start_id != state.target.start_id:
            return
        if orders_at_call is not None and report.accepted_order_count < orders_at_call:
            return
        now = asyncio.get_running_loop().time()
        models_before = {name: set(adapters) for name, adapters in state.models.items()}
        state.apply_report(report, now)
        if models_before != state.models:
            self._publish([state], now)

    # Orders

    def _plan(self, tasks: anyio.abc.TaskGroup, now: float) -> None:
        all_demand = self.demand.models(now)
        all_adapter_demand = self.demand.adapters(now)
        for service, spec in self._specs():
            try:
                self._plan_service(
                    tasks, service, spec, all_demand, all_adapter_demand, now
                )
            except Exception:
                # One service must not end the placement of the others.
                self.metrics.count_unexpected_error("plan")
                log.exception("unexpected error in a plan", service=service)

    def _plan_service(
        self,
        tasks: anyio.abc.TaskGroup,
        service: str,
        spec: EngineSpec,
        all_demand: Mapping[tuple[str, str], ModelDemand],
        all_adapter_demand: Mapping[tuple[str, str, str], ModelDemand],
        now: float,
    ) -> None:
        engines = serving_engines(
            (
                state
                for state in self._engines.values()
                if state.target.service == service
            ),
            self.conditions,
            now,
        )
        adapter_demand = {
            (model, adapter): wanted
            for (
                demand_service,
                model,
                adapter,
            ), wanted in all_adapter_demand.items()
            if demand_service == service
        }
        for planned in self._planner.plan_adapters(spec, engines, adapter_demand, now):
            self._start_order(tasks, planned, now)
        for engine in engines:
            engine.reserved_utilization = _reserved_utilization(
                self.limiter.rate(engine.target)
            )
        model_demand = _service_demand(all_demand, service)
        orders = self._planner.plan(service, spec, engines, model_demand, now)
        for planned in orders:
            self._start_order(tasks, planned, now)
        engine_served_cost_per_s = (
            self.prefill_rates.tokens_per_s(service)
            * PREFILL_TIME_FRACTION
            * COST_PER_PROMPT_TOKEN
        )
        for waits_ms, late in (
            (self._backlog_waits_ms, False),
            (self._late_request_waits_ms, True),
        ):
            estimates = estimate_backlog_waits_s(
                spec,
                engines,
                model_demand,
                now,
                late=late,
                engine_served_cost_per_s=engine_served_cost_per_s,
            )
            waits_ms[service] = {model: int(1000 * s) for model, s in estimates.items()}

    def _engines_due(self, now: float) -> list[EngineState]:
        """Return the engines whose holdings are due to be sent to all gateways."""
        due = self._targets_not_sent_to_all.union(
            self._refresh.choose(
                self._engines,
                self.gateway_count(),
                self.settings.link_mbps,
                now - self._refreshed_at,
            )
        )
        self._refreshed_at = now
        return [state for name, state in self._engines.items() if name in due]

    def _log_summary(self, now: float) -> None:
        """Log waiting demand and the engines' models once a second.

        For each model: demand in cost per second, number of waiting requests and
        longest wait in seconds. For each engine: number of running requests, model
        being loaded or unloaded, planned model, and each loaded model with its
        number of adapters.
        """
        if now - self._summary_logged_at < SUMMARY_PERIOD_S:
            return
        self._summary_logged_at = now
        log.info(
            "placement summary",
            reporters=self.demand.reporters(now),
            demand={
                model: [
                    int(model_demand.rate),
                    model_demand.waiting,
                    round(model_demand.waited_s, 2),
                ]
                for (_, model), model_demand in self.demand.models(now).items()
            },
            engines={
                state.target.id: [
                    state.running,
                    state.loading or state.unloading or "",
                    state.planned_model or "",
                    *(
                        f"{name}+{len(adapters)}"
                        for name, adapters in state.models.items()
                    ),
                ]
                for state in self._engines.values()
            },
        )

    def _start_order(
        self, tasks: anyio.abc.TaskGroup, planned: PlannedOrder, now: float
    ) -> None:
        state, order = planned.engine, planned.order
        state.order_in_flight = True
        if order.adapter is None and order.kind is OrderKind.UNLOAD:
            state.unloading = order.model
            self._publish([state], now, to_all=True)
        elif order.adapter is None:
            state.loading = order.model
        elif order.kind is OrderKind.UNLOAD:
            state.models[order.model].discard(order.adapter)
            self._publish([state], now)
        tasks.start_soon(self._execute_order, planned)

    async def _execute_order(self, planned: PlannedOrder) -> None:
        state, order = planned.engine, planned.order
        if order.kind is OrderKind.UNLOAD:
            await asyncio.sleep(UNLOAD_NOTICE_S)
        fence = self.fence
        outcome = OrderOutcome.UNKNOWN
        if fence:
            try:
                outcome = await self._send_order(state, order, fence)
            except Exception:
                # One order must not end those of all other engines.
                self.metrics.count_unexpected_error("order")
                log.exception("unexpected error in an order", target=state.target.id)
        log.info(
            "order finished",
            target=state.target.id,
            kind=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            # Orders that the engine must have accepted before this one.
            expect=order.accepted_order_count,
            fence=fence,
            cold=planned.from_weight_store,
            outcome=outcome.value,
        )
        self.metrics.count_order(order.kind.value, outcome.value)
        loop = asyncio.get_running_loop()
        if planned.from_weight_store:
            self._planner.load_limiter.record_answer(loop.time())
        if outcome is OrderOutcome.ACCEPTED and order.adapter is not None:
            await asyncio.sleep(ADAPTER_LOAD_S)
        state.order_in_flight = False
        self._apply_outcome(planned, outcome, loop.time())

    async def _send_order(
        self, state: EngineState, order: Order, fence: int
    ) -> OrderOutcome:
        try:
            data = self.codec.encode_order(
                state.target, order, self.settings.node, fence
            )
        except ValueError as error:
            log.error(
                "order can't be encoded", target=state.target.id, reason=str(error)
            )
            return OrderOutcome.REJECTED
        try:
            response = await self._http_client.call(
                state.target.address,
                data,
                CALL_TIMEOUT_S,
                MAX_ENGINE_ANSWER_BYTES,
            )
        except (ConnectionBrokenError, TimeoutError, OSError) as error:
            log.info("no answer to order", target=state.target.id, reason=str(error))
            return OrderOutcome.UNKNOWN
        self.record_answer(state.target, response.status, response.headers)
        return self.codec.decode_outcome(response.status)

    def _apply_outcome(
        self, planned: PlannedOrder, outcome: OrderOutcome, now: float
    ) -> None:
        """Update the engine's state with the outcome of an order."""
        state, order = planned.engine, planned.order
        # An engine unloads an unused adapter at once. It then answers HELD, as if
        # there had been nothing to do, but counts the order as accepted.
        adapter_dropped = outcome is OrderOutcome.HELD and (
            order.kind is OrderKind.UNLOAD and order.adapter is not None
        )
        if (
            outcome is OrderOutcome.ACCEPTED or adapter_dropped
        ) and state.accepted_order_count is not None:
            state.accepted_order_count += 1
        if outcome is OrderOutcome.ACCEPTED:
            if order.adapter is None:
                state.ready_at = now + planned.duration_s
                return
        elif outcome is OrderOutcome.FENCED:
            self._lease.end_term()
        if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.HELD):
            # The engine's order count is unknown until its next report.
            state.accepted_order_count = None
            state.ready_at = now + ENGINE_REPORT_LAG_S
            if order.adapter is None:
                state.loading = None
                state.unloading = None
            return
        if order.adapter is None:
            state.loading = None
            state.unloading = None
            if order.kind is OrderKind.LOAD:
                state.models.setdefault(order.model, set())
            else:
                state.models.pop(order.model, None)
        elif order.kind is OrderKind.LOAD and order.model in state.models:
            state.models[order.model].add(order.adapter)
            state.used_at[(order.model, order.adapter)] = now
        self._publish([state], now)

    def _publish(
        self, engines: Iterable[EngineState], now: float, to_all: bool = False
    ) -> None:
        """Send engines' holdings to all gateways or to those that wait for them."""
        held = [
            _engine_holdings(state)
            for state in engines
            if state.accepted_order_count is not None
        ]
        if not self.fence:
            return
        self._message_number += 1
        if to_all:
            self._targets_not_sent_to_all.difference_update(
                item.target for item in held
            )
            self._waits_published_at = now
        else:
            self._targets_not_sent_to_all.update(item.target for item in held)
        message = Holdings(
            self.settings.node,
            self.fence,
            self._message_number,
            held,
            self._backlog_waits_ms,
            self._late_request_waits_ms,
            self._planner.load_limiter.counts_by_age(now),
        )
        if to_all:
            self._planner.load_limiter.record_published()
        self.send_holdings(message, to_all)


def _engine_holdings(state: EngineState) -> EngineHoldings:
    version_by_model = {
        name: holding.version for name, holding in state.target.holdings.items()
    }
    models = {
        name: (version_by_model.get(name, 0), sorted(adapters))
        for name, adapters in state.models.items()
        if name != state.unloading
    }
    return EngineHoldings(state.target.id, state.target.start_id, models)


def _reserved_utilization(rate: float | None) -> float:
    """Return the fraction of an engine's capacity that a limit leaves unused."""
    if rate is None:
        return 0.0
    return max(1.0 - rate * LIMITED_REQUEST_COST / ENGINE_SERVED_COST_PER_S, 0.0)


def _service_demand(
    demand: Mapping[tuple[str, str], ModelDemand], service: str
) -> dict[str, ModelDemand]:
    return {
        model: model_demand
        for (demand_service, model), model_demand in demand.items()
        if demand_service == service
    }
