"""Measures what a daemon adds to the cost of a direct call to the same engine.

The same client drives both paths alternately in the same run. CPU time is the
process time counted by the kernel. The daemon's CPU time is compared with that of
client and engine on the direct path.
"""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Annotated

import anyio
import attrs
import httpx
import orjson
import typer

from flamingopond_bench.demo import Demo
from flamingopond_bench.fleet import Fleet, FleetOptions
from flamingopond_core.configuration import Contract, Model
from flamingopond_core.enums import ObjectKind, Priority
from flamingopond_platform.engine import GenerateRequest
from flamingopond_platform.wire import encode
from flamingopond_standins.answers import answer_token_count

_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
LONG_ANSWER_TOKENS = 200
_SHORT_PER_LONG = 10
_IDLE_MEASUREMENT_S = 4.0
_MODEL = "bn-chat"
_WORKSPACE = "sundarban-watch"


@attrs.frozen
class SystemUnderTest:
    """The measured engine and daemon; ``url`` and ``key`` are for the daemon's API."""

    engine: str
    url: str
    key: str
    model: str
    version: str
    daemon_pid: int
    engine_pid: int


@attrs.frozen
class Sample:
    """Totals of one round, and the median time to the first chunk of a response."""

    requests: int
    chunks: int
    client_cpu_s: float
    engine_cpu_s: float
    daemon_cpu_s: float
    first_chunk_s: float


@attrs.frozen
class Cost:
    """CPU time per request and per chunk, and the median time to the first chunk."""

    cpu_s_per_request: float
    cpu_s_per_chunk: float
    first_chunk_s: float


@attrs.frozen
class Result:
    """Costs of client and engine on the direct path, and of the daemon alone."""

    direct: Cost
    daemon: Cost
    daemon_first_chunk_s: float

    def lines(self) -> list[str]:
        """Return the results as lines of text."""

        def line(name: str, direct: float, added_s: float, unit: str) -> str:
            scale = 1e6 if unit == "us" else 1e3
            return (
                f"{name:<28} direct {direct * scale:9.1f} {unit}   "
                f"added {added_s * scale:9.1f} {unit}   ratio {added_s / direct:5.2f}"
            )

        added_s = self.daemon_first_chunk_s - self.direct.first_chunk_s
        direct, daemon = self.direct, self.daemon
        return [
            line(
                "CPU per streamed chunk",
                direct.cpu_s_per_chunk,
                daemon.cpu_s_per_chunk,
                "us",
            ),
            line(
                "CPU per request",
                direct.cpu_s_per_request,
                daemon.cpu_s_per_request,
                "us",
            ),
            line("time to the first chunk", direct.first_chunk_s, added_s, "ms"),
        ]


def process_cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def make_long_prompts(system: SystemUnderTest, count: int) -> list[str]:
    """Return prompts whose answers have ``LONG_ANSWER_TOKENS`` tokens."""
    prompts: list[str] = []
    number = 0
    while len(prompts) < count:
        prompt = f"path cost {number}"
        number += 1
        token_count = answer_token_count(
            system.model, system.version, "", prompt, LONG_ANSWER_TOKENS
        )
        if token_count == LONG_ANSWER_TOKENS:
            prompts.append(prompt)
    return prompts


