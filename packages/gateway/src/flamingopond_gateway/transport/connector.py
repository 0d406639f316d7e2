"""How connections to targets are opened."""

from __future__ import annotations

from typing import Protocol

from attrs import define

from ..settings import Address
from .connection import Connection, connect, is_refusing_connections


class Connector(Protocol):
    """Opens connections to targets."""

    async def connect(self, address: Address) -> Connection:
        """Open a connection; raises ConnectionBrokenError if that fails in time."""

    async def is_refusing(self, address: Address, timeout_s: float) -> bool:
        """Whether nothing listens at an address, as after the crash of a process."""

    def note_lost(self, address: Address) -> None:
        """Note that a direct connection was lost before a response began."""

    def note_answered(self) -> None:
        """Note that a response has begun on a direct connection."""

    def detours(self, address: Address) -> bool:
        """Whether a new connection would be opened through another gateway."""


@define
class DirectConnector:
    """Opens all connections directly."""

    async def connect(self, address: Address) -> Connection:
        """Open a connection; raises ConnectionBrokenError if that fails in time."""
        return await connect(address)

    async def is_refusing(self, address: Address, timeout_s: float) -> bool:
        """Whether nothing listens at an address, as after the crash of a process."""
        return await is_refusing_connections(address, timeout_s)

    def note_lost(self, address: Address) -> None:
        """Note nothing: there is no other way to the target."""

    def note_answered(self) -> None:
        """Note nothing: there is no other way to the target."""

    def detours(self, address: Address) -> bool:
        """Return False: there is no other way to the target."""
        return False
