"""Shard ownership under pauses, message loss, outages, restarts and roster changes."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from ownership_simulation import Simulation

from flamingopond_core.delegation import Transfer
from flamingopond_core.lease_rules import ExpiryTracker, HolderAuthority
from flamingopond_core.membership import GossipState
from flamingopond_core.ownership import Ownership
from flamingopond_core.records import node_key
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
    "leave",
)
Fault = tuple[float, str, int, float]


def inject(simulation: Simulation, fault: Fault) -> None:
    """Start a fault now; its ``choice`` selects the nodes."""
    _, kind, choice, duration = fault
    names = sorted(simulation.listed)
    name = names[choice % len(names)]
    other = names[(choice // 7) % len(names)]
    until = simulation.now + duration
    if kind == "pause":
        simulation.paused_until[name] = until
    elif kind == "cut":
        simulation.link_cut_until[frozenset((name, other))] = until
    elif kind == "isolate":
        side = [n for n in names if (choice >> names.index(n)) & 1]
        for a in side:
            for b in set(names) - set(side):
                simulation.link_cut_until[frozenset((a, b))] = until
    elif kind == "table_down_one":
        simulation.table_down_until[name] = until
    elif kind == "table_down_all":
        simulation.table_down_until["*"] = until
    elif kind in ("lossy", "slow", "late"):
        setattr(simulation, f"{kind}_until", until)
    elif kind == "kill":
        simulation.kill(name)
        simulation.at(
            until, lambda: name in simulation.listed and simulation.start(name)
        )
    elif kind == "restart":
        simulation.start(name)
    elif kind == "leave":
        simulation.leave(name)
    elif kind == "replace":
        simulation.kill(name)
        del simulation.listed[name]
        new = f"n{len(simulation.link_cut_until)}{simulation.version}{choice}"
        simulation.listed[new] = Member(new, f"{new}:1")
        simulation.start(new)


def run_faults(seed: int, faults: list[Fault]) -> Simulation:
    """Run ``faults`` after startup; the simulation checks ownership throughout."""
    simulation = Simulation(seed)
    simulation.run(8)
    for fault in faults:
        simulation.at(8 + fault[0], lambda fault=fault: inject(simulation, fault))
    simulation.run(8 + 60)
    return simulation


def heal(simulation: Simulation) -> None:
    """End all faults and restart killed processes."""
    for faults in (
        simulation.paused_until,
        simulation.link_cut_until,
        simulation.table_down_until,
    ):
        faults.clear()
    simulation.lossy_until = simulation.slow_until = simulation.late_until = 0
    for name in set(simulation.listed) - set(simulation.processes):
        simulation.start(name)


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
    """Guards against two owners at once, decreasing epochs and unowned shards."""
    simulation = run_faults(seed, faults)
    heal(simulation)
    simulation.run(simulation.now + 90)
    assert simulation.all_shards_owned()
    for process in simulation.processes.values():
        assert process.gossip.roster.members


@settings(max_examples=8, deadline=None)
@given(seed=st.integers(0, 2**32), outage_s=st.floats(5, 200))
def test_outage_for_all_keeps_every_owner(seed: int, outage_s: float) -> None:
    """Guards against owners losing their authority in a long store outage."""
    simulation = Simulation(seed)
    simulation.run(15)
    before = {n: p.ownership.held for n, p in simulation.processes.items()}
    simulation.table_down_until["*"] = simulation.now + outage_s
    simulation.count_unowned = True
    simulation.run(simulation.now + outage_s)
    assert simulation.unowned_count == 0
    simulation.run(simulation.now + 20)
    after = {n: p.ownership.held for n, p in simulation.processes.items()}
    assert after == before


@settings(max_examples=15, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    leaves=st.lists(st.sampled_from("abcde"), min_size=1, max_size=4, unique=True),
    interval_s=st.floats(35, 60),
)
def test_graceful_leaves_in_an_outage_keep_an_owner(
    seed: int, leaves: list[str], interval_s: float
) -> None:
    """Guards against unowned shards after a graceful leave in a store outage.

    A new process counts towards majorities after 30 s and can hold shards once it
    has a session, so the leaves are further apart and one member never leaves. A
    delegation takes one message, so at most two checks find no owner.
    """
    simulation = Simulation(seed)
    simulation.run(15)
    simulation.table_down_until["*"] = math.inf
    simulation.run(simulation.now + 5)
    for name in leaves:
        simulation.leave(name)
        simulation.run(simulation.now + interval_s)
        assert simulation.all_shards_owned()
        assert simulation.longest_unowned_checks <= 2
    simulation.table_down_until.clear()
    simulation.run(simulation.now + 60)
    assert simulation.all_shards_owned()


@settings(max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    seed=st.integers(0, 2**32),
    faults=fault_lists,
    leaves=st.lists(
        st.tuples(st.floats(0, 50), st.integers(0, 255)), min_size=2, max_size=10
    ),
    outage_s=st.floats(20, 60),
)
def test_leaves_and_faults_in_an_outage(
    seed: int, faults: list[Fault], leaves: list[tuple[float, int]], outage_s: float
) -> None:
    """Guards against two holders of a delegated shard under any mix of faults."""
    simulation = Simulation(seed)
    simulation.run(8)
    simulation.table_down_until["*"] = simulation.now + outage_s
    mixed = [*faults, *((at, "leave", choice, 1.0) for at, choice in leaves)]
    for fault in mixed:
        simulation.at(8 + fault[0], lambda fault=fault: inject(simulation, fault))
    simulation.run(8 + 60)
    heal(simulation)
    simulation.run(simulation.now + 90)
    assert simulation.all_shards_owned()


def test_paused_owner_resumes_in_an_outage() -> None:
    """Guards against a pause in a store outage ending authority for its duration."""
    simulation = Simulation(5)
    simulation.run(15)
    simulation.table_down_until["*"] = simulation.now + 100
    simulation.run(simulation.now + 20)
    simulation.paused_until["a"] = simulation.now + 15
    simulation.run(simulation.now + 20)
    assert simulation.all_shards_owned()


def disconnect(simulation: Simulation, pairs: str, without_store: str) -> None:
    """Permanently cut links such as ``ac``, and nodes from the table."""
    for link in pairs.split():
        simulation.link_cut_until[frozenset(link)] = 1e9
    for name in without_store:
        simulation.table_down_until[name] = 1e9


def majority_without_store(simulation: Simulation) -> None:
    """Let a and b reach only each other, and only c reach the store."""
    disconnect(simulation, "ac bc", "ab")
    simulation.run(simulation.now + 30)


def owner_without_store(simulation: Simulation) -> None:
    """Cut only a from the store; all links work."""
    disconnect(simulation, "", "a")
    simulation.run(simulation.now + 30)


def restarted_voter(simulation: Simulation) -> None:
    """Let c claim with b in its majority; b then restarts on the side of a."""
    disconnect(simulation, "ab ac", "a")
    simulation.run(simulation.now + 20)
    del simulation.link_cut_until[frozenset("ab")]
    disconnect(simulation, "bc", "b")
    simulation.start("b")
    simulation.run(simulation.now + 60)


def lost_transfer(simulation: Simulation) -> None:
    """Let a leave in a store outage, and cut it from its first delegate after 1 s."""
    simulation.table_down_until["*"] = math.inf
    simulation.run(simulation.now + 6)
    simulation.leave("a")
    simulation.run(simulation.now + 1)
    simulation.link_cut_until[frozenset("ab")] = math.inf
    simulation.run(simulation.now + 15)


def restart_while_delegates_act(simulation: Simulation) -> None:
    """Let a leave in an outage; its next process reaches the store but no peers."""
    simulation.table_down_until["*"] = math.inf
    simulation.run(simulation.now + 6)
    simulation.leave("a")
    simulation.run(simulation.now + 3)
    simulation.table_down_until.clear()
    disconnect(simulation, "ab ac", "bc")
    simulation.start("a")
    simulation.run(simulation.now + 30)


def repeat_transfer(patch: pytest.MonkeyPatch) -> None:
    """Repeat a lost transfer to another member."""
    original = Ownership.delegate_to
    transfers_by_owner: dict[int, tuple[Transfer, ...]] = {}

    def delegate_to(self: Ownership, name: str, now: float) -> tuple[Transfer, ...]:
        transfers = original(self, name, now)
        return transfers + transfers_by_owner.setdefault(id(self), transfers)

    patch.setattr(Ownership, "delegate_to", delegate_to)
    patch.setattr(Ownership, "has_left", False)
    patch.setattr(
        Ownership,
        "next_delegate",
        lambda self, now: min(
            self.eligible_owners(now) - self._declined_by if self._leaving else (),
            default=None,
        ),
    )


def no_wait_for_earlier_session(patch: pytest.MonkeyPatch) -> None:
    """Let restarted processes join without waiting for the earlier session."""
    original = ExpiryTracker.may_replace

    def may_replace(
        self: ExpiryTracker, key: str, version: int, gossip: GossipState, *rest: Any
    ) -> bool:
        own = key == node_key(gossip.member.name)
        return own or original(self, key, version, gossip, *rest)

    patch.setattr(ExpiryTracker, "may_replace", may_replace)


def no_claim_wait(patch: pytest.MonkeyPatch) -> None:
    """Let claimants act as soon as a lease has expired."""
    patch.setattr(
        ExpiryTracker, "may_replace", lambda self, key, *args: self.is_expired(key)
    )


def ignore_contacts(patch: pytest.MonkeyPatch) -> None:
    """Let holders extend with any majority, whatever store contacts it knows of."""
    original = HolderAuthority.extend

    def extend(self: HolderAuthority, gossip: GossipState, now: float) -> float:
        lease_end, self._lease_end = self._lease_end, math.inf
        original(self, gossip, now if lease_end > -math.inf else -math.inf)
        self._lease_end = lease_end
        return self._until

    patch.setattr(HolderAuthority, "extend", extend)


def count_young_processes(patch: pytest.MonkeyPatch) -> None:
    """Let holders count processes that may have lost knowledge of a store contact."""
    patch.setattr(GossipState, "_predates_contact", True)


CASES = (
    (majority_without_store, no_claim_wait),
    (owner_without_store, ignore_contacts),
    (restarted_voter, count_young_processes),
    (lost_transfer, repeat_transfer),
    (restart_while_delegates_act, no_wait_for_earlier_session),
)


@pytest.mark.parametrize(("scenario", "break_rule"), CASES)
def test_each_rule_is_needed(
    scenario: Callable[[Simulation], None],
    break_rule: Callable[[pytest.MonkeyPatch], None],
) -> None:
    """Guards against an ownership check that no fault can fail.

    Each scenario passes with the rules in force and fails with one of them
    disabled: if claims do not wait, if store contacts are ignored, if a process's
    age is ignored, if a lost transfer is repeated to another member, or if a
    restarted process joins while its delegates act. The third scenario alone also
    fails if long-running members count after the authority has expired.
    """
    simulation = Simulation(1, "abc")
    simulation.run(15)
    scenario(simulation)
    with pytest.MonkeyPatch.context() as patch:
        break_rule(patch)
        simulation = Simulation(1, "abc")
        simulation.run(15)
        with pytest.raises(AssertionError, match="owned by"):
            scenario(simulation)