async def measure(
    system: SystemUnderTest, rounds: int = 2, requests: int = 32, concurrency: int = 16
) -> Result:
    """Measure both paths alternately, with ``requests`` long requests in each round.

    Short requests are cheap, so each round has ``_SHORT_PER_LONG`` times as many of
    them. The CPU time that engine and daemon use when idle is subtracted.
    """
    prompts = make_long_prompts(system, requests)
    idle_cpu_rates = await _measure_idle_cpu_rates(system)
    direct: list[list[Sample]] = [[], []]
    via_daemon: list[list[Sample]] = [[], []]
    # The first round is not counted: it opens connections and warms the caches.
    for number in range(rounds + 1):
        for is_long, answer_tokens in enumerate((1, LONG_ANSWER_TOKENS)):
            for send, samples in (
                (_send_direct, direct),
                (_send_via_daemon, via_daemon),
            ):
                repeats = 1 if is_long else _SHORT_PER_LONG
                sample = await _run_round(
                    system,
                    send,
                    prompts * repeats,
                    answer_tokens,
                    concurrency,
                    idle_cpu_rates,
                )
                if number:
                    samples[is_long].append(sample)
    # One request at a time: with many at once, the time would be that of queueing
    # for the CPU.
    first_chunk_times_s = [
        (
            await _run_round(system, send, prompts * 2, 1, 1, idle_cpu_rates)
        ).first_chunk_s
        for send in (_send_direct, _send_via_daemon)
    ]
    return Result(
        _cost(
            direct, lambda s: s.client_cpu_s + s.engine_cpu_s, first_chunk_times_s[0]
        ),
        _cost(via_daemon, lambda s: s.daemon_cpu_s, first_chunk_times_s[1]),
        first_chunk_times_s[1],
    )


def _cost(
    samples: list[list[Sample]], cpu_s: Callable[[Sample], float], first_chunk_s: float
) -> Cost:
    short, long = (
        [
            sum(cpu_s(s) for s in group) / sum(s.requests for s in group),
            sum(s.chunks for s in group) / sum(s.requests for s in group),
        ]
        for group in samples
    )
    cpu_s_per_chunk = (long[0] - short[0]) / (long[1] - short[1])
    cpu_s_per_request = short[0] - cpu_s_per_chunk * short[1]
    return Cost(cpu_s_per_request, cpu_s_per_chunk, first_chunk_s)


SendFunction = Callable[
    [httpx.AsyncClient, SystemUnderTest, str, int], Awaitable[tuple[int, float]]
]


