"""Lone runs of requests that may have crashed a target."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import orjson

from flamingopond_core.exceptions import RequestRefusedError, TargetError
from flamingopond_core.routing import Router
from flamingopond_core.suspicion import SuspicionTable, Verdict
from flamingopond_daemon.interfaces import EngineClients

TOPIC = "suspicion"
# An engine may still have long answers to finish before a lone run can start.
_WAIT_S = 30.0
_PAUSE_S = 0.1
# Other nodes learn of the reserved engine by gossip within about this time.
_SPREAD_S = 1.0
# What a node said of its reserved engines is forgotten after this silence.
_REMOTE_LIFE_S = 5.0


class Quarantine:
    """Runs suspects alone on an engine, and shares both with the other nodes."""

    def __init__(
        self,
        suspicion: SuspicionTable,
        router: Router,
        engines: EngineClients,
        clock: Callable[[], float] = time.monotonic,
        spread_s: float = _SPREAD_S,
    ) -> None:
        """``spread_s`` is the wait for other nodes to learn of a reserved engine."""
        self._suspicion = suspicion
        self._router = router
        self._engines = engines
        self._clock = clock
        self._spread_s = spread_s
        self._reserved: dict[str, str] = {}
        self._remote: dict[str, tuple[float, tuple[str, ...]]] = {}

    async def wait_turn(self, fingerprint: str) -> Verdict:
        """Wait until the request may run; return ``FREE`` or ``QUARANTINE``.

        Raises ``RequestRefusedError`` if it is blocked or its turn does not come.
        """
        until = self._clock() + _WAIT_S
        while True:
            verdict = self._suspicion.verdict(fingerprint, self._clock())
            if verdict in (Verdict.FREE, Verdict.QUARANTINE):
                return verdict
            if verdict is Verdict.BLOCKED:
                raise RequestRefusedError(
                    "request_crashes_targets",
                    "this request was in flight at two crashes of its targets",
                )
            if self._clock() >= until:
                raise _busy()
            await anyio.sleep(_PAUSE_S)

    @asynccontextmanager
    async def alone(
        self, fingerprint: str, attempt_id: str, choose: Callable[[], str | None]
    ) -> AsyncIterator[str]:
        """Reserve the engine given by ``choose`` and wait until it is idle."""
        if not self._suspicion.begin_quarantine(fingerprint, attempt_id, self._clock()):
            raise _busy()
        name: str | None = None
        try:
            name = choose()
            if name is None:
                raise RequestRefusedError("no_target", "no engine for a lone run")
            self._router.quarantine(name, attempt_id)
            self._reserved[name] = attempt_id
            await anyio.sleep(self._spread_s)
            await self._wait_idle(name)
            yield name
        finally:
            if name is not None:
                self._router.release(name, attempt_id)
                self._reserved.pop(name, None)
            self._suspicion.end_quarantine(fingerprint, attempt_id)

    def publish(self) -> bytes:
        """Return this node's suspects and reserved engines for gossip."""
        return orjson.dumps(
            {
                "suspects": self._suspicion.publish(self._clock()),
                "reserved": list(self._reserved),
            }
        )

    def receive(self, sender: str, body: bytes) -> None:
        """Take in another node's gossip."""
        now = self._clock()
        data = orjson.loads(body)
        self._suspicion.merge(data["suspects"], now)
        self._remote[sender] = (now, tuple(data["reserved"]))
        self._apply_remote(now)

    async def run(self) -> None:
        """Forget reserved engines of nodes that have gone silent."""
        while True:
            await anyio.sleep(1.0)
            if self._remote:
                self._apply_remote(self._clock())

    def _apply_remote(self, now: float) -> None:
        self._remote = {
            sender: (seen, names)
            for sender, (seen, names) in self._remote.items()
            if now - seen < _REMOTE_LIFE_S
        }
        self._router.set_reserved_elsewhere(
            name for _, names in self._remote.values() for name in names
        )

    async def _wait_idle(self, name: str) -> None:
        until = self._clock() + _WAIT_S
        while self._clock() < until:
            engine = self._engines.get(name)
            if engine is None:
                break
            try:
                report = await engine.report()
            except TargetError:
                break
            if not report.running + report.waiting + self._router.in_flight(name):
                return
            await anyio.sleep(_PAUSE_S)
        raise _busy()


def _busy() -> RequestRefusedError:
    return RequestRefusedError(
        "overloaded", "no engine became free for a lone run", retry_after=5.0
    )
