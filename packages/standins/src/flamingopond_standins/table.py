"""Fake transactional table service."""

from __future__ import annotations

import attrs
import typer

from flamingopond_core.exceptions import TransactionConflictError
from flamingopond_platform.table import Condition, Write
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
from flamingopond_standins.memory import MemoryTable
from flamingopond_standins.rate_limiter import RateLimiter


@attrs.frozen
class _ReadRequest:
    keys: list[str]


@attrs.frozen
class _ScanRequest:
    prefixes: list[str]
    after: int = 0
    limit: int = 1000


@attrs.frozen
class _CommitRequest:
    conditions: list[Condition]
    writes: list[Write]


class TableServer(HttpServer):
    """Serves a ``MemoryTable`` over HTTP with rate limits on reads and writes."""

    def __init__(
        self,
        *,
        reads_per_s: float = 2000.0,
        writes_per_s: float = 500.0,
        faults: FaultTable | None = None,
    ) -> None:
        """Start with an empty table; a rate of 0 means no limit."""
        self.table = MemoryTable()
        self.faults = faults or FaultTable()
        self._read_limiter = RateLimiter(reads_per_s)
        self._write_limiter = RateLimiter(writes_per_s)
        self._counts = {"reads": 0, "writes": 0, "conflicts": 0, "turned_down": 0}
        super().__init__(self._handle, self.faults, self.records)

    def records(self) -> dict[str, int]:
        """Return the numbers of reads, writes, conflicts and rate-limited calls."""
        return self._counts

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        try:
            if request.path == "/table/commit":
                return await self._commit(decode(request.body, _CommitRequest))
            if request.path not in ("/table/read", "/table/scan"):
                return json_response({}, 404)
            if not await self._read_limiter.acquire():
                self._counts["turned_down"] += 1
                return json_response({}, 503)
            self._counts["reads"] += 1
            if request.path == "/table/read":
                rows = await self.table.read(decode(request.body, _ReadRequest).keys)
                return json_response(list(rows.values()))
            scan = decode(request.body, _ScanRequest)
            return json_response(
                await self.table.scan(scan.prefixes, scan.after, scan.limit)
            )
        except ValueError as error:
            return json_response({"error": str(error)}, 400)

    async def _commit(self, commit: _CommitRequest) -> HttpResponse:
        if not await self._write_limiter.acquire():
            self._counts["turned_down"] += 1
            return json_response({}, 503)
        self._counts["writes"] += 1
        try:
            version = await self.table.commit(commit.conditions, commit.writes)
        except TransactionConflictError as error:
            self._counts["conflicts"] += 1
            return json_response({"error": str(error)}, 409)
        return json_response({"version": version})


def main(
    listen: ListenOption,
    reads_per_s: float = 2000.0,
    writes_per_s: float = 500.0,
    faults: FaultsOption = None,
) -> None:
    """Run the fake table service."""
    server = TableServer(
        reads_per_s=reads_per_s, writes_per_s=writes_per_s, faults=read_faults(faults)
    )
    run_server(server, listen)


if __name__ == "__main__":
    typer.run(main)
