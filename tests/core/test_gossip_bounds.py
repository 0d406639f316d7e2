"""Bounds that gossip must keep, and the order of merged events."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from flamingopond_core import shards as shards_module
from flamingopond_core.hlc import HybridLogicalClock
from flamingopond_core.listing import GONE_AFTER_S, ListingTracker
from flamingopond_core.membership import GossipState
from flamingopond_core.records import NodeRow, ShardRow
from flamingopond_core.roster import Member, Roster
from flamingopond_core.shards import Rendezvous
from flamingopond_core.tableview import TableView
from flamingopond_core.timeline import Event, EventFilter, Timeline, merge_events

MEMBERS = tuple(Member(n, f"{n}:1") for n in "abcdef")
SLACK = 1e-6


@given(
    hops=st.lists(st.tuples(*[st.floats(0, 2)] * 3), min_size=1, max_size=5),
    contact_age=st.floats(0, 500),
    newer=st.floats(0, 3),
)
@example(hops=[(0, 0, 0.049), (0, 0, 0)], contact_age=10, newer=0.094)
def test_bounds_hold_over_relays(
    hops: list[tuple[float, float, float]], contact_age: float, newer: float
) -> None:
    """Guards against old state that looks new, and contacts that look old.

    The state of the first member passes over the others; each hop waits, then
    takes a delay each way. The others know of a contact that is a little newer,
    so the first one's is rounded at each hop. All clocks are real time here.
    """
    roster = Roster(1, MEMBERS)
    states = [GossipState(member, -1000.0) for member in MEMBERS]
    for state in states:
        state.adopt(roster)
    contact = 1000.0 - contact_age
    states[0].store_contact(contact)
    newest = contact + min(newer, contact_age)
    for state in states[1:]:
        state.store_contact(newest)
    now = heartbeat = 0.0
    for number, (wait, there, back) in enumerate(hops):
        asked_at = 1000 + now + wait if number else 1000 - there
        formed = asked_at + there
        if number == 0:
            heartbeat = formed
        source, target = states[number], states[number + 1]
        arrived = formed + back
        ages, age = source.encode(formed), source.contact_age_ms(formed)
        target.merge(1, ages, age, asked_at, arrived)
        now = arrived - 1000
        assert target.contact <= newest + SLACK
        heard = target.heard(asked_at).get(MEMBERS[0])
        if heard is None:
            return
        assert heard.heartbeat <= heartbeat + SLACK
        assert heard.contact >= contact - SLACK
        assert heard.contact_at_least <= contact + SLACK
        assert heard.steady


@given(
    old=st.sets(st.sampled_from(MEMBERS), min_size=1),
    new=st.sets(st.sampled_from(MEMBERS), min_size=1),
    left=st.sets(st.sampled_from(MEMBERS)),
)
def test_majorities_of_successive_rosters_meet(
    old: set[Member], new: set[Member], left: set[Member]
) -> None:
    """Guards against a holder and a claimant with majorities that share nobody."""
    before = Roster(1, tuple(sorted(old)))
    after = before.change(new)
    settled = after.change(new)
    right = set(MEMBERS) - left
    for one, two in ((before, before), (before, after), (after, settled)):
        assert not (one.has_majority(left) and two.has_majority(right))
        assert not (one.has_majority(right) and two.has_majority(left))


def test_member_is_gone_only_after_a_lasting_absence() -> None:
    """Guards against dropping members because one list was late or empty."""
    tracker = ListingTracker()
    roster = Roster(1, MEMBERS[:2])
    tracker.update(MEMBERS[:1], (), roster, 0.0)
    tracker.update((), (), roster, GONE_AFTER_S + 1)
    assert tracker.listing.gone == set()
    tracker.update(MEMBERS[:1], (), roster, GONE_AFTER_S + 2)
    assert tracker.listing.gone == {MEMBERS[1]}


@given(st.lists(st.sets(st.sampled_from("abcdefgh"), min_size=1), min_size=1))
def test_rendezvous_by_differences_equals_a_fresh_one(steps: list[set[str]]) -> None:
    """Guards against nodes that disagree on owners because of their history."""
    updated, fresh = Rendezvous(16), Rendezvous(16)
    for names in steps:
        updated.update(names)
    fresh.update(steps[-1])
    assert [updated.owner(s) for s in range(16)] == [fresh.owner(s) for s in range(16)]


def test_older_node_row_does_not_end_a_newer_session() -> None:
    """Guards against claiming from a node that has joined again in the meantime.

    Node rows are read less often than shard rows, so both can be known at once.
    """
    view = TableView(4)
    ended = NodeRow(1, "a:1", "p", 5, lapsed=True)
    view.apply("node/a", ended.to_bytes(), 10)
    assert view.is_dead(ShardRow("a", 1, 1))
    assert not view.is_dead(ShardRow("a", 2, 2))
    assert not view.is_dead(ShardRow("unread", 1, 1))


def test_events_merge_in_causal_order() -> None:
    """Guards against an effect that is listed before its cause on a slow clock."""
    cause, effect = HybridLogicalClock(), HybridLogicalClock()
    first = Event(cause.stamp(100.0), "a", "shard.claim")
    effect.observe(first.stamp)
    second = Event(effect.stamp(50.0), "b", "shard.lost")
    merged = merge_events([[second], [first], [first]])
    assert merged == [first, second]


def test_timeline_keeps_the_newest_and_filters() -> None:
    """Guards against unbounded memory and filters that match name prefixes."""
    timeline = Timeline(capacity=3)
    for stamp, kind in enumerate(("a.x", "a.x", "ab", "a", "a.y"), start=1):
        timeline.append(Event(stamp, "n", kind))
    assert [e.stamp for e in timeline.select(EventFilter(kinds=("a",)))] == [4, 5]
    assert [e.stamp for e in timeline.select(EventFilter(limit=1))] == [5]
    with pytest.raises(ValueError, match="rise"):
        timeline.append(Event(5, "n", "a"))


def test_desired_owners_are_computed_in_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against holding up the loop, and against mixing two sets of names."""
    weighed = 0

    def weight(name: str, shard: int) -> int:
        nonlocal weighed
        weighed += 1
        return original(name, shard)

    original = shards_module._weight
    monkeypatch.setattr(shards_module, "_weight", weight)
    monkeypatch.setattr(shards_module, "STEP_WEIGHTS", 20)
    names = [f"n{n}" for n in range(8)]
    stepwise, whole = Rendezvous(16), Rendezvous(16)
    whole.update(names[1:])
    assert not stepwise.advance(names)
    done = False
    while not done:
        weighed = 0
        # The names change while the first computation is under way.
        done = stepwise.advance(names[1:])
        assert weighed < 20 + len(names)
    assert [stepwise.owner(s) for s in range(16)] == [whole.owner(s) for s in range(16)]
