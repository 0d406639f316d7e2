"""What the configuration needs of the cluster, the peers and the time line."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Protocol


class Member(Protocol):
    """A member of the fleet."""

    @property
    def name(self) -> str:
        """Name of the node."""


class RosterView(Protocol):
    """All members, whether they are heard or not."""

    @property
    def order(self) -> Sequence[Member]:
        """Members in the order of their names."""


class ClusterView(Protocol):
    """What is needed of the cluster."""

    @property
    def name(self) -> str:
        """Name of this node."""

    @property
    def roster(self) -> RosterView:
        """Newest roster known; empty before the first one is read."""

    def members(self, now: float) -> Sequence[Member]:
        """Return the members that are heard, this node included."""

    def hears_majority(self, now: float) -> bool:
        """Return whether a majority of the roster was heard lately."""

    def store_outage(self, now: float) -> bool:
        """Return whether the store is down for all nodes."""

    def store_contact(self, now: float) -> None:
        """Note that the store answered a call that was sent at ``now``."""

    def revisions(
        self,
        publish: Callable[[], tuple[int, float | None]],
        receive: Callable[[str, int, float | None], None],
    ) -> None:
        """Carry the revision and when it was confirmed in gossip messages."""


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
