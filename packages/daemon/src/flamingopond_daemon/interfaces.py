"""What the callers' path needs of the other subsystems."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from flamingopond_core.configuration import Configuration, ObjectId
from flamingopond_daemon.answers import Completion
from flamingopond_daemon.requests import ModelRequest
from flamingopond_platform.engine import Engine, EngineReport
from flamingopond_platform.service import ServiceRequest, ServiceResponse

Emit = Callable[[tuple[str, ...]], Awaitable[None]]
"""Passes on the next tokens of an answer."""


class ConfigurationSource(Protocol):
    """The configuration in force."""

    @property
    def configuration(self) -> Configuration:
        """The present configuration."""

    def serving(self, now: float) -> bool:
        """Return whether keyed requests may be served."""

    def subscribe(self, callback: Callable[[frozenset[ObjectId]], None]) -> None:
        """Call ``callback`` with the touched objects after each change."""


class ModelDispatcher(Protocol):
    """Runs model requests on engines."""

    async def generate(self, request: ModelRequest, emit: Emit) -> Completion:
        """Run ``request`` and pass its tokens to ``emit`` in order, each once.

        Raises ``RequestRefusedError``.
        """


class ServiceCaller(Protocol):
    """Makes calls to plain services."""

    async def call(
        self,
        workspace: str,
        service: str,
        request: ServiceRequest,
        idempotency_key: str | None,
    ) -> ServiceResponse:
        """Make one call, at most once where needed.

        ``workspace`` is empty on open routes. Raises ``RequestRefusedError``.
        """


class TokenReservation(Protocol):
    """Tokens set aside for one request."""


class TokenLimits(Protocol):
    """Rates and bursts of the workspaces."""

    async def reserve(self, workspace: str, tokens: int, deadline: float) -> Any:
        """Set tokens aside, waiting until ``deadline``.

        Raises ``RequestRefusedError``.
        """

    def settle(self, reservation: Any, used: int) -> None:
        """End a reservation of which ``used`` tokens were spent."""


class EngineDirectory(Protocol):
    """What is known about engines."""

    def report(self, engine: str) -> EngineReport | None:
        """Return the newest report known of an engine."""

    def placed(self, model: str) -> tuple[str, ...]:
        """Return the engines that hold a model (or adapter) ready to serve."""

    def demand(self, model: str, tokens: float, now: float) -> None:
        """Count prompt and answer tokens that callers asked of a model."""


class EngineClients(Protocol):
    """Clients of engines by name."""

    def get(self, engine: str) -> Engine | None:
        """Return the client of an engine, or ``None`` if it does not exist."""


class EventLog(Protocol):
    """The time line."""

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event."""
