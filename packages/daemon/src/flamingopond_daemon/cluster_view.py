"""Interfaces of the cluster, peers and events as configuration sync uses them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Protocol


class Member(Protocol):
    """A member of the cluster."""

    @property
    def name(self) -> str:
        """Name of the node."""


class RosterView(Protocol):
    """All members of the cluster, reachable or not."""

    @property
    def all_members(self) -> Sequence[Member]:
        """Members sorted by name."""


class ClusterView(Protocol):
    """The part of ``Cluster`` that configuration sync uses."""

    @property
    def name(self) -> str:
        """Name of this node."""

    @property
    def roster(self) -> RosterView:
        """Newest roster known; empty until one is received."""

    def members(self, now: float) -> Sequence[Member]:
        """Return the members with a recent heartbeat, this node included."""

    def hears_majority(self, now: float) -> bool:
        """Tell whether a majority of the roster has a recent heartbeat."""

    def store_outage(self, now: float) -> bool:
        """Tell whether no node can reach the store."""

    def record_store_contact(self, now: float) -> None:
        """Record that the store answered a call sent at ``now``."""

    def set_revision_handlers(
        self,
        publish: Callable[[], tuple[int, float | None]],
        receive: Callable[[str, int, float | None], None],
    ) -> None:
        """Gossip the configuration revision and when it was last confirmed."""


class PeerCalls(Protocol):
    """The part of ``Peers`` that configuration sync uses."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call ``method`` of ``member``; raises ``FlamingopondError`` if that fails."""

    def serve(
        self,
        method: str,
        handler: Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]],
    ) -> None:
        """Register the handler for calls of ``method``."""


class EventRecorder(Protocol):
    """The part of ``Events`` that configuration sync uses."""

    def record(self, kind: str, **fields: Any) -> None:
        """Record an event."""
