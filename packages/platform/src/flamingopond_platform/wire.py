"""JSON encoding of the platform's data types; byte strings are base64 text."""

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
    """Encode attrs objects, collections and plain values as JSON."""
    return orjson.dumps(_converter.unstructure(value))


def decode(data: bytes | str, result_type: type[T]) -> T:
    """Decode JSON as ``result_type``. Raises ``ValueError`` if it does not fit."""
    try:
        return _converter.structure(orjson.loads(data), result_type)
    except orjson.JSONDecodeError:
        raise
    except Exception as error:
        # cattrs raises exception groups or KeyError if the structure does not fit.
        raise ValueError(f"not a {result_type}: {error!r}") from error
