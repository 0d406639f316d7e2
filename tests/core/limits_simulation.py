"""Simulates one workspace's bucket and nodes under a schedule of random events."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

import attrs
from hypothesis import strategies as st

from flamingopond_core.allowance import Allowance, Shortfall
from flamingopond_core.bucket import Bucket
from flamingopond_core.grants import GrantReply, GrantRequest, Settlement

# RATE is in tokens per second, BURST in tokens.
RATE, BURST, NODES = 50.0, 400, ("a", "b", "c")

_node = st.sampled_from(NODES)
_delay_s = st.sampled_from([0.0, 0.01, 0.3, 2.0, 4.9, 30.0])
# Most messages arrive once and soon; otherwise few schedules spend any tokens.
_delivery_delays = st.one_of(
    *[st.just([0.01])] * 3, st.lists(_delay_s, min_size=0, max_size=2)
)
_tokens = st.sampled_from([1, 40, 200, 390, BURST])

_used_share = st.sampled_from([0.0, 0.3, 1.0, 1.0, 1.2])
_request = st.tuples(
    st.just("request"),
    _node,
    _tokens,
    _used_share,
    _delay_s,
    _delivery_delays,
    _delivery_delays,
)
_settle = st.tuples(st.just("settle"), _node, _delivery_delays, st.booleans())
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
class ScheduleRun:
    """State of one run; ``counted`` holds (time, tokens) by the place of counting.

    ``slack_tokens`` is what may be used beyond the bound because members reported late.
    """

    bucket_class: type[Bucket] = Bucket
    allowance_class: type[Allowance] = Allowance
    now: float = 0.0
    epoch: int = 1
    outage_until: float = 0.0
    authority_until: float = 1e9
    slack_tokens: int = 0
    incarnation: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the owner's bucket and the nodes."""
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.bucket = self.bucket_class("w", RATE, BURST, 1, 0.0)
        self.former_buckets: list[Bucket] = []
        self.nodes = {n: self.allowance_class(n) for n in NODES}
        self.counted: dict[str, list[tuple[float, int]]] = {
            "admission": [],
            "emission": [],
            "completion": [],
        }
        self.broken_invariant = False

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self.events, (self.now + delay_s, next(self.event_numbers), action)
        )

    def _advance(self, seconds: float) -> None:
        end = self.now + seconds
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heapq.heappop(self.events)
            action()
            total = self.bucket.level + self.bucket.outstanding
            self.broken_invariant |= total > BURST + 1e-6
        self.now = end

    def run(self, schedule: list[tuple]) -> ScheduleRun:
        """Execute the schedule, then let everything in flight finish."""
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
        used_share: float,
        duration_s: float,
        request_delays: list[float],
        reply_delays: list[float],
    ) -> None:
        """Reserve from the node's grants, or ask the owner for a grant."""
        if self._admit(node, tokens, used_share, duration_s):
            return
        allowance = self.nodes[node]
        requested_at = self.now
        request = allowance.request_grant("w", tokens, self.now)
        if request is None:
            return

        def receive(reply: GrantReply) -> None:
            if allowance.receive(reply, requested_at, self.now):
                allowance.acknowledge(request.settlements)
                if allowance is self.nodes[node]:
                    self._admit(node, tokens, used_share, duration_s)

        for delay_s in request_delays:
            self._schedule(delay_s, lambda: self._serve(request, reply_delays, receive))
        self._schedule(8.0, lambda: allowance.give_up_request("w", request.grant_id))

    def _serve(
        self,
        request: GrantRequest,
        reply_delays: list[float],
        receive: Callable[[GrantReply], None],
    ) -> None:
        """Answer as the owner and as former owners that were paused until now."""
        until = 0.0 if self.now < self.outage_until else self.now + 2.0
        until = min(until, self.authority_until)
        replies = [self.bucket.grant(request, (self.epoch, until), self.now)]
        replies += [
            b.grant(request, (b.epoch, 0.0), self.now) for b in self.former_buckets
        ]
        for reply in replies:
            if not reply.not_owner:
                for delay_s in reply_delays:
                    self._schedule(delay_s, lambda reply=reply: receive(reply))

    def _admit(
        self, node: str, tokens: int, used_share: float, duration_s: float
    ) -> bool:
        allowance = self.nodes[node]
        reservation = allowance.reserve("w", tokens, self.now)
        if isinstance(reservation, Shortfall):
            return False
        # An engine's own count may exceed the reservation (used_share > 1). The
        # excess is charged but not bounded, so only reserved tokens are checked.
        used, bounded = int(tokens * used_share), min(tokens, int(tokens * used_share))
        half = bounded // 2
        self.counted["admission"].append((self.now, bounded))
        emit, complete = self.counted["emission"], self.counted["completion"]

        def emit_half() -> None:
            if self.nodes[node] is allowance:
                emit.append((self.now, half))

        def finish() -> None:
            if self.nodes[node] is allowance:
                emit.append((self.now, bounded - half))
                complete.append((self.now, bounded))
                allowance.settle(reservation, used, self.now)

        self._schedule(duration_s / 2, emit_half)
        self._schedule(duration_s, finish)
        return True

    def _do_settle(self, node: str, delays: list[float], acknowledged: bool) -> None:
        allowance = self.nodes[node]
        allowance.expire(self.now)
        sent = allowance.settlements()
        for delay_s in delays:
            self._schedule(delay_s, lambda: self._deliver_settlements(node, sent))
        if delays and acknowledged:
            self._schedule(max(delays), lambda: allowance.acknowledge(sent))

    def _deliver_settlements(self, node: str, sent: tuple[Settlement, ...]) -> None:
        for settlement in sent:
            self.bucket.settle(node, settlement, self.now)

    def _do_move(self, graceful: bool, late_members: set[str]) -> None:
        """Move the workspace to a new owner, after the old authority has lapsed."""
        if graceful:
            state = self.bucket.to_state(self.now)
            self.epoch += 1
            self.bucket = self.bucket_class.from_state(
                state, "w", RATE, BURST, self.epoch, self.now
            )
            return
        self.authority_until = self.now
        self._advance(2.01)
        self.former_buckets.append(self.bucket)
        self.epoch += 1
        self.authority_until = 1e9
        self.bucket = self.bucket_class("w", RATE, BURST, self.epoch, self.now, NODES)
        for node, allowance in self.nodes.items():
            holdings = allowance.holdings(self.now)
            if node in late_members:
                # A member that does not report within the limit may spend this much
                # beyond the bound.
                self.slack_tokens += sum(h.unspent + h.reserved for h in holdings)
                self._schedule(3.5, lambda node=node: self._register_late(node))
            else:
                self.bucket.register_holdings(node, holdings, self.now)

    def _register_late(self, node: str) -> None:
        holdings = self.nodes[node].holdings(self.now)
        self.bucket.register_holdings(node, holdings, self.now)

    def violations(self) -> list[str]:
        """Return the places of counting at which some window exceeds the bound."""
        violated = ["invariant"] if self.broken_invariant else []
        for place, events in self.counted.items():
            level, at = float(BURST + self.slack_tokens), 0.0
            for counted_at, tokens in sorted(events):
                level = (
                    min(BURST + self.slack_tokens, level + RATE * (counted_at - at))
                    - tokens
                )
                at = counted_at
                if level < -1e-6:
                    violated.append(place)
                    break
        return violated
