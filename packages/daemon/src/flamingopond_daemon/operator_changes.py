"""Builds change sets from operators' requests and commits them."""

from __future__ import annotations

import hashlib
import os
import re
import uuid
from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol, TypeVar

import attrs

from flamingopond_core import keys
from flamingopond_core.configuration import Configuration
from flamingopond_core.enums import ObjectKind
from flamingopond_core.exceptions import InvalidInputError, PlatformUnavailableError
from flamingopond_core.fields import read_object
from flamingopond_core.findings import Finding, collect_findings
from flamingopond_core.ini_format import Difference, check_document, read_ini
from flamingopond_core.objects import NAME_FIELDS, Change, ChangeSet, to_fields
from flamingopond_daemon.configuration_log import ProposeResult

_OPERATION_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
# How often a request without a base revision is built again if changes to other
# objects were accepted first.
_REBASE_LIMIT = 5

BuildResult = TypeVar("BuildResult")
Build = Callable[[Configuration], Sequence[Change]]


class ReplicatedConfiguration(Protocol):
    """The replica of the configuration, as used by the operators' API."""

    @property
    def configuration(self) -> Configuration:
        """The configuration at the newest applied revision."""

    async def propose(
        self,
        changes: Sequence[Change],
        base_revision: int,
        author: str,
        operation_id: str,
        request_digest: str = "",
    ) -> ProposeResult:
        """Commit ``changes`` on top of ``base_revision``."""

    async def poll(self) -> bool:
        """Apply new change sets from the table; return whether that succeeded."""

    async def wait_in_force(self, revision: int) -> bool:
        """Wait for a limited time until a majority has ``revision``."""

    async def history(self, after: int, limit: int) -> tuple[ChangeSet, ...]:
        """Return accepted change sets after revision ``after``, oldest first."""

    async def find_operation(self, operation_id: str) -> int | None:
        """Return the revision that an operation created, if it was accepted."""

    def is_fresh(self, now: float) -> bool:
        """Tell whether the configuration was recently confirmed as the newest."""

    def may_serve(self, now: float) -> bool:
        """Tell whether requests with an API key may be served."""


@attrs.frozen
class ChangeRequest:
    """Parameters of every request that changes the configuration.

    Without ``base_revision`` the current revision is used. ``may_be_repeated`` is set
    if the client chose the operation id. ``digest`` identifies the request, so that an
    operation id cannot be reused for another one.
    """

    author: str
    operation_id: str
    may_be_repeated: bool
    base_revision: int | None
    digest: str

    @classmethod
    def from_query(
        cls, query: Mapping[str, str], method: str, path: str, body: bytes
    ) -> ChangeRequest:
        """Read the query parameters; raises ``InvalidInputError``."""
        operation_id = query.get("operation_id", "")
        base = query.get("base_revision")
        with collect_findings() as findings:
            if operation_id and not _OPERATION_PATTERN.fullmatch(operation_id):
                findings.add(
                    "operation_id", "must be 1 to 64 letters, digits, '.', '_' or '-'"
                )
            if base is not None and not base.isdecimal():
                findings.add("base_revision", f"not a revision: {base!r}")
        excluded = {"author", "operation_id", "base_revision"}
        other_params = sorted((k, v) for k, v in query.items() if k not in excluded)
        text = f"{method} {path} {other_params} ".encode()
        return cls(
            query.get("author", "operator")[:128],
            operation_id or uuid.uuid4().hex,
            bool(operation_id),
            None if base is None else int(base),
            hashlib.sha256(text + body).hexdigest(),
        )


@attrs.frozen
class ChangeOutcome:
    """A proposal's result and changes; in force if a majority has applied it."""

    request: ChangeRequest
    result: ProposeResult
    changes: tuple[Change, ...]
    in_force: bool = False


async def commit(
    sync: ReplicatedConfiguration, request: ChangeRequest, build: Build
) -> ChangeOutcome:
    """Commit the changes that ``build`` returns for the current configuration.

    Raises ``InvalidInputError`` with all findings.
    """
    earlier_outcome = await find_earlier_outcome(sync, request)
    if earlier_outcome is not None:
        return earlier_outcome
    await _catch_up_to_base(sync, request.base_revision)
    for _ in range(_REBASE_LIMIT):
        changes = tuple(await build_with_refresh(sync, build))
        revision = sync.configuration.revision
        base = revision if request.base_revision is None else request.base_revision
        result = await sync.propose(
            changes, base, request.author, request.operation_id, request.digest
        )
        stale = result.change_set is None and not result.outcome_unknown
        if not stale or result.conflicts or request.base_revision is not None:
            break
    if result.change_set is None:
        return ChangeOutcome(request, result, changes)
    in_force = await sync.wait_in_force(result.revision)
    return ChangeOutcome(request, result, changes, in_force)


