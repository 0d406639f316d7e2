"""The configuration history in the table: reading it and adding to it."""

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
# A proposal whose reply was lost is settled within this time, in seconds, or is
# reported as unknown.
SETTLE_LIMIT = 10.0
_SETTLE_RETRY = 0.25
_SCAN_LIMIT = 1000
# Change sets read to tell an operator what was changed in between.
_BETWEEN_LIMIT = 1000


@attrs.frozen
class Head:
    """The newest revision in the table and the table version seen with it."""

    revision: int
    table_version: int


@attrs.frozen
class ProposeResult:
    """How a proposal ended.

    ``change_set`` is set if it was accepted. Otherwise ``unknown`` tells that the
    table did not answer, or the proposal was based on an old revision;
    ``between`` then holds the change sets since that touch the same objects.
    ``confirmed_at`` is when the commit was sent, if ``revision`` was the newest
    then.
    """

    base_revision: int
    revision: int
    change_set: ChangeSet | None = None
    unknown: bool = False
    between: tuple[ChangeSet, ...] = ()
    confirmed_at: float | None = None


class Holder(Protocol):
    """The configuration that a proposal is checked against."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    async def catch_up(self, revision: int) -> None:
        """Apply everything up to ``revision`` from the table."""


class ConfigurationLog:
    """Rows ``config/head``, ``config/log/…`` and ``config/op/…``."""

    def __init__(
        self,
        table: Table,
        store_contact: Callable[[float], None],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        """``store_contact`` is told of the time of each call that was answered."""
        self._table = table
        self._store_contact = store_contact
        self._clock = clock
        self._wall_clock = wall_clock

    async def read_head(self) -> tuple[Head, float]:
        """Return the head and when the read was sent."""
        sent = self._clock()
        rows = await self._table.read([HEAD])
        self._store_contact(sent)
        row = rows.get(HEAD)
        if row is None or row.value is None:
            return Head(0, 0), sent
        return Head(_revision_in(row.value), row.version), sent

    async def read_changes(self, known: Head) -> tuple[list[ChangeSet], Head, float]:
        """Return the change sets and the head written after ``known``.

        The time is that at which the last scan, which confirms the head, was sent.
        """
        change_sets: list[ChangeSet] = []
        revision, version = known.revision, known.table_version
        while True:
            sent = self._clock()
            result = await self._table.scan([HEAD, LOG], version, _SCAN_LIMIT)
            self._store_contact(sent)
            for row in result.rows:
                if row.value is None:
                    continue
                if row.key == HEAD:
                    revision = max(revision, _revision_in(row.value))
                else:
                    change_sets.append(ChangeSet.from_json(row.value))
            version = max(version, result.version)
            if len(result.rows) < _SCAN_LIMIT:
                return change_sets, Head(revision, version), sent

    async def read(self, revisions: Sequence[int]) -> tuple[ChangeSet, ...]:
        """Return the change sets of ``revisions``."""
        if not revisions:
            return ()
        keys = [_log_key(revision) for revision in revisions]
        sent = self._clock()
        rows = await self._table.read(keys)
        self._store_contact(sent)
        values = [rows[key].value for key in keys if key in rows]
        return tuple(ChangeSet.from_json(value) for value in values if value)

    async def find_operation(self, operation_id: str) -> int | None:
        """Return the revision that an operation led to, if it was accepted."""
        key = _operation_key(operation_id)
        sent = self._clock()
        rows = await self._table.read([key])
        self._store_contact(sent)
        row = rows.get(key)
        return None if row is None or row.value is None else _revision_in(row.value)

    async def commit(
        self,
        holder: Holder,
        changes: tuple[Change, ...],
        base_revision: int,
        author: str,
        operation_id: str,
        request_digest: str = "",
    ) -> ProposeResult:
        """Add a change set on top of ``base_revision``, at most once.

        After a lost reply the rows are read again and, if the head has not moved,
        the same transaction is sent again: its conditions fail if the first one
        takes effect late, so the operation cannot be accepted twice.
        """
        sent_before = False
        give_up = self._clock() + SETTLE_LIMIT
        while True:
            try:
                result = await self._try_commit(
                    holder,
                    changes,
                    base_revision,
                    author,
                    operation_id,
                    request_digest,
                )
                if result is not None:
                    return result
            except OutcomeUnknownError:
                sent_before = True
            except PlatformUnavailableError:
                if not sent_before:
                    raise
            if self._clock() >= give_up:
                if sent_before:
                    return ProposeResult(
                        base_revision, holder.configuration.revision, unknown=True
                    )
                raise PlatformUnavailableError("the head of the history kept moving")
            await anyio.sleep(_SETTLE_RETRY)

    async def _try_commit(
        self,
        holder: Holder,
        changes: tuple[Change, ...],
        base_revision: int,
        author: str,
        operation_id: str,
        request_digest: str = "",
    ) -> ProposeResult | None:
        """Make one attempt; ``None`` means that the rows changed meanwhile."""
        operation_key = _operation_key(operation_id)
        sent = self._clock()
        rows = await self._table.read([HEAD, operation_key])
        self._store_contact(sent)
        operation = rows.get(operation_key)
        if operation is not None and operation.value is not None:
            return await self._accepted(operation.value, changes, base_revision)
        head_row = rows.get(HEAD)
        head = _revision_in(head_row.value) if head_row and head_row.value else 0
        await holder.catch_up(head)
        if base_revision > head:
            raise InvalidInputError(
                [Finding("base_revision", f"{base_revision} is later than {head}")]
            )
        if base_revision < head:
            start = max(base_revision, head - _BETWEEN_LIMIT)
            between = find_conflicts(
                changes, await self.read(range(start + 1, head + 1))
            )
            return ProposeResult(base_revision, head, between=between)
        findings = holder.configuration.check(changes)
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
        record = {"revision": head + 1, "digest": _digest_of(changes)}
        sent = self._clock()
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
            self._store_contact(sent)
            return None
        self._store_contact(sent)
        return ProposeResult(head, head + 1, change_set, confirmed_at=sent)

    async def _accepted(
        self,
        record: bytes,
        changes: tuple[Change, ...],
        base_revision: int,
    ) -> ProposeResult:
        if orjson.loads(record)["digest"] != _digest_of(changes):
            raise InvalidInputError(
                [Finding("operation_id", "was used before for other changes")]
            )
        revision = _revision_in(record)
        (change_set,) = await self.read([revision])
        return ProposeResult(base_revision, revision, change_set)


def _revision_in(value: bytes) -> int:
    record: dict[str, Any] = orjson.loads(value)
    return int(record["revision"])


def _digest_of(changes: tuple[Change, ...]) -> str:
    data = orjson.dumps(CONVERTER.unstructure(changes), option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


def _log_key(revision: int) -> str:
    return f"{LOG}{revision:012d}"


def _operation_key(operation_id: str) -> str:
    return f"config/op/{operation_id}"
