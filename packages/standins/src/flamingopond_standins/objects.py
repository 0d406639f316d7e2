"""Fake object store."""

from __future__ import annotations

import typer

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
from flamingopond_standins.memory import MemoryObjectStore


class ObjectStoreServer(HttpServer):
    """Serves a ``MemoryObjectStore`` over HTTP."""

    def __init__(self, *, faults: FaultTable | None = None) -> None:
        """Start empty."""
        self.objects = MemoryObjectStore()
        self.faults = faults or FaultTable()
        self._counts = {"puts": 0, "gets": 0}
        super().__init__(self._handle, self.faults, lambda: self._counts)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        name = request.path.removeprefix("/objects/")
        if name == request.path or not name:
            return json_response({}, 404)
        if request.method == "PUT":
            self._counts["puts"] += 1
            await self.objects.put(name, request.body)
            return json_response({})
        self._counts["gets"] += 1
        data = await self.objects.get(name)
        if data is None:
            return json_response({}, 404)
        return HttpResponse(body=data, content_type="application/octet-stream")


def main(listen: ListenOption, faults: FaultsOption = None) -> None:
    """Run the fake object store."""
    run_server(ObjectStoreServer(faults=read_faults(faults)), listen)


if __name__ == "__main__":
    typer.run(main)
