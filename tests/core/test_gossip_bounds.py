"""Bounds of gossip state, rosters, desired owners and merged events."""

from __future__ import annotations

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from flamingopond_core import shards as shards_module
from flamingopond_core.hlc import HybridLogicalClock
from flamingopond_core.listing import GONE_AFTER_S, MemberListingTracker
from flamingopond_core.membership import GossipState
from flamingopond_core.records import NodeRow, ShardRow
from flamingopond_core.roster import Member, Roster
from flamingopond_core.shards import RendezvousHash
from flamingopond_core.tableview import TableView
from flamingopond_core.timeline import Event, EventFilter, Timeline, merge_events

MEMBERS = tuple(Member(n, f"{n}:1") for n in "abcdef")
TOLERANCE_S = 1e-6


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

    The first member's state is relayed from member to member; each hop waits and
    then has a delay each way. The other members know of a slightly newer contact,
    so the first member's contact is rounded at each hop. All clocks are equal.
    """
    roster = Roster(1, MEMBERS)
    states = [GossipState(member, -1000.0) for member in MEMBERS]
    for state in states:
        state.adopt(roster)
    contact = 1000.0 - contact_age
    states[0].record_store_contact(contact)
    newest = contact + min(newer, contact_age)
    for state in states[1:]:
        state.record_store_contact(newest)
    now = heartbeat = 0.0
    for number, (wait, request_delay, reply_delay) in enumerate(hops):
        requested_at = 1000 + now + wait if number else 1000 - request_delay
        encoded_at = requested_at + request_delay
        if number == 0:
            heartbeat = encoded_at
        source, target = states[number], states[number + 1]
        arrived = encoded_at + reply_delay
        ages, age = source.encode(encoded_at), source.contact_age_ms(encoded_at)
        target.merge(1, ages, age, requested_at, arrived)
        now = arrived - 1000
        assert target.newest_contact <= newest + TOLERANCE_S
        heard = target.heard(requested_at).get(MEMBERS[0])
        if heard is None:
            return
        assert heard.heartbeat <= heartbeat + TOLERANCE_S
        assert heard.contact >= contact - TOLERANCE_S
        assert heard.contact_lower_bound <= contact + TOLERANCE_S
        assert heard.predates_contact


@given(
    old=st.sets(st.sampled_from(MEMBERS), min_size=1),
    new=st.sets(st.sampled_from(MEMBERS), min_size=1),
    group=st.sets(st.sampled_from(MEMBERS)),
)
def test_majorities_of_successive_rosters_meet(
    old: set[Member], new: set[Member], group: set[Member]
) -> None:
    """Guards against a holder and a claimant with disjoint majorities."""
    before = Roster(1, tuple(sorted(old)))
    after = before.next_version(new)
    settled = after.next_version(new)
    rest = set(MEMBERS) - group
    for one, two in ((before, before), (before, after), (after, settled)):
        assert not (one.has_majority(group) and two.has_majority(rest))
        assert not (one.has_majority(rest) and two.has_majority(group))


def test_member_is_gone_only_after_a_lasting_absence() -> None:
    """Guards against removing members because one list was stale or empty."""
    tracker = MemberListingTracker()
    roster = Roster(1, MEMBERS[:2])
    tracker.update(MEMBERS[:1], (), roster, 0.0)
    tracker.update((), (), roster, GONE_AFTER_S + 1)
    assert tracker.member_listing.gone == set()
    tracker.update(MEMBERS[:1], (), roster, GONE_AFTER_S + 2)
    assert tracker.member_listing.gone == {MEMBERS[1]}


@given(st.lists(st.sets(st.sampled_from("abcdefgh"), min_size=1), min_size=1))
def test_rendezvous_by_differences_equals_a_fresh_one(steps: list[set[str]]) -> None:
    """Guards against desired owners that depend on a node's earlier sets of names."""
    updated, fresh = RendezvousHash(16), RendezvousHash(16)
    for names in steps:
        updated.update(names)
    fresh.update(steps[-1])
    assert [updated.owner(s) for s in range(16)] == [fresh.owner(s) for s in range(16)]


def test_older_node_row_does_not_end_a_newer_session() -> None:
    """Guards against claiming shards of a node that has joined again.

    Node rows are read less often than shard rows, so the old node row can be known
    together with the new shard row.
    """
    view = TableView(4)
    ended = NodeRow(1, "a:1", "p", 5, ended=True)
    view.apply("node/a", ended.to_bytes(), 10)
    assert view.session_ended(ShardRow("a", 1, 1))
    assert not view.session_ended(ShardRow("a", 2, 2))
    assert not view.session_ended(ShardRow("unread", 1, 1))


def test_events_merge_in_causal_order() -> None:
    """Guards against listing an effect on a slow clock before its cause."""
    cause, effect = HybridLogicalClock(), HybridLogicalClock()
    first = Event(cause.stamp(100.0), "a", "shard.claim")
    effect.observe(first.stamp)
    second = Event(effect.stamp(50.0), "b", "shard.lost")
    merged = merge_events([[second], [first], [first]])
    assert merged == [first, second]


def test_timeline_keeps_the_newest_and_filters() -> None:
    """Guards against unbounded memory, and filters that match partial kinds."""
    timeline = Timeline(capacity=3)
    for stamp, kind in enumerate(("a.x", "a.x", "ab", "a", "a.y"), start=1):
        timeline.append(Event(stamp, "n", kind))
    assert [e.stamp for e in timeline.select(EventFilter(kinds=("a",)))] == [4, 5]
    assert [e.stamp for e in timeline.select(EventFilter(limit=1))] == [5]
    with pytest.raises(ValueError, match="rise"):
        timeline.append(Event(5, "n", "a"))


def test_desired_owners_are_computed_in_steps(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against blocking the event loop, and mixing two sets of names."""
    weights_computed = 0

    def weight(name: str, shard: int) -> int:
        nonlocal weights_computed
        weights_computed += 1
        return original(name, shard)

    original = shards_module._weight
    monkeypatch.setattr(shards_module, "_weight", weight)
    monkeypatch.setattr(shards_module, "MAX_WEIGHTS_PER_STEP", 20)
    names = [f"n{n}" for n in range(8)]
    incremental, whole = RendezvousHash(16), RendezvousHash(16)
    whole.update(names[1:])
    assert not incremental.advance(names)
    done = False
    while not done:
        weights_computed = 0
        # The names change while the first computation is in progress.
        done = incremental.advance(names[1:])
        assert weights_computed < 20 + len(names)
    assert [incremental.owner(s) for s in range(16)] == [
        whole.owner(s) for s in range(16)
    ]
