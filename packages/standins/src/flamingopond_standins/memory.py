"""In-memory fakes of the platform; the HTTP stand-ins serve them as well."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from sortedcontainers import SortedDict, SortedSet

from flamingopond_core.exceptions import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from flamingopond_platform.table import Condition, Row, ScanResult, Write
from flamingopond_platform.vms import Vm


class Outage:
    """Failures that the in-memory fakes inject.

    ``down`` fails every call; ``lose_replies`` lets so many of the next changes
    take effect and then fail with ``OutcomeUnknownError``.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self.down = False
        self.lose_replies = 0

    def before(self) -> None:
        """Raise ``PlatformUnavailableError`` while down."""
        if self.down:
            raise PlatformUnavailableError("the fake is down")

    def after_change(self) -> None:
        """Raise ``OutcomeUnknownError`` if the reply is to be lost."""
        if self.lose_replies:
            self.lose_replies -= 1
            raise OutcomeUnknownError("the fake lost the reply")


class MemoryTable:
    """A ``Table`` in memory; ``outage`` injects failures."""

    def __init__(self) -> None:
        """Start empty at version 0."""
        self.outage = Outage()
        self._rows: dict[str, Row] = {}
        self._keys_by_version: SortedDict[int, SortedSet[str]] = SortedDict()
        self._version = 0

    @property
    def version(self) -> int:
        """The version of the last commit."""
        return self._version

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist; see ``Table.read``."""
        self.outage.before()
        found = (self._rows.get(key) for key in keys)
        return {row.key: row for row in found if row and row.value is not None}

    async def scan(
        self, prefixes: Sequence[str], after: int = 0, limit: int = 1000
    ) -> ScanResult:
        """Return changed rows; see ``Table.scan``.

        A commit is never split: the result may exceed ``limit`` by the rows of
        the last commit in it.
        """
        self.outage.before()
        wanted = tuple(prefixes)
        rows: list[Row] = []
        for version in self._keys_by_version.irange(after + 1):
            if len(rows) >= limit:
                return ScanResult(tuple(rows), rows[-1].version)
            for key in self._keys_by_version[version]:
                row = self._rows[key]
                if key.startswith(wanted) and (after or row.value is not None):
                    rows.append(row)
        return ScanResult(tuple(rows), self._version)

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Apply a transaction; see ``Table.commit``."""
        self.outage.before()
        for condition in conditions:
            row = self._rows.get(condition.key)
            present = row.version if row and row.value is not None else 0
            if present != condition.version:
                raise TransactionConflictError(
                    f"{condition.key} is at {present}, not {condition.version}"
                )
        self._version += 1
        for write in writes:
            old = self._rows.get(write.key)
            if old is not None:
                keys = self._keys_by_version[old.version]
                keys.discard(write.key)
                if not keys:
                    del self._keys_by_version[old.version]
            self._rows[write.key] = Row(write.key, write.value, self._version)
            self._keys_by_version.setdefault(self._version, SortedSet()).add(write.key)
        self.outage.after_change()
        return self._version


class MemoryObjects:
    """An ``ObjectStore`` in memory; ``outage`` injects failures."""

    def __init__(self) -> None:
        """Start empty."""
        self.outage = Outage()
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; see ``ObjectStore.put``."""
        self.outage.before()
        self._objects[name] = data
        self.outage.after_change()

    async def get(self, name: str) -> bytes | None:
        """Return an object; see ``ObjectStore.get``."""
        self.outage.before()
        return self._objects.get(name)


class MemoryVms:
    """A ``VmList`` in memory; tests set ``vms``."""

    def __init__(self, vms: Iterable[Vm] = ()) -> None:
        """Start with ``vms``."""
        self.outage = Outage()
        self.vms = list(vms)

    async def list_vms(self) -> Sequence[Vm]:
        """Return all VMs; see ``VmList.list_vms``."""
        self.outage.before()
        return tuple(self.vms)
