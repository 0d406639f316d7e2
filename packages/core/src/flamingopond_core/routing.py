"""Choice of the engine for a request, from reports that lag."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from random import Random

import attrs

from flamingopond_core.blocks import BLOCK_BYTES
from flamingopond_core.prefix import CachedBlocks, favourites

# Prefill handles many tokens a step: one prompt token costs about a tenth of an
# answer token.
PREFILL_WEIGHT = 0.1
# A favourite may have this multiple of the candidates' mean load.
BOUND = 1.25
# Two scores closer than this share of the larger one count as equal.
TIE = 0.05
# A report's age at which it is believed by half. In the simulation of
# tests/core/test_routing.py, 1 s keeps the busiest engine below 2 times the mean
# with reports 0.3 to 2 s old; 2 s does not.
AGE_HALF_LIFE_S = 1.0
# Engines publish their reports about this long after the state they describe.
REPORT_LAG_S = 0.5
# An engine without any batch limit seen may get this many requests beyond the
# most that it was ever seen to run. With 8, a burst of 16 on an idle engine with
# a batch of 32 was refused in part, because reports come only once a second.
HEADROOM = 32
_BYTES_PER_TOKEN = 4


@attrs.frozen
class EngineInfo:
    """What the configuration says about an engine."""

    name: str
    availability_zone: str
    region: str


@attrs.frozen
class LoadReport:
    """An engine's load as it was ``lag`` seconds before it became known.

    ``running`` and ``waiting`` count requests, ``waiting_tokens`` the prompt tokens
    not yet processed. ``exact`` marks a load that came with an answer: it has no
    lag, but tells only ``running + waiting`` (in ``running``).
    """

    engine: str
    running: int
    waiting: int = 0
    waiting_tokens: int = 0
    lag: float = REPORT_LAG_S
    exact: bool = False


@attrs.frozen
class RoutingRequest:
    """What the choice depends on; ``candidates`` hold the model and adapter."""

    candidates: Sequence[str]
    prompt_tokens: int
    answer_tokens: int
    blocks: Sequence[str] = ()
    excluded: frozenset[str] = frozenset()


@attrs.define
class _Own:
    """One of this node's requests on an engine."""

    work: float
    started: float


@attrs.define
class _EngineState:
    """What this node knows about one engine."""

    info: EngineInfo
    cache: CachedBlocks = attrs.field(factory=CachedBlocks)
    reported: float = 0.0
    reported_requests: int = 0
    sampled_at: float = -math.inf
    most_running: int = 0
    batch_limit: int | None = None
    full_reports: int = 0
    own: dict[str, _Own] = attrs.field(factory=dict)
    # (started, finished, work) of own requests that ended after the sample.
    ended: deque[tuple[float, float, float]] = attrs.field(factory=deque)


def _trust(age: float) -> float:
    return float(0.5 ** (max(0.0, age) / AGE_HALF_LIFE_S))


