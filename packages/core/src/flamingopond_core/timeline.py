"""Event log of a node in a ring buffer, and merging of nodes' logs by HLC stamp."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

MAX_EVENTS = 10_000


@attrs.frozen
class Event:
    """An event on ``node``; ``fields`` holds JSON values."""

    stamp: int
    node: str
    kind: str
    fields: Mapping[str, Any] = attrs.field(factory=dict)


@attrs.frozen
class EventFilter:
    """Criteria for selecting events; an omitted criterion matches every event.

    ``after`` and ``before`` are exclusive bounds of the stamp. ``fields`` holds
    values that the event's fields must have.
    """

    after: int = 0
    before: int | None = None
    node: str | None = None
    kinds: tuple[str, ...] = ()
    limit: int = 1000
    fields: Mapping[str, Any] = attrs.field(factory=dict)

    def matches(self, event: Event) -> bool:
        """Tell whether ``event`` is selected; a kind also selects its subkinds."""
        if event.stamp <= self.after:
            return False
        if self.before is not None and event.stamp >= self.before:
            return False
        if self.node is not None and event.node != self.node:
            return False
        if any(event.fields.get(name) != value for name, value in self.fields.items()):
            return False
        return not self.kinds or any(
            event.kind == kind or event.kind.startswith(f"{kind}.")
            for kind in self.kinds
        )


class Timeline:
    """The newest events of one node, ordered by stamp."""

    def __init__(self, capacity: int = MAX_EVENTS) -> None:
        """Keep at most ``capacity`` events."""
        self._events: deque[Event] = deque(maxlen=capacity)

    def __len__(self) -> int:
        """Return the number of events kept."""
        return len(self._events)

    def append(self, event: Event) -> None:
        """Add an event; raise ``ValueError`` unless its stamp is the newest."""
        if self._events and event.stamp <= self._events[-1].stamp:
            raise ValueError("event stamps must rise")
        self._events.append(event)

    def select(self, event_filter: EventFilter) -> list[Event]:
        """Return the newest ``wanted.limit`` events that match, oldest first."""
        found: list[Event] = []
        for event in reversed(self._events):
            if event.stamp <= event_filter.after or len(found) >= event_filter.limit:
                break
            if event_filter.matches(event):
                found.append(event)
        found.reverse()
        return found


def merge_events(histories: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge histories, each ordered by stamp, into one causal order.

    If one event could have influenced another, its stamp is lower, so it comes
    first. Duplicates are dropped.
    """
    merged: list[Event] = []
    for event in heapq.merge(*histories, key=lambda e: (e.stamp, e.node)):
        if not merged or (event.stamp, event.node) != (
            merged[-1].stamp,
            merged[-1].node,
        ):
            merged.append(event)
    return merged
