"""HTTP client of the platform's list of VMs."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import anyio

from flamingopond_platform.connection import ConnectionPool
from flamingopond_platform.platform_calls import call_platform, decode_response
from flamingopond_platform.vms import Vm, VmChanges


class VmListClient:
    """Implements ``VmList`` over HTTP; ``timeout_s`` limits each call.

    The first call fetches the whole list, which is 1.4 MB for 12,400 VMs, and
    later calls fetch its changes. The same tuple is returned until the list
    changes. A call within ``max_age_s`` of the last request reuses its result.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = 2.0,
        *,
        max_age_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create a client of the VM list at ``url``."""
        self._pool = ConnectionPool(
            url,
            connect_timeout_s=timeout_s / 2,
            read_timeout_s=timeout_s,
            total_timeout_s=timeout_s,
        )
        self._max_age_s = max_age_s
        self._clock = clock
        self._version = ""
        self._by_name: dict[str, Vm] = {}
        self._vms: tuple[Vm, ...] = ()
        self._requested_at: float | None = None
        self._lock = anyio.Lock()

    async def list_vms(self) -> Sequence[Vm]:
        """Return all VMs; see ``VmList.list_vms``."""
        async with self._lock:
            now = self._clock()
            if (
                self._requested_at is None
                or now - self._requested_at >= self._max_age_s
            ):
                await self._fetch_changes()
                self._requested_at = now
            return self._vms

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()

    async def _fetch_changes(self) -> None:
        path = f"/vms?after={self._version}"
        response = await call_platform(self._pool, "GET", path)
        changes = decode_response(response, VmChanges)
        if changes.whole:
            self._by_name.clear()
        if changes.whole or changes.listed or changes.gone:
            for name in changes.gone:
                self._by_name.pop(name, None)
            self._by_name.update((vm.name, vm) for vm in changes.listed)
            self._vms = tuple(self._by_name.values())
        self._version = changes.version
