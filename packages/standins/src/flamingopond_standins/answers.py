"""Deterministic answers of the fake engine, so that tests can predict them."""

from __future__ import annotations

from hashlib import sha256


def prompt_token_count(prompt: str) -> int:
    """Return the number of prompt tokens: one per 4 UTF-8 bytes, rounded up."""
    return -(-len(prompt.encode()) // 4)


def answer_token_count(
    model: str, version: str, adapter: str, prompt: str, max_tokens: int
) -> int:
    """Return the number of answer tokens: 16 to 255, capped at ``max_tokens``."""
    digest = answer_digest(model, version, adapter, prompt)
    return min(max_tokens, 16 + digest[0] % 240)


def expected_tokens(
    model: str, version: str, adapter: str, prompt: str, max_tokens: int
) -> tuple[str, ...]:
    """Return the tokens that every fake engine generates for this request."""
    digest = answer_digest(model, version, adapter, prompt)
    count = answer_token_count(model, version, adapter, prompt, max_tokens)
    return tuple(answer_token(digest, index) for index in range(count))


def expected_text(
    model: str, version: str, adapter: str, prompt: str, max_tokens: int
) -> str:
    """Return the complete answer as text."""
    return "".join(expected_tokens(model, version, adapter, prompt, max_tokens))


def answer_token(digest: bytes, index: int) -> str:
    """Return the token at ``index`` of the answer identified by ``digest``."""
    digits = sha256(digest + index.to_bytes(4, "big")).hexdigest()[:5]
    return digits if index == 0 else f" {digits}"


def answer_digest(model: str, version: str, adapter: str, prompt: str) -> bytes:
    """Return the digest from which the tokens of the answer are derived."""
    text = "\0".join((model, version, adapter, prompt))
    return sha256(text.encode()).digest()
