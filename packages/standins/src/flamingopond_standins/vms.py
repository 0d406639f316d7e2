"""Fake VM list service, whose list lags behind changes."""

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

_MAX_KEPT_VERSIONS = 1000


class VmListServer(HttpServer):
    """Serves a VM list in which each change appears after ``lag_s``.

    ``PUT /vms`` replaces the list. ``GET /vms`` with ``after`` returns only the
    changes since that version, or the whole list if the version is too old.
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
        self._pending: deque[tuple[float, tuple[Vm, ...]]] = deque()
        self._instance = uuid.uuid4().hex[:8]
        self._version_number = 0
        # Version numbers and the names of the VMs changed in them, newest last.
        self._changed_names: deque[tuple[int, frozenset[str]]] = deque(
            maxlen=_MAX_KEPT_VERSIONS
        )
        self._reads = 0
        super().__init__(self._handle, self.faults, lambda: {"reads": self._reads})

    def replace(self, vms: Sequence[Vm]) -> None:
        """Make ``vms`` visible after the lag."""
        self._pending.append((time.monotonic() + self._lag_s, tuple(vms)))

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path != "/vms":
            return json_response({}, 404)
        if request.method == "PUT":
            try:
                self.replace(decode(request.body, list[Vm]))
            except ValueError as error:
                return json_response({"error": str(error)}, 400)
            return json_response({})
        self._reads += 1
        while self._pending and self._pending[0][0] <= time.monotonic():
            self._make_visible(self._pending.popleft()[1])
        if "after=" in request.query:
            return json_response(self._changes_since(request.query_parameter("after")))
        return json_response(self._visible)

    def _make_visible(self, vms: tuple[Vm, ...]) -> None:
        changed_vms = set(self._visible) ^ set(vms)
        if changed_vms:
            self._version_number += 1
            names = frozenset(vm.name for vm in changed_vms)
            self._changed_names.append((self._version_number, names))
        self._visible = vms

    def _changes_since(self, after: str) -> VmChanges:
        version = f"{self._instance}-{self._version_number}"
        instance, _, number = after.partition("-")
        known_number = int(number) if number.isdigit() else -1
        oldest_number = self._version_number - len(self._changed_names)
        if (
            instance != self._instance
            or not oldest_number <= known_number <= self._version_number
        ):
            return VmChanges(version, True, self._visible)
        names = {
            n
            for version_number, changed in self._changed_names
            if version_number > known_number
            for n in changed
        }
        listed = tuple(vm for vm in self._visible if vm.name in names)
        removed = names - {vm.name for vm in listed}
        return VmChanges(version, False, listed, tuple(sorted(removed)))


def main(
    listen: ListenOption,
    vms: Annotated[
        Path | None, typer.Option(help="JSON file with a list of VMs.")
    ] = None,
    lag_s: float = 0.5,
    faults: FaultsOption = None,
) -> None:
    """Run the fake VM list service."""
    listed = decode(vms.read_bytes(), list[Vm]) if vms else []
    server = VmListServer(listed, lag_s=lag_s, faults=read_faults(faults))
    run_server(server, listen)


if __name__ == "__main__":
    typer.run(main)
