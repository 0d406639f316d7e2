"""VMs and targets being drained, from the VM list, operators and peers."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import anyio
import orjson
import structlog

from flamingopond_core.configuration import Configuration
from flamingopond_core.exceptions import InvalidInputError, PlatformUnavailableError
from flamingopond_core.findings import Finding
from flamingopond_platform.vms import Vm, VmList, VmState

TOPIC = "drains"
VM_LIST_POLL_S = 1.0
# Names from another node expire after this time without a message; nodes repeat
# them in each gossip message.
_REMOTE_TTL_S = 10.0

_log = structlog.get_logger()


class DrainTracker:
    """Tracks the VMs and targets that get no new requests.

    A drain ordered by an operator stays in force until the VM has left the VM list.
    Every node that knows of it gossips it.
    """

    def __init__(
        self,
        node: str,
        vms: VmList,
        configuration: Callable[[], Configuration],
        on_change: Callable[[frozenset[str]], None],
        on_own_drain: Callable[[], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """``on_change`` gets all names; ``on_own_drain`` must drain ``node``."""
        self._node = node
        self._vms = vms
        self._configuration = configuration
        self._on_change = on_change
        self._on_own_drain = on_own_drain
        self._clock = clock
        self._newest_list: Sequence[Vm] = ()
        self._listed_vms: dict[str, Vm] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._ordered_drains: set[str] = set()
        self._remote_names: dict[str, tuple[float, frozenset[str]]] = {}
        self._names: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """Names and addresses of all VMs and targets that are leaving."""
        return self._names

    @property
    def listed_vms(self) -> Mapping[str, Vm]:
        """VMs by name, as of the newest VM list."""
        return self._listed_vms

    async def drain(self, kind: str, name: str) -> Mapping[str, Any]:
        """Take the ``vm`` or ``target`` called ``name`` out of service.

        Raises ``InvalidInputError`` if it does not exist.
        """
        known = name in self._listed_vms or name in self._configuration().engines
        if kind not in ("vm", "target") or not known:
            raise InvalidInputError([Finding(f"{kind} {name}", "does not exist")])
        self._ordered_drains.add(name)
        self._update()
        return {"name": name, "state": "leaving"}

    def publish(self) -> bytes:
        """Return names this node knows first-hand, and all drains, for gossip."""
        names = sorted(self._first_hand_names())
        return orjson.dumps([names, sorted(self._ordered_drains)]) if names else b""

    def receive(self, sender: str, body: bytes) -> None:
        """Merge another node's gossip."""
        names, drained = orjson.loads(body)
        self._remote_names[sender] = (self._clock(), frozenset(names))
        self._ordered_drains.update(drained)
        self._update()

    async def run(self) -> None:
        """Poll the VM list until cancelled."""
        while True:
            try:
                vms = await self._vms.list_vms()
            except PlatformUnavailableError as error:
                _log.warning("VM list cannot be read", error=str(error))
            else:
                # VmListClient returns the same object until the list changes.
                if vms is not self._newest_list:
                    self._apply_list(vms)
            self._update()
            await anyio.sleep(VM_LIST_POLL_S)

    def _apply_list(self, vms: Sequence[Vm]) -> None:
        self._newest_list = vms
        listed_vms = {vm.name: vm for vm in vms}
        # A new VM may later use the name of a drained VM that is gone.
        self._ordered_drains -= self._listed_vms.keys() - listed_vms.keys()
        self._listed_vms = listed_vms
        self._listed_leaving = frozenset(
            vm.name for vm in vms if vm.state is VmState.LEAVING
        )

    def _first_hand_names(self) -> set[str]:
        return {*self._listed_leaving, *self._ordered_drains}

    def _update(self) -> None:
        now = self._clock()
        self._remote_names = {
            sender: (received_at, names)
            for sender, (received_at, names) in self._remote_names.items()
            if now - received_at < _REMOTE_TTL_S
        }
        leaving = self._first_hand_names()
        for _, names in self._remote_names.values():
            leaving |= names
        addresses = {
            self._listed_vms[name].address
            for name in leaving
            if name in self._listed_vms
        }
        # Engines are only searched if something is leaving.
        engines = {
            engine.name
            for engine in (self._configuration().engines.values() if addresses else ())
            if engine.address in addresses
        }
        names = frozenset(leaving | addresses | engines)
        if names != self._names:
            self._names = names
            self._on_change(names)
        if self._node in self._ordered_drains:
            self._on_own_drain()
