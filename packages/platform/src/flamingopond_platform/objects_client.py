"""HTTP client of the object store."""

from __future__ import annotations

from urllib.parse import quote

from flamingopond_core.exceptions import PlatformUnavailableError
from flamingopond_platform.connection import ConnectionPool
from flamingopond_platform.platform_calls import call_platform

# Objects hold outcomes of calls, whose bodies grow by a third in JSON, and snapshots
# of the configuration.
MAX_OBJECT_BYTES = 64 * 1024 * 1024


class ObjectStoreClient:
    """Implements ``ObjectStore`` over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, url: str, timeout_s: float = 5.0) -> None:
        """Create a client of the object store at ``url``."""
        self._pool = ConnectionPool(
            url,
            connect_timeout_s=timeout_s / 2,
            read_timeout_s=timeout_s,
            total_timeout_s=timeout_s,
        )

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; see ``ObjectStore.put``."""
        path = f"/objects/{quote(name, safe='/')}"
        response = await call_platform(self._pool, "PUT", path, data, mutating=True)
        if response.status_code >= 300:
            raise PlatformUnavailableError(f"PUT {path}: status {response.status_code}")

    async def get(self, name: str) -> bytes | None:
        """Return an object; see ``ObjectStore.get``."""
        path = f"/objects/{quote(name, safe='/')}"
        response = await call_platform(
            self._pool, "GET", path, max_bytes=MAX_OBJECT_BYTES
        )
        if response.status_code == 404:
            return None
        if response.status_code >= 300:
            raise PlatformUnavailableError(f"GET {path}: status {response.status_code}")
        return response.content

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
