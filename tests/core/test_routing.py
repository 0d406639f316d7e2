"""Tests of engine selection: tables of rules and a simulation of many routers."""

from __future__ import annotations

from collections import deque
from random import Random

import pytest

from flamingopond_core.blocks import prefix_blocks
from flamingopond_core.prefix import CachedBlocks, preferred_engines
from flamingopond_core.routing import EngineInfo, LoadReport, Router, RoutingRequest

ENGINES = ("a1", "a2", "b1", "b2")


def make_router(engines=ENGINES, zone="a", region="r") -> Router:
    router = Router(zone, region)
    router.configure(EngineInfo(name, name[0], "r") for name in engines)
    return router


def request(candidates=ENGINES, **kwargs) -> RoutingRequest:
    kwargs.setdefault("prompt_tokens", 40)
    kwargs.setdefault("answer_tokens", 64)
    return RoutingRequest(candidates, **kwargs)


@pytest.mark.parametrize(
    ("running", "candidates", "leaving", "excluded", "expected"),
    [
        pytest.param({}, (), (), (), None, id="no candidate"),
        pytest.param({}, ("gone",), (), (), None, id="not configured"),
        pytest.param({}, ("a1", "b1"), ("a1",), (), "b1", id="leaving"),
        pytest.param({}, ("a1", "b1"), (), ("a1",), "b1", id="excluded"),
        pytest.param({"a1": 9, "b1": 1}, ("a1", "b1"), (), (), "b1", id="less loaded"),
        pytest.param({"a1": 5, "b1": 5}, ("a1", "b1"), (), (), "a1", id="own zone"),
    ],
)
def test_choice_guards_against_unusable_or_worse_engines(
    running, candidates, leaving, excluded, expected
):
    router = make_router()
    for name, count in running.items():
        router.observe(LoadReport(name, count, lag_s=0.0), 0.0)
    router.set_leaving(leaving)
    wanted = request(candidates, excluded=frozenset(excluded))
    for seed in range(20):
        assert router.choose(wanted, 0.0, Random(seed)) == expected


def test_own_region_comes_first():
    """Guards against leaving the region although it has a usable engine."""
    router = Router("a", "r")
    router.configure([EngineInfo("near", "a", "r"), EngineInfo("far", "x", "s")])
    router.observe(LoadReport("near", 30, lag_s=0.0), 0.0)
    assert router.choose(request(("near", "far")), 0.0, Random(1)) == "near"
    router.set_leaving(["near"])
    assert router.choose(request(("near", "far")), 0.0, Random(1)) == "far"


def test_quarantined_engine_gets_no_other_work():
    """Guards against running an innocent request next to a suspect one."""
    router = make_router()
    router.reserve("a1", "suspect")
    assert router.choose(request(("a1",)), 0.0, Random(1)) is None
    router.release("a1", "another")
    assert router.choose(request(("a1",)), 0.0, Random(1)) is None
    router.release("a1", "suspect")
    assert router.choose(request(("a1",)), 0.0, Random(1)) == "a1"


def test_uncovered_requests_count_until_a_report_covers_them():
    """Guards against counting a request of this node twice, or not at all."""
    router = make_router()
    router.observe(LoadReport("a1", 0, lag_s=0.5), 10.0)
    router.record_start("a1", "x", request(), 10.0)
    unreported_load = router.load("a1", 10.0)
    assert unreported_load > 0
    router.observe(LoadReport("a1", 0, lag_s=0.5), 10.2)
    assert router.load("a1", 10.2) == unreported_load
    router.observe(LoadReport("a1", 1, lag_s=0.5), 11.0)
    assert 0 < router.load("a1", 11.0) < unreported_load
    router.record_finish("a1", "x", 11.1, answer_tokens=64)
    assert router.load("a1", 11.1) < router.load("a1", 11.0) + unreported_load
    router.observe(LoadReport("a1", 0, lag_s=0.0, from_answer=True), 11.2)
    assert router.load("a1", 11.2) == 0


