"""Prefill rates of engines, estimated from the answers to this gateway."""

from __future__ import annotations

from attrs import define, field

# Assumed until measured, prompt tokens per second.
DEFAULT_PREFILL_TOKENS_PER_S = 15000.0
# Bounds of the estimate. Engines prefill 19,000 to 26,000 tokens per second, and more
# where they have cached parts of the prompts.
MIN_PREFILL_TOKENS_PER_S = 8000.0
MAX_PREFILL_TOKENS_PER_S = 40000.0
# Factor by which a new sample reduces the weight of older ones; about 100 count.
SAMPLE_DECAY = 0.99
# The default rate counts as this many samples with this spread (in tokens), since a
# few prompts of similar size, or of an engine that slows down, say little about the
# slope.
PRIOR_SAMPLES = 12.0
PRIOR_SPREAD_TOKENS = 1000.0
# Time to first event that is assumed until there are MIN_SAMPLES samples.
DEFAULT_FIRST_EVENT_S = 0.15
MIN_SAMPLES = 10.0
# Engines that also prefill other prompts take up to this many times as long as for a
# single one: the 90th percentile under high load.
FIRST_EVENT_MARGIN = 1.5


@define
class _Regression:
    """Linear regression of seconds on tokens, with decaying weights."""

    count: float = 0.0
    tokens: float = 0.0
    seconds: float = 0.0
    squares: float = 0.0
    products: float = 0.0

    def add(self, tokens: float, seconds: float) -> None:
        self.count = self.count * SAMPLE_DECAY + 1
        self.tokens = self.tokens * SAMPLE_DECAY + tokens
        self.seconds = self.seconds * SAMPLE_DECAY + seconds
        self.squares = self.squares * SAMPLE_DECAY + tokens * tokens
        self.products = self.products * SAMPLE_DECAY + tokens * seconds

    def seconds_per_token(self) -> float:
        """Return the slope; the intercept is the engine's fixed latency."""
        spread = product = 0.0
        if self.count:
            spread = self.squares - self.tokens**2 / self.count
            product = self.products - self.tokens * self.seconds / self.count
        prior = PRIOR_SAMPLES * PRIOR_SPREAD_TOKENS**2
        return (product + prior / DEFAULT_PREFILL_TOKENS_PER_S) / (spread + prior)


@define
class PrefillRateEstimator:
    """Estimates of prefill rate and time to first event, by service."""

    _regressions: dict[str, _Regression] = field(factory=dict)

    def tokens_per_s(self, service: str) -> float:
        """Return the prompt tokens per second that an engine of a service prefills."""
        regression = self._regressions.get(service)
        if regression is None:
            return DEFAULT_PREFILL_TOKENS_PER_S
        slope = max(regression.seconds_per_token(), 1 / MAX_PREFILL_TOKENS_PER_S)
        return max(1 / slope, MIN_PREFILL_TOKENS_PER_S)

    def first_event_s(self, service: str) -> float:
        """Return the time to plan for from sending a prompt to its first event."""
        regression = self._regressions.get(service)
        if regression is None or regression.count < MIN_SAMPLES:
            return DEFAULT_FIRST_EVENT_S
        return FIRST_EVENT_MARGIN * regression.seconds / regression.count

    def record_first_event(self, service: str, tokens: int, elapsed_s: float) -> None:
        """Record the time to first event of a prompt that an engine prefilled alone."""
        self._regressions.setdefault(service, _Regression()).add(tokens, elapsed_s)
