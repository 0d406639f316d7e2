"""In-memory table, object store and cluster with faults, for tests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from random import Random
from typing import Any

import attrs

from flamingopond_core.configuration import Contract, Key
from flamingopond_core.enums import ObjectKind, Priority
from flamingopond_core.exceptions import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from flamingopond_core.objects import Change
from flamingopond_daemon.configuration_sync import ConfigurationSync
from flamingopond_platform.table import Condition, Row, ScanResult, Write


def contract(rate: float, workspace: str = "w") -> Change:
    value = Contract(workspace, Priority.STANDARD, rate, 100)
    return Change(ObjectKind.CONTRACT, workspace, value)


def key(key_id: str, digest: str, workspace: str = "w") -> Change:
    return Change(ObjectKind.KEY, key_id, Key(key_id, workspace, digest))


@attrs.define
class FakeTable:
    """A table whose next commits can fail, before or after they take effect."""

    rows: dict[str, Row] = attrs.field(factory=dict)
    version: int = 0
    down: bool = False
    faults: list[str] = attrs.field(factory=list)
    delayed: list[tuple[Sequence[Condition], Sequence[Write]]] = attrs.field(
        factory=list
    )
    before_commit: list[Callable[[], Awaitable[object]]] = attrs.field(factory=list)
    commits: int = 0

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        self._check()
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(
        self, prefixes: Sequence[str], after: int = 0, limit: int = 1000
    ) -> ScanResult:
        self._check()
        rows = sorted(
            (
                row
                for row in self.rows.values()
                if row.version > after and row.key.startswith(tuple(prefixes))
            ),
            key=lambda row: row.version,
        )[:limit]
        is_limited = len(rows) == limit
        return ScanResult(tuple(rows), rows[-1].version if is_limited else self.version)

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        self._check()
        if self.before_commit:
            await self.before_commit.pop(0)()
        fault = self.faults.pop(0) if self.faults else ""
        match fault:
            case "lost request":
                raise OutcomeUnknownError("no response")
            case "delayed":
                self.delayed.append((conditions, writes))
                raise OutcomeUnknownError("no response")
            case "lost reply, then down":
                self._apply(conditions, writes)
                self.down = True
                raise OutcomeUnknownError("no response")
            case "lost reply":
                self._apply(conditions, writes)
                raise OutcomeUnknownError("no response")
        return self._apply(conditions, writes)

    def deliver(self) -> None:
        """Apply the delayed commits."""
        for conditions, writes in self.delayed:
            try:
                self._apply(conditions, writes)
            except TransactionConflictError:
                continue

    def _apply(self, conditions: Sequence[Condition], writes: Sequence[Write]) -> int:
        for condition in conditions:
            row = self.rows.get(condition.key)
            if (row.version if row else 0) != condition.version:
                raise TransactionConflictError(condition.key)
        self.version += 1
        self.commits += 1
        for write in writes:
            self.rows[write.key] = Row(write.key, write.value, self.version)
        return self.version

    def _check(self) -> None:
        if self.down:
            raise PlatformUnavailableError("table is down")


@attrs.define
class FakeObjectStore:
    """An object store that can be unavailable."""

    data: dict[str, bytes] = attrs.field(factory=dict)
    down: bool = False

    async def put(self, name: str, data: bytes) -> None:
        if self.down:
            raise PlatformUnavailableError("object store is down")
        self.data[name] = data

    async def get(self, name: str) -> bytes | None:
        if self.down:
            raise PlatformUnavailableError("object store is down")
        return self.data.get(name)


@attrs.frozen
class FakeMember:
    """A member of the fake cluster."""

    name: str


@attrs.define
class FakeCluster:
    """A node's view of the cluster, and its calls to the other nodes' fakes."""

    name: str
    fleet: Fleet
    outage: bool = False
    majority: bool = True
    cut_off: bool = False
    handlers: dict[str, Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]]] = (
        attrs.field(factory=dict)
    )
    gossip: Any = None
    called_by: list[str] = attrs.field(factory=list)

    @property
    def roster(self) -> FakeCluster:
        return self

    @property
    def all_members(self) -> tuple[FakeMember, ...]:
        return tuple(FakeMember(name) for name in self.fleet.clusters)

    def members(self, now: float) -> tuple[FakeMember, ...]:
        clusters = self.fleet.clusters.values()
        return tuple(FakeMember(c.name) for c in clusters if not c.cut_off)

    def hears_majority(self, now: float) -> bool:
        return self.majority

    def store_outage(self, now: float) -> bool:
        return self.outage

    def record_store_contact(self, now: float) -> None:
        pass

    def set_revision_handlers(self, publish: Any, receive: Any) -> None:
        self.gossip = publish, receive

    def serve(self, method: str, handler: Any) -> None:
        self.handlers[method] = handler

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        other = self.fleet.clusters[member]
        if self.cut_off or other.cut_off:
            raise PlatformUnavailableError(f"{member} cannot be reached")
        other.called_by.append(self.name)
        return dict(await other.handlers[method](params))


@attrs.define
class FakeEvents:
    """Collects the kinds of the recorded events."""

    kinds: list[str] = attrs.field(factory=list)

    def record(self, kind: str, **fields: Any) -> None:
        self.kinds.append(kind)


@attrs.define
class Fleet:
    """Nodes that share one table, with a clock that the tests advance."""

    table: FakeTable = attrs.field(factory=FakeTable)
    objects: FakeObjectStore = attrs.field(factory=FakeObjectStore)
    clusters: dict[str, FakeCluster] = attrs.field(factory=dict)
    syncs: dict[str, ConfigurationSync] = attrs.field(factory=dict)
    now: float = 100.0

    def add(self, name: str) -> ConfigurationSync:
        """Add a node, or replace it as after a restart."""
        cluster = FakeCluster(name, self)
        self.clusters[name] = cluster
        self.syncs[name] = ConfigurationSync(
            self.table,
            self.objects,
            cluster,
            cluster,
            FakeEvents(),
            clock=lambda: self.now,
            wall_clock=lambda: 1e9,
            rng=Random(name),
        )
        return self.syncs[name]

    async def start(self, *names: str) -> list[ConfigurationSync]:
        """Add and start nodes."""
        syncs = [self.add(name) for name in names]
        for sync in syncs:
            assert await sync.start()
        return syncs

    def gossip(self, sender: str, receiver: str) -> None:
        """Deliver the revision of one node to another by gossip."""
        publish, _ = self.clusters[sender].gossip
        _, receive = self.clusters[receiver].gossip
        receive(sender, *publish())
