"""What the configuration needs of the cluster, the peers and the time line."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Protocol


class Member(Protocol):
    """A member of the fleet."""

    @property
    def name(self) -> str:
        """Name of the node."""


class ClusterView(Protocol):
    """What is needed of the cluster."""

    @property
    def name(self) -> str:
        """Name of this node."""

    def members(self, now: float) -> Sequence[Member]:
        """Return all members, this node included."""

    def hears_majority(self, now: float) -> bool:
        """Return whether a majority of the roster was heard lately."""

    def store_outage(self, now: float) -> bool:
        """Return whether the store is down for all nodes."""

    def store_contact(self, now: float) -> None:
        """Note that the store answered a call that was sent at ``now``."""

    def topic(
        self,
        name: str,
        publish: Callable[[], bytes],
        receive: Callable[[str, bytes], None],
    ) -> None:
        """Add a gossip topic."""


class PeerCalls(Protocol):
    """What is needed of the peers."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call a member; raises a ``FlamingopondError`` if it cannot be reached."""

    def serve(
        self,
        method: str,
        handler: Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]],
    ) -> None:
        """Answer calls of ``method``."""


class EventRecorder(Protocol):
    """What is needed of the time line."""

    def record(self, kind: str, **fields: Any) -> None:
        """Add an event."""
