"""httpx client of the object store."""

from __future__ import annotations

from urllib.parse import quote

from flamingopond_core.exceptions import PlatformUnavailableError
from flamingopond_platform.connection import Connection
from flamingopond_platform.platform_calls import platform_call


class ObjectStoreClient:
    """Implements ``ObjectStore`` over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        """Prepare a client of the object store at ``url``."""
        self._connection = Connection(
            url,
            connect_timeout_s=timeout_s / 2,
            silence_s=timeout_s,
            total_timeout_s=timeout_s,
        )

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; see ``ObjectStore.put``."""
        path = f"/objects/{quote(name, safe='/')}"
        reply = await platform_call(self._connection, "PUT", path, data, changes=True)
        if reply.status_code >= 300:
            raise PlatformUnavailableError(f"PUT {path}: status {reply.status_code}")

    async def get(self, name: str) -> bytes | None:
        """Return an object; see ``ObjectStore.get``."""
        path = f"/objects/{quote(name, safe='/')}"
        reply = await platform_call(self._connection, "GET", path)
        if reply.status_code == 404:
            return None
        if reply.status_code >= 300:
            raise PlatformUnavailableError(f"GET {path}: status {reply.status_code}")
        return reply.content

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()
