"""The transactional table service: interface and data types.

Rows are small byte strings under string keys. Each commit gets the next version
of the table, and a row keeps the version of the commit that wrote it. A delete
leaves a tombstone that ``scan`` returns, so that readers can follow changes.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs


@attrs.frozen
class Row:
    """A stored row; ``value`` is ``None`` if it was deleted."""

    key: str
    value: bytes | None
    version: int


@attrs.frozen
class Condition:
    """Requires that the row has ``version``; 0 stands for an absent or deleted row."""

    key: str
    version: int


@attrs.frozen
class Write:
    """Sets the row to ``value``, or deletes it if ``value`` is ``None``."""

    key: str
    value: bytes | None


@attrs.frozen
class ScanResult:
    """Changed rows in version order, complete up to ``version`` of the table."""

    rows: tuple[Row, ...]
    version: int


class Table(Protocol):
    """A transactional table service."""

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Return those of the rows that exist, by key.

        One read operation. Raises ``PlatformUnavailableError``.
        """

    async def scan(
        self, prefixes: Sequence[str], after: int = 0, limit: int = 1000
    ) -> ScanResult:
        """Return rows under ``prefixes`` written after table version ``after``.

        Deleted rows are included unless ``after`` is 0. If ``limit`` cuts the rows
        off, the result's ``version`` is that of the last row returned. One read
        operation. Raises ``PlatformUnavailableError``.
        """

    async def commit(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> int:
        """Apply ``writes`` if all ``conditions`` hold; return the new version.

        One write operation. Raises ``TransactionConflictError`` if a condition
        does not hold, ``PlatformUnavailableError`` if the call failed and changed
        nothing, and ``OutcomeUnknownError`` if the writes may have been applied.
        """
