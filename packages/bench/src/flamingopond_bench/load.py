"""Open-loop load generator: sends seeded chat requests to the given daemons.

Run ``python -m flamingopond_bench.load spec.json``; the file holds a ``LoadSpec``.
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

from flamingopond_bench.workload import Arrival, WorkloadSpec, generate_arrivals
from flamingopond_standins.answers import answer_token_count, expected_tokens

FIRST_TOKEN_TARGET_S = 0.44
TOKEN_GAP_TARGET_S = 0.030
ON_TIME_FRACTION = 0.95
# Requests beyond this limit are not sent; their code is "not_sent".
_MAX_IN_FLIGHT = 2000


@attrs.frozen
class ServedName:
    """Base model, version and adapter that a requested name stands for."""

    model: str
    version: str
    adapter: str


@attrs.frozen(kw_only=True)
class LoadSpec:
    """A load, the URLs of the entry nodes, and the served names."""

    urls: tuple[str, ...]
    workload: WorkloadSpec
    served: dict[str, ServedName]


@attrs.define(kw_only=True)
class Outcome:
    """Result of one request; ``at`` and ``ended`` are wall-clock times.

    ``wanted`` is the number of tokens that admission reserves, ``uses`` that of the
    prompt and the whole answer. ``late_s`` is the delay of sending, ``first_s`` the
    time from the planned arrival to the first token, and ``gaps`` are the seconds
    between tokens. ``right`` is true if all received tokens were as expected and, for a
    complete answer, none was missing.
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
        """Whether an admitted request got its first token late or not at all."""
        if self.first_s is None:
            return not self.refused
        return self.first_s > FIRST_TOKEN_TARGET_S

    @property
    def attained(self) -> bool:
        """Whether the first token and 95 % of the token gaps were on time."""
        if self.late or self.first_s is None or (self.code and not self.abandoned):
            return False
        slow_gaps = sum(gap > TOKEN_GAP_TARGET_S for gap in self.gaps)
        return slow_gaps <= (1.0 - ON_TIME_FRACTION) * len(self.gaps)


class LoadGenerator:
    """Sends each request at its arrival time, regardless of the others' progress."""

    def __init__(self, spec: LoadSpec) -> None:
        """Generate the arrivals."""
        self._spec = spec
        self._keys = {w.name: w.key for w in spec.workload.workspaces}
        self._arrivals = generate_arrivals(spec.workload)
        self._in_flight = 0
        self.outcomes: list[Outcome] = []

    async def run(self) -> list[Outcome]:
        """Send all requests and return their outcomes after the last has ended."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=200)
        async with (
            httpx.AsyncClient(trust_env=False, timeout=30.0, limits=limits) as client,
            anyio.create_task_group() as tasks,
        ):
            start = time.monotonic()
            wall_start = time.time()
            for arrival in self._arrivals:
                await anyio.sleep(max(0.0, start + arrival.at - time.monotonic()))
                outcome = Outcome(
                    workspace=arrival.workspace,
                    model=arrival.model,
                    entry=arrival.entry,
                    at=wall_start + arrival.at,
                    wanted=arrival.reserved_tokens,
                    max_tokens=arrival.max_tokens,
                    uses=self._expected_tokens_used(arrival),
                    late_s=time.monotonic() - start - arrival.at,
                )
                self.outcomes.append(outcome)
                if self._in_flight >= _MAX_IN_FLIGHT:
                    outcome.code = "not_sent"
                    continue
                self._in_flight += 1
                due = start + arrival.at
                tasks.start_soon(self._send, client, arrival, outcome, due)
        return self.outcomes

    def _expected_tokens_used(self, arrival: Arrival) -> int:
        served = self._spec.served[arrival.model]
        length = answer_token_count(
            served.model,
            served.version,
            served.adapter,
            arrival.engine_prompt,
            arrival.max_tokens,
        )
        return arrival.reserved_tokens - arrival.max_tokens + length

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
            with anyio.move_on_after(arrival.first_token_timeout_s) as timeout:
                async with client.stream(
                    "POST", url, content=orjson.dumps(body), headers=headers
                ) as response:
                    await self._read_stream(
                        response, arrival, outcome, due, texts, timeout
                    )
        except httpx.HTTPError as error:
            outcome.code = type(error).__name__
        finally:
            self._in_flight -= 1
            outcome.ended = time.time()
        served = self._spec.served[arrival.model]
        expected = expected_tokens(
            served.model,
            served.version,
            served.adapter,
            arrival.engine_prompt,
            arrival.max_tokens,
        )
        outcome.tokens = len(texts)
        outcome.right = tuple(texts) == expected[: len(texts)] and (
            not outcome.complete or len(texts) == len(expected)
        )
        if not (outcome.complete or outcome.code):
            outcome.abandoned = True

    async def _read_stream(
        self,
        response: httpx.Response,
        arrival: Arrival,
        outcome: Outcome,
        due: float,
        texts: list[str],
        timeout: anyio.CancelScope,
    ) -> None:
        outcome.status = response.status_code
        if response.status_code != 200:
            error = orjson.loads(await response.aread()).get("error", {})
            outcome.code = error.get("code", str(response.status_code))
            outcome.run_state = error.get("run_state", "")
            return
        last_token_at = due
        buffer = b""
        async for part in response.aiter_raw():
            now = time.monotonic()
            *events, buffer = (buffer + part).split(b"\n\n")
            for event in events:
                text = self._parse_event(event, outcome)
                if not text:
                    continue
                if texts:
                    outcome.gaps.append(now - last_token_at)
                else:
                    outcome.first_s = now - due
                    # The timeout applies to the first token only.
                    timeout.deadline = float("inf")
                texts.append(text)
                last_token_at = now
            if (
                arrival.disconnect_after_tokens
                and len(texts) >= arrival.disconnect_after_tokens
            ):
                outcome.abandoned = True
                return

    @staticmethod
    def _parse_event(event: bytes, outcome: Outcome) -> str:
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
        payload: Any = orjson.loads(data)
        if kind == b"error":
            outcome.code = payload["error"]["code"]
            return ""
        return str(payload["choices"][0]["delta"].get("content", ""))


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the count and the median, 95th, 99th percentile and maximum in ms."""
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
    """Return request counts and latency quantiles of a load."""
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
    output: Annotated[
        Path | None, typer.Option(help="File for all outcomes, as JSON.")
    ] = None,
) -> None:
    """Send one load and print its summary as JSON."""
    spec = cattrs.structure(orjson.loads(spec_file.read_bytes()), LoadSpec)
    outcomes = anyio.run(LoadGenerator(spec).run)
    if output is not None:
        output.write_bytes(orjson.dumps([attrs.asdict(o) for o in outcomes]))
    option = orjson.OPT_INDENT_2
    print(orjson.dumps(summary(outcomes), option=option).decode())


if __name__ == "__main__":
    typer.run(main)
