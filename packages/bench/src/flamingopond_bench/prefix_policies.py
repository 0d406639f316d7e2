"""Compares the router with and without digests of the engines' cache events.

Run ``python -m flamingopond_bench.prefix_policies`` for the cached share of prompt
tokens and the balance of load. Everything is simulated in one process; no engine is
called.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict, deque
from collections.abc import Iterator, Sequence
from random import Random
from statistics import mean
from typing import Annotated

import attrs
import typer

from flamingopond_core.prefix import CachedBlocks, preferred_engines
from flamingopond_core.routing import (
    LOAD_BOUND_FACTOR,
    EngineInfo,
    LoadReport,
    Router,
    RoutingRequest,
)

POLICIES = ("present", "estimate", "own first", "cached first")
NODES = 9
ENGINES = 9
MODELS = 20
REPLICAS = 3
BLOCK_TOKENS = 64
PREFILL_RATE = 8000.0
TOKEN_S = 0.02
BATCH = 32
STEP_S = 0.02
WARM_UP_S = 10.0
REPORT_LAG_S = 0.5
EVENT_LAG_S = 0.5
# From the owner's poll until the other nodes have the digest.
SPREAD_S = 2.0


class DigestRouter(Router):
    """The router, with the blocks that digests name for each engine.

    ``estimate`` uses them for the prefill cost only. ``cached first`` takes the
    engine with the longest cached prefix within the load bound before the
    favourites; ``own first`` does so from this node's own requests alone.
    """

    def __init__(self, policy: str) -> None:
        """Start without digests."""
        super().__init__("a", "r")
        self._policy = policy
        self._digests: dict[str, frozenset[str]] = {}

    def set_digest(self, engine: str, blocks: frozenset[str]) -> None:
        """Replace what is known of an engine's cache."""
        if self._policy in ("estimate", "cached first"):
            self._digests[engine] = blocks

    def choose(self, request: RoutingRequest, now: float, rng: Random) -> str | None:
        """Return the engine for ``request``."""
        if self._policy in ("own first", "cached first"):
            loads = {name: self.load(name, now) for name in request.candidates}
            average = mean(loads.values())
            bound = LOAD_BOUND_FACTOR * average + self._mean_answer_tokens
            order = preferred_engines(request.blocks[0], loads, len(loads))
            for name in sorted(order, key=lambda n: -self._leading(n, request)):
                if self._leading(name, request) and (
                    self.load(name, now, average) <= bound
                ):
                    return name
        return super().choose(request, now, rng)

    def _leading(self, engine: str, request: RoutingRequest) -> int:
        own = self._engines[engine].cache.cached_prefix_length(request.blocks)
        digest = self._digests.get(engine, frozenset())
        # Only recent blocks fit into a digest. A block's name depends on all that
        # precede it, so they are cached, too.
        known = max(
            (i for i, block in enumerate(request.blocks, 1) if block in digest),
            default=0,
        )
        return max(own, known)

    def _work(self, state, request):  # type: ignore[no-untyped-def]
        cached = self._leading(state.info.name, request) * BLOCK_TOKENS
        known = attrs.evolve(
            request, prompt_tokens=max(0, request.prompt_tokens - cached), blocks=()
        )
        return super()._work(state, known)


@attrs.define
class SimulatedEngine:
    """An LRU prefix cache, its late events with gaps, and what the owner believes."""

    capacity: int
    gap: float
    rng: Random
    running: int = 0
    sequence: int = 0
    blocks: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    events: deque[tuple[float, int, str, bool]] = attrs.field(factory=deque)
    believed: CachedBlocks = attrs.field(factory=CachedBlocks)

    def use(self, blocks: Sequence[str], now: float) -> int:
        """Cache ``blocks`` and return how many leading ones were cached."""
        hits = [block in self.blocks for block in blocks]
        for block, hit in zip(blocks, hits, strict=True):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
            if not hit:
                self._publish(block, True, now)
        while len(self.blocks) > self.capacity:
            self._publish(self.blocks.popitem(last=False)[0], False, now)
        return sum(1 for _ in itertools.takewhile(bool, hits))

    def digest(self, entries: int, now: float) -> frozenset[str]:
        """Return the newest believed blocks, as its owner would gossip them."""
        while self.events and self.events[0][0] <= now:
            self.believed.apply_event(*self.events.popleft()[1:])
        # The simulation may read what the core does not have to offer.
        newest = itertools.islice(reversed(self.believed._blocks), entries)
        return frozenset(newest)

    def _publish(self, block: str, cached: bool, now: float) -> None:
        self.sequence += 1
        if self.rng.random() >= self.gap:
            event = (now + EVENT_LAG_S, self.sequence, block, cached)
            self.events.append(event)


@attrs.frozen
class Prompt:
    """A prompt by the names of its blocks, and the engines that can answer it."""

    blocks: tuple[str, ...]
    engines: tuple[str, ...]
    answer_tokens: int


