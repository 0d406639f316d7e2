"""VMs and targets that are leaving: from the VM list, from operators, from peers."""

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
POLL_S = 1.0
# What a node said is forgotten after this silence; it repeats it at each gossip.
_REMOTE_LIFE_S = 10.0

_log = structlog.get_logger()


class Leaving:
    """The names of VMs and targets that get no new work.

    A drain that an operator ordered stays in force until the VM has left the list;
    every node that knows of it passes it on.
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
        """``on_change`` gets all names; ``on_own_drain`` is called to leave."""
        self._node = node
        self._vms = vms
        self._configuration = configuration
        self._on_change = on_change
        self._on_own_drain = on_own_drain
        self._clock = clock
        self._read: Sequence[Vm] = ()
        self._listed: dict[str, Vm] = {}
        self._listed_leaving: frozenset[str] = frozenset()
        self._drained: set[str] = set()
        self._remote: dict[str, tuple[float, frozenset[str]]] = {}
        self._names: frozenset[str] = frozenset()

    @property
    def names(self) -> frozenset[str]:
        """Names and addresses of all VMs and targets that are leaving."""
        return self._names

    @property
    def listed(self) -> Mapping[str, Vm]:
        """The VMs of the platform's list as it was read last, by name."""
        return self._listed

    async def drain(self, kind: str, name: str) -> Mapping[str, Any]:
        """Take the ``vm`` or ``target`` ``name`` out of service.

        Raises ``InvalidInputError`` if there is none.
        """
        known = name in self._listed or name in self._configuration().engines
        if kind not in ("vm", "target") or not known:
            raise InvalidInputError([Finding(f"{kind} {name}", "does not exist")])
        self._drained.add(name)
        self._update()
        return {"name": name, "state": "leaving"}

    def publish(self) -> bytes:
        """Return for gossip what this node knows by itself, and all drains."""
        names = sorted(self._own())
        return orjson.dumps([names, sorted(self._drained)]) if names else b""

    def receive(self, sender: str, body: bytes) -> None:
        """Take in another node's gossip."""
        names, drained = orjson.loads(body)
        self._remote[sender] = (self._clock(), frozenset(names))
        self._drained.update(drained)
        self._update()

    async def run(self) -> None:
        """Poll the VM list until cancelled."""
        while True:
            try:
                vms = await self._vms.list_vms()
            except PlatformUnavailableError as error:
                _log.warning("VM list cannot be read", error=str(error))
            else:
                if vms is not self._read:
                    self._take(vms)
            self._update()
            await anyio.sleep(POLL_S)

    def _take(self, vms: Sequence[Vm]) -> None:
        # The client returns the same list until something changes.
        self._read = vms
        listed = {vm.name: vm for vm in vms}
        # A drained VM that has gone may come back under its name.
        self._drained -= self._listed.keys() - listed.keys()
        self._listed = listed
        self._listed_leaving = frozenset(
            vm.name for vm in vms if vm.state is VmState.LEAVING
        )

    def _own(self) -> set[str]:
        return {*self._listed_leaving, *self._drained}

    def _update(self) -> None:
        now = self._clock()
        self._remote = {
            sender: (seen, names)
            for sender, (seen, names) in self._remote.items()
            if now - seen < _REMOTE_LIFE_S
        }
        found = self._own()
        for _, names in self._remote.values():
            found |= names
        addresses = {
            self._listed[name].address for name in found if name in self._listed
        }
        # All engines are looked through only if something is leaving.
        engines = {
            engine.name
            for engine in (self._configuration().engines.values() if addresses else ())
            if engine.address in addresses
        }
        names = frozenset(found | addresses | engines)
        if names != self._names:
            self._names = names
            self._on_change(names)
        if self._node in self._drained:
            self._on_own_drain()
