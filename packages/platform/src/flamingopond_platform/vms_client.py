"""httpx client of the platform's list of VMs."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import anyio

from flamingopond_platform.connection import Connection
from flamingopond_platform.platform_calls import decode_reply, platform_call
from flamingopond_platform.vms import Vm, VmChanges


class VmListClient:
    """Implements ``VmList`` over HTTP; ``timeout_s`` limits each call.

    After the first reply only changes are read: the whole list of 12,400 VMs has
    1.4 MB. The same tuple comes back as long as nothing has changed. Callers that
    ask within ``reuse_s`` seconds of the last reply's request share that reply.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = 2.0,
        *,
        reuse_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepare a client of the list at ``url``."""
        self._connection = Connection(
            url,
            connect_timeout_s=timeout_s / 2,
            silence_s=timeout_s,
            total_timeout_s=timeout_s,
        )
        self._reuse_s = reuse_s
        self._clock = clock
        self._version = ""
        self._by_name: dict[str, Vm] = {}
        self._listed: tuple[Vm, ...] = ()
        self._asked_at: float | None = None
        self._asking = anyio.Lock()

    async def list_vms(self) -> Sequence[Vm]:
        """Return all VMs; see ``VmList.list_vms``."""
        async with self._asking:
            now = self._clock()
            if self._asked_at is None or now - self._asked_at >= self._reuse_s:
                await self._read_changes()
                self._asked_at = now
            return self._listed

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()

    async def _read_changes(self) -> None:
        path = f"/vms?after={self._version}"
        reply = await platform_call(self._connection, "GET", path)
        changes = decode_reply(reply, VmChanges)
        if changes.whole:
            self._by_name.clear()
        if changes.whole or changes.listed or changes.gone:
            for name in changes.gone:
                self._by_name.pop(name, None)
            self._by_name.update((vm.name, vm) for vm in changes.listed)
            self._listed = tuple(self._by_name.values())
        self._version = changes.version
