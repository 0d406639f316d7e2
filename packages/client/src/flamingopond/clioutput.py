"""Terminal output of tables, differences and JSON."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

import orjson
from rich.console import Console
from rich.measure import Measurement
from rich.table import Table
from rich.text import Text

from flamingopond.exceptions import ConflictError
from flamingopond.structures import EventList, JsonObject
from flamingopond_core.fields import to_text
from flamingopond_core.hlc import to_seconds

_MAX_TABLE_WIDTH = 10_000


def print_json(content: object) -> None:
    """Print JSON on one line."""
    print(orjson.dumps(content).decode())


def print_table(rows: Sequence[Mapping[str, Any]]) -> None:
    """Print one line per row; the fields of the first row are the columns."""
    if not rows:
        return
    table = Table(box=None)
    for column in rows[0]:
        table.add_column(column, no_wrap=True)
    for row in rows:
        # Text keeps rich from parsing brackets in values as markup.
        table.add_row(*(Text(to_text(row.get(column))) for column in rows[0]))
    # The table gets its full width and long rows are wrapped by the terminal: pipes
    # have no width, and values that rich breaks into pieces cannot be copied.
    console = Console()
    options = console.options.update(max_width=_MAX_TABLE_WIDTH)
    console.width = Measurement.get(console, options, table).maximum
    console.print(table, soft_wrap=True)


def print_object(fields: Mapping[str, Any]) -> None:
    """Print one field per line."""
    for field, value in fields.items():
        print(f"{field} = {to_text(value)}")


def print_differences(differences: Iterable[JsonObject]) -> None:
    """Print the differences, object by object."""
    for difference in differences:
        before = difference["before"] or {}
        after = difference["after"] or {}
        sign = "~" if before and after else "+" if after else "-"
        print(f"{sign} {difference['kind']} {difference['name']}")
        for field in {**before, **after}:
            if before.get(field) == after.get(field):
                continue
            if field in before:
                print(f"    - {field} = {to_text(before[field])}")
            if field in after:
                print(f"    + {field} = {to_text(after[field])}")


def print_change_sets(change_sets: Iterable[JsonObject]) -> None:
    """Print change sets with their objects, oldest first."""
    for change_set in change_sets:
        time = _format_time(change_set["proposed_at"])
        print(
            f"revision {change_set['revision']}  {time}  {change_set['author']}  "
            f"{change_set['operation_id']}"
        )
        _print_changes(change_set["changes"])


def print_conflict(error: ConflictError) -> None:
    """Print the conflicting changes of both sides."""
    print(f"yours, based on revision {error.base}:")
    _print_changes(error.yours)
    print(f"theirs, up to revision {error.current}:")
    if not error.theirs:
        print("    no change to the same objects")
    print_change_sets(error.theirs)


def print_events(event_list: EventList) -> None:
    """Print events in causal order."""
    for event in event_list.events:
        fields = " ".join(f"{k}={to_text(v)}" for k, v in event["fields"].items())
        time = _format_time(to_seconds(event["stamp"]))
        print(f"{time} {event['node']} {event['kind']} {fields}".rstrip())
    if event_list.unanswered:
        print(f"no answer from: {', '.join(event_list.unanswered)}")


def _print_changes(changes: Iterable[JsonObject]) -> None:
    for change in changes:
        value = change["value"]
        if value is None:
            print(f"    - {change['kind']} {change['name']}")
            continue
        fields = ", ".join(f"{k} = {to_text(v)}" for k, v in value.items())
        print(f"    + {change['kind']} {change['name']}: {fields}")


def _format_time(seconds: float) -> str:
    time = datetime.fromtimestamp(seconds, UTC)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")
