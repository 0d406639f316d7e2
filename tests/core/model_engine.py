"""Model of an engine's memory and orders, for tests of ledgers."""

from __future__ import annotations

import attrs

from flamingopond_core.reports import (
    EngineReport,
    LoadedModel,
    Order,
    OrderKind,
    OrderState,
)


@attrs.define
class _HeldModel:
    memory_mb: int
    ready: bool = False
    unload_order_id: str = ""
    load_order_id: str = ""


class ModelEngine:
    """Executes the orders that reach it and records loads that do not fit."""

    def __init__(self, memory_mb: int, checks_fencing: bool) -> None:
        """Start empty."""
        self.memory_mb = memory_mb
        self.checks_fencing = checks_fencing
        self.overcommits: list[Order] = []
        self.instance = 0
        self.sequence = 0
        self._clear()

    def _clear(self) -> None:
        self.fencing = 0
        self.held: dict[tuple[str, str], _HeldModel] = {}
        self.orders: dict[str, OrderState] = {}

    def restart(self) -> None:
        """Lose all state and restart as a new instance."""
        self.instance += 1
        self._clear()

    def deliver(self, order: Order) -> OrderState | None:
        """Execute an order; ``None`` means that it was refused."""
        if self.checks_fencing:
            if order.fencing < self.fencing:
                return None
            self.fencing = order.fencing
        if order.order_id not in self.orders:
            self.orders[order.order_id] = self._execute(order)
        return self.orders[order.order_id]

    def _execute(self, order: Order) -> OrderState:
        subject = (order.model, order.version)
        held = self.held.get(subject)
        if order.kind is OrderKind.LOAD_MODEL:
            if held is not None:
                return OrderState.FAILED
            used_mb = sum(item.memory_mb for item in self.held.values())
            if used_mb + order.memory_mb > self.memory_mb:
                self.overcommits.append(order)
                return OrderState.FAILED
            self.held[subject] = _HeldModel(
                order.memory_mb, load_order_id=order.order_id
            )
            return OrderState.ACCEPTED
        if order.kind is OrderKind.UNLOAD_MODEL and held is not None:
            held.unload_order_id = order.order_id
            held.ready = False
            return OrderState.ACCEPTED
        return OrderState.DONE

    def progress(self) -> None:
        """Finish every load and unload."""
        for subject, held in list(self.held.items()):
            if held.unload_order_id:
                del self.held[subject]
                self.orders[held.unload_order_id] = OrderState.DONE
            elif not held.ready:
                held.ready = True
                self.orders[held.load_order_id] = OrderState.DONE

    def report(self) -> EngineReport:
        """Return a report of the current state."""
        self.sequence += 1
        return EngineReport(
            instance=str(self.instance),
            sequence=self.sequence,
            memory_mb=self.memory_mb,
            models=tuple(
                LoadedModel(*subject, held.memory_mb, held.ready)
                for subject, held in self.held.items()
            ),
            fencing=self.fencing,
            orders=dict(self.orders),
        )
