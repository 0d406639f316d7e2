"""Readiness after a start: discovery of engines that hold the models."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import anyio

from flamingopond_daemon.interfaces import ConfigurationSource, EventLog

_CHECK_PERIOD_S = 0.1
# Model names listed in the event if discovery is incomplete.
_MAX_MISSING_NAMES = 20


class EngineLocator(Protocol):
    """The part of the engine directory that is used here."""

    def serving_engines(self, model: str) -> tuple[str, ...]:
        """Return the engines that have a model loaded and ready."""


class EngineDiscovery:
    """Waits after a start until an engine is known for each configured model.

    Once complete, it stays complete: a model that loses its engines later, or is
    added later, affects all daemons alike, so that is no reason to take a daemon out
    of the load balancer.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        engines: EngineLocator,
        events: EventLog,
        timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``timeout_s`` counts from the time at which the node has a configuration."""
        self._source = source
        self._engines = engines
        self._events = events
        self._timeout_s = timeout_s
        self._clock = clock
        self._configured_at: float | None = None
        self._complete = False

    @property
    def complete(self) -> bool:
        """Whether all models have a known engine, or the time limit has passed."""
        return self._complete

    async def run(self) -> None:
        """Run until discovery is complete."""
        while not self.check(self._clock()):
            await anyio.sleep(_CHECK_PERIOD_S)

    def check(self, now: float) -> bool:
        """Return whether discovery is complete at ``now``."""
        if self._complete or not self._source.may_serve(now):
            return self._complete
        if self._configured_at is None:
            self._configured_at = now
        models = self._source.configuration.models
        missing = [name for name in models if not self._engines.serving_engines(name)]
        # Without a time limit, a model that fits on no engine would keep every
        # restarted daemon out of service.
        if not missing or now - self._configured_at >= self._timeout_s:
            self._complete = True
            self._events.record(
                "engines_discovered",
                models=len(models),
                missing=len(missing),
                names=sorted(missing)[:_MAX_MISSING_NAMES],
            )
        return self._complete
