"""Configuration objects, changes to them, and their JSON form."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Mapping
from ipaddress import ip_address
from typing import Any, TypeAlias

import attrs
import orjson
from cattrs.preconf.orjson import make_converter

from flamingopond_core.enums import ObjectKind, Priority

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_CALL_PATTERN = re.compile(r"(\*|[A-Z]+) (\*|/\S*)")


@attrs.frozen
class Contract:
    """Quota and permissions of one customer: rate in tokens/s, burst in tokens.

    ``models`` and ``services`` hold names, or patterns such as ``*``.
    """

    workspace: str
    priority: Priority
    rate: float
    burst: float
    weight: float = 1.0
    max_answer_tokens: int = 1024
    models: tuple[str, ...] = ("*",)
    services: tuple[str, ...] = ("*",)


@attrs.frozen
class Key:
    """A caller's key; ``digest`` is the SHA-256 of its secret in hexadecimal."""

    key_id: str
    workspace: str
    digest: str


@attrs.frozen
class Model:
    """A model and the version of it that engines should load."""

    name: str
    version: str
    memory_mb: int
    tokens_per_second: float
    min_copies: int = 1


@attrs.frozen
class Adapter:
    """An adapter for a base model."""

    name: str
    model: str


@attrs.frozen
class EngineTarget:
    """A model engine; ``address`` is ``ip:port``."""

    name: str
    address: str
    availability_zone: str
    region: str
    memory_mb: int
    checks_fencing: bool


@attrs.frozen
class Service:
    """An HTTP service; ``idempotent`` lists calls such as ``POST /lookup``."""

    name: str
    addresses: tuple[str, ...]
    idempotent: tuple[str, ...] = ()


@attrs.frozen
class Route:
    """A path prefix that is routed to a service; ``open`` routes need no key."""

    name: str
    path: str
    service: str
    open: bool


ConfigObject: TypeAlias = (
    Contract | Key | Model | Adapter | EngineTarget | Service | Route
)
ObjectId: TypeAlias = tuple[ObjectKind, str]

OBJECT_CLASSES: Mapping[ObjectKind, type[ConfigObject]] = {
    ObjectKind.CONTRACT: Contract,
    ObjectKind.KEY: Key,
    ObjectKind.MODEL: Model,
    ObjectKind.ADAPTER: Adapter,
    ObjectKind.ENGINE: EngineTarget,
    ObjectKind.SERVICE: Service,
    ObjectKind.ROUTE: Route,
}
NAME_FIELDS: Mapping[ObjectKind, str] = {
    kind: {ObjectKind.CONTRACT: "workspace", ObjectKind.KEY: "key_id"}.get(kind, "name")
    for kind in ObjectKind
}


@attrs.frozen
class Change:
    """Creates or replaces an object, or deletes it if ``value`` is ``None``."""

    kind: ObjectKind
    name: str
    value: ConfigObject | None = None

    @property
    def object_id(self) -> ObjectId:
        """Kind and name of the object."""
        return self.kind, self.name


@attrs.frozen
class ChangeSet:
    """Changes that take effect together as one revision.

    ``proposed_at`` is the proposing daemon's wall time in seconds since 1970; it
    is only shown to operators. ``request_digest`` identifies the operator's
    request, to distinguish a retry from a different request that reuses the
    operation ID.
    """

    operation_id: str
    author: str
    base_revision: int
    revision: int
    changes: tuple[Change, ...]
    proposed_at: float = 0.0
    request_digest: str = ""

    def to_json(self) -> bytes:
        """Return the JSON form that is stored in the table and sent to peers."""
        return orjson.dumps(CONVERTER.unstructure(self))

    @classmethod
    def from_json(cls, data: bytes) -> ChangeSet:
        """Deserialize the JSON form."""
        change_set: ChangeSet = CONVERTER.structure(orjson.loads(data), cls)
        return change_set


def _make_converter() -> Any:
    converter = make_converter()

    def structure_change(data: Mapping[str, Any], _: type) -> Change:
        kind = ObjectKind(data["kind"])
        value = data["value"]
        if value is not None:
            value = converter.structure(value, OBJECT_CLASSES[kind])
        return Change(kind, data["name"], value)

    def unstructure_change(change: Change) -> dict[str, Any]:
        value = change.value
        if value is not None:
            value = converter.unstructure(value, type(value))
        return {"kind": change.kind.value, "name": change.name, "value": value}

    converter.register_structure_hook(Change, structure_change)
    converter.register_unstructure_hook(Change, unstructure_change)
    return converter


