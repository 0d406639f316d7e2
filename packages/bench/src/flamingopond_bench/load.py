"""Load tool: seeded open-loop chat requests to given daemons.

Run ``python -m flamingopond_bench.load spec.json``; the file holds ``LoadSpec``.
"""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import anyio
import attrs
import cattrs
import httpx
import numpy as np
import orjson
import typer

from flamingopond_bench.workload import Arrival, WorkloadSpec, arrivals
from flamingopond_standins.answers import answer_length, expected_tokens

FIRST_TOKEN_S = 0.44
BETWEEN_TOKENS_S = 0.030
WITHIN = 0.95
# The tool refuses to have more requests open than this.
_MAX_OPEN = 2000


@attrs.frozen
class Served:
    """Base model, version and adapter behind a name that callers use."""

    model: str
    version: str
    adapter: str


@attrs.frozen(kw_only=True)
class LoadSpec:
    """A load, where it goes, and what answers the stand-ins give."""

    urls: tuple[str, ...]
    workload: WorkloadSpec
    served: dict[str, Served]


@attrs.define(kw_only=True)
class Outcome:
    """What a request got; ``at`` and ``ended`` are on the wall clock.

    ``uses`` are the tokens of its prompt and whole answer, ``gaps`` the times
    between tokens. ``right`` tells whether all tokens that
    came were the expected ones, and a complete answer had all of them.
    """

    workspace: str
    model: str
    entry: int
    at: float
    wanted: int
    max_tokens: int
    uses: int
    late_s: float = 0.0
    ended: float = 0.0
    status: int = 0
    code: str = ""
    run_state: str = ""
    first_s: float | None = None
    gaps: list[float] = attrs.field(factory=list)
    tokens: int = 0
    complete: bool = False
    abandoned: bool = False
    right: bool = True

    @property
    def refused(self) -> bool:
        """Whether the request was refused before it ran."""
        return bool(self.code) and not self.tokens

    @property
    def late(self) -> bool:
        """Whether an admitted request had its first token late or never."""
        if self.first_s is None:
            return not self.refused
        return self.first_s > FIRST_TOKEN_S

    @property
    def attained(self) -> bool:
        """Whether the first token and 95 in 100 of the gaps were in time."""
        if self.late or self.first_s is None or (self.code and not self.abandoned):
            return False
        slow = sum(gap > BETWEEN_TOKENS_S for gap in self.gaps)
        return slow <= (1.0 - WITHIN) * len(self.gaps)


