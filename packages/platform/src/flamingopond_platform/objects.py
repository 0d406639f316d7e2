"""The object store: interface."""

from __future__ import annotations

from typing import Protocol


class ObjectStore(Protocol):
    """A store of immutable byte strings by name."""

    async def put(self, name: str, data: bytes) -> None:
        """Store ``data`` under ``name``, overwriting any data that it holds.

        Raises ``PlatformUnavailableError`` or ``OutcomeUnknownError``.
        """

    async def get(self, name: str) -> bytes | None:
        """Return the data, or ``None`` if there is none under ``name``.

        Raises ``PlatformUnavailableError``.
        """
