"""Tests of the engine client against the engine stand-in, with injected faults."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import anyio
import pytest

from flamingopond_core.enums import Priority, RunState
from flamingopond_core.exceptions import (
    OrderRefusedError,
    TargetError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from flamingopond_platform.engine import (
    GenerateEnd,
    GenerateRequest,
    Order,
    OrderKind,
    OrderState,
    TokenChunk,
)
from flamingopond_platform.engine_client import EngineClient
from flamingopond_standins.answers import expected_tokens
from flamingopond_standins.engine import EngineServer, EngineSettings, PreloadedModel
from flamingopond_standins.faults import Fault, FaultKind, FaultTable
from flamingopond_standins.generation import BatchSettings
from flamingopond_standins.http_server import serve

pytestmark = pytest.mark.anyio
PROMPT = "where is the bank broken? " * 20


def engine(faults: Sequence[Fault] = (), **settings: object) -> EngineServer:
    options: dict[str, object] = {
        "memory_mb": 1000,
        "preload": (PreloadedModel("m", "1", 600),),
        "batch": BatchSettings(step_base_s=0.002, step_per_attempt_s=0.0001),
        "report_lag_s": 0.02,
        "load_s": 0.02,
        "cache_lag_s": 0.0,
        "cache_event_loss_probability": 0.0,
    }
    return EngineServer(
        EngineSettings(**{**options, **settings}),  # type: ignore[arg-type]
        faults=FaultTable(faults),
    )


@asynccontextmanager
async def running(server: EngineServer) -> AsyncIterator[EngineClient]:
    async with serve(server) as address:
        client = EngineClient(address, read_timeout_s=0.6, call_timeout_s=0.3)
        yield client
        await client.aclose()


def request(attempt_id: str = "a1", **changes: object) -> GenerateRequest:
    values: dict[str, object] = {"model": "m", "prompt": PROMPT, "max_tokens": 40}
    return GenerateRequest(attempt_id, **{**values, **changes})  # type: ignore[arg-type]


async def collect(
    client: EngineClient, generate_request: GenerateRequest
) -> tuple[list[str], GenerateEnd]:
    tokens: list[str] = []
    async with client.generate(generate_request) as items:
        async for item in items:
            if isinstance(item, GenerateEnd):
                return tokens, item
            assert item.index == generate_request.resume_from + len(tokens)
            tokens += item.tokens
    raise AssertionError("no end")


async def wait_for_order(client: EngineClient, order_id: str) -> OrderState:
    while True:
        state = (await client.report()).orders.get(order_id)
        if state in (OrderState.DONE, OrderState.FAILED):
            return state
        await anyio.sleep(0.01)


async def test_output_is_complete_and_resumable() -> None:
    """Guards against lost or duplicated tokens in complete and resumed outputs."""
    async with running(engine()) as client:
        tokens, end = await collect(client, request())
        assert tuple(tokens) == expected_tokens("m", "1", "", PROMPT, 40)
        assert (end.answer_tokens, end.prompt_tokens) == (len(tokens), 130)
        rest, _ = await collect(client, request("a2", resume_from=7))
        assert rest == tokens[7:]
        data = await client.export_kv("a1")
        assert data is not None
        await client.import_kv("a3", data)
        rest, _ = await collect(client, request("a3", resume_from=9))
        assert rest == tokens[9:]
        assert await client.export_kv("unknown") is None
        assert len(await client.cache_events(0)) == 2
        assert len(await client.cache_events(1)) == 1


async def test_leaving_the_stream_early_cancels_the_generation() -> None:
    """Guards against generations that continue after the caller disconnected."""
    server = engine()
    async with running(server) as client:
        async with client.generate(request()) as items:
            async for _ in items:
                break
        report = await client.report()
        while report.running + report.waiting:
            report = await client.report()
        assert server.records()["runs"][0]["cancelled"]


async def test_premium_starts_before_standard() -> None:
    """Guards against queued standard requests that delay premium ones."""
    server = engine(
        batch=BatchSettings(step_base_s=0.002, step_per_attempt_s=0.0, max_batch=1)
    )
    finished: list[str] = []

    async def generate(attempt_id: str, priority: Priority) -> None:
        await collect(client, request(attempt_id, priority=priority, max_tokens=8))
        finished.append(attempt_id)

    async with running(server) as client, anyio.create_task_group() as tasks:
        tasks.start_soon(generate, "first", Priority.STANDARD)
        await anyio.sleep(0.01)
        tasks.start_soon(generate, "standard", Priority.STANDARD)
        await anyio.sleep(0.01)
        tasks.start_soon(generate, "premium", Priority.PREMIUM)
    assert finished == ["first", "premium", "standard"]


@pytest.mark.parametrize(
    ("fault", "error", "run_state"),
    [
        (Fault(FaultKind.LOST), TargetError, RunState.UNKNOWN),
        (Fault(FaultKind.REFUSE), TargetError, RunState.NOT_RUN),
        (Fault(FaultKind.REPLY_LOST, after_chunks=3), TargetError, RunState.UNKNOWN),
        (Fault(FaultKind.SILENT), TargetTimeoutError, RunState.UNKNOWN),
        (Fault(FaultKind.SILENT, after_chunks=3), TargetTimeoutError, RunState.UNKNOWN),
        (Fault(FaultKind.CRASH, after_chunks=1), TargetError, RunState.UNKNOWN),
    ],
    ids=lambda value: str(getattr(value, "kind", "")) or None,
)
async def test_failed_streams(
    fault: Fault, error: type[TargetError], run_state: RunState
) -> None:
    """Guards against errors of the wrong type or run state."""
    fault.path, fault.count = "/engine/generate", 1
    server = engine([fault])
    instance = server.instance
    async with running(server) as client:
        with pytest.raises(TargetError) as caught:
            await collect(client, request())
        assert type(caught.value) is error
        assert caught.value.run_state is run_state
        if fault.kind is FaultKind.CRASH:
            assert server.instance != instance
        else:
            tokens, _ = await collect(client, request("a2"))
            assert tuple(tokens) == expected_tokens("m", "1", "", PROMPT, 40)


async def test_stopped_engine_is_unreachable_until_it_returns() -> None:
    """Guards against run state ``unknown`` for requests that were never sent."""
    server = engine()
    async with running(server) as client:
        await client.report()
        server.faults.replace([Fault(FaultKind.DOWN, for_s=0.3)])
        await anyio.sleep(0.05)
        with pytest.raises(TargetUnreachableError) as caught:
            await collect(client, request())
        assert caught.value.run_state is RunState.NOT_RUN
        await anyio.sleep(0.4)
        await collect(client, request("a2"))


async def test_request_for_unloaded_model_is_not_run() -> None:
    """Guards against a run state other than ``not_run`` for a missing model."""
    async with running(engine()) as client:
        with pytest.raises(TargetError) as caught:
            await collect(client, request(model="other"))
        assert caught.value.run_state is RunState.NOT_RUN


async def test_chunks_of_another_attempt_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against passing tokens of one request to another."""
    add_item = "flamingopond_standins.generation.Attempt.add_item"

    def add_with_stray_chunk(self, item):  # type: ignore[no-untyped-def]
        self.items.append(TokenChunk("other", 0, ("stray",)))
        self.items.append(item)
        self.item_added.set()

    monkeypatch.setattr(add_item, add_with_stray_chunk)
    async with running(engine()) as client:
        tokens, _ = await collect(client, request())
        assert tuple(tokens) == expected_tokens("m", "1", "", PROMPT, 40)
        assert client.mismatched_chunks > 0


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_orders_and_memory(checks_fencing: bool) -> None:
    """Guards against overcommitted memory and orders executed with a stale epoch."""
    server = engine(checks_fencing=checks_fencing)

    def load(order_id: str, model: str, memory_mb: int, fencing: int) -> Order:
        kind = OrderKind.LOAD_MODEL
        return Order(order_id, kind, fencing, model, "1", memory_mb=memory_mb)

    async with running(server) as client:
        assert (
            await client.order(load("o1", "b", 300, 2))
        ).state is OrderState.ACCEPTED
        assert await wait_for_order(client, "o1") is OrderState.DONE
        assert (await client.order(load("o1", "b", 300, 2))).state is OrderState.DONE
        assert (await client.order(load("o2", "c", 300, 2))).state is OrderState.FAILED
        assert len(server.records()["overcommits"]) == 1
        old = Order("o3", OrderKind.UNLOAD_MODEL, 1, "b", "1")
        if checks_fencing:
            with pytest.raises(OrderRefusedError):
                await client.order(old)
        else:
            assert (await client.order(old)).state is OrderState.DONE
        adapter = Order("o4", OrderKind.LOAD_ADAPTER, 3, "m", "1", "tides")
        await client.order(adapter)
        assert await wait_for_order(client, "o4") is OrderState.DONE
        tokens, _ = await collect(client, request(adapter="tides"))
        assert tuple(tokens) == expected_tokens("m", "1", "tides", PROMPT, 40)
        assert server.records()["peak_mb"] <= 1000


async def test_lost_late_and_repeated_orders() -> None:
    """Guards against orders that run twice or are reported as not sent."""
    kinds = [FaultKind.LOST, FaultKind.LATE, FaultKind.REPEATED]
    faults = [Fault(k, "/engine/order", count=1, delay_s=0.03) for k in kinds]
    server = engine(faults)
    async with running(server) as client:
        for number in range(2):
            order = Order(f"o{number}", OrderKind.NOOP, 1)
            with pytest.raises(TargetError) as caught:
                await client.order(order)
            assert caught.value.run_state is RunState.UNKNOWN
        await client.order(Order("o2", OrderKind.NOOP, 1))
        await anyio.sleep(0.1)
        seen = [entry["order_id"] for entry in server.records()["orders"]]
        assert sorted(seen) == ["o1", "o2", "o2"]
