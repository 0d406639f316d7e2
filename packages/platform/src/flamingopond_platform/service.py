"""Services without model engines: interface and data types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs


@attrs.frozen
class ServiceRequest:
    """One attempt at a call to a service; ``path`` starts with a slash."""

    attempt_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    query: str = ""


@attrs.frozen
class ServiceResponse:
    """The complete response of a service."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class ServiceReport:
    """The load that a target reports.

    ``instance`` names its process and ``running`` counts its requests.
    """

    instance: str
    running: int = 0
    draining: bool = False


class Service(Protocol):
    """One target of a service, at one address."""

    async def call(
        self, request: ServiceRequest, *, fresh_connection: bool = False
    ) -> ServiceResponse:
        """Send the request without retries and return the response.

        ``fresh_connection`` opens a new connection instead of reusing one. Raises
        ``TargetUnreachableError`` if nothing was sent, otherwise ``TargetError``.
        """

    async def report(self) -> ServiceReport:
        """Return the target's latest load report."""
