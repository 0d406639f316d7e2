"""Queue of requests that wait for a model or service on one node."""

from __future__ import annotations

from collections import Counter

import attrs
from sortedcontainers import SortedList

from flamingopond_core.enums import Priority

PREMIUM_STARTS_PER_STANDARD = 8
"""Consecutive premium starts after which a waiting standard request starts."""

MAX_USE_PENALTY_TOKENS = 8192.0
"""Largest delay for recent use, in tokens divided by weight.

It bounds the wait of a workspace with high recent use: each of the others is served
ahead of it only until it has started this many tokens.
"""

START_RATE_HALF_LIFE_S = 2.0


@attrs.define(eq=False)
class Ticket:
    """A request in the queue; ``start_tag`` is its virtual start time."""

    workspace: str
    priority: Priority
    tokens: int
    start_tag: float
    sequence_number: int
    offered_at: float
    waiting: bool = True


@attrs.frozen
class EarlyRefusal:
    """A request was refused because its expected wait in seconds is too long."""

    expected_wait_s: float


@attrs.define
class _ClassQueue:
    tickets: SortedList[Ticket] = attrs.field(
        factory=lambda: SortedList(key=lambda t: (t.start_tag, t.sequence_number))
    )
    waiting_by_workspace: Counter[str] = attrs.field(factory=Counter)
    finish_tags: dict[str, float] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    queued_tokens: int = 0


class AdmissionQueue:
    """Start-time fair queueing between workspaces within two priority classes.

    A request costs its tokens divided by its workspace's weight. Premium requests go
    first, except that one waiting standard request starts after eight premium starts.
    Scheduling is work-conserving.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._classes = {priority: _ClassQueue() for priority in Priority}
        self._recent_use_tokens: dict[str, float] = {}
        self._premium_starts = 0
        self._ticket_count = 0
        self._started_tokens = 0.0
        self._busy_s = 0.0
        self._decayed_at = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(c.tickets) for c in self._classes.values())

    def set_recent_use(self, workspace: str, recent_use: float) -> None:
        """Set the workspace's recent use over the whole fleet, in tokens."""
        self._recent_use_tokens[workspace] = recent_use

    def enqueue(
        self,
        workspace: str,
        priority: Priority,
        tokens: int,
        now: float,
        weight: float = 1.0,
        max_wait_s: float | None = None,
    ) -> Ticket | EarlyRefusal:
        """Queue a request, or refuse it if its expected wait exceeds ``max_wait_s``."""
        self._update_start_rate(now)
        if max_wait_s is not None:
            expected_wait_s = self.expected_wait(priority, now)
            if expected_wait_s > max_wait_s:
                return EarlyRefusal(expected_wait_s)
        class_queue = self._classes[priority]
        finish_tag = class_queue.finish_tags.get(workspace, 0.0)
        start_tag = max(
            finish_tag,
            class_queue.virtual_time
            + self._use_penalty(class_queue, workspace, weight),
        )
        class_queue.finish_tags[workspace] = start_tag + tokens / weight
        self._ticket_count += 1
        ticket = Ticket(workspace, priority, tokens, start_tag, self._ticket_count, now)
        class_queue.tickets.add(ticket)
        class_queue.waiting_by_workspace[workspace] += 1
        class_queue.queued_tokens += tokens
        return ticket

    def next(self, now: float) -> Ticket | None:
        """Dequeue and return the request that starts now, or ``None`` if none waits."""
        self._update_start_rate(now)
        premium = self._classes[Priority.PREMIUM]
        standard = self._classes[Priority.STANDARD]
        standard_due = (
            standard.tickets and self._premium_starts >= PREMIUM_STARTS_PER_STANDARD
        )
        if premium.tickets and not standard_due:
            self._premium_starts += 1
            return self._start_next(premium)
        self._premium_starts = 0
        return self._start_next(standard) if standard.tickets else None

    def remove(self, ticket: Ticket, now: float) -> None:
        """Remove a request whose caller has disconnected."""
        if not ticket.waiting:
            return
        self._update_start_rate(now)
        ticket.waiting = False
        class_queue = self._classes[ticket.priority]
        class_queue.tickets.remove(ticket)
        self._remove_from_totals(class_queue, ticket)

    def expected_wait(self, priority: Priority, now: float) -> float:
        """Return the expected wait of a new request in seconds.

        It is the queued tokens ahead of it divided by the recent rate of starts while
        requests were waiting, or 0 while that rate is unknown.
        """
        self._update_start_rate(now)
        premium_tokens = self._classes[Priority.PREMIUM].queued_tokens
        standard_tokens = self._classes[Priority.STANDARD].queued_tokens
        tokens_ahead = premium_tokens
        if priority is Priority.STANDARD:
            tokens_ahead += standard_tokens
        elif standard_tokens:
            tokens_ahead += min(
                standard_tokens, premium_tokens // PREMIUM_STARTS_PER_STANDARD
            )
        if not tokens_ahead or self._busy_s <= 0.0:
            return 0.0
        # Use at least one token, as a new queue has not started anything yet.
        return tokens_ahead * self._busy_s / max(self._started_tokens, 1.0)

    def _use_penalty(
        self, class_queue: _ClassQueue, workspace: str, weight: float
    ) -> float:
        rivals_use = [
            self._recent_use_tokens.get(w, 0.0)
            for w in class_queue.waiting_by_workspace
            if w != workspace
        ]
        if not rivals_use:
            return 0.0
        excess = self._recent_use_tokens.get(workspace, 0.0) - min(rivals_use)
        return min(MAX_USE_PENALTY_TOKENS, max(0.0, excess) / weight)

    def _start_next(self, class_queue: _ClassQueue) -> Ticket:
        ticket: Ticket = class_queue.tickets.pop(0)
        ticket.waiting = False
        class_queue.virtual_time = max(class_queue.virtual_time, ticket.start_tag)
        self._started_tokens += ticket.tokens
        self._remove_from_totals(class_queue, ticket)
        return ticket

    def _remove_from_totals(self, class_queue: _ClassQueue, ticket: Ticket) -> None:
        class_queue.queued_tokens -= ticket.tokens
        class_queue.waiting_by_workspace[ticket.workspace] -= 1
        if not class_queue.waiting_by_workspace[ticket.workspace]:
            del class_queue.waiting_by_workspace[ticket.workspace]
        if not class_queue.tickets:
            # Tags from before the queue was empty must not affect later requests.
            class_queue.finish_tags.clear()
            class_queue.virtual_time = 0.0

    def _update_start_rate(self, now: float) -> None:
        elapsed_s = now - self._decayed_at
        if elapsed_s <= 0.0:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / START_RATE_HALF_LIFE_S)
        self._started_tokens *= factor
        self._busy_s *= factor
        if len(self):
            self._busy_s += elapsed_s