CONVERTER = _make_converter()


def to_fields(value: ConfigObject) -> dict[str, Any]:
    """Return the fields of an object in JSON-compatible form."""
    fields: dict[str, Any] = CONVERTER.unstructure(value)
    return fields


def name_of(kind: ObjectKind, value: ConfigObject) -> str:
    """Return the name stored in the object itself."""
    name: str = getattr(value, NAME_FIELDS[kind])
    return name


def references_of(value: ConfigObject) -> tuple[ObjectId, ...]:
    """Return the objects that must exist for ``value`` to be valid."""
    match value:
        case Key():
            return ((ObjectKind.CONTRACT, value.workspace),)
        case Adapter():
            return ((ObjectKind.MODEL, value.model),)
        case Route():
            return ((ObjectKind.SERVICE, value.service),)
    return ()


def unique_values_of(value: ConfigObject) -> tuple[tuple[str, str], ...]:
    """Return (attribute, value) pairs that no two objects may share.

    For example, two engines with one address would be counted as two memories.
    """
    match value:
        case Key():
            return (("digest", value.digest),)
        case EngineTarget():
            return (("engine address", value.address),)
        case Route():
            return (("path", value.path),)
    return ()


def check_fields(value: ConfigObject) -> Iterator[tuple[str, str]]:
    """Yield (field, message) for each field with an invalid value."""
    checks = _FIELD_CHECKS[type(value)]
    for field, check in checks.items():
        message = check(getattr(value, field))
        if message:
            yield field, message


def check_name(name: str) -> str | None:
    """Return what is wrong with an object's name, or ``None``."""
    if not NAME_PATTERN.fullmatch(name):
        return (
            f"bad name {name!r}: up to 128 letters, digits, '.', '_' and '-', "
            "beginning with a letter or digit"
        )
    return None


def _check_positive(number: float) -> str | None:
    if not (number > 0 and math.isfinite(number)):
        return f"must be a finite number above 0, is {number}"
    return None


def _check_not_empty(text: str) -> str | None:
    return None if text else "must not be empty"


def _check_address(address: str) -> str | None:
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
        if not 0 < int(port) < 65536:
            raise ValueError(port)
    except ValueError:
        return f"not an ip:port: {address!r}"
    return None


def _check_addresses(addresses: tuple[str, ...]) -> str | None:
    if not addresses:
        return "must hold at least one address"
    invalid = [a for a in addresses if _check_address(a)]
    return f"not an ip:port: {', '.join(map(repr, invalid))}" if invalid else None


def _check_calls(calls: tuple[str, ...]) -> str | None:
    invalid = [c for c in calls if not _CALL_PATTERN.fullmatch(c)]
    if invalid:
        return f"not of the form 'METHOD /path': {', '.join(map(repr, invalid))}"
    return None


def _check_digest(digest: str) -> str | None:
    if not _DIGEST_PATTERN.fullmatch(digest):
        return "must be a SHA-256 in 64 lower-case hexadecimal digits"
    return None


def _check_path(path: str) -> str | None:
    if not path.startswith("/") or "//" in path or any(c.isspace() for c in path):
        return f"not a path: {path!r}"
    return None


_FIELD_CHECKS: Mapping[
    type[ConfigObject], Mapping[str, Callable[[Any], str | None]]
] = {
    Contract: {
        "rate": _check_positive,
        "burst": _check_positive,
        "weight": _check_positive,
        "max_answer_tokens": _check_positive,
    },
    Key: {"workspace": check_name, "digest": _check_digest},
    Model: {
        "version": _check_not_empty,
        "memory_mb": _check_positive,
        "tokens_per_second": _check_positive,
        "min_copies": _check_positive,
    },
    Adapter: {"model": check_name},
    EngineTarget: {
        "address": _check_address,
        "availability_zone": _check_not_empty,
        "region": _check_not_empty,
        "memory_mb": _check_positive,
    },
    Service: {"addresses": _check_addresses, "idempotent": _check_calls},
    Route: {"path": _check_path, "service": check_name},
}
