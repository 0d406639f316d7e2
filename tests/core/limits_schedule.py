"""Runs one workspace's bucket and nodes through a schedule of random events."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import attrs
from hypothesis import strategies as st

from flamingopond_core.allowance import Allowance, Shortfall
from flamingopond_core.bucket import Bucket
from flamingopond_core.grants import GrantReply, GrantRequest, Settlement

RATE, BURST, NODES = 50.0, 400, ("a", "b", "c")

_node = st.sampled_from(NODES)
_delay = st.sampled_from([0.0, 0.01, 0.3, 2.0, 4.9, 30.0])
# Most messages arrive once and soon; else few schedules would spend anything.
_copies = st.one_of(*[st.just([0.01])] * 3, st.lists(_delay, min_size=0, max_size=2))
_tokens = st.sampled_from([1, 40, 200, 390, BURST])

_share = st.sampled_from([0.0, 0.3, 1.0, 1.0, 1.2])
_request = st.tuples(
    st.just("request"), _node, _tokens, _share, _delay, _copies, _copies
)
_settle = st.tuples(st.just("settle"), _node, _copies, st.booleans())
STEPS = st.one_of(
    _request,
    _request,
    _request,
    _settle,
    _settle,
    st.tuples(st.just("wait"), st.sampled_from([0.05, 0.5, 5.1, 8.0])),
    st.tuples(st.just("kill"), _node),
    st.tuples(st.just("move"), st.booleans(), st.sets(_node)),
    st.tuples(st.just("outage"), st.sampled_from([1.0, 6.0])),
)
SCHEDULES = st.lists(STEPS, min_size=15, max_size=60)


@attrs.define(slots=False)
class Run:
    """State of one run; ``counted`` holds (time, tokens) by place of counting."""

    bucket_class: type[Bucket] = Bucket
    allowance_class: type[Allowance] = Allowance
    now: float = 0.0
    epoch: int = 1
    outage_until: float = 0.0
    authority_until: float = 1e9
    slack: int = 0
    incarnation: int = 0

    def __attrs_post_init__(self) -> None:
        """Build the owner's bucket and the nodes."""
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.bucket = self.bucket_class("w", RATE, BURST, 1, 0.0)
        self.former: list[Bucket] = []
        self.nodes = {n: self.allowance_class(n) for n in NODES}
        self.counted: dict[str, list[tuple[float, int]]] = {
            "admission": [],
            "emission": [],
            "completion": [],
        }
        self.broken_invariant = False

    def _later(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def _advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
            total = self.bucket.level + self.bucket.outstanding
            self.broken_invariant |= total > BURST + 1e-6
        self.now = end

    def follow(self, schedule: list[tuple]) -> Run:
        """Carry out the steps, then let everything under way finish."""
        self._advance(BURST / RATE)
        for kind, *arguments in schedule:
            getattr(self, f"_do_{kind}")(*arguments)
            self._advance(0.01)
        self._advance(300.0)
        return self

    def _do_wait(self, seconds: float) -> None:
        self._advance(seconds)

    def _do_outage(self, seconds: float) -> None:
        self.outage_until = self.now + seconds

    def _do_kill(self, node: str) -> None:
        self.incarnation += 1
        self.nodes[node] = self.allowance_class(node, self.incarnation)

    def _do_request(
        self,
        node: str,
        tokens: int,
        share: float,
        duration: float,
        out: list[float],
        back: list[float],
    ) -> None:
        """Admit from what the node holds, else ask the owner."""
        if self._admit(node, tokens, share, duration):
            return
        allowance = self.nodes[node]
        asked_at = self.now
        request = allowance.ask("w", tokens, self.now)
        if request is None:
            return

        def receive(reply: GrantReply) -> None:
            if allowance.receive(reply, asked_at, self.now):
                allowance.acknowledge(request.settlements)
                if allowance is self.nodes[node]:
                    self._admit(node, tokens, share, duration)

        for delay in out:
            self._later(delay, lambda: self._serve(request, back, receive))
        self._later(8.0, lambda: allowance.miss("w", request.grant_id))

    def _serve(
        self,
        request: GrantRequest,
        back: list[float],
        receive: Callable[[GrantReply], None],
    ) -> None:
        """Answer at the owner and at a former owner that was paused until now."""
        until = 0.0 if self.now < self.outage_until else self.now + 2.0
        until = min(until, self.authority_until)
        replies = [self.bucket.grant(request, (self.epoch, until), self.now)]
        replies += [b.grant(request, (b.epoch, 0.0), self.now) for b in self.former]
        for reply in replies:
            if not reply.not_owner:
                for delay in back:
                    self._later(delay, lambda reply=reply: receive(reply))

    def _admit(self, node: str, tokens: int, share: float, duration: float) -> bool:
        allowance = self.nodes[node]
        reservation = allowance.reserve("w", tokens, self.now)
        if isinstance(reservation, Shortfall):
            return False
        # An engine's own count above the reservation (share > 1) is charged, but
        # is outside the bound; only reserved tokens are checked.
        used, bounded = int(tokens * share), min(tokens, int(tokens * share))
        half = bounded // 2
        self.counted["admission"].append((self.now, bounded))
        emit, complete = self.counted["emission"], self.counted["completion"]

        def run_half() -> None:
            if self.nodes[node] is allowance:
                emit.append((self.now, half))

        def finish() -> None:
            if self.nodes[node] is allowance:
                emit.append((self.now, bounded - half))
                complete.append((self.now, bounded))
                allowance.settle(reservation, used, self.now)

        self._later(duration / 2, run_half)
        self._later(duration, finish)
        return True

    def _do_settle(self, node: str, copies: list[float], heard: bool) -> None:
        allowance = self.nodes[node]
        allowance.expire(self.now)
        sent = allowance.settlements()
        for delay in copies:
            self._later(delay, lambda: self._take(node, sent))
        if copies and heard:
            self._later(max(copies), lambda: allowance.acknowledge(sent))

    def _take(self, node: str, sent: tuple[Settlement, ...]) -> None:
        for settlement in sent:
            self.bucket.settle(node, settlement, self.now)

    def _do_move(self, graceful: bool, silent: set[str]) -> None:
        """Give the workspace a new owner, after the old authority has lapsed."""
        if graceful:
            state = self.bucket.to_state(self.now)
            self.epoch += 1
            self.bucket = self.bucket_class.from_state(
                state, "w", RATE, BURST, self.epoch, self.now
            )
            return
        self.authority_until = self.now
        self._advance(2.01)
        self.former.append(self.bucket)
        self.epoch += 1
        self.authority_until = 1e9
        self.bucket = self.bucket_class("w", RATE, BURST, self.epoch, self.now, NODES)
        for node, allowance in self.nodes.items():
            held = allowance.holdings(self.now)
            if node in silent:
                # A member that does not answer within the limit may still spend
                # this much beyond the bound.
                self.slack += sum(h.unspent + h.reserved for h in held)
                self._later(3.5, lambda node=node: self._register_late(node))
            else:
                self.bucket.recover(node, held, self.now)

    def _register_late(self, node: str) -> None:
        held = self.nodes[node].holdings(self.now)
        self.bucket.recover(node, held, self.now)

    def violations(self) -> list[str]:
        """Return the places of counting where some window exceeds the bound."""
        found = ["invariant"] if self.broken_invariant else []
        for place, events in self.counted.items():
            level, at = float(BURST + self.slack), 0.0
            for when, tokens in sorted(events):
                level = min(BURST + self.slack, level + RATE * (when - at)) - tokens
                at = when
                if level < -1e-6:
                    found.append(place)
                    break
        return found
