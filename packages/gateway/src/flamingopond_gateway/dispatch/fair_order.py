"""Orders of waiting requests: by urgency, or by fair shares under overload."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Generic, Protocol, TypeVar

from attrs import define, field

from ..settings import PRESSURE_CONTRACT, GatewaySettings

# Arrivals and served requests count for about this long. Shorter than callers wait,
# so that a share that was withheld is made up for while they still do.
RECENT_S = 5.0
# The usual demand of a workspace or route is its mean over about this long, in which
# it at most rises by MAX_USUAL_RISE: ten times the demand stays unusual for minutes.
USUAL_S = 300.0
MAX_USUAL_RISE = 2.0
# All demand is usual at first, until RECENT_S has passed twice.
LEARNING_S = 10.0
# Fraction of the mean usual demand that counts as usual for anyone.
NEWCOMER_SHARE = 0.5
# Growth relative to that of the others up to which demand counts as usual: random
# arrivals within RECENT_S vary that much.
USUAL_GROWTH = 1.5
# Least weight of a flow, so that positions stay finite.
MIN_WEIGHT = 0.01
# Weight of a rank relative to the one before it.
RANK_WEIGHT = 0.8
# A flow goes first while the fraction of it that was served is below this part of that
# of all requests. A kind or workspace must get a quarter; the rest is for estimates.
GUARANTEED_FRACTION = 0.3
# Factor that puts the positions of such requests before all others, which are at least
# the served fraction of all requests times GUARANTEED_FRACTION.
GUARANTEED_POSITION = 1e-6
# Of this many requests served while late and timely ones wait, one is a late one: late
# requests are worth less to their callers, but must not wait for ever.
LATE_INTERVAL = 20
# Fractional part of the golden ratio; its multiples are spread evenly, modulo 1.
GOLDEN_RATIO = 0.6180339887498949
# Waits are estimated once requests have waited for this long without a break: what is
# served until then tells little of what can be.
SHORTAGE_S = 1.0
# A break of this long ends a shortage; waits are estimated every 20 to 100 ms.
SHORTAGE_BREAK_S = 0.3
# Least rate for estimates, in requests per second. What was served decays towards 0
# in a long outage, and waits in ms have to fit into the 64 bits of a message.
MIN_SERVED_PER_S = 0.001
# A request is refused early only if its estimated wait ends this long after its
# deadline, since the estimates are rough.
WAIT_ESTIMATE_MARGIN_S = 0.3
# Callers accept a Retry-After of at most this fraction of the time to their deadline.
MAX_RETRY_AFTER_FRACTION = 0.33
# Fraction of a flow's rate at which refused callers are asked to come back.
RETURN_FRACTION = 0.5
# Flows without requests for this long are forgotten.
FORGET_S = 1800.0
FORGET_PERIOD_S = 60.0


class OrderedRequest(Protocol):
    """What the order of waiting requests depends on.

    Times are in seconds of the event loop's clock, as in :class:`tickets.Ticket`.
    ``priority_rank`` is the priority of the request's workspace or route; the lowest
    rank goes first. ``number`` identifies its wait at its gateway. ``workspace_key``
    and ``route_key`` are hashes of the names, 0 if unknown. ``returning`` marks a
    request whose caller was refused for lack of capacity; callers give up at their
    ``deadline``.
    """

    arrived_at: float
    objective_deadline: float
    queue_deadline: float
    priority_rank: int
    resuming: bool
    number: int
    workspace_key: int
    route_key: int
    returning: bool
    deadline: float

    @property
    def service(self) -> str:
        """Name of the service that serves it."""

    @property
    def model(self) -> str | None:
        """Name of the requested model, None for other calls."""

    @property
    def cost(self) -> int:
        """Cost to an engine, in prompt tokens; see :func:`demand.generation_cost`."""

    def late(self, now: float) -> bool:
        """Whether the request can no longer meet its latency objective."""


# Service, route and rank.
_Kind = tuple[str, int, int]
# A kind and a workspace.
_Flow = tuple[_Kind, int]

P = TypeVar("P", bound=OrderedRequest)
K = TypeVar("K")


class RequestOrder(Protocol):
    """Decides which of the waiting requests is served next."""

    @property
    def separates_sizes(self) -> bool:
        """Whether prompts are separated by size, whatever the objectives."""

    def record_arrival(self, queued: OrderedRequest) -> None:
        """Record a request that begins to wait."""

    def record_served(self, queued: OrderedRequest, now: float) -> None:
        """Record a request that is sent to a target."""

    def sort(self, queue: Collection[P], now: float) -> list[P]:
        """Return the waiting requests, the next one to serve first."""

    def waits_s(self, ordered: Sequence[P], now: float) -> list[float]:
        """Return the expected waits of sorted requests of a service, 0 if unknown."""

    def return_wait_s(self, queued: OrderedRequest, now: float) -> float:
        """Return when a refused caller should come back, 0 if unknown."""


def urgency(queued: OrderedRequest, now: float) -> tuple[bool, bool, int, float]:
    """Return the sort key of waiting requests, the most urgent first.

    Interrupted streams come first, as their callers see a pause. Requests that can
    still meet their latency objective come before those that can't, then lower
    priority ranks, then earlier deadlines.
    """
    late = queued.late(now)
    deadline = queued.queue_deadline if late else queued.objective_deadline
    return (not queued.resuming, late, queued.priority_rank, deadline)


class UrgencyOrder:
    """Serves the most urgent request first; see :func:`urgency`."""

    @property
    def separates_sizes(self) -> bool:
        """Whether prompts are separated by size, whatever the objectives."""
        return False

    def record_arrival(self, queued: OrderedRequest) -> None:
        """Record nothing; the order depends on the waiting requests alone."""

    def record_served(self, queued: OrderedRequest, now: float) -> None:
        """Record nothing; the order depends on the waiting requests alone."""

    def sort(self, queue: Collection[P], now: float) -> list[P]:
        """Return the waiting requests, the most urgent first."""
        return sorted(queue, key=lambda queued: urgency(queued, now))

    def waits_s(self, ordered: Sequence[P], now: float) -> list[float]:
        """Return 0, as nothing is known of the rates at which requests are served."""
        return [0.0] * len(ordered)

    def return_wait_s(self, queued: OrderedRequest, now: float) -> float:
        """Return 0, as nothing is known of the rates at which requests are served."""
        return 0.0


@define
class _DecayingSum:
    """Sum whose terms lose weight with age, by a factor of e in ``period_s``."""

    period_s: float
    value: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Return the sum as of ``now``."""
        if now > self.updated_at:
            self.value *= math.exp((self.updated_at - now) / self.period_s)
            self.updated_at = now
        return self.value

    def add(self, term: float, now: float) -> None:
        """Add a term of full weight."""
        self.value = self.at(now) + term


