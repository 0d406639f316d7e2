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


@attrs.define
class Progress:
    """How far a request is over all of its attempts.

    ``next_index`` is the first token that the caller still lacks; ``sent`` tells
    whether an engine may have worked on the request. ``same_engine`` names the
    engine to try next over a new connection; ``excluded`` ones have failed.
    """

    prompt_tokens: int
    next_index: int = 0
    sent: bool = False
    attempts: int = 0
    excluded: set[str] = attrs.field(factory=set)
    same_engine: str = ""
    last: TargetError | None = None

    @property
    def run_state(self) -> RunState:
        """Whether the request ran, as far as this node knows."""
        if self.next_index:
            return RunState.RAN
        return RunState.UNKNOWN if self.sent else RunState.NOT_RUN


async def stream_attempt(
    engine: Engine,
    request: GenerateRequest,
    progress: Progress,
    emit: Emit,
    fresh_connection: bool,
    on_dropped: Callable[[], None],
) -> GenerateEnd:
    """Pass the attempt's new tokens to ``emit`` and return its end.

    Tokens that the caller has are dropped. Raises ``TargetError`` if the stream
    breaks, leaves a gap, or ends before the answer is whole.
    """
    try:
        async with engine.generate(
            request, fresh_connection=fresh_connection
        ) as stream:
            progress.sent = True
            async for item in stream:
                if item.attempt_id != request.attempt_id:
                    on_dropped()
                elif isinstance(item, TokenChunk):
                    tokens = item.tokens
                    behind = progress.next_index - item.index
                    if behind < 0:
                        raise TargetError(
                            f"tokens missing before index {item.index}", RunState.RAN
                        )
                    if behind:
                        on_dropped()
                        tokens = tokens[behind:]
                        if not tokens:
                            continue
                    progress.next_index += len(tokens)
                    await emit(tokens)
                else:
                    _check_end(item, progress)
                    return item
    except TargetError as error:
        if error.run_state is not RunState.NOT_RUN:
            progress.sent = True
        raise
    raise TargetError("the stream closed before its end", RunState.RAN)


def _check_end(end: GenerateEnd, progress: Progress) -> None:
    if end.finish_reason == "cancelled":
        raise TargetError("the engine cancelled the attempt", RunState.RAN)
    if end.answer_tokens != progress.next_index:
        raise TargetError(
            f"the answer has {end.answer_tokens} tokens, "
            f"but {progress.next_index} arrived",
            RunState.RAN,
        )
