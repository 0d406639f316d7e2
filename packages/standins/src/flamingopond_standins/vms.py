"""Stand-in for the platform's lagging list of VMs."""

from __future__ import annotations

import time
import uuid
from collections import deque
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

from flamingopond_platform.vms import Vm, VmChanges
from flamingopond_platform.wire import decode
from flamingopond_standins.command import FaultFile, Listen, read_faults, run_server
from flamingopond_standins.faults import FaultTable
from flamingopond_standins.http_server import (
    HttpReply,
    HttpRequest,
    HttpServer,
    json_reply,
)

_VERSIONS_KEPT = 1000


class VmsServer(HttpServer):
    """Serves a list that shows each change ``lag_s`` seconds late.

    ``PUT /vms`` replaces the list, for tests and demonstrations. ``GET /vms`` with
    ``after`` returns only what changed since that version, for the last versions.
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
        self._instance = uuid.uuid4().hex[:8]
        self._number = 0
        # The changed names of each of the last versions, newest last.
        self._changed: deque[tuple[int, frozenset[str]]] = deque(maxlen=_VERSIONS_KEPT)
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
            self._show(self._coming.popleft()[1])
        if "after=" in request.query:
            return json_reply(self._changes(request.parameter("after")))
        return json_reply(self._visible)

    def _show(self, vms: tuple[Vm, ...]) -> None:
        differing = set(self._visible) ^ set(vms)
        if differing:
            self._number += 1
            names = frozenset(vm.name for vm in differing)
            self._changed.append((self._number, names))
        self._visible = vms

    def _changes(self, after: str) -> VmChanges:
        version = f"{self._instance}-{self._number}"
        instance, _, number = after.partition("-")
        known = int(number) if number.isdigit() else -1
        oldest = self._number - len(self._changed)
        if instance != self._instance or not oldest <= known <= self._number:
            return VmChanges(version, True, self._visible)
        names = {n for at, changed in self._changed if at > known for n in changed}
        listed = tuple(vm for vm in self._visible if vm.name in names)
        gone = names - {vm.name for vm in listed}
        return VmChanges(version, False, listed, tuple(sorted(gone)))


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
