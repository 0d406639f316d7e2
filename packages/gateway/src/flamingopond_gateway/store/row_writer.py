"""Writes of rows that are independent of each other."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

import structlog
from attrs import define, field

from .storage import Change, RowsRefusedError, Store

# Rows and bytes of values that the store takes in one call.
MAX_ROWS_PER_WRITE = 100
MAX_BYTES_PER_WRITE = 500000
# A row that the store has refused is left out for this long, unless its value changes.
REFUSED_ROW_PAUSE_S = 60.0

log = structlog.get_logger()

RowId = tuple[str, str, str]


def row_id(change: Change) -> RowId:
    """Return table, part and key of a row."""
    return (change.table, change.part, change.key)


def batches(changes: Iterable[Change]) -> Iterator[list[Change]]:
    """Return the rows in calls that the store takes, in order."""
    batch: list[Change] = []
    size = 0
    for change in changes:
        size += len(change.value)
        if batch and (size > MAX_BYTES_PER_WRITE or len(batch) == MAX_ROWS_PER_WRITE):
            yield batch
            batch, size = [], len(change.value)
        batch.append(change)
    if batch:
        yield batch


@define(eq=False)
class RowWriter:
    """Writes rows; one that the store refuses doesn't keep the others out."""

    _store: Store
    _timeout_s: float
    _refused: dict[RowId, tuple[bytes, float]] = field(factory=dict)

    async def write(self, changes: Iterable[Change], now: float) -> list[Change]:
        """Write rows without conditions; return those that the store has taken.

        Raises PlatformError if the store doesn't carry out a call; rows of earlier
        calls may have been written then.
        """
        self._forget(now)
        due = [change for change in changes if not self._is_refused(change)]
        written: list[Change] = []
        for batch in batches(due):
            written += await self._write_batch(batch, now)
        return written

    async def write_one(self, change: Change, now: float) -> int | None:
        """Write a row; return its version, or None if the store refuses it.

        Raises RowConflictError if the row has another version than expected, and
        PlatformError if the store doesn't carry out the call.
        """
        self._forget(now)
        if self._is_refused(change):
            return None
        try:
            return await self._store.write([change], self._timeout_s)
        except RowsRefusedError as error:
            self._set_aside(change, str(error), now)
            return None

    async def _write_batch(self, batch: Sequence[Change], now: float) -> list[Change]:
        """Write a batch, or its halves if the store refuses it."""
        try:
            await self._store.write(batch, self._timeout_s)
        except RowsRefusedError as error:
            if len(batch) == 1:
                self._set_aside(batch[0], str(error), now)
                return []
            middle = len(batch) // 2
            written = await self._write_batch(batch[:middle], now)
            return written + await self._write_batch(batch[middle:], now)
        return list(batch)

    def _set_aside(self, change: Change, reason: str, now: float) -> None:
        self._refused[row_id(change)] = (change.value, now)
        log.error(
            "row refused by the store",
            table=change.table,
            key=change.key,
            size=len(change.value),
            reason=reason,
        )

    def _is_refused(self, change: Change) -> bool:
        value, _ = self._refused.get(row_id(change), (None, 0.0))
        return value == change.value

    def _forget(self, now: float) -> None:
        for row, (_, refused_at) in list(self._refused.items()):
            if now - refused_at > REFUSED_ROW_PAUSE_S:
                del self._refused[row]
