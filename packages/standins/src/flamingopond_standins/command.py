"""Options and start-up shared by the commands of all fakes."""

from __future__ import annotations

from contextlib import suppress
from pathlib import Path
from typing import Annotated

import anyio
import typer

from flamingopond_standins.faults import FaultTable
from flamingopond_standins.http_server import HttpServer

ListenOption = Annotated[str, typer.Option(help="Address as ip:port.")]
FaultsOption = Annotated[
    Path | None, typer.Option(help="JSON file with the faults to inject.")
]


def read_faults(path: Path | None) -> FaultTable:
    """Return the fault table in the file at ``path``, or an empty one."""
    table = FaultTable()
    if path is not None:
        table.replace_from_json(path.read_bytes())
    return table


def run_server(server: HttpServer, listen: str) -> None:
    """Serve until interrupted."""

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run, listen)
            print(f"listening on {server.address}", flush=True)

    with suppress(KeyboardInterrupt):
        anyio.run(main)
