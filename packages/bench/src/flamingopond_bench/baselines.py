"""Entry process of the baselines: static placement and a share of each limit.

Run by the benchmark as ``python -m flamingopond_bench.baselines settings.json``.
A node keeps a token bucket with its equal share of every rate and burst. The engine
is the next holder of the model in turn (``round_robin``) or the one whose last
report shows the fewest requests (``least_loaded``).
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

from flamingopond_bench.exactbucket import ExactBucket
from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError, TargetError
from flamingopond_daemon.requests import estimate_tokens, parse_body
from flamingopond_daemon.responses import Completion, CompletionEncoder, error_body
from flamingopond_platform.engine import GenerateEnd, GenerateRequest
from flamingopond_platform.engine_client import EngineClient
from flamingopond_standins.command import run_server
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.http_server import HttpReply, HttpRequest, HttpServer

REPORT_PERIOD_S = 0.5


@attrs.frozen
class Placed:
    """A name that callers use, and the addresses of the engines that hold it."""

    model: str
    version: str
    adapter: str
    engines: tuple[str, ...]


@attrs.frozen
class Limit:
    """A node's share of a workspace's contract; ``key`` is the bearer key."""

    key: str
    workspace: str
    rate: float
    burst: float
    premium: bool


@attrs.frozen(kw_only=True)
class BaselineSettings:
    """What one entry node knows."""

    listen: str
    policy: str
    served: dict[str, Placed]
    limits: tuple[Limit, ...]


class BaselineEntry(HttpServer):
    """Forwards chat requests to engines."""

    def __init__(self, settings: BaselineSettings) -> None:
        """Prepare clients of all engines."""
        self._settings = settings
        addresses = {a for placed in settings.served.values() for a in placed.engines}
        self._engines = {address: EngineClient(address) for address in addresses}
        self._loads = dict.fromkeys(addresses, 0)
        self._turns = itertools.count()
        self._limits = {limit.key: limit for limit in settings.limits}
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
        """Serve and poll reports until cancelled."""
        async with anyio.create_task_group() as tasks:
            for address in self._engines:
                tasks.start_soon(self._poll, address)
            await super().run(listen, task_status=task_status)

    async def _poll(self, address: str) -> None:
        while True:
            try:
                report = await self._engines[address].report()
                self._loads[address] = report.running + report.waiting
            except TargetError:
                pass
            await anyio.sleep(REPORT_PERIOD_S)

    def _choose(self, engines: tuple[str, ...]) -> str:
        turn = next(self._turns)
        if self._settings.policy == "round_robin":
            return engines[turn % len(engines)]
        # The first of equal engines differs from turn to turn.
        start = turn % len(engines)
        return min(engines[start:] + engines[:start], key=self._loads.__getitem__)

    async def _handle(self, request: HttpRequest) -> HttpReply:
        request_id = uuid4().hex
        try:
            return self._generate(request, request_id)
        except RequestRefusedError as error:
            status = 429 if error.code == "rate_limited" else 400
            return HttpReply(status, error_body(error, request_id))

    def _generate(self, message: HttpRequest, request_id: str) -> HttpReply:
        key = message.headers.get("authorization", "").removeprefix("Bearer ")
        limit = self._limits.get(key)
        if limit is None:
            raise RequestRefusedError("unauthenticated", "no valid bearer key")
        body = parse_body(message.body, chat=True)
        placed = self._settings.served[body.model]
        max_tokens = body.max_tokens or 256
        wanted = estimate_tokens(body.prompt) + max_tokens
        if not self._buckets[key].take(wanted, time.monotonic()):
            raise RequestRefusedError("rate_limited", "this node's share is used up")
        generate = GenerateRequest(
            attempt_id=request_id,
            model=placed.model,
            prompt=body.prompt,
            max_tokens=max_tokens,
            priority=Priority.PREMIUM if limit.premium else Priority.STANDARD,
            adapter=placed.adapter,
            version=placed.version,
        )
        encoder = CompletionEncoder(request_id, body.model, chat=True)
        return HttpReply(
            stream=self._stream(placed, generate, encoder, key, wanted),
            content_type="text/event-stream",
        )

    async def _stream(
        self,
        placed: Placed,
        generate: GenerateRequest,
        encoder: CompletionEncoder,
        key: str,
        wanted: int,
    ) -> AsyncIterator[bytes]:
        used = estimate_tokens(generate.prompt)
        engine = self._engines[self._choose(placed.engines)]
        try:
            async with engine.generate(generate) as items:
                async for item in items:
                    if isinstance(item, GenerateEnd):
                        completion = Completion(
                            item.finish_reason, item.prompt_tokens, item.answer_tokens
                        )
                        yield encoder.encode_end(completion)
                    else:
                        used += len(item.tokens)
                        yield encoder.encode_chunk(item.tokens)
        finally:
            self._buckets[key].give_back(wanted - used, time.monotonic())


def main(settings_file: Annotated[Path, typer.Argument()]) -> None:
    """Run one entry node."""
    data = orjson.loads(settings_file.read_bytes())
    settings = cattrs.structure(data, BaselineSettings)
    run_server(BaselineEntry(settings), settings.listen)


if __name__ == "__main__":
    typer.run(main)
