"""Contracts of the platform interfaces, for in-memory fakes and HTTP clients alike."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpx
import pytest

from flamingopond_core.exceptions import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    TargetError,
    TargetTimeoutError,
    TargetUnreachableError,
    TransactionConflictError,
)
from flamingopond_platform.objects import ObjectStore
from flamingopond_platform.objects_client import ObjectStoreClient
from flamingopond_platform.service import ServiceRequest
from flamingopond_platform.service_client import ServiceClient
from flamingopond_platform.table import Condition, Table, Write
from flamingopond_platform.table_client import TableClient
from flamingopond_platform.vms import Vm, VmState
from flamingopond_platform.vms_client import VmListClient
from flamingopond_platform.weights_client import WeightStoreClient
from flamingopond_standins.faults import Fault, FaultKind, FaultTable
from flamingopond_standins.http_server import serve
from flamingopond_standins.memory import MemoryObjectStore, MemoryTable, MemoryVmList
from flamingopond_standins.objects import ObjectStoreServer
from flamingopond_standins.rate_limiter import RateLimiter
from flamingopond_standins.service import ServiceServer
from flamingopond_standins.table import TableServer
from flamingopond_standins.vms import VmListServer
from flamingopond_standins.weights import WeightStoreServer

pytestmark = pytest.mark.anyio
VM = Vm("e1", "127.0.0.1:1", "whk-a", "entry", VmState.LEAVING)
Put = Callable[[str, bytes | None], Awaitable[int]]


@asynccontextmanager
async def implementation(name: str) -> AsyncIterator[tuple[Any, Callable[[str], None]]]:
    """Yield an implementation and a function that injects a fault.

    ``down`` refuses all calls, ``lose`` drops the next response and ``heal`` ends
    all faults.
    """
    fakes: dict[str, Callable[[], Any]] = {
        "memory table": MemoryTable,
        "memory objects": MemoryObjectStore,
        "memory vms": lambda: MemoryVmList([VM]),
    }
    if name in fakes:
        fake = fakes[name]()

        def inject(fault: str) -> None:
            fake.outage.down = fault == "down"
            fake.outage.responses_to_lose = int(fault == "lose")

        yield fake, inject
        return
    faults = FaultTable()
    server, client_type = {
        "http table": (TableServer(faults=faults), TableClient),
        "http objects": (ObjectStoreServer(faults=faults), ObjectStoreClient),
        "http vms": (VmListServer([VM], faults=faults), VmListClient),
    }[name]

    def inject_over_http(fault: str) -> None:
        faults_by_name = {
            "down": [Fault(FaultKind.REFUSE)],
            "lose": [Fault(FaultKind.REPLY_LOST, count=1)],
            "heal": [],
        }
        faults.replace(faults_by_name[fault])

    async with serve(server) as address:
        client = client_type(f"http://{address}", timeout_s=1.0)
        yield client, inject_over_http
        await client.aclose()


def put(table: Table, key: str, value: bytes | None) -> Awaitable[int]:
    return table.commit([], [Write(key, value)])


async def check_conditions(table: Table) -> None:
    first = await put(table, "a", b"1")
    with pytest.raises(TransactionConflictError):
        await table.commit([Condition("a", 0)], [Write("b", b"x")])
    with pytest.raises(TransactionConflictError):
        await table.commit(
            [Condition("a", first), Condition("b", 1)], [Write("b", b"x")]
        )
    assert await table.read(["b"]) == {}
    second = await table.commit([Condition("a", first)], [Write("a", None)])
    assert second > first
    assert await table.read(["a"]) == {}
    await table.commit([Condition("a", 0)], [Write("a", b"\xff\x00")])
    assert (await table.read(["a", "b"]))["a"].value == b"\xff\x00"


async def check_scan(table: Table) -> None:
    for key in ("p/1", "q/1", "p/2"):
        await put(table, key, b"v")
    seen = await table.scan(["p/"])
    assert [row.key for row in seen.rows] == ["p/1", "p/2"]
    await put(table, "p/1", None)
    changed = await table.scan(["p/"], after=seen.version)
    assert [(row.key, row.value) for row in changed.rows] == [("p/1", None)]
    assert [row.key for row in (await table.scan(["p/"])).rows] == ["p/2"]
    assert (await table.scan(["p/"], after=changed.version)).rows == ()


async def check_paging(table: Table) -> None:
    await table.commit([], [Write(f"p/{n}", b"v") for n in range(3)])
    await put(table, "p/9", b"v")
    keys: list[str] = []
    version = 0
    while True:
        page = await table.scan(["p/"], after=version, limit=2)
        if not page.rows:
            break
        keys += [row.key for row in page.rows]
        version = page.version
    assert keys == ["p/0", "p/1", "p/2", "p/9"]


@pytest.mark.parametrize("name", ["memory table", "http table"])
@pytest.mark.parametrize("check", [check_conditions, check_scan, check_paging])
async def test_table(name: str, check: Callable[[Table], Awaitable[None]]) -> None:
    """Guards against lost updates, missed deletions and rows lost between pages."""
    async with implementation(name) as (table, _):
        await check(table)


@pytest.mark.parametrize("name", ["memory table", "http table"])
async def test_table_failures(name: str) -> None:
    """Guards against reporting a write as not applied although it took effect."""
    async with implementation(name) as (table, inject):
        inject("down")
        with pytest.raises(PlatformUnavailableError):
            await put(table, "a", b"1")
        with pytest.raises(PlatformUnavailableError):
            await table.read(["a"])
        inject("lose")
        with pytest.raises(OutcomeUnknownError):
            await put(table, "a", b"1")
        inject("heal")
        assert (await table.read(["a"]))["a"].value == b"1"


@pytest.mark.parametrize("name", ["memory objects", "http objects"])
async def test_objects(name: str) -> None:
    """Guards against corrupted objects and errors of the wrong type."""
    store: ObjectStore
    async with implementation(name) as (store, inject):
        assert await store.get("x/1") is None
        await store.put("x/1", b"\x00\xff")
        await store.put("x/1", b"\x00\xfe")
        assert await store.get("x/1") == b"\x00\xfe"
        inject("down")
        with pytest.raises(PlatformUnavailableError):
            await store.get("x/1")
        inject("lose")
        with pytest.raises(OutcomeUnknownError):
            await store.put("x/2", b"2")
        inject("heal")
        assert await store.get("x/2") == b"2"


@pytest.mark.parametrize("name", ["memory vms", "http vms"])
async def test_vms(name: str) -> None:
    """Guards against a lost ``leaving`` state and untranslated errors."""
    async with implementation(name) as (vms, inject):
        assert list(await vms.list_vms()) == [VM]
        inject("down")
        with pytest.raises(PlatformUnavailableError):
            await vms.list_vms()


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        (Fault(FaultKind.DOWN, for_s=30.0), PlatformUnavailableError),
        (Fault(FaultKind.REFUSE), PlatformUnavailableError),
        (Fault(FaultKind.LOST), OutcomeUnknownError),
        (Fault(FaultKind.SILENT), OutcomeUnknownError),
        (Fault(FaultKind.SLOW, delay_s=5.0), OutcomeUnknownError),
        (Fault(FaultKind.PAUSED, for_s=30.0), OutcomeUnknownError),
    ],
    ids=lambda value: str(getattr(value, "kind", "")) or None,
)
async def test_commit_failures_by_stage(fault: Fault, error: type[Exception]) -> None:
    """Guards against PlatformUnavailableError where a write may have taken effect."""
    server = TableServer()
    async with serve(server) as address:
        client = TableClient(f"http://{address}", timeout_s=0.3)
        server.faults.replace([fault])
        await anyio.sleep(0.05)
        with pytest.raises(error):
            await put(client, "a", b"1")
        server.faults.clear()
        await anyio.sleep(0.05)
        await put(client, "a", b"2")
        await client.aclose()


async def test_overloaded_table_rejects_writes() -> None:
    """Guards against a stand-in that exceeds its write rate."""
    server = TableServer(writes_per_s=0.01)
    async with serve(server) as address:
        client = TableClient(f"http://{address}", timeout_s=5.0)
        await put(client, "a", b"1")
        for _ in range(3):
            with pytest.raises(PlatformUnavailableError):
                await put(client, "a", b"2")
        assert (await client.read(["a"]))["a"].value == b"1"
        await client.aclose()
    assert server.records()["writes"] == 1
    assert server.records()["turned_down"] == 3


def test_pacer_spaces_operations() -> None:
    """Guards against bursts above the rate and against an unbounded queue."""
    limiter = RateLimiter(50.0, max_wait_s=1.0)
    delays = [limiter.reserve(0.0) for _ in range(100)]
    accepted = [delay for delay in delays if delay is not None]
    assert accepted == pytest.approx([n / 50 for n in range(len(accepted))])
    assert len(accepted) in (50, 51)
    assert limiter.reserve(0.5) is not None
    assert RateLimiter(0.0).reserve(0.0) == 0.0


def service_request(attempt_id: str = "a1") -> ServiceRequest:
    headers = {"Idempotency-Key": "k1", "Content-Type": "text/plain"}
    return ServiceRequest(attempt_id, "POST", "/orders", headers, b"two", "x=1")


@pytest.mark.parametrize(
    ("fault", "error", "runs"),
    [
        (Fault(FaultKind.DOWN, for_s=30.0), TargetUnreachableError, 0),
        (Fault(FaultKind.LOST), TargetError, 0),
        (Fault(FaultKind.REPLY_LOST), TargetError, 1),
        (Fault(FaultKind.SILENT), TargetTimeoutError, 1),
        (Fault(FaultKind.CRASH), TargetError, 1),
    ],
    ids=lambda value: str(getattr(value, "kind", "")) or None,
)
async def test_service_failures(
    fault: Fault, error: type[TargetError], runs: int
) -> None:
    """Guards against sending a request twice and against errors of the wrong type."""
    server = ServiceServer()
    async with serve(server) as address:
        client = ServiceClient(address, read_timeout_s=0.3)
        server.faults.replace([fault])
        await anyio.sleep(0.05)
        with pytest.raises(TargetError) as caught:
            await client.call(service_request())
        assert type(caught.value) is error
        assert len(server.runs) == runs
        await client.aclose()


async def test_service_call_and_fresh_connection() -> None:
    """Guards against altered requests and reuse of a connection that timed out."""
    server = ServiceServer()
    async with serve(server) as address:
        client = ServiceClient(address, read_timeout_s=0.3)
        reply = await client.call(service_request(), fresh_connection=True)
        assert reply.status == 200
        run = server.runs[0]
        assert (run["marker"], run["body"], run["query"]) == ("k1", "two", "x=1")
        assert run["headers"]["x-attempt-id"] == "a1"
        server.faults.replace([Fault(FaultKind.SILENT, count=1)])
        with pytest.raises(TargetTimeoutError):
            await client.call(service_request())
        assert (await client.call(service_request())).status == 200
        assert (await client.report()).running == 0
        await client.aclose()


async def test_weight_store_shows_loads_in_flight() -> None:
    """Guards against a status that omits loads by engines."""
    server = WeightStoreServer(loads_per_s=0.0, parallel=2, load_s=0.3)
    async with serve(server) as address, httpx.AsyncClient() as http:
        client = WeightStoreClient(f"http://{address}")
        url = f"http://{address}/weights/load"
        async with anyio.create_task_group() as tasks:
            for number in range(3):
                body = {"model": f"m{number}"}
                tasks.start_soon(lambda body=body: http.post(url, json=body))
            status = await client.status()
            while status.active < 3:
                status = await client.status()
        assert (status.active, status.parallel_limit) == (3, 2)
        assert (await client.status()).active == 0
        await client.aclose()
