"""Queues, retry budget and suspicion."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingopond_core import admission
from flamingopond_core.admission import SEED_LIMIT, AdmissionQueue, EarlyRefusal, Ticket
from flamingopond_core.budget import RetryBudget
from flamingopond_core.structures import Priority
from flamingopond_core.suspicion import SuspicionTable, Verdict

PREMIUM, STANDARD = Priority.PREMIUM, Priority.STANDARD


def offer(queue: AdmissionQueue, workspace: str, tokens: int, now: float) -> Ticket:
    ticket = queue.offer(workspace, STANDARD, tokens, now)
    assert isinstance(ticket, Ticket)
    return ticket


class _FirstComeFirstServed(AdmissionQueue):
    def offer(self, workspace, priority, tokens, now, weight=1.0, max_wait=None):
        ticket = super().offer(workspace, priority, tokens, now, weight, max_wait)
        group = self._classes[priority]
        group.tickets.remove(ticket)
        ticket.start = 0.0
        group.tickets.add(ticket)
        return ticket


def worst_share(queue: AdmissionQueue, sizes: list[int]) -> float:
    """Return the worst tokens served over the mean, one workspace sending 5 x."""
    rng = random.Random(1)
    served = dict.fromkeys("abcde", 0)
    for step in range(3000):
        now = step * 0.01
        for workspace in ["a"] * 5 + ["b", "c", "d", "e"]:
            waiting = sum(c.waiting[workspace] for c in queue._classes.values())
            if waiting < (100 if workspace == "a" else 20):
                offer(queue, workspace, rng.choice(sizes), now)
        ticket = queue.next(now)
        assert ticket is not None
        served[ticket.workspace] += ticket.tokens
    return min(served.values()) / (sum(served.values()) / 5)


@settings(max_examples=10, deadline=None)
@given(st.lists(st.integers(1, 1000), min_size=1, max_size=4))
def test_a_surge_leaves_the_others_their_share(sizes) -> None:
    """Guards against a workspace that takes more by sending more.

    The check fails for ``_FirstComeFirstServed``.
    """
    assert worst_share(AdmissionQueue(), sizes) > 0.9
    assert worst_share(_FirstComeFirstServed(), sizes) < 0.9


_LOAD = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(50, 500)), min_size=1, max_size=60
)


def _tokens_ahead(others) -> int:
    """Return the standard tokens that start before a workspace of much use."""
    queue = AdmissionQueue()
    queue.seed("z", 1e6)
    offer(queue, "a", 100, 0.0)
    ticket = offer(queue, "z", 100, 0.0)
    ahead = 0
    while ticket.waiting and ahead <= _MOST_AHEAD:
        for priority in Priority:
            workspace, tokens = others[queue._number % len(others)]
            queue.offer(workspace, priority, tokens, 0.0)
        started = queue.next(0.0)
        assert started is not None
        if started.priority is STANDARD and started is not ticket:
            ahead += started.tokens
    return ahead


# Each of the three others overtakes by the seed limit and one request.
_MOST_AHEAD = 3 * (SEED_LIMIT + 500)


@settings(max_examples=50, deadline=None)
@given(_LOAD)
def test_no_workspace_starves(others) -> None:
    """Guards against recent use or priority that holds a request back for good.

    The check fails without a limit on the set-back.
    """
    assert _tokens_ahead(others) <= _MOST_AHEAD


def test_check_finds_starvation(monkeypatch) -> None:
    """Guards against a check that cannot fail."""
    monkeypatch.setattr(admission, "SEED_LIMIT", 1e9)
    assert _tokens_ahead([("a", 100)]) > _MOST_AHEAD


def test_standard_starts_after_eight_premium() -> None:
    """Guards against starvation of the standard class."""
    queue = AdmissionQueue()
    for _ in range(20):
        queue.offer("p", PREMIUM, 10, 0.0)
        queue.offer("s", STANDARD, 10, 0.0)
    starts = [queue.next(0.0) for _ in range(18)]
    assert "".join(t.workspace for t in starts if t) == ("p" * 8 + "s") * 2


def test_recent_use_elsewhere_puts_a_workspace_back() -> None:
    """Guards against a workspace that is served first on every node in turn."""
    queue = AdmissionQueue()
    queue.seed("heavy", 5000.0)
    offer(queue, "light", 10, 0.0)
    offer(queue, "heavy", 10, 0.0)
    offer(queue, "light", 10, 0.0)
    assert [t.workspace for t in (queue.next(0.0) for _ in range(3)) if t] == [
        "light",
        "light",
        "heavy",
    ]


def test_early_refusal_and_abandonment() -> None:
    """Guards against queueing beyond the target and against dead places."""
    queue = AdmissionQueue()
    tickets = [offer(queue, "a", 100, 0.0) for _ in range(10)]
    for second in range(1, 4):
        queue.next(second * 1.0)
    refused = queue.offer("b", STANDARD, 100, 3.0, max_wait=0.44)
    assert isinstance(refused, EarlyRefusal)
    assert refused.expected_wait > 3.0
    for ticket in tickets:
        queue.abandon(ticket, 3.0)
    assert len(queue) == 0
    assert isinstance(queue.offer("b", STANDARD, 100, 3.0, max_wait=0.44), Ticket)


@pytest.mark.parametrize(("requests", "allowed"), [(0, 7), (100, 17), (1000, 107)])
def test_retry_budget(requests, allowed) -> None:
    """Guards against retries that multiply the load on a failing group."""
    budget = RetryBudget()
    for _ in range(requests):
        budget.record_request(1.0)
    assert sum(budget.allow_retry(1.0) for _ in range(500)) == allowed


def test_second_crash_blocks_and_completion_clears() -> None:
    """Guards against a request that takes down target after target."""
    here, there = SuspicionTable("here"), SuspicionTable("there")
    for mark in ("bad", "innocent"):
        here.record_crash(mark, f"{mark}-1", 0.0)
    there.merge(here.publish(0.0), 0.0)
    assert there.judge("bad", 1.0) is Verdict.WAIT
    assert here.begin_quarantine("bad", "bad-2", 1.0)
    assert not here.begin_quarantine("bad", "bad-3", 1.0)
    assert here.begin_quarantine("innocent", "innocent-2", 1.0)
    here.record_completion("innocent", "other-run")
    assert here.judge("innocent", 1.0) is Verdict.WAIT
    here.record_completion("innocent", "innocent-2")
    here.record_crash("bad", "bad-2", 2.0)
    for _ in range(2):
        there.merge(here.publish(2.0), 2.0)
    for table in (here, there):
        assert table.judge("innocent", 2.0) is Verdict.FREE
        assert table.judge("bad", 601.0) is Verdict.BLOCKED
        assert table.judge("bad", 602.0) is Verdict.FREE


def test_another_node_takes_over_a_suspect_of_a_lost_node() -> None:
    """Guards against a suspect that nobody may run after its node is gone."""
    here, there = SuspicionTable("here"), SuspicionTable("there")
    here.record_crash("mark", "1", 0.0)
    there.merge(here.publish(0.0), 0.0)
    assert there.judge("mark", 30.0) is Verdict.QUARANTINE
