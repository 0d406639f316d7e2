"""Queues requests and chooses targets for them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import Generic

import xxhash
from attrs import define, field

from ..clock import boot_time
from ..configuration import Configuration, EngineSpec
from ..messages import WaitingDemand
from ..targets.conditions import (
    DISPATCHED_REASONS,
    REFUSED_REASONS,
    SLOW_START,
    WITHDRAWN_REASONS,
    Block,
    DrainingTargets,
    QuarantinedTargets,
    TargetConditions,
    UnavailableReason,
)
from ..targets.health import HealthTracker, TargetHealth
from ..targets.holdings import HoldingsCache
from ..targets.prefill_rate import PrefillRateEstimator
from ..targets.request_limiter import (
    MIN_RATE,
    LimitedTargets,
    LocalLimiter,
    RequestLimiter,
)
from ..targets.roster import Roster, Target
from ..targets.target_limits import TargetLimits
from ..targets.target_load import TargetLoads
from .fair_order import (
    WAIT_ESTIMATE_MARGIN_S,
    RequestOrder,
    UrgencyOrder,
)
from .loads import PREFILL_GAP_FRACTION, PREFILL_TIME_FRACTION
from .prompt_sizes import LONG_GAP_FRACTION, MAX_CLEARED, PromptSizes, max_long
from .queued import (
    Assignment,
    BlockedUntil,
    ConnectionEstimates,
    P,
    QueuedRequest,
    WorkTracker,
)
from .service_shares import ServiceShares, herd_free_load

# Longest gap between the events of a stream, for services whose routes set none.
DEFAULT_EVENT_GAP_S = 1.2
# Fraction of an engine's KV cache that assigned requests may fill. The rest keeps
# shared prompt prefixes and avoids preemption.
KV_CACHE_FRACTION = 0.85
# Requests that may queue at a target other than a model engine, as a fraction of the
# target's slots. The queue keeps the target busy while load reports of peers are in
# transit.
PLAIN_TARGET_QUEUE_FRACTION = 0.5
# The lease holder publishes holdings (the models and adapters loaded on each engine)
# every second. If none arrive for this time, the lease holder is assumed to have
# failed.
LEASE_HOLDER_TIMEOUT_S = 3.0
# Expected time from then until a model without a copy gets one: the duration of a lease
# plus that of a load.
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


def _prefix_affinity(queued: QueuedRequest, target: Target) -> float:
    """Return a stable hash of a prompt and a target, scaled to 0 to 1.

    Prompts with the same prefix favour the same target (rendezvous hashing).
    """
    if not queued.prompt_key:
        return 0.0
    return xxhash.xxh3_64_intdigest(target.id.encode(), seed=queued.prompt_key) / 2**64


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
    limiter: RequestLimiter = field(factory=lambda: LocalLimiter(TargetLimits("")))
    conditions: TargetConditions = field(factory=TargetConditions)
    order: RequestOrder = field(factory=UrgencyOrder)
    shares: ServiceShares | None = None
    loads: TargetLoads = field(factory=TargetLoads)
    connections: ConnectionEstimates[P] | None = None
    sizes: PromptSizes = field(factory=PromptSizes)
    _waiting: dict[str, list[P]] = field(factory=dict)
    _checks: TargetConditions = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Add the conditions that follow from the other fields."""
        self._checks = TargetConditions(
            [
                DrainingTargets(),
                self.conditions,
                QuarantinedTargets(self.health),
                LimitedTargets(lambda: self.limiter),
            ]
        )

    @property
    def waiting(self) -> Iterator[P]:
        """Iterate over the waiting requests."""
        for queue in self._waiting.values():
            yield from queue

    def submit(self, queued: P) -> None:
        """Queue a request."""
        self._waiting.setdefault(queued.service, []).append(queued)
        self.order.record_arrival(queued)
        if queued.model is not None and self._separates_sizes(queued.service):
            self.sizes.record_arrival(
                queued.service,
                queued.work.prefill_tokens,
                self._is_long(queued),
                queued.arrived_at,
            )

    def withdraw(self, queued: P) -> None:
        """Remove a request from the queue, if it is there."""
        queue = self._waiting.get(queued.service, [])
        if queued in queue:
            queue.remove(queued)

    def assign(
        self,
        service: str,
        now: float,
        eligible: Callable[[P], bool] = lambda queued: True,
    ) -> list[Assignment[P]]:
        """Assign waiting requests of a service to targets with room for them.

        The work of each assigned request is added to its target's. Only requests
        for which ``eligible`` returns True are considered.
        """
        queue = self._waiting.get(service)
        if not queue:
            return []
        queue[:] = self.order.sort(queue, now)
        targets = self.roster.service(service)
        targets_by_model = self._targets_by_model(targets)
        spec = self._spec(service)
        assignments = []
        # Targets that may have room. Requests differ in the targets that their gateways
        # exclude, so that a search for each would take a dispatcher too long.
        remaining: dict[
            tuple[str | None, str | None, str | None, bool], Sequence[Target]
        ] = {}
        mixed = self._separates_sizes(service) and self.sizes.mixed(service)
        # Engines that short prompts leave to a long one that waits.
        cleared: set[str] = set()
        for queued in list(queue):
            if not eligible(queued):
                continue
            is_long = mixed and self._is_long(queued) and not queued.resuming
            requirements = (queued.model, queued.adapter, queued.software, is_long)
            candidates: Sequence[Target] = (
                targets
                if queued.model is None
                else targets_by_model.get(queued.model, ())
            )
            is_first = requirements not in remaining
            usable = remaining.get(requirements, candidates)
            if is_long and usable:
                allowed = {
                    one.id for one in self._long_candidates(queued, candidates, now)
                }
                usable = [one for one in usable if one.id in allowed]
            elif cleared and not queued.resuming:
                usable = [one for one in usable if one.id not in cleared]
            target = self._choose(queued, usable, spec, now)
            if target is None:
                remaining[requirements] = [
                    one
                    for one in remaining.get(requirements, candidates)
                    if one.id in queued.excluded
                ]
                if is_long and (is_first or not queued.late(now)):
                    self._clear(queued, candidates, cleared, now)
                continue
            if is_long:
                self.sizes.record_long(target.id, self._long_prefill_s(queued), now)
            queue.remove(queued)
            self._record_assigned(queued, target, now)
            assignments.append(Assignment(queued, target))
        return assignments

    def _record_assigned(self, queued: P, target: Target, now: float) -> None:
        """Count an assigned request wherever it makes a difference to later ones."""
        self.work.add(target.id, queued.work)
        self.limiter.spend(target, now)
        self.order.record_served(queued, now)
        if queued.model is None:
            if self.shares is not None:
                self.shares.record_sent(target, now)
        elif self.connections is not None:
            self.connections.record_assigned(queued, target, now)

    def size_class(self, queued: P) -> str | None:
        """Return ``long`` or ``short``, None where sizes aren't separated."""
        if queued.model is None or not self._separates_sizes(queued.service):
            return None
        if not self.sizes.mixed(queued.service):
            return None
        return "long" if self._is_long(queued) else "short"

    def _separates_sizes(self, service: str) -> bool:
        """Whether long prompts that wait must not hold up short ones, or vice versa."""
        if self.order.separates_sizes:
            return True
        return self._separated_objective_s(service) is not None

    def _separated_objective_s(self, service: str) -> float | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        return configuration.separated_objective_s(service)

    def _is_long(self, queued: P) -> bool:
        prefill_rate = self.prefill_rates.tokens_per_s(queued.service)
        gap_s = self._max_event_gap_s(queued.service)
        return queued.work.prefill_tokens > LONG_GAP_FRACTION * gap_s * prefill_rate

    def _long_candidates(
        self, queued: P, candidates: Iterable[Target], now: float, cleared: int = 0
    ) -> list[Target]:
        """Return the engines for a long prompt, none beyond the bound.

        Those that are ``cleared`` for others count as running one.
        """
        found = [one for one in candidates if self._holds(one, queued)]
        running = self.sizes.long_running((one.id for one in found), now)
        objective_s = self._separated_objective_s(queued.service)
        allowed = max_long(len(found), self._long_prefill_s(queued), objective_s)
        if len(running) + cleared >= allowed:
            return []
        return [one for one in found if one.id not in running]

    def _long_prefill_s(self, queued: P) -> float:
        prefill_rate = self.prefill_rates.tokens_per_s(queued.service)
        return queued.work.prefill_tokens / (prefill_rate * PREFILL_TIME_FRACTION)

    def _clear(
        self, queued: P, candidates: Iterable[Target], cleared: set[str], now: float
    ) -> None:
        """Add to ``cleared`` the engine that is the next to be ready for a long prompt.

        Short prompts go to other engines until it has no backlog.
        """
        if len(cleared) >= MAX_CLEARED:
            return
        found = self._long_candidates(queued, candidates, now, len(cleared))
        least = min(
            (one for one in found if one.id not in cleared),
            key=lambda one: self._prefill_backlog_s(one, now),
            default=None,
        )
        if least is not None:
            cleared.add(least.id)

    def unservable(self, now: float, by_share: bool = False) -> list[tuple[P, float]]:
        """Return the requests that can't be served in time, and their estimated waits.

        The lease holder estimates how long the fleet takes to serve its backlog for
        a model. A request's wait is the fraction of this gateway's backlog that is
        ahead of it, times that estimate. With ``by_share``, a request also waits for
        the share of its workspace and kind; see :meth:`RequestOrder.waits_s`. Callers
        that have come back after a refusal are not refused once more.
        """
        unservable = []
        for queue in self._waiting.values():
            cost_ahead: dict[str, int] = {}
            total_cost: dict[str, int] = {}
            for queued in queue:
                if queued.model is not None:
                    cost = total_cost.get(queued.model, 0) + queued.cost
                    total_cost[queued.model] = cost
            ahead: dict[str | None, int] = {}
            has_limits = self.limiter.active
            ordered = self.order.sort(queue, now)
            share_waits_s = [0.0] * len(ordered)
            if by_share:
                share_waits_s = self.order.waits_s(ordered, now)
            for queued, share_wait_s in zip(ordered, share_waits_s, strict=True):
                model = queued.model
                kept = queued.resuming or queued.returning
                latest_at = queued.queue_deadline + WAIT_ESTIMATE_MARGIN_S
                if share_wait_s and not kept and now + share_wait_s > latest_at:
                    unservable.append((queued, share_wait_s))
                    continue
                if has_limits and not kept:
                    limited_wait_s = self._limited_wait_s(queued, ahead.get(model, 0))
                    if now + limited_wait_s > queued.queue_deadline:
                        unservable.append((queued, limited_wait_s))
                        continue
                    ahead[model] = ahead.get(model, 0) + 1
                if model is None:
                    continue
                cost_ahead[model] = cost_ahead.get(model, 0) + queued.cost
                fraction = cost_ahead[model] / max(total_cost[model], 1)
                late = queued.late(now)
                wait_s = (
                    self.holdings.backlog_wait_s(queued.service, model, late) * fraction
                )
                wait_s = max(wait_s, self._placement_wait_s(queued, now))
                if kept:
                    continue
                if now + wait_s > latest_at:
                    unservable.append((queued, wait_s))
                    cost_ahead[model] -= queued.cost
        return unservable

    def unservable_calls(self, now: float) -> list[tuple[P, float]]:
        """Return the calls to plain services that get no slot in time, and their waits.

        Active with shares only. A call that each target has been tried for waits in
        vain. Callers that have come back after a refusal are not refused once more.
        """
        if self.shares is None:
            return []
        unservable = []
        for service, queue in self._waiting.items():
            targets = self.roster.service(service)
            if not targets:
                continue
            rate = self.shares.rate(targets, now)
            ahead = 0
            for queued in queue:
                if queued.model is not None:
                    continue
                if all(target.id in queued.excluded for target in targets):
                    unservable.append((queued, 0.0))
                    continue
                wait_s = (ahead + 1) / rate
                latest_at = queued.queue_deadline + WAIT_ESTIMATE_MARGIN_S
                if now + wait_s > latest_at and not queued.returning:
                    unservable.append((queued, wait_s))
                else:
                    ahead += 1
        return unservable

    def _placement_wait_s(self, queued: P, now: float) -> float:
        """Return the wait for a new lease holder to load the model, 0 if not needed."""
        if self.holdings.lease_holder_silence_s(now) < LEASE_HOLDER_TIMEOUT_S:
            return 0.0
        return 0.0 if self.has_copy(queued, now) else LEASE_HOLDER_FAILOVER_S

    def has_limit(self, service: str) -> bool:
        """Whether any target of a service has named a limit or is cold."""
        if not self.limiter.active:
            return False
        targets = self.roster.service(service)
        return any(self.limiter.rate(target) is not None for target in targets)

    def _limited_wait_s(self, queued: P, requests_ahead: int) -> float:
        """Return the wait if all targets that could take a request have limits.

        Counted are the requests ahead of it at this gateway only, so that the wait may
        be longer.
        """
        rates = [
            self.limiter.rate(target)
            for target in self.roster.service(queued.service)
            if target.id not in queued.excluded and self._holds(target, queued)
        ]
        if not rates or None in rates:
            return 0.0
        total = sum(max(rate, MIN_RATE) for rate in rates if rate is not None)
        return requests_ahead / total

    def has_alternative(self, queued: P, target_id: str, now: float) -> bool:
        """Whether a target other than ``target_id`` could go on with a stream."""
        return any(
            target.id != target_id
            and target.id not in queued.excluded
            and self._holds(target, queued)
            and self.blocked(target, now) is None
            for target in self.roster.service(queued.service)
        )

    def can_continue(self, queued: P, now: float) -> bool:
        """Whether any target is left that could go on with a stream."""
        return any(
            target.id not in queued.excluded
            and self._holds(target, queued)
            and not self._is_withdrawn(target, now)
            for target in self.roster.service(queued.service)
        )

    def block(self, target: Target, now: float) -> Block | None:
        """Return why a target gets no requests of this scheduler, if so."""
        return self._checks.block(target, now)

    def blocked(self, target: Target, now: float) -> Block | None:
        """Return why a target gets no requests, also of the dispatcher's choice."""
        block = self._checks.block(target, now)
        return None if block is None or block.reason in DISPATCHED_REASONS else block

    def _is_withdrawn(self, target: Target, now: float) -> bool:
        """Whether a target leaves or is evacuated, so that it can't be waited for."""
        block = self._checks.block(target, now)
        return block is not None and block.reason in WITHDRAWN_REASONS

    def blocked_until(self, queued: QueuedRequest, now: float) -> BlockedUntil | None:
        """Return when a request could be sent, if all targets for it are blocked.

        Returns None if it may wait: for room at a target, or for a model that is to be
        loaded elsewhere as all targets that hold it leave.
        """
        assignable_at = servable_at = float("inf")
        any_blocked = others = False
        for target in self.roster.service(queued.service):
            holds = self._holds(target, queued)
            if others and not holds:
                # One is enough, and there may be hundreds.
                continue
            block = self._checks.block(target, now)
            # A slow start ends with any request, so that waiting may help.
            blocked = (
                block is not None
                and block.reason in REFUSED_REASONS
                and block.source != SLOW_START
            )
            if not holds:
                others = not blocked
                continue
            excluded = target.id in queued.excluded
            if not blocked and not excluded:
                return None
            if block is None or not blocked:
                continue
            any_blocked = True
            until = float("inf") if block.until is None else block.until
            servable_at = min(servable_at, until)
            if not excluded:
                assignable_at = min(assignable_at, until)
        if not any_blocked:
            return None
        if others and queued.model is not None and servable_at == float("inf"):
            return None
        return BlockedUntil(assignable_at, servable_at)

    def has_copy(self, queued: P, now: float) -> bool:
        """Whether any target in service holds the model and adapter of a request."""
        targets = self.roster.service(queued.service)
        return any(
            self._holds(target, queued) and not self._is_withdrawn(target, now)
            for target in targets
        )

    def may_send(self, assignment: Assignment[P], now: float) -> bool:
        """Whether an assigned request may still be sent; asked just before that."""
        target = assignment.target
        if self.conditions.forbid(target, now):
            return False
        if not self.limiter.is_cold(target):
            return True
        send_before = assignment.send_before
        return send_before is not None and boot_time() <= send_before

    def waiting_demand(self, now: float) -> list[WaitingDemand]:
        """Summarize the waiting requests by model and adapter, for the lease holder."""
        by_adapter: dict[tuple[str, str, str], list[P]] = {}
        for queued in self.waiting:
            if queued.model is not None:
                key = (queued.service, queued.model, queued.adapter or "")
                by_adapter.setdefault(key, []).append(queued)
        return [
            WaitingDemand(
                service,
                model,
                adapter,
                requests=len(group),
                cost=sum(queued.cost for queued in group),
                waited_ms=int(1000 * (now - min(t.arrived_at for t in group))),
                slack_ms=int(1000 * (min(t.objective_deadline for t in group) - now)),
            )
            for (service, model, adapter), group in by_adapter.items()
        ]

    def _targets_by_model(self, targets: Iterable[Target]) -> dict[str, list[Target]]:
        """Return the targets that hold each model.

        The index avoids a search of all targets for each request, which blocks the
        event loop of a gateway that assigns the requests of 86 gateways to 70 engines
        for over 0.15 s at a time.
        """
        by_model: dict[str, list[Target]] = {}
        for target in targets:
            for name in self.holdings.models(target):
                by_model.setdefault(name, []).append(target)
        return by_model

    @staticmethod
    def fits_stream(target: Target, queued: QueuedRequest) -> bool:
        """Whether ``target`` has the software version that a stream has begun at."""
        return queued.software is None or target.software == queued.software

    def _holds(self, target: Target, queued: QueuedRequest) -> bool:
        """Whether ``target`` has what ``queued`` needs.

        These are the model and adapter, and for a stream that has begun the software
        version.
        """
        if not self.fits_stream(target, queued):
            return False
        if queued.model is None:
            return True
        return self.holdings.holds(target, queued.model, queued.adapter)

    def _spec(self, service: str) -> EngineSpec | None:
        configuration = self.configuration()
        if configuration is None:
            return None
        service_config = configuration.services.get(service)
        return service_config.engine if service_config is not None else None

    def _choose(
        self,
        queued: P,
        targets: Iterable[Target],
        spec: EngineSpec | None,
        now: float,
    ) -> Target | None:
        best: Target | None = None
        best_score = float("inf")
        for target in targets:
            if target.id in queued.excluded or not self._holds(target, queued):
                continue
            if self._unavailable_reason(queued, target, spec, now) is not None:
                continue
            score = self._score(queued, target, spec, now)
            if score < best_score:
                best, best_score = target, score
        return best

    def unavailable_targets(self, queued: QueuedRequest, now: float) -> dict[str, str]:
        """Return the targets that hold the model but can't take a request, and why."""
        spec = self._spec(queued.service)
        reasons = {}
        for target in self.roster.listed():
            if target.service != queued.service or not self._holds(target, queued):
                continue
            block = self._checks.block(target, now)
            reason = self._unavailable_reason(queued, target, spec, now)
            if block is not None:
                reasons[target.id] = block.describe(now)
            elif reason is not None:
                reasons[target.id] = reason.value
        return reasons

    def _unavailable_reason(
        self, queued: QueuedRequest, target: Target, spec: EngineSpec | None, now: float
    ) -> UnavailableReason | None:
        """Return why ``target`` can't take ``queued`` now, None if it can."""
        block = self._checks.block(target, now)
        if block is not None:
            return block.reason
        current = self.work.at(target.id)
        if self.shares is not None and queued.model is None:
            failure_ratio = self.health.of(target.incarnation).failure_ratio(now)
            room = self.shares.has_room(target, failure_ratio, now)
            return None if room else UnavailableReason.SLOTS
        if queued.model is None or spec is None:
            full = current.requests >= target.slots * (1 + PLAIN_TARGET_QUEUE_FRACTION)
            return UnavailableReason.SLOTS if full else None
        if queued.resuming:
            # The engine's own queue puts it ahead of other requests, too.
            return None
        if current.requests >= target.slots:
            return UnavailableReason.SLOTS
        if current.requests and current.kv_tokens + queued.work.kv_tokens > (
            spec.kv_tokens * KV_CACHE_FRACTION
        ):
            return UnavailableReason.MEMORY
        accepted = self.work.can_accept_prompt(
            target.id,
            queued.work.prefill_tokens,
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

    def _slowness(self, target: Target, health: TargetHealth, now: float) -> float:
        """Return how long work takes at a target, compared to the usual time.

        A target may report it. Where the durations of this gateway's calls show that it
        is clearly slow, the larger one counts, as both may describe the same delay.
        """
        measured = health.slowness(now)
        reported = self.loads.duration_factor(target, now)
        return max(measured, reported) if measured > 1 else reported

    def _plain_load(self, queued: QueuedRequest, target: Target, now: float) -> float:
        """Return the load of a plain target with one request more, 1 if it is full."""
        load = (self.work.at(target.id).requests + 1) / target.slots
        if self.shares is None or queued.model is not None:
            return load
        return herd_free_load(
            load,
            self.health.of(target.incarnation).failure_ratio(now),
            lambda: [
                (self.work.at(other.id).requests + 1) / other.slots
                for other in self.roster.service(target.service)
            ],
        )

    def _score(
        self, queued: P, target: Target, spec: EngineSpec | None, now: float
    ) -> float:
        """Return the score of a target that has room for ``queued``; lowest wins."""
        current = self.work.at(target.id)
        health = self.health.of(target.incarnation)
        slowness = self._slowness(target, health, now)
        if queued.model is None or spec is None:
            score = self._plain_load(queued, target, now) * slowness
        else:
            max_backlog_s = self._max_event_gap_s(target.service) * PREFILL_GAP_FRACTION
            score = self._prefill_backlog_s(target, now) / max_backlog_s
            score += current.requests / target.slots
            score *= slowness
            if slowness != 1:
                # It delays the request itself, too, also at an idle engine.
                rate = self.prefill_rates.tokens_per_s(target.service)
                own = queued.work.prefill_tokens / rate / max_backlog_s
                score += (own + 1 / target.slots) * (slowness - 1)
        score *= 1 + FAILURE_PENALTY * health.failure_ratio(now)
        if target.zone != (queued.zone or self.zone):
            score += ZONE_PENALTY
        if self.shares is not None:
            score -= self.shares.reuse_bonus(target)
        if self.connections is not None and queued.model is not None:
            score -= self.connections.bonus(queued, target, now)
        return score - PREFIX_CACHE_BONUS * _prefix_affinity(queued, target) ** 4
