"""Compares rate limit policies in a seeded simulation of ``Bucket`` and ``Allowance``.

A load balancer spreads the requests of five workspaces unevenly over nine nodes. One
of the workspaces sends five times its rate.

Run ``python -m flamingopond_bench.limit_policies``.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from flamingopond_core.allowance import Allowance, Reservation
from flamingopond_core.bucket import Bucket
from flamingopond_core.grants import GrantReply, GrantRequest

NODES = 9
DURATION_S = 120.0
FIRST_TOKEN_TARGET_S = 0.44
ONE_WAY_DELAY_S = 0.0015
TOKEN_INTERVAL_S = 0.03
SETTLEMENT_PERIOD_S = 0.25
CHUNK_TOKENS = 64
"""Answer tokens that a partial reservation covers at a time."""

# Name, rate in tokens/s, load as a multiple of the rate.
WORKSPACES = (
    ("large", 2000.0, 0.9),
    ("middle", 1000.0, 0.8),
    ("small", 400.0, 0.8),
    ("tiny", 100.0, 0.5),
    ("surge", 1000.0, 5.0),
)
BURSTS_S = (4, 15, 60)
"""Burst sizes to compare, in seconds of the rate."""

MIN_BURST_TOKENS = 1500
PROMPT_TOKENS = (20, 300)
MAX_ANSWER_TOKENS = 400
ANSWER_TOKENS = (10, 250)

_Action = Callable[[], None]


@attrs.define
class Result:
    """Request counts by workspace.

    ``refused_within_rate`` counts refusals that one ideal bucket for the fleet would
    have admitted, ``cut_off`` streams that ended early for lack of tokens, and
    ``admitted`` holds the time and tokens of each admission.
    """

    requests: Counter[str] = attrs.field(factory=Counter)
    refused: Counter[str] = attrs.field(factory=Counter)
    refused_within_rate: Counter[str] = attrs.field(factory=Counter)
    cut_off: Counter[str] = attrs.field(factory=Counter)
    admitted: dict[str, list[tuple[float, int]]] = attrs.field(factory=dict)

    def refusal_ratio_within_rate(self) -> float:
        """Return the fraction refused in workspaces that stay within their rate."""
        names = [name for name, _, load in WORKSPACES if load <= 1.0]
        refused = sum(self.refused_within_rate[name] for name in names)
        return refused / sum(self.requests[name] for name in names)

    def excess(self, name: str, rate: float, burst: int) -> float:
        """Return the most tokens beyond burst + rate * t in any window of length t.

        Tokens count at the time of admission.
        """
        level, previous, lowest = float(burst), 0.0, 0.0
        for when, tokens in sorted(self.admitted.get(name, [])):
            level = min(burst, level + rate * (when - previous)) - tokens
            previous, lowest = when, min(lowest, level)
        return -lowest


@attrs.define
class _IdealBucket:
    """One bucket for the whole fleet without delays; decides what is within the rate.

    Each request that fits is charged with the tokens that it uses, or would have used
    if the policy had not refused it.
    """

    rate: float
    burst: float
    level: float
    updated_at: float = 0.0

    def has_room(self, tokens: float, now: float) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.updated_at))
        self.updated_at = now
        return self.level >= tokens


@attrs.define(slots=False)
class Simulation:
    """One simulation run.

    With ``equal_shares`` each node has its own bucket instead of grants from an owner;
    with ``partial_reservation`` it reserves answer tokens in chunks, not all at once.
    """

    equal_shares: bool = False
    partial_reservation: bool = False
    burst_seconds: int = 15
    seed: int = 1

    def __attrs_post_init__(self) -> None:
        """Create nodes and buckets."""
        self.now = 0.0
        self.events: list[tuple[float, int, _Action]] = []
        self.event_ids = itertools.count()
        self.rng = Random(self.seed)
        self.result = Result()
        self.node_weights = [1.0 / (rank + 1) for rank in range(NODES)]
        self.nodes = [Allowance(str(n)) for n in range(NODES)]
        start = -1000.0
        self.bursts = {
            name: max(MIN_BURST_TOKENS, int(rate * self.burst_seconds))
            for name, rate, _ in WORKSPACES
        }
        self.buckets = {
            (name, n): Bucket(name, rate / parts, self.bursts[name] // parts, 1, start)
            for name, rate, _ in WORKSPACES
            for parts in [NODES if self.equal_shares else 1]
            for n in range(parts)
        }
        self.ideal_buckets = {
            name: _IdealBucket(rate, self.bursts[name], self.bursts[name])
            for name, rate, _ in WORKSPACES
        }

    def run(self) -> Result:
        """Run the simulation and return the counts."""
        for name, rate, load in WORKSPACES:
            mean = (sum(PROMPT_TOKENS) + sum(ANSWER_TOKENS)) / 2
            self._start_arrivals(name, rate * load / mean)
        for node in range(NODES):
            self._schedule(
                SETTLEMENT_PERIOD_S * self.rng.random(), partial(self._run_period, node)
            )
        while self.events and self.events[0][0] < DURATION_S:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.result

    def _schedule(self, delay: float, action: _Action) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.event_ids), action))

    def _bucket(self, name: str, node: int) -> Bucket:
        return self.buckets[name, node if self.equal_shares else 0]

    def _start_arrivals(self, name: str, requests_per_s: float) -> None:
        def arrive() -> None:
            node = self.rng.choices(range(NODES), self.node_weights)[0]
            prompt, answer = (
                self.rng.randint(*PROMPT_TOKENS),
                self.rng.randint(*ANSWER_TOKENS),
            )
            self.result.requests[name] += 1
            within_rate = self.ideal_buckets[name].has_room(
                prompt + MAX_ANSWER_TOKENS, self.now
            )
            if within_rate:
                self.ideal_buckets[name].level -= prompt + answer
            first = CHUNK_TOKENS if self.partial_reservation else MAX_ANSWER_TOKENS
            _Request(self, name, node, prompt, answer, within_rate).start(
                prompt + first
            )
            self._schedule(self.rng.expovariate(requests_per_s), arrive)

        self._schedule(self.rng.expovariate(requests_per_s), arrive)

    def _run_period(self, node: int) -> None:
        allowance = self.nodes[node]
        allowance.expire(self.now)
        for name, *_ in WORKSPACES:
            if allowance.projected_use(name, self.now) > 2 * allowance.unspent(name):
                self.request_grant(name, node, 0, lambda reply: None)
        settlements = allowance.settlements()

        def settle() -> None:
            for settlement in settlements:
                bucket = self._bucket(settlement.workspace, node)
                bucket.settle(str(node), settlement, self.now)
            self._schedule(ONE_WAY_DELAY_S, lambda: allowance.acknowledge(settlements))

        self._schedule(ONE_WAY_DELAY_S, settle)
        self._schedule(SETTLEMENT_PERIOD_S, lambda: self._run_period(node))

    def request_grant(
        self, name: str, node: int, tokens: int, done: Callable[[GrantReply], None]
    ) -> None:
        """Request a grant over the network; retry later if a request is in flight."""
        allowance, requested_at = self.nodes[node], self.now
        request = allowance.request_grant(name, tokens, self.now)
        if request is None:
            self._schedule(
                ONE_WAY_DELAY_S, lambda: self.request_grant(name, node, tokens, done)
            )
            return

        def grant(request: GrantRequest = request) -> None:
            bucket = self._bucket(name, node)
            reply = bucket.grant(request, (1, self.now + 60.0), self.now)

            def receive() -> None:
                allowance.receive(reply, requested_at, self.now)
                allowance.acknowledge(request.settlements)
                done(reply)

            self._schedule(ONE_WAY_DELAY_S, receive)

        self._schedule(ONE_WAY_DELAY_S, grant)


@attrs.define(eq=False)
class _Request:
    simulation: Simulation
    name: str
    node: int
    prompt: int
    answer: int
    within_rate: bool
    deadline: float = 0.0
    admitted_at: float = 0.0
    reservation: Reservation | None = None

    def start(self, tokens: int) -> None:
        self.deadline = self.simulation.now + FIRST_TOKEN_TARGET_S
        self._reserve(tokens, self._on_admitted, self._on_refused)

    def _reserve(self, tokens: int, done: _Action, refused: _Action) -> None:
        s = self.simulation
        allowance = s.nodes[self.node]
        if self.reservation is None:
            result = allowance.reserve(self.name, tokens, s.now)
        else:
            result = allowance.extend(self.reservation, tokens, s.now)
        if isinstance(result, Reservation):
            self.reservation = result
            done()
            return

        def replied(reply: GrantReply) -> None:
            wait = 0.0 if reply.granted else max(reply.wait_s, ONE_WAY_DELAY_S)
            if s.now + wait > self.deadline:
                refused()
            else:
                s._schedule(wait, lambda: self._reserve(tokens, done, refused))

        s.request_grant(self.name, self.node, result.missing, replied)

    def _on_refused(self) -> None:
        self.simulation.result.refused[self.name] += 1
        self.simulation.result.refused_within_rate[self.name] += self.within_rate

    def _on_admitted(self) -> None:
        self.admitted_at = self.simulation.now
        reserved = (
            CHUNK_TOKENS if self.simulation.partial_reservation else MAX_ANSWER_TOKENS
        )
        self._generate(0, min(reserved, self.answer))

    def _generate(self, done: int, end: int) -> None:
        s = self.simulation
        s._schedule((end - done) * TOKEN_INTERVAL_S, lambda: self._on_generated(end))

    def _on_generated(self, end: int) -> None:
        s = self.simulation
        if end >= self.answer:
            self._end(end)
            return
        # Once streaming, a request may wait longer than for its first token.
        self.deadline = s.now + 2.0
        self._reserve(
            CHUNK_TOKENS,
            lambda: self._generate(end, min(end + CHUNK_TOKENS, self.answer)),
            lambda: self._cut_off(end),
        )

    def _cut_off(self, end: int) -> None:
        self.simulation.result.cut_off[self.name] += 1
        self._end(end)

    def _end(self, answer: int) -> None:
        s = self.simulation
        assert self.reservation is not None
        use = (self.admitted_at, self.prompt + answer)
        s.result.admitted.setdefault(self.name, []).append(use)
        s.nodes[self.node].settle(self.reservation, self.prompt + answer, s.now)


def measure_grant_cpu_s(workspaces: int, grants: int = 50_000) -> float:
    """Return the owner's CPU time per grant and its settlement, in seconds."""
    buckets = [Bucket(str(w), 1e6, 10**6, 1, -30.0) for w in range(workspaces)]
    nodes = [Allowance(str(n)) for n in range(NODES)]
    rng = Random(1)
    cpu_s = 0.0
    for number in range(grants):
        now = number * 0.0005
        name, node = str(rng.randrange(workspaces)), rng.choice(nodes)
        bucket = buckets[int(name)]
        request = node.request_grant(name, 300, now)
        assert request is not None
        started = time.process_time()
        reply = bucket.grant(request, (1, now + 60.0), now)
        cpu_s += time.process_time() - started
        node.receive(reply, now, now)
        node.acknowledge(request.settlements)
        reservation = node.reserve(name, 300, now)
        if isinstance(reservation, Reservation):
            node.settle(reservation, 200, now)
    return cpu_s / grants


