"""The benchmark's loads and judgements are what its page says."""

from __future__ import annotations

from pathlib import Path

import pytest

from flamingopond_bench.bench import Judge, workload_of, worst_to_mean
from flamingopond_bench.deployments import KAVANGO, TRUST, Deployment
from flamingopond_bench.exactbucket import ExactBucket, largest_excess
from flamingopond_bench.load import Outcome
from flamingopond_bench.systems import make_fleet, static_placement
from flamingopond_bench.workload import arrivals, usual_popularity
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
    """Guards against systems that are compared under different loads."""
    keys = ({"a": "x"}, {"a": "y"})
    first, second = (arrivals(workload_of(deployment, k, 3, 20.0)) for k in keys)
    assert first == second
    assert first != arrivals(workload_of(deployment, {}, 4, 20.0))
    assert {a.workspace for a in first} == {s.name for s in deployment.senders}


@pytest.mark.parametrize("deployment", [TRUST, KAVANGO])
def test_each_request_fits_a_node_share(deployment: Deployment) -> None:
    """Guards against baselines that must refuse because of a single request's size."""
    largest = max(a.wanted for a in arrivals(workload_of(deployment, {}, 1, 60.0)))
    assert largest <= min(s.burst for s in deployment.senders) / deployment.daemons


@pytest.mark.parametrize("deployment", [TRUST, KAVANGO])
def test_static_placement_fits(deployment: Deployment, tmp_path: Path) -> None:
    """Guards against a baseline that lacks a model or overcommits an engine."""
    fleet = make_fleet(deployment, tmp_path)
    popularity = usual_popularity(workload_of(deployment, {}, 0, 1.0))
    placement = static_placement(fleet, popularity)
    sizes = {
        v.name: v.memory_mb for v in fleet.objects.values() if isinstance(v, Model)
    }
    assert {m for models in placement.values() for m in models} == set(sizes)
    for engine, models in placement.items():
        assert len(models) == len(set(models))
        assert sum(map(sizes.__getitem__, models)) <= fleet.engines[engine].memory_mb


def test_largest_excess_finds_a_window_over_the_bound() -> None:
    """Guards against a check of the rate that cannot fail."""
    uses = [(0.0, 100.0), (1.0, 10.0), (2.0, 10.0)]
    assert largest_excess(uses, rate=10.0, burst=100.0) == 0.0
    assert largest_excess([*uses, (2.5, 6.0)], rate=10.0, burst=100.0) == 1.0


def test_refusals_are_judged_by_what_was_admitted() -> None:
    """Guards against refusals that are excused, or blamed, by the wrong bucket."""
    outcomes = [
        outcome(0.0, tokens=60),
        outcome(0.1, code="rate_limited"),
        outcome(5.0, code="rate_limited"),
        outcome(6.0, tokens=60),
    ]
    judge = Judge({"w": ExactBucket(10.0, 100.0)}, {"w": ExactBucket(10.0, 100.0)})
    judge.replay(outcomes)
    assert judge.inside == {1: False, 2: True}
    # The ideal bucket takes the first, the third, and not the fourth.
    assert judge.entitled == {"w": 2}


def test_worst_workspace_is_compared_with_the_mean() -> None:
    """Guards against a small workspace that vanishes in a mean over requests."""
    entitled = {"large": 90, "tiny": 10}
    assert worst_to_mean({"large": 90, "tiny": 5}, entitled) == pytest.approx(
        0.5 / 0.75
    )
