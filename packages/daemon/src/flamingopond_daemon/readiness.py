"""Whether a daemon that has started knows the engines of its models."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Protocol

import anyio

from flamingopond_daemon.interfaces import ConfigurationSource, EventLog

_CHECK_S = 0.1
# Names of models in the event of an incomplete start.
_MISSING_SHOWN = 20


class PlacedEngines(Protocol):
    """What is needed of the engines."""

    def placed(self, model: str) -> tuple[str, ...]:
        """Return the engines that hold a model ready to serve."""


class EngineDiscovery:
    """Watches, after a start, until each configured model has a known engine.

    It ends for good: a model that loses its engines later, or is new, concerns all
    daemons alike, so none of them must leave the load balancer because of it.
    """

    def __init__(
        self,
        source: ConfigurationSource,
        engines: PlacedEngines,
        events: EventLog,
        limit_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``limit_s`` is counted from when the node has a configuration."""
        self._source = source
        self._engines = engines
        self._events = events
        self._limit_s = limit_s
        self._clock = clock
        self._configured_at: float | None = None
        self._complete = False

    @property
    def complete(self) -> bool:
        """Whether the engines of all models are known, or the limit has passed."""
        return self._complete

    async def run(self) -> None:
        """Check until complete."""
        while not self.check(self._clock()):
            await anyio.sleep(_CHECK_S)

    def check(self, now: float) -> bool:
        """Return whether discovery is complete at ``now``."""
        if self._complete or not self._source.serving(now):
            return self._complete
        if self._configured_at is None:
            self._configured_at = now
        models = self._source.configuration.models
        missing = [name for name in models if not self._engines.placed(name)]
        # Without a limit, one model that fits on no engine would keep every
        # restarted daemon out of service.
        if not missing or now - self._configured_at >= self._limit_s:
            self._complete = True
            self._events.record(
                "engines_discovered",
                models=len(models),
                missing=len(missing),
                names=sorted(missing)[:_MISSING_SHOWN],
            )
        return self._complete
