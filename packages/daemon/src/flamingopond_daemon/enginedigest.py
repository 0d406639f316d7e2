"""Digests of engines and plans of moves, as gossip carries them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs

from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.placement import Move
from flamingopond_core.reports import OrderKind
from flamingopond_platform.engine import EngineReport, LoadedModel

PlannedAt = tuple[int, int]
"""Epoch of the planner and its time in milliseconds."""

Plan = tuple[tuple[Move, PlannedAt], ...]
"""Moves that are still to be carried out."""


@attrs.frozen
class EngineDigest:
    """An engine's report with the memory and copies of its ledger."""

    report: EngineReport
    copies: tuple[Copy, ...]
    free_mb: int
    orderable: bool
    lost: Mapping[tuple[str, str], int] = attrs.field(factory=dict)

    def to_json(self) -> list[Any]:
        """Return the digest as a compact JSON list."""
        report = self.report
        return [
            report.instance[:12],
            report.sequence,
            report.memory_mb,
            report.running,
            report.waiting,
            report.waiting_tokens,
            report.role,
            int(report.draining),
            self.free_mb,
            int(self.orderable),
            [
                [c.model, c.version, c.memory_mb, c.state[0], list(c.adapters)]
                for c in self.copies
            ],
            [[*subject, memory_mb] for subject, memory_mb in self.lost.items()],
        ]

    @classmethod
    def from_json(cls, data: list[Any]) -> EngineDigest:
        """Return the digest in ``data``."""
        states = {state[0]: state for state in CopyState}
        copies = tuple(
            Copy(model, version, memory_mb, states[state], tuple(adapters))
            for model, version, memory_mb, state, adapters in data[10]
        )
        report = EngineReport(
            instance=data[0],
            sequence=data[1],
            memory_mb=data[2],
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
            running=data[3],
            waiting=data[4],
            waiting_tokens=data[5],
            role=data[6],
            draining=bool(data[7]),
        )
        lost = {(model, version): memory_mb for model, version, memory_mb in data[11]}
        return cls(report, copies, data[8], bool(data[9]), lost)

    def serves(self, subject: str) -> bool:
        """Return whether a model, or an adapter on its model, is ready."""
        return any(
            copy.state is CopyState.READY
            and (copy.model == subject or subject in copy.adapters)
            for copy in self.copies
        )


def plan_to_json(plan: Plan) -> list[Any]:
    """Return a plan as a JSON list."""
    return [[*at, *attrs.astuple(move)] for move, at in plan]


def plan_from_json(data: list[Any]) -> Plan:
    """Return the plan in ``data``."""
    return tuple(
        (Move(engine, OrderKind(kind), *rest), (epoch, at_ms))
        for epoch, at_ms, engine, kind, *rest in data
    )
