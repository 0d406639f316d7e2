"""The current configuration, to which change sets are applied."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any, cast

import orjson

from flamingopond_core import keys
from flamingopond_core.enums import ObjectKind
from flamingopond_core.exceptions import InvalidInputError, RevisionGapError
from flamingopond_core.findings import Finding, FindingCollector
from flamingopond_core.objects import (
    CONVERTER,
    OBJECT_CLASSES,
    Adapter,
    Change,
    ChangeSet,
    ConfigObject,
    Contract,
    EngineTarget,
    Key,
    Model,
    ObjectId,
    Route,
    Service,
    check_fields,
    check_name,
    name_of,
    references_of,
    to_fields,
    unique_values_of,
)

__all__ = [
    "Adapter",
    "Change",
    "ChangeSet",
    "ConfigObject",
    "Configuration",
    "Contract",
    "EngineTarget",
    "Key",
    "Model",
    "ObjectId",
    "Route",
    "Service",
]


class Configuration:
    """All objects of one revision, with the indexes needed to check and apply changes.

    The cost of ``check`` and ``apply`` depends on the number of changes and of the
    objects that refer to them, not on the size of the configuration.
    """

    def __init__(self) -> None:
        """Start empty at revision 0."""
        self._revision = 0
        self._objects: dict[ObjectKind, dict[str, ConfigObject]] = {
            kind: {} for kind in ObjectKind
        }
        self._referrers: dict[ObjectId, set[ObjectId]] = {}
        self._unique_values: dict[tuple[str, str], ObjectId] = {}
        self._keys_by_digest: dict[str, Key] = {}

    @property
    def revision(self) -> int:
        """The last applied revision."""
        return self._revision

    @property
    def contracts(self) -> Mapping[str, Contract]:
        """Contracts by workspace."""
        return cast("Mapping[str, Contract]", self.objects(ObjectKind.CONTRACT))

    @property
    def keys(self) -> Mapping[str, Key]:
        """Keys by key id."""
        return cast("Mapping[str, Key]", self.objects(ObjectKind.KEY))

    @property
    def models(self) -> Mapping[str, Model]:
        """Models by name."""
        return cast("Mapping[str, Model]", self.objects(ObjectKind.MODEL))

    @property
    def adapters(self) -> Mapping[str, Adapter]:
        """Adapters by name."""
        return cast("Mapping[str, Adapter]", self.objects(ObjectKind.ADAPTER))

    @property
    def engines(self) -> Mapping[str, EngineTarget]:
        """Engines by name."""
        return cast("Mapping[str, EngineTarget]", self.objects(ObjectKind.ENGINE))

    @property
    def services(self) -> Mapping[str, Service]:
        """Services by name."""
        return cast("Mapping[str, Service]", self.objects(ObjectKind.SERVICE))

    @property
    def routes(self) -> Mapping[str, Route]:
        """Routes by name."""
        return cast("Mapping[str, Route]", self.objects(ObjectKind.ROUTE))

    def objects(self, kind: ObjectKind) -> Mapping[str, ConfigObject]:
        """Return a read-only view of the objects of one kind by name."""
        return MappingProxyType(self._objects[kind])

    def referrers(self, object_id: ObjectId) -> frozenset[ObjectId]:
        """Return the objects that refer to ``object_id``."""
        return frozenset(self._referrers.get(object_id, ()))

    def authenticate(self, secret: str) -> Key | None:
        """Return the key with this secret, or ``None``."""
        return keys.find_by_secret(self._keys_by_digest, secret)

    def check(
        self, changes: Iterable[Change], assumed: frozenset[ObjectId] = frozenset()
    ) -> tuple[Finding, ...]:
        """Return every reason why ``changes`` cannot be applied together.

        References to objects in ``assumed`` are taken to be valid.
        """
        findings = FindingCollector()
        after: dict[ObjectId, ConfigObject | None] = {}
        for change in changes:
            if change.object_id in after:
                findings.add(_describe(change.object_id), "is changed more than once")
            after[change.object_id] = change.value
        if not after:
            findings.add("change set", "holds no change")
        unique_values: dict[tuple[str, str], ObjectId] = {}
        for object_id, value in after.items():
            if value is None:
                self._check_deletion(object_id, after, findings)
            else:
                self._check_value(
                    object_id, value, after, unique_values, assumed, findings
                )
        return findings.findings

    def apply(self, change_set: ChangeSet) -> frozenset[ObjectId]:
        """Apply the next revision atomically; return the IDs of the changed objects.

        Raises ``RevisionGapError`` if it is not the next revision, and
        ``InvalidInputError`` with all findings if a change is invalid. Nothing is
        changed then.
        """
        if (
            change_set.base_revision != self._revision
            or change_set.revision != self._revision + 1
        ):
            raise RevisionGapError(
                f"change set {change_set.base_revision} -> {change_set.revision} "
                f"does not follow on revision {self._revision}"
            )
        findings = self.check(change_set.changes)
        if findings:
            raise InvalidInputError(findings)
        # All old values are removed from the indexes first, so that two objects can
        # swap a path or an address in one change set.
        for change in change_set.changes:
            self._remove(change.object_id)
        for change in change_set.changes:
            if change.value is not None:
                self._insert(change.object_id, change.value)
        self._revision = change_set.revision
        return frozenset(change.object_id for change in change_set.changes)

    def advance_to(self, other: Configuration) -> frozenset[ObjectId]:
        """Switch to a later revision from a snapshot; return the objects that differ.

        ``other`` must not be used afterwards. Raises ``RevisionGapError`` if it
        is not later than this revision.
        """
        if other.revision <= self._revision:
            raise RevisionGapError(
                f"snapshot {other.revision} is not later than {self._revision}"
            )
        changed = {
            (kind, name)
            for kind in ObjectKind
            for name in self._objects[kind].keys() | other._objects[kind].keys()
            if self._objects[kind].get(name) != other._objects[kind].get(name)
        }
        self._objects = other._objects
        self._referrers = other._referrers
        self._unique_values = other._unique_values
        self._keys_by_digest = other._keys_by_digest
        self._revision = other._revision
        return frozenset(changed)

    def to_snapshot(self) -> bytes:
        """Serialize the revision and all objects as JSON."""
        objects = {
            kind.value: [to_fields(value) for value in self._objects[kind].values()]
            for kind in ObjectKind
        }
        return orjson.dumps({"revision": self._revision, "objects": objects})

    @classmethod
    def from_snapshot(cls, data: bytes) -> Configuration:
        """Build a configuration from the output of ``to_snapshot``.

        Raises ``InvalidInputError`` if the data is not a valid snapshot.
        """
        configuration = cls()
        try:
            parsed: dict[str, Any] = orjson.loads(data)
            revision = int(parsed["revision"])
            changes = [
                Change(kind, name_of(kind, value), value)
                for kind in ObjectKind
                for fields in parsed["objects"].get(kind.value, ())
                for value in (CONVERTER.structure(fields, OBJECT_CLASSES[kind]),)
            ]
        except Exception as error:  # cattrs raises exception groups of many types.
            raise InvalidInputError([Finding("snapshot", repr(error))]) from error
        findings = configuration.check(changes) if changes else ()
        if findings:
            raise InvalidInputError(findings)
        for change in changes:
            if change.value is not None:
                configuration._insert(change.object_id, change.value)
        configuration._revision = revision
        return configuration

    def _check_value(
        self,
        object_id: ObjectId,
        value: ConfigObject,
        after: Mapping[ObjectId, ConfigObject | None],
        unique_values: dict[tuple[str, str], ObjectId],
        assumed: frozenset[ObjectId],
        findings: FindingCollector,
    ) -> None:
        kind, name = object_id
        place = _describe(object_id)
        if not isinstance(value, OBJECT_CLASSES[kind]):
            findings.add(place, f"value is not a {kind.value}")
            return
        if message := check_name(name):
            findings.add(place, message)
        if name_of(kind, value) != name:
            findings.add(place, f"value is named {name_of(kind, value)!r}")
        for field, message in check_fields(value):
            findings.add(f"{place}, {field}", message)
        for reference in references_of(value):
            if (
                reference not in assumed
                and self._object_after(reference, after) is None
            ):
                findings.add(
                    place, f"refers to {_describe(reference)}, which is missing"
                )
        for unique_value in unique_values_of(value):
            user = unique_values.setdefault(unique_value, object_id)
            if user == object_id:
                user = self._user_of(unique_value, after) or object_id
            if user != object_id:
                findings.add(
                    place, f"has the same {unique_value[0]} as {_describe(user)}"
                )

    def _check_deletion(
        self,
        object_id: ObjectId,
        after: Mapping[ObjectId, ConfigObject | None],
        findings: FindingCollector,
    ) -> None:
        kind, name = object_id
        if name not in self._objects[kind]:
            findings.add(_describe(object_id), "does not exist")
        remaining_referrers = sorted(
            _describe(referrer)
            for referrer in self._referrers.get(object_id, ())
            if referrer not in after
        )
        if remaining_referrers:
            findings.add(
                _describe(object_id),
                f"is still referred to by {', '.join(remaining_referrers)}",
            )

    def _object_after(
        self, object_id: ObjectId, after: Mapping[ObjectId, ConfigObject | None]
    ) -> ConfigObject | None:
        if object_id in after:
            return after[object_id]
        return self._objects[object_id[0]].get(object_id[1])

    def _user_of(
        self,
        unique_value: tuple[str, str],
        after: Mapping[ObjectId, ConfigObject | None],
    ) -> ObjectId | None:
        user = self._unique_values.get(unique_value)
        return None if user in after else user

    def _insert(self, object_id: ObjectId, value: ConfigObject) -> None:
        kind, name = object_id
        self._objects[kind][name] = value
        for reference in references_of(value):
            self._referrers.setdefault(reference, set()).add(object_id)
        for unique_value in unique_values_of(value):
            self._unique_values[unique_value] = object_id
        if isinstance(value, Key):
            self._keys_by_digest[value.digest] = value

    def _remove(self, object_id: ObjectId) -> None:
        kind, name = object_id
        value = self._objects[kind].pop(name, None)
        if value is None:
            return
        for reference in references_of(value):
            referrers = self._referrers[reference]
            referrers.discard(object_id)
            if not referrers:
                del self._referrers[reference]
        for unique_value in unique_values_of(value):
            del self._unique_values[unique_value]
        if isinstance(value, Key):
            del self._keys_by_digest[value.digest]


def _describe(object_id: ObjectId) -> str:
    return f"{object_id[0].value} {object_id[1]}"
