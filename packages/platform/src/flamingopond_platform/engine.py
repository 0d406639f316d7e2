"""Model engines: interface and data types.

Token positions start at 0 with the first token of an output.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any, Protocol

import attrs

from flamingopond_core.enums import Priority
from flamingopond_core.reports import (
    EngineReport,
    LoadedModel,
    Order,
    OrderAnswer,
    OrderKind,
    OrderState,
)

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

    ``sequence`` rises by one with each event; a gap means that events were lost.
    """

    sequence: int
    block: str
    cached: bool


@attrs.frozen
class GenerateRequest:
    """One attempt at a generation.

    ``attempt_id`` is unique for each attempt and repeated in every chunk;
    ``resume_from`` is the index of the first token to return.
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
    """Consecutive output tokens, the first of them at ``index``."""

    attempt_id: str
    index: int
    tokens: tuple[str, ...]


@attrs.frozen
class GenerateEnd:
    """The end of an output.

    ``load`` counts the running and waiting requests of the engine.
    """

    attempt_id: str
    finish_reason: str
    prompt_tokens: int
    answer_tokens: int
    load: int = 0


class Engine(Protocol):
    """A model engine at one address."""

    def generate(
        self, request: GenerateRequest, *, fresh_connection: bool = False
    ) -> AbstractAsyncContextManager[AsyncIterator[TokenChunk | GenerateEnd]]:
        """Open a stream of chunks that ends with a ``GenerateEnd``.

        Leaving the context before the end cancels the generation.
        ``fresh_connection`` opens a new connection instead of reusing one. Raises
        ``TargetUnreachableError`` if nothing was sent, ``TargetTimeoutError`` on a
        timeout, and ``TargetError`` otherwise.
        """

    async def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; does nothing if the engine does not know it."""

    async def order(self, order: Order) -> OrderAnswer:
        """Send an order without retries. Raises ``OrderRefusedError`` if refused."""

    async def report(self) -> EngineReport:
        """Return the engine's latest report."""

    async def cache_events(self, after: int) -> Sequence[CacheEvent]:
        """Return the cache events with a sequence number above ``after``."""

    async def export_kv(self, attempt_id: str) -> bytes | None:
        """Return the KV cache of an attempt, or ``None`` if it is gone."""

    async def import_kv(self, attempt_id: str, data: bytes) -> None:
        """Send a KV cache for the attempt that resumes the generation."""
