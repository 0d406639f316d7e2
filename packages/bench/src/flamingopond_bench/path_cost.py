"""Cost that a daemon adds to a request, against a direct call to the same engine.

Both ways are driven by the same client in the same run, in turns. CPU time is that
of the processes as the kernel counts it; the direct way's is that of client and
engine, and the daemon's own is set in relation to it.
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
from flamingopond_standins.answers import answer_length

_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
LONG_ANSWER = 200
_SHORT_SHARE = 10
_IDLE_S = 4.0
_MODEL = "bn-chat"
_WORKSPACE = "sundarban-watch"


@attrs.frozen
class Subject:
    """What is measured; ``key`` and ``url`` lead through the daemon."""

    engine: str
    url: str
    key: str
    model: str
    version: str
    daemon_pid: int
    engine_pid: int


@attrs.frozen
class Sample:
    """Totals of one round: times in seconds, of ``requests`` with ``chunks``."""

    requests: int
    chunks: int
    client_cpu: float
    engine_cpu: float
    daemon_cpu: float
    first_chunk: float


@attrs.frozen
class Cost:
    """Seconds of CPU a request and a chunk, and the median time to a first chunk."""

    per_request: float
    per_chunk: float
    first_chunk: float


@attrs.frozen
class Result:
    """Costs of the direct way (client and engine), and of the daemon alone."""

    direct: Cost
    daemon: Cost
    through_first_chunk: float

    def lines(self) -> list[str]:
        """Return the figures as text."""

        def line(name: str, direct: float, added: float, unit: str) -> str:
            scale = 1e6 if unit == "us" else 1e3
            return (
                f"{name:<28} direct {direct * scale:9.1f} {unit}   "
                f"added {added * scale:9.1f} {unit}   ratio {added / direct:5.2f}"
            )

        added = self.through_first_chunk - self.direct.first_chunk
        direct, daemon = self.direct, self.daemon
        return [
            line("CPU per streamed chunk", direct.per_chunk, daemon.per_chunk, "us"),
            line("CPU per request", direct.per_request, daemon.per_request, "us"),
            line("time to the first chunk", direct.first_chunk, added, "ms"),
        ]


def process_cpu(pid: int) -> float:
    """Return the CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * _TICK_S


def long_prompts(subject: Subject, count: int) -> list[str]:
    """Return prompts whose answers have ``LONG_ANSWER`` tokens."""
    prompts: list[str] = []
    number = 0
    while len(prompts) < count:
        prompt = f"path cost {number}"
        number += 1
        length = answer_length(subject.model, subject.version, "", prompt, LONG_ANSWER)
        if length == LONG_ANSWER:
            prompts.append(prompt)
    return prompts


async def measure(
    subject: Subject, rounds: int = 2, requests: int = 32, parallel: int = 16
) -> Result:
    """Measure both ways in turns; ``requests`` long ones in each round.

    Short ones are cheap, so there are ``_SHORT_SHARE`` times as many of them. What
    the processes use when idle is subtracted.
    """
    prompts = long_prompts(subject, requests)
    idle = await _idle_rates(subject)
    direct: list[list[Sample]] = [[], []]
    through: list[list[Sample]] = [[], []]
    # The first, uncounted round opens connections and warms the caches.
    for number in range(rounds + 1):
        for length, answer_tokens in enumerate((1, LONG_ANSWER)):
            for way, samples in ((_direct, direct), (_through, through)):
                share = 1 if length else _SHORT_SHARE
                sample = await _round(
                    subject, way, prompts * share, answer_tokens, parallel, idle
                )
                if number:
                    samples[length].append(sample)
    # One at a time: with many at once, the time is that of queueing for the CPU.
    firsts = [
        (await _round(subject, way, prompts * 2, 1, 1, idle)).first_chunk
        for way in (_direct, _through)
    ]
    return Result(
        _cost(direct, lambda s: s.client_cpu + s.engine_cpu, firsts[0]),
        _cost(through, lambda s: s.daemon_cpu, firsts[1]),
        firsts[1],
    )


def _cost(
    samples: list[list[Sample]], cpu: Callable[[Sample], float], first_chunk: float
) -> Cost:
    short, long = (
        [
            sum(cpu(s) for s in group) / sum(s.requests for s in group),
            sum(s.chunks for s in group) / sum(s.requests for s in group),
        ]
        for group in samples
    )
    per_chunk = (long[0] - short[0]) / (long[1] - short[1])
    per_request = short[0] - per_chunk * short[1]
    return Cost(per_request, per_chunk, first_chunk)


Way = Callable[[httpx.AsyncClient, Subject, str, int], Awaitable[tuple[int, float]]]


