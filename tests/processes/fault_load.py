"""Bounded, seeded load that records requests and responses."""

from __future__ import annotations

import random
import time
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import attrs
import fault_spec as spec
import httpx
import orjson

from flamingopond_bench.callers import Caller, CompletionResult

WORKERS = 10
_PAUSE_S = 0.25
_TIMEOUT_S = 40.0
_UNKNOWN_KEY = "fpk-unknown-" + "0" * 40


@attrs.define
class SentRequest:
    """One model request and its outcome for the caller."""

    number: int
    workspace: str
    daemon: str
    model: str
    prompt: str
    max_tokens: int
    kind: str
    answer: CompletionResult = attrs.field(factory=CompletionResult)
    connection_error: str = ""
    started: float = 0.0
    ended: float = 0.0


@attrs.define
class ServiceCall:
    """One service call, with (status, error code, run state) of each attempt."""

    body: str
    workspace: str
    idempotency_key: str | None
    responses: list[tuple[int, str, str]] = attrs.field(factory=list)
    echoed_bodies: list[str] = attrs.field(factory=list)


@attrs.define
class Load:
    """Workers that send requests and calls to the daemons.

    ``usable`` are the daemons to which a load balancer would send.
    """

    demo: object
    seed: int
    usable: set[str] = attrs.field(init=False)
    sent: list[SentRequest] = attrs.field(factory=list)
    calls: list[ServiceCall] = attrs.field(factory=list)
    stopping: bool = False
    tasks: anyio.abc.TaskGroup | None = None

    @usable.default
    def _all_daemons(self):
        return {daemon.name for daemon in self.demo.fleet.daemons}

    @asynccontextmanager
    async def running(self):
        """Send load while the block runs, then wait for requests in flight."""
        self.stopping = False
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for worker in range(WORKERS):
                rng = random.Random(f"{self.seed} {worker}")
                tasks.start_soon(self._run_worker, rng)
            yield self
            self.stopping = True

    async def _run_worker(self, rng):
        while not self.stopping:
            names = sorted(self.usable)
            name = rng.choice(names)
            daemon = next(d for d in self.demo.fleet.daemons if d.name == name)
            draw = rng.random()
            if draw < 0.25:
                await self._send_random_call(daemon, rng)
            else:
                await self._send_random_request(daemon, rng, draw)
            await anyio.sleep(_PAUSE_S * rng.random())

    async def _send_random_request(self, daemon, rng, draw):
        workspace = rng.choice(sorted(spec.LIMITS))
        model = rng.choice(spec.MODELS)
        if workspace == "narrow" and rng.random() < 0.8:
            model = rng.choice(spec.NARROW_MODELS)
        kind = "stream" if draw < 0.75 else "complete"
        if draw < 0.30:
            kind = "unknown_key"
        elif draw < 0.34:
            kind = "hangup"
        await self.send(daemon, workspace, model, rng.randrange(16, 80), kind)

    async def send(self, daemon, workspace, model, max_tokens, kind, prompt=None):
        """Send one request and record its outcome."""
        number = len(self.sent)
        prompt = prompt or f"request {self.seed}-{number} of {workspace} ({kind})"
        sent = SentRequest(
            number, workspace, daemon.name, model, prompt, max_tokens, kind
        )
        self.sent.append(sent)
        key = _UNKNOWN_KEY if kind == "unknown_key" else self.demo.keys[workspace]
        sent.started = time.monotonic()
        try:
            async with Caller(daemon.url, key, _TIMEOUT_S) as caller:
                if kind == "complete":
                    sent.answer = await caller.complete(model, prompt, max_tokens)
                elif kind == "hangup":
                    with anyio.move_on_after(0.15):
                        await caller.stream(model, prompt, max_tokens, sent.answer)
                else:
                    await caller.stream(model, prompt, max_tokens, sent.answer)
        except (httpx.HTTPError, orjson.JSONDecodeError) as error:
            sent.connection_error = repr(error)
        sent.ended = time.monotonic()
        return sent

    async def _send_random_call(self, daemon, rng):
        number = len(self.calls)
        workspace = rng.choice(("wide", "premium"))
        body = f"call {self.seed}-{number} of {workspace}"
        if rng.random() < 0.4:
            call = ServiceCall(body, workspace, None)
            self.calls.append(call)
            await self.send_call(daemon, call, "lookup")
            return
        call = ServiceCall(body, workspace, f"key-{self.seed}-{number}")
        self.calls.append(call)
        # Callers repeat failed calls, and some successful ones, at any daemon.
        for _ in range(3):
            status, _, _ = await self.send_call(daemon, call, "orders")
            if status == 200 and rng.random() < 0.7:
                return
            name = rng.choice(sorted(self.usable))
            daemon = next(d for d in self.demo.fleet.daemons if d.name == name)
            await anyio.sleep(0.3 * rng.random())

    async def send_call(self, daemon, call, path):
        """Send a call to the service; record status, error code and run state."""
        key = self.demo.keys[call.workspace]
        try:
            async with Caller(daemon.url, key, _TIMEOUT_S) as caller:
                response = await caller.call_service(
                    "POST",
                    f"/services/{spec.SERVICE}/{path}",
                    call.body.encode(),
                    call.idempotency_key,
                )
        except httpx.HTTPError as error:
            result = (0, type(error).__name__, "unknown")
        else:
            data = orjson.loads(response.content)
            if response.status_code == 200:
                call.echoed_bodies.append(data["echo"])
                result = (200, "", "ran")
            else:
                error = data["error"]
                result = (response.status_code, error["code"], error["run_state"])
        call.responses.append(result)
        return result