def prompts(engines: Sequence[str], prefixes: int, rng: Random) -> Iterator[Prompt]:
    """Yield prompts with shared prefixes; half of them continue a conversation."""
    held = [tuple(rng.sample(engines, REPLICAS)) for _ in range(MODELS)]
    shared = [(rng.choice(held), rng.randrange(4, 24)) for _ in range(prefixes)]
    weights = [1 / (rank + 1) for rank in range(prefixes)]
    open_turns: list[list[tuple[int, int]]] = [[] for _ in shared]
    for number in itertools.count():
        chosen = rng.choices(range(prefixes), weights)[0]
        holders, length = shared[chosen]
        turns = open_turns[chosen]
        conversation, own = number, 1
        if turns and rng.random() < 0.5:
            conversation, own = turns.pop(rng.randrange(len(turns)))
            own += 2
        if own < 12:
            turns.append((conversation, own))
            del turns[:-40]
        blocks = [f"p{chosen}-{i}" for i in range(length)]
        blocks += [f"c{conversation}-{i}" for i in range(own)]
        yield Prompt(tuple(blocks), holders, rng.randrange(32, 97))


def simulate(
    policy: str,
    seed: int,
    gap: float,
    seconds: float = 60.0,
    prefixes: int = 60,
    capacity: int = 1024,
    entries: int = 128,
) -> tuple[float, float]:
    """Return the cached share of prompt blocks and the mean of peak over mean load.

    The rate alternates between 42 and 120 requests/s every 10 s.
    """
    rng = Random(seed)
    engines = {
        f"e{i}": SimulatedEngine(capacity, gap, Random(f"{seed}-{i}"))
        for i in range(ENGINES)
    }
    routers = [DigestRouter(policy) for _ in range(NODES)]
    for router in routers:
        router.configure(EngineInfo(name, "a", "r") for name in engines)
    source = prompts(list(engines), prefixes, Random(seed))
    ends: list[tuple[float, int, str, DigestRouter, int]] = []
    pending: deque[tuple[float, dict[str, int], dict[str, frozenset[str]]]] = deque()
    hits, blocks, due, number = 0, 0, 0.0, 0
    peaks: list[float] = []
    for tick in range(round(seconds / STEP_S)):
        now = tick * STEP_S
        done = sorted(end[:3] for end in ends if end[0] <= now)
        by_number = {end[1]: end for end in ends}
        for _, ended, name in done:
            _, _, _, router, tokens = by_number[ended]
            engine = engines[name]
            engine.running -= 1
            router.record_finish(name, str(ended), now, tokens)
            load = LoadReport(name, engine.running, lag_s=0.0, exact=True)
            router.observe(load, now)
        ends = [end for end in ends if end[0] > now]
        due += STEP_S * (120 if int(now / 10) % 2 else 42)
        while due >= 1:
            due -= 1
            number += 1
            prompt = next(source)
            router = rng.choice(routers)
            request = RoutingRequest(
                prompt.engines,
                len(prompt.blocks) * BLOCK_TOKENS,
                96,
                prompt.blocks,
            )
            chosen = router.choose(request, now, rng)
            if chosen is None:
                raise AssertionError("every prompt has candidates")
            router.record_start(chosen, str(number), request, now)
            engine = engines[chosen]
            cached = engine.use(prompt.blocks, now)
            engine.running += 1
            missing = (len(prompt.blocks) - cached) * BLOCK_TOKENS
            slow = 1 + engine.running / BATCH
            took = missing / PREFILL_RATE + prompt.answer_tokens * TOKEN_S * slow
            ends.append((now + took, number, chosen, router, prompt.answer_tokens))
            if now >= WARM_UP_S:
                hits += cached
                blocks += len(prompt.blocks)
        if tick % 50 == 0:
            counts = {name: engine.running for name, engine in engines.items()}
            digests = {n: engine.digest(entries, now) for n, engine in engines.items()}
            pending.append((now, counts, digests))
        for sampled_at, counts, digests in pending:
            for router in routers:
                if round((now - sampled_at) / STEP_S) == round(REPORT_LAG_S / STEP_S):
                    for name, count in counts.items():
                        router.observe(LoadReport(name, count), now)
                if round((now - sampled_at) / STEP_S) == round(SPREAD_S / STEP_S):
                    for name, digest in digests.items():
                        router.set_digest(name, digest)
        while pending and now - pending[0][0] > SPREAD_S + STEP_S:
            pending.popleft()
        if now >= WARM_UP_S and tick % 10 == 0:
            running = [engine.running for engine in engines.values()]
            peaks.append(max(running) / max(0.1, mean(running)))
    return hits / blocks, mean(peaks)


def main(seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 4) -> None:
    """Print one line for each workload and policy."""
    for prefixes, gap in itertools.product((60, 300), (0.05, 0.002, 0.0)):
        for policy in POLICIES:
            runs = [simulate(policy, s, gap, prefixes=prefixes) for s in range(seeds)]
            share, peak = (mean(values) for values in zip(*runs, strict=True))
            typer.echo(f"{prefixes=} {gap=} {policy:12} {share:.2%} {peak:.3f}")


if __name__ == "__main__":
    typer.run(main)
