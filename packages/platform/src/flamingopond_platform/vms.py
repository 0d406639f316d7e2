"""The platform's lagging list of live and leaving VMs: interface and data types."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

import attrs


class VmState(StrEnum):
    """State of a VM on the platform's list. A VM that is gone is not listed."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class Vm:
    """One listed VM; ``role`` is ``entry`` for flamingopond's own VMs, else ``target``.

    ``address`` is ``ip:port`` of the peer port for entry VMs and of the target
    otherwise.
    """

    name: str
    address: str
    availability_zone: str
    role: str
    state: VmState


@attrs.frozen
class VmChanges:
    """What changed after a version of the list.

    ``listed`` are new and changed VMs, ``gone`` the names of those that are no
    longer listed. ``whole`` marks a reply that has all VMs, because the version
    asked for is too old or not known. Versions are opaque: those of a list that
    was restarted must not be taken for earlier ones.
    """

    version: str
    whole: bool
    listed: tuple[Vm, ...] = ()
    gone: tuple[str, ...] = ()


class VmList(Protocol):
    """The platform's list of VMs."""

    async def list_vms(self) -> Sequence[Vm]:
        """Return all VMs. Raises ``PlatformUnavailableError``."""
