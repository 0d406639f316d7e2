"""One attempt at a model request on one engine."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import TargetError
from flamingopond_daemon.interfaces import Emit
from flamingopond_platform.engine import (
    Engine,
    GenerateEnd,
    GenerateRequest,
    TokenChunk,
)

# Chunks of one attempt that may bring no new token, besides one for each token that
# the caller already has: an engine may send those again.
MAX_UNUSED_CHUNKS = 256


@attrs.define
class RequestProgress:
    """State of a request over all of its attempts.

    ``next_token_index`` is the index of the next token to send to the caller.
    ``reconnect_engine`` is the engine to try next, over a new connection;
    ``excluded_engines`` have failed.
    """

    prompt_tokens: int
    next_token_index: int = 0
    may_have_run: bool = False
    attempts: int = 0
    excluded_engines: set[str] = attrs.field(factory=set)
    reconnect_engine: str = ""
    last_error: TargetError | None = None

    @property
    def run_state(self) -> RunState:
        """Whether the request ran, as far as this node knows."""
        if self.next_token_index:
            return RunState.RAN
        return RunState.UNKNOWN if self.may_have_run else RunState.NOT_RUN


async def stream_attempt(
    engine: Engine,
    request: GenerateRequest,
    progress: RequestProgress,
    emit: Emit,
    fresh_connection: bool,
    on_dropped_chunk: Callable[[], None],
) -> GenerateEnd:
    """Pass new tokens to ``emit`` and return the end of the stream.

    Tokens that were already passed on are dropped. Raises ``TargetError`` if the
    stream breaks, skips tokens, ends before the answer is complete, or goes on without
    new tokens or beyond ``max_tokens``.
    """
    unused_chunks = 0
    max_unused_chunks = progress.next_token_index + MAX_UNUSED_CHUNKS

    def drop_chunk() -> None:
        nonlocal unused_chunks
        unused_chunks += 1
        if unused_chunks > max_unused_chunks:
            raise TargetError("stream goes on without new tokens", RunState.RAN)

    try:
        async with engine.generate(
            request, fresh_connection=fresh_connection
        ) as stream:
            progress.may_have_run = True
            async for item in stream:
                if item.attempt_id != request.attempt_id:
                    on_dropped_chunk()
                    drop_chunk()
                elif isinstance(item, TokenChunk):
                    tokens = item.tokens
                    overlap = progress.next_token_index - item.index
                    if overlap < 0:
                        raise TargetError(
                            f"stream skips tokens before index {item.index}",
                            RunState.RAN,
                        )
                    if overlap:
                        on_dropped_chunk()
                        tokens = tokens[overlap:]
                    if not tokens:
                        drop_chunk()
                        continue
                    if progress.next_token_index + len(tokens) > request.max_tokens:
                        raise TargetError(
                            f"stream of more than {request.max_tokens} tokens",
                            RunState.RAN,
                        )
                    progress.next_token_index += len(tokens)
                    await emit(tokens)
                else:
                    _check_end(item, progress)
                    return item
    except TargetError as error:
        if error.run_state is not RunState.NOT_RUN:
            progress.may_have_run = True
        raise
    raise TargetError("stream closed without an end message", RunState.RAN)


def _check_end(end: GenerateEnd, progress: RequestProgress) -> None:
    if end.finish_reason == "cancelled":
        raise TargetError("engine cancelled the attempt", RunState.RAN)
    if end.answer_tokens != progress.next_token_index:
        raise TargetError(
            f"engine reports {end.answer_tokens} answer tokens, "
            f"but {progress.next_token_index} were received",
            RunState.RAN,
        )
