"""httpx client of the platform's list of VMs."""

from __future__ import annotations

from collections.abc import Sequence

from flamingopond_platform.connection import Connection
from flamingopond_platform.platform_calls import decode_reply, platform_call
from flamingopond_platform.vms import Vm


class VmListClient:
    """Implements ``VmList`` over HTTP; ``timeout_s`` limits each call."""

    def __init__(self, url: str, timeout_s: float = 2.0) -> None:
        """Prepare a client of the list at ``url``."""
        self._connection = Connection(
            url,
            connect_timeout_s=timeout_s / 2,
            silence_s=timeout_s,
            total_timeout_s=timeout_s,
        )

    async def list_vms(self) -> Sequence[Vm]:
        """Return all VMs; see ``VmList.list_vms``."""
        reply = await platform_call(self._connection, "GET", "/vms")
        return decode_reply(reply, list[Vm])

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()
