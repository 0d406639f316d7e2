"""Responses to callers: error bodies and the JSON of completions."""

from __future__ import annotations

import math
import time
from collections.abc import Sequence
from typing import Any

import attrs
import orjson

from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import RequestRefusedError

STATUS_BY_CODE = {
    "invalid_request": 400,
    "idempotency_key_required": 400,
    "unauthenticated": 401,
    "key_withdrawn": 401,
    "forbidden": 403,
    "model_not_found": 404,
    "route_not_found": 404,
    "outcome_unknown": 409,
    "request_too_large": 413,
    "idempotency_key_reused": 422,
    "request_crashes_targets": 422,
    "rate_limited": 429,
    "target_failed": 502,
    "overloaded": 503,
    "limit_unavailable": 503,
    "configuration_stale": 503,
    "store_unavailable": 503,
    "no_target": 503,
    "shutting_down": 503,
    "target_timeout": 504,
}
"""HTTP status by error code; an error during a stream is sent as an event."""

JSON_TYPE = (b"content-type", b"application/json")
STREAM_HEADERS = (
    (b"content-type", b"text/event-stream"),
    (b"cache-control", b"no-store"),
)


@attrs.frozen
class Completion:
    """Finish reason and token counts of a model's answer."""

    finish_reason: str
    prompt_tokens: int
    answer_tokens: int


def error_body(error: RequestRefusedError, request_id: str) -> bytes:
    """Return the error as JSON."""
    return orjson.dumps(
        {
            "error": {
                "code": error.code,
                "message": str(error),
                "run_state": error.run_state.value,
                "request_id": request_id,
                "retry_after_s": error.retry_after,
            }
        }
    )


def error_response(
    error: RequestRefusedError, request_id: str
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Return status, headers and body of an error response."""
    headers = [JSON_TYPE]
    if error.retry_after is not None:
        # The header has whole seconds; rounded down, the caller would retry too early.
        seconds = max(1, math.ceil(error.retry_after))
        headers.append((b"retry-after", str(seconds).encode()))
    return STATUS_BY_CODE.get(error.code, 500), headers, error_body(error, request_id)


def internal_error() -> RequestRefusedError:
    """Return the error for an internal fault; whether the request ran is unknown."""
    return RequestRefusedError(
        "target_failed", "internal error in this node", RunState.UNKNOWN
    )


class CompletionEncoder:
    """Encodes a model's answer as a completion or, with ``chat``, a chat completion.

    The fields that all chunks of a stream share are encoded only once.
    """

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        """Encode the shared fields."""
        self._chat = chat
        self._common_fields: dict[str, Any] = {
            "id": f"{'chatcmpl' if chat else 'cmpl'}-{request_id}",
            "created": int(time.time()),
            "model": model,
        }
        kind = "chat.completion.chunk" if chat else "text_completion"
        head = orjson.dumps({**self._common_fields, "object": kind})[:-1]
        if chat:
            self._chunk_prefix = (
                b"data: " + head + b',"choices":[{"index":0,"delta":{"content":'
            )
            self._chunk_suffix = b'},"finish_reason":null}]}\n\n'
        else:
            self._chunk_prefix = b"data: " + head + b',"choices":[{"index":0,"text":'
            self._chunk_suffix = b',"finish_reason":null}]}\n\n'

    def encode_chunk(self, tokens: Sequence[str]) -> bytes:
        """Return the stream event with ``tokens``."""
        text = tokens[0] if len(tokens) == 1 else "".join(tokens)
        return self._chunk_prefix + orjson.dumps(text) + self._chunk_suffix

    def encode_end(self, completion: Completion) -> bytes:
        """Return the events that end a stream, with finish reason and usage."""
        choice: dict[str, Any] = {"index": 0}
        choice["delta" if self._chat else "text"] = {} if self._chat else ""
        choice["finish_reason"] = completion.finish_reason
        body = {
            **self._common_fields,
            "object": "chat.completion.chunk" if self._chat else "text_completion",
            "choices": [choice],
            "usage": _usage(completion),
        }
        return b"data: " + orjson.dumps(body) + b"\n\ndata: [DONE]\n\n"

    def encode_response(self, text: str, completion: Completion) -> bytes:
        """Return the body of a response that is not streamed."""
        choice: dict[str, Any] = {"index": 0}
        if self._chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        choice["finish_reason"] = completion.finish_reason
        body = {
            **self._common_fields,
            "object": "chat.completion" if self._chat else "text_completion",
            "choices": [choice],
            "usage": _usage(completion),
        }
        return orjson.dumps(body)


def _usage(completion: Completion) -> dict[str, int]:
    prompt, answer = completion.prompt_tokens, completion.answer_tokens
    return {
        "prompt_tokens": prompt,
        "completion_tokens": answer,
        "total_tokens": prompt + answer,
    }
