"""Subsystems besides the configuration that the operators' API uses."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import attrs


class StatusSource(Protocol):
    """State of VMs, targets and models."""

    def status(self, now: float) -> Mapping[str, Any]:
        """Return JSON values under ``vms``, ``targets`` and ``models``."""


class Drainer(Protocol):
    """Drains VMs and targets: takes them out of service after their requests end."""

    async def drain(self, kind: str, name: str) -> Mapping[str, Any]:
        """Drain the ``vm`` or ``target`` ``name``; return its state as JSON.

        Raises ``InvalidInputError`` if there is none.
        """


@attrs.frozen
class TimelineQuery:
    """Selects events; a field that is left out selects all."""

    request: str | None = None
    workspace: str | None = None
    target: str | None = None
    kinds: tuple[str, ...] = ()
    after: int = 0
    limit: int = 1000


class TimelineSource(Protocol):
    """The events of all daemons."""

    async def collect(
        self, query: TimelineQuery
    ) -> tuple[Sequence[Mapping[str, Any]], Sequence[str]]:
        """Return events in causal order, and the members that did not answer.

        An event has ``stamp``, ``node``, ``kind`` and ``fields``.
        """


class MetricsSource(Protocol):
    """Prometheus metrics."""

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
