"""Engine orders and engine reports.

They belong to the core because ledgers and planners use them; the platform package
re-exports them next to the engine interface.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

import attrs


class OrderKind(StrEnum):
    """What an order asks an engine to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
    NOOP = "noop"


class OrderState(StrEnum):
    """Progress of an order on an engine."""

    ACCEPTED = "accepted"
    DONE = "done"
    FAILED = "failed"


@attrs.frozen
class OrderAnswer:
    """An engine's direct answer to an order.

    ``instance`` names the engine process that answered; empty if unknown.
    """

    state: OrderState
    instance: str = ""


@attrs.frozen
class Order:
    """An order to an engine; ``fencing`` is the epoch of the ordering owner.

    ``model``, ``version`` and ``adapter`` name the subject; ``memory_mb`` is the
    memory that the subject takes on the accelerator.
    """

    order_id: str
    kind: OrderKind
    fencing: int
    model: str = ""
    version: str = ""
    adapter: str = ""
    memory_mb: int = 0
    role: str = ""


@attrs.frozen
class LoadedModel:
    """A model version that an engine holds or is loading."""

    model: str
    version: str
    memory_mb: int
    ready: bool
    adapters: tuple[str, ...] = ()


@attrs.frozen
class EngineReport:
    """An engine's own view of its state, published with a delay.

    ``instance`` changes when the engine process restarts. ``waiting`` and ``running``
    count requests, ``waiting_tokens`` the prompt tokens not yet processed. ``orders``
    maps recent order ids to their state.
    """

    instance: str
    sequence: int
    memory_mb: int
    models: tuple[LoadedModel, ...] = ()
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    role: str = "serve"
    draining: bool = False
    fencing: int = 0
    orders: Mapping[str, OrderState] = attrs.field(factory=dict)
