"""HTTP client of the weight store."""

from __future__ import annotations

from flamingopond_platform.connection import ConnectionPool
from flamingopond_platform.platform_calls import call_platform, decode_response
from flamingopond_platform.weights import WeightStoreStatus


class WeightStoreClient:
    """Implements ``WeightStore`` over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Create a client of the weight store at ``url``."""
        self._pool = ConnectionPool(
            url,
            connect_timeout_s=timeout_s / 2,
            read_timeout_s=timeout_s,
            total_timeout_s=timeout_s,
        )

    async def status(self) -> WeightStoreStatus:
        """Return the current load and limits; see ``WeightStore.status``."""
        response = await call_platform(self._pool, "GET", "/weights/status")
        return decode_response(response, WeightStoreStatus)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