def main() -> None:
    """Print the comparison of the policies and the owner's CPU time per grant."""
    policies = (
        ("grants, whole", False, False),
        ("grants, partial", False, True),
        ("equal shares, whole", True, False),
        ("equal shares, partial", True, True),
    )
    for burst_seconds, (label, equal_shares, by_chunk), seed in itertools.product(
        BURSTS_S, policies, (1, 2)
    ):
        simulation = Simulation(equal_shares, by_chunk, burst_seconds, seed)
        result = simulation.run()
        worst = max(
            (result.refused_within_rate[name] / result.requests[name], name)
            for name, _, load in WORKSPACES
            if load <= 1.0
        )
        cut_ratio = sum(result.cut_off.values()) / sum(result.requests.values())
        excess = max(
            result.excess(name, rate, simulation.bursts[name])
            for name, rate, _ in WORKSPACES
        )
        print(
            f"burst {burst_seconds:2} s, {label:21} seed {seed}: refused within the"
            f" rate {result.refusal_ratio_within_rate():7.3%},"
            f" worst {worst[1]} {worst[0]:7.3%};"
            f" cut off {cut_ratio:.3%}; excess at admission {excess:.0f}",
            flush=True,
        )
    for workspaces in (10, 100, 1_000, 10_000):
        print(
            f"{workspaces:6} workspaces: {measure_grant_cpu_s(workspaces) * 1e6:.1f} us"
        )


if __name__ == "__main__":
    main()
