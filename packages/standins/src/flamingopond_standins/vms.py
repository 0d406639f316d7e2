"""Stand-in for the platform's lagging list of VMs."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

from flamingopond_platform.vms import Vm
from flamingopond_platform.wire import decode
from flamingopond_standins.command import FaultFile, Listen, read_faults, run_server
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.http_server import (
    HttpReply,
    HttpRequest,
    HttpServer,
    json_reply,
)


class VmsServer(HttpServer):
    """Serves a list that shows each change ``lag_s`` seconds late.

    ``PUT /vms`` replaces the list, for tests and demonstrations.
    """

    def __init__(
        self,
        vms: Sequence[Vm] = (),
        *,
        lag_s: float = 0.5,
        faults: FaultTable | None = None,
    ) -> None:
        """Start with ``vms`` visible at once."""
        self.faults = faults or FaultTable()
        self._lag_s = lag_s
        self._visible = tuple(vms)
        self._coming: deque[tuple[float, tuple[Vm, ...]]] = deque()
        self._reads = 0
        super().__init__(self._handle, self.faults, lambda: {"reads": self._reads})

    def replace(self, vms: Sequence[Vm]) -> None:
        """Show ``vms`` once the lag has passed."""
        self._coming.append((time.monotonic() + self._lag_s, tuple(vms)))

    async def _handle(self, request: HttpRequest) -> HttpReply:
        if request.path != "/vms":
            return json_reply({}, 404)
        if request.method == "PUT":
            try:
                self.replace(decode(request.body, list[Vm]))
            except ValueError as error:
                return json_reply({"error": str(error)}, 400)
            return json_reply({})
        self._reads += 1
        while self._coming and self._coming[0][0] <= time.monotonic():
            self._visible = self._coming.popleft()[1]
        return json_reply(self._visible)


def main(
    listen: Listen,
    vms: Annotated[Path | None, typer.Option(help="JSON list of VMs.")] = None,
    lag_s: float = 0.5,
    faults: FaultFile = None,
) -> None:
    """Run the VM list stand-in."""
    listed = decode(vms.read_bytes(), list[Vm]) if vms else []
    server = VmsServer(listed, lag_s=lag_s, faults=read_faults(faults))
    run_server(server, listen)


if __name__ == "__main__":
    typer.run(main)
