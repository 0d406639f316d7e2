"""In-memory fakes of the platform services; the HTTP fakes serve these."""

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
    """Failures that an in-memory fake injects.

    While ``down``, every call fails. The next ``responses_to_lose`` changes take
    effect, but fail with ``OutcomeUnknownError``.
    """

    def __init__(self) -> None:
        """Start without failures."""
        self.down = False
        self.responses_to_lose = 0

    def raise_if_down(self) -> None:
        """Raise ``PlatformUnavailableError`` while down."""
        if self.down:
            raise PlatformUnavailableError("injected fault: service down")

    def raise_if_response_lost(self) -> None:
        """Raise ``OutcomeUnknownError`` if a lost response is injected."""
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise OutcomeUnknownError("injected fault: response lost")


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
        """Version of the last commit."""
        return self._version

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the existing rows; see ``Table.read``."""
        self.outage.raise_if_down()
        rows = (self._rows.get(key) for key in keys)
        return {row.key: row for row in rows if row and row.value is not None}

    async def scan(
        self, prefixes: Sequence[str], after: int = 0, limit: int = 1000
    ) -> ScanResult:
        """Return changed rows; see ``Table.scan``.

        All rows of a commit are returned together, so the result may exceed
        ``limit``.
        """
        self.outage.raise_if_down()
        prefix_tuple = tuple(prefixes)
        rows: list[Row] = []
        for version in self._keys_by_version.irange(after + 1):
            if len(rows) >= limit:
                return ScanResult(tuple(rows), rows[-1].version)
            for key in self._keys_by_version[version]:
                row = self._rows[key]
                if key.startswith(prefix_tuple) and (after or row.value is not None):
                    rows.append(row)
        return ScanResult(tuple(rows), self._version)

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Apply a transaction; see ``Table.commit``."""
        self.outage.raise_if_down()
        for condition in conditions:
            row = self._rows.get(condition.key)
            current_version = row.version if row and row.value is not None else 0
            if current_version != condition.version:
                raise TransactionConflictError(
                    f"{condition.key} is at {current_version}, not {condition.version}"
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
        self.outage.raise_if_response_lost()
        return self._version


class MemoryObjectStore:
    """An ``ObjectStore`` in memory; ``outage`` injects failures."""

    def __init__(self) -> None:
        """Start empty."""
        self.outage = Outage()
        self._objects: dict[str, bytes] = {}

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; see ``ObjectStore.put``."""
        self.outage.raise_if_down()
        self._objects[name] = data
        self.outage.raise_if_response_lost()

    async def get(self, name: str) -> bytes | None:
        """Return an object; see ``ObjectStore.get``."""
        self.outage.raise_if_down()
        return self._objects.get(name)


class MemoryVmList:
    """A ``VmList`` in memory; tests set ``vms``."""

    def __init__(self, vms: Iterable[Vm] = ()) -> None:
        """Start with ``vms``."""
        self.outage = Outage()
        self.vms = list(vms)

    async def list_vms(self) -> Sequence[Vm]:
        """Return all VMs; see ``VmList.list_vms``."""
        self.outage.raise_if_down()
        return tuple(self.vms)
