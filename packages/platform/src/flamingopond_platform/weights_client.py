"""httpx client of the weight store."""

from __future__ import annotations

from flamingopond_platform.connection import Connection
from flamingopond_platform.platform_calls import decode_reply, platform_call
from flamingopond_platform.weights import WeightStoreStatus


class WeightStoreClient:
    """Implements ``WeightStore`` over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Prepare a client of the weight store at ``url``."""
        self._connection = Connection(
            url,
            connect_timeout_s=timeout_s / 2,
            silence_s=timeout_s,
            total_timeout_s=timeout_s,
        )

    async def status(self) -> WeightStoreStatus:
        """Return the present load; see ``WeightStore.status``."""
        reply = await platform_call(self._connection, "GET", "/weights/status")
        return decode_reply(reply, WeightStoreStatus)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()