class LoadRun:
    """Sends the requests of one load at their times, whatever became of others."""

    def __init__(self, spec: LoadSpec) -> None:
        """Compute the arrivals."""
        self._spec = spec
        self._keys = {w.name: w.key for w in spec.workload.workspaces}
        self._arrivals = arrivals(spec.workload)
        self._open = 0
        self.outcomes: list[Outcome] = []

    async def run(self) -> list[Outcome]:
        """Send everything and return the outcomes when the last answer ended."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
        async with (
            httpx.AsyncClient(trust_env=False, timeout=30.0, limits=limits) as client,
            anyio.create_task_group() as tasks,
        ):
            start = time.monotonic()
            wall = time.time()
            for arrival in self._arrivals:
                await anyio.sleep(max(0.0, start + arrival.at - time.monotonic()))
                outcome = Outcome(
                    workspace=arrival.workspace,
                    model=arrival.model,
                    entry=arrival.entry,
                    at=wall + arrival.at,
                    wanted=arrival.wanted,
                    max_tokens=arrival.max_tokens,
                    uses=self._uses(arrival),
                    late_s=time.monotonic() - start - arrival.at,
                )
                self.outcomes.append(outcome)
                if self._open >= _MAX_OPEN:
                    outcome.code = "not_sent"
                    continue
                self._open += 1
                due = start + arrival.at
                tasks.start_soon(self._send, client, arrival, outcome, due)
        return self.outcomes

    def _uses(self, arrival: Arrival) -> int:
        served = self._spec.served[arrival.model]
        length = answer_length(
            served.model,
            served.version,
            served.adapter,
            arrival.text,
            arrival.max_tokens,
        )
        return arrival.wanted - arrival.max_tokens + length

    async def _send(
        self, client: httpx.AsyncClient, arrival: Arrival, outcome: Outcome, due: float
    ) -> None:
        body = {
            "model": arrival.model,
            "messages": [{"role": "user", "content": arrival.prompt}],
            "max_tokens": arrival.max_tokens,
            "stream": True,
        }
        headers = {"authorization": f"Bearer {self._keys[arrival.workspace]}"}
        url = f"{self._spec.urls[arrival.entry]}/v1/chat/completions"
        texts: list[str] = []
        try:
            with anyio.move_on_after(arrival.patience_s) as patience:
                async with client.stream(
                    "POST", url, content=orjson.dumps(body), headers=headers
                ) as reply:
                    await self._read(reply, arrival, outcome, due, texts, patience)
        except httpx.HTTPError as error:
            outcome.code = type(error).__name__
        finally:
            self._open -= 1
            outcome.ended = time.time()
        served = self._spec.served[arrival.model]
        expected = expected_tokens(
            served.model,
            served.version,
            served.adapter,
            arrival.text,
            arrival.max_tokens,
        )
        outcome.tokens = len(texts)
        outcome.right = tuple(texts) == expected[: len(texts)] and (
            not outcome.complete or len(texts) == len(expected)
        )
        if not (outcome.complete or outcome.code):
            outcome.abandoned = True

    async def _read(
        self,
        reply: httpx.Response,
        arrival: Arrival,
        outcome: Outcome,
        due: float,
        texts: list[str],
        patience: anyio.CancelScope,
    ) -> None:
        outcome.status = reply.status_code
        if reply.status_code != 200:
            error = orjson.loads(await reply.aread()).get("error", {})
            outcome.code = error.get("code", str(reply.status_code))
            outcome.run_state = error.get("run_state", "")
            return
        last = due
        rest = b""
        async for part in reply.aiter_raw():
            now = time.monotonic()
            *events, rest = (rest + part).split(b"\n\n")
            for event in events:
                text = self._event(event, outcome)
                if not text:
                    continue
                if texts:
                    outcome.gaps.append(now - last)
                else:
                    outcome.first_s = now - due
                    # A caller who sees tokens arrive stays.
                    patience.deadline = float("inf")
                texts.append(text)
                last = now
            if arrival.hang_up_after and len(texts) >= arrival.hang_up_after:
                outcome.abandoned = True
                return

    @staticmethod
    def _event(event: bytes, outcome: Outcome) -> str:
        kind = b""
        data = b""
        for line in event.split(b"\n"):
            if line.startswith(b"event: "):
                kind = line[7:]
            elif line.startswith(b"data: "):
                data = line[6:]
        if data == b"[DONE]":
            outcome.complete = True
            return ""
        if not data:
            return ""
        value: Any = orjson.loads(data)
        if kind == b"error":
            outcome.code = value["error"]["code"]
            return ""
        return str(value["choices"][0]["delta"].get("content", ""))


def quantiles(values: list[float]) -> dict[str, float]:
    """Return count, median, 95th and 99th percentile and maximum, in ms."""
    if not values:
        return {"count": 0}
    data = np.asarray(values) * 1e3
    p50, p95, p99 = np.percentile(data, (50, 95, 99))
    return {
        "count": len(values),
        "p50_ms": round(float(p50), 2),
        "p95_ms": round(float(p95), 2),
        "p99_ms": round(float(p99), 2),
        "max_ms": round(float(data.max()), 2),
    }


def summary(outcomes: list[Outcome]) -> dict[str, Any]:
    """Return counts and latencies of a load."""
    answered = [o for o in outcomes if o.tokens]
    return {
        "requests": len(outcomes),
        "complete": sum(o.complete for o in outcomes),
        "abandoned": sum(o.abandoned for o in outcomes),
        "codes": dict(Counter(o.code for o in outcomes if o.code)),
        "wrong": sum(not o.right for o in outcomes),
        "answer_tokens": sum(o.tokens for o in outcomes),
        "first_token": quantiles(
            [o.first_s for o in answered if o.first_s is not None]
        ),
        "between_tokens": quantiles([gap for o in answered for gap in o.gaps]),
        "sent_late": quantiles([o.late_s for o in outcomes]),
    }


def main(
    spec_file: Annotated[Path, typer.Argument(help="LoadSpec as JSON.")],
    output: Annotated[Path | None, typer.Option(help="All outcomes as JSON.")] = None,
) -> None:
    """Send one load and print its summary as JSON."""
    spec = cattrs.structure(orjson.loads(spec_file.read_bytes()), LoadSpec)
    outcomes = anyio.run(LoadRun(spec).run)
    if output is not None:
        output.write_bytes(orjson.dumps([attrs.asdict(o) for o in outcomes]))
    option = orjson.OPT_INDENT_2
    print(orjson.dumps(summary(outcomes), option=option).decode())


if __name__ == "__main__":
    typer.run(main)
