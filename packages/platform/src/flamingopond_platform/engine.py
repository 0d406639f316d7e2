"""Model engines: interface and data types.

All token positions count from 0 within one answer.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

import attrs

from flamingopond_core.reports import (
    EngineReport,
    LoadedModel,
    Order,
    OrderAnswer,
    OrderKind,
    OrderState,
)
from flamingopond_core.structures import Priority

__all__ = [
    "CacheEvent",
    "Engine",
    "EngineReport",
    "GenerateEnd",
    "GenerateRequest",
    "LoadedModel",
    "Order",
    "OrderKind",
    "OrderAnswer",
    "OrderState",
    "TokenChunk",
]


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
    """The end of an answer; ``load`` counts running and waiting requests."""

    attempt_id: str
    finish_reason: str
    prompt_tokens: int
    answer_tokens: int
    load: int = 0


class Engine(Protocol):
    """One model engine, reached at one address."""

    def generate(
        self, request: GenerateRequest, *, fresh_connection: bool = False
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk | GenerateEnd]]:
        """Open a stream of chunks that closes with a ``GenerateEnd``.

        Leaving the context before the end cancels the generation.
        ``fresh_connection`` opens a new connection instead of a pooled one. Raises
        ``TargetUnreachableError`` if nothing was sent, ``TargetSilentError`` after
        a silence, and ``TargetError`` otherwise.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; unknown attempts are ignored."""

    async def order(self, order: Order) -> OrderAnswer:
        """Give an order once. Raises ``OrderRefusedError`` if it was refused."""

    async def report(self) -> EngineReport:
        """Return the newest published report."""

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return published cache events with a sequence above ``after``."""

    async def export_kv(self, attempt_id: str) -> bytes | None:
        """Return the KV cache of an attempt, or ``None`` if it is gone."""

    async def import_kv(self, attempt_id: str, data: bytes) -> None:
        """Hand the engine a KV cache for the attempt that will resume."""
