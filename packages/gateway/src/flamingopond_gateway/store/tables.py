"""Local copies of the store's tables, updated from the store and from peers."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, evolve, field

from .row_delta import MIN_DELTA_BYTES, RowHistory
from .storage import Row, Rows, era_of

# Tombstones that are kept; peers that lack older ones are sent the whole table.
MAX_TOMBSTONES = 1000


@define
class TableCopy:
    """Rows of one table up to a version of the store; never applies older ones.

    Removed rows are kept as tombstones, so that they can be sent to peers. A copy that
    was read from the store lacks those of earlier removals: ``removals_since``.
    """

    _rows: dict[tuple[str, str], Row] = field(factory=dict)
    _history: RowHistory = field(factory=RowHistory)
    _version: int = 0
    _removals_since: int = 0
    _first_read_version: int = 0
    _restored_version: int = 0
    _complete: bool = False
    _watchable: bool = False
    # Version of the newest row, None after a change.
    _newest_row: int | None = None

    @property
    def watchable(self) -> bool:
        """Whether the table can be watched for changes after ``version``."""
        return self._watchable

    @property
    def version(self) -> int:
        """Store version up to which the copy is current."""
        return self._version

    @property
    def complete(self) -> bool:
        """Whether the whole table has been read, from the store or a peer."""
        return self._complete

    @property
    def content_version(self) -> int:
        """Version by which copies are compared: that of the newest change seen here.

        It is not below that of the first read, which reflects earlier removals without
        a tombstone. A row of a later page of a read may be newer than the copy.
        """
        if self._newest_row is None:
            self._newest_row = max(
                (row.version for row in self._rows.values()), default=0
            )
        return max(min(self._newest_row, self._version), self._first_read_version)

    @property
    def removals_since(self) -> int:
        """Version after which the tombstones of all removed rows are known."""
        return self._removals_since

    @property
    def restored_version(self) -> int:
        """Version up to which rows may stem from an older copy of the store.

        It is 0 until the store has come back from one.
        """
        return self._restored_version

    def rows(self) -> list[Row]:
        """Return the rows that are not removed."""
        return [row for row in self._rows.values() if not row.removed]

    def row(self, part: str, key: str) -> Row | None:
        """Return a row or its tombstone."""
        return self._rows.get((part, key))

    def previous_value(self, part: str, key: str, version: int) -> bytes | None:
        """Return the value that a large row had at ``version``, if it is kept."""
        return self._history.get(part, key, version)

    def large_rows(self) -> list[Row]:
        """Return the rows whose changes are worth sending as a difference."""
        return [row for row in self._rows.values() if len(row.value) >= MIN_DELTA_BYTES]

    def changed_after(self, version: int) -> Rows:
        """Return all rows and tombstones that are newer than ``version``."""
        changed = tuple(row for row in self._rows.values() if row.version > version)
        return Rows(changed, self._version)

    def merge(self, changes: Rows) -> list[Row]:
        """Apply changes since ``version``; return the rows that are new here."""
        if self._version and era_of(changes.version) > era_of(self._version):
            self._restored_version = changes.version
        new_rows = self._apply(changes.rows)
        self._version = max(self._version, changes.version)
        return new_rows

    def replace(self, table: Rows) -> list[Row]:
        """Apply a read of the whole table; return the rows that are new here.

        A read older than the copy is ignored: after it has lost its change history,
        the store may answer from a stale replica.
        """
        self._watchable = True
        if self._complete and table.version < self._version:
            return []
        found = {(row.part, row.key) for row in table.rows}
        gone = [
            evolve(row, value=b"", version=table.version, removed=True)
            for key, row in self._rows.items()
            if key not in found and not row.removed
        ]
        if not self._complete:
            self._first_read_version = table.version
        self._complete = True
        if table.version > self._version:
            # Rows that were added and removed in between are unknown here.
            self._removals_since = table.version
        return self.merge(Rows((*table.rows, *gone), table.version))

    def require_full_read(self) -> None:
        """Require a read of the whole table before the next watch."""
        self._watchable = False

    def apply_from_peer(self, changes: Rows, whole_at: int = 0) -> list[Row]:
        """Apply changes from a peer that has the whole table.

        ``whole_at`` is the peer's content version if it sent all rows, else 0.
        """
        if whole_at:
            new_rows = self.replace(changes)
            self._first_read_version = max(self._first_read_version, whole_at)
            return new_rows
        self._complete = True
        self._watchable = True
        return self.merge(changes)

    def _apply(self, rows: Iterable[Row]) -> list[Row]:
        # A feed lists every version of a row that changed several times; only the
        # newest is returned.
        new_rows: dict[tuple[str, str], Row] = {}
        for row in rows:
            key = (row.part, row.key)
            present = self._rows.get(key)
            if present is None or present.version < row.version:
                if present is not None:
                    self._history.add(*key, present.version, present.value)
                self._rows[key] = row
                new_rows[key] = row
        self._drop_old_tombstones()
        self._newest_row = None
        return list(new_rows.values())

    def _drop_old_tombstones(self) -> None:
        if len(self._rows) <= MAX_TOMBSTONES:
            return
        tombstones = [row for row in self._rows.values() if row.removed]
        tombstones.sort(key=lambda row: row.version)
        for row in tombstones[: len(tombstones) - MAX_TOMBSTONES]:
            del self._rows[(row.part, row.key)]
            self._removals_since = max(self._removals_since, row.version)
