"""Types of the client's requests and results."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

JsonObject = Mapping[str, Any]
Query = Mapping[str, str | list[str]]


@attrs.frozen
class Call:
    """An API call; ``path`` is relative to ``/operator/v1/``."""

    method: str
    path: str
    query: Query = attrs.field(factory=dict)
    body: bytes = b""


@attrs.frozen
class Response:
    """A node's response with its JSON body."""

    status: int
    body: JsonObject


@attrs.frozen
class Committed:
    """An accepted change; ``in_force`` if a majority of members has applied it."""

    revision: int
    operation_id: str
    in_force: bool


@attrs.frozen
class Granted:
    """A key with its secret; the server stores only a digest of the secret."""

    key_id: str
    secret: str
    committed: Committed


@attrs.frozen
class Plan:
    """Changes that applying an INI file to ``revision`` would make."""

    revision: int
    differences: tuple[JsonObject, ...]


@attrs.frozen
class EventList:
    """Events in causal order, and the members that did not respond."""

    events: tuple[JsonObject, ...]
    unanswered: tuple[str, ...]
