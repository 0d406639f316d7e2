"""Tests that the placement lease has at most one holder at a time.

They cover suspended and absent holders, resignation and a holder without the store.
"""

from __future__ import annotations

import pytest

from flamingopond_gateway.lease import LeaseManager, LeaseStep

LEASE_S = 3.0


class LeaseRow:
    """The lease row in the store, with conditional writes."""

    def __init__(self):
        self.version = 0
        self.vacant = True

    def write(self, expected, vacant=False):
        if expected != self.version:
            return None
        self.version += 1
        self.vacant = vacant
        return self.version


def drive(manager, row, now, holder_heard=False, takeover_delay_s=0.0):
    """Run one step of a manager; return whether a term began."""
    step = manager.step(now, holder_heard, takeover_delay_s)
    if step is LeaseStep.READ:
        manager.observe(row.version, row.vacant, now)
    elif step is LeaseStep.WRITE:
        version = row.write(manager.version)
        if version is None:
            manager.end_term()
            manager.observe(row.version, row.vacant, now)
        else:
            return manager.record_write(version, now)
    return False


def run(managers, row, start, end, absent=()):
    """Run managers over time; return the start of each term as (time, index)."""
    term_starts = []
    now = start
    while now < end:
        for index, manager in enumerate(managers):
            if index in absent:
                continue
            holder_heard = any(
                other.held(now)
                for number, other in enumerate(managers)
                if number != index and number not in absent
            )
            if drive(manager, row, now, holder_heard, index * 0.4):
                term_starts.append((now, index))
            assert sum(k.held(now) for k in managers) <= 1
        now += 0.05
    return term_starts


def test_one_gateway_acquires_a_vacant_lease():
    managers = [LeaseManager(LEASE_S) for _ in range(4)]
    term_starts = run(managers, LeaseRow(), 0.0, 10.0)
    assert [index for _, index in term_starts] == [0]


def test_another_takes_over_when_the_lease_of_an_absent_holder_expires():
    managers = [LeaseManager(LEASE_S) for _ in range(3)]
    row = LeaseRow()
    run(managers, row, 0.0, 5.0)
    term_starts = run(managers, row, 5.0, 12.0, absent=(0,))
    assert [index for _, index in term_starts] == [1]
    assert 5.0 + LEASE_S * 0.6 <= term_starts[0][0] <= 5.0 + 2 * LEASE_S
    assert managers[1].fence > 0


@pytest.mark.parametrize("suspended_s", [1.0, 2.5, 4.0, 8.0])
def test_resumed_holder_does_not_act_beside_its_successor(suspended_s):
    """The clock includes the suspend, so the holder finds its lease expired."""
    managers = [LeaseManager(LEASE_S) for _ in range(3)]
    row = LeaseRow()
    run(managers, row, 0.0, 5.0)
    run(managers, row, 5.0, 5.0 + suspended_s, absent=(0,))
    run(managers, row, 5.0 + suspended_s, 20.0 + suspended_s)


def test_fencing_tokens_increase_with_each_term():
    row = LeaseRow()
    tokens = []
    start = 0.0
    for _ in range(4):
        manager = LeaseManager(LEASE_S)
        run([manager], row, start, start + 8.0)
        tokens.append(manager.fence)
        start += 8.0
    assert tokens == sorted(set(tokens))
    assert all(tokens)


def test_resigned_lease_is_taken_at_once():
    managers = [LeaseManager(LEASE_S) for _ in range(2)]
    row = LeaseRow()
    run(managers, row, 0.0, 2.0)
    row.write(managers[0].version, vacant=True)
    managers[0].end_term()
    term_starts = run(managers, row, 2.0, 3.0, absent=(0,))
    assert [index for _, index in term_starts] == [1]


def test_holder_without_the_store_stops_acting():
    manager = LeaseManager(LEASE_S)
    row = LeaseRow()
    run([manager], row, 0.0, 2.0)
    last = 2.0
    assert manager.held(last)
    assert not manager.held(last + LEASE_S)
