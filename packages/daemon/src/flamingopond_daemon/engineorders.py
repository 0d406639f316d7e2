"""The owner of one engine: polls its report and gives it orders."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import anyio

from flamingopond_core.configuration import EngineTarget
from flamingopond_core.exceptions import (
    OrderRefusedError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    TargetError,
    TargetUnreachableError,
    TransactionConflictError,
)
from flamingopond_core.orders import EngineLedger, pending_unloads
from flamingopond_core.placement import PlannedMove
from flamingopond_core.reports import Order, OrderKind
from flamingopond_daemon.enginedigest import EngineDigest
from flamingopond_daemon.interfaces import EngineClients, EventLog
from flamingopond_platform.table import Condition, Table, Write

Clock = Callable[[], float]


class HeldAuthority(Protocol):
    """A node's right to act as owner of a resource."""

    @property
    def epoch(self) -> int:
        """Epoch of the ownership, used as fencing token."""


class AuthoritySource(Protocol):
    """Cluster operations that the owner of an engine needs."""

    def authority(self, resource: str, now: float) -> HeldAuthority | None:
        """Return this node's authority over a resource, or ``None``."""

    def record_store_contact(self, now: float) -> None:
        """Record that the store answered a call that was sent at ``now``."""


class OwnedEngine:
    """Polls one engine and sends it orders while this node owns it.

    ``other_replicas(model, engine)`` returns other engines that probably serve a
    model; ``is_configured(model)`` whether a model is in the configuration.
    """

    def __init__(
        self,
        target: EngineTarget,
        cluster: AuthoritySource,
        table: Table,
        clients: EngineClients,
        events: EventLog,
        other_replicas: Callable[[str, str], Sequence[str]],
        is_configured: Callable[[str], bool],
        clock: Clock = time.monotonic,
    ) -> None:
        """Create an owner without a ledger; the first poll reads it."""
        self._target = target
        self._resource = f"engine/{target.name}"
        self._cluster = cluster
        self._table = table
        self._clients = clients
        self._events = events
        self._other_replicas = other_replicas
        self._is_configured = is_configured
        self._clock = clock
        self._ledger: EngineLedger | None = None
        self._epoch = 0
        self._row_version = 0
        self._open_orders_in_row: frozenset[tuple[str, bool]] = frozenset()
        # Orders that may be in the row but that this node, their only sender, has not
        # sent and will not send.
        self._unsent_order_ids: set[str] = set()

    @property
    def epoch(self) -> int:
        """Epoch of this node's newest authority over the engine."""
        return self._epoch

    @property
    def owned(self) -> bool:
        """Whether this node owns the engine now."""
        return self._cluster.authority(self._resource, self._clock()) is not None

    async def poll(self) -> EngineDigest | None:
        """Poll the engine's report and update the state of orders from it.

        Returns ``None`` if this node is not the owner or the engine does not answer.
        During a store outage engines are still polled, but get no orders.
        """
        authority = self._cluster.authority(self._resource, self._clock())
        if authority is None:
            self._ledger = None
            return None
        self._epoch = authority.epoch
        engine = self._clients.get(self._target.name)
        if engine is None:
            return None
        if self._ledger is None or self._ledger.epoch != authority.epoch:
            self._ledger = None
            await self._take_over(authority.epoch)
        requested_at = self._clock()
        try:
            report = await engine.report()
        except TargetError:
            return None
        ledger = self._ledger
        if ledger is None:
            read_only_ledger = EngineLedger(
                self._target.name, self._target.memory_mb, self._target.checks_fencing
            )
            read_only_ledger.observe(report, requested_at, self._clock())
            return EngineDigest(
                report, read_only_ledger.copies(self._clock()), 0, False
            )
        previous_instance = ledger.instance
        for order in ledger.observe(report, requested_at, self._clock()):
            state = str(report.orders.get(order.order_id, "void"))
            self._record_event("order_settled", order, state=state)
        if previous_instance and ledger.instance != previous_instance:
            self._events.record("engine_restarted", engine=self._target.name)
        await self._send_pending_orders(ledger)
        await self._update_row(ledger)
        now = self._clock()
        return EngineDigest(
            report,
            ledger.copies(now),
            ledger.free_mb,
            ledger.accepts_orders(now),
            ledger.abandoned_loads(now),
        )

    async def issue_orders(
        self, moves: Sequence[PlannedMove]
    ) -> tuple[PlannedMove, ...]:
        """Order the moves that are safe now, and return those."""
        ledger = self._ledger
        if ledger is None or not ledger.usable:
            return ()
        ordered: list[PlannedMove] = []
        orders: list[Order] = []
        conditions: list[Condition] = []
        repeated_unloads = [
            PlannedMove(self._target.name, OrderKind.UNLOAD_MODEL, *subject)
            for subject in ledger.abandoned_unloads(self._clock())
        ]
        for move in (*moves, *repeated_unloads):
            if move.kind is OrderKind.UNLOAD_MODEL and self._is_configured(move.model):
                condition = await self._other_replica_condition(move)
                if condition is None:
                    continue
                conditions.append(condition)
            order = ledger.propose(
                move.kind,
                self._clock(),
                model=move.model,
                version=move.version,
                adapter=move.adapter,
                memory_mb=move.memory_mb,
                role=move.role,
            )
            if order is not None:
                orders.append(order)
                ordered.append(move)
        if not orders:
            return ()
        if not await self._write(ledger, conditions):
            self._withdraw(ledger, orders)
            return ()
        await self._send_all(ledger, orders)
        return tuple(ordered)

    async def _take_over(self, epoch: int) -> None:
        target = self._target
        ledger = EngineLedger(target.name, target.memory_mb, target.checks_fencing)
        try:
            sent_at = self._clock()
            row = (await self._table.read([self._resource])).get(self._resource)
            self._cluster.record_store_contact(sent_at)
        except PlatformError:
            return
        self._row_version = row.version if row else 0
        if row is not None and row.value is not None:
            ledger.restore(row.value, self._clock())
            if ledger.epoch > epoch:
                return
            for order_id in self._unsent_order_ids:
                ledger.withdraw(order_id)
        ledger.take_over(epoch)
        if await self._write(ledger, ()):
            # A commit whose reply was lost can no longer take effect.
            self._unsent_order_ids.clear()
            self._ledger = ledger
            self._events.record(
                "engine_owned",
                engine=target.name,
                epoch=epoch,
                open_orders=[order.order_id for order in ledger.pending],
            )

    async def _write(
        self, ledger: EngineLedger, conditions: Sequence[Condition]
    ) -> bool:
        """Write the ledger's row and return whether that succeeded.

        After a conflict or an unknown outcome the next poll reads the row again.
        """
        own = Condition(self._resource, self._row_version)
        sent_at = self._clock()
        write = Write(self._resource, ledger.to_row(sent_at))
        open_orders = ledger.open_orders(sent_at)
        try:
            self._row_version = await self._table.commit([own, *conditions], [write])
        except PlatformUnavailableError:
            return False
        except (TransactionConflictError, OutcomeUnknownError):
            self._ledger = None
            return False
        self._open_orders_in_row = open_orders
        self._cluster.record_store_contact(sent_at)
        return True

    async def _update_row(self, ledger: EngineLedger) -> None:
        """Remove orders from the row that were settled or not sent.

        A new owner would wait for them if the engine has restarted in the meantime.
        """
        if (
            self._ledger is ledger
            and ledger.open_orders(self._clock()) != self._open_orders_in_row
        ):
            await self._write(ledger, ())

    async def _other_replica_condition(self, move: PlannedMove) -> Condition | None:
        """Return a condition that ensures that another engine serves the model.

        The other engine reports a ready copy, and its row has no pending unload of
        it. Each owner writes its row on the condition that the other's is unchanged,
        so the last two copies cannot be unloaded at the same time.
        """
        for name in self._other_replicas(move.model, move.engine):
            engine = self._clients.get(name)
            key = f"engine/{name}"
            if engine is None:
                continue
            try:
                row = (await self._table.read([key])).get(key)
                report = await engine.report()
            except (PlatformError, TargetError):
                continue
            if row is None or row.value is None or report.draining:
                continue
            unloading = pending_unloads(row.value)
            if any(
                held.model == move.model
                and held.ready
                and (held.model, held.version) not in unloading
                for held in report.models
            ):
                return Condition(key, row.version)
        return None

    async def _send_pending_orders(self, ledger: EngineLedger) -> None:
        fencing_order = ledger.fencing_order(self._clock())
        if fencing_order is not None:
            if await self._write(ledger, ()):
                await self._send_all(ledger, [fencing_order])
            else:
                self._withdraw(ledger, [fencing_order])
        resend = ledger.take_due_resends(self._clock())
        if resend:
            await self._send_all(ledger, resend)

    def _withdraw(self, ledger: EngineLedger, orders: Sequence[Order]) -> None:
        """Drop orders that were not sent; the row may hold them or not."""
        for order in orders:
            ledger.withdraw(order.order_id)
            self._unsent_order_ids.add(order.order_id)

    async def _send_all(self, ledger: EngineLedger, orders: Sequence[Order]) -> None:
        async with anyio.create_task_group() as tasks:
            for order in orders:
                tasks.start_soon(self._send, ledger, order)

    async def _send(self, ledger: EngineLedger, order: Order) -> None:
        authority = self._cluster.authority(self._resource, self._clock())
        engine = self._clients.get(self._target.name)
        if engine is None or authority is None or authority.epoch != ledger.epoch:
            # The order is in the row, so the next owner handles it. This node may get
            # its authority back and sends the order again then.
            ledger.record_sent(order.order_id, self._clock())
            return
        try:
            answer = await engine.order(order)
        except OrderRefusedError:
            ledger.withdraw(order.order_id)
            self._record_event("order_refused", order)
            return
        except TargetUnreachableError:
            ledger.withdraw(order.order_id)
            self._record_event("order_not_sent", order)
            return
        except TargetError as error:
            ledger.record_sent(order.order_id, self._clock())
            self._record_event("order_unanswered", order, reason=str(error))
            return
        ledger.record_sent(order.order_id, self._clock())
        ledger.record_answer(order.order_id, answer)
        self._record_event("order_given", order, state=str(answer.state))

    def _record_event(self, kind: str, order: Order, **fields: Any) -> None:
        self._events.record(
            kind,
            engine=self._target.name,
            order_id=order.order_id,
            order=str(order.kind),
            model=order.model,
            version=order.version,
            adapter=order.adapter,
            **fields,
        )
