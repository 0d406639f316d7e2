"""Structured logs on standard output, rate-limited and non-blocking."""

from __future__ import annotations

import os
import sys
from collections.abc import MutableMapping
from typing import Any

import msgspec
import structlog

# Log lines per second of one process; lines beyond that are counted and dropped.
LINES_PER_S = 200
# Lines that may be written at once after a quiet period.
MAX_BURST_LINES = 400

EventDict = MutableMapping[str, Any]
_encoder = msgspec.json.Encoder(enc_hook=str)


class LineRateLimiter:
    """A token bucket of log lines."""

    def __init__(
        self, rate: float = LINES_PER_S, burst: float = MAX_BURST_LINES
    ) -> None:
        """Start with a full bucket."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._updated = 0.0
        self._dropped = 0

    def take(self, now: float) -> int | None:
        """Admit a line; return how many were dropped before it, or None to drop it."""
        self._tokens = min(
            self._burst, self._tokens + (now - self._updated) * self._rate
        )
        self._updated = now
        if self._tokens < 1:
            self._dropped += 1
            return None
        self._tokens -= 1
        dropped, self._dropped = self._dropped, 0
        return dropped


class LogWriter:
    """Writes lines to a file descriptor without blocking the process."""

    def __init__(self, descriptor: int) -> None:
        """Make ``descriptor`` non-blocking."""
        self._descriptor = descriptor
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self) -> int:
        """Number of lines that the reader has not taken."""
        return self._dropped

    def msg(self, message: bytes) -> None:
        """Write a line; drop it if the reader does not keep up, or has gone."""
        try:
            os.write(self._descriptor, message + b"\n")
        except OSError:
            # Serving requests takes precedence over logging.
            self._dropped += 1

    debug = info = warning = error = critical = msg


def _render(_logger: Any, _name: str, event: EventDict) -> bytes:
    return _encoder.encode(event)


def _rate_limit(clock: Any) -> Any:
    limiter = LineRateLimiter()

    def check(_logger: Any, _name: str, event: EventDict) -> EventDict:
        dropped = limiter.take(clock())
        if dropped is None:
            raise structlog.DropEvent
        if dropped:
            event["lines_left_out"] = dropped
        return event

    return check


def configure_logs(node: str, clock: Any) -> LogWriter:
    """Configure structlog and return what writes its lines.

    ``clock`` returns a monotonic time in seconds.
    """

    def stamp(_logger: Any, name: str, event: EventDict) -> EventDict:
        event["at"] = round(clock(), 3)
        event["node"] = node
        event["level"] = name
        return event

    writer = LogWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            _rate_limit(clock),
            structlog.processors.format_exc_info,
            stamp,
            _render,
        ],
        logger_factory=lambda *_: writer,
        cache_logger_on_first_use=True,
    )
    return writer
