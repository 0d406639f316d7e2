"""The operators' API over a fake fleet, for tests."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from config_fakes import Fleet
from starlette.applications import Starlette

from flamingopond_core.exceptions import InvalidInputError
from flamingopond_core.findings import Finding
from flamingopond_core.keys import digest_of
from flamingopond_daemon.operator_api import OperatorApi
from flamingopond_daemon.operator_subsystems import TimelineQuery


class FakeSubsystems:
    """Fake of the subsystems behind status, drain, timeline and metrics."""

    def __init__(self, node: str = "a") -> None:
        self._node = node

    def status(self, now: float) -> Mapping[str, Any]:
        return {"vms": [{"name": "a"}], "targets": [], "models": []}

    async def drain(self, kind: str, name: str) -> Mapping[str, Any]:
        if name != "e1":
            raise InvalidInputError([Finding(kind, f"there is no {name}")])
        return {"name": name, "state": "draining"}

    async def collect(
        self, query: TimelineQuery
    ) -> tuple[Sequence[Mapping[str, Any]], Sequence[str]]:
        own = {"stamp": 5 + (self._node == "b"), "node": self._node, "kind": "k"}
        shared = {"stamp": 1, "node": "z", "kind": "k", "fields": {}}
        return [shared, {**own, "fields": attrs.asdict(query)}], ["c", self._node]

    def render(self) -> bytes:
        return b"up 1\n"


def make_app(fleet: Fleet, node: str) -> Starlette:
    """Return the app of one node; the operator's key is ``operator-secret``."""
    subsystems = FakeSubsystems(node)
    return OperatorApi(
        node,
        fleet.syncs[node],
        subsystems,
        subsystems,
        subsystems,
        subsystems,
        digest_of("operator-secret"),
        clock=lambda: fleet.now,
    ).build()
