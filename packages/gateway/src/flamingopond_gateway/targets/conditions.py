"""Conditions under which a target gets no requests."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable
from typing import Protocol, TypeVar

from attrs import define, field, frozen

from .health import HealthTracker
from .request_limiter import RequestLimiter
from .roster import Target, TargetState

# Incarnations that are remembered by each condition, the newest ones.
MAX_INCARNATIONS = 1000
# Requests that may be under way at once from this gateway as a pause ends. All
# gateways begin again within a short time, so that it is few.
SLOW_START_REQUESTS = 2
# That number doubles in this time.
SLOW_START_DOUBLING_S = 0.5
# From then on, after six doublings, it is no longer bounded.
SLOW_START_S = 3.0

V = TypeVar("V")


class UnavailableReason(enum.Enum):
    """Why a target cannot take a request at present."""

    QUARANTINED = "quarantined"
    SLOTS = "slots"
    MEMORY = "memory"
    # Log lines name the tokens that the engine has yet to prefill "unread".
    PREFILL_BACKLOG = "unread"
    LIMIT = "limit"
    LEAVING = "leaving"
    PAUSED = "paused"
    COLD = "cold"
    EVACUATED = "evacuated"


@frozen
class Block:
    """Why a target gets no requests, where that is known from, and for how long.

    ``source`` is for example the store's entry or a response. ``since`` and ``until``
    are times of the event loop's clock; ``until`` is None if the end isn't known.
    """

    reason: UnavailableReason
    source: str
    since: float
    until: float | None = None

    def describe(self, now: float) -> str:
        """Return the block for a log line, with its age and the time left."""
        left = (
            "" if self.until is None else f", {max(self.until - now, 0.0):.1f} s left"
        )
        age_s = max(now - self.since, 0.0)
        return f"{self.reason.value} ({self.source}, since {age_s:.1f} s{left})"


# Reasons that concern a target as a whole, not just one request.
BLOCK_REASONS = (
    UnavailableReason.LEAVING,
    UnavailableReason.PAUSED,
    UnavailableReason.COLD,
    UnavailableReason.EVACUATED,
    UnavailableReason.QUARANTINED,
    UnavailableReason.LIMIT,
)
# A gateway's own scheduler doesn't choose such targets, but the dispatcher sends some
# requests there.
DISPATCHED_REASONS = frozenset((UnavailableReason.LIMIT, UnavailableReason.COLD))
# Requests that only targets blocked for these reasons could serve are refused at once.
# Other blocks end by what the gateway itself observes, so that waiting may help.
REFUSED_REASONS = frozenset(
    (
        UnavailableReason.LEAVING,
        UnavailableReason.PAUSED,
        UnavailableReason.EVACUATED,
    )
)


class Condition(Protocol):
    """One possible reason for which targets get no requests."""

    def block(self, target: Target, now: float) -> Block | None:
        """Return why ``target`` gets no requests now, None if it may get some."""


@define
class TargetConditions:
    """All conditions that hold for the requests of one scheduler."""

    _conditions: list[Condition] = field(factory=list)

    def add(self, condition: Condition) -> None:
        """Ask ``condition``, too, from now on."""
        self._conditions.append(condition)

    def block(self, target: Target, now: float) -> Block | None:
        """Return the first block of a target, None if it may get requests."""
        for condition in self._conditions:
            block = condition.block(target, now)
            if block is not None:
                return block
        return None

    def unusable(self, targets: Iterable[Target], now: float) -> list[Target]:
        """Return the targets that get no requests now."""
        return [target for target in targets if self.block(target, now) is not None]


@define
class DrainingTargets:
    """Targets whose entries in the store say that they drain."""

    def block(self, target: Target, now: float) -> Block | None:
        """Return the block of a draining target."""
        if target.state is not TargetState.DRAINING:
            return None
        return Block(UnavailableReason.LEAVING, "store", now)


@define
class QuarantinedTargets:
    """Targets that this gateway could not reach a short time ago."""

    _health: HealthTracker

    def block(self, target: Target, now: float) -> Block | None:
        """Return the block of a target in quarantine."""
        health = self._health.of(target.incarnation)
        if health.usable(now):
            return None
        since, until = health.quarantine
        return Block(UnavailableReason.QUARANTINED, "failures", since, until)


@define
class LimitedTargets:
    """Targets whose named limit leaves no room at present."""

    _limiter: Callable[[], RequestLimiter]

    def block(self, target: Target, now: float) -> Block | None:
        """Return the block of a target whose limit is used up."""
        limiter = self._limiter()
        if limiter.allows(target, now):
            return None
        limit = limiter.named(target)
        if limit is None:
            return Block(UnavailableReason.LIMIT, "limit", now)
        return Block(
            UnavailableReason.LIMIT, f"limit at {limit.source}", limit.named_at
        )


@define
class LeavingTargets:
    """Incarnations of targets that have announced their end in a response.

    An announcement holds for good; a new incarnation starts without one.
    """

    _since: dict[tuple[str, int], float] = field(factory=dict)

    def record(self, target: Target, now: float) -> bool:
        """Record an announcement; return whether it is the first one."""
        since = self._since.pop(target.incarnation, None)
        # Moved to the end: those heard last are kept longest.
        self._since[target.incarnation] = now if since is None else since
        _forget_oldest(self._since)
        return since is None

    def block(self, target: Target, now: float) -> Block | None:
        """Return the block of a target that has announced its end."""
        # Asked for each pair of a request and a target.
        since = self._since.get(target.incarnation) if self._since else None
        if since is None:
            return None
        return Block(UnavailableReason.LEAVING, "response", since)


@frozen
class _Pause:
    since: float
    until: float


@define
class PausedTargets:
    """Targets that have asked this gateway to send them nothing for some time.

    ``in_flight`` returns the number of this gateway's requests at a target. After a
    pause it bounds them for a while (slow start), since all requests that have waited
    would otherwise be sent at the same moment.
    """

    in_flight: Callable[[str], int] = lambda target_id: 0
    _pauses: dict[tuple[str, int], _Pause] = field(factory=dict)

    def record(self, target: Target, pause_s: float, now: float) -> bool:
        """Record a requested pause; return whether the target wasn't paused before.

        Several requests may be rejected with different values. The latest end holds:
        the target expects nothing before it, and a value of 0 takes nothing back.
        """
        known = self._pauses.get(target.incarnation)
        is_new = known is None or known.until <= now
        if pause_s <= 0:
            return False
        since, until = now, now + pause_s
        if known is not None and not is_new:
            since, until = known.since, max(known.until, until)
        self._pauses.pop(target.incarnation, None)
        self._pauses[target.incarnation] = _Pause(since, until)
        _forget_oldest(self._pauses)
        return is_new

    def paused(self, target: Target, now: float) -> bool:
        """Whether a target is to get nothing at all now."""
        pause = self._pauses.get(target.incarnation)
        return pause is not None and now < pause.until

    def block(self, target: Target, now: float) -> Block | None:
        """Return the block of a paused target, or of one in its slow start."""
        pause = self._pauses.get(target.incarnation) if self._pauses else None
        if pause is None:
            return None
        if now < pause.until:
            return Block(UnavailableReason.PAUSED, "response", pause.since, pause.until)
        elapsed_s = now - pause.until
        if elapsed_s >= SLOW_START_S:
            return None
        allowed = SLOW_START_REQUESTS * 2 ** (elapsed_s / SLOW_START_DOUBLING_S)
        if self.in_flight(target.id) < allowed:
            return None
        # It ends with any request, at the earliest now.
        return Block(UnavailableReason.PAUSED, "slow start", pause.until, now)


def _forget_oldest(by_incarnation: dict[tuple[str, int], V]) -> None:
    while len(by_incarnation) > MAX_INCARNATIONS:
        del by_incarnation[next(iter(by_incarnation))]