@define
class _Usage:
    """Recently arrived and served requests of a flow.

    ``return_at`` is when the last of the refused callers should come back.
    """

    arrived: _DecayingSum = field(factory=lambda: _DecayingSum(RECENT_S))
    served: _DecayingSum = field(factory=lambda: _DecayingSum(RECENT_S))
    return_at: float = 0.0


@define
class _Rate:
    """Recent and usual demand of one workspace or route, in cost per second."""

    recent: _DecayingSum = field(factory=lambda: _DecayingSum(RECENT_S))
    usual: float = 0.0
    updated_at: float = 0.0


@define
class _Demand(Generic[K]):
    """Recent and usual demand for each workspace, route or flow."""

    _rates: dict[K, _Rate] = field(factory=dict)
    _total: _DecayingSum = field(factory=lambda: _DecayingSum(RECENT_S))
    _total_usual: float = 0.0
    _began_at: float | None = None

    def add(self, key: K, cost: float, now: float) -> None:
        """Add the cost of a request, and adapt what is usual."""
        if self._began_at is None:
            self._began_at = now
        rate = self._rates.get(key)
        if rate is None:
            rate = self._rates[key] = _Rate(updated_at=now)
        rate.recent.add(cost, now)
        self._total.add(cost, now)
        age_s = now - self._began_at
        recent = rate.recent.value * self._scale(now)
        if age_s < LEARNING_S:
            usual = recent
        else:
            # One at many times its demand must not soon count as usual.
            usual = rate.usual
            most = MAX_USUAL_RISE * max(usual, self._least_usual)
            elapsed_s = max(now - rate.updated_at, 0.0)
            fraction = min(elapsed_s / min(age_s, USUAL_S), 1.0)
            usual += fraction * (min(recent, most) - usual)
        self._total_usual += usual - rate.usual
        rate.usual = usual
        rate.updated_at = max(now, rate.updated_at)

    def restraint(self, key: K, now: float) -> float:
        """Return 1 for usual demand, and less the more it has grown.

        Growth of all others alike is no reason to restrain one. The square lets those
        at their usual demand, who did not cause a shortage, have nearly all they need.
        """
        rate = self._rates.get(key)
        others_usual = self._total_usual - (rate.usual if rate is not None else 0.0)
        if rate is None or len(self._rates) < 2 or others_usual <= 0:
            return 1.0
        scale = self._scale(now)
        recent = rate.recent.at(now) * scale
        others_recent = self._total.at(now) * scale - recent
        others_growth = max(others_recent / others_usual, 1.0)
        allowed = USUAL_GROWTH * others_growth * max(rate.usual, self._least_usual)
        return min(allowed / recent, 1.0) ** 2 if recent > 0 else 1.0

    def forget(self, now: float) -> None:
        """Forget what has had no demand for long."""
        for key, rate in list(self._rates.items()):
            if now - rate.updated_at > FORGET_S:
                del self._rates[key]
                self._total_usual -= rate.usual

    @property
    def _least_usual(self) -> float:
        """Demand that counts as usual for anyone, so that newcomers get a share."""
        return NEWCOMER_SHARE * self._total_usual / max(len(self._rates), 1)

    def _scale(self, now: float) -> float:
        """Return the factor from a recent sum to a rate."""
        age_s = max(now - (self._began_at or now), 1.0)
        return 1 / (RECENT_S * -math.expm1(-age_s / RECENT_S))


