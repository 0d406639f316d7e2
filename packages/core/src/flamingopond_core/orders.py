"""Ledger of one engine: the contents of its memory and its open orders."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping

import attrs

from flamingopond_core.copies import Copy, CopyState
from flamingopond_core.pending_orders import LedgerLimits, PendingOrder
from flamingopond_core.reports import (
    EngineReport,
    LoadedModel,
    Order,
    OrderAnswer,
    OrderKind,
)
from flamingopond_core.reports import OrderState as State

__all__ = [
    "Copy",
    "CopyState",
    "EngineLedger",
    "LedgerLimits",
    "PendingOrder",
    "pending_unloads",
]

_LOAD_KINDS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
_SETTLED_STATES = (State.DONE, State.FAILED)


class EngineLedger:
    """Decides which orders may be sent to an engine.

    The engine's owner calls ``take_over`` once and ``observe`` for each report. For
    each order it calls ``propose``, writes ``to_row``, sends the order, and calls
    ``record_sent`` when the sending call has ended. Memory is reserved from ``propose``
    until a report shows the order as settled.
    """

    def __init__(
        self,
        engine: str,
        memory_mb: int,
        checks_fencing: bool,
        limits: LedgerLimits | None = None,
    ) -> None:
        """Create a ledger without orders; none can be proposed before ``take_over``."""
        self.engine = engine
        self._memory_mb = memory_mb
        self._checks_fencing = checks_fencing
        self._limits = limits or LedgerLimits()
        self._epoch = 0
        self._last_order_number = 0
        self._instance = ""
        self._report_sequence = -1
        self._reported_fencing = -1
        self._has_current_report = False
        self._loaded: dict[tuple[str, str], LoadedModel] = {}
        self._pending: dict[str, PendingOrder] = {}

    @property
    def epoch(self) -> int:
        """The owner's epoch, which is the fencing token of its orders."""
        return self._epoch

    @property
    def instance(self) -> str:
        """The engine process that the newest report came from."""
        return self._instance

    @property
    def pending(self) -> tuple[Order, ...]:
        """Orders that are not settled."""
        return tuple(item.order for item in self._pending.values())

    @property
    def reserved_mb(self) -> int:
        """Memory of everything loaded, loading, or ordered but not settled."""
        subjects = {
            subject: loaded.memory_mb for subject, loaded in self._loaded.items()
        }
        adapters = 0
        for item in self._pending.values():
            order = item.order
            if order.kind is OrderKind.LOAD_MODEL:
                # An engine holds a version only once, however often it is ordered.
                subject = (order.model, order.version)
                subjects[subject] = max(subjects.get(subject, 0), order.memory_mb)
            elif order.kind is OrderKind.LOAD_ADAPTER:
                adapters += order.memory_mb
        return sum(subjects.values()) + adapters

    @property
    def free_mb(self) -> int:
        """Memory available for new orders."""
        return self._memory_mb - self.reserved_mb

    @property
    def usable(self) -> bool:
        """Whether the engine's state is known well enough to order.

        An engine that checks fencing must first have reported this owner's fencing
        token: from then on it cannot execute a former owner's order that its report
        lacks.
        """
        fenced = not self._checks_fencing or self._reported_fencing >= self._epoch
        return bool(self._epoch and self._has_current_report and fenced)

    def accepts_orders(self, now: float) -> bool:
        """Return whether the engine can be expected to get new orders soon.

        An unanswered order blocks an engine that ignores fencing until it is abandoned.
        """
        return self.usable and not any(
            self._is_stalled(item, now) and not self._is_abandoned(item, now)
            for item in self._pending.values()
        )

    def take_over(self, epoch: int) -> None:
        """Become the owner with ``epoch``; only later reports count.

        Order numbers continue from the row: a node may take over from itself with the
        same epoch, and an engine does not execute an order id that it already knows.
        It does not know then which of its orders it has sent.
        """
        self._epoch = epoch
        self._has_current_report = False
        self._reported_fencing = -1
        for item in self._pending.values():
            item.send_ended_at = math.inf
            item.resend_from = item.written_at + self._limits.resend_after_s

    def observe(
        self, report: EngineReport, requested_at: float, now: float
    ) -> tuple[Order, ...]:
        """Apply a report asked for at ``requested_at``; return the orders it settles.

        Reports older than the newest one are ignored.
        """
        changed = report.instance != self._instance
        if not changed and report.sequence < self._report_sequence:
            return ()
        settled = self._drop_void_orders(report, now) if changed else []
        self._instance = report.instance
        self._report_sequence = report.sequence
        self._reported_fencing = report.fencing
        self._memory_mb = min(self._memory_mb, report.memory_mb)
        self._loaded = {(item.model, item.version): item for item in report.models}
        self._has_current_report = True
        for order_id, item in list(self._pending.items()):
            state = report.orders.get(order_id)
            if item.send_ended_at <= requested_at and item.instance == report.instance:
                item.bound_to_instance = True
            item.accepted = item.accepted or state is State.ACCEPTED
            if state in _SETTLED_STATES or (
                state is None and self._is_fenced_off(item.order)
            ):
                settled.append(self._pending.pop(order_id).order)
        return tuple(settled)

    def propose(
        self,
        kind: OrderKind,
        now: float,
        *,
        model: str = "",
        version: str = "",
        adapter: str = "",
        memory_mb: int = 0,
        role: str = "",
    ) -> Order | None:
        """Return a new order with its memory reserved, or ``None`` if unsafe now."""
        if not self._may_order(kind, now):
            return None
        subject = (model, version)
        loaded = self._loaded.get(subject)
        if kind is OrderKind.LOAD_MODEL and loaded is not None:
            return None
        if kind is OrderKind.UNLOAD_MODEL and loaded is None:
            return None
        if kind in (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER):
            has_adapter = loaded is not None and adapter in loaded.adapters
            if loaded is None or has_adapter == (kind is OrderKind.LOAD_ADAPTER):
                return None
        if model and self._conflicts(kind, subject, adapter, now):
            return None
        already_reserved = (
            self._abandoned_load_mb(now).get(subject, 0) if not adapter else 0
        )
        if kind in _LOAD_KINDS and memory_mb > self.free_mb + already_reserved:
            return None
        self._last_order_number += 1
        order = Order(
            order_id=f"{self.engine}:{self._epoch}:{self._last_order_number}",
            kind=kind,
            fencing=self._epoch,
            model=model,
            version=version,
            adapter=adapter,
            memory_mb=memory_mb if kind in _LOAD_KINDS else 0,
            role=role,
        )
        self._pending[order.order_id] = PendingOrder(order, now, self._instance)
        return order

    def fencing_order(self, now: float) -> Order | None:
        """Return the no-op order that fences off former owners, if one is needed."""
        if not self._checks_fencing or not self._has_current_report or self.usable:
            return None
        for item in self._pending.values():
            if item.order.kind is OrderKind.NOOP and item.order.fencing == self._epoch:
                return None
        self._last_order_number += 1
        order_id = f"{self.engine}:{self._epoch}:{self._last_order_number}"
        order = Order(order_id, OrderKind.NOOP, self._epoch)
        self._pending[order_id] = PendingOrder(order, now, self._instance)
        return order

    def record_sent(self, order_id: str, now: float) -> None:
        """Record that the sending call has ended, with or without an answer."""
        item = self._pending.get(order_id)
        if item is not None:
            item.send_ended_at = now

    def record_answer(self, order_id: str, answer: OrderAnswer) -> None:
        """Apply the engine's direct answer.

        Only a failure settles an order here. Completed loads and unloads count when a
        report shows them together with the memory. An order answered by a known process
        is void once another process reports.
        """
        item = self._pending.get(order_id)
        if item is None:
            return
        if answer.state is State.FAILED:
            del self._pending[order_id]
            return
        item.accepted = True
        if answer.instance:
            item.instance = answer.instance
            item.bound_to_instance = True

    def withdraw(self, order_id: str) -> None:
        """Drop an order that this owner did not send or that the engine refused."""
        self._pending.pop(order_id, None)

    def take_due_resends(self, now: float) -> tuple[Order, ...]:
        """Return the unanswered orders that are due to be sent again under the same id.

        Only engines that check fencing get an order twice: they remember order ids and
        refuse the fencing token once another owner has taken over.
        """
        if not self._checks_fencing:
            return ()
        due = [
            item
            for item in self._pending.values()
            if item.order.fencing == self._epoch
            and not item.accepted
            and min(item.send_ended_at + self._limits.resend_after_s, item.resend_from)
            <= now
        ]
        for item in due:
            item.send_ended_at, item.bound_to_instance = math.inf, False
            item.resend_from = math.inf
        return tuple(item.order for item in due)

    def copies(self, now: float) -> tuple[Copy, ...]:
        """Return the copies on the engine, including those being loaded or unloaded.

        A load that may be lost does not count, so that the model is placed elsewhere.
        """
        unloading = {
            (item.order.model, item.order.version)
            for item in self._pending.values()
            if item.order.kind is OrderKind.UNLOAD_MODEL
        }
        result = []
        loading: dict[tuple[str, str], int] = {}
        for subject, loaded in self._loaded.items():
            state = CopyState.READY if loaded.ready else CopyState.LOADING
            if subject in unloading:
                state = CopyState.UNLOADING
            result.append(Copy(*subject, loaded.memory_mb, state, loaded.adapters))
        for item in self._pending.values():
            order = item.order
            if (
                order.kind is OrderKind.LOAD_MODEL
                and (order.model, order.version) not in self._loaded
                and not self._is_abandoned(item, now)
                and not self._is_stalled(item, now)
            ):
                loading[order.model, order.version] = order.memory_mb
        for subject, memory_mb in loading.items():
            result.append(Copy(*subject, memory_mb, CopyState.LOADING))
        return tuple(result)

    def abandoned_loads(self, now: float) -> Mapping[tuple[str, str], int]:
        """Return the memory reserved for abandoned loads, by model and version.

        The engine may still execute them, so only a new load of the same version can
        use that memory; it needs no more.
        """
        return self._abandoned_load_mb(now)

    def abandoned_unloads(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return the models whose unload was abandoned and may be ordered again."""
        return tuple(
            {
                (item.order.model, item.order.version): None
                for item in self._pending.values()
                if item.order.kind is OrderKind.UNLOAD_MODEL
                and (item.order.model, item.order.version) in self._loaded
                and self._is_abandoned(item, now)
            }
        )

    def to_row(self, now: float) -> bytes:
        """Return the row ``engine/<name>``, to be written before an order is sent.

        It carries ages in place of times: clocks of different nodes differ.
        """
        return json.dumps(
            {
                "epoch": self._epoch,
                "instance": self._instance,
                "number": self._last_order_number,
                "ages_s": {
                    # Rounded down, so that no order counts as older than it is.
                    order_id: max(0.0, math.floor(10 * (now - item.written_at)) / 10)
                    for order_id, item in self._pending.items()
                },
                "pending": [
                    {"instance": item.instance, **attrs.asdict(item.order)}
                    for item in self._pending.values()
                ],
                "outlived_instance": [
                    order_id
                    for order_id, item in self._pending.items()
                    if item.outlived_instance
                ],
            },
            separators=(",", ":"),
        ).encode()

    def open_orders(self, now: float) -> frozenset[tuple[str, bool]]:
        """Return the id of each order that is not settled, and whether it is abandoned.

        A new owner is misled by a row that was written when they were different.
        """
        return frozenset(
            (order_id, self._is_abandoned(item, now))
            for order_id, item in self._pending.items()
        )

    def restore(self, row: bytes, now: float) -> None:
        """Load the orders of a former owner from its row.

        It is unknown when they were sent, or whether they still will be. Each counts as
        old as it was when the row was written.
        """
        data = json.loads(row)
        self._epoch = data["epoch"]
        self._instance = data["instance"]
        self._last_order_number = data["number"]
        self._pending = {}
        ages_s = data.get("ages_s", {})
        outlived_ids = data.get("outlived_instance", ())
        for fields in data["pending"]:
            instance = fields.pop("instance")
            order = Order(**{**fields, "kind": OrderKind(fields["kind"])})
            self._pending[order.order_id] = PendingOrder(
                order,
                now - ages_s.get(order.order_id, 0.0),
                instance,
                outlived_instance=order.order_id in outlived_ids,
            )

    def _may_order(self, kind: OrderKind, now: float) -> bool:
        if not self.usable:
            return False
        open_orders = [
            i for i in self._pending.values() if not self._is_abandoned(i, now)
        ]
        limit = self._limits.max_open_orders if self._checks_fencing else 1
        return len(open_orders) < limit

    def _is_abandoned(self, item: PendingOrder, now: float) -> bool:
        overdue = now - item.written_at >= self._limits.abandon_after_s
        return (overdue or item.outlived_instance) and not item.accepted

    def _is_stalled(self, item: PendingOrder, now: float) -> bool:
        """Return whether an order may be lost and is not sent again."""
        overdue = now - item.written_at >= self._limits.resend_after_s
        return overdue and not item.accepted and not self._checks_fencing

    def _conflicts(
        self, kind: OrderKind, subject: tuple[str, str], adapter: str, now: float
    ) -> bool:
        """Return whether an open order for the subject forbids another one.

        Two orders for one subject could arrive in either order. After an abandoned one,
        only orders are safe that its late arrival cannot harm.
        """
        for item in self._pending.values():
            order = item.order
            if (order.model, order.version) != subject:
                continue
            if self._is_abandoned(item, now):
                after_unload = (
                    order.kind is OrderKind.UNLOAD_MODEL and kind != order.kind
                )
                same_adapter = bool(adapter) and order.adapter == adapter
                if after_unload or (same_adapter and kind != order.kind):
                    return True
            elif not adapter or not order.adapter or order.adapter == adapter:
                return True
        return False

    def _abandoned_load_mb(self, now: float) -> dict[tuple[str, str], int]:
        abandoned_mb: dict[tuple[str, str], int] = {}
        for item in self._pending.values():
            order = item.order
            subject = (order.model, order.version)
            if (
                order.kind is OrderKind.LOAD_MODEL
                and subject not in self._loaded
                and self._is_abandoned(item, now)
            ):
                abandoned_mb[subject] = max(
                    abandoned_mb.get(subject, 0), order.memory_mb
                )
        return abandoned_mb

    def _is_fenced_off(self, order: Order) -> bool:
        return (
            self._checks_fencing
            and order.fencing < self._epoch
            and self._reported_fencing >= self._epoch
        )

    def _drop_void_orders(self, report: EngineReport, now: float) -> list[Order]:
        """Drop the orders that the engine's restart has made void.

        An order may have reached the new process if it was sent after the old one's
        last report was requested, or if a paused former owner sent it. Such orders stay
        reserved.
        """
        void = []
        for order_id, item in list(self._pending.items()):
            if item.bound_to_instance and item.instance == report.instance:
                continue
            if (
                item.bound_to_instance
                or now - item.written_at >= self._limits.max_delivery_delay_s
            ):
                void.append(self._pending.pop(order_id).order)
            else:
                item.instance = report.instance
                item.accepted = False
                item.outlived_instance = True
        return void


def pending_unloads(row: bytes) -> frozenset[tuple[str, str]]:
    """Return the models and versions with an open unload in a row ``engine/<name>``."""
    return frozenset(
        (fields["model"], fields["version"])
        for fields in json.loads(row)["pending"]
        if fields["kind"] == OrderKind.UNLOAD_MODEL
    )
