"""Compares the router with and without digests of the engines' cache events.

Run ``python -m flamingopond_bench.prefix_policies`` for the cached fraction of prompt
tokens and the ratio of peak to mean load. The simulation runs in one process and calls
no engine.
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
PREFILL_TOKENS_PER_S = 8000.0
TOKEN_INTERVAL_S = 0.02
BATCH = 32
STEP_S = 0.02
WARM_UP_S = 10.0
REPORT_LAG_S = 0.5
EVENT_LAG_S = 0.5
# From the poll of an engine's owner until the other nodes have the digest.
DIGEST_DELAY_S = 2.0


class DigestRouter(Router):
    """A router that knows cached blocks of each engine from digests.

    ``present`` ignores digests; ``estimate`` uses them for the prefill cost only.
    ``cached first`` chooses the engine with the longest cached prefix within the load
    bound, if there is one, before the preferred engines. ``own first`` does the same
    with the blocks of this node's own requests only.
    """

    def __init__(self, policy: str) -> None:
        """Create a router without digests."""
        super().__init__("a", "r")
        self._policy = policy
        self._digests: dict[str, frozenset[str]] = {}

    def set_digest(self, engine: str, blocks: frozenset[str]) -> None:
        """Replace the digest of an engine's cache, if the policy uses digests."""
        if self._policy in ("estimate", "cached first"):
            self._digests[engine] = blocks

    def choose(self, request: RoutingRequest, now: float, rng: Random) -> str | None:
        """Return the engine for ``request``."""
        if self._policy in ("own first", "cached first"):
            loads = {name: self.load(name, now) for name in request.candidates}
            average = mean(loads.values())
            bound = LOAD_BOUND_FACTOR * average + self._mean_answer_tokens
            order = preferred_engines(request.prefix_block_names[0], loads, len(loads))
            for name in sorted(
                order, key=lambda n: -self._cached_prefix_length(n, request)
            ):
                if self._cached_prefix_length(name, request) and (
                    self.load(name, now, average) <= bound
                ):
                    return name
        return super().choose(request, now, rng)

    def _cached_prefix_length(self, engine: str, request: RoutingRequest) -> int:
        from_requests = self._engines[engine].cache.cached_prefix_length(
            request.prefix_block_names
        )
        digest = self._digests.get(engine, frozenset())
        # A digest names only recent blocks. The name of a block depends on all blocks
        # before it, so those are cached, too.
        from_digest = max(
            (
                i
                for i, block in enumerate(request.prefix_block_names, 1)
                if block in digest
            ),
            default=0,
        )
        return max(from_requests, from_digest)

    def _work(self, state, request):  # type: ignore[no-untyped-def]
        cached = self._cached_prefix_length(state.info.name, request) * BLOCK_TOKENS
        uncached = attrs.evolve(
            request,
            prompt_tokens=max(0, request.prompt_tokens - cached),
            prefix_block_names=(),
        )
        return super()._work(state, uncached)


@attrs.define
class SimulatedEngine:
    """An LRU prefix cache, its delayed and lossy events, and its owner's view of it."""

    capacity_blocks: int
    event_loss: float
    rng: Random
    running: int = 0
    sequence: int = 0
    blocks: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    events: deque[tuple[float, int, str, bool]] = attrs.field(factory=deque)
    owner_view: CachedBlocks = attrs.field(factory=CachedBlocks)

    def cache_prompt(self, blocks: Sequence[str], now: float) -> int:
        """Cache ``blocks`` and return how many leading ones were already cached."""
        hits = [block in self.blocks for block in blocks]
        for block, hit in zip(blocks, hits, strict=True):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
            if not hit:
                self._publish_event(block, True, now)
        while len(self.blocks) > self.capacity_blocks:
            self._publish_event(self.blocks.popitem(last=False)[0], False, now)
        return sum(1 for _ in itertools.takewhile(bool, hits))

    def digest(self, max_blocks: int, now: float) -> frozenset[str]:
        """Return the newest blocks in the owner's view, as it would gossip them."""
        while self.events and self.events[0][0] <= now:
            self.owner_view.apply_event(*self.events.popleft()[1:])
        # CachedBlocks has no public method for this; the product needs none.
        newest = itertools.islice(reversed(self.owner_view._blocks), max_blocks)
        return frozenset(newest)

    def _publish_event(self, block: str, cached: bool, now: float) -> None:
        self.sequence += 1
        if self.rng.random() >= self.event_loss:
            event = (now + EVENT_LAG_S, self.sequence, block, cached)
            self.events.append(event)


@attrs.frozen
class Prompt:
    """Block names of a prompt, and the engines that hold its model."""

    blocks: tuple[str, ...]
    engines: tuple[str, ...]
    answer_tokens: int


