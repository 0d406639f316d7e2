"""Fake model engine."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Annotated, Any
from uuid import uuid4

import anyio
import anyio.abc
import attrs
import httpx
import typer

from flamingopond_platform.engine import EngineReport, GenerateRequest, Order
from flamingopond_platform.wire import decode, encode
from flamingopond_standins.command import (
    FaultsOption,
    ListenOption,
    read_faults,
    run_server,
)
from flamingopond_standins.engine_memory import EngineMemory, FencedError
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.generation import Attempt, Batch, BatchSettings
from flamingopond_standins.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    exit_on_crash,
    json_response,
)
from flamingopond_standins.prefix_cache import PrefixCache


@attrs.frozen
class PreloadedModel:
    """A model that the first engine instance holds from the start."""

    model: str
    version: str
    memory_mb: int


@attrs.frozen
class EngineSettings:
    """Settings of the engine.

    Without ``weights_url``, a model loads in ``load_s`` and an adapter in 10 ms.
    """

    memory_mb: int = 80_000
    checks_fencing: bool = True
    batch: BatchSettings = attrs.field(factory=BatchSettings)
    report_lag_s: float = 0.2
    cache_blocks: int = 1024
    cache_lag_s: float = 0.5
    cache_event_loss_probability: float = 0.05
    weights_url: str = ""
    load_s: float = 0.5
    preload: tuple[PreloadedModel, ...] = ()
    seed: int = 0


class EngineServer(HttpServer):
    """Model engine that generates deterministic answers (see ``answers``)."""

    def __init__(
        self,
        settings: EngineSettings | None = None,
        *,
        faults: FaultTable | None = None,
        exit_when_crashed: bool = False,
    ) -> None:
        """Start with the preloaded models.

        A ``crash`` fault ends the process if ``exit_when_crashed``; otherwise the
        engine restarts without models, as a new instance.
        """
        self.settings = settings or EngineSettings()
        self.faults = faults or FaultTable()
        self.draining = False
        self._rng = random.Random(self.settings.seed)
        self._runs: deque[dict[str, Any]] = deque(maxlen=100_000)
        self._overcommits: list[dict[str, Any]] = []
        self._orders: list[dict[str, Any]] = []
        self._instance_scope: anyio.CancelScope | None = None
        self._sequence = 0
        self._crashes = 0
        self._cancels = 0
        self._create_instance()
        for preload in self.settings.preload:
            self._memory.preload(preload.model, preload.version, preload.memory_mb)
        self._update_report()
        super().__init__(
            self._handle,
            self.faults,
            self.records,
            exit_on_crash if exit_when_crashed else self._restart,
        )

    @property
    def instance(self) -> str:
        """Identifier of the current instance, which changes with each restart."""
        return self._instance

    @property
    def memory(self) -> EngineMemory:
        """Models and memory of the current instance."""
        return self._memory

    def records(self) -> dict[str, Any]:
        """Return requests, orders and counters over all instances."""
        return {
            "instance": self._instance,
            "runs": list(self._runs),
            "overcommits": self._overcommits,
            "orders": self._orders,
            "crashes": self._crashes,
            "cancels": self._cancels,
            "used_mb": self._memory.used_mb,
            "peak_mb": self._memory.peak_mb,
            "memory_mb": self.settings.memory_mb,
        }

    async def run(
        self,
        listen: str = "127.0.0.1:0",
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve requests and generate answers until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_instances)
            await tasks.start(super().run, listen)
            task_status.started()

    async def _run_instances(self) -> None:
        while True:
            with anyio.CancelScope() as self._instance_scope:
                async with anyio.create_task_group() as tasks:
                    self._tasks = tasks
                    tasks.start_soon(self._batch.run)
                    tasks.start_soon(self._update_reports)

    def _create_instance(self) -> None:
        settings = self.settings
        self._instance = uuid4().hex
        self._memory = EngineMemory(
            settings.memory_mb,
            settings.checks_fencing,
            self._load_weights,
            self._overcommits,
        )
        self._cache = PrefixCache(
            settings.cache_blocks,
            settings.cache_lag_s,
            settings.cache_event_loss_probability,
            self._rng,
        )
        self._batch = Batch(settings.batch, self._memory, self._cache, self.faults)

    def _restart(self) -> None:
        self._crashes += 1
        self._create_instance()
        self._update_report()
        if self._instance_scope is not None:
            self._instance_scope.cancel()

    async def _update_reports(self) -> None:
        while True:
            await self.faults.wait_while_paused()
            self._update_report()
            await anyio.sleep(self.settings.report_lag_s)

    def _update_report(self) -> None:
        self._sequence += 1
        self._report = EngineReport(
            instance=self._instance,
            sequence=self._sequence,
            memory_mb=self.settings.memory_mb,
            models=self._memory.loaded(),
            running=self._batch.running,
            waiting=self._batch.waiting,
            waiting_tokens=self._batch.waiting_tokens,
            role=self._memory.role,
            draining=self.draining,
            fencing=self._memory.fencing,
            orders=self._memory.orders,
        )

    async def _load_weights(self, model: str, version: str, adapter: str) -> bool:
        if not self.settings.weights_url:
            await anyio.sleep(0.01 if adapter else self.settings.load_s)
            return True
        body = encode({"model": model, "version": version, "adapter": adapter})
        url = f"{self.settings.weights_url}/weights/load"
        timeout = httpx.Timeout(120.0, connect=5.0)
        async with httpx.AsyncClient(
            timeout=timeout, trust_env=False, verify=False
        ) as client:
            try:
                response = await client.post(url, content=body)
            except httpx.HTTPError:
                return False
        return response.status_code == 200

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            return await self._route(request)
        except ValueError as error:
            return json_response({"error": str(error)}, 400)

    async def _route(self, request: HttpRequest) -> HttpResponse:
        path = request.path
        if path == "/engine/generate":
            return self._generate(request)
        if path == "/engine/cancel":
            attempt_id = decode(request.body, dict[str, str])["attempt_id"]
            self._cancels += self._batch.cancel(attempt_id)
            return json_response({})
        if path == "/engine/order":
            return self._order(decode(request.body, Order))
        if path == "/engine/report":
            return json_response(self._report)
        if path == "/engine/cache-events":
            after = int(request.query_parameter("after", "0"))
            return json_response(self._cache.events(after, time.monotonic()))
        attempt_id = path.removeprefix("/engine/kv/")
        if attempt_id == path:
            return json_response({}, 404)
        if request.method == "PUT":
            self._batch.import_kv(attempt_id, request.body)
            return json_response({})
        data = self._batch.export_kv(attempt_id)
        if data is None:
            return json_response({}, 404)
        return HttpResponse(body=data, content_type="application/octet-stream")

    def _generate(self, message: HttpRequest) -> HttpResponse:
        request = decode(message.body, GenerateRequest)
        held_model = self._memory.find(request.model, request.version, request.adapter)
        if held_model is None:
            return json_response({"error": "model is not loaded"}, 404)
        if self.draining:
            return json_response({"error": "engine is draining"}, 503)
        attempt = self._batch.submit(request, held_model)
        run = {
            **attrs.asdict(request),
            "version": held_model.version,
            "headers": dict(message.headers),
            "query": message.query,
            "instance": self._instance,
            "started_at": time.time(),
            "started": time.monotonic(),
        }
        self._runs.append(run)
        return HttpResponse(
            stream=self._record_stream(attempt, run), content_type="text/event-stream"
        )

    async def _record_stream(self, attempt: Attempt, run: dict[str, Any]) -> Any:
        stream = self._batch.stream(attempt)
        try:
            async for data in stream:
                yield data
        finally:
            await stream.aclose()  # type: ignore[attr-defined]
            run["answer_tokens"] = attempt.next_index - attempt.request.resume_from
            run["cancelled"] = attempt.cancelled
            run["steps_s"] = attempt.steps_s
            run["ended"] = time.monotonic()

    def _order(self, order: Order) -> HttpResponse:
        record = {
            **attrs.asdict(order),
            "instance": self._instance,
            "received_at": time.time(),
        }
        self._orders.append(record)
        try:
            state, task = self._memory.accept(order)
        except FencedError as error:
            record["result"] = "fenced"
            return json_response({"error": str(error)}, 409)
        record["result"] = str(state)
        self._tasks.start_soon(self._execute, task)
        return json_response({"state": state, "instance": self._instance})

    async def _execute(self, task: Callable[[], Awaitable[None]]) -> None:
        await task()


def parse_preload(text: str) -> PreloadedModel:
    """Parse ``model:version:memory_mb``. Raises ``typer.BadParameter``."""
    try:
        model, version, memory_mb = text.split(":")
        return PreloadedModel(model, version, int(memory_mb))
    except ValueError as error:
        raise typer.BadParameter(
            f"{text}: must have the form model:version:memory_mb"
        ) from error


def main(
    listen: ListenOption,
    memory_mb: int = 80_000,
    checks_fencing: bool = True,
    base_s: float = 0.010,
    added_s: float = 0.0005,
    prefill_tokens_per_s: float = 8000.0,
    max_batch: int = 32,
    report_lag_s: float = 0.2,
    cache_blocks: int = 1024,
    weights_url: str = "",
    load_s: float = 0.5,
    preload: Annotated[
        list[str] | None, typer.Option(help="model:version:memory_mb")
    ] = None,
    exit_when_crashed: bool = True,
    faults: FaultsOption = None,
) -> None:
    """Run the fake engine."""
    settings = EngineSettings(
        memory_mb=memory_mb,
        checks_fencing=checks_fencing,
        batch=BatchSettings(base_s, added_s, prefill_tokens_per_s, max_batch),
        report_lag_s=report_lag_s,
        cache_blocks=cache_blocks,
        weights_url=weights_url,
        load_s=load_s,
        preload=tuple(parse_preload(text) for text in preload or ()),
    )
    server = EngineServer(
        settings, faults=read_faults(faults), exit_when_crashed=exit_when_crashed
    )
    run_server(server, listen)


if __name__ == "__main__":
    typer.run(main)
