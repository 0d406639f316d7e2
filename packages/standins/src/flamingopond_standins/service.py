"""Fake service target with idempotent lookups and non-idempotent actions."""

from __future__ import annotations

import time
from typing import Any
from uuid import uuid4

import anyio
import typer

from flamingopond_platform.service import ServiceReport
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
    exit_on_crash,
    json_response,
)


class ServiceServer(HttpServer):
    """Handles lookups (``GET``, ``HEAD``, ``OPTIONS``, ``/lookup…``) and actions.

    Every run is recorded with method, path, query, headers, body and the value of
    ``Idempotency-Key``. The service itself never suppresses duplicates.
    """

    def __init__(
        self,
        *,
        service_s: float = 0.005,
        faults: FaultTable | None = None,
        exit_when_crashed: bool = False,
    ) -> None:
        """Take ``service_s`` seconds for each request."""
        self.faults = faults or FaultTable()
        self.draining = False
        self._service_s = service_s
        self._instance = uuid4().hex
        self._running = 0
        self._runs: list[dict[str, Any]] = []
        super().__init__(
            self._handle,
            self.faults,
            lambda: {"instance": self._instance, "runs": self._runs},
            exit_on_crash if exit_when_crashed else self._restart,
        )

    @property
    def runs(self) -> list[dict[str, Any]]:
        """All runs so far, including those of earlier instances."""
        return self._runs

    def _restart(self) -> None:
        self._instance = uuid4().hex
        self._running = 0

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path == "/service/report":
            report = ServiceReport(self._instance, self._running, self.draining)
            return json_response(report)
        idempotent = request.method in ("GET", "HEAD", "OPTIONS") or (
            request.path.startswith("/lookup")
        )
        run = {
            "method": request.method,
            "path": request.path,
            "query": request.query,
            "headers": dict(request.headers),
            "body": request.body.decode(errors="replace"),
            "marker": request.headers.get("idempotency-key", ""),
            "idempotent": idempotent,
            "started": time.monotonic(),
        }
        self._runs.append(run)
        self._running += 1
        try:
            await anyio.sleep(self._service_s)
        finally:
            self._running = max(0, self._running - 1)
        number = None if idempotent else len(self._runs)
        return json_response(
            {
                "path": request.path,
                "marker": run["marker"],
                "number": number,
                "echo": run["body"],
            }
        )


def main(
    listen: ListenOption,
    service_s: float = 0.005,
    exit_when_crashed: bool = True,
    faults: FaultsOption = None,
) -> None:
    """Run the fake service."""
    server = ServiceServer(
        service_s=service_s,
        faults=read_faults(faults),
        exit_when_crashed=exit_when_crashed,
    )
    run_server(server, listen)


if __name__ == "__main__":
    typer.run(main)
