"""Revisions are applied in order, and freshness depends on the current time."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from flamingopond_core.configuration import (
    Change,
    ChangeSet,
    Configuration,
    Contract,
    Key,
)
from flamingopond_core.enums import ObjectKind, Priority
from flamingopond_core.freshness import Freshness
from flamingopond_core.keys import digest_of
from flamingopond_core.revisions import (
    MemberRevisions,
    RevisionFeed,
    find_conflicts,
    poll_interval_s,
    snapshot_due,
)


def contract_set(revision: int) -> ChangeSet:
    """Return a change set that sets the rate to its revision number."""
    contract = Contract("w", Priority.STANDARD, revision, 10)
    change = Change(ObjectKind.CONTRACT, "w", contract)
    return ChangeSet(f"op{revision}", "t", revision - 1, revision, (change,))


HISTORY = tuple(contract_set(revision) for revision in range(1, 13))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(1, 12)),
        st.tuples(st.just("poll"), st.integers(1, 12)),
        st.tuples(st.just("lost poll"), st.integers(1, 12)),
        st.tuples(st.just("snapshot"), st.integers(0, 12)),
        st.tuples(st.just("restart"), st.integers(0, 12)),
    ),
    max_size=40,
)


def snapshot(revision: int) -> Configuration:
    configuration = Configuration()
    for change_set in HISTORY[:revision]:
        configuration.apply(change_set)
    return Configuration.from_snapshot(configuration.to_snapshot())


# An early push must be applied after a snapshot without waiting for another message.
@example([("push", 10), ("snapshot", 9), ("poll", 10)])
@given(STEPS)
def test_no_schedule_applies_out_of_order_or_goes_back(
    steps: list[tuple[str, int]],
) -> None:
    """Guards against revisions that are skipped, repeated or undone.

    Verified to fail on two broken variants: ``restore`` and ``advance_to`` both
    without their comparison of revisions, and ``add`` applying the lowest early
    change set whatever its number, without the check of the order in
    ``Configuration.apply``.
    """
    feed = RevisionFeed(Configuration())
    accepted = 0
    for step, revision in steps:
        before = feed.configuration.revision
        accepted = max(accepted, revision if step != "restart" else 0)
        applied: tuple[ChangeSet, ...] = ()
        match step:
            case "push":
                applied = feed.add(HISTORY[revision - 1])
            case "poll":
                for number in feed.missing(revision):
                    applied += feed.add(HISTORY[number - 1])
                assert feed.configuration.revision >= revision
            case "lost poll":
                for number in list(feed.missing(revision))[1:]:
                    applied += feed.add(HISTORY[number - 1])
            case "snapshot":
                feed.restore(snapshot(revision))
            case "restart":
                # A restarted node begins with a peer's snapshot, which may be old.
                feed = RevisionFeed(snapshot(min(revision, accepted)))
                before = 0
        after = feed.configuration.revision
        assert after >= before
        if applied:
            assert [c.revision for c in applied] == list(range(before + 1, after + 1))
        if after:
            assert feed.configuration.contracts["w"].rate == after
        since = feed.since(max(after - 2, 0))
        assert since is None or [c.revision for c in since] == list(
            range(max(after - 2, 0) + 1, after + 1)
        )


@pytest.mark.parametrize(
    ("events", "now", "fresh", "serving"),
    [
        ([], 0.0, False, False),
        ([("confirm", 0, 10.0)], 13.0, True, True),
        ([("confirm", 0, 10.0)], 13.1, False, True),
        ([("confirm", 0, 10.0)], 18.1, False, False),
        # A node that knows that it lags is not fresh, however recent its information.
        ([("confirm", 1, 10.0)], 10.0, False, False),
        ([("confirm", 1, 10.0), ("apply", 1, 0)], 11.0, True, True),
        ([("confirm", 1, 10.0), ("confirm", 2, 11.0), ("apply", 1, 0)], 13, True, True),
        # A late confirmation does not replace a newer one.
        ([("confirm", 0, 10.0), ("confirm", 0, 4.0)], 12.0, True, True),
        # During an outage only a node with the highest known revision is fresh.
        ([("outage", 0, 10.0)], 11.0, True, True),
        ([("hear", 3, 0), ("outage", 0, 10.0)], 10.0, False, False),
        ([("hear", 3, 0), ("outage", 0, 10.0), ("apply", 3, 0)], 11.0, True, True),
        # After a pause, freshness is evaluated at the time of resuming.
        ([("confirm", 0, 10.0), ("outage", 0, 11.0)], 60.0, False, False),
    ],
)
def test_freshness(
    events: list[tuple[str, int, float]], now: float, fresh: bool, serving: bool
) -> None:
    """Guards against serving with a stale configuration."""
    freshness = Freshness(grace_s=8.0)
    for event, revision, at in events:
        match event:
            case "confirm":
                freshness.confirm(revision, at)
            case "apply":
                freshness.apply(revision)
            case "hear":
                freshness.record_revision(revision)
            case "outage":
                freshness.observe_outage(at)
    assert (freshness.is_fresh(now), freshness.may_serve(now)) == (fresh, serving)


def test_a_key_withdrawn_during_isolation_is_not_served_after_it() -> None:
    """Guards against accepting revoked keys between reconnecting and catching up."""
    key = Key("k", "w", digest_of("secret"))
    granted = (*HISTORY[0].changes, Change(ObjectKind.KEY, "k", key))
    feed = RevisionFeed(Configuration())
    feed.add(ChangeSet("op1", "t", 0, 1, granted))
    freshness = Freshness(grace_s=8.0)
    freshness.apply(1)
    freshness.confirm(1, 0.0)
    assert not freshness.may_serve(20.0)
    freshness.confirm(2, 20.0)
    assert not freshness.may_serve(20.0)
    feed.add(ChangeSet("op2", "t", 1, 2, (Change(ObjectKind.KEY, "k"),)))
    freshness.apply(2)
    assert freshness.may_serve(20.0)
    assert feed.configuration.authenticate("secret") is None


def test_small_decisions() -> None:
    """Guards against off-by-one errors in majorities, snapshots and polls."""
    assert [snapshot_due(*p) for p in [(0, 255), (255, 256), (256, 300)]] == [
        None,
        256,
        None,
    ]
    assert (poll_interval_s(9), poll_interval_s(400)) == (1.0, 2.0)
    other = ChangeSet("x", "t", 0, 1, (Change(ObjectKind.MODEL, "w"),))
    assert find_conflicts(HISTORY[0].changes, [other, HISTORY[4]]) == (HISTORY[4],)
    member_revisions = MemberRevisions()
    for member, revision in [("a", 5), ("b", 4), ("b", 5), ("b", 3), ("z", 9)]:
        member_revisions.record(member, revision)
    assert not member_revisions.has_majority(5, ["a", "b", "c", "d"])
    assert member_revisions.has_majority(5, ["a", "b", "c"])
    assert member_revisions.by_revision(["c", "b", "z"]) == ["z", "b", "c"]
