"""Conversion of configuration fields from and to text and JSON values."""

from __future__ import annotations

import difflib
import math
import typing
from collections.abc import Callable, Mapping
from enum import Enum
from functools import cache
from typing import Any

import attrs

from flamingopond_core.enums import ObjectKind
from flamingopond_core.findings import FindingCollector
from flamingopond_core.objects import NAME_FIELDS, OBJECT_CLASSES, ConfigObject

_TRUE_WORDS = frozenset({"true", "yes", "on", "1"})
_FALSE_WORDS = frozenset({"false", "no", "off", "0"})


@cache
def field_types(kind: ObjectKind) -> Mapping[str, Any]:
    """Return the type of each field of ``kind`` except its name."""
    types = typing.get_type_hints(OBJECT_CLASSES[kind])
    return {
        field.name: types[field.name]
        for field in attrs.fields(OBJECT_CLASSES[kind])
        if field.name != NAME_FIELDS[kind]
    }


def read_object(
    kind: ObjectKind,
    name: str,
    raw: Mapping[str, object],
    findings: FindingCollector,
    place: Callable[[str | None], str],
) -> ConfigObject | None:
    """Build an object from ``raw`` fields, which are text or JSON values.

    ``place`` returns the place of a field, or of the object for ``None``.
    Returns ``None`` if a field is unknown, missing or invalid, after adding all
    such findings to ``findings``.
    """
    types = field_types(kind)
    failed = False
    fields: dict[str, Any] = {NAME_FIELDS[kind]: name}
    for key, value in raw.items():
        if key not in types:
            close = difflib.get_close_matches(key, types, 1)
            hint = f"; did you mean {close[0]!r}?" if close else ""
            findings.add(place(key), f"unknown key {key!r}{hint}")
            failed = True
            continue
        try:
            fields[key] = convert(types[key], value)
        except ValueError as error:
            findings.add(place(key), str(error))
            failed = True
    for field in attrs.fields(OBJECT_CLASSES[kind]):
        if field.default is attrs.NOTHING and field.name not in {*fields, *raw}:
            findings.add(place(None), f"lacks the key {field.name!r}")
            failed = True
    return None if failed else OBJECT_CLASSES[kind](**fields)


def convert(target_type: Any, value: object) -> Any:
    """Convert a text or JSON value to the type ``target_type``.

    Raises ``ValueError`` with a message that is shown to the operator.
    """
    if target_type is str:
        if not isinstance(value, str):
            raise ValueError(f"not a text: {value!r}")
        return value.strip()
    if target_type is bool:
        return _convert_bool(value)
    if target_type in (int, float):
        return _convert_number(target_type, value)
    if isinstance(target_type, type) and issubclass(target_type, Enum):
        try:
            return target_type(value)
        except ValueError:
            allowed = ", ".join(str(member.value) for member in target_type)
            raise ValueError(f"not one of {allowed}: {value!r}") from None
    return _convert_list(value)


def to_text(value: object) -> str:
    """Return a field value as text that ``convert`` accepts."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ", ".join(value)
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def _convert_bool(value: object) -> bool:
    if isinstance(value, bool):
        return value
    word = str(value).strip().lower()
    if word in _TRUE_WORDS | _FALSE_WORDS:
        return word in _TRUE_WORDS
    raise ValueError(f"not yes or no: {value!r}")


def _convert_number(target_type: type[int] | type[float], value: object) -> int | float:
    message = f"not a{' whole' if target_type is int else ''} number: {value!r}"
    if isinstance(value, bool) or not isinstance(value, str | int | float):
        raise ValueError(message)
    if target_type is int and isinstance(value, float) and not value.is_integer():
        raise ValueError(message)
    try:
        number = target_type(value)
    except (ValueError, OverflowError):
        raise ValueError(message) from None
    if not math.isfinite(number):
        raise ValueError(message)
    return number


def _convert_list(value: object) -> tuple[str, ...]:
    items = value.replace("\n", ",").split(",") if isinstance(value, str) else value
    if not isinstance(items, list | tuple) or not all(
        isinstance(item, str) for item in items
    ):
        raise ValueError(f"not a list of texts: {value!r}")
    return tuple(item.strip() for item in items if item.strip())
