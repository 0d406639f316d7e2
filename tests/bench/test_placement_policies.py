"""Tests of the simulation that compares placement policies."""

from flamingopond_bench.placement_policies import measure_plan_cpu_s, simulate


def test_planner_lowers_the_peak_with_few_moves() -> None:
    """Guards against a planner that is worse than static or never stops moving."""
    static = simulate(False, 1, 9, 20, 300, 150)
    planned = simulate(True, 1, 9, 20, 300, 150)
    assert static.moves == 0
    assert planned.mean_peak < 0.7 * static.mean_peak
    assert planned.overloaded < static.overloaded
    assert 0 < planned.moves < 20


def test_measure_plan_cpu_s_runs() -> None:
    """Guards against a CPU time measurement that fails to run."""
    assert len(measure_plan_cpu_s(20, 9, 1, 3)) == 3
