"""Clients of the configured engines, kept for as long as their address."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from flamingopond_core.configuration import Configuration
from flamingopond_platform.engine import Engine
from flamingopond_platform.engine_client import EngineClient

# A node sends requests to all engines of its region sooner or later; 3,000 clients
# would take 98 MB. Idle connections are closed after 30 s anyway.
KEPT_S = 30.0
_SWEEP_S = 30.0
_DRAIN_S = 120.0


class EngineTargets:
    """Clients by engine name; ``silence_s`` is the silence that ends a stream."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        silence_s: float,
        call_timeout_s: float,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without clients; they are made on first use."""
        self._configuration = configuration
        self._silence_s = silence_s
        self._call_timeout_s = call_timeout_s
        self._clock = clock
        self._clients: dict[str, tuple[str, EngineClient]] = {}
        self._used: dict[str, float] = {}
        self._unused: list[tuple[float, EngineClient]] = []

    def get(self, engine: str) -> Engine | None:
        """Return the client of ``engine``, or ``None`` if it is not configured."""
        target = self._configuration().engines.get(engine)
        if target is None:
            return None
        self._used[engine] = self._clock()
        known = self._clients.get(engine)
        if known is not None:
            if known[0] == target.address:
                return known[1]
            self._unused.append((self._clock(), known[1]))
        client = EngineClient(
            target.address,
            read_timeout_s=self._silence_s,
            call_timeout_s=self._call_timeout_s,
        )
        self._clients[engine] = (target.address, client)
        return client

    async def close_unused(self) -> None:
        """Close the clients without streams that were not asked for lately."""
        limit = self._clock() - KEPT_S
        for name, (_, client) in list(self._clients.items()):
            if self._used[name] < limit and not client.has_open_stream:
                del self._clients[name], self._used[name]
                await client.aclose()

    async def run(self) -> None:
        """Close the clients that are not used, or whose engines are gone or moved."""
        while True:
            await anyio.sleep(_SWEEP_S)
            await self.close_unused()
            engines = self._configuration().engines
            for name in self._clients.keys() - engines.keys():
                del self._used[name]
                self._unused.append((self._clock(), self._clients.pop(name)[1]))
            # Streams that are still running on them end first.
            limit = self._clock() - _DRAIN_S
            ended = [client for since, client in self._unused if since < limit]
            self._unused = [item for item in self._unused if item[0] >= limit]
            for client in ended:
                await client.aclose()