def generate_prompts(
    engines: Sequence[str], prefixes: int, rng: Random
) -> Iterator[Prompt]:
    """Yield prompts with shared prefixes; about half continue a conversation."""
    model_holders = [tuple(rng.sample(engines, REPLICAS)) for _ in range(MODELS)]
    shared_prefixes = [
        (rng.choice(model_holders), rng.randrange(4, 24)) for _ in range(prefixes)
    ]
    weights = [1 / (rank + 1) for rank in range(prefixes)]
    open_conversations: list[list[tuple[int, int]]] = [[] for _ in shared_prefixes]
    for number in itertools.count():
        chosen = rng.choices(range(prefixes), weights)[0]
        holders, length = shared_prefixes[chosen]
        candidates = open_conversations[chosen]
        conversation, own_blocks = number, 1
        if candidates and rng.random() < 0.5:
            conversation, own_blocks = candidates.pop(rng.randrange(len(candidates)))
            own_blocks += 2
        if own_blocks < 12:
            candidates.append((conversation, own_blocks))
            del candidates[:-40]
        blocks = [f"p{chosen}-{i}" for i in range(length)]
        blocks += [f"c{conversation}-{i}" for i in range(own_blocks)]
        yield Prompt(tuple(blocks), holders, rng.randrange(32, 97))


def simulate(
    policy: str,
    seed: int,
    event_loss: float,
    seconds: float = 60.0,
    prefixes: int = 60,
    capacity_blocks: int = 1024,
    digest_blocks: int = 128,
) -> tuple[float, float]:
    """Return the cached fraction of prompt blocks and the mean peak-to-mean load.

    The rate alternates between 42 and 120 requests/s every 10 s.
    """
    rng = Random(seed)
    engines = {
        f"e{i}": SimulatedEngine(capacity_blocks, event_loss, Random(f"{seed}-{i}"))
        for i in range(ENGINES)
    }
    routers = [DigestRouter(policy) for _ in range(NODES)]
    for router in routers:
        router.configure(EngineInfo(name, "a", "r") for name in engines)
    arriving_prompts = generate_prompts(list(engines), prefixes, Random(seed))
    in_flight: list[tuple[float, int, str, DigestRouter, int]] = []
    delayed_samples: deque[tuple[float, dict[str, int], dict[str, frozenset[str]]]] = (
        deque()
    )
    cached_blocks, total_blocks, due_requests, number = 0, 0, 0.0, 0
    peaks: list[float] = []
    for tick in range(round(seconds / STEP_S)):
        now = tick * STEP_S
        finished = sorted(end[:3] for end in in_flight if end[0] <= now)
        by_number = {end[1]: end for end in in_flight}
        for _, ended, name in finished:
            _, _, _, router, tokens = by_number[ended]
            engine = engines[name]
            engine.running -= 1
            router.record_finish(name, str(ended), now, tokens)
            load = LoadReport(name, engine.running, lag_s=0.0, from_answer=True)
            router.observe(load, now)
        in_flight = [end for end in in_flight if end[0] > now]
        due_requests += STEP_S * (120 if int(now / 10) % 2 else 42)
        while due_requests >= 1:
            due_requests -= 1
            number += 1
            prompt = next(arriving_prompts)
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
            cached = engine.cache_prompt(prompt.blocks, now)
            engine.running += 1
            uncached_tokens = (len(prompt.blocks) - cached) * BLOCK_TOKENS
            slowdown = 1 + engine.running / BATCH
            duration_s = (
                uncached_tokens / PREFILL_TOKENS_PER_S
                + prompt.answer_tokens * TOKEN_INTERVAL_S * slowdown
            )
            in_flight.append(
                (now + duration_s, number, chosen, router, prompt.answer_tokens)
            )
            if now >= WARM_UP_S:
                cached_blocks += cached
                total_blocks += len(prompt.blocks)
        if tick % 50 == 0:
            counts = {name: engine.running for name, engine in engines.items()}
            digests = {
                n: engine.digest(digest_blocks, now) for n, engine in engines.items()
            }
            delayed_samples.append((now, counts, digests))
        for sampled_at, counts, digests in delayed_samples:
            for router in routers:
                if round((now - sampled_at) / STEP_S) == round(REPORT_LAG_S / STEP_S):
                    for name, count in counts.items():
                        router.observe(LoadReport(name, count), now)
                if round((now - sampled_at) / STEP_S) == round(DIGEST_DELAY_S / STEP_S):
                    for name, digest in digests.items():
                        router.set_digest(name, digest)
        while delayed_samples and now - delayed_samples[0][0] > DIGEST_DELAY_S + STEP_S:
            delayed_samples.popleft()
        if now >= WARM_UP_S and tick % 10 == 0:
            running = [engine.running for engine in engines.values()]
            peaks.append(max(running) / max(0.1, mean(running)))
    return cached_blocks / total_blocks, mean(peaks)


def main(seeds: Annotated[int, typer.Option(help="Number of seeds.")] = 4) -> None:
    """Print one line for each workload and policy."""
    for prefixes, event_loss in itertools.product((60, 300), (0.05, 0.002, 0.0)):
        for policy in POLICIES:
            runs = [
                simulate(policy, s, event_loss, prefixes=prefixes) for s in range(seeds)
            ]
            cached, peak = (mean(values) for values in zip(*runs, strict=True))
            typer.echo(f"{prefixes=} {event_loss=} {policy:12} {cached:.2%} {peak:.3f}")


if __name__ == "__main__":
    typer.run(main)
