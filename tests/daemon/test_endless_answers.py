"""Streams of engines that go on without end."""

from __future__ import annotations

from contextlib import asynccontextmanager

import anyio
import pytest
from fakes import ANSWER, FakeNode
from test_dispatch import model_request

from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import TargetError
from flamingopond_daemon.attempts import RequestProgress, stream_attempt
from flamingopond_platform.engine import GenerateRequest, TokenChunk

# The engine stops by itself after this many chunks.
SAFETY_CHUNKS = 100_000


class EndlessEngine:
    """Repeats ``chunks`` in one stream."""

    def __init__(self, chunks):
        self.chunks = chunks
        self.sent = 0

    @asynccontextmanager
    async def generate(self, request, *, fresh_connection=False):
        async def items():
            while self.sent < SAFETY_CHUNKS:
                for chunk in self.chunks(self.sent):
                    self.sent += 1
                    yield chunk

        stream = items()
        try:
            yield stream
        finally:
            await stream.aclose()


def chunk(index, *tokens, attempt_id="r1-1"):
    return TokenChunk(attempt_id, index, tokens)


ENDLESS = [
    pytest.param(lambda sent: [chunk(3)], 300, 3, id="empty chunks"),
    pytest.param(lambda sent: [chunk(0, "a", "b")], 300, 3, id="tokens sent again"),
    pytest.param(
        lambda sent: [chunk(0, "a", attempt_id="other")], 300, 3, id="foreign chunks"
    ),
    pytest.param(lambda sent: [chunk(3 + sent, "a")], 9, 9, id="too many tokens"),
]


# Guards against a stream that is read until the reservation of its tokens ends.
@pytest.mark.parametrize(("chunks", "max_chunks", "next_index"), ENDLESS)
def test_endless_stream_fails_the_attempt(chunks, max_chunks, next_index):
    engine = EndlessEngine(chunks)
    progress = RequestProgress(5, next_token_index=3)
    emitted = []

    async def emit(tokens):
        emitted.extend(tokens)

    async def main():
        request = GenerateRequest("r1-1", "m", "p", 9, resume_from=3)
        with pytest.raises(TargetError) as caught:
            await stream_attempt(engine, request, progress, emit, False, lambda: None)
        return caught.value

    error = anyio.run(main)
    assert error.run_state is RunState.RAN
    assert "stream" in str(error)
    assert progress.next_token_index == next_index == 3 + len(emitted)
    assert progress.may_have_run
    assert engine.sent <= max_chunks


# Guards against a limit that fails an engine which sends an answer from its start.
def test_engine_may_send_all_tokens_again():
    sent = [TokenChunk("r1-2", index, (token,)) for index, token in enumerate(ANSWER)]
    node = FakeNode([[3, TargetError("broken")], [*sent[:3], "all"]])
    tokens = []

    async def emit(part):
        tokens.extend(part)

    anyio.run(lambda: node.dispatcher.generate(model_request(), emit))
    assert tuple(tokens) == ANSWER


# Guards against an attempt that ends the request, or isn't counted as broken.
def test_next_attempt_answers_after_an_endless_stream():
    empty = TokenChunk("r1-1", 2, ())
    # Either engine may get the first attempt.
    scripts = [[2, *[empty] * 300, "all"], ["all"]]
    node = FakeNode(scripts, scripts)
    tokens = []

    async def emit(part):
        tokens.extend(part)

    completion = anyio.run(lambda: node.dispatcher.generate(model_request(), emit))
    assert tuple(tokens) == ANSWER
    assert completion.finish_reason == "stop"
    broken = node.dispatcher._metrics.registry.get_sample_value(
        "flamingopond_attempts_total", {"kind": "broken"}
    )
    assert broken == 1
