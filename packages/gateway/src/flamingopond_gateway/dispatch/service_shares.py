"""This gateway's share of the slots and connections of plain services.

The places at a target (its slots and a short queue) are borrowed by demand: a
gateway may have in flight a multiple of what is free there, as with the dynamic
thresholds of shared buffers, so that one alone gets most of them and many together
leave some free. What is free is known from the summaries of the fleet's load; without
a recent one, each gateway has an equal part.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from attrs import define, field, frozen

from ..settings import Address
from ..targets.roster import Target
from .loads import WorkTable

# Requests that may queue at a plain target, as a fraction of its slots. The queue
# keeps the target busy while load reports of peers are in transit.
QUEUE_FRACTION = 0.5
# Places left free at each target for requests that a summary doesn't show yet.
PLACE_MARGIN = 1
# A gateway's requests in flight at a target are below this multiple of the places free
# there. With 2, a gateway that is alone gets as many as the target has slots.
FREE_PLACES_RATIO = 2.0
# Above this fraction of the places (all slots of 6 are busy), a gateway's sends are
# spaced out, fully at 1: then those of all gateways are what the slots can serve.
PACED_LOAD = 0.75
# Summaries are late: all gateways with waiting requests see the same free places, and
# most of what they send at once is refused. So each refusal spaces out a gateway's
# sends to a target, and each answer brings them closer again. The spacing is a fraction
# of that at which all gateways have an equal part; it grows by this factor and step.
REFUSAL_FACTOR = 1.5
REFUSAL_STEP = 0.2
ANSWER_FACTOR = 0.7
# Without refusals the spacing halves in this time.
SPACING_HALF_LIFE_S = 3.0
# Fraction of the cap of connections that all gateways together use. The rest is for
# connections that the target hasn't seen closed, and for gateways that start.
CONNECTION_FRACTION = 0.9
# After a reset over its cap a target gets no new connection for this long; connections
# of others expire within seconds.
RESET_PAUSE_S = 0.5
# After a refusal (it has no slot) a target gets nothing for this long, half a call.
REFUSAL_PAUSE_S = 0.05
# From this failure ratio on, a target gets one request at a time, at its paced rate.
FAILING_RATIO = 0.3
# From this failure ratio on, being idle doesn't count for a target.
SUSPECT_RATIO = 0.05
# Duration of a call to a service that has not been measured yet.
DEFAULT_CALL_S = 0.1
# Score reduction for an open idle connection. It outweighs the way to another zone, but
# not a request more at a target with 6 slots.
REUSE_BONUS = 0.05


@frozen
class TargetUse:
    """Requests in flight at a target.

    ``peers`` are those of the other gateways, None without a recent summary.
    """

    own: int
    peers: int | None


def places(slots: int, gateways: int) -> float:
    """Return how many requests all gateways may have in flight at a target."""
    whole = slots * (1 + QUEUE_FRACTION)
    return whole if gateways <= 1 else max(whole - PLACE_MARGIN, float(slots))


def may_send(slots: int, use: TargetUse, gateways: int, failing: bool) -> bool:
    """Whether this gateway may have one more request in flight at a target."""
    total = places(slots, gateways)
    if failing and use.own:
        return False
    if gateways <= 1:
        return use.own + (use.peers or 0) < total
    if use.peers is None:
        return use.own < max(int(total / gateways), 1)
    free = total - use.own - use.peers
    return free >= 1 and use.own < FREE_PLACES_RATIO * free


def send_interval_s(
    slots: int, use: TargetUse, gateways: int, call_s: float, spacing: float
) -> float:
    """Return the least time between two sends of this gateway to a target.

    ``spacing`` is a fraction of the time that all gateways can keep to, whatever the
    load; the load may call for more.
    """
    whole_s = call_s * gateways / max(slots, 1)
    if use.peers is None:
        return whole_s if 1 < gateways > slots else whole_s * spacing
    load = (use.own + use.peers) / places(slots, gateways)
    paced = min(max((load - PACED_LOAD) / (1 - PACED_LOAD), 0.0), 1.0)
    return whole_s * max(paced if gateways > 1 else 0.0, spacing)


@frozen
class Spacing:
    """How far a gateway's sends to a target are spaced out, from 0 to 1."""

    value: float = 0.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        """Return the present value."""
        age_s = max(now - self.updated_at, 0.0)
        return float(self.value * 0.5 ** (age_s / SPACING_HALF_LIFE_S))

    def refused(self, now: float) -> Spacing:
        """Return the spacing after a refusal."""
        return Spacing(min(self.at(now) * REFUSAL_FACTOR + REFUSAL_STEP, 1.0), now)

    def answered(self, now: float) -> Spacing:
        """Return the spacing after an answer."""
        return Spacing(self.at(now) * ANSWER_FACTOR, now)


NOT_SPACED = Spacing()


