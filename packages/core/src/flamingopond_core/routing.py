"""Chooses an engine for each request from load reports that are out of date."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence
from random import Random

import attrs

from flamingopond_core.blocks import BLOCK_BYTES
from flamingopond_core.prefix import CachedBlocks, preferred_engines

# Cost of a prompt token in answer tokens. Prefill handles many tokens a step, so it is
# about a tenth.
PREFILL_WEIGHT = 0.1
# A preferred engine may have up to this multiple of the candidates' mean load.
LOAD_BOUND_FACTOR = 1.25
# Scores that differ by at most this fraction of the larger one count as equal.
TIE_FRACTION = 0.05
# Age at which a report has half its weight. In the simulation of
# tests/core/test_routing.py, 1 s keeps the busiest engine below 2 times the mean load
# with reports 0.3 to 2 s old; 2 s does not.
AGE_HALF_LIFE_S = 1.0
# Engines publish a report about this long after the state that it describes.
REPORT_LAG_S = 0.5
# An engine without a known batch limit may get this many requests more than it was ever
# reported to run. Reports come only once a second. A value of 8 was too low: an idle
# engine with a batch of 32 refused part of a burst of 16.
HEADROOM_REQUESTS = 32
_BYTES_PER_TOKEN = 4


@attrs.frozen
class EngineInfo:
    """An engine's name and location, from the configuration."""

    name: str
    availability_zone: str
    region: str


@attrs.frozen
class LoadReport:
    """An engine's load as of ``lag_s`` seconds before the report arrived.

    ``running`` and ``waiting`` count requests, ``waiting_tokens`` the prompt tokens not
    yet processed. ``from_answer`` marks a load that was sent with an answer: it has
    no lag, but only the sum ``running + waiting`` is known (in ``running``).
    """

    engine: str
    running: int
    waiting: int = 0
    waiting_tokens: int = 0
    lag_s: float = REPORT_LAG_S
    from_answer: bool = False


@attrs.frozen
class RoutingRequest:
    """Input to the choice of an engine; every candidate holds the model and adapter.

    ``prefix_block_names`` names the blocks of the prompt, as ``prefix_blocks`` does.
    """

    candidates: Sequence[str]
    prompt_tokens: int
    answer_tokens: int
    prefix_block_names: Sequence[str] = ()
    excluded: frozenset[str] = frozenset()


@attrs.define
class _OwnAttempt:
    """An attempt of this node that is in flight on an engine."""

    work: float
    started_at: float


@attrs.define
class _EngineState:
    """This node's knowledge of one engine."""

    info: EngineInfo
    cache: CachedBlocks = attrs.field(factory=CachedBlocks)
    reported_work: float = 0.0
    reported_requests: int = 0
    sampled_at: float = -math.inf
    max_running: int = 0
    batch_limit: int | None = None
    consecutive_full_reports: int = 0
    own_attempts: dict[str, _OwnAttempt] = attrs.field(factory=dict)
    # (started_at, finished_at, work) of own attempts that ended after the sample.
    ended_attempts: deque[tuple[float, float, float]] = attrs.field(factory=deque)


def _report_trust(age_s: float) -> float:
    return float(0.5 ** (max(0.0, age_s) / AGE_HALF_LIFE_S))


