"""Client for the daemons' public API, for the demonstration and the tests."""

from __future__ import annotations

from collections.abc import Mapping
from types import TracebackType
from typing import Any

import attrs
import httpx
import orjson
from httpx_sse import aconnect_sse

from flamingopond_core.enums import ObjectKind
from flamingopond_core.objects import Adapter, Model, ObjectId
from flamingopond_standins.answers import expected_text


@attrs.define
class CompletionResult:
    """Result of a model request; ``error`` is the error body or event, if any."""

    status: int = 0
    text: str = ""
    finish_reason: str = ""
    done: bool = False
    chunks: int = 0
    error: Mapping[str, Any] = attrs.field(factory=dict)

    @property
    def code(self) -> str:
        """The error code, or an empty string."""
        return str(self.error.get("code", ""))


class Caller:
    """Sends requests to one daemon with one bearer key."""

    def __init__(self, url: str, key: str, timeout_s: float = 60.0) -> None:
        """Create the connection pool; without ``key``, requests are unauthenticated."""
        self.url = url
        self._client = httpx.AsyncClient(
            base_url=url,
            headers={"authorization": f"Bearer {key}"} if key else {},
            timeout=timeout_s,
            trust_env=False,
        )

    async def __aenter__(self) -> Caller:
        """Return this client."""
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def list_models(self) -> list[str]:
        """Return the names of the models that the key may use."""
        response = await self._client.get("/v1/models")
        response.raise_for_status()
        return [entry["id"] for entry in orjson.loads(response.content)["data"]]

    async def complete(
        self, model: str, prompt: str, max_tokens: int = 64
    ) -> CompletionResult:
        """Send a model request without streaming."""
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        response = await self._client.post(
            "/v1/completions", content=orjson.dumps(body)
        )
        data = orjson.loads(response.content)
        if response.status_code != 200:
            return CompletionResult(response.status_code, error=data.get("error", {}))
        choice = data["choices"][0]
        return CompletionResult(200, choice["text"], choice["finish_reason"], done=True)

    async def stream(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 64,
        answer: CompletionResult | None = None,
    ) -> CompletionResult:
        """Send a streaming model request; ``answer`` is updated with each event."""
        answer = answer or CompletionResult()
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        async with aconnect_sse(
            self._client, "POST", "/v1/completions", content=orjson.dumps(body)
        ) as source:
            answer.status = source.response.status_code
            if answer.status != 200:
                content = await source.response.aread()
                answer.error = orjson.loads(content).get("error", {})
                return answer
            async for event in source.aiter_sse():
                if event.event == "error":
                    answer.error = orjson.loads(event.data)["error"]
                elif event.data == "[DONE]":
                    answer.done = True
                else:
                    choice = orjson.loads(event.data)["choices"][0]
                    answer.text += choice["text"]
                    answer.chunks += 1
                    answer.finish_reason = choice["finish_reason"] or ""
        return answer

    async def call_service(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        idempotency_key: str | None = None,
    ) -> httpx.Response:
        """Send a request to a service or an open route."""
        headers = {"idempotency-key": idempotency_key} if idempotency_key else {}
        return await self._client.request(method, path, content=body, headers=headers)


def expected_answer(
    objects: Mapping[ObjectId, Any], name: str, prompt: str, max_tokens: int
) -> str:
    """Return the text that an engine stand-in generates for a model request."""
    adapter: Adapter | None = objects.get((ObjectKind.ADAPTER, name))
    model_name = adapter.model if adapter else name
    model: Model = objects[ObjectKind.MODEL, model_name]
    return expected_text(
        model_name, model.version, name if adapter else "", prompt, max_tokens
    )
