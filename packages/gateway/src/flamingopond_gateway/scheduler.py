"""Queues requests and chooses targets for them."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Generic, Protocol, TypeVar

import xxhash
from attrs import define, field, frozen

from .configuration import Configuration, EngineSpec
from .health import HealthTracker
from .holdings import HoldingsCache
from .loads import PREFILL_GAP_FRACTION, Work
from .messages import WaitingDemand
from .prefill_rate import PrefillRateEstimator
from .roster import Roster, Target

# Longest gap between the events of a stream, for services whose routes set none.
DEFAULT_EVENT_GAP_S = 1.2
# Fraction of an engine's KV cache that assigned requests may fill. The rest keeps
# shared prompt prefixes and avoids preemption.
KV_CACHE_FRACTION = 0.85
# Requests that a target other than a model engine may queue beyond its slots, as a
# fraction of them. The queue keeps it busy while load reports of peers are in transit.
PLAIN_TARGET_QUEUE_FRACTION = 0.5
# The lease holder publishes holdings every second. After this time without any, no
# gateway is assumed to hold the lease, and a model without a copy is not expected to
# get one for LEASE_HOLDER_FAILOVER_S: the duration of a lease plus that of a load.
LEASE_HOLDER_TIMEOUT_S = 3.0
LEASE_HOLDER_FAILOVER_S = 8.0
# Score reduction for a cached prompt prefix, which saves about this fraction of the
# prefill.
PREFIX_CACHE_BONUS = 0.15
# Score added for a target in another availability zone; outweighs only small
# differences in load.
ZONE_PENALTY = 0.02
# Weight of the failure ratio in the score. A target that fails all its requests is
# chosen only if the others have about this many times its load.
FAILURE_PENALTY = 6.0
# A request is refused early only if its estimated wait ends this long after its
# deadline, since the estimates are rough.
WAIT_ESTIMATE_MARGIN_S = 0.3


class UnavailableReason(enum.Enum):
    """Why a target cannot take a request at present."""

    QUARANTINED = "quarantined"
    SLOTS = "slots"
    MEMORY = "memory"
    PREFILL_BACKLOG = "unread"


class QueuedRequest(Protocol):
    """A request that waits for a target, here or at another gateway.

    Times are in seconds of the event loop's clock, as in :class:`tickets.Ticket`.
    ``prompt_key`` is a hash of the shared prompt parts, 0 if there are none.
    """

    arrived_at: float
    objective_deadline: float
    queue_deadline: float
    rank: int
    resuming: bool
    prompt_key: int

    @property
    def service(self) -> str:
        """Name of the service that serves it."""

    @property
    def model(self) -> str | None:
        """Name of the requested model, None for other calls."""

    @property
    def adapter(self) -> str | None:
        """Name of the requested adapter, if any."""

    @property
    def excluded(self) -> Sequence[str]:
        """Ids of the targets that it must not be sent to."""

    @property
    def zone(self) -> str | None:
        """Availability zone of its gateway, None for this gateway."""

    @property
    def work(self) -> Work:
        """Work that the request adds to a target."""

    @property
    def cost(self) -> int:
        """Cost of the request to an engine; see :func:`demand.generation_cost`."""

    def late(self, now: float) -> bool:
        """Whether the request can no longer meet its latency objective."""


P = TypeVar("P", bound=QueuedRequest)


class WorkTracker(Protocol):
    """Outstanding work by target id."""

    def add(self, target_id: str, work: Work) -> None:
        """Add a request that is assigned to a target."""

    def remove(self, target_id: str, work: Work) -> None:
        """Remove a finished request, or the prefill that it has finished."""

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
        """Whether a prompt keeps pauses of the target's streams within ``gap_s``."""


@frozen
class Assignment(Generic[P]):
    """A waiting request and the target chosen for it."""

    ticket: P
    target: Target


def urgency(ticket: QueuedRequest, now: float) -> tuple[bool, bool, int, float]:
    """Return the sort key of waiting requests, the most urgent first.

    Interrupted streams come first, as their callers see a pause. Requests that can
    still meet their latency objective come before those that can't, then lower
    ranks of workspaces, then earlier deadlines.
    """
    late = ticket.late(now)
    time_left = ticket.queue_deadline if late else ticket.objective_deadline
    return (not ticket.resuming, late, ticket.rank, time_left)


def _prefix_affinity(ticket: QueuedRequest, target: Target) -> float:
    """Return a stable hash of a prompt and a target, scaled to 0 to 1.

    Prompts with the same prefix favour the same target (rendezvous hashing).
    """
    if not ticket.prompt_key:
        return 0.0
    return xxhash.xxh3_64_intdigest(target.id.encode(), seed=ticket.prompt_key) / 2**64


