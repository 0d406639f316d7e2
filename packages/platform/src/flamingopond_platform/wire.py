"""JSON form of the platform's data types; byte strings travel as base64."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any, TypeVar

import orjson
from cattrs.preconf.orjson import make_converter

T = TypeVar("T")

_converter = make_converter()
_converter.register_unstructure_hook(bytes, lambda data: b64encode(data).decode())
_converter.register_structure_hook(bytes, lambda text, _: b64decode(text))


def encode(value: Any) -> bytes:
    """Return ``value`` (attrs objects, collections, plain values) as JSON."""
    return orjson.dumps(_converter.unstructure(value))


def decode(data: bytes | str, kind: type[T]) -> T:
    """Return the JSON ``data`` as ``kind``. Raises ``ValueError`` if it is not one."""
    try:
        return _converter.structure(orjson.loads(data), kind)
    except orjson.JSONDecodeError:
        raise
    except Exception as error:
        # cattrs raises exception groups and KeyError for malformed structures.
        raise ValueError(f"not a {kind}: {error!r}") from error