class Router:
    """Chooses engines and counts this node's requests on each of them.

    Work is measured in answer tokens. ``zone`` and ``region`` are the node's own.
    """

    def __init__(self, zone: str, region: str) -> None:
        """Start without engines."""
        self._zone = zone
        self._region = region
        self._engines: dict[str, _EngineState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._quarantined: dict[str, str] = {}
        self._reserved_elsewhere: frozenset[str] = frozenset()
        self._mean_answer = 64.0

    def configure(self, engines: Iterable[EngineInfo]) -> None:
        """Set the engines that exist; what is known about the kept ones stays."""
        states: dict[str, _EngineState] = {}
        for info in engines:
            state = self._engines.get(info.name) or _EngineState(info)
            state.info = info
            states[info.name] = state
        self._engines = states

    def set_leaving(self, names: Iterable[str]) -> None:
        """Set the engines that get no new work because they leave."""
        self._leaving = frozenset(names)

    def set_reserved_elsewhere(self, names: Iterable[str]) -> None:
        """Set the engines on which other nodes run suspected requests alone."""
        self._reserved_elsewhere = frozenset(names)

    def usable(self, engine: str) -> bool:
        """Return whether ``engine`` may get new work."""
        return (
            engine in self._engines
            and engine not in self._leaving
            and engine not in self._quarantined
            and engine not in self._reserved_elsewhere
        )

    def restarted(self, engine: str) -> None:
        """Forget the load and the cache of an engine whose process is gone."""
        state = self._engines.get(engine)
        if state is not None:
            state.cache.reset()
            state.reported = 0.0
            state.reported_requests = 0
            state.ended.clear()

    def quarantine(self, engine: str, attempt_id: str) -> None:
        """Reserve ``engine`` for one attempt at a suspected request."""
        self._quarantined[engine] = attempt_id

    def release(self, engine: str, attempt_id: str) -> None:
        """End the quarantine run of ``attempt_id`` on ``engine``."""
        if self._quarantined.get(engine) == attempt_id:
            del self._quarantined[engine]

    def cache(self, engine: str) -> CachedBlocks | None:
        """Return the cached blocks known for ``engine``, to apply events to."""
        state = self._engines.get(engine)
        return state.cache if state else None

    def in_flight(self, engine: str) -> int:
        """Return how many of this node's requests run on ``engine``."""
        state = self._engines.get(engine)
        return len(state.own) if state else 0

    def observe(self, report: LoadReport, now: float) -> None:
        """Take a load that became known at ``now``; older samples are ignored."""
        state = self._engines.get(report.engine)
        sampled_at = now - report.lag
        if state is None or sampled_at < state.sampled_at:
            return
        requests = report.running + report.waiting
        state.sampled_at = sampled_at
        state.reported_requests = requests
        state.reported = (
            requests * self._mean_answer / 2 + report.waiting_tokens * PREFILL_WEIGHT
        )
        if not report.exact:
            state.most_running = max(state.most_running, report.running)
            # A request waits for the next step even on an idle engine, so one
            # report with waiting requests does not show that the batch is full.
            state.full_reports = state.full_reports + 1 if report.waiting else 0
            full = state.full_reports >= 2
            state.batch_limit = max(1, report.running) if full else None
        while state.ended and state.ended[0][1] <= sampled_at:
            state.ended.popleft()

    def started(
        self, engine: str, attempt_id: str, request: RoutingRequest, now: float
    ) -> None:
        """Count an attempt that was sent to ``engine`` at ``now``."""
        state = self._engines.get(engine)
        if state is not None:
            work = self._work(state, request)
            state.own[attempt_id] = _Own(work, now)
            state.cache.touch(request.blocks)

    def finished(
        self, engine: str, attempt_id: str, now: float, answer_tokens: int | None = None
    ) -> None:
        """Stop counting an attempt; ``answer_tokens`` if its answer is complete."""
        state = self._engines.get(engine)
        own = state.own.pop(attempt_id, None) if state else None
        if state is None or own is None:
            return
        if own.started <= state.sampled_at < now:
            state.ended.append((own.started, now, own.work))
        if answer_tokens:
            self._mean_answer += (answer_tokens - self._mean_answer) * 0.05

    def load(self, engine: str, now: float, mean: float | None = None) -> float:
        """Return the expected work ahead on ``engine``.

        It is the last report, drawn towards ``mean`` as it ages, plus this node's
        attempts that the report does not cover, less those that have ended since.
        """
        state = self._engines[engine]
        load = state.reported
        if mean is not None:
            trust = _trust(now - state.sampled_at)
            load = trust * load + (1 - trust) * mean
        for own in state.own.values():
            if own.started > state.sampled_at:
                load += own.work
        for started, _, work in state.ended:
            if started <= state.sampled_at:
                load -= work / 2
        return max(0.0, load)

    def room(self, candidates: Iterable[str], now: float) -> int:
        """Return how many further requests the candidates can start at once.

        An engine's batch limit is learned from reports in a row that show requests
        waiting.
        One request of this node may always run on each engine, so that the other
        nodes' requests cannot shut this node out.
        """
        total = 0
        for name in self._usable(candidates, frozenset()):
            state = self._engines[name]
            uncovered = sum(
                own.started > state.sampled_at for own in state.own.values()
            )
            count = state.reported_requests + uncovered - len(state.ended)
            limit = state.batch_limit
            if limit is None:
                limit = state.most_running + HEADROOM
            total += max(limit - max(count, 0), 0 if state.own else 1)
        return total

    def choose(self, request: RoutingRequest, now: float, rng: Random) -> str | None:
        """Return the engine for ``request``, or ``None`` if there is no candidate."""
        names = self._usable(request.candidates, request.excluded)
        if not names:
            return None
        if len(names) == 1:
            return names[0]
        raw = [self.load(name, now) for name in names]
        mean = sum(raw) / len(raw)
        if request.blocks:
            # The bound has a floor of one request, so that an idle fleet keeps
            # its affinity.
            bound = BOUND * mean + self._mean_answer
            for name in favourites(request.blocks[0], names):
                if self.load(name, now, mean) <= bound:
                    return name
        first, second = rng.sample(names, 2)
        # All nodes see the same stale reports: if each took the better engine for
        # certain, that engine would get twice its share until the next report.
        oldest = min(self._engines[first].sampled_at, self._engines[second].sampled_at)
        if rng.random() > _trust(now - oldest):
            return first
        return self._better(first, second, request, now, mean)

    def quiet_engine(self, request: RoutingRequest, now: float) -> str | None:
        """Return the least loaded candidate with no own request, for a lone run."""
        names = [
            name
            for name in self._usable(request.candidates, request.excluded)
            if not self._engines[name].own
        ]
        return min(names, key=lambda name: (self.load(name, now), name), default=None)

    def _usable(self, names: Iterable[str], excluded: frozenset[str]) -> list[str]:
        usable = [name for name in names if name not in excluded and self.usable(name)]
        near = [n for n in usable if self._engines[n].info.region == self._region]
        return near or usable

    def _better(
        self, first: str, second: str, request: RoutingRequest, now: float, mean: float
    ) -> str:
        scores = [
            self.load(name, now, mean) + self._work(self._engines[name], request)
            for name in (first, second)
        ]
        if abs(scores[0] - scores[1]) <= TIE * max(scores):
            zones = [
                self._engines[name].info.availability_zone == self._zone
                for name in (first, second)
            ]
            if zones[0] != zones[1]:
                return first if zones[0] else second
        return first if scores[0] <= scores[1] else second

    def _work(self, state: _EngineState, request: RoutingRequest) -> float:
        cached = state.cache.leading(request.blocks) if request.blocks else 0
        cached_tokens = cached * BLOCK_BYTES / _BYTES_PER_TOKEN
        prefill = max(0.0, request.prompt_tokens - cached_tokens)
        answer = min(request.answer_tokens, self._mean_answer)
        return answer + prefill * PREFILL_WEIGHT
