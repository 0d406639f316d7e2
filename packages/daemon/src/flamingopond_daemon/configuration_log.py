"""Reads the configuration history in the table and appends to it."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Sequence
from typing import Any, Protocol

import anyio
import attrs
import orjson

from flamingopond_core.configuration import Configuration
from flamingopond_core.exceptions import (
    InvalidInputError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from flamingopond_core.findings import Finding
from flamingopond_core.objects import CONVERTER, Change, ChangeSet
from flamingopond_core.revisions import find_conflicts
from flamingopond_platform.table import Condition, Table, Write

HEAD = "config/head"
LOG = "config/log/"
# If the response to a commit is lost, its outcome is determined within this time or
# reported as unknown.
SETTLE_TIMEOUT_S = 10.0
_SETTLE_RETRY_S = 0.25
_SCAN_LIMIT = 1000
# Maximum number of change sets that are searched for conflicts with a stale proposal.
_MAX_CONFLICT_SCAN = 1000


@attrs.frozen
class Head:
    """The newest revision in the table and the table version at which it was read."""

    revision: int
    table_version: int


@attrs.frozen
class ProposeResult:
    """Outcome of a proposal.

    ``change_set`` is set if the proposal was accepted. Otherwise either
    ``outcome_unknown`` is set because the table did not answer, or the base revision
    is stale; ``conflicts`` then holds the later change sets that touch the same
    objects. ``confirmed_at`` is the time at which the commit was sent, if
    ``revision`` was the newest then.
    """

    base_revision: int
    revision: int
    change_set: ChangeSet | None = None
    outcome_unknown: bool = False
    conflicts: tuple[ChangeSet, ...] = ()
    confirmed_at: float | None = None


class Replica(Protocol):
    """The local configuration that a proposal is checked against."""

    @property
    def configuration(self) -> Configuration:
        """The configuration at the newest applied revision."""

    async def catch_up(self, revision: int) -> None:
        """Apply the change sets up to ``revision`` from the table."""


class ConfigurationLog:
    """Rows ``config/head``, ``config/log/…`` and ``config/op/…`` of the table.

    They hold the newest revision, the change sets and the accepted operations.
    """

    def __init__(
        self,
        table: Table,
        record_store_contact: Callable[[float], None],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """Call ``record_store_contact`` with the sending time of each answered call."""
        self._table = table
        self._record_store_contact = record_store_contact
        self._clock = clock
        self._wall_clock = wall_clock

    async def read_head(self) -> tuple[Head, float]:
        """Return the head and the time at which the read was sent."""
        sent_at = self._clock()
        rows = await self._table.read([HEAD])
        self._record_store_contact(sent_at)
        row = rows.get(HEAD)
        if row is None or row.value is None:
            return Head(0, 0), sent_at
        return Head(_decode_revision(row.value), row.version), sent_at

    async def read_changes(self, known: Head) -> tuple[list[ChangeSet], Head, float]:
        """Return the change sets after ``known``, the new head and a time.

        The time is when the last scan was sent, which confirms the head.
        """
        change_sets: list[ChangeSet] = []
        revision, version = known.revision, known.table_version
        while True:
            sent_at = self._clock()
            result = await self._table.scan([HEAD, LOG], version, _SCAN_LIMIT)
            self._record_store_contact(sent_at)
            for row in result.rows:
                if row.value is None:
                    continue
                if row.key == HEAD:
                    revision = max(revision, _decode_revision(row.value))
                else:
                    change_sets.append(ChangeSet.from_json(row.value))
            version = max(version, result.version)
            if len(result.rows) < _SCAN_LIMIT:
                return change_sets, Head(revision, version), sent_at

    async def read(self, revisions: Sequence[int]) -> tuple[ChangeSet, ...]:
        """Return the change sets of ``revisions``."""
        if not revisions:
            return ()
        keys = [_log_key(revision) for revision in revisions]
        sent_at = self._clock()
        rows = await self._table.read(keys)
        self._record_store_contact(sent_at)
        values = [rows[key].value for key in keys if key in rows]
        return tuple(ChangeSet.from_json(value) for value in values if value)

    async def find_operation(self, operation_id: str) -> int | None:
        """Return the revision that an operation created, if it was accepted."""
        key = _operation_key(operation_id)
        sent_at = self._clock()
        rows = await self._table.read([key])
        self._record_store_contact(sent_at)
        row = rows.get(key)
        return None if row is None or row.value is None else _decode_revision(row.value)

    async def commit(
        self,
        replica: Replica,
        changes: tuple[Change, ...],
        base_revision: int,
        author: str,
        operation_id: str,
        request_digest: str = "",
    ) -> ProposeResult:
        """Add a change set on top of ``base_revision``, at most once.

        After a lost response the rows are read again. If the head is unchanged, the
        same transaction is retried; its conditions fail if the first one takes effect
        late, so the operation cannot be accepted twice.
        """
        may_have_committed = False
        give_up_at = self._clock() + SETTLE_TIMEOUT_S
        while True:
            try:
                result = await self._try_commit(
                    replica,
                    changes,
                    base_revision,
                    author,
                    operation_id,
                    request_digest,
                )
                if result is not None:
                    return result
            except OutcomeUnknownError:
                may_have_committed = True
            except PlatformUnavailableError:
                if not may_have_committed:
                    raise
            if self._clock() >= give_up_at:
                if may_have_committed:
                    return ProposeResult(
                        base_revision,
                        replica.configuration.revision,
                        outcome_unknown=True,
                    )
                raise PlatformUnavailableError("the head of the history kept moving")
            await anyio.sleep(_SETTLE_RETRY_S)

    async def _try_commit(
        self,
        replica: Replica,
        changes: tuple[Change, ...],
        base_revision: int,
        author: str,
        operation_id: str,
        request_digest: str = "",
    ) -> ProposeResult | None:
        """Make one attempt; return ``None`` if the rows changed concurrently."""
        operation_key = _operation_key(operation_id)
        sent_at = self._clock()
        rows = await self._table.read([HEAD, operation_key])
        self._record_store_contact(sent_at)
        operation_row = rows.get(operation_key)
        if operation_row is not None and operation_row.value is not None:
            return await self._repeated_result(
                operation_row.value, changes, base_revision
            )
        head_row = rows.get(HEAD)
        head = _decode_revision(head_row.value) if head_row and head_row.value else 0
        await replica.catch_up(head)
        if base_revision > head:
            raise InvalidInputError(
                [Finding("base_revision", f"{base_revision} is later than {head}")]
            )
        if base_revision < head:
            start = max(base_revision, head - _MAX_CONFLICT_SCAN)
            conflicts = find_conflicts(
                changes, await self.read(range(start + 1, head + 1))
            )
            return ProposeResult(base_revision, head, conflicts=conflicts)
        findings = replica.configuration.check(changes)
        if findings:
            raise InvalidInputError(findings)
        change_set = ChangeSet(
            operation_id,
            author,
            head,
            head + 1,
            changes,
            self._wall_clock(),
            request_digest,
        )
        record = {"revision": head + 1, "digest": _compute_digest(changes)}
        sent_at = self._clock()
        try:
            await self._table.commit(
                [
                    Condition(HEAD, head_row.version if head_row else 0),
                    Condition(operation_key, 0),
                ],
                [
                    Write(HEAD, orjson.dumps({"revision": head + 1})),
                    Write(_log_key(head + 1), change_set.to_json()),
                    Write(operation_key, orjson.dumps(record)),
                ],
            )
        except TransactionConflictError:
            self._record_store_contact(sent_at)
            return None
        self._record_store_contact(sent_at)
        return ProposeResult(head, head + 1, change_set, confirmed_at=sent_at)

    async def _repeated_result(
        self,
        record: bytes,
        changes: tuple[Change, ...],
        base_revision: int,
    ) -> ProposeResult:
        if orjson.loads(record)["digest"] != _compute_digest(changes):
            raise InvalidInputError(
                [Finding("operation_id", "was used before for other changes")]
            )
        revision = _decode_revision(record)
        (change_set,) = await self.read([revision])
        return ProposeResult(base_revision, revision, change_set)


def _decode_revision(value: bytes) -> int:
    record: dict[str, Any] = orjson.loads(value)
    return int(record["revision"])


def _compute_digest(changes: tuple[Change, ...]) -> str:
    data = orjson.dumps(CONVERTER.unstructure(changes), option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


def _log_key(revision: int) -> str:
    return f"{LOG}{revision:012d}"


def _operation_key(operation_id: str) -> str:
    return f"config/op/{operation_id}"
