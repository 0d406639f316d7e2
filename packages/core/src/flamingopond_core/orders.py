"""The ledger of one engine: what its memory holds and which orders are open."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping

import attrs

from flamingopond_core.copies import Copy, CopyState
from flamingopond_core.pending import LedgerLimits, PendingOrder
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

_LOADS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
_SETTLED = (State.DONE, State.FAILED)


class EngineLedger:
    """Decides which orders an engine may get.

    The owner of the engine calls ``take_over`` once, ``observe`` for each report,
    and for each order ``propose``, then writes ``to_row``, sends, and calls ``sent``
    when the sending call has ended. Memory is reserved from ``propose`` until a
    report shows the order as settled.
    """

    def __init__(
        self,
        engine: str,
        memory_mb: int,
        checks_fencing: bool,
        limits: LedgerLimits | None = None,
    ) -> None:
        """Start without orders; nothing may be ordered before ``take_over``."""
        self.engine = engine
        self._memory_mb = memory_mb
        self._checks_fencing = checks_fencing
        self._limits = limits or LedgerLimits()
        self._epoch = 0
        self._number = 0
        self._instance = ""
        self._sequence = -1
        self._fencing = -1
        self._current = False
        self._held: dict[tuple[str, str], LoadedModel] = {}
        self._pending: dict[str, PendingOrder] = {}

    @property
    def epoch(self) -> int:
        """The fencing number of this owner's orders."""
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
        """Memory of everything loaded, loading, or ordered and not settled."""
        subjects = {subject: held.memory_mb for subject, held in self._held.items()}
        adapters = 0
        for item in self._pending.values():
            order = item.order
            if order.kind is OrderKind.LOAD_MODEL:
                # An engine holds a version once, however often it is ordered.
                subject = (order.model, order.version)
                subjects[subject] = max(subjects.get(subject, 0), order.memory_mb)
            elif order.kind is OrderKind.LOAD_ADAPTER:
                adapters += order.memory_mb
        return sum(subjects.values()) + adapters

    @property
    def free_mb(self) -> int:
        """Memory that may still be ordered."""
        return self._memory_mb - self.reserved_mb

    @property
    def usable(self) -> bool:
        """Whether the state of the engine is known well enough to order.

        An engine that checks fencing must have shown this owner's number first:
        from then on no order of a former owner can run that its report lacks.
        """
        fenced = not self._checks_fencing or self._fencing >= self._epoch
        return bool(self._epoch and self._current and fenced)

    def take_over(self, epoch: int) -> None:
        """Become the owner with ``epoch``; reports count only from now on.

        Order numbers go on from the row: a node may take over from itself with the
        same epoch, and an engine does not execute an order id that it knows.
        """
        self._epoch = epoch
        self._current = False
        self._fencing = -1
        for item in self._pending.values():
            item.sent_at = math.inf

    def observe(
        self, report: EngineReport, asked_at: float, now: float
    ) -> tuple[Order, ...]:
        """Take in a report that was asked for at ``asked_at``.

        Returns the orders that it settles. Older reports than the newest are
        ignored.
        """
        changed = report.instance != self._instance
        if not changed and report.sequence < self._sequence:
            return ()
        settled = self._forget_lost(report, now) if changed else []
        self._instance = report.instance
        self._sequence = report.sequence
        self._fencing = report.fencing
        self._memory_mb = min(self._memory_mb, report.memory_mb)
        self._held = {(item.model, item.version): item for item in report.models}
        self._current = True
        for order_id, item in list(self._pending.items()):
            state = report.orders.get(order_id)
            if item.sent_at <= asked_at and item.instance == report.instance:
                item.reached = True
            item.accepted = item.accepted or state is State.ACCEPTED
            if state in _SETTLED or (state is None and self._shut_out(item.order)):
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
        """Return a new order whose memory is reserved, or ``None`` if unsafe now."""
        if not self._admits(kind, now):
            return None
        subject = (model, version)
        held = self._held.get(subject)
        if kind is OrderKind.LOAD_MODEL and held is not None:
            return None
        if kind is OrderKind.UNLOAD_MODEL and held is None:
            return None
        if kind in (OrderKind.LOAD_ADAPTER, OrderKind.UNLOAD_ADAPTER):
            has = held is not None and adapter in held.adapters
            if held is None or has == (kind is OrderKind.LOAD_ADAPTER):
                return None
        if model and self._conflicts(kind, subject, adapter, now):
            return None
        reserved = self._lost(now).get(subject, 0) if not adapter else 0
        if kind in _LOADS and memory_mb > self.free_mb + reserved:
            return None
        self._number += 1
        order = Order(
            order_id=f"{self.engine}:{self._epoch}:{self._number}",
            kind=kind,
            fencing=self._epoch,
            model=model,
            version=version,
            adapter=adapter,
            memory_mb=memory_mb if kind in _LOADS else 0,
            role=role,
        )
        self._pending[order.order_id] = PendingOrder(order, now, self._instance)
        return order

    def fence(self, now: float) -> Order | None:
        """Return the no-op order that shuts out former owners, if one is needed."""
        if not self._checks_fencing or not self._current or self.usable:
            return None
        for item in self._pending.values():
            if item.order.kind is OrderKind.NOOP and item.order.fencing == self._epoch:
                return None
        self._number += 1
        order_id = f"{self.engine}:{self._epoch}:{self._number}"
        order = Order(order_id, OrderKind.NOOP, self._epoch)
        self._pending[order_id] = PendingOrder(order, now, self._instance)
        return order

    def sent(self, order_id: str, now: float) -> None:
        """Note that the sending call has ended, with an answer or without."""
        item = self._pending.get(order_id)
        if item is not None:
            item.sent_at = now

    def answered(self, order_id: str, answer: OrderAnswer) -> None:
        """Take in the engine's direct answer.

        Only a failure settles an order here. Done loads and unloads count when a
        report shows them, together with the memory. An order that a known process
        answered is void once another process reports.
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
            item.reached = True

    def withdraw(self, order_id: str) -> None:
        """Drop an order that this owner did not send or the engine refused."""
        self._pending.pop(order_id, None)

    def to_resend(self, now: float) -> tuple[Order, ...]:
        """Return unanswered orders that may be sent again under the same id.

        Only engines that check fencing get an order twice: they remember order ids
        and refuse the number once another owner has taken over.
        """
        if not self._checks_fencing:
            return ()
        due = [
            item
            for item in self._pending.values()
            if item.order.fencing == self._epoch
            and not item.accepted
            and item.sent_at + self._limits.resend_s <= now
        ]
        for item in due:
            item.sent_at, item.reached = math.inf, False
        return tuple(item.order for item in due)

    def copies(self, now: float) -> tuple[Copy, ...]:
        """Return the models on the engine and on their way in or out."""
        leaving = {
            (item.order.model, item.order.version)
            for item in self._pending.values()
            if item.order.kind is OrderKind.UNLOAD_MODEL
        }
        result = []
        loading: dict[tuple[str, str], int] = {}
        for subject, held in self._held.items():
            state = CopyState.READY if held.ready else CopyState.LOADING
            if subject in leaving:
                state = CopyState.UNLOADING
            result.append(Copy(*subject, held.memory_mb, state, held.adapters))
        for item in self._pending.values():
            order = item.order
            if (
                order.kind is OrderKind.LOAD_MODEL
                and (order.model, order.version) not in self._held
                and not self._abandoned(item, now)
            ):
                loading[order.model, order.version] = order.memory_mb
        for subject, memory_mb in loading.items():
            result.append(Copy(*subject, memory_mb, CopyState.LOADING))
        return tuple(result)

    def lost_loads(self, now: float) -> Mapping[tuple[str, str], int]:
        """Return models whose load was abandoned, with the memory kept for them.

        The engine may still load them, so the memory is of use to them only: a new
        load of the same version needs no more.
        """
        return self._lost(now)

    def lost_unloads(self, now: float) -> tuple[tuple[str, str], ...]:
        """Return models whose unload was abandoned and may be ordered anew."""
        return tuple(
            {
                (item.order.model, item.order.version): None
                for item in self._pending.values()
                if item.order.kind is OrderKind.UNLOAD_MODEL
                and (item.order.model, item.order.version) in self._held
                and self._abandoned(item, now)
            }
        )

    def to_row(self) -> bytes:
        """Return the row ``engine/<name>`` that must be written before an order."""
        return json.dumps(
            {
                "epoch": self._epoch,
                "instance": self._instance,
                "number": self._number,
                "pending": [
                    {"instance": item.instance, **attrs.asdict(item.order)}
                    for item in self._pending.values()
                ],
            },
            separators=(",", ":"),
        ).encode()

    def restore(self, row: bytes, now: float) -> None:
        """Take the orders of a former owner from its row.

        When they were sent, or whether that is yet to happen, is unknown.
        """
        data = json.loads(row)
        self._epoch = data["epoch"]
        self._instance = data["instance"]
        self._number = data["number"]
        self._pending = {}
        for fields in data["pending"]:
            instance = fields.pop("instance")
            order = Order(**{**fields, "kind": OrderKind(fields["kind"])})
            self._pending[order.order_id] = PendingOrder(order, now, instance)

    def _admits(self, kind: OrderKind, now: float) -> bool:
        if not self.usable:
            return False
        waiting = [i for i in self._pending.values() if not self._abandoned(i, now)]
        limit = self._limits.parallel if self._checks_fencing else 1
        return len(waiting) < limit

    def _abandoned(self, item: PendingOrder, now: float) -> bool:
        late = now - item.written_at >= self._limits.abandon_s
        return late and not item.accepted

    def _conflicts(
        self, kind: OrderKind, subject: tuple[str, str], adapter: str, now: float
    ) -> bool:
        """Tell whether an open order for the subject forbids another one.

        Orders for one subject could arrive in either order. After an abandoned one
        only orders are safe that its late arrival does no harm to.
        """
        for item in self._pending.values():
            order = item.order
            if (order.model, order.version) != subject:
                continue
            if self._abandoned(item, now):
                undone = order.kind is OrderKind.UNLOAD_MODEL and kind != order.kind
                same = bool(adapter) and order.adapter == adapter
                if undone or (same and kind != order.kind):
                    return True
            elif not adapter or not order.adapter or order.adapter == adapter:
                return True
        return False

    def _lost(self, now: float) -> dict[tuple[str, str], int]:
        lost: dict[tuple[str, str], int] = {}
        for item in self._pending.values():
            order = item.order
            subject = (order.model, order.version)
            if (
                order.kind is OrderKind.LOAD_MODEL
                and subject not in self._held
                and self._abandoned(item, now)
            ):
                lost[subject] = max(lost.get(subject, 0), order.memory_mb)
        return lost

    def _shut_out(self, order: Order) -> bool:
        return (
            self._checks_fencing
            and order.fencing < self._epoch
            and self._fencing >= self._epoch
        )

    def _forget_lost(self, report: EngineReport, now: float) -> list[Order]:
        """Drop the orders that the restart of the engine has made void.

        An order may have reached the new process if it was sent after the last
        report of the old one was asked for, or if a paused former owner sent it.
        Such orders stay reserved.
        """
        lost = []
        for order_id, item in list(self._pending.items()):
            if item.reached and item.instance == report.instance:
                continue
            if item.reached or now - item.written_at >= self._limits.late_s:
                lost.append(self._pending.pop(order_id).order)
            else:
                item.instance = report.instance
                item.accepted = False
        return lost


def pending_unloads(row: bytes) -> frozenset[tuple[str, str]]:
    """Return the models and versions that a row ``engine/<name>`` gives up."""
    return frozenset(
        (fields["model"], fields["version"])
        for fields in json.loads(row)["pending"]
        if fields["kind"] == OrderKind.UNLOAD_MODEL
    )