class Router:
    """Chooses engines and tracks this node's attempts on each of them.

    Work is measured in answer tokens. ``zone`` and ``region`` are the node's own.
    """

    def __init__(self, zone: str, region: str) -> None:
        """Start without engines."""
        self._zone = zone
        self._region = region
        self._engines: dict[str, _EngineState] = {}
        self._leaving: frozenset[str] = frozenset()
        self._reserved: dict[str, str] = {}
        self._reserved_elsewhere: frozenset[str] = frozenset()
        self._mean_answer_tokens = 64.0

    def configure(self, engines: Iterable[EngineInfo]) -> None:
        """Set the existing engines; the state of those that remain is kept."""
        states: dict[str, _EngineState] = {}
        for info in engines:
            state = self._engines.get(info.name) or _EngineState(info)
            state.info = info
            states[info.name] = state
        self._engines = states

    def set_leaving(self, names: Iterable[str]) -> None:
        """Set the engines that are leaving and get no new work."""
        self._leaving = frozenset(names)

    def set_reserved_elsewhere(self, names: Iterable[str]) -> None:
        """Set the engines that other nodes have reserved for suspect requests."""
        self._reserved_elsewhere = frozenset(names)

    def usable(self, engine: str) -> bool:
        """Return whether ``engine`` may get new work."""
        return (
            engine in self._engines
            and engine not in self._leaving
            and engine not in self._reserved
            and engine not in self._reserved_elsewhere
        )

    def reset_engine(self, engine: str) -> None:
        """Reset the load and cache of an engine whose process has ended."""
        state = self._engines.get(engine)
        if state is not None:
            state.cache.reset()
            state.reported_work = 0.0
            state.reported_requests = 0
            state.ended_attempts.clear()

    def reserve(self, engine: str, attempt_id: str) -> None:
        """Reserve ``engine`` for one attempt of a suspect request."""
        self._reserved[engine] = attempt_id

    def release(self, engine: str, attempt_id: str) -> None:
        """Release ``engine`` if it is reserved for ``attempt_id``."""
        if self._reserved.get(engine) == attempt_id:
            del self._reserved[engine]

    def cache(self, engine: str) -> CachedBlocks | None:
        """Return the cache estimate of ``engine``, to apply cache events to."""
        state = self._engines.get(engine)
        return state.cache if state else None

    def in_flight(self, engine: str) -> int:
        """Return the number of this node's requests in flight on ``engine``."""
        state = self._engines.get(engine)
        return len(state.own_attempts) if state else 0

    def observe(self, report: LoadReport, now: float) -> None:
        """Apply a load that arrived at ``now``, unless a newer sample is known."""
        state = self._engines.get(report.engine)
        sampled_at = now - report.lag_s
        if state is None or sampled_at < state.sampled_at:
            return
        requests = report.running + report.waiting
        state.sampled_at = sampled_at
        state.reported_requests = requests
        state.reported_work = (
            requests * self._mean_answer_tokens / 2
            + report.waiting_tokens * PREFILL_WEIGHT
        )
        if not report.from_answer:
            state.max_running = max(state.max_running, report.running)
            # A request waits for the next step even on an idle engine, so one
            # report with waiting requests does not show that the batch is full.
            state.consecutive_full_reports = (
                state.consecutive_full_reports + 1 if report.waiting else 0
            )
            batch_full = state.consecutive_full_reports >= 2
            state.batch_limit = max(1, report.running) if batch_full else None
        while state.ended_attempts and state.ended_attempts[0][1] <= sampled_at:
            state.ended_attempts.popleft()

    def record_start(
        self, engine: str, attempt_id: str, request: RoutingRequest, now: float
    ) -> None:
        """Record an attempt sent to ``engine`` at ``now``."""
        state = self._engines.get(engine)
        if state is not None:
            work = self._work(state, request)
            state.own_attempts[attempt_id] = _OwnAttempt(work, now)
            state.cache.touch(request.prefix_block_names)

    def record_finish(
        self, engine: str, attempt_id: str, now: float, answer_tokens: int | None = None
    ) -> None:
        """Remove an attempt; ``answer_tokens`` is given if its answer is complete."""
        state = self._engines.get(engine)
        attempt = state.own_attempts.pop(attempt_id, None) if state else None
        if state is None or attempt is None:
            return
        if attempt.started_at <= state.sampled_at < now:
            state.ended_attempts.append((attempt.started_at, now, attempt.work))
        if answer_tokens:
            self._mean_answer_tokens += (
                answer_tokens - self._mean_answer_tokens
            ) * 0.05

    def load(self, engine: str, now: float, mean_load: float | None = None) -> float:
        """Return the estimated outstanding work on ``engine``.

        It is the last report, weighted towards ``mean_load`` as it ages, plus this
        node's attempts started after the sample, minus those that ended after it.
        """
        state = self._engines[engine]
        load = state.reported_work
        if mean_load is not None:
            trust = _report_trust(now - state.sampled_at)
            load = trust * load + (1 - trust) * mean_load
        for attempt in state.own_attempts.values():
            if attempt.started_at > state.sampled_at:
                load += attempt.work
        for started_at, _, work in state.ended_attempts:
            if started_at <= state.sampled_at:
                load -= work / 2
        return max(0.0, load)

    def available_slots(self, candidates: Iterable[str], now: float) -> int:
        """Return how many more requests the candidates can start at once.

        An engine's batch limit is inferred from consecutive reports with waiting
        requests. An engine without requests of this node always counts as able to
        start one, so that other nodes' requests cannot starve this node's.
        """
        total = 0
        for name in self._usable(candidates, frozenset()):
            state = self._engines[name]
            started_since_sample = sum(
                attempt.started_at > state.sampled_at
                for attempt in state.own_attempts.values()
            )
            occupied = (
                state.reported_requests
                + started_since_sample
                - len(state.ended_attempts)
            )
            limit = state.batch_limit
            if limit is None:
                limit = state.max_running + HEADROOM_REQUESTS
            total += max(limit - max(occupied, 0), 0 if state.own_attempts else 1)
        return total

    def choose(self, request: RoutingRequest, now: float, rng: Random) -> str | None:
        """Return an engine for ``request``, or ``None`` if there is no candidate."""
        names = self._usable(request.candidates, request.excluded)
        if not names:
            return None
        if len(names) == 1:
            return names[0]
        loads = [self.load(name, now) for name in names]
        mean_load = sum(loads) / len(loads)
        if request.prefix_block_names:
            # Allow for at least one request, so that an idle fleet keeps its prefix
            # affinity.
            load_bound = LOAD_BOUND_FACTOR * mean_load + self._mean_answer_tokens
            for name in preferred_engines(request.prefix_block_names[0], names):
                if self.load(name, now, mean_load) <= load_bound:
                    return name
        first, second = rng.sample(names, 2)
        # All nodes see the same stale reports: if each always took the less loaded
        # engine, that engine would get twice its share until the next report.
        oldest = min(self._engines[first].sampled_at, self._engines[second].sampled_at)
        if rng.random() > _report_trust(now - oldest):
            return first
        return self._less_loaded(first, second, request, now, mean_load)

    def reservation_candidate(self, request: RoutingRequest, now: float) -> str | None:
        """Return the least loaded engine for a suspect request, or ``None``.

        Candidates with other requests of this node are skipped.
        """
        names = [
            name
            for name in self._usable(request.candidates, request.excluded)
            if not self._engines[name].own_attempts
        ]
        return min(names, key=lambda name: (self.load(name, now), name), default=None)

    def _usable(self, names: Iterable[str], excluded: frozenset[str]) -> list[str]:
        usable = [name for name in names if name not in excluded and self.usable(name)]
        in_region = [n for n in usable if self._engines[n].info.region == self._region]
        return in_region or usable

    def _less_loaded(
        self,
        first: str,
        second: str,
        request: RoutingRequest,
        now: float,
        mean_load: float,
    ) -> str:
        scores = [
            self.load(name, now, mean_load) + self._work(self._engines[name], request)
            for name in (first, second)
        ]
        if abs(scores[0] - scores[1]) <= TIE_FRACTION * max(scores):
            in_own_zone = [
                self._engines[name].info.availability_zone == self._zone
                for name in (first, second)
            ]
            if in_own_zone[0] != in_own_zone[1]:
                return first if in_own_zone[0] else second
        return first if scores[0] <= scores[1] else second

    def _work(self, state: _EngineState, request: RoutingRequest) -> float:
        cached = (
            state.cache.cached_prefix_length(request.prefix_block_names)
            if request.prefix_block_names
            else 0
        )
        cached_tokens = cached * BLOCK_BYTES / _BYTES_PER_TOKEN
        prefill_tokens = max(0.0, request.prompt_tokens - cached_tokens)
        answer_tokens = min(request.answer_tokens, self._mean_answer_tokens)
        return answer_tokens + prefill_tokens * PREFILL_WEIGHT
