"""Tests of the benchmark's workload, static placement and evaluation."""

from __future__ import annotations

from pathlib import Path

import pytest

from flamingopond_bench.bench import AdmissionAudit, make_workload, worst_to_mean
from flamingopond_bench.deployments import KAVANGO, TRUST, Deployment
from flamingopond_bench.exact_bucket import ExactBucket, largest_excess
from flamingopond_bench.load import Outcome
from flamingopond_bench.systems import make_fleet, static_placement
from flamingopond_bench.workload import base_popularity, generate_arrivals
from flamingopond_core.objects import Model


def outcome(at: float, *, wanted: int = 60, code: str = "", tokens: int = 0) -> Outcome:
    return Outcome(
        workspace="w",
        model="m",
        entry=0,
        at=at,
        wanted=wanted,
        max_tokens=wanted,
        uses=wanted,
        ended=at + 1.0,
        code=code,
        tokens=tokens,
        complete=not code,
    )


@pytest.mark.parametrize("deployment", [TRUST, KAVANGO])
def test_loads_repeat_with_their_seed(deployment: Deployment) -> None:
    """Guards against comparing systems under different loads."""
    keys = ({"a": "x"}, {"a": "y"})
    first, second = (
        generate_arrivals(make_workload(deployment, k, 3, 20.0)) for k in keys
    )
    assert first == second
    assert first != generate_arrivals(make_workload(deployment, {}, 4, 20.0))
    assert {a.workspace for a in first} == {w.name for w in deployment.workspaces}


@pytest.mark.parametrize("deployment", [TRUST, KAVANGO])
def test_each_request_fits_a_node_share(deployment: Deployment) -> None:
    """Guards against a request too large for the burst of any baseline node."""
    largest = max(
        a.reserved_tokens
        for a in generate_arrivals(make_workload(deployment, {}, 1, 60.0))
    )
    assert (
        largest <= min(w.burst for w in deployment.workspaces) / deployment.daemon_count
    )


@pytest.mark.parametrize("deployment", [TRUST, KAVANGO])
def test_static_placement_fits(deployment: Deployment, tmp_path: Path) -> None:
    """Guards against a baseline that lacks a model or overcommits an engine."""
    fleet = make_fleet(deployment, tmp_path)
    popularity = base_popularity(make_workload(deployment, {}, 0, 1.0))
    placement = static_placement(fleet, popularity)
    sizes = {
        v.name: v.memory_mb for v in fleet.objects.values() if isinstance(v, Model)
    }
    assert {m for models in placement.values() for m in models} == set(sizes)
    for engine, models in placement.items():
        assert len(models) == len(set(models))
        assert sum(map(sizes.__getitem__, models)) <= fleet.engines[engine].memory_mb


def test_largest_excess_finds_a_window_over_the_bound() -> None:
    """Guards against a rate check that never fails."""
    uses = [(0.0, 100.0), (1.0, 10.0), (2.0, 10.0)]
    assert largest_excess(uses, rate=10.0, burst=100.0) == 0.0
    assert largest_excess([*uses, (2.5, 6.0)], rate=10.0, burst=100.0) == 1.0


def test_refusals_are_judged_by_what_was_admitted() -> None:
    """Guards against checking refusals against the wrong bucket."""
    outcomes = [
        outcome(0.0, tokens=60),
        outcome(0.1, code="rate_limited"),
        outcome(5.0, code="rate_limited"),
        outcome(6.0, tokens=60),
    ]
    audit = AdmissionAudit(
        {"w": ExactBucket(10.0, 100.0)}, {"w": ExactBucket(10.0, 100.0)}
    )
    audit.replay(outcomes)
    assert audit.had_room == {1: False, 2: True}
    # The ideal bucket admits the first and the third request, but not the fourth.
    assert audit.entitled == {"w": 2}


def test_worst_workspace_is_compared_with_the_mean() -> None:
    """Guards against a mean over requests, which would hide a small workspace."""
    entitled = {"large": 90, "tiny": 10}
    assert worst_to_mean({"large": 90, "tiny": 5}, entitled) == pytest.approx(
        0.5 / 0.75
    )
