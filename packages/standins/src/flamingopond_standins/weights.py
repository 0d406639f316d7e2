"""Fake weight store with a rate limit and limited bandwidth."""

from __future__ import annotations

import random

import anyio
import attrs
import typer

from flamingopond_platform.weights import WeightStoreStatus
from flamingopond_platform.wire import decode
from flamingopond_standins.command import (
    FaultsOption,
    ListenOption,
    read_faults,
    run_server,
)
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from flamingopond_standins.rate_limiter import RateLimiter


@attrs.frozen
class WeightLoadRequest:
    """Body of a load request; ``adapter`` is empty for a whole model."""

    model: str
    version: str = ""
    adapter: str = ""


class WeightStoreServer(HttpServer):
    """Starts at most ``loads_per_s`` model loads per second.

    Beyond ``parallel`` model loads in flight, each takes proportionally longer;
    likewise adapter loads beyond ``adapter_parallel``. ``adapter_s`` is the range
    of the duration of an adapter load.
    """

    def __init__(
        self,
        *,
        loads_per_s: float = 2.0,
        parallel: int = 16,
        load_s: float = 2.0,
        adapter_parallel: int = 130,
        adapter_s: tuple[float, float] = (0.005, 0.015),
        seed: int = 0,
        faults: FaultTable | None = None,
    ) -> None:
        """Start without loads."""
        self.faults = faults or FaultTable()
        self._parallel = parallel
        self._loads_per_s = loads_per_s
        self._load_s = load_s
        self._adapter_parallel = adapter_parallel
        self._adapter_s = adapter_s
        self._rng = random.Random(seed)
        self._load_limiter = RateLimiter(loads_per_s, max_wait_s=30.0)
        self._active = {"model": 0, "adapter": 0}
        self._peak = {"model": 0, "adapter": 0}
        self._counts = {"model_loads": 0, "adapter_loads": 0, "turned_down": 0}
        super().__init__(
            self._handle,
            self.faults,
            lambda: {**self._counts, "active": self._active, "peak": self._peak},
        )

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/weights/status":
            active = self._active["model"]
            return json_response(
                WeightStoreStatus(active, self._parallel, self._loads_per_s)
            )
        if request.path != "/weights/load" or request.method != "POST":
            return json_response({}, 404)
        load = decode(request.body, WeightLoadRequest)
        if load.adapter:
            self._counts["adapter_loads"] += 1
            min_s, max_s = self._adapter_s
            duration_s = self._rng.uniform(min_s, max_s)
            await self._transfer("adapter", duration_s, self._adapter_parallel)
            return json_response({})
        if not await self._load_limiter.acquire():
            self._counts["turned_down"] += 1
            return json_response({}, 503)
        self._counts["model_loads"] += 1
        await self._transfer("model", self._load_s, self._parallel)
        return json_response({})

    async def _transfer(self, kind: str, duration_s: float, limit: int) -> None:
        self._active[kind] += 1
        self._peak[kind] = max(self._peak[kind], self._active[kind])
        try:
            remaining_s = duration_s
            while remaining_s > 1e-6:
                # Recomputed in each slice, since other loads start and end.
                slowdown = max(1.0, self._active[kind] / limit)
                slice_s = min(remaining_s, max(duration_s / 20, 0.001))
                await anyio.sleep(slice_s * slowdown)
                remaining_s -= slice_s
        finally:
            self._active[kind] -= 1


def main(
    listen: ListenOption,
    loads_per_s: float = 2.0,
    parallel: int = 16,
    load_s: float = 2.0,
    adapter_parallel: int = 130,
    faults: FaultsOption = None,
) -> None:
    """Run the fake weight store."""
    server = WeightStoreServer(
        loads_per_s=loads_per_s,
        parallel=parallel,
        load_s=load_s,
        adapter_parallel=adapter_parallel,
        faults=read_faults(faults),
    )
    run_server(server, listen)


if __name__ == "__main__":
    typer.run(main)