@define
class _Shortage:
    """Time in which some requests of a service have always waited.

    ``flow_rates`` are the requests per second that each waiting flow may get.
    """

    began_at: float
    seen_at: float
    served: _DecayingSum = field(factory=lambda: _DecayingSum(RECENT_S))
    flow_rates: dict[_Flow, float] = field(factory=dict)

    def served_per_s(self, now: float) -> float:
        """Return the requests served per second, 0 if too little is known."""
        age_s = now - self.began_at
        if age_s < SHORTAGE_S:
            return 0.0
        return self.served.at(now) / (RECENT_S * -math.expm1(-age_s / RECENT_S))


@define
class _ServiceDemand:
    """Demand at one service."""

    workspaces: _Demand[int] = field(factory=_Demand)
    routes: _Demand[int] = field(factory=_Demand)
    flows: _Demand[_Flow] = field(factory=_Demand)

    def flow_restraint(self, flow: _Flow, now: float) -> float:
        """Return the restraint of a flow that has grown in a workspace that has.

        The other flows of a workspace with a hot key are at their usual demand, and so
        are the small ones, which vary, of a workspace that is.
        """
        restraint = self.workspaces.restraint(flow[1], now)
        if restraint == 1.0:
            return 1.0
        return max(restraint, self.flows.restraint(flow, now))


