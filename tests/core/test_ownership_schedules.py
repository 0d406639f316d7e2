"""Ownership under pauses, losses, outages, restarts and roster changes."""

from __future__ import annotations

import math
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from schedule import Schedule

from flamingopond_core.membership import GossipState
from flamingopond_core.reachability import HolderAuthority, LapseWatch
from flamingopond_core.roster import Member

KINDS = (
    "pause",
    "cut",
    "isolate",
    "table_down_one",
    "table_down_all",
    "lossy",
    "slow",
    "late",
    "kill",
    "restart",
    "replace",
)
Fault = tuple[float, str, int, float]


def inject(schedule: Schedule, fault: Fault) -> None:
    """Start one fault now; ``choice`` picks the node."""
    _, kind, choice, duration = fault
    names = sorted(schedule.listed)
    name = names[choice % len(names)]
    other = names[(choice // 7) % len(names)]
    until = schedule.now + duration
    if kind == "pause":
        schedule.paused[name] = until
    elif kind == "cut":
        schedule.cut[frozenset((name, other))] = until
    elif kind == "isolate":
        side = [n for n in names if (choice >> names.index(n)) & 1]
        for a in side:
            for b in set(names) - set(side):
                schedule.cut[frozenset((a, b))] = until
    elif kind == "table_down_one":
        schedule.table_down[name] = until
    elif kind == "table_down_all":
        schedule.table_down["*"] = until
    elif kind in ("lossy", "slow", "late"):
        setattr(schedule, f"{kind}_until", until)
    elif kind == "kill":
        schedule.kill(name)
        schedule.at(until, lambda: name in schedule.listed and schedule.start(name))
    elif kind == "restart":
        schedule.start(name)
    elif kind == "replace":
        schedule.kill(name)
        del schedule.listed[name]
        new = f"n{len(schedule.cut)}{schedule.version}{choice}"
        schedule.listed[new] = Member(new, f"{new}:1")
        schedule.start(new)


def run_faults(seed: int, faults: list[Fault]) -> Schedule:
    """Run ``faults`` after a start; the schedule checks authority throughout."""
    schedule = Schedule(seed)
    schedule.run(8)
    for fault in faults:
        schedule.at(8 + fault[0], lambda fault=fault: inject(schedule, fault))
    schedule.run(8 + 60)
    return schedule


def heal(schedule: Schedule) -> None:
    """End all faults."""
    for faults in (schedule.paused, schedule.cut, schedule.table_down):
        faults.clear()
    schedule.lossy_until = schedule.slow_until = schedule.late_until = 0
    for name in set(schedule.listed) - set(schedule.processes):
        schedule.start(name)


fault_lists = st.lists(
    st.tuples(
        st.floats(0, 50),
        st.sampled_from(KINDS),
        st.integers(0, 255),
        st.floats(0.5, 40),
    ),
    min_size=1,
    max_size=14,
)


@settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(seed=st.integers(0, 2**32), faults=fault_lists)
def test_one_owner_and_recovery(seed: int, faults: list[Fault]) -> None:
    """Guards against two owners at once, falling epochs and shards left behind."""
    schedule = run_faults(seed, faults)
    heal(schedule)
    schedule.run(schedule.now + 90)
    assert schedule.settled()
    for process in schedule.processes.values():
        assert process.gossip.roster.members


@settings(max_examples=8, deadline=None)
@given(seed=st.integers(0, 2**32), length=st.floats(5, 200))
def test_outage_for_all_keeps_every_owner(seed: int, length: float) -> None:
    """Guards against grants stopping because the store is away for long."""
    schedule = Schedule(seed)
    schedule.run(15)
    before = {n: p.ownership.held for n, p in schedule.processes.items()}
    schedule.table_down["*"] = schedule.now + length
    schedule.count_gaps = True
    schedule.run(schedule.now + length)
    assert schedule.owner_gaps == 0
    schedule.run(schedule.now + 20)
    after = {n: p.ownership.held for n, p in schedule.processes.items()}
    assert after == before


def test_paused_owner_resumes_in_an_outage() -> None:
    """Guards against a pause in an outage ending authority until the store is back."""
    schedule = Schedule(5)
    schedule.run(15)
    schedule.table_down["*"] = schedule.now + 100
    schedule.run(schedule.now + 20)
    schedule.paused["a"] = schedule.now + 15
    schedule.run(schedule.now + 20)
    assert schedule.settled()


def separate(schedule: Schedule, pairs: str, without_store: str) -> None:
    """Cut pairs such as ``ac`` from each other, and nodes from the table, for good."""
    for pair in pairs.split():
        schedule.cut[frozenset(pair)] = 1e9
    for name in without_store:
        schedule.table_down[name] = 1e9


def majority_without_store(schedule: Schedule) -> None:
    """Let a and b hear each other only; only c has the store."""
    separate(schedule, "ac bc", "ab")
    schedule.run(schedule.now + 30)


def owner_without_store(schedule: Schedule) -> None:
    """Take the store from a only; all hear each other."""
    separate(schedule, "", "a")
    schedule.run(schedule.now + 30)


def voter_forgets(schedule: Schedule) -> None:
    """C claims with the help of b, which then restarts on the side of a."""
    separate(schedule, "ab ac", "a")
    schedule.run(schedule.now + 20)
    del schedule.cut[frozenset("ab")]
    separate(schedule, "bc", "b")
    schedule.start("b")
    schedule.run(schedule.now + 60)


def no_claim_wait(patch: pytest.MonkeyPatch) -> None:
    """Claimants act as soon as they judge a lease lapsed."""
    patch.setattr(LapseWatch, "ready", lambda self, key, *args: self.judged(key))


def contacts_ignored(patch: pytest.MonkeyPatch) -> None:
    """Holders go on with any majority, whatever contacts it knows."""
    original = HolderAuthority.extend

    def extend(self: HolderAuthority, gossip: GossipState, now: float) -> float:
        lease_end, self._lease_end = self._lease_end, math.inf
        original(self, gossip, now if lease_end > -math.inf else -math.inf)
        self._lease_end = lease_end
        return self._until

    patch.setattr(HolderAuthority, "extend", extend)


def fresh_processes_count(patch: pytest.MonkeyPatch) -> None:
    """Holders count processes that may have forgotten a store contact."""
    patch.setattr(GossipState, "_steady", True)


CASES = (
    (majority_without_store, no_claim_wait),
    (owner_without_store, contacts_ignored),
    (voter_forgets, fresh_processes_count),
)


@pytest.mark.parametrize(("scenario", "break_rule"), CASES)
def test_each_rule_is_needed(
    scenario: Callable[[Schedule], None],
    break_rule: Callable[[pytest.MonkeyPatch], None],
) -> None:
    """Guards against a check that no fault can fail.

    Each schedule passes with the rules as they are, and fails if claims do not
    wait, if store contacts are ignored, or if maturity is ignored. The schedule
    of the last case alone also fails if members that ran for long count after
    the authority has lapsed.
    """
    schedule = Schedule(1, "abc")
    schedule.run(15)
    scenario(schedule)
    with pytest.MonkeyPatch.context() as patch:
        break_rule(patch)
        schedule = Schedule(1, "abc")
        schedule.run(15)
        with pytest.raises(AssertionError, match="owned by"):
            scenario(schedule)
