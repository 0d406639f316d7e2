"""Tests of admission queues, retry budgets and the suspicion table."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from flamingopond_core import admission
from flamingopond_core.admission import (
    MAX_USE_PENALTY_TOKENS,
    AdmissionQueue,
    EarlyRefusal,
    Ticket,
)
from flamingopond_core.enums import Priority
from flamingopond_core.retry_budget import RetryBudget
from flamingopond_core.suspicion import SuspicionTable, Verdict

PREMIUM, STANDARD = Priority.PREMIUM, Priority.STANDARD


def offer(queue: AdmissionQueue, workspace: str, tokens: int, now: float) -> Ticket:
    ticket = queue.enqueue(workspace, STANDARD, tokens, now)
    assert isinstance(ticket, Ticket)
    return ticket


class _FirstComeFirstServed(AdmissionQueue):
    def enqueue(self, workspace, priority, tokens, now, weight=1.0, max_wait_s=None):
        ticket = super().enqueue(workspace, priority, tokens, now, weight, max_wait_s)
        class_queue = self._classes[priority]
        class_queue.tickets.remove(ticket)
        ticket.start_tag = 0.0
        class_queue.tickets.add(ticket)
        return ticket


def worst_share(queue: AdmissionQueue, sizes: list[int]) -> float:
    """Return the lowest share of served tokens, relative to the mean of all workspaces.

    Workspace "a" sends 5 times as many requests as each of the others.
    """
    rng = random.Random(1)
    served = dict.fromkeys("abcde", 0)
    for step in range(3000):
        now = step * 0.01
        for workspace in ["a"] * 5 + ["b", "c", "d", "e"]:
            waiting = sum(
                c.waiting_by_workspace[workspace] for c in queue._classes.values()
            )
            if waiting < (100 if workspace == "a" else 20):
                offer(queue, workspace, rng.choice(sizes), now)
        ticket = queue.next(now)
        assert ticket is not None
        served[ticket.workspace] += ticket.tokens
    return min(served.values()) / (sum(served.values()) / 5)


@settings(max_examples=10, deadline=None)
@given(st.lists(st.integers(1, 1000), min_size=1, max_size=4))
def test_a_surge_leaves_the_others_their_share(sizes) -> None:
    """Guards against a workspace that gets more than its share by sending more.

    The check fails for ``_FirstComeFirstServed``.
    """
    assert worst_share(AdmissionQueue(), sizes) > 0.9
    assert worst_share(_FirstComeFirstServed(), sizes) < 0.9


_REQUESTS = st.lists(
    st.tuples(st.sampled_from("abc"), st.integers(50, 500)), min_size=1, max_size=60
)


def _tokens_ahead(others) -> int:
    """Return the standard tokens started before a workspace with high recent use."""
    queue = AdmissionQueue()
    queue.set_recent_use("z", 1e6)
    offer(queue, "a", 100, 0.0)
    ticket = offer(queue, "z", 100, 0.0)
    ahead = 0
    while ticket.waiting and ahead <= _MAX_TOKENS_AHEAD:
        for priority in Priority:
            workspace, tokens = others[queue._ticket_count % len(others)]
            queue.enqueue(workspace, priority, tokens, 0.0)
        started = queue.next(0.0)
        assert started is not None
        if started.priority is STANDARD and started is not ticket:
            ahead += started.tokens
    return ahead


# Each of the three others is served ahead by at most the largest penalty plus one
# request.
_MAX_TOKENS_AHEAD = 3 * (MAX_USE_PENALTY_TOKENS + 500)


@settings(max_examples=50, deadline=None)
@given(_REQUESTS)
def test_no_workspace_starves(others) -> None:
    """Guards against requests delayed without bound by recent use or priority.

    The check fails without a limit on the penalty for recent use.
    """
    assert _tokens_ahead(others) <= _MAX_TOKENS_AHEAD


def test_check_finds_starvation(monkeypatch) -> None:
    """Guards against a check that cannot fail."""
    monkeypatch.setattr(admission, "MAX_USE_PENALTY_TOKENS", 1e9)
    assert _tokens_ahead([("a", 100)]) > _MAX_TOKENS_AHEAD


def test_standard_starts_after_eight_premium() -> None:
    """Guards against starvation of the standard class."""
    queue = AdmissionQueue()
    for _ in range(20):
        queue.enqueue("p", PREMIUM, 10, 0.0)
        queue.enqueue("s", STANDARD, 10, 0.0)
    starts = [queue.next(0.0) for _ in range(18)]
    assert "".join(t.workspace for t in starts if t) == ("p" * 8 + "s") * 2


def test_recent_use_elsewhere_puts_a_workspace_back() -> None:
    """Guards against a workspace that is served first on each node in turn."""
    queue = AdmissionQueue()
    queue.set_recent_use("heavy", 5000.0)
    offer(queue, "light", 10, 0.0)
    offer(queue, "heavy", 10, 0.0)
    offer(queue, "light", 10, 0.0)
    assert [t.workspace for t in (queue.next(0.0) for _ in range(3)) if t] == [
        "light",
        "light",
        "heavy",
    ]


def test_early_refusal_and_abandonment() -> None:
    """Guards against waits beyond the limit and abandoned requests that stay queued."""
    queue = AdmissionQueue()
    tickets = [offer(queue, "a", 100, 0.0) for _ in range(10)]
    for second in range(1, 4):
        queue.next(second * 1.0)
    refused = queue.enqueue("b", STANDARD, 100, 3.0, max_wait_s=0.44)
    assert isinstance(refused, EarlyRefusal)
    assert refused.expected_wait_s > 3.0
    for ticket in tickets:
        queue.remove(ticket, 3.0)
    assert len(queue) == 0
    assert isinstance(queue.enqueue("b", STANDARD, 100, 3.0, max_wait_s=0.44), Ticket)


@pytest.mark.parametrize(("requests", "allowed"), [(0, 7), (100, 17), (1000, 107)])
def test_retry_budget(requests, allowed) -> None:
    """Guards against retries that multiply the load on a failing target group."""
    budget = RetryBudget()
    for _ in range(requests):
        budget.record_request(1.0)
    assert sum(budget.allow_retry(1.0) for _ in range(500)) == allowed


def test_second_crash_blocks_and_completion_clears() -> None:
    """Guards against a request that crashes one target after another."""
    here, there = SuspicionTable("here"), SuspicionTable("there")
    for fingerprint in ("bad", "innocent"):
        here.record_crash(fingerprint, f"{fingerprint}-1", 0.0)
    there.merge(here.publish(0.0), 0.0)
    assert there.verdict("bad", 1.0) is Verdict.WAIT
    assert here.begin_quarantine("bad", "bad-2", 1.0)
    assert not here.begin_quarantine("bad", "bad-3", 1.0)
    assert here.begin_quarantine("innocent", "innocent-2", 1.0)
    here.record_completion("innocent", "other-run")
    assert here.verdict("innocent", 1.0) is Verdict.WAIT
    here.record_completion("innocent", "innocent-2")
    here.record_crash("bad", "bad-2", 2.0)
    for _ in range(2):
        there.merge(here.publish(2.0), 2.0)
    for table in (here, there):
        assert table.verdict("innocent", 2.0) is Verdict.FREE
        assert table.verdict("bad", 601.0) is Verdict.BLOCKED
        assert table.verdict("bad", 602.0) is Verdict.FREE


def test_another_node_takes_over_a_suspect_of_a_lost_node() -> None:
    """Guards against a suspect that no node may run after its holder has gone."""
    here, there = SuspicionTable("here"), SuspicionTable("there")
    here.record_crash("mark", "1", 0.0)
    there.merge(here.publish(0.0), 0.0)
    assert there.verdict("mark", 30.0) is Verdict.QUARANTINE
