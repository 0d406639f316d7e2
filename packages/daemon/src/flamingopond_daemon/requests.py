"""Parsing and validation of model requests."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
import orjson

from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError

MAX_BODY_BYTES = 4 * 1024 * 1024
_DEFAULT_ANSWER_TOKENS = 256
# Generation parameters that engines accept. Other fields of the body are not
# forwarded, so that nothing unchecked reaches a target.
_FORWARDED_PARAMETERS = (
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
    """A validated model request of a workspace.

    ``model`` is the base model; ``adapter`` is empty if none is requested.
    ``max_tokens`` limits the answer, ``weight`` is that of the contract, and
    ``fingerprint`` is the same if a request is sent again.
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
    """The parsed body of a model request, not yet checked against a contract."""

    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    parameters: Mapping[str, Any]


def estimate_tokens(text: str) -> int:
    """Return an estimate of the number of tokens in ``text``.

    A token usually has four bytes on average. Text of short words has more tokens,
    so each word counts as at least one. The engine's own count is charged later.
    """
    return max(len(text.split()), -(-len(text.encode()) // 4), 1)


def parse_body(body: bytes, chat: bool) -> ModelBody:
    """Parse the JSON of a completion or, with ``chat``, a chat completion request.

    Raises ``RequestRefusedError`` with code ``invalid_request``.
    """
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise _invalid_request(f"the body is not JSON: {error}") from None
    if not isinstance(data, dict):
        raise _invalid_request("the body must be a JSON object")
    model = data.get("model")
    if not isinstance(model, str) or not model:
        raise _invalid_request("'model' must be a non-empty string")
    prompt = _chat_prompt(data.get("messages")) if chat else data.get("prompt")
    if not isinstance(prompt, str) or not prompt:
        raise _invalid_request("'prompt' must be a non-empty string")
    stream = data.get("stream", False)
    if not isinstance(stream, bool):
        raise _invalid_request("'stream' must be true or false")
    if data.get("n", 1) != 1:
        raise _invalid_request("'n' must be 1")
    max_tokens = data.get("max_completion_tokens", data.get("max_tokens"))
    if max_tokens is not None and (
        isinstance(max_tokens, bool)
        or not isinstance(max_tokens, int)
        or max_tokens < 1
    ):
        raise _invalid_request("'max_tokens' must be a positive integer")
    return ModelBody(
        model=model,
        prompt=prompt,
        max_tokens=max_tokens,
        stream=stream,
        parameters={key: data[key] for key in _FORWARDED_PARAMETERS if key in data},
    )


def _chat_prompt(messages: Any) -> str:
    if not isinstance(messages, list) or not messages:
        raise _invalid_request("'messages' must be a non-empty list")
    lines = []
    for message in messages:
        role = message.get("role") if isinstance(message, dict) else None
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(role, str) or not isinstance(content, str):
            raise _invalid_request(
                "each message needs the strings 'role' and 'content'"
            )
        lines.append(f"{role}: {content}\n")
    lines.append("assistant: ")
    return "".join(lines)


def limit_answer_tokens(body: ModelBody, contract_limit: int) -> int:
    """Return the maximum number of answer tokens for the request."""
    return min(body.max_tokens or _DEFAULT_ANSWER_TOKENS, contract_limit)


def _invalid_request(message: str) -> RequestRefusedError:
    return RequestRefusedError("invalid_request", message)