async def _run_round(
    system: SystemUnderTest,
    send: SendFunction,
    prompts: Sequence[str],
    answer_tokens: int,
    concurrency: int,
    idle_cpu_rates: tuple[float, float],
) -> Sample:
    pending = list(prompts)
    chunks: list[int] = []
    first_chunk_times_s: list[float] = []

    async def worker(client: httpx.AsyncClient) -> None:
        while pending:
            count, first_chunk_s = await send(
                client, system, pending.pop(), answer_tokens
            )
            chunks.append(count)
            first_chunk_times_s.append(first_chunk_s)

    before, started = _read_cpu_s(system), time.monotonic()
    async with (
        httpx.AsyncClient(trust_env=False, timeout=30.0) as client,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(concurrency):
            tasks.start_soon(worker, client)
    client_cpu_s, engine_cpu_s, daemon_cpu_s = (
        after - start for after, start in zip(_read_cpu_s(system), before, strict=True)
    )
    elapsed_s = time.monotonic() - started
    return Sample(
        requests=len(chunks),
        chunks=sum(chunks),
        client_cpu_s=client_cpu_s,
        engine_cpu_s=engine_cpu_s - idle_cpu_rates[0] * elapsed_s,
        daemon_cpu_s=daemon_cpu_s - idle_cpu_rates[1] * elapsed_s,
        first_chunk_s=statistics.median(first_chunk_times_s),
    )


async def _measure_idle_cpu_rates(system: SystemUnderTest) -> tuple[float, float]:
    """Return the CPU seconds per second that engine and daemon use when idle."""
    before, started = _read_cpu_s(system), time.monotonic()
    await anyio.sleep(_IDLE_MEASUREMENT_S)
    after, elapsed_s = _read_cpu_s(system), time.monotonic() - started
    return (after[1] - before[1]) / elapsed_s, (after[2] - before[2]) / elapsed_s


def _read_cpu_s(system: SystemUnderTest) -> tuple[float, float, float]:
    return (
        time.process_time(),
        process_cpu_s(system.engine_pid),
        process_cpu_s(system.daemon_pid),
    )


async def _send_direct(
    client: httpx.AsyncClient, system: SystemUnderTest, prompt: str, answer_tokens: int
) -> tuple[int, float]:
    request = GenerateRequest(
        os.urandom(8).hex(),
        system.model,
        prompt,
        answer_tokens,
        version=system.version,
    )
    url = f"http://{system.engine}/engine/generate"
    return await _count_chunks(client, url, encode(request), {}, b"event: chunk")


async def _send_via_daemon(
    client: httpx.AsyncClient, system: SystemUnderTest, prompt: str, answer_tokens: int
) -> tuple[int, float]:
    body = {
        "model": system.model,
        "prompt": prompt,
        "max_tokens": answer_tokens,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {system.key}"}
    url = f"{system.url}/v1/completions"
    return await _count_chunks(
        client, url, orjson.dumps(body), headers, b'"finish_reason":null'
    )


async def _count_chunks(
    client: httpx.AsyncClient,
    url: str,
    body: bytes,
    headers: dict[str, str],
    marker: bytes,
) -> tuple[int, float]:
    """Return the number of chunks in a response, and the time to the first one."""
    started = time.perf_counter()
    first_chunk_s = 0.0
    parts: list[bytes] = []
    async with client.stream("POST", url, content=body, headers=headers) as response:
        response.raise_for_status()
        async for part in response.aiter_raw():
            parts.append(part)
            if not first_chunk_s and marker in part:
                first_chunk_s = time.perf_counter() - started
    count = b"".join(parts).count(marker)
    if not count:
        raise RuntimeError(f"no chunk from {url}: {parts}")
    return count, first_chunk_s


def reduced_fleet(example: Path, directory: Path) -> Fleet:
    """Return a fleet of one daemon and one engine that holds ``_MODEL`` only.

    With one engine, both paths use the same engine process.
    """
    options = FleetOptions(daemons=1, engine_options=("--base-s", "0.004"))
    fleet = Fleet(example, directory, options)
    engine = next(iter(fleet.engines))
    kept_keys = {
        (ObjectKind.MODEL, _MODEL),
        (ObjectKind.ENGINE, engine),
        (ObjectKind.CONTRACT, _WORKSPACE),
    }
    fleet.objects = {k: v for k, v in fleet.objects.items() if k in kept_keys}
    fleet.objects[ObjectKind.CONTRACT, _WORKSPACE] = Contract(
        _WORKSPACE, Priority.STANDARD, rate=1e7, burst=1e7
    )
    return fleet


async def run_measurement(example: Path, rounds: int) -> Result:
    """Start the reduced fleet and measure it."""
    with tempfile.TemporaryDirectory(prefix="path-cost-") as name:
        demo = Demo(reduced_fleet(example, Path(name)))
        fleet = demo.fleet
        try:
            await demo.start()
            engine, daemon = next(iter(fleet.engines.values())), fleet.daemons[0]
            model = fleet.objects[ObjectKind.MODEL, _MODEL]
            assert isinstance(model, Model)
            system = SystemUnderTest(
                engine=engine.address,
                url=daemon.url,
                key=demo.keys[_WORKSPACE],
                model=_MODEL,
                version=model.version,
                daemon_pid=fleet.processes[daemon.name].popen.pid,
                engine_pid=fleet.processes[engine.name].popen.pid,
            )
            return await measure(system, rounds)
        finally:
            await fleet.stop()


def main(
    rounds: Annotated[int, typer.Option(help="Measured rounds.")] = 2,
    example: Annotated[Path, typer.Option()] = Path("examples/trust.ini"),
) -> None:
    """Measure what the path through a daemon adds to a direct call."""
    print("\n".join(anyio.run(run_measurement, example, rounds).lines()))


if __name__ == "__main__":
    typer.run(main)