def connection_part(slots: int, cap: int, gateways: int) -> int | None:
    """Return the connections to a target that a gateway may keep, None without a cap.

    Beyond that it opens one for each request in flight only; all of those together are
    no more than the places, for which the parts leave room.
    """
    if cap <= 0:
        return None
    most = slots * (1 + QUEUE_FRACTION)
    part = (cap * CONNECTION_FRACTION - most) / max(gateways, 1)
    return int(min(max(part, 0.0), most))


def herd_free_load(
    load: float, failure_ratio: float, loads: Callable[[], Sequence[float]]
) -> float:
    """Return the load to rank a target by.

    A target that fails fast is idle because of that; it ranks as one with the mean load
    of its service, ``loads``.
    """
    if failure_ratio < SUSPECT_RATIO:
        return load
    known = loads()
    return max(load, sum(known) / len(known)) if known else load


@define
class ServiceShares:
    """Applies the shares to the present use of each target.

    ``idle_connections`` returns how many the pool has to an address, ``cap`` the cap
    of a service's targets, ``call_s`` how long its calls take.
    """

    work: WorkTable
    gateways: Callable[[], int]
    idle_connections: Callable[[Address], int]
    cap: Callable[[str], int]
    call_s: Callable[[str], float]
    _sent_at: dict[str, float] = field(factory=dict)
    _full_until: dict[str, float] = field(factory=dict)
    _spacings: dict[str, Spacing] = field(factory=dict)
    _no_new_until: dict[str, float] = field(factory=dict)

    def has_room(self, target: Target, failure_ratio: float, now: float) -> bool:
        """Whether this gateway may send one more request to a target now."""
        if now < self._full_until.get(target.id, now):
            return False
        if now < self._no_new_until.get(target.id, now) and not self.idle_connections(
            target.address
        ):
            return False
        use = self._use(target, now)
        failing = failure_ratio >= FAILING_RATIO
        gateways = self.gateways()
        if not may_send(target.slots, use, gateways, failing):
            return False
        spacing = 1.0 if failing else self._spacing(target).at(now)
        interval_s = send_interval_s(
            target.slots, use, gateways, self.call_s(target.service), spacing
        )
        return now >= self._sent_at.get(target.id, float("-inf")) + interval_s

    def record_sent(self, target: Target, now: float) -> None:
        """Record that a request has been assigned to a target."""
        self._sent_at[target.id] = now

    def record_refusal(self, target: Target, now: float) -> None:
        """Record that a target had no room for a request."""
        self._full_until[target.id] = now + REFUSAL_PAUSE_S
        self._spacings[target.id] = self._spacing(target).refused(now)

    def record_answer(self, target: Target, now: float) -> None:
        """Record that a target had room for a request."""
        if target.id in self._spacings:
            self._spacings[target.id] = self._spacing(target).answered(now)

    def record_reset(self, target: Target, now: float) -> bool:
        """Record a reset over the cap; return whether connections were accepted before.

        The pause ends by itself; a connection that is accepted ends the record.
        """
        known = target.id in self._no_new_until
        self._no_new_until[target.id] = now + RESET_PAUSE_S
        return not known

    def record_accepted(self, target: Target) -> bool:
        """Record that a target accepted a connection; return if it is a change."""
        return self._no_new_until.pop(target.id, None) is not None

    def forget(self, listed: Iterable[Target]) -> None:
        """Forget the targets that are not listed any more."""
        ids = {target.id for target in listed}
        for times in (self._sent_at, self._full_until, self._no_new_until):
            for target_id in times.keys() - ids:
                del times[target_id]
        for target_id in self._spacings.keys() - ids:
            del self._spacings[target_id]

    def rate(self, targets: Iterable[Target], now: float) -> float:
        """Return how many calls per second this gateway can expect to be served.

        It gets an equal part in any case, and the slots that others leave.
        """
        gateways = max(self.gateways(), 1)
        total = 0.0
        for target in targets:
            use = self._use(target, now)
            left = 0 if use.peers is None else target.slots - use.peers
            slots = max(use.own, left, target.slots / gateways)
            total += slots / self.call_s(target.service)
        return total

    def idle_limit(self, target: Target, ending: int = 0) -> int | None:
        """Return how many idle connections to a target may stay open now.

        ``ending`` of its requests in flight are about to end.
        """
        cap = self.cap(target.service)
        part = connection_part(target.slots, cap, self.gateways())
        if part is None:
            return None
        return max(part - self.work.own_requests(target.id) + ending, 0)

    def reuse_bonus(self, target: Target) -> float:
        """Return what an open idle connection takes off a target's score."""
        return REUSE_BONUS if self.idle_connections(target.address) else 0.0

    def _spacing(self, target: Target) -> Spacing:
        return self._spacings.get(target.id, NOT_SPACED)

    def _use(self, target: Target, now: float) -> TargetUse:
        own = self.work.own_requests(target.id)
        return TargetUse(own, self.work.peer_requests(target.id, now))
