"""Callers' model requests: parsing and checks."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError

MAX_BODY_BYTES = 4 * 1024 * 1024
_DEFAULT_ANSWER_TOKENS = 256
# Parameters that engines take; anything else in the body is not passed on, so
# that no field of a caller reaches a target unseen.
_PARAMETERS = (
    "temperature",
    "top_p",
    "top_k",
    "seed",
    "stop",
    "presence_penalty",
    "frequency_penalty",
)


@attrs.frozen
class ModelRequest:
    """A checked model request of one workspace.

    ``model`` is the base model, ``adapter`` is empty without one. ``max_tokens``
    limits the answer, ``weight`` is the contract's, and ``fingerprint`` is equal for
    the same request sent again.
    """

    request_id: str
    workspace: str
    priority: Priority
    model: str
    version: str
    adapter: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    weight: float
    fingerprint: str
    parameters: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class ModelBody:
    """The body of a model request, before it is checked against a contract."""

    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    parameters: Mapping[str, Any]


def count_tokens(text: str) -> int:
    """Return an estimate of the tokens in ``text``.

    A fourth of the bytes is the usual mean; a text of short words has more. The
    engine's own count is charged in the end.
    """
    return max(len(text.split()), -(-len(text.encode()) // 4), 1)


def parse_body(body: bytes, chat: bool) -> ModelBody:
    """Read the JSON of a completion or ``chat`` completion request.

    Raises ``RequestRefusedError`` with ``invalid_request``.
    """
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _invalid(f"the body is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise _invalid("the body must be a JSON object")
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise _invalid("'model' must be a non-empty string")
    prompt = _chat_prompt(data.get("messages")) if chat else data.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _invalid("'prompt' must be a non-empty string")
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise _invalid("'stream' must be true or false")
    if data.get("n", 1) != 1:
        raise _invalid("'n' must be 1")
    max_tokens = data.get("max_completion_tokens", data.get("max_tokens"))
    if max_tokens is not None and (
        isinstance(max_tokens, bool)
        or not isinstance(max_tokens, int)
        or max_tokens < 1
    ):
        raise _invalid("'max_tokens' must be a positive integer")
    return ModelBody(
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        stream=stream,
        parameters={key: data[key] for key in _PARAMETERS if key in data},
    )


def _chat_prompt(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        raise _invalid("'messages' must be a non-empty list")
    lines = []
    for message in messages:
        role = message.get("role") if isinstance(message, dict) else None
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(role, str) or not isinstance(content, str):
            raise _invalid("each message needs the strings 'role' and 'content'")
        lines.append(f"{role}: {content}\n")
    lines.append("assistant: ")
    return "".join(lines)


def answer_limit(body: ModelBody, contract_limit: int) -> int:
    """Return the most answer tokens that the request may get."""
    return min(body.max_tokens or _DEFAULT_ANSWER_TOKENS, contract_limit)


def _invalid(message: str) -> RequestRefusedError:
    return RequestRefusedError("invalid_request", message)
