"""Queue of requests that wait for a model or service on one node."""

from __future__ import annotations

from collections import Counter

import attrs
from sortedcontainers import SortedList

from flamingopond_core.structures import Priority

PREMIUM_RUN = 8
"""Premium starts after which one waiting standard request starts."""

SEED_LIMIT = 8192.0
"""Most tokens over weight by which recent use sets a workspace back.

It bounds the wait of a workspace that used much: others overtake it only until
they have started this many tokens.
"""

DRAIN_HALF_LIFE = 2.0


@attrs.define(eq=False)
class Ticket:
    """A request's place in the queue."""

    workspace: str
    priority: Priority
    tokens: int
    start: float
    number: int
    offered_at: float
    waiting: bool = True


@attrs.frozen
class EarlyRefusal:
    """The expected wait in seconds exceeds what the request can bear."""

    expected_wait: float


@attrs.define
class _Class:
    tickets: SortedList[Ticket] = attrs.field(
        factory=lambda: SortedList(key=lambda t: (t.start, t.number))
    )
    waiting: Counter[str] = attrs.field(factory=Counter)
    finish: dict[str, float] = attrs.field(factory=dict)
    virtual: float = 0.0
    tokens: int = 0


class AdmissionQueue:
    """Start-time fair queueing by tokens over weight within two classes.

    Premium goes before standard, except that one waiting standard request starts
    after eight premium starts. Scheduling is work-conserving.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._classes = {priority: _Class() for priority in Priority}
        self._used: dict[str, float] = {}
        self._premium_run = 0
        self._number = 0
        self._drained = 0.0
        self._busy = 0.0
        self._at = 0.0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(c.tickets) for c in self._classes.values())

    def seed(self, workspace: str, recent_use: float) -> None:
        """Note the workspace's recent use over the whole fleet, in tokens."""
        self._used[workspace] = recent_use

    def offer(
        self,
        workspace: str,
        priority: Priority,
        tokens: int,
        now: float,
        weight: float = 1.0,
        max_wait: float | None = None,
    ) -> Ticket | EarlyRefusal:
        """Queue a request, or refuse it early if it would wait over ``max_wait``."""
        self._advance(now)
        if max_wait is not None:
            expected = self.expected_wait(priority, now)
            if expected > max_wait:
                return EarlyRefusal(expected)
        group = self._classes[priority]
        finish = group.finish.get(workspace, 0.0)
        start = max(finish, group.virtual + self._set_back(group, workspace, weight))
        group.finish[workspace] = start + tokens / weight
        self._number += 1
        ticket = Ticket(workspace, priority, tokens, start, self._number, now)
        group.tickets.add(ticket)
        group.waiting[workspace] += 1
        group.tokens += tokens
        return ticket

    def next(self, now: float) -> Ticket | None:
        """Take the request that starts now, or return ``None`` if none waits."""
        self._advance(now)
        premium = self._classes[Priority.PREMIUM]
        standard = self._classes[Priority.STANDARD]
        turn = standard.tickets and self._premium_run >= PREMIUM_RUN
        if premium.tickets and not turn:
            self._premium_run += 1
            return self._start(premium)
        self._premium_run = 0
        return self._start(standard) if standard.tickets else None

    def abandon(self, ticket: Ticket, now: float) -> None:
        """Free the place of a request whose caller has gone."""
        if not ticket.waiting:
            return
        self._advance(now)
        ticket.waiting = False
        group = self._classes[ticket.priority]
        group.tickets.remove(ticket)
        self._leave(group, ticket)

    def expected_wait(self, priority: Priority, now: float) -> float:
        """Return the wait in seconds that a new request would see.

        It is the work ahead over the rate at which work started lately while
        requests were waiting; 0 while that rate is unknown.
        """
        self._advance(now)
        premium = self._classes[Priority.PREMIUM].tokens
        standard = self._classes[Priority.STANDARD].tokens
        ahead = premium
        if priority is Priority.STANDARD:
            ahead += standard
        elif standard:
            ahead += min(standard, premium // PREMIUM_RUN)
        if not ahead or self._busy <= 0.0:
            return 0.0
        # One token stands for a queue that has not started anything yet.
        return ahead * self._busy / max(self._drained, 1.0)

    def _set_back(self, group: _Class, workspace: str, weight: float) -> float:
        rivals = [self._used.get(w, 0.0) for w in group.waiting if w != workspace]
        if not rivals:
            return 0.0
        more = self._used.get(workspace, 0.0) - min(rivals)
        return min(SEED_LIMIT, max(0.0, more) / weight)

    def _start(self, group: _Class) -> Ticket:
        ticket: Ticket = group.tickets.pop(0)
        ticket.waiting = False
        group.virtual = max(group.virtual, ticket.start)
        self._drained += ticket.tokens
        self._leave(group, ticket)
        return ticket

    def _leave(self, group: _Class, ticket: Ticket) -> None:
        group.tokens -= ticket.tokens
        group.waiting[ticket.workspace] -= 1
        if not group.waiting[ticket.workspace]:
            del group.waiting[ticket.workspace]
        if not group.tickets:
            # A workspace has no claim from a time when nobody waited.
            group.finish.clear()
            group.virtual = 0.0

    def _advance(self, now: float) -> None:
        passed = now - self._at
        if passed <= 0.0:
            return
        self._at = now
        factor = 0.5 ** (passed / DRAIN_HALF_LIFE)
        self._drained *= factor
        self._busy *= factor
        if len(self):
            self._busy += passed
