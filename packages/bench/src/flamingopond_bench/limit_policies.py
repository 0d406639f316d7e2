"""Compares limit policies in a seeded simulation of the pure classes.

Nine nodes behind a skewed balancer serve five workspaces, one of which sends five
times its rate. Run ``python -m flamingopond_bench.limit_policies``.
"""

from __future__ import annotations

import heapq
import itertools
import time
from collections import Counter
from collections.abc import Callable
from functools import partial as partial_of
from random import Random

import attrs

from flamingopond_core.allowance import Allowance, Reservation
from flamingopond_core.bucket import Bucket
from flamingopond_core.grants import GrantReply, GrantRequest

NODES = 9
SECONDS = 120.0
TARGET = 0.44
ONE_WAY = 0.0015
TOKEN_TIME = 0.03
PERIOD = 0.25
CHUNK = 64
"""Answer tokens that a partial reservation covers at a time."""

# Name, rate in tokens per second, load as a multiple of the rate.
WORKSPACES = (
    ("large", 2000.0, 0.9),
    ("middle", 1000.0, 0.8),
    ("small", 400.0, 0.8),
    ("tiny", 100.0, 0.5),
    ("surge", 1000.0, 5.0),
)
BURST_SECONDS = (4, 15, 60)
"""Bursts compared, in seconds of the rate."""

SMALLEST_BURST = 1500
PROMPT = (20, 300)
ANSWER_LIMIT = 400
ANSWER = (10, 250)

_Action = Callable[[], None]


@attrs.define
class Result:
    """Requests by workspace: all, refused, refused inside the rate, cut off."""

    requests: Counter[str] = attrs.field(factory=Counter)
    refused: Counter[str] = attrs.field(factory=Counter)
    inside: Counter[str] = attrs.field(factory=Counter)
    cut: Counter[str] = attrs.field(factory=Counter)
    admitted: dict[str, list[tuple[float, int]]] = attrs.field(factory=dict)

    def refused_inside(self) -> float:
        """Return the share refused of the workspaces that keep to their rate."""
        names = [name for name, _, load in WORKSPACES if load <= 1.0]
        refused = sum(self.inside[name] for name in names)
        return refused / sum(self.requests[name] for name in names)

    def excess(self, name: str, rate: float, burst: int) -> float:
        """Return the most tokens beyond burst + rate * t, counted at admission."""
        level, at, worst = float(burst), 0.0, 0.0
        for when, tokens in sorted(self.admitted.get(name, [])):
            level = min(burst, level + rate * (when - at)) - tokens
            at, worst = when, min(worst, level)
        return -worst


@attrs.define
class _Ideal:
    """One bucket for the fleet without delay; decides what is inside the rate.

    It is charged for a served request with its use and for a refused one that
    was inside the rate with the use it would have had.
    """

    rate: float
    burst: float
    level: float
    at: float = 0.0

    def fits(self, tokens: float, now: float) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        return self.level >= tokens