async def _round(
    subject: Subject,
    way: Way,
    prompts: Sequence[str],
    answer_tokens: int,
    parallel: int,
    idle: tuple[float, float],
) -> Sample:
    waiting = list(prompts)
    chunks: list[int] = []
    firsts: list[float] = []

    async def work(client: httpx.AsyncClient) -> None:
        while waiting:
            count, first = await way(client, subject, waiting.pop(), answer_tokens)
            chunks.append(count)
            firsts.append(first)

    before, started = _cpu(subject), time.monotonic()
    async with (
        httpx.AsyncClient(trust_env=False, timeout=30.0) as client,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(parallel):
            tasks.start_soon(work, client)
    client_cpu, engine_cpu, daemon_cpu = (
        after - start for after, start in zip(_cpu(subject), before, strict=True)
    )
    passed = time.monotonic() - started
    return Sample(
        requests=len(chunks),
        chunks=sum(chunks),
        client_cpu=client_cpu,
        engine_cpu=engine_cpu - idle[0] * passed,
        daemon_cpu=daemon_cpu - idle[1] * passed,
        first_chunk=statistics.median(firsts),
    )


async def _idle_rates(subject: Subject) -> tuple[float, float]:
    """Return the CPU seconds a second that engine and daemon use without load."""
    before, started = _cpu(subject), time.monotonic()
    await anyio.sleep(_IDLE_S)
    after, passed = _cpu(subject), time.monotonic() - started
    return (after[1] - before[1]) / passed, (after[2] - before[2]) / passed


def _cpu(subject: Subject) -> tuple[float, float, float]:
    return (
        time.process_time(),
        process_cpu(subject.engine_pid),
        process_cpu(subject.daemon_pid),
    )


async def _direct(
    client: httpx.AsyncClient, subject: Subject, prompt: str, answer_tokens: int
) -> tuple[int, float]:
    request = GenerateRequest(
        os.urandom(8).hex(),
        subject.model,
        prompt,
        answer_tokens,
        version=subject.version,
    )
    url = f"http://{subject.engine}/engine/generate"
    return await _count_events(client, url, encode(request), {}, b"event: chunk")


async def _through(
    client: httpx.AsyncClient, subject: Subject, prompt: str, answer_tokens: int
) -> tuple[int, float]:
    body = {
        "model": subject.model,
        "prompt": prompt,
        "max_tokens": answer_tokens,
        "stream": True,
    }
    headers = {"authorization": f"Bearer {subject.key}"}
    url = f"{subject.url}/v1/completions"
    return await _count_events(
        client, url, orjson.dumps(body), headers, b'"finish_reason":null'
    )


async def _count_events(
    client: httpx.AsyncClient,
    url: str,
    body: bytes,
    headers: dict[str, str],
    mark: bytes,
) -> tuple[int, float]:
    started = time.perf_counter()
    first = 0.0
    parts: list[bytes] = []
    async with client.stream("POST", url, content=body, headers=headers) as reply:
        reply.raise_for_status()
        async for part in reply.aiter_raw():
            parts.append(part)
            if not first and mark in part:
                first = time.perf_counter() - started
    count = b"".join(parts).count(mark)
    if not count:
        raise RuntimeError(f"no chunk from {url}: {parts}")
    return count, first


def reduced_fleet(example: Path, directory: Path) -> Fleet:
    """Return a fleet of one daemon and one engine that holds ``_MODEL`` only.

    With one engine, both ways lead to the same process.
    """
    options = FleetOptions(daemons=1, engine_options=("--base-s", "0.004"))
    fleet = Fleet(example, directory, options)
    engine = next(iter(fleet.engines))
    kept = {
        (ObjectKind.MODEL, _MODEL),
        (ObjectKind.ENGINE, engine),
        (ObjectKind.CONTRACT, _WORKSPACE),
    }
    fleet.objects = {k: v for k, v in fleet.objects.items() if k in kept}
    fleet.objects[ObjectKind.CONTRACT, _WORKSPACE] = Contract(
        _WORKSPACE, Priority.STANDARD, rate=1e7, burst=1e7
    )
    return fleet


async def run_measurement(example: Path, rounds: int) -> Result:
    """Start a small deployment and measure it."""
    with tempfile.TemporaryDirectory(prefix="path-cost-") as name:
        demo = Demo(reduced_fleet(example, Path(name)))
        fleet = demo.fleet
        try:
            await demo.start()
            engine, daemon = next(iter(fleet.engines.values())), fleet.daemons[0]
            model = fleet.objects[ObjectKind.MODEL, _MODEL]
            assert isinstance(model, Model)
            subject = Subject(
                engine=engine.address,
                url=daemon.url,
                key=demo.keys[_WORKSPACE],
                model=_MODEL,
                version=model.version,
                daemon_pid=fleet.processes[daemon.name].popen.pid,
                engine_pid=fleet.processes[engine.name].popen.pid,
            )
            return await measure(subject, rounds)
        finally:
            await fleet.stop()


def main(
    rounds: Annotated[int, typer.Option(help="Measured rounds.")] = 2,
    example: Annotated[Path, typer.Option()] = Path("examples/trust.ini"),
) -> None:
    """Measure what the path through a daemon costs."""
    print("\n".join(anyio.run(run_measurement, example, rounds).lines()))


if __name__ == "__main__":
    typer.run(main)
