"""Data that the client sends and returns."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

JsonObject = Mapping[str, Any]
Query = Mapping[str, str | list[str]]


@attrs.frozen
class Call:
    """A request to any node; ``path`` is relative to ``/operator/v1/``."""

    method: str
    path: str
    query: Query = attrs.field(factory=dict)
    body: bytes = b""


@attrs.frozen
class Reply:
    """A node's answer with its JSON body."""

    status: int
    body: JsonObject


@attrs.frozen
class Committed:
    """An accepted change; ``in_force`` once a majority of members has it."""

    revision: int
    operation_id: str
    in_force: bool


@attrs.frozen
class Granted:
    """A key with its secret, which is not kept anywhere else."""

    key_id: str
    secret: str
    committed: Committed


@attrs.frozen
class Plan:
    """What applying an INI file to ``revision`` would change."""

    revision: int
    differences: tuple[JsonObject, ...]


@attrs.frozen
class EventList:
    """Events in causal order, and the members that did not answer."""

    events: tuple[JsonObject, ...]
    unanswered: tuple[str, ...]
