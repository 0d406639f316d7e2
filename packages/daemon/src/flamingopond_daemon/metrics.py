"""Prometheus metrics of one daemon."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

_FIRST_TOKEN_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.3, 0.44, 0.6, 1.0, 2.0, 5.0)


class Metrics:
    """Metrics of a daemon; other subsystems may add theirs to ``registry``."""

    def __init__(self) -> None:
        """Create the metrics in a new registry, so that tests do not share state."""
        self.registry = CollectorRegistry()
        self.answers = Counter(
            "flamingopond_answers_total",
            "Callers' requests by outcome",
            ["outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "flamingopond_refusals_total",
            "Refused or failed requests by error code and workspace",
            ["code", "workspace"],
            registry=self.registry,
        )
        self.tokens = Counter(
            "flamingopond_tokens_total",
            "Prompt and answer tokens charged",
            ["workspace"],
            registry=self.registry,
        )
        self.attempts = Counter(
            "flamingopond_attempts_total",
            "Attempts at a target by kind",
            ["kind"],
            registry=self.registry,
        )
        self.dropped_chunks = Counter(
            "flamingopond_dropped_chunks_total",
            "Chunks dropped for a foreign attempt id or an index already passed on",
            registry=self.registry,
        )
        self.running = Gauge(
            "flamingopond_requests_running",
            "Callers' requests in progress",
            registry=self.registry,
        )
        self.first_token = Histogram(
            "flamingopond_first_token_seconds",
            "Time from a request's arrival to its first token",
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
