"""Turns operators' requests into change sets and commits them."""

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
from flamingopond_daemon.configlog import ProposeResult

_OPERATION_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
# A request without a base revision is built again this often if changes to
# other objects came first.
_REBASE_LIMIT = 5

T = TypeVar("T")
Build = Callable[[Configuration], Sequence[Change]]


class ConfigurationChanger(Protocol):
    """What is needed of the configuration's synchronisation."""

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""

    async def propose(
        self,
        changes: Sequence[Change],
        base_revision: int,
        author: str,
        operation_id: str,
        request_digest: str = "",
    ) -> ProposeResult:
        """Commit changes."""

    async def poll(self) -> bool:
        """Read what changed in the table; return whether it answered."""

    async def wait_in_force(self, revision: int) -> bool:
        """Wait until a majority has ``revision``, for a limited time."""

    async def history(self, after: int, limit: int) -> tuple[ChangeSet, ...]:
        """Return accepted change sets, oldest first."""

    async def operation(self, operation_id: str) -> int | None:
        """Return the revision that an operation led to."""

    def fresh(self, now: float) -> bool:
        """Return whether the configuration is known to be the newest."""

    def serving(self, now: float) -> bool:
        """Return whether keyed requests may be served."""


@attrs.frozen
class ChangeRequest:
    """What comes with every changing request.

    Without ``base_revision`` the present revision is used. ``resent`` tells that
    the client chose the operation id, so that the request may be a repeated one.
    """

    author: str
    operation_id: str
    resent: bool
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
        settled = {"author", "operation_id", "base_revision"}
        rest = sorted((k, v) for k, v in query.items() if k not in settled)
        text = f"{method} {path} {rest} ".encode()
        return cls(
            query.get("author", "operator")[:128],
            operation_id or uuid.uuid4().hex,
            bool(operation_id),
            None if base is None else int(base),
            hashlib.sha256(text + body).hexdigest(),
        )


@attrs.frozen
class ChangeOutcome:
    """A proposal's result, the changes proposed, and whether it is in force."""

    request: ChangeRequest
    result: ProposeResult
    changes: tuple[Change, ...]
    in_force: bool = False


async def commit(
    sync: ConfigurationChanger, request: ChangeRequest, build: Build
) -> ChangeOutcome:
    """Commit what ``build`` returns for the present configuration.

    Raises ``InvalidInputError`` with all findings.
    """
    repeated = await find_repeated(sync, request)
    if repeated is not None:
        return repeated
    await _reach_base(sync, request.base_revision)
    for _ in range(_REBASE_LIMIT):
        changes = tuple(await build_caught_up(sync, build))
        revision = sync.configuration.revision
        base = revision if request.base_revision is None else request.base_revision
        result = await sync.propose(
            changes, base, request.author, request.operation_id, request.digest
        )
        stale = result.change_set is None and not result.unknown
        if not stale or result.between or request.base_revision is not None:
            break
    if result.change_set is None:
        return ChangeOutcome(request, result, changes)
    in_force = await sync.wait_in_force(result.revision)
    return ChangeOutcome(request, result, changes, in_force)


async def build_caught_up(
    sync: ConfigurationChanger, build: Callable[[Configuration], T]
) -> T:
    """Return what ``build`` makes, again after a poll if this node may lag."""
    revision = sync.configuration.revision
    try:
        return build(sync.configuration)
    except InvalidInputError:
        await sync.poll()
        if sync.configuration.revision == revision:
            raise
        return build(sync.configuration)


async def _reach_base(sync: ConfigurationChanger, base: int | None) -> None:
    """Catch up with the base that the operator saw on another node.

    Changes built from an older configuration would undo what came in between.
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


async def find_repeated(
    sync: ConfigurationChanger, request: ChangeRequest
) -> ChangeOutcome | None:
    """Return the outcome of a request that was accepted before, if it was."""
    if not request.resent:
        return None
    revision = await sync.operation(request.operation_id)
    if revision is None:
        return None
    if revision > sync.configuration.revision:
        await sync.poll()
    change_sets = await sync.history(revision - 1, 1)
    if not change_sets:
        # The proposal compares the changes with those of the operation.
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
        present = _find(configuration, kind, name)
        return [_read_change(kind, name, {**present, **fields}, [])]

    return build


def build_end(kind: ObjectKind, name: str, *, with_keys: bool = False) -> Build:
    """Return a builder that deletes an object, a contract also with its keys."""

    def build(configuration: Configuration) -> Sequence[Change]:
        changes = [Change(kind, name)]
        if with_keys:
            referrers = sorted(configuration.referrers((kind, name)))
            changes += [Change(k, n) for k, n in referrers if k is ObjectKind.KEY]
        return changes

    return build


def build_rotation(key_id: str, digest: str) -> Build:
    """Return a builder that gives a key a new secret; the old one stops."""
    return build_update(ObjectKind.KEY, key_id, {"digest": digest})


def differences_of(
    configuration: Configuration, text: str, file: str, *, prune: bool
) -> tuple[Difference, ...]:
    """Return what an INI file would change; raises ``InvalidInputError``."""
    differences, findings = check_document(
        configuration, read_ini(text, file), prune=prune
    )
    if findings:
        raise InvalidInputError(findings)
    return differences


def take_digest(fields: Mapping[str, object]) -> tuple[dict[str, object], str | None]:
    """Complete the fields of a key; return the secret if one was made here.

    A client that makes the secret itself sends only the digest and does not lose
    the secret with a lost reply.
    """
    if "digest" in fields:
        return dict(fields), None
    secret = keys.make_secret(os.urandom(keys.SECRET_BYTES))
    return {**fields, "digest": keys.digest_of(secret)}, secret


def _read_change(
    kind: ObjectKind,
    name: str,
    fields: Mapping[str, object],
    found: Sequence[Finding],
) -> Change:
    def place(field: str | None) -> str:
        return f"{kind.value} {name}" + (f", {field}" if field else "")

    with collect_findings() as findings:
        for finding in found:
            findings.add(finding.place, finding.message)
        value = read_object(kind, name, fields, findings, place)
    return Change(kind, name, value)


def _find(configuration: Configuration, kind: ObjectKind, name: str) -> dict[str, Any]:
    value = configuration.objects(kind).get(name)
    if value is None:
        raise InvalidInputError([Finding(f"{kind.value} {name}", "does not exist")])
    return {
        field: content
        for field, content in to_fields(value).items()
        if field != NAME_FIELDS[kind]
    }