@define
class FairOrder:
    """Shares the capacity of a service between workspaces and kinds of requests.

    A kind is a route with a priority rank, a flow the requests of a kind and workspace.
    Served next is the flow whose fraction of recently arrived requests that were served
    is the least relative to its weight. The fractions decay, so that whoever waits
    comes first in time. See docs/design/fair-order.md.
    """

    _flows: dict[_Flow, _Usage] = field(factory=dict)
    _totals: dict[str, _Usage] = field(factory=dict)
    _demand: dict[str, _ServiceDemand] = field(factory=dict)
    _served_since_late: dict[str, int] = field(factory=dict)
    _shortages: dict[str, _Shortage] = field(factory=dict)
    _forgot_at: float = 0.0

    @property
    def separates_sizes(self) -> bool:
        """Whether prompts are separated by size; late ones may come first here."""
        return True

    def record_arrival(self, queued: OrderedRequest) -> None:
        """Record a request that begins to wait."""
        if queued.resuming:
            return
        now = queued.arrived_at
        self._usage(_flow(queued)).arrived.add(1, now)
        self._totals.setdefault(queued.service, _Usage()).arrived.add(1, now)
        cost = float(max(queued.cost, 1))
        demand = self._demand.get(queued.service)
        if demand is None:
            demand = self._demand[queued.service] = _ServiceDemand()
        demand.workspaces.add(queued.workspace_key, cost, now)
        demand.flows.add(_flow(queued), cost, now)
        # What one workspace asks for beyond its usual demand is no burst of the kind.
        usual_cost = cost * demand.flow_restraint(_flow(queued), now)
        demand.routes.add(queued.route_key, usual_cost, now)
        if now - self._forgot_at > FORGET_PERIOD_S:
            self._forgot_at = now
            self._forget(now)

    def record_served(self, queued: OrderedRequest, now: float) -> None:
        """Record a request that is sent to a target."""
        if queued.resuming:
            return
        self._usage(_flow(queued)).served.add(1, now)
        self._totals.setdefault(queued.service, _Usage()).served.add(1, now)
        shortage = self._shortages.get(queued.service)
        if shortage is not None:
            shortage.served.add(1, now)
        since_late = self._served_since_late.get(queued.service, 0) + 1
        if queued.late(now):
            since_late = 0
        self._served_since_late[queued.service] = since_late

    def sort(self, queue: Collection[P], now: float) -> list[P]:
        """Return the waiting requests, the next one to serve first.

        Interrupted streams come first, as their callers see a pause.
        """
        first: list[P] = []
        timely: dict[_Flow, list[P]] = {}
        late: dict[_Flow, list[P]] = {}
        service = ""
        for queued in queue:
            if queued.resuming:
                first.append(queued)
                continue
            service = queued.service
            flows = late if queued.late(now) else timely
            flows.setdefault(_flow(queued), []).append(queued)
        first.sort(key=lambda queued: urgency(queued, now))
        weights = self._weights(service, {**timely, **late}, now)
        since_late = self._served_since_late.get(service, 0)
        return first + _interleave(
            self._by_share(timely, weights, now),
            self._by_share(late, weights, now),
            since_late,
        )

    def waits_s(self, ordered: Sequence[P], now: float) -> list[float]:
        """Return the expected waits of sorted requests of a service, 0 if unknown.

        The waiting flows share what has been served per second in this shortage; other
        flows may take a part of it, so that a wait may be longer. Late requests get
        what timely ones leave, or their place in LATE_INTERVAL.
        """
        if not ordered:
            return []
        service = ordered[0].service
        shortage = self._shortages.get(service)
        if shortage is None or now - shortage.seen_at > SHORTAGE_BREAK_S:
            shortage = self._shortages[service] = _Shortage(now, now)
        shortage.seen_at = now
        served_per_s = shortage.served_per_s(now)
        if not served_per_s:
            return [0.0] * len(ordered)
        weights = self._weights(service, {_flow(queued) for queued in ordered}, now)
        total_weight = sum(weight for weight, _ in weights.values())
        arrived_per_s = self._totals[service].arrived.at(now) / RECENT_S
        late_per_s = max(
            served_per_s - arrived_per_s,
            served_per_s / LATE_INTERVAL,
            MIN_SERVED_PER_S,
        )
        ahead: dict[tuple[_Flow | None, str | None], int] = {}
        shortage.flow_rates = {
            flow: max(
                served_per_s * weight / total_weight,
                self._usage(flow).served.at(now) / RECENT_S,
                guaranteed / RECENT_S,
                MIN_SERVED_PER_S,
            )
            for flow, (weight, guaranteed) in weights.items()
        }
        waits = []
        for queued in ordered:
            flow = _flow(queued)
            late = queued.late(now)
            key = (None if late else flow, queued.model)
            ahead[key] = position = ahead.get(key, 0) + 1
            rate = late_per_s if late else shortage.flow_rates[flow]
            waits.append(0.0 if queued.resuming else position / rate)
            latest_at = queued.queue_deadline + WAIT_ESTIMATE_MARGIN_S
            if now + waits[-1] > latest_at and not queued.returning:
                # It will be refused, and doesn't hold up those behind it.
                ahead[key] -= 1
        return waits

    def return_wait_s(self, queued: OrderedRequest, now: float) -> float:
        """Return when a refused caller should come back, 0 if unknown.

        The callers of a flow come back one after another, at part of its rate, so that
        new requests aren't all refused for those that return. A time beyond what its
        caller waits takes no turn.
        """
        shortage = self._shortages.get(queued.service)
        flow = _flow(queued)
        if shortage is None or now - shortage.seen_at > SHORTAGE_BREAK_S:
            return 0.0
        rate = shortage.flow_rates.get(flow)
        if not rate:
            return 0.0
        usage = self._usage(flow)
        return_at = max(usage.return_at, now) + 1 / (RETURN_FRACTION * rate)
        if return_at - now <= (queued.deadline - now) * MAX_RETRY_AFTER_FRACTION:
            usage.return_at = return_at
        return return_at - now

    def _usage(self, flow: _Flow) -> _Usage:
        usage = self._flows.get(flow)
        if usage is None:
            usage = self._flows[flow] = _Usage()
        return usage

    def _weights(
        self, service: str, flows: Iterable[_Flow], now: float
    ) -> dict[_Flow, tuple[float, float]]:
        """Return the weight of each flow and the number that it is guaranteed.

        Both are in proportion to its recent arrivals.
        """
        kind_weights = self._kind_weights({kind for kind, _ in flows}, now)
        weights: dict[_Flow, tuple[float, float]] = {}
        total = self._totals.get(service)
        fraction = 0.0
        if total is not None:
            fraction = total.served.at(now) / max(total.arrived.at(now), 1.0)
        for flow in flows:
            kind = flow[0]
            demand = self._demand.get(kind[0])
            restraint = demand.flow_restraint(flow, now) if demand else 1.0
            arrived = max(self._usage(flow).arrived.at(now), 1.0)
            weights[flow] = (
                max(restraint * kind_weights[kind], MIN_WEIGHT) * arrived,
                GUARANTEED_FRACTION * fraction * arrived,
            )
        return weights

    def _kind_weights(self, kinds: Iterable[_Kind], now: float) -> dict[_Kind, float]:
        """Return the weights of kinds; none exceeds that of a more urgent one.

        A burst of an urgent kind thus restrains the less urgent ones of its service,
        too, which would otherwise be served more often.
        """
        weights: dict[_Kind, float] = {}
        limits: dict[str, tuple[int, float, float]] = {}
        for kind in sorted(kinds, key=lambda kind: kind[2]):
            service, route, rank = kind
            demand = self._demand.get(service)
            restraint = demand.routes.restraint(route, now) if demand else 1.0
            known_rank, limit, least = limits.get(service, (rank, 1.0, 1.0))
            if rank > known_rank:
                limit = least
            restraint = min(restraint, limit)
            limits[service] = (rank, limit, min(least, restraint))
            weights[kind] = RANK_WEIGHT ** max(rank, 0) * restraint
        return weights

    def _by_share(
        self,
        flows: Mapping[_Flow, list[P]],
        weights: Mapping[_Flow, tuple[float, float]],
        now: float,
    ) -> list[P]:
        """Merge the flows by what each would have been served, relative to its weight.

        Requests for different models wait for different targets, so that those for
        one model don't count as ahead of those for another.
        """
        merged: list[tuple[float, float, int, P]] = []
        for flow, requests in flows.items():
            if len(requests) > 1:
                requests.sort(key=_within_flow)
            weight, guaranteed = weights[flow]
            served = self._usage(flow).served.at(now)
            ahead: dict[str | None, float] = {}
            for queued in requests:
                position = ahead.get(queued.model)
                if position is None:
                    position = served + _offset(queued)
                ahead[queued.model] = position + 1
                share = position / weight
                if position < guaranteed:
                    share *= GUARANTEED_POSITION
                entry = (
                    share,
                    queued.objective_deadline,
                    len(merged),
                    queued,
                )
                merged.append(entry)
        merged.sort()
        return [entry[3] for entry in merged]

    def _forget(self, now: float) -> None:
        for flow, usage in list(self._flows.items()):
            if now - usage.arrived.updated_at > FORGET_S:
                del self._flows[flow]
        for demand in self._demand.values():
            demand.workspaces.forget(now)
            demand.routes.forget(now)
            demand.flows.forget(now)