@attrs.define(slots=False)
class Simulation:
    """One run; ``share`` uses equal shares per node in place of grants."""

    share: bool = False
    partial: bool = False
    burst_seconds: int = 15
    seed: int = 1

    def __attrs_post_init__(self) -> None:
        """Build owners and nodes."""
        self.now = 0.0
        self.events: list[tuple[float, int, _Action]] = []
        self.order = itertools.count()
        self.rng = Random(self.seed)
        self.result = Result()
        self.weights = [1.0 / (rank + 1) for rank in range(NODES)]
        self.nodes = [Allowance(str(n)) for n in range(NODES)]
        start = -1000.0
        self.bursts = {
            name: max(SMALLEST_BURST, int(rate * self.burst_seconds))
            for name, rate, _ in WORKSPACES
        }
        self.buckets = {
            (name, n): Bucket(name, rate / parts, self.bursts[name] // parts, 1, start)
            for name, rate, _ in WORKSPACES
            for parts in [NODES if self.share else 1]
            for n in range(parts)
        }
        self.ideal = {
            name: _Ideal(rate, self.bursts[name], self.bursts[name])
            for name, rate, _ in WORKSPACES
        }

    def run(self) -> Result:
        """Simulate and return the counts."""
        for name, rate, load in WORKSPACES:
            mean = (sum(PROMPT) + sum(ANSWER)) / 2
            self._arrive(name, rate * load / mean)
        for node in range(NODES):
            self._later(PERIOD * self.rng.random(), partial_of(self._period, node))
        while self.events and self.events[0][0] < SECONDS:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.result

    def _later(self, delay: float, action: _Action) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def _bucket(self, name: str, node: int) -> Bucket:
        return self.buckets[name, node if self.share else 0]

    def _arrive(self, name: str, per_second: float) -> None:
        def arrive() -> None:
            node = self.rng.choices(range(NODES), self.weights)[0]
            prompt, answer = self.rng.randint(*PROMPT), self.rng.randint(*ANSWER)
            self.result.requests[name] += 1
            fits = self.ideal[name].fits(prompt + ANSWER_LIMIT, self.now)
            if fits:
                self.ideal[name].level -= prompt + answer
            first = CHUNK if self.partial else ANSWER_LIMIT
            _Request(self, name, node, prompt, answer, fits).start(prompt + first)
            self._later(self.rng.expovariate(per_second), arrive)

        self._later(self.rng.expovariate(per_second), arrive)

    def _period(self, node: int) -> None:
        allowance = self.nodes[node]
        allowance.expire(self.now)
        for name, *_ in WORKSPACES:
            if allowance.projected_use(name, self.now) > 2 * allowance.unspent(name):
                self.ask(name, node, 0, lambda reply: None)
        sent = allowance.settlements()

        def settle() -> None:
            for settlement in sent:
                bucket = self._bucket(settlement.workspace, node)
                bucket.settle(str(node), settlement, self.now)
            self._later(ONE_WAY, lambda: allowance.acknowledge(sent))

        self._later(ONE_WAY, settle)
        self._later(PERIOD, lambda: self._period(node))

    def ask(
        self, name: str, node: int, tokens: int, done: Callable[[GrantReply], None]
    ) -> None:
        """Request a grant over the network, or try again while one is under way."""
        allowance, asked_at = self.nodes[node], self.now
        request = allowance.request_grant(name, tokens, self.now)
        if request is None:
            self._later(ONE_WAY, lambda: self.ask(name, node, tokens, done))
            return

        def answer(request: GrantRequest = request) -> None:
            bucket = self._bucket(name, node)
            reply = bucket.grant(request, (1, self.now + 60.0), self.now)

            def receive() -> None:
                allowance.receive(reply, asked_at, self.now)
                allowance.acknowledge(request.settlements)
                done(reply)

            self._later(ONE_WAY, receive)

        self._later(ONE_WAY, answer)


@attrs.define(eq=False)
class _Request:
    simulation: Simulation
    name: str
    node: int
    prompt: int
    answer: int
    fits: bool
    deadline: float = 0.0
    admitted_at: float = 0.0
    reservation: Reservation | None = None

    def start(self, tokens: int) -> None:
        self.deadline = self.simulation.now + TARGET
        self._reserve(tokens, self._started, self._refused)

    def _reserve(self, tokens: int, done: _Action, refused: _Action) -> None:
        s = self.simulation
        allowance = s.nodes[self.node]
        if self.reservation is None:
            found = allowance.reserve(self.name, tokens, s.now)
        else:
            found = allowance.extend(self.reservation, tokens, s.now)
        if isinstance(found, Reservation):
            self.reservation = found
            done()
            return

        def replied(reply: GrantReply) -> None:
            wait = 0.0 if reply.granted else max(reply.wait_s, ONE_WAY)
            if s.now + wait > self.deadline:
                refused()
            else:
                s._later(wait, lambda: self._reserve(tokens, done, refused))

        s.ask(self.name, self.node, found.missing, replied)

    def _refused(self) -> None:
        self.simulation.result.refused[self.name] += 1
        self.simulation.result.inside[self.name] += self.fits

    def _started(self) -> None:
        self.admitted_at = self.simulation.now
        ahead = CHUNK if self.simulation.partial else ANSWER_LIMIT
        self._generate(0, min(ahead, self.answer))

    def _generate(self, done: int, upto: int) -> None:
        s = self.simulation
        s._later((upto - done) * TOKEN_TIME, lambda: self._generated(upto))

    def _generated(self, upto: int) -> None:
        s = self.simulation
        if upto >= self.answer:
            self._end(upto)
            return
        # A stream that has begun may pause longer than a first token.
        self.deadline = s.now + 2.0
        self._reserve(
            CHUNK,
            lambda: self._generate(upto, min(upto + CHUNK, self.answer)),
            lambda: self._cut(upto),
        )

    def _cut(self, upto: int) -> None:
        self.simulation.result.cut[self.name] += 1
        self._end(upto)

    def _end(self, answer: int) -> None:
        s = self.simulation
        assert self.reservation is not None
        spent = (self.admitted_at, self.prompt + answer)
        s.result.admitted.setdefault(self.name, []).append(spent)
        s.nodes[self.node].settle(self.reservation, self.prompt + answer, s.now)


def measure_owner(workspaces: int, grants: int = 50_000) -> float:
    """Return the owner's CPU time per grant and its settlement, in seconds."""
    buckets = [Bucket(str(w), 1e6, 10**6, 1, -30.0) for w in range(workspaces)]
    nodes = [Allowance(str(n)) for n in range(NODES)]
    rng = Random(1)
    spent = 0.0
    for number in range(grants):
        now = number * 0.0005
        name, node = str(rng.randrange(workspaces)), rng.choice(nodes)
        bucket = buckets[int(name)]
        request = node.request_grant(name, 300, now)
        assert request is not None
        began = time.process_time()
        reply = bucket.grant(request, (1, now + 60.0), now)
        spent += time.process_time() - began
        node.receive(reply, now, now)
        node.acknowledge(request.settlements)
        reservation = node.reserve(name, 300, now)
        if isinstance(reservation, Reservation):
            node.settle(reservation, 200, now)
    return spent / grants


def main() -> None:
    """Print both measurements."""
    policies = (
        ("grants, whole", False, False),
        ("grants, partial", False, True),
        ("equal shares, whole", True, False),
        ("equal shares, partial", True, True),
    )
    for seconds, (label, share, partial), seed in itertools.product(
        BURST_SECONDS, policies, (1, 2)
    ):
        simulation = Simulation(share, partial, seconds, seed)
        result = simulation.run()
        worst = max(
            (result.inside[name] / result.requests[name], name)
            for name, _, load in WORKSPACES
            if load <= 1.0
        )
        cut = sum(result.cut.values()) / sum(result.requests.values())
        excess = max(
            result.excess(name, rate, simulation.bursts[name])
            for name, rate, _ in WORKSPACES
        )
        print(
            f"burst {seconds:2} s, {label:21} seed {seed}: refused inside the rate"
            f" {result.refused_inside():7.3%}, worst {worst[1]} {worst[0]:7.3%};"
            f" cut off {cut:.3%}; excess at admission {excess:.0f}",
            flush=True,
        )
    for workspaces in (10, 100, 1_000, 10_000):
        print(f"{workspaces:6} workspaces: {measure_owner(workspaces) * 1e6:.1f} us")


if __name__ == "__main__":
    main()
