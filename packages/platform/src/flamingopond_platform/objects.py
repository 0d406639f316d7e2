"""The object store: interface."""

from __future__ import annotations

from typing import Protocol


class ObjectStore(Protocol):
    """Keeps immutable byte strings under string names."""

    async def put(self, name: str, data: bytes) -> None:
        """Store ``data``; storing the same name again overwrites it.

        Raises ``PlatformUnavailableError`` or ``OutcomeUnknownError``.
        """

    async def get(self, name: str) -> bytes | None:
        """Return the data, or ``None``. Raises ``PlatformUnavailableError``."""
