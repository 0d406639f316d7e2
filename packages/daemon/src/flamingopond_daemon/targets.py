"""Clients of the configured engines, kept for as long as their address."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from flamingopond_core.configuration import Configuration
from flamingopond_platform.engine import Engine
from flamingopond_platform.engine_client import EngineClient


class EngineTargets:
    """Clients by engine name; ``silence_s`` is the silence that ends a stream."""

    def __init__(
        self,
        configuration: Callable[[], Configuration],
        silence_s: float,
        call_timeout_s: float,
    ) -> None:
        """Start without clients; they are made on first use."""
        self._configuration = configuration
        self._silence_s = silence_s
        self._call_timeout_s = call_timeout_s
        self._clients: dict[str, tuple[str, EngineClient]] = {}
        self._unused: list[EngineClient] = []

    def get(self, engine: str) -> Engine | None:
        """Return the client of ``engine``, or ``None`` if it is not configured."""
        target = self._configuration().engines.get(engine)
        if target is None:
            return None
        known = self._clients.get(engine)
        if known is not None:
            if known[0] == target.address:
                return known[1]
            self._unused.append(known[1])
        client = EngineClient(
            target.address,
            silence_s=self._silence_s,
            call_timeout_s=self._call_timeout_s,
        )
        self._clients[engine] = (target.address, client)
        return client

    async def run(self) -> None:
        """Close the clients of engines that were removed or have moved."""
        while True:
            await anyio.sleep(30.0)
            engines = self._configuration().engines
            for name in self._clients.keys() - engines.keys():
                self._unused.append(self._clients.pop(name)[1])
            # Streams that are still running on them end first.
            unused, self._unused = self._unused, []
            await anyio.sleep(120.0 if unused else 0.0)
            for client in unused:
                await client.aclose()
