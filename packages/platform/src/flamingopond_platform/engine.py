"""Model engines: interface and data types.

All token positions count from 0 within one answer.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import Any, Protocol

import attrs

from flamingopond_core.structures import Priority


class OrderKind(StrEnum):
    """What an order asks an engine to do."""

    LOAD_MODEL = "load_model"
    UNLOAD_MODEL = "unload_model"
    LOAD_ADAPTER = "load_adapter"
    UNLOAD_ADAPTER = "unload_adapter"
    SET_ROLE = "set_role"
    NOOP = "noop"


class OrderState(StrEnum):
    """How far an engine is with an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    FAILED = "failed"


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
    """An engine's own view, published with a lag.

    ``instance`` changes when the engine process restarts. ``waiting`` and
    ``running`` count requests, ``waiting_tokens`` the prompt tokens not yet
    processed. ``orders`` maps recent order ids to their state.
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


@attrs.frozen
class CacheEvent:
    """A prompt-prefix block that an engine has cached or evicted.

    ``sequence`` rises by one; a gap means that events were lost.
    """

    sequence: int
    block: str
    cached: bool


@attrs.frozen
class GenerateRequest:
    """One attempt at a generation.

    ``attempt_id`` is unique for each attempt and echoed with every token;
    ``resume_from`` is the index of the first token still wanted.
    """

    attempt_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: Priority = Priority.STANDARD
    adapter: str = ""
    version: str = ""
    resume_from: int = 0
    parameters: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class TokenChunk:
    """Consecutive tokens of an answer, the first of them at ``index``."""

    attempt_id: str
    index: int
    tokens: tuple[str, ...]


@attrs.frozen
class GenerateEnd:
    """The end of an answer."""

    attempt_id: str
    finish_reason: str
    prompt_tokens: int
    answer_tokens: int


class Engine(Protocol):
    """One model engine, reached at one address."""

    def generate(
        self, request: GenerateRequest
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk | GenerateEnd]]:
        """Open a stream of chunks that closes with a ``GenerateEnd``.

        Leaving the context before the end cancels the generation. Raises
        ``TargetUnreachableError`` if nothing was sent, ``TargetSilentError`` after
        a silence, and ``TargetError`` otherwise.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; unknown attempts are ignored."""

    async def order(self, order: Order) -> OrderState:
        """Give an order once. Raises ``OrderRefusedError`` if it was refused."""

    async def report(self) -> EngineReport:
        """Return the newest published report."""

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return published cache events with a sequence above ``after``."""

    async def export_kv(self, attempt_id: str) -> bytes | None:
        """Return the KV cache of an attempt, or ``None`` if it is gone."""

    async def import_kv(self, attempt_id: str, data: bytes) -> None:
        """Hand the engine a KV cache for the attempt that will resume."""
