"""Seeded request arrivals: bursts, shifts of demand, skewed entries, disconnects."""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random

import attrs

from flamingopond_standins.answers import prompt_token_count

# Fraction of the callers that disconnect in the middle of an answer.
_DISCONNECT_FRACTION = 0.02
_ADAPTER_FRACTION = 0.5
_FIRST_TOKEN_TIMEOUT_S = (2.0, 4.0)
_PROMPT_WORDS = (12, 32)
_ANSWER_TOKENS = (24, 88)
_MEAN_RESERVED_TOKENS = 120.0


@attrs.frozen
class WorkspaceLoad:
    """Contract of a workspace; ``load`` is what it sends as a multiple of its rate."""

    name: str
    key: str
    rate: float
    burst: float
    load: float


@attrs.frozen(kw_only=True)
class WorkloadSpec:
    """Parameters of a load; ``entries`` is the number of entry nodes.

    ``models`` maps base models to their adapters. Half of the requests to a model with
    adapters name one of these.

    Each workspace sends ``burst_factor`` times its normal request rate in bursts of
    ``burst_s`` seconds, about once per ``burst_every_s`` seconds. Every ``shift_s``
    seconds, ``hot_models`` other models become ``shift_factor`` times as popular.
    """

    workspaces: tuple[WorkspaceLoad, ...]
    models: dict[str, tuple[str, ...]]
    seed: int
    seconds: float
    entries: int
    entry_skew: float = 0.8
    burst_factor: float = 2.5
    burst_s: float = 2.0
    burst_every_s: float = 8.0
    shift_s: float = 15.0
    shift_factor: float = 10.0
    model_skew: float = 0.7
    hot_models: int = 2


@attrs.frozen
class Arrival:
    """One request at ``at`` seconds.

    The caller gives up after ``first_token_timeout_s`` without a token, and disconnects
    after ``disconnect_after_tokens`` tokens unless that is 0.
    """

    at: float
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    entry: int
    first_token_timeout_s: float
    disconnect_after_tokens: int

    @property
    def engine_prompt(self) -> str:
        """The engine prompt that a daemon builds from the chat messages."""
        return f"user: {self.prompt}\nassistant: "

    @property
    def reserved_tokens(self) -> int:
        """Tokens that admission reserves: the prompt and ``max_tokens``."""
        return prompt_token_count(self.engine_prompt) + self.max_tokens


def generate_arrivals(spec: WorkloadSpec) -> list[Arrival]:
    """Return the requests of a load, sorted by time."""
    result: list[Arrival] = []
    rng = Random(f"{spec.seed}-fleet")
    shifts = math.ceil(spec.seconds / spec.shift_s)
    popularities = [_popularity_in_shift(spec, rng) for _ in range(shifts)]
    entry_weights = _zipf_weights(spec.entries, spec.entry_skew)
    rng.shuffle(entry_weights)
    for workspace in spec.workspaces:
        workspace_rng = Random(f"{spec.seed}-{workspace.name}")
        result += _workspace_arrivals(
            spec, workspace, popularities, entry_weights, workspace_rng
        )
    return sorted(result, key=lambda arrival: arrival.at)


def _zipf_weights(count: int, skew: float) -> list[float]:
    return [(rank + 1.0) ** -skew for rank in range(count)]


def base_popularity(spec: WorkloadSpec) -> dict[str, float]:
    """Return the relative popularity of the models without shifts.

    It is the same for all seeds.
    """
    names = sorted(spec.models)
    return dict(zip(names, _zipf_weights(len(names), spec.model_skew), strict=True))


def _popularity_in_shift(spec: WorkloadSpec, rng: Random) -> dict[str, float]:
    """Return the popularity of the models during one shift period."""
    popularity = base_popularity(spec)
    # The most popular quarter stays as it is: its share cannot grow tenfold.
    hot = rng.sample(sorted(popularity)[len(popularity) // 4 :], spec.hot_models)
    return {
        name: weight * (spec.shift_factor if name in hot else 1.0)
        for name, weight in popularity.items()
    }


def _workspace_arrivals(
    spec: WorkloadSpec,
    workspace: WorkspaceLoad,
    popularities: Sequence[dict[str, float]],
    entry_weights: Sequence[float],
    rng: Random,
) -> list[Arrival]:
    burst_fraction = spec.burst_s / spec.burst_every_s
    mean_per_s = workspace.rate * workspace.load / _MEAN_RESERVED_TOKENS
    quiet_per_s = mean_per_s / (
        1.0 - burst_fraction + burst_fraction * spec.burst_factor
    )
    burst_at = rng.uniform(0.0, spec.burst_every_s)
    now = 0.0
    result: list[Arrival] = []
    while True:
        bursting = burst_at <= now < burst_at + spec.burst_s
        if now >= burst_at + spec.burst_s:
            pause_s = spec.burst_every_s - spec.burst_s
            burst_at += spec.burst_s + rng.uniform(0.5, 1.5) * pause_s
        now += rng.expovariate(quiet_per_s * (spec.burst_factor if bursting else 1.0))
        if now >= spec.seconds:
            return result
        popularity = popularities[int(now / spec.shift_s)]
        model = rng.choices(list(popularity), list(popularity.values()))[0]
        adapters = spec.models[model]
        if adapters and rng.random() < _ADAPTER_FRACTION:
            model = rng.choice(adapters)
        words = [
            f"{rng.getrandbits(32):08x}" for _ in range(rng.randint(*_PROMPT_WORDS))
        ]
        max_tokens = rng.randint(*_ANSWER_TOKENS)
        disconnects = rng.random() < _DISCONNECT_FRACTION
        result.append(
            Arrival(
                at=now,
                workspace=workspace.name,
                model=model,
                prompt=f"workspace={workspace.name} {model} {' '.join(words)}",
                max_tokens=max_tokens,
                entry=rng.choices(range(len(entry_weights)), entry_weights)[0],
                first_token_timeout_s=rng.uniform(*_FIRST_TOKEN_TIMEOUT_S),
                disconnect_after_tokens=rng.randint(4, 12) if disconnects else 0,
            )
        )
