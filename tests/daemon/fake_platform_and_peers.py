"""Fakes of the table, the object store, the peers and a service, with faults."""

from __future__ import annotations

import contextlib
from typing import Any

import anyio

from flamingopond_core.exceptions import (
    FlamingopondError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    TargetError,
    TargetUnreachableError,
    TransactionConflictError,
)
from flamingopond_daemon.peers import PeerExitedError
from flamingopond_platform.service import ServiceReport, ServiceRequest, ServiceResponse
from flamingopond_platform.table import Row


class FakeTable:
    """A table in memory; each call consumes one entry of ``faults``.

    ``down`` fails the call, ``lost`` applies it but loses the response, ``dropped``
    loses the request, and ``late`` applies it only after the next successful call.
    """

    def __init__(self) -> None:
        """Start without rows and faults."""
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.faults: list[str] = []
        self._delayed_commits: list[tuple] = []

    def _next_fault(self) -> str:
        return self.faults.pop(0) if self.faults else ""

    def _apply_delayed(self) -> None:
        for conditions, writes in self._delayed_commits:
            with contextlib.suppress(TransactionConflictError):
                self._apply(conditions, writes)
        self._delayed_commits.clear()

    def _apply(self, conditions, writes) -> int:
        for condition in conditions:
            row = self.rows.get(condition.key)
            version = 0 if row is None or row.value is None else row.version
            if version != condition.version:
                raise TransactionConflictError(condition.key)
        self.version += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, write.value, self.version)
        return self.version

    async def read(self, keys) -> dict[str, Row]:
        """Return rows."""
        fault = self._next_fault()
        await anyio.sleep(0)
        if fault:
            raise PlatformUnavailableError(fault)
        rows = {k: self.rows[k] for k in keys if k in self.rows}
        self._apply_delayed()
        return rows

    async def commit(self, conditions, writes) -> int:
        """Apply writes."""
        fault = self._next_fault()
        await anyio.sleep(0)
        if fault == "down":
            raise PlatformUnavailableError(fault)
        if fault == "late":
            self._delayed_commits.append((conditions, writes))
        if fault == "lost":
            with contextlib.suppress(TransactionConflictError):
                self._apply(conditions, writes)
        if fault:
            raise OutcomeUnknownError(fault)
        version = self._apply(conditions, writes)
        self._apply_delayed()
        return version


class FakeObjectStore(dict):
    """An object store in memory."""

    async def put(self, name: str, data: bytes) -> None:
        """Store data."""
        self[name] = data

    async def get(self, name: str) -> bytes | None:
        """Return data."""
        return dict.get(self, name)


class FakePeerNetwork:
    """Calls between several nodes.

    ``cut`` names nodes that do not reply, ``gone`` those whose process has ended.
    """

    def __init__(self) -> None:
        """Start without nodes."""
        self.handlers: dict[str, dict[str, Any]] = {}
        self.cut: set[str] = set()
        self.gone: set[str] = set()

    def node(self, name: str) -> _Peers:
        """Return the peers of a node that starts or restarts."""
        self.handlers[name] = {}
        return _Peers(self, name)


class _Peers:
    def __init__(self, network: FakePeerNetwork, name: str) -> None:
        self._network, self._name = network, name

    def serve(self, method, handler) -> None:
        self._network.handlers[self._name][method] = handler

    async def call(self, member, method, **params):
        await anyio.sleep(0)
        if member in self._network.gone:
            raise PeerExitedError(member)
        if {member, self._name} & self._network.cut:
            raise FlamingopondError(f"{member} does not answer")
        return await self._network.handlers[member][method](params)


class FakeService:
    """A plain service that records its calls; each call consumes one of ``faults``.

    ``hold``, if set, delays the responses.
    """

    def __init__(self) -> None:
        """Start without runs."""
        self.requests: list[tuple[ServiceRequest, bool]] = []
        self.faults: list[str] = []
        self.hold: anyio.Event | None = None
        self.body = b"done"

    @property
    def runs(self) -> int:
        """Number of calls that reached the service."""
        return len(self.requests)

    async def call(self, request, *, fresh_connection=False) -> ServiceResponse:
        """Run a call."""
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "unreachable":
            raise TargetUnreachableError(fault)
        self.requests.append((request, fresh_connection))
        if self.hold is not None:
            await self.hold.wait()
        if fault:
            raise TargetError(fault)
        return ServiceResponse(200, {"x": "y"}, self.body)

    async def report(self) -> ServiceReport:
        """Return a load report."""
        return ServiceReport("1")
