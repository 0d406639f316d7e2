"""Requests that wait for a target, and what the scheduler knows and says of them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Generic, Protocol, TypeVar

from attrs import frozen

from ..targets.roster import Target
from .fair_order import OrderedRequest
from .loads import Work


class QueuedRequest(OrderedRequest, Protocol):
    """A request that waits for a target, here or at another gateway.

    ``prompt_key`` is a hash of the shared prompt parts, 0 if there are none.
    """

    prompt_key: int

    @property
    def adapter(self) -> str | None:
        """Name of the requested adapter, if any."""

    @property
    def software(self) -> str | None:
        """Software version that its stream has begun at, None before that."""

    @property
    def excluded(self) -> Sequence[str]:
        """Ids of the targets that it must not be sent to."""

    @property
    def zone(self) -> str | None:
        """Availability zone of its gateway, None for this gateway."""

    @property
    def work(self) -> Work:
        """Work that the request adds to a target."""


P = TypeVar("P", bound=QueuedRequest)
P_contra = TypeVar("P_contra", bound=QueuedRequest, contravariant=True)


class WorkTracker(Protocol):
    """Outstanding work by target id."""

    def add(self, target_id: str, work: Work) -> None:
        """Add a request that is assigned to a target."""

    def remove(self, target_id: str, work: Work) -> None:
        """Remove work that is done: a finished request, or just a finished prefill."""

    def at(self, target_id: str) -> Work:
        """Return the outstanding work of all gateways at a target."""

    def prefill_backlog_tokens(
        self, target_id: str, prefill_tokens_per_s: float, now: float
    ) -> float:
        """Return the prompt tokens that a target has yet to prefill."""

    def can_accept_prompt(
        self,
        target_id: str,
        tokens: int,
        prefill_tokens_per_s: float,
        gap_s: float,
        now: float,
    ) -> bool:
        """Whether a prompt would pause the target's streams by at most ``gap_s``."""


class ConnectionEstimates(Protocol[P_contra]):
    """Which engines the gateway of a request probably has an idle connection to."""

    def bonus(self, queued: P_contra, target: Target, now: float) -> float:
        """Return what an expected idle connection takes off a target's score."""

    def record_assigned(self, queued: P_contra, target: Target, now: float) -> None:
        """Record that a request was assigned to a target."""


@frozen
class Assignment(Generic[P]):
    """A waiting request and the target chosen for it.

    ``send_before`` is the end of a grant for a cold target (``clock.boot_time``), None
    without one.
    """

    queued: P
    target: Target
    send_before: float | None = None


@frozen
class BlockedUntil:
    """All targets that could serve a request are blocked.

    ``assignable_at`` is the earliest time at which it could be sent, infinite if that
    isn't known or if only targets are left that it was sent to before. At
    ``servable_at`` a new request could be served.
    """

    assignable_at: float
    servable_at: float
