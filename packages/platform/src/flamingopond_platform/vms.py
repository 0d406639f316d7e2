"""The platform's list of VMs: interface and data types.

The list lags behind the real state of the VMs.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

import attrs


class VmState(StrEnum):
    """State of a listed VM; terminated VMs are not on the list."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One listed VM; ``role`` is ``entry`` for flamingopond's own VMs, else ``target``.

    ``address`` is ``ip:port``: the peer port of an entry VM, or the target itself.
    """

    name: str
    address: str
    availability_zone: str
    role: str
    state: VmState


@attrs.frozen
class VmChanges:
    """Changes of the list since the version that the client named.

    ``listed`` has the new and changed VMs, ``gone`` the names of VMs no longer
    listed. With ``whole``, ``listed`` has all VMs, because the named version is
    too old or unknown. ``version`` is opaque: after a restart, the service must
    not mistake versions from before the restart for its own.
    """

    version: str
    whole: bool
    listed: tuple[Vm, ...] = ()
    gone: tuple[str, ...] = ()


class VmList(Protocol):
    """The platform's list of VMs."""

    async def list_vms(self) -> Sequence[Vm]:
        """Return all VMs. Raises ``PlatformUnavailableError``."""
