"""Accelerator memory and orders of the engine stand-in."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from flamingopond_platform.engine import LoadedModel, Order, OrderKind, OrderState

# Engines remember this many order ids, and never execute one of them again.
_REMEMBERED_ORDERS = 1024


class FencedError(Exception):
    """The order carries an old fencing number."""


@attrs.define
class HeldModel:
    """A model version in memory, being loaded, or being unloaded."""

    model: str
    version: str
    memory_mb: int
    ready: bool = False
    leaving: bool = False
    unload_orders: list[str] = attrs.field(factory=list)
    running: int = 0
    adapters: dict[str, int] = attrs.field(factory=dict)
    loading_mb: int = 0

    @property
    def total_mb(self) -> int:
        """Memory of the model and its adapters, including those being loaded."""
        return self.memory_mb + self.loading_mb + sum(self.adapters.values())


class EngineMemory:
    """Holds models within ``memory_mb`` and carries out orders.

    ``fetch`` gets weights from the weight store: model, version and adapter.
    """

    def __init__(
        self,
        memory_mb: int,
        checks_fencing: bool,
        fetch: Callable[[str, str, str], Awaitable[bool]],
        overcommits: list[dict[str, Any]],
    ) -> None:
        """Start empty; ``overcommits`` gets one entry for each attempt."""
        self.memory_mb = memory_mb
        self.fencing = 0
        self.role = "serve"
        self.peak_mb = 0
        self._checks_fencing = checks_fencing
        self._fetch = fetch
        self._overcommits = overcommits
        self._models: dict[tuple[str, str], HeldModel] = {}
        self._orders: OrderedDict[str, OrderState] = OrderedDict()

    @property
    def used_mb(self) -> int:
        """Memory taken by all models, including those on their way in or out."""
        return sum(held.total_mb for held in self._models.values())

    @property
    def orders(self) -> dict[str, OrderState]:
        """States of the remembered orders."""
        return dict(self._orders)

    def loaded(self) -> tuple[LoadedModel, ...]:
        """Return the models as the engine reports them."""
        return tuple(
            LoadedModel(
                held.model,
                held.version,
                held.total_mb,
                held.ready and not held.leaving,
                tuple(sorted(held.adapters)),
            )
            for held in self._models.values()
        )

    def preload(self, model: str, version: str, memory_mb: int) -> None:
        """Hold a model from the start. Raises ``ValueError`` if it does not fit."""
        if self.used_mb + memory_mb > self.memory_mb:
            raise ValueError(f"{model} does not fit in {self.memory_mb} MB")
        self._models[model, version] = HeldModel(model, version, memory_mb, ready=True)
        self.peak_mb = max(self.peak_mb, self.used_mb)

    def find(self, model: str, version: str, adapter: str) -> HeldModel | None:
        """Return the model that serves a request; without version the newest."""
        matches = [
            held
            for held in self._models.values()
            if held.model == model
            and held.ready
            and not held.leaving
            and (not version or held.version == version)
            and (not adapter or adapter in held.adapters)
        ]
        return max(matches, key=lambda held: held.version, default=None)

    def release(self, held: HeldModel) -> None:
        """Note that a request on ``held`` ended; a leaving model then goes."""
        held.running -= 1
        self._remove_if_idle(held)

    def accept(self, order: Order) -> tuple[OrderState, Callable[[], Awaitable[None]]]:
        """Check an order and reserve its memory.

        Returns the state and the work that is left. Raises ``FencedError``.
        """
        if self._checks_fencing:
            if order.fencing < self.fencing:
                raise FencedError(f"fencing number is below {self.fencing}")
            self.fencing = order.fencing
        if order.order_id in self._orders:
            return self._orders[order.order_id], self._no_work
        state, work = self._start(order)
        self._set(order.order_id, state)
        return state, work

    def _start(self, order: Order) -> tuple[OrderState, Callable[[], Awaitable[None]]]:
        held = self._models.get((order.model, order.version))
        if order.kind is OrderKind.LOAD_MODEL:
            return self._start_load(order, held)
        if order.kind is OrderKind.UNLOAD_MODEL:
            if held is None:
                return OrderState.DONE, self._no_work
            held.leaving = True
            if self._remove_if_idle(held):
                return OrderState.DONE, self._no_work
            held.unload_orders.append(order.order_id)
            return OrderState.ACCEPTED, self._no_work
        if order.kind is OrderKind.LOAD_ADAPTER:
            if held is None or held.leaving:
                return OrderState.FAILED, self._no_work
            if not self._fits(order):
                return OrderState.FAILED, self._no_work
            held.loading_mb += order.memory_mb
            self.peak_mb = max(self.peak_mb, self.used_mb)

            async def load_adapter() -> None:
                done = await self._fetch(order.model, order.version, order.adapter)
                held.loading_mb -= order.memory_mb
                if done:
                    held.adapters[order.adapter] = order.memory_mb
                self._finish(order, done)

            return OrderState.ACCEPTED, load_adapter
        if order.kind is OrderKind.UNLOAD_ADAPTER:
            if held is not None:
                held.adapters.pop(order.adapter, None)
        elif order.kind is OrderKind.SET_ROLE:
            self.role = order.role
        return OrderState.DONE, self._no_work

    def _start_load(
        self, order: Order, held: HeldModel | None
    ) -> tuple[OrderState, Callable[[], Awaitable[None]]]:
        if held is not None:
            done = held.ready and not held.leaving
            return (OrderState.DONE if done else OrderState.FAILED), self._no_work
        if not self._fits(order):
            return OrderState.FAILED, self._no_work
        new = HeldModel(order.model, order.version, order.memory_mb)
        self._models[order.model, order.version] = new
        self.peak_mb = max(self.peak_mb, self.used_mb)

        async def load() -> None:
            if await self._fetch(order.model, order.version, ""):
                new.ready = True
                self._finish(order, True)
                self._remove_if_idle(new)
            else:
                self._finish(order, False)
                new.ready = new.leaving = True
                self._remove_if_idle(new)

        return OrderState.ACCEPTED, load

    def _fits(self, order: Order) -> bool:
        if self.used_mb + order.memory_mb <= self.memory_mb:
            return True
        self._overcommits.append(
            {
                "order_id": order.order_id,
                "used_mb": self.used_mb,
                "wanted_mb": order.memory_mb,
                "memory_mb": self.memory_mb,
            }
        )
        return False

    def _remove_if_idle(self, held: HeldModel) -> bool:
        if not held.leaving or held.running > 0 or not held.ready:
            return False
        if self._models.get((held.model, held.version)) is held:
            del self._models[held.model, held.version]
        for order_id in held.unload_orders:
            self._set(order_id, OrderState.DONE)
        return True

    def _finish(self, order: Order, done: bool) -> None:
        self._set(order.order_id, OrderState.DONE if done else OrderState.FAILED)

    def _set(self, order_id: str, state: OrderState) -> None:
        self._orders[order_id] = state
        while len(self._orders) > _REMEMBERED_ORDERS:
            self._orders.popitem(last=False)

    async def _no_work(self) -> None:
        return
