"""Seeded request arrivals: bursts, shifting demand, skewed entries, abandonment."""

from __future__ import annotations

import math
from collections.abc import Sequence
from random import Random

import attrs

from flamingopond_standins.answers import prompt_token_count

# Share of the callers that hang up in the middle of an answer.
_HANG_UP_SHARE = 0.02
_ADAPTER_SHARE = 0.5
_PATIENCE_S = (2.0, 4.0)
_PROMPT_WORDS = (12, 32)
_ANSWER_TOKENS = (24, 88)
_MEAN_WANTED = 120.0


@attrs.frozen
class WorkspaceLoad:
    """One workspace's contract and what it sends, as a multiple of its rate."""

    name: str
    key: str
    rate: float
    burst: float
    load: float


@attrs.frozen(kw_only=True)
class WorkloadSpec:
    """Shape of a load; times in seconds, ``entries`` is the number of entry nodes.

    ``models`` are the base models with their adapters; half of the requests to a
    model with adapters name one of these.

    Each workspace sends ``burst_factor`` times its usual rate during bursts of
    ``burst_s``, on average once in ``burst_every_s``. In each part of ``shift_s``
    other models are asked for ten times as often as usual.
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
    """One request; ``patience_s`` bounds the wait for the first token."""

    at: float
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    entry: int
    patience_s: float
    hang_up_after: int

    @property
    def text(self) -> str:
        """The text that a daemon makes of the chat messages."""
        return f"user: {self.prompt}\nassistant: "

    @property
    def wanted(self) -> int:
        """Prompt and most answer tokens: what is reserved for the request."""
        return prompt_token_count(self.text) + self.max_tokens


def arrivals(spec: WorkloadSpec) -> list[Arrival]:
    """Return the requests of a load in the order of their times."""
    result: list[Arrival] = []
    rng = Random(f"{spec.seed}-fleet")
    shifts = math.ceil(spec.seconds / spec.shift_s)
    weights = [_weights(spec, rng) for _ in range(shifts)]
    entries = _skewed(spec.entries, spec.entry_skew)
    rng.shuffle(entries)
    for workspace in spec.workspaces:
        own = Random(f"{spec.seed}-{workspace.name}")
        result += _of_workspace(spec, workspace, weights, entries, own)
    return sorted(result, key=lambda arrival: arrival.at)


def _skewed(count: int, skew: float) -> list[float]:
    return [(rank + 1.0) ** -skew for rank in range(count)]


def usual_popularity(spec: WorkloadSpec) -> dict[str, float]:
    """Return the popularity of the models, which is the same for all seeds."""
    names = sorted(spec.models)
    return dict(zip(names, _skewed(len(names), spec.model_skew), strict=True))


def _weights(spec: WorkloadSpec, rng: Random) -> dict[str, float]:
    """Return the popularity of the models during one shift."""
    usual = usual_popularity(spec)
    # The most popular models stay as they are: ten times their share is not possible.
    hot = rng.sample(sorted(usual)[len(usual) // 4 :], spec.hot_models)
    return {n: w * (spec.shift_factor if n in hot else 1.0) for n, w in usual.items()}


def _of_workspace(
    spec: WorkloadSpec,
    workspace: WorkspaceLoad,
    weights: Sequence[dict[str, float]],
    entries: Sequence[float],
    rng: Random,
) -> list[Arrival]:
    duty = spec.burst_s / spec.burst_every_s
    usual = workspace.rate * workspace.load / _MEAN_WANTED
    quiet = usual / (1.0 - duty + duty * spec.burst_factor)
    burst_at = rng.uniform(0.0, spec.burst_every_s)
    now = 0.0
    result: list[Arrival] = []
    while True:
        bursting = burst_at <= now < burst_at + spec.burst_s
        if now >= burst_at + spec.burst_s:
            rest = spec.burst_every_s - spec.burst_s
            burst_at += spec.burst_s + rng.uniform(0.5, 1.5) * rest
        now += rng.expovariate(quiet * (spec.burst_factor if bursting else 1.0))
        if now >= spec.seconds:
            return result
        popularity = weights[int(now / spec.shift_s)]
        model = rng.choices(list(popularity), list(popularity.values()))[0]
        adapters = spec.models[model]
        if adapters and rng.random() < _ADAPTER_SHARE:
            model = rng.choice(adapters)
        words = [
            f"{rng.getrandbits(32):08x}" for _ in range(rng.randint(*_PROMPT_WORDS))
        ]
        max_tokens = rng.randint(*_ANSWER_TOKENS)
        hang_up = rng.random() < _HANG_UP_SHARE
        result.append(
            Arrival(
                at=now,
                workspace=workspace.name,
                model=model,
                prompt=f"workspace={workspace.name} {model} {' '.join(words)}",
                max_tokens=max_tokens,
                entry=rng.choices(range(len(entries)), entries)[0],
                patience_s=rng.uniform(*_PATIENCE_S),
                hang_up_after=rng.randint(4, 12) if hang_up else 0,
            )
        )
