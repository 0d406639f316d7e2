"""Interface of the platform's store: rows, versions, writes and errors.

The store numbers its transactions. When it comes back from an older copy it gives out
numbers again, and its era rises. A version holds both, the era in the upper bits, so
that versions are ordered, and differ, over all eras; outside of the store's client
there are no bare numbers.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from attrs import frozen

from flamingopond_core.exceptions import PlatformError, TransactionConflictError

# Room for 10^12 transactions in an era. Versions of the first 8,192 eras are exact in
# double precision, which a receiver of fencing tokens may use.
_NUMBER_BITS = 40
_MAX_NUMBER = (1 << _NUMBER_BITS) - 1
MAX_ERA = (1 << 23) - 1


def make_version(era: int, number: int) -> int:
    """Return the version of a transaction's number in an era.

    Raises ValueError if one of them is negative or too large.
    """
    if not (0 <= era <= MAX_ERA and 0 <= number <= _MAX_NUMBER):
        raise ValueError(f"no version: era {era}, number {number}")
    return era << _NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Return the number within its era of a version."""
    return version & _MAX_NUMBER


class HistoryLostError(PlatformError):
    """The store doesn't have the requested changes; read the table again."""


class RowConflictError(TransactionConflictError):
    """A row had another version than expected; nothing was written."""

    def __init__(self, rows: tuple[Row, ...]) -> None:
        """Store the current rows among those with an expected version."""
        super().__init__("a row has another version than expected")
        self._rows = rows

    @property
    def rows(self) -> tuple[Row, ...]:
        """Current rows among those with an expected version."""
        return self._rows


class RowsRefusedError(PlatformError):
    """The store doesn't take these rows as they are; nothing was written."""


@frozen
class Row:
    """A row of a table, and the store's version at which it was written."""

    table: str
    part: str
    key: str
    value: bytes
    version: int
    removed: bool = False


@frozen
class Rows:
    """Rows of a table, current up to the store's version ``version``.

    ``store_ms`` is the time of the store's clock, which is steady; 0 if unknown.
    """

    rows: tuple[Row, ...]
    version: int
    store_ms: float = 0.0


@frozen
class Change:
    """A row to write, if its present version is ``expected_version``.

    0 stands for a row that does not exist yet, None for a write without a check.
    """

    table: str
    part: str
    key: str
    value: bytes
    expected_version: int | None = None


class Store(Protocol):
    """Client of the platform's versioned key-value store."""

    async def read(self, table: str, timeout_s: float, part: str = "") -> Rows:
        """Read all rows of one part of a table."""

    async def watch(self, table: str, after: int, wait_s: float) -> Rows:
        """Wait for rows changed after a version; return none after ``wait_s``."""

    async def write(self, changes: Iterable[Change], timeout_s: float) -> int:
        """Apply all changes or none; return the store's new version.

        Raises RowsRefusedError if a repeat of the call would be refused, too.
        """