@define
class Scheduler(Generic[P]):
    """Queues the requests of each service and assigns them to its targets."""

    roster: Roster
    work: WorkTracker
    health: HealthTracker
    prefill_rates: PrefillRateEstimator
    holdings: HoldingsCache
    zone: str
    configuration: Callable[[], Configuration | None]
    _waiting: dict[str, list[P]] = field(factory=dict)

    @property
    def waiting(self) -> Iterator[P]:
        """Iterate over the waiting requests."""
        for tickets in self._waiting.values():
            yield from tickets

    def submit(self, ticket: P) -> None:
        """Queue a request."""
        self._waiting.setdefault(ticket.service, []).append(ticket)

    def withdraw(self, ticket: P) -> None:
        """Remove a request from the queue, if it is there."""
        tickets = self._waiting.get(ticket.service, [])
        if ticket in tickets:
            tickets.remove(ticket)

    def assign(
        self,
        service: str,
        now: float,
        eligible: Callable[[P], bool] = lambda ticket: True,
    ) -> list[Assignment[P]]:
        """Assign waiting requests of a service to targets with room for them.

        The work of each assigned request is added to its target's. Only requests
        for which ``eligible`` returns True are considered.
        """
        tickets = self._waiting.get(service)
        if not tickets:
            return []
        tickets.sort(key=lambda ticket: urgency(ticket, now))
        targets = self.roster.service(service)
        holders_by_model = self._holders_by_model(targets)
        spec = self._spec(service)
        assignments = []
        without_room: set[tuple[str | None, str | None, tuple[str, ...]]] = set()
        for ticket in list(tickets):
            if not eligible(ticket):
                continue
            requirements = (ticket.model, ticket.adapter, tuple(ticket.excluded))
            if requirements in without_room:
                continue
            candidates = (
                targets
                if ticket.model is None
                else holders_by_model.get(ticket.model, ())
            )
            target = self._choose(ticket, candidates, spec, now)
            if target is None:
                without_room.add(requirements)
                continue
            tickets.remove(ticket)
            self.work.add(target.id, ticket.work)
            assignments.append(Assignment(ticket, target))
        return assignments

    def unservable(self, now: float) -> list[tuple[P, float]]:
        """Return the requests that can't be served in time, and their estimated waits.

        The lease holder estimates how long the fleet takes to serve its backlog for
        a model. A request's wait is the fraction of this gateway's backlog that is
        ahead of it, times that estimate.
        """
        unservable = []
        for tickets in self._waiting.values():
            cost_ahead: dict[str, int] = {}
            total_cost: dict[str, int] = {}
            for ticket in tickets:
                if ticket.model is not None:
                    cost = total_cost.get(ticket.model, 0) + ticket.cost
                    total_cost[ticket.model] = cost
            for ticket in sorted(tickets, key=lambda t: urgency(t, now)):
                model = ticket.model
                if model is None:
                    continue
                cost_ahead[model] = cost_ahead.get(model, 0) + ticket.cost
                fraction = cost_ahead[model] / total_cost[model]
                late = ticket.late(now)
                wait_s = (
                    self.holdings.backlog_wait_s(ticket.service, model, late) * fraction
                )
                wait_s = max(wait_s, self._placement_wait_s(ticket, now))
                if ticket.resuming:
                    continue
                if now + wait_s > ticket.queue_deadline + WAIT_ESTIMATE_MARGIN_S:
                    unservable.append((ticket, wait_s))
                    cost_ahead[model] -= ticket.cost
        return unservable

    def _placement_wait_s(self, ticket: P, now: float) -> float:
        """Return the wait for a new lease holder to load the model, 0 if not needed."""
        if self.holdings.holder_silence_s(now) < LEASE_HOLDER_TIMEOUT_S:
            return 0.0
        return 0.0 if self.has_copy(ticket) else LEASE_HOLDER_FAILOVER_S

    def has_copy(self, ticket: P) -> bool:
        """Whether any target holds the model and adapter of a request."""
        targets = self.roster.service(ticket.service)
        return any(self._holds(target, ticket) for target in targets)

    def waiting_demand(self, now: float) -> list[WaitingDemand]:
        """Summarize the waiting requests by model and adapter, for the lease holder."""
        by_adapter: dict[tuple[str, str, str], list[P]] = {}
        for ticket in self.waiting:
            if ticket.model is not None:
                key = (ticket.service, ticket.model, ticket.adapter or "")
                by_adapter.setdefault(key, []).append(ticket)
        return [
            WaitingDemand(
                service,
                model,
                adapter,
                requests=len(tickets),
                cost=sum(ticket.cost for ticket in tickets),
                waited_ms=int(1000 * (now - min(t.arrived_at for t in tickets))),
                slack_ms=int(1000 * (min(t.objective_deadline for t in tickets) - now)),
            )
            for (service, model, adapter), tickets in by_adapter.items()
        ]

    def _holders_by_model(self, targets: Iterable[Target]) -> dict[str, list[Target]]:
        """Return the targets that hold each model.

        Searching all targets for each request blocked the dispatcher of 86 gateways
        and 70 engines for over 0.15 s at a time.
        """
        by_model: dict[str, list[Target]] = {}
        for target in targets:
            for name in self.holdings.models(target):
                by_model.setdefault(name, []).append(target)
        return by_model

    def _holds(self, target: Target, ticket: QueuedRequest) -> bool:
        """Whether ``target`` has the model and adapter of ``ticket``."""
        if ticket.model is None:
            return True
        return self.holdings.holds(target, ticket.model, ticket.adapter)

    def _spec(self, service: str) -> EngineSpec | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        service_config = configuration.services.get(service)
        return service_config.engine if service_config is not None else None

    def _choose(
        self,
        ticket: QueuedRequest,
        targets: Iterable[Target],
        spec: EngineSpec | None,
        now: float,
    ) -> Target | None:
        best: Target | None = None
        best_score = float("inf")
        for target in targets:
            if target.id in ticket.excluded or not self._holds(target, ticket):
                continue
            if self._unavailable_reason(ticket, target, spec, now) is not None:
                continue
            score = self._score(ticket, target, spec, now)
            if score < best_score:
                best, best_score = target, score
        return best

    def unavailable_targets(self, ticket: QueuedRequest, now: float) -> dict[str, str]:
        """Return the targets that hold the model but can't take a request, and why."""
        spec = self._spec(ticket.service)
        reasons = {}
        for target in self.roster.service(ticket.service):
            if not self._holds(target, ticket):
                continue
            reason = self._unavailable_reason(ticket, target, spec, now)
            if reason is not None:
                reasons[target.id] = reason.value
        return reasons

    def _unavailable_reason(
        self, ticket: QueuedRequest, target: Target, spec: EngineSpec | None, now: float
    ) -> UnavailableReason | None:
        """Return why ``target`` can't take ``ticket`` now, None if it can."""
        if not self.health.of(target.incarnation).usable(now):
            return UnavailableReason.QUARANTINED
        current = self.work.at(target.id)
        if ticket.model is None or spec is None:
            full = current.requests >= target.slots * (1 + PLAIN_TARGET_QUEUE_FRACTION)
            return UnavailableReason.SLOTS if full else None
        if ticket.resuming:
            # The engine's own queue puts it ahead of other requests, too.
            return None
        if current.requests >= target.slots:
            return UnavailableReason.SLOTS
        if current.requests and current.kv_tokens + ticket.work.kv_tokens > (
            spec.kv_tokens * KV_CACHE_FRACTION
        ):
            return UnavailableReason.MEMORY
        accepted = self.work.can_accept_prompt(
            target.id,
            ticket.work.prefill_tokens,
            self.prefill_rates.tokens_per_s(target.service),
            self._max_event_gap_s(target.service),
            now,
        )
        return None if accepted else UnavailableReason.PREFILL_BACKLOG

    def _prefill_backlog_s(self, target: Target, now: float) -> float:
        """Return how long a target takes to prefill its backlog."""
        prefill_rate = self.prefill_rates.tokens_per_s(target.service)
        return (
            self.work.prefill_backlog_tokens(target.id, prefill_rate, now)
            / prefill_rate
        )

    def _max_event_gap_s(self, service: str) -> float:
        configuration = self.configuration()
        gap_s = None if configuration is None else configuration.gap_s(service)
        return DEFAULT_EVENT_GAP_S if gap_s is None else gap_s

    def _score(
        self, ticket: QueuedRequest, target: Target, spec: EngineSpec | None, now: float
    ) -> float:
        """Return the score of a target that has room for ``ticket``; lowest wins."""
        current = self.work.at(target.id)
        if ticket.model is None or spec is None:
            score = (current.requests + 1) / target.slots
        else:
            max_backlog_s = self._max_event_gap_s(target.service) * PREFILL_GAP_FRACTION
            score = self._prefill_backlog_s(target, now) / max_backlog_s
            score += current.requests / target.slots
        health = self.health.of(target.incarnation)
        score *= health.latency_ratio
        score *= 1 + FAILURE_PENALTY * health.failure_ratio(now)
        if target.zone != (ticket.zone or self.zone):
            score += ZONE_PENALTY
        return score - PREFIX_CACHE_BONUS * _prefix_affinity(ticket, target) ** 4
