"""Entry node of the baselines: static placement and equal shares of each rate limit.

The benchmark runs it as ``python -m flamingopond_bench.baselines settings.json``.
Each node has a token bucket with its equal share of every rate and burst. It picks
the next engine that holds the model (``round_robin``) or the one whose last report
shows the fewest requests (``least_loaded``).
"""

from __future__ import annotations

import itertools
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Annotated
from uuid import uuid4

import anyio
import anyio.abc
import attrs
import cattrs
import orjson
import typer

from flamingopond_bench.exact_bucket import ExactBucket
from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError, TargetError
from flamingopond_daemon.requests import estimate_tokens, parse_body
from flamingopond_daemon.responses import Completion, CompletionEncoder, error_body
from flamingopond_platform.engine import GenerateEnd, GenerateRequest
from flamingopond_platform.engine_client import EngineClient
from flamingopond_standins.command import run_server
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.http_server import HttpRequest, HttpResponse, HttpServer

REPORT_INTERVAL_S = 0.5


@attrs.frozen
class ServedModel:
    """Model or adapter, and the addresses of the engines that hold it."""

    model: str
    version: str
    adapter: str
    engines: tuple[str, ...]


@attrs.frozen
class NodeLimit:
    """A node's share of a workspace's rate limit; ``key`` is the bearer key."""

    key: str
    workspace: str
    rate: float
    burst: float
    premium: bool


@attrs.frozen(kw_only=True)
class BaselineSettings:
    """Settings of one entry node; ``served`` is keyed by model or adapter name."""

    listen: str
    policy: str
    served: dict[str, ServedModel]
    limits: tuple[NodeLimit, ...]


class BaselineEntry(HttpServer):
    """Forwards chat requests to engines."""

    def __init__(self, settings: BaselineSettings) -> None:
        """Create the engine clients and the token buckets."""
        self._settings = settings
        addresses = {a for model in settings.served.values() for a in model.engines}
        self._engines = {address: EngineClient(address) for address in addresses}
        self._active_requests = dict.fromkeys(addresses, 0)
        self._request_count = itertools.count()
        self._limits_by_key = {limit.key: limit for limit in settings.limits}
        self._buckets = {
            limit.key: ExactBucket(limit.rate, limit.burst) for limit in settings.limits
        }
        super().__init__(self._handle, FaultTable(), dict)

    async def run(
        self,
        listen: str = "127.0.0.1:0",
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve requests and poll engine reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            for address in self._engines:
                tasks.start_soon(self._poll, address)
            await super().run(listen, task_status=task_status)

    async def _poll(self, address: str) -> None:
        while True:
            try:
                report = await self._engines[address].report()
                self._active_requests[address] = report.running + report.waiting
            except TargetError:
                pass
            await anyio.sleep(REPORT_INTERVAL_S)

    def _choose(self, engines: tuple[str, ...]) -> str:
        number = next(self._request_count)
        if self._settings.policy == "round_robin":
            return engines[number % len(engines)]
        # Rotate the candidates so that ties are broken evenly.
        start = number % len(engines)
        return min(
            engines[start:] + engines[:start], key=self._active_requests.__getitem__
        )

    async def _handle(self, message: HttpRequest) -> HttpResponse:
        request_id = uuid4().hex
        try:
            return self._generate(message, request_id)
        except RequestRefusedError as error:
            status = 429 if error.code == "rate_limited" else 400
            return HttpResponse(status, error_body(error, request_id))

    def _generate(self, message: HttpRequest, request_id: str) -> HttpResponse:
        key = message.headers.get("authorization", "").removeprefix("Bearer ")
        limit = self._limits_by_key.get(key)
        if limit is None:
            raise RequestRefusedError("unauthenticated", "no valid bearer key")
        body = parse_body(message.body, chat=True)
        served = self._settings.served[body.model]
        max_tokens = body.max_tokens or 256
        reserved_tokens = estimate_tokens(body.prompt) + max_tokens
        if not self._buckets[key].try_take(reserved_tokens, time.monotonic()):
            raise RequestRefusedError("rate_limited", "this node's share is used up")
        generate = GenerateRequest(
            attempt_id=request_id,
            model=served.model,
            prompt=body.prompt,
            max_tokens=max_tokens,
            priority=Priority.PREMIUM if limit.premium else Priority.STANDARD,
            adapter=served.adapter,
            version=served.version,
        )
        encoder = CompletionEncoder(request_id, body.model, chat=True)
        return HttpResponse(
            stream=self._stream(served, generate, encoder, key, reserved_tokens),
            content_type="text/event-stream",
        )

    async def _stream(
        self,
        served: ServedModel,
        generate: GenerateRequest,
        encoder: CompletionEncoder,
        key: str,
        reserved_tokens: int,
    ) -> AsyncIterator[bytes]:
        used_tokens = estimate_tokens(generate.prompt)
        engine = self._engines[self._choose(served.engines)]
        try:
            async with engine.generate(generate) as items:
                async for item in items:
                    if isinstance(item, GenerateEnd):
                        completion = Completion(
                            item.finish_reason, item.prompt_tokens, item.answer_tokens
                        )
                        yield encoder.encode_end(completion)
                    else:
                        used_tokens += len(item.tokens)
                        yield encoder.encode_chunk(item.tokens)
        finally:
            self._buckets[key].refund(reserved_tokens - used_tokens, time.monotonic())


def main(settings_file: Annotated[Path, typer.Argument()]) -> None:
    """Run one entry node."""
    data = orjson.loads(settings_file.read_bytes())
    settings = cattrs.structure(data, BaselineSettings)
    run_server(BaselineEntry(settings), settings.listen)


if __name__ == "__main__":
    typer.run(main)
