"""How connections to targets are opened."""

from __future__ import annotations

import asyncio
from typing import Protocol

from attrs import define

from ..settings import Address
from .connection import Connection, connect, is_refusing_connections

# A kernel closes the descriptors of a process that ends one after the other, mostly the
# newest first, so that its listener may outlast its connections: by up to 8 ms with 240
# connections and 30 ms with 1,000.
PROCESS_EXIT_S = 0.03
# Time to see whether a target still listens. A connection is refused within a round
# trip, some 3 ms.
END_CHECK_TIMEOUT_S = 0.25


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


async def has_ended(connector: Connector, address: Address) -> bool:
    """Whether the process of a target has ended that has just closed a connection.

    One that listens again at once can't be told from one that has not ended.
    """
    await asyncio.sleep(PROCESS_EXIT_S)
    return await connector.is_refusing(address, END_CHECK_TIMEOUT_S)
