"""The transactional table service: interface and data types.

Rows are small byte strings under string keys. Every commit gets the next table
version; a row remembers the version that wrote it. A delete leaves a tombstone
that ``scan`` reports, so that a reader can follow changes by version.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs


@attrs.frozen
class Row:
    """A row as read; ``value`` is ``None`` for a deleted row."""

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Condition:
    """Holds if the row's version is ``version``; 0 means that no row exists.

    A deleted row counts as absent.
    """

    key: str
    version: int


@attrs.frozen
class Write:
    """Sets the row to ``value``, or deletes it if ``value`` is ``None``."""

    key: str
    value: bytes | None


@attrs.frozen
class ScanResult:
    """Changed rows in version order and the version up to which they are complete."""

    rows: tuple[Row, ...]
    version: int


class Table(Protocol):
    """A transactional table service."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return the rows that exist; one read operation.

        Raises ``PlatformUnavailableError``.
        """

    async def scan(
        self, prefixes: Sequence[str], after: int = 0, limit: int = 1000
    ) -> ScanResult:
        """Return rows under ``prefixes`` written after table version ``after``.

        With ``after`` 0 deleted rows are left out. At most ``limit`` rows come
        back; ``version`` is then the version of the last one. One read operation.
        Raises ``PlatformUnavailableError``.
        """

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Apply ``writes`` if all ``conditions`` hold; return the new version.

        One write operation. Raises ``TransactionConflictError`` if a condition
        failed, ``PlatformUnavailableError`` if nothing was changed, and
        ``OutcomeUnknownError`` if the reply was lost.
        """
