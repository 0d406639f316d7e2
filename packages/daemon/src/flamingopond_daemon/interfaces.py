"""Interfaces of the subsystems that serve callers' requests."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from flamingopond_core.configuration import Configuration, ObjectId
from flamingopond_daemon.requests import ModelRequest
from flamingopond_daemon.responses import Completion
from flamingopond_platform.engine import Engine, EngineReport
from flamingopond_platform.service import ServiceRequest, ServiceResponse

Emit = Callable[[tuple[str, ...]], Awaitable[None]]
"""Callback that gets the next tokens of an answer."""


class ConfigurationSource(Protocol):
    """Source of the current configuration."""

    @property
    def configuration(self) -> Configuration:
        """The current configuration."""

    def may_serve(self, now: float) -> bool:
        """Tell whether requests with an API key may be served."""

    def subscribe(self, callback: Callable[[frozenset[ObjectId]], None]) -> None:
        """Call ``callback`` with the ids of the changed objects after each change."""


class ModelDispatcher(Protocol):
    """Runs model requests on engines."""

    async def generate(self, request: ModelRequest, emit: Emit) -> Completion:
        """Run ``request`` and pass each token of the answer to ``emit`` once, in order.

        Raises ``RequestRefusedError``.
        """


class ServiceCaller(Protocol):
    """Calls plain services."""

    async def call(
        self,
        workspace: str,
        service: str,
        request: ServiceRequest,
        idempotency_key: str | None,
    ) -> ServiceResponse:
        """Call a service; with an idempotency key, at most once.

        ``workspace`` is empty on open routes. Raises ``RequestRefusedError``.
        """


class TokenReservation(Protocol):
    """Tokens reserved for one request."""


class TokenLimits(Protocol):
    """Token rate limits of the workspaces."""

    async def reserve(self, workspace: str, tokens: int, deadline: float) -> Any:
        """Reserve tokens, waiting for them until ``deadline`` at most.

        Raises ``RequestRefusedError``.
        """

    def settle(self, reservation: Any, used: int) -> None:
        """Close a reservation, of which ``used`` tokens were spent."""


class EngineDirectory(Protocol):
    """Known state of the engines."""

    def report(self, engine: str) -> EngineReport | None:
        """Return the newest known report of an engine."""

    def serving_engines(self, model: str) -> tuple[str, ...]:
        """Return the engines that have a model or adapter loaded and ready."""

    def record_demand(self, model: str, tokens: float, now: float) -> None:
        """Record demand for a model, in prompt and answer tokens."""


class EngineClients(Protocol):
    """Clients of engines by name."""

    def get(self, engine: str) -> Engine | None:
        """Return the client of an engine, or ``None`` if it does not exist."""


class EventLog(Protocol):
    """Log of events."""

    def record(self, kind: str, **fields: Any) -> None:
        """Record an event."""