def test_room_is_learned_from_waiting_requests():
    """Guards against sending more requests to engines with a full batch."""
    router = make_router()
    router.observe(LoadReport("a1", 4, waiting=2, lag_s=0.0), 0.0)
    router.record_start("a1", "x", request(), 0.1)
    # Even on an idle engine, new requests wait for a moment.
    assert router.available_slots(["a1"], 0.2) > 16
    router.observe(LoadReport("a1", 4, waiting=1, lag_s=0.0), 1.0)
    assert router.available_slots(["a1"], 1.2) == 0
    router.observe(LoadReport("a1", 3, lag_s=0.0), 2.0)
    assert router.available_slots(["a1"], 2.0) > 16


def test_prefix_favourite_until_its_load_exceeds_the_bound():
    """Guards against a frequent prefix that overloads its preferred engines."""
    router = make_router()
    blocks = prefix_blocks("m", "", "x" * 600)
    first, second = preferred_engines(blocks[0], ENGINES)
    wanted = request(prefix_block_names=blocks)
    assert {router.choose(wanted, 0.0, Random(s)) for s in range(9)} == {first}
    router.observe(LoadReport(first, 40, lag_s=0.0), 0.0)
    assert {router.choose(wanted, 0.0, Random(s)) for s in range(9)} == {second}
    router.observe(LoadReport(second, 40, lag_s=0.0), 0.0)
    chosen = {router.choose(wanted, 0.0, Random(s)) for s in range(40)}
    assert chosen - {first, second}


@pytest.mark.parametrize(
    ("events", "leading"),
    [
        ([(1, "x", True), (2, "y", True)], 2),
        ([(1, "x", True), (2, "y", True), (3, "x", False)], 0),
        ([(1, "x", True), (3, "y", True)], 0),
        ([(1, "x", True), (1, "x", False)], 1),
    ],
    ids=["cached", "evicted", "gap", "repeated"],
)
def test_cache_events(events, leading):
    """Guards against relying on cached blocks whose eviction event was lost."""
    cache = CachedBlocks()
    for event in events:
        cache.apply_event(*event)
    assert cache.cached_prefix_length(["x", "y"]) == leading


class LeastLoaded:
    """Policy for comparison: always takes the engine with the lowest reported count."""

    def __init__(self, names):
        self._counts = dict.fromkeys(names, 0)

    def observe(self, report, now):
        self._counts[report.engine] = report.running

    def choose(self, wanted, now, rng):
        return min(self._counts, key=lambda name: (self._counts[name], name))

    def record_start(self, *args):
        pass

    def record_finish(self, *args):
        pass


def simulate(make, routers=40, engines=12, seed=7, duration_s=30.0, lag=1.0):
    """Return the highest number of requests on one engine relative to the mean of all.

    All routers see the same reports, ``lag`` seconds late; requests last 2 s and fill
    half of the engines' usual batch.
    """
    rng = Random(seed)
    names = [f"e{i}" for i in range(engines)]
    fleet = [make(names) for _ in range(routers)]
    counts = dict.fromkeys(names, 0)
    ends: list[deque] = [deque()]
    published: deque = deque()
    peak, total, samples, now, step_s, arrivals = 0, 0, 0, 0.0, 0.05, 6
    wanted = RoutingRequest(names, 40, 64)
    attempt_count = 0
    running = ends[0]
    while now < duration_s:
        while running and running[0][0] <= now:
            _, name, router, attempt = running.popleft()
            counts[name] -= 1
            router.record_finish(name, attempt, now, 64)
        for _ in range(arrivals):
            router = rng.choice(fleet)
            name = router.choose(wanted, now, rng)
            attempt_count += 1
            counts[name] += 1
            router.record_start(name, f"t{attempt_count}", wanted, now)
            running.append((now + 2.0, name, router, f"t{attempt_count}"))
        if round(now / step_s) % 20 == 0:
            published.append((now + lag, dict(counts)))
        while published and published[0][0] <= now:
            for name, count in published.popleft()[1].items():
                for router in fleet:
                    router.observe(LoadReport(name, count, lag_s=lag), now)
        if now > 5:
            peak = max(peak, max(counts.values()))
            total += sum(counts.values())
            samples += 1
        now += step_s
    return peak / (total / samples / engines)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_herd_on_stale_reports(seed):
    """Guards against many nodes that all choose the engine last reported as idle."""
    router_peak = simulate(make_router, seed=seed)
    least_loaded_peak = simulate(LeastLoaded, seed=seed)
    assert router_peak < 2.0
    assert least_loaded_peak > 2 * router_peak
