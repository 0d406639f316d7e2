"""In-process fakes of the subsystems that serve callers' requests."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import asynccontextmanager

import anyio
import attrs

from flamingopond_core.configuration import (
    Change,
    ChangeSet,
    Configuration,
    Contract,
    EngineTarget,
    Key,
    Model,
    Route,
    Service,
)
from flamingopond_core.enums import ObjectKind, Priority
from flamingopond_core.exceptions import TargetUnreachableError
from flamingopond_core.keys import digest_of
from flamingopond_core.reports import EngineReport
from flamingopond_core.routing import EngineInfo, Router
from flamingopond_core.suspicion import SuspicionTable
from flamingopond_daemon.caller_api import CallerApi
from flamingopond_daemon.dispatch import Dispatcher
from flamingopond_daemon.metrics import Metrics
from flamingopond_daemon.quarantine import Quarantine
from flamingopond_platform.engine import GenerateEnd, TokenChunk
from flamingopond_platform.service import ServiceResponse

SECRET = "fpk-" + "s" * 43
ANSWER = tuple(f"t{i} " for i in range(6))


class FakeSource:
    """Configuration source that tests change directly."""

    def __init__(self):
        self.configuration = Configuration()
        self.is_serving = True
        self._callbacks = []
        self.put(
            ObjectKind.CONTRACT,
            Contract("w", Priority.PREMIUM, 1e6, 1e6, models=("m",)),
        )
        self.put(ObjectKind.KEY, Key("k", "w", digest_of(SECRET)))
        self.put(ObjectKind.MODEL, Model("m", "1", 10, 100.0))
        self.put(ObjectKind.MODEL, Model("other", "1", 10, 100.0))
        self.put(ObjectKind.SERVICE, Service("desk", ("127.0.0.1:1",)))
        self.put(ObjectKind.ROUTE, Route("levels", "/levels", "desk", True))
        for number, name in enumerate(("e1", "e2"), 1):
            target = EngineTarget(name, f"127.0.0.1:{number}", "a", "r", 100, True)
            self.put(ObjectKind.ENGINE, target)

    def put(self, kind, value, delete=False):
        name = getattr(
            value, {"contract": "workspace", "key": "key_id"}.get(kind, "name")
        )
        base = self.configuration.revision
        change = Change(kind, name, None if delete else value)
        change_set = ChangeSet(f"op{base}", "t", base, base + 1, (change,))
        touched = self.configuration.apply(change_set)
        for callback in self._callbacks:
            callback(touched)

    def may_serve(self, now):
        return self.is_serving

    def subscribe(self, callback):
        self._callbacks.append(callback)


@attrs.frozen
class FakeReservation:
    """Tokens reserved by a request, and the end of the reservation."""

    tokens: int
    ends_at: float


class FakeLimits:
    """Grants every reservation for ``hold_s`` and records settlements."""

    def __init__(self):
        self.settled = []
        self.hold_s = 120.0

    async def reserve(self, workspace, tokens, deadline):
        return FakeReservation(tokens, time.monotonic() + self.hold_s)

    def settle(self, reservation, used):
        self.settled.append((reservation.tokens, used))


@attrs.define
class FakeEngine:
    """Plays one script for each request.

    A step of a script is a number of tokens, ``"all"`` of them, a chunk, an error to
    raise, an event to wait for, ``"open"`` (calls ``on_open``) or ``"die"`` (changes
    the instance as a restart does and calls ``on_die``). Calls for a report first raise
    ``report_errors``.
    """

    scripts: list = attrs.field(factory=list)
    instance: str = "i1"
    requests: list = attrs.field(factory=list)
    fresh_connections: list = attrs.field(factory=list)
    cancelled: int = 0
    is_down: bool = False
    report_errors: list = attrs.field(factory=list)
    on_open: Callable[[], None] = lambda: None
    on_die: Callable[[], None] = lambda: None

    @asynccontextmanager
    async def generate(self, request, *, fresh_connection=False):
        self.requests.append(request)
        self.fresh_connections.append(fresh_connection)
        script = self.scripts.pop(0) if self.scripts else ["all"]
        if script[0] == "open":
            self.on_open()
            script = script[1:]
        if isinstance(script[0], TargetUnreachableError):
            raise script[0]
        done = False

        async def items():
            nonlocal done
            index = request.resume_from
            for step in script:
                if isinstance(step, Exception):
                    raise step
                if isinstance(step, anyio.Event):
                    await step.wait()
                elif isinstance(step, TokenChunk):
                    yield step
                elif step == "open":
                    self.on_open()
                elif step == "die":
                    self.instance = "i2"
                    self.on_die()
                else:
                    count = len(ANSWER) - index if step == "all" else step
                    for _ in range(count):
                        token = (ANSWER[index],)
                        yield TokenChunk(request.attempt_id, index, token)
                        index += 1
            done = True
            yield GenerateEnd(request.attempt_id, "stop", 5, len(ANSWER))

        stream = items()
        try:
            yield stream
        finally:
            await stream.aclose()
            self.cancelled += not done

    async def report(self):
        if self.report_errors:
            raise self.report_errors.pop(0)
        if self.is_down:
            raise TargetUnreachableError("down")
        return EngineReport(self.instance, 1, 100)


class FakeDirectory:
    """Directory in which all engines hold every model."""

    def __init__(self, engines):
        self.engines = engines
        # Number of look-ups that return no engine, as before the first digests.
        self.empty_lookups = 0

    def report(self, name):
        return EngineReport("i1", 1, 100)

    def serving_engines(self, model):
        if self.empty_lookups > 0:
            self.empty_lookups -= 1
            return ()
        return tuple(self.engines)

    def record_demand(self, model, tokens, now):
        pass


class FakeServices:
    """Records calls and answers each with 201."""

    def __init__(self):
        self.calls = []

    async def call(self, workspace, service, request, idempotency_key):
        self.calls.append((workspace, service, request, idempotency_key))
        return ServiceResponse(201, {"content-type": "text/plain"}, b"done")


class FakeNode:
    """The request path from callers to engines, on fakes."""

    def __init__(self, scripts1=(), scripts2=()):
        self.source = FakeSource()
        self.limits = FakeLimits()
        self.services = FakeServices()
        self.events = []
        self.engines = {
            "e1": FakeEngine(list(scripts1)),
            "e2": FakeEngine(list(scripts2)),
        }
        self.router = Router("a", "r")
        self.router.configure(EngineInfo(name, "a", "r") for name in self.engines)
        self.suspicion = SuspicionTable("n")
        self.quarantine = Quarantine(
            self.suspicion, self.router, self.engines, gossip_delay_s=0.0
        )
        self.directory = FakeDirectory(self.engines)
        metrics = Metrics()
        self.dispatcher = Dispatcher(
            self.limits,
            self.router,
            self.engines,
            self.directory,
            self.suspicion,
            self.quarantine,
            metrics,
            self,
            5.0,
        )
        self.callers = CallerApi(self.source, self.dispatcher, self.services, metrics)

    def record(self, kind, **fields):
        self.events.append((kind, fields))
