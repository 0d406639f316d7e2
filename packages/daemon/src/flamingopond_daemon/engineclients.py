"""Pool of clients of the configured engines."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from flamingopond_core.configuration import Configuration
from flamingopond_platform.engine import Engine
from flamingopond_platform.engine_client import EngineClient

# Clients unused for this long are closed. Over time a node sends requests to all
# engines of its region, and 3,000 clients take 98 MB. Idle connections are closed
# after 30 s anyway.
IDLE_CLIENT_TIMEOUT_S = 30.0
_SWEEP_PERIOD_S = 30.0
_RETIRED_LIFETIME_S = 120.0


class EngineClientPool:
    """Clients by engine name.

    A stream fails if no data arrives for ``read_timeout_s``.
    """

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        read_timeout_s: float,
        call_timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create an empty pool; clients are created on first use."""
        self._configuration = configuration
        self._read_timeout_s = read_timeout_s
        self._call_timeout_s = call_timeout_s
        self._clock = clock
        self._clients: dict[str, tuple[str, EngineClient]] = {}
        self._last_used: dict[str, float] = {}
        self._retired: list[tuple[float, EngineClient]] = []

    def get(self, engine: str) -> Engine | None:
        """Return the client of ``engine``, or ``None`` if it is not configured."""
        target = self._configuration().engines.get(engine)
        if target is None:
            return None
        self._last_used[engine] = self._clock()
        existing = self._clients.get(engine)
        if existing is not None:
            if existing[0] == target.address:
                return existing[1]
            self._retired.append((self._clock(), existing[1]))
        client = EngineClient(
            target.address,
            read_timeout_s=self._read_timeout_s,
            call_timeout_s=self._call_timeout_s,
        )
        self._clients[engine] = (target.address, client)
        return client

    async def close_idle(self) -> None:
        """Close clients that have no open stream and were not used recently."""
        limit = self._clock() - IDLE_CLIENT_TIMEOUT_S
        for name, (_, client) in list(self._clients.items()):
            if self._last_used[name] < limit and not client.has_open_stream:
                del self._clients[name], self._last_used[name]
                await client.aclose()

    async def run(self) -> None:
        """Close idle clients and those whose engine was removed or has moved."""
        while True:
            await anyio.sleep(_SWEEP_PERIOD_S)
            await self.close_idle()
            engines = self._configuration().engines
            for name in self._clients.keys() - engines.keys():
                del self._last_used[name]
                self._retired.append((self._clock(), self._clients.pop(name)[1]))
            # Retired clients are closed later, so that their open streams can end.
            limit = self._clock() - _RETIRED_LIFETIME_S
            expired = [client for since, client in self._retired if since < limit]
            self._retired = [item for item in self._retired if item[0] >= limit]
            for client in expired:
                await client.aclose()
