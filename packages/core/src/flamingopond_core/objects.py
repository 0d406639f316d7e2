"""The object kinds of the configuration, changes to them, and their JSON form."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterator, Mapping
from ipaddress import ip_address
from typing import Any, TypeAlias

import attrs
import orjson
from cattrs.preconf.orjson import make_converter

from flamingopond_core.structures import ObjectKind, Priority

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_CALL_PATTERN = re.compile(r"(\*|[A-Z]+) (\*|/\S*)")


@attrs.frozen
class Contract:
    """What one customer may use: rate in tokens/s, burst in tokens.

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
    """A model in the version that engines are to hold."""

    name: str
    version: str
    memory_mb: int
    tokens_per_second: float
    min_copies: int = 1


@attrs.frozen
class Adapter:
    """An adapter of a model."""

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
    """A plain service; ``idempotent`` lists calls such as ``POST /lookup``."""

    name: str
    addresses: tuple[str, ...]
    idempotent: tuple[str, ...] = ()


@attrs.frozen
class Route:
    """A path prefix that leads to a service; ``open`` routes need no key."""

    name: str
    path: str
    service: str
    open: bool


ConfigObject: TypeAlias = (
    Contract | Key | Model | Adapter | EngineTarget | Service | Route
)
ObjectId: TypeAlias = tuple[ObjectKind, str]

CLASSES: Mapping[ObjectKind, type[ConfigObject]] = {
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
    """Puts the object ``name``, or deletes it if ``value`` is ``None``."""

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
    is shown to operators and decides nothing. ``request_digest`` identifies the
    operator's request, so that a resent one is told from another one under the
    same operation id.
    """

    operation_id: str
    author: str
    base_revision: int
    revision: int
    changes: tuple[Change, ...]
    proposed_at: float = 0.0
    request_digest: str = ""

    def to_json(self) -> bytes:
        """Return the JSON form kept in the table and sent to peers."""
        return orjson.dumps(CONVERTER.unstructure(self))

    @classmethod
    def from_json(cls, data: bytes) -> ChangeSet:
        """Read the JSON form."""
        change_set: ChangeSet = CONVERTER.structure(orjson.loads(data), cls)
        return change_set


def _make_converter() -> Any:
    converter = make_converter()

    def structure_change(data: Mapping[str, Any], _: type) -> Change:
        kind = ObjectKind(data["kind"])
        value = data["value"]
        if value is not None:
            value = converter.structure(value, CLASSES[kind])
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
    """Return the name that the object carries itself."""
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


def unique_marks_of(value: ConfigObject) -> tuple[tuple[str, str], ...]:
    """Return pairs that no two objects may share, as (what, value).

    Two engines at one address would be counted as two memories.
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
    """Yield (field, message) for each field with a bad value."""
    checks = _CHECKS[type(value)]
    for field, check in checks.items():
        message = check(getattr(value, field))
        if message:
            yield field, message


def check_name(name: str) -> str | None:
    """Return what is wrong with the name of an object."""
    if not NAME_PATTERN.fullmatch(name):
        return (
            f"bad name {name!r}: up to 128 letters, digits, '.', '_' and '-', "
            "beginning with a letter or digit"
        )
    return None


def _positive(number: float) -> str | None:
    if not (number > 0 and math.isfinite(number)):
        return f"must be a finite number above 0, is {number}"
    return None


def _filled(text: str) -> str | None:
    return None if text else "must not be empty"


def _address(address: str) -> str | None:
    host, _, port = address.rpartition(":")
    try:
        ip_address(host.removeprefix("[").removesuffix("]"))
        if not 0 < int(port) < 65536:
            raise ValueError(port)
    except ValueError:
        return f"not an ip:port: {address!r}"
    return None


def _addresses(addresses: tuple[str, ...]) -> str | None:
    if not addresses:
        return "must hold at least one address"
    bad = [a for a in addresses if _address(a)]
    return f"not an ip:port: {', '.join(map(repr, bad))}" if bad else None


def _calls(calls: tuple[str, ...]) -> str | None:
    bad = [c for c in calls if not _CALL_PATTERN.fullmatch(c)]
    if bad:
        return f"not of the form 'METHOD /path': {', '.join(map(repr, bad))}"
    return None


def _digest(digest: str) -> str | None:
    if not _DIGEST_PATTERN.fullmatch(digest):
        return "must be a SHA-256 in 64 lower-case hexadecimal digits"
    return None


def _path(path: str) -> str | None:
    if not path.startswith("/") or "//" in path or any(c.isspace() for c in path):
        return f"not a path: {path!r}"
    return None


_CHECKS: Mapping[type[ConfigObject], Mapping[str, Callable[[Any], str | None]]] = {
    Contract: {
        "rate": _positive,
        "burst": _positive,
        "weight": _positive,
        "max_answer_tokens": _positive,
    },
    Key: {"workspace": check_name, "digest": _digest},
    Model: {
        "version": _filled,
        "memory_mb": _positive,
        "tokens_per_second": _positive,
        "min_copies": _positive,
    },
    Adapter: {"model": check_name},
    EngineTarget: {
        "address": _address,
        "availability_zone": _filled,
        "region": _filled,
        "memory_mb": _positive,
    },
    Service: {"addresses": _addresses, "idempotent": _calls},
    Route: {"path": _path, "service": check_name},
}
