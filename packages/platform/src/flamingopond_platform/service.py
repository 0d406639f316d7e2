"""Plain services: interface and data types."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

import attrs


@attrs.frozen
class ServiceRequest:
    """A call to a plain service; ``path`` starts with a slash."""

    attempt_id: str
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes = b""
    query: str = ""


@attrs.frozen
class ServiceReply:
    """A service's whole reply."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@attrs.frozen
class ServiceReport:
    """A service's own load report."""

    instance: str
    running: int = 0
    draining: bool = False


class Service(Protocol):
    """One target of a plain service, reached at one address."""

    async def call(
        self, request: ServiceRequest, *, fresh_connection: bool = False
    ) -> ServiceReply:
        """Send the request once and return the reply.

        ``fresh_connection`` opens a new connection instead of a pooled one. Raises
        ``TargetUnreachableError`` if nothing was sent, otherwise ``TargetError``.
        """

    async def report(self) -> ServiceReport:
        """Return the newest load report."""