async def build_with_refresh(
    sync: ReplicatedConfiguration, build: Callable[[Configuration], BuildResult]
) -> BuildResult:
    """Return the result of ``build``; if it fails, poll and try again.

    The second attempt is only made if the poll brought a newer revision.
    """
    revision = sync.configuration.revision
    try:
        return build(sync.configuration)
    except InvalidInputError:
        await sync.poll()
        if sync.configuration.revision == revision:
            raise
        return build(sync.configuration)


async def _catch_up_to_base(sync: ReplicatedConfiguration, base: int | None) -> None:
    """Catch up with a base revision that the operator read from another node.

    Changes built from an older configuration would undo the later ones.
    """
    if base is None or base <= sync.configuration.revision:
        return
    if not await sync.poll():
        raise PlatformUnavailableError(
            f"this node is at revision {sync.configuration.revision} and cannot "
            f"read revision {base}"
        )
    if base > sync.configuration.revision:
        raise InvalidInputError(
            [Finding("base_revision", f"there is no revision {base} yet")]
        )


async def find_earlier_outcome(
    sync: ReplicatedConfiguration, request: ChangeRequest
) -> ChangeOutcome | None:
    """Return the outcome of the request if it was accepted before."""
    if not request.may_be_repeated:
        return None
    revision = await sync.find_operation(request.operation_id)
    if revision is None:
        return None
    if revision > sync.configuration.revision:
        await sync.poll()
    change_sets = await sync.history(revision - 1, 1)
    if not change_sets:
        # ``propose`` compares the changes with those of the operation instead.
        return None
    (change_set,) = change_sets
    if change_set.request_digest != request.digest:
        raise InvalidInputError(
            [Finding("operation_id", "was used before for another request")]
        )
    result = ProposeResult(change_set.base_revision, revision, change_set)
    in_force = await sync.wait_in_force(revision)
    return ChangeOutcome(request, result, change_set.changes, in_force)


def build_create(kind: ObjectKind, name: str, fields: Mapping[str, object]) -> Build:
    """Return a builder that adds an object."""

    def build(configuration: Configuration) -> Sequence[Change]:
        findings = []
        if name in configuration.objects(kind):
            findings.append(Finding(f"{kind.value} {name}", "exists already"))
        return [_read_change(kind, name, fields, findings)]

    return build


def build_update(kind: ObjectKind, name: str, fields: Mapping[str, object]) -> Build:
    """Return a builder that changes some fields of an object."""

    def build(configuration: Configuration) -> Sequence[Change]:
        current_fields = _read_current_fields(configuration, kind, name)
        return [_read_change(kind, name, {**current_fields, **fields}, [])]

    return build


def build_deletion(kind: ObjectKind, name: str, *, with_keys: bool = False) -> Build:
    """Return a builder that deletes an object, and optionally its keys."""

    def build(configuration: Configuration) -> Sequence[Change]:
        changes = [Change(kind, name)]
        if with_keys:
            referrers = sorted(configuration.referrers((kind, name)))
            changes += [Change(k, n) for k, n in referrers if k is ObjectKind.KEY]
        return changes

    return build


def build_rotation(key_id: str, digest: str) -> Build:
    """Return a builder that replaces the secret of a key."""
    return build_update(ObjectKind.KEY, key_id, {"digest": digest})


def compute_differences(
    configuration: Configuration, text: str, file: str, *, prune: bool
) -> tuple[Difference, ...]:
    """Return the changes that an INI file makes; raises ``InvalidInputError``."""
    differences, findings = check_document(
        configuration, read_ini(text, file), prune=prune
    )
    if findings:
        raise InvalidInputError(findings)
    return differences


def ensure_digest(fields: Mapping[str, object]) -> tuple[dict[str, object], str | None]:
    """Add a digest to the fields of a key; return them and any new secret.

    A client that generates the secret itself sends only the digest, and so does not
    lose the secret if the response is lost.
    """
    if "digest" in fields:
        return dict(fields), None
    secret = keys.make_secret(os.urandom(keys.SECRET_BYTES))
    return {**fields, "digest": keys.digest_of(secret)}, secret


def _read_change(
    kind: ObjectKind,
    name: str,
    fields: Mapping[str, object],
    earlier_findings: Sequence[Finding],
) -> Change:
    def place(field: str | None) -> str:
        return f"{kind.value} {name}" + (f", {field}" if field else "")

    with collect_findings() as findings:
        for finding in earlier_findings:
            findings.add(finding.place, finding.message)
        value = read_object(kind, name, fields, findings, place)
    return Change(kind, name, value)


def _read_current_fields(
    configuration: Configuration, kind: ObjectKind, name: str
) -> dict[str, Any]:
    value = configuration.objects(kind).get(name)
    if value is None:
        raise InvalidInputError([Finding(f"{kind.value} {name}", "does not exist")])
    return {
        field: content
        for field, content in to_fields(value).items()
        if field != NAME_FIELDS[kind]
    }
