"""Engine digests and placement plans in the form in which gossip carries them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.placement import PlannedMove
from flamingopond_core.reports import OrderKind
from flamingopond_platform.engine import EngineReport, LoadedModel

PlannedAt = tuple[int, int]
"""Epoch of the planner and time of the plan in milliseconds."""

EngineLoad = tuple[str, int, int, int, int]
"""Instance, report sequence, running requests, waiting requests, waiting tokens."""

Plan = tuple[tuple[PlannedMove, PlannedAt], ...]
"""Moves that have not been carried out yet."""


@attrs.frozen
class EngineDigest:
    """Summary of an engine's state: its report, and what its ledger says.

    ``free_mb``, ``copies`` and ``accepts_orders`` are according to the ledger.
    ``abandoned_load_mb`` is the memory reserved for abandoned loads, by model and
    version. ``alive`` is false once the engine has stopped answering its owner.
    """

    report: EngineReport
    copies: tuple[Copy, ...]
    free_mb: int
    accepts_orders: bool
    abandoned_load_mb: Mapping[tuple[str, str], int] = attrs.field(factory=dict)
    alive: bool = True

    def to_json(self) -> list[Any]:
        """Return the digest as a JSON list, without the load.

        The load changes too often and has its own topic.
        """
        report = self.report
        return [
            report.instance,
            report.memory_mb,
            report.role,
            int(report.draining),
            int(self.alive),
            self.free_mb,
            int(self.accepts_orders),
            [
                [c.model, c.version, c.memory_mb, c.state[0], list(c.adapters)]
                for c in self.copies
            ],
            [
                [*subject, memory_mb]
                for subject, memory_mb in self.abandoned_load_mb.items()
            ],
        ]

    @classmethod
    def from_json(cls, data: list[Any]) -> EngineDigest:
        """Return the digest in ``data``; its load is zero."""
        states = {state[0]: state for state in CopyState}
        instance, memory_mb, role, draining, alive, free_mb, accepts_orders = data[:7]
        copies = tuple(
            Copy(model, version, size_mb, states[state], tuple(adapters))
            for model, version, size_mb, state, adapters in data[7]
        )
        abandoned_load_mb = {
            (model, version): size_mb for model, version, size_mb in data[8]
        }
        report = EngineReport(
            instance=instance,
            sequence=0,
            memory_mb=memory_mb,
            models=tuple(
                LoadedModel(
                    c.model,
                    c.version,
                    c.memory_mb,
                    c.state is CopyState.READY,
                    c.adapters,
                )
                for c in copies
            ),
            role=role,
            draining=bool(draining),
        )
        return cls(
            report,
            copies,
            free_mb,
            bool(accepts_orders),
            abandoned_load_mb,
            bool(alive),
        )

    def load(self) -> EngineLoad:
        """Return the load in the report."""
        report = self.report
        return (
            report.instance,
            report.sequence,
            report.running,
            report.waiting,
            report.waiting_tokens,
        )

    def report_with_load(self, load: EngineLoad | None) -> EngineReport:
        """Return the report with ``load``, if that is of the same instance."""
        if load is None or load[0] != self.report.instance:
            return self.report
        _, sequence, running, waiting, waiting_tokens = load
        return attrs.evolve(
            self.report,
            sequence=sequence,
            running=running,
            waiting=waiting,
            waiting_tokens=waiting_tokens,
        )

    @property
    def serving(self) -> frozenset[str]:
        """The models that are ready, and the adapters loaded on them."""
        return frozenset(
            name
            for copy in self.copies
            if copy.state is CopyState.READY
            for name in (copy.model, *copy.adapters)
        )


def plan_to_json(plan: Plan) -> list[Any]:
    """Return a plan as a JSON list."""
    return [[*planned_at, *attrs.astuple(move)] for move, planned_at in plan]


def plan_from_json(data: list[Any]) -> Plan:
    """Return the plan in ``data``."""
    return tuple(
        (PlannedMove(engine, OrderKind(kind), *rest), (epoch, at_ms))
        for epoch, at_ms, engine, kind, *rest in data
    )
