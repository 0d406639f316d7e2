"""Tests that the placement lease has at most one holder at a time.

They cover suspended and absent holders, resignation, a holder without the store, and a
store that comes back from an older copy.
"""

from __future__ import annotations

import pytest

from flamingopond_gateway.store.lease import LeaseManager, LeaseStep
from flamingopond_gateway.store.storage import make_version, number_of

LEASE_S = 3.0


class LeaseRow:
    """The lease row in the store, with conditional writes."""

    def __init__(self):
        self.era = 1
        self.number = 0
        self.version = 0
        self.vacant = True
        self.away = False

    def write(self, expected, vacant=False):
        if expected != self.version:
            return None
        self.number += 1
        self.version = make_version(self.era, self.number)
        self.vacant = vacant
        return self.version

    def copy(self):
        return self.number, self.version, self.vacant

    def restore(self, copy):
        """Come back from ``copy``, in which the row may be missing."""
        self.era += 1
        self.number, version, self.vacant = copy
        self.version = make_version(self.era, number_of(version)) if version else 0


def drive(manager, row, now, holder_heard=False, takeover_delay_s=0.0):
    """Run one step of a manager; return whether a term began."""
    step = manager.step(now, holder_heard, takeover_delay_s)
    if row.away:
        return False
    if step is LeaseStep.READ:
        manager.observe(row.version, row.vacant, row.era, now)
    elif step is LeaseStep.WRITE:
        version = row.write(manager.version)
        if version is None:
            manager.lose_term(now)
            manager.observe(row.version, row.vacant, row.era, now)
        else:
            return manager.record_write(version, now)
    return False


def run(managers, row, start, end, absent=(), deaf=False):
    """Run managers over time; return the start of each term as (time, index).

    With ``deaf`` they hear of a holder only through the store.
    """
    term_starts = []
    now = start
    while now < end:
        for index, manager in enumerate(managers):
            if index in absent:
                continue
            holder_heard = not deaf and any(
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


def state_for_copy(found, managers, row):
    """Bring about what a copy holds of the row; return the copy and the time."""
    if found == "no row":
        return row.copy(), 0.0
    if found == "this holder":
        run(managers, row, 0.0, 4.0)
        return row.copy(), 4.0
    run(managers[1:], row, 0.0, 4.0)
    if found == "resigned":
        row.write(managers[1].version, vacant=True)
        managers[1].end_term()
    return row.copy(), 4.0


# Guards ONE: the copy names nobody, or a former holder, while the last one still acts.
@pytest.mark.parametrize(
    "found", ["no row", "resigned", "former holder", "this holder"]
)
@pytest.mark.parametrize("away_s", [0.2, 1.0, 2.0, 4.0])
@pytest.mark.parametrize("era_known", [True, False])
@pytest.mark.parametrize("deaf", [False, True])
def test_lease_has_one_holder_over_a_restore(found, away_s, era_known, deaf):
    managers = [LeaseManager(LEASE_S) for _ in range(3)]
    row = LeaseRow()
    copy, now = state_for_copy(found, managers, row)
    for manager in managers:
        manager.note_era(1, now)
    if found == "former holder":
        # It is cut off until its lease has ended.
        run(managers[:1], row, now, now + 2 * LEASE_S)
        now += 2 * LEASE_S
        managers[1].end_term()
    else:
        # Its next renewal is due some time after the store's return.
        run(managers, row, now, now + 0.6)
        now += 0.6
    assert managers[0].held(now)
    fence = managers[0].fence
    row.away = True
    run(managers, row, now, now + away_s, deaf=deaf)
    now += away_s
    row.away = False
    row.restore(copy)
    for manager in managers:
        if era_known or manager is managers[0]:
            manager.note_era(2, now)
    term_starts = run(managers, row, now, now + 3 * LEASE_S, deaf=deaf)
    started_at, index = term_starts[0]
    if away_s <= LEASE_S - LEASE_S / 3 - 0.1:
        # No lease can have passed since its last renewal.
        assert index == 0
        assert started_at <= now + LEASE_S / 3 + 0.1
    assert managers[index].fence > fence
    assert len(term_starts) == 1


def test_last_holder_does_not_retake_a_lease_that_has_ended():
    """Guards ONE: another gateway may have acquired it before the store was lost."""
    manager = LeaseManager(LEASE_S)
    row = LeaseRow()
    run([manager], row, 0.0, 2.0)
    copy = row.copy()
    row.restore(copy)
    now = 2.0 + LEASE_S
    assert not drive(manager, row, now)
    assert not drive(manager, row, now + 0.2)
    assert manager.fence == 0


# Guards ONE: a holder that was taken for cut off resigned and came back after 1.9 s, so
# that an engine got orders of two holders in turn within a lease.
@pytest.mark.parametrize(("back_at", "acquired"), [(3.0, False), (4.9, True)])
def test_holder_that_leaves_the_lease_does_not_act_in_turn(back_at, acquired):
    row, first = LeaseRow(), LeaseManager(LEASE_S)
    assert not drive(first, row, 0.0)
    assert drive(first, row, 0.1)
    first.abstain(1.0)
    row.write(first.version, vacant=True)
    first.end_term()
    # Nobody else takes it.
    began = [drive(first, row, 1.0 + 0.1 * step) for step in range(20)]
    assert not any(began)
    began = [drive(first, row, back_at + 0.1 * step) for step in range(3)]
    assert any(began) == acquired