def _flow(queued: OrderedRequest) -> _Flow:
    kind = (queued.service, queued.route_key, queued.priority_rank)
    return kind, queued.workspace_key


def _offset(queued: OrderedRequest) -> float:
    """Return a number in [0, 1) that is spread evenly over successive requests.

    Without it, all flows with a single request would come before, or after, those
    that are served at the same fraction.
    """
    return queued.number * GOLDEN_RATIO % 1.0


def _within_flow(queued: OrderedRequest) -> tuple[bool, float]:
    """Return the sort key within a flow: callers that were refused go first."""
    return not queued.returning, queued.objective_deadline


def _interleave(timely: list[P], late: list[P], served_since_late: int) -> list[P]:
    """Put a late request into each LATE_INTERVAL-th place."""
    if not timely or not late:
        return timely or late
    merged: list[P] = []
    remaining = iter(late)
    for queued in timely:
        if served_since_late >= LATE_INTERVAL - 1:
            served_since_late = 0
            found = next(remaining, None)
            if found is not None:
                merged.append(found)
        merged.append(queued)
        served_since_late += 1
    return [*merged, *remaining]


def request_order(settings: GatewaySettings) -> RequestOrder:
    """Return the order of waiting requests that the deployment calls for."""
    if PRESSURE_CONTRACT in settings.contracts:
        return FairOrder()
    return UrgencyOrder()
