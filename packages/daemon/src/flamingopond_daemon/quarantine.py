"""Quarantine runs of requests that may have crashed a target."""

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
# Longest wait of a suspect; an engine may have long answers to finish first.
_MAX_WAIT_S = 30.0
_POLL_INTERVAL_S = 0.1
# Time in which gossip usually tells other nodes of a reserved engine.
_GOSSIP_DELAY_S = 1.0
# Reservations of a node that has sent no gossip for this long are dropped.
_REMOTE_TIMEOUT_S = 5.0


class Quarantine:
    """Runs each suspect request on an engine without other requests.

    Suspects and reserved engines are shared with the other nodes by gossip.
    """

    def __init__(
        self,
        suspicion: SuspicionTable,
        router: Router,
        engines: EngineClients,
        clock: Callable[[], float] = time.monotonic,
        gossip_delay_s: float = _GOSSIP_DELAY_S,
    ) -> None:
        """``gossip_delay_s`` is the time for reservations to reach the other nodes."""
        self._suspicion = suspicion
        self._router = router
        self._engines = engines
        self._clock = clock
        self._gossip_delay_s = gossip_delay_s
        self._reserved: dict[str, str] = {}
        self._remote_reservations: dict[str, tuple[float, tuple[str, ...]]] = {}

    async def wait_for_verdict(self, fingerprint: str) -> Verdict:
        """Wait until the request may run; return ``FREE`` or ``QUARANTINE``.

        Raises ``RequestRefusedError`` if it is blocked or the wait times out.
        """
        deadline = self._clock() + _MAX_WAIT_S
        while True:
            verdict = self._suspicion.verdict(fingerprint, self._clock())
            if verdict in (Verdict.FREE, Verdict.QUARANTINE):
                return verdict
            if verdict is Verdict.BLOCKED:
                raise RequestRefusedError(
                    "request_crashes_targets",
                    "this request was in flight at two crashes of its targets",
                )
            if self._clock() >= deadline:
                raise _no_idle_engine_error()
            await anyio.sleep(_POLL_INTERVAL_S)

    @asynccontextmanager
    async def reserve_engine(
        self, fingerprint: str, attempt_id: str, choose: Callable[[], str | None]
    ) -> AsyncIterator[str]:
        """Reserve the engine that ``choose`` returns and wait until it is idle."""
        if not self._suspicion.begin_quarantine(fingerprint, attempt_id, self._clock()):
            raise _no_idle_engine_error()
        name: str | None = None
        try:
            name = choose()
            if name is None:
                raise RequestRefusedError("no_target", "no engine for a lone run")
            self._router.reserve(name, attempt_id)
            self._reserved[name] = attempt_id
            await anyio.sleep(self._gossip_delay_s)
            await self._wait_until_idle(name)
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
        """Merge gossip from another node."""
        now = self._clock()
        data = orjson.loads(body)
        self._suspicion.merge(data["suspects"], now)
        self._remote_reservations[sender] = (now, tuple(data["reserved"]))
        self._update_remote_reservations(now)

    async def run(self) -> None:
        """Drop reservations of nodes that no longer send gossip, until cancelled."""
        while True:
            await anyio.sleep(1.0)
            if self._remote_reservations:
                self._update_remote_reservations(self._clock())

    def _update_remote_reservations(self, now: float) -> None:
        self._remote_reservations = {
            sender: (seen, names)
            for sender, (seen, names) in self._remote_reservations.items()
            if now - seen < _REMOTE_TIMEOUT_S
        }
        self._router.set_reserved_elsewhere(
            name for _, names in self._remote_reservations.values() for name in names
        )

    async def _wait_until_idle(self, name: str) -> None:
        deadline = self._clock() + _MAX_WAIT_S
        while self._clock() < deadline:
            engine = self._engines.get(name)
            if engine is None:
                break
            try:
                report = await engine.report()
            except TargetError:
                break
            if not report.running + report.waiting + self._router.in_flight(name):
                return
            await anyio.sleep(_POLL_INTERVAL_S)
        raise _no_idle_engine_error()


def _no_idle_engine_error() -> RequestRefusedError:
    return RequestRefusedError(
        "overloaded", "no engine became free for a lone run", retry_after=5.0
    )
