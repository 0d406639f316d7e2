"""Accelerator memory and orders of the fake engine."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from flamingopond_platform.engine import LoadedModel, Order, OrderKind, OrderState

# An order whose id is among this many newest ones is not executed again.
_MAX_REMEMBERED_ORDERS = 1024


class FencedError(Exception):
    """The order has a lower fencing token than an earlier one."""


@attrs.define
class HeldModel:
    """A model version that is loaded, being loaded or being unloaded.

    A model with ``unloading`` set is removed when its last request has ended.
    """

    model: str
    version: str
    memory_mb: int
    ready: bool = False
    unloading: bool = False
    unload_order_ids: list[str] = attrs.field(factory=list)
    running_requests: int = 0
    adapters: dict[str, int] = attrs.field(factory=dict)
    loading_mb: int = 0

    @property
    def total_mb(self) -> int:
        """Memory of the model and its adapters, including adapters being loaded."""
        return self.memory_mb + self.loading_mb + sum(self.adapters.values())


class EngineMemory:
    """Holds models within ``memory_mb`` and executes orders.

    ``load_weights`` gets a model, a version and an adapter (empty for the model
    itself), loads the weights and returns whether that succeeded.
    """

    def __init__(
        self,
        memory_mb: int,
        checks_fencing: bool,
        load_weights: Callable[[str, str, str], Awaitable[bool]],
        overcommits: list[dict[str, Any]],
    ) -> None:
        """Start empty; loads that do not fit are recorded in ``overcommits``."""
        self.memory_mb = memory_mb
        self.fencing = 0
        self.role = "serve"
        self.peak_mb = 0
        self._checks_fencing = checks_fencing
        self._load_weights = load_weights
        self._overcommits = overcommits
        self._models: dict[tuple[str, str], HeldModel] = {}
        self._orders: OrderedDict[str, OrderState] = OrderedDict()

    @property
    def used_mb(self) -> int:
        """Memory of all models, including those being loaded or unloaded."""
        return sum(held_model.total_mb for held_model in self._models.values())

    @property
    def orders(self) -> dict[str, OrderState]:
        """States of the newest orders, by id."""
        return dict(self._orders)

    def loaded(self) -> tuple[LoadedModel, ...]:
        """Return the models for the engine's report."""
        return tuple(
            LoadedModel(
                held_model.model,
                held_model.version,
                held_model.total_mb,
                held_model.ready and not held_model.unloading,
                tuple(sorted(held_model.adapters)),
            )
            for held_model in self._models.values()
        )

    def preload(self, model: str, version: str, memory_mb: int) -> None:
        """Add a loaded model. Raises ``ValueError`` if it does not fit."""
        if self.used_mb + memory_mb > self.memory_mb:
            raise ValueError(f"{model} does not fit in {self.memory_mb} MB")
        self._models[model, version] = HeldModel(model, version, memory_mb, ready=True)
        self.peak_mb = max(self.peak_mb, self.used_mb)

    def find(self, model: str, version: str, adapter: str) -> HeldModel | None:
        """Return the model that serves a request; without version, the newest one."""
        matches = [
            held_model
            for held_model in self._models.values()
            if held_model.model == model
            and held_model.ready
            and not held_model.unloading
            and (not version or held_model.version == version)
            and (not adapter or adapter in held_model.adapters)
        ]
        return max(matches, key=lambda held_model: held_model.version, default=None)

    def release(self, held_model: HeldModel) -> None:
        """Record that a request ended; unload the model if it waited for this."""
        held_model.running_requests -= 1
        self._remove_if_idle(held_model)

    def accept(self, order: Order) -> tuple[OrderState, Callable[[], Awaitable[None]]]:
        """Check an order and reserve its memory.

        Returns the order's state and a function that completes the order. Raises
        ``FencedError``.
        """
        if self._checks_fencing:
            if order.fencing < self.fencing:
                raise FencedError(f"fencing number is below {self.fencing}")
            self.fencing = order.fencing
        if order.order_id in self._orders:
            return self._orders[order.order_id], self._do_nothing
        state, completion = self._begin(order)
        self._set_state(order.order_id, state)
        return state, completion

    def _begin(self, order: Order) -> tuple[OrderState, Callable[[], Awaitable[None]]]:
        held_model = self._models.get((order.model, order.version))
        if order.kind is OrderKind.LOAD_MODEL:
            return self._begin_load(order, held_model)
        if order.kind is OrderKind.UNLOAD_MODEL:
            if held_model is None:
                return OrderState.DONE, self._do_nothing
            held_model.unloading = True
            if self._remove_if_idle(held_model):
                return OrderState.DONE, self._do_nothing
            held_model.unload_order_ids.append(order.order_id)
            return OrderState.ACCEPTED, self._do_nothing
        if order.kind is OrderKind.LOAD_ADAPTER:
            if held_model is None or held_model.unloading:
                return OrderState.FAILED, self._do_nothing
            if not self._check_fits(order):
                return OrderState.FAILED, self._do_nothing
            held_model.loading_mb += order.memory_mb
            self.peak_mb = max(self.peak_mb, self.used_mb)

            async def load_adapter() -> None:
                succeeded = await self._load_weights(
                    order.model, order.version, order.adapter
                )
                held_model.loading_mb -= order.memory_mb
                if succeeded:
                    held_model.adapters[order.adapter] = order.memory_mb
                self._finish(order, succeeded)

            return OrderState.ACCEPTED, load_adapter
        if order.kind is OrderKind.UNLOAD_ADAPTER:
            if held_model is not None:
                held_model.adapters.pop(order.adapter, None)
        elif order.kind is OrderKind.SET_ROLE:
            self.role = order.role
        return OrderState.DONE, self._do_nothing

    def _begin_load(
        self, order: Order, held_model: HeldModel | None
    ) -> tuple[OrderState, Callable[[], Awaitable[None]]]:
        if held_model is not None:
            succeeded = held_model.ready and not held_model.unloading
            return (
                OrderState.DONE if succeeded else OrderState.FAILED
            ), self._do_nothing
        if not self._check_fits(order):
            return OrderState.FAILED, self._do_nothing
        new = HeldModel(order.model, order.version, order.memory_mb)
        self._models[order.model, order.version] = new
        self.peak_mb = max(self.peak_mb, self.used_mb)

        async def load() -> None:
            if await self._load_weights(order.model, order.version, ""):
                new.ready = True
                self._finish(order, True)
                self._remove_if_idle(new)
            else:
                self._finish(order, False)
                new.ready = new.unloading = True
                self._remove_if_idle(new)

        return OrderState.ACCEPTED, load

    def _check_fits(self, order: Order) -> bool:
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

    def _remove_if_idle(self, held_model: HeldModel) -> bool:
        if (
            not held_model.unloading
            or held_model.running_requests > 0
            or not held_model.ready
        ):
            return False
        if self._models.get((held_model.model, held_model.version)) is held_model:
            del self._models[held_model.model, held_model.version]
        for order_id in held_model.unload_order_ids:
            self._set_state(order_id, OrderState.DONE)
        return True

    def _finish(self, order: Order, succeeded: bool) -> None:
        self._set_state(
            order.order_id, OrderState.DONE if succeeded else OrderState.FAILED
        )

    def _set_state(self, order_id: str, state: OrderState) -> None:
        self._orders[order_id] = state
        while len(self._orders) > _MAX_REMEMBERED_ORDERS:
            self._orders.popitem(last=False)

    async def _do_nothing(self) -> None:
        return
