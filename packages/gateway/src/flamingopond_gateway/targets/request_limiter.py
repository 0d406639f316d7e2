"""Keeps the requests to targets within the limits that they have named, or while cold.

The dispatcher alone sends requests to targets with a limit and to cold ones: it counts
for all gateways that leave the choice of targets to it. Two dispatchers at a time, as
when gateways change from one hub to another, share a limit by the gateways that use
each. Requests to cold targets are granted by the one that the lease holder uses.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from .cold import ColdTargets
from .conditions import Block, UnavailableReason
from .roster import Target
from .target_limits import TargetLimit, TargetLimits

# Requests that may be sent at once after a pause. A limit is named in requests per
# second; the targets accept short bursts.
BURST = 2.0
# A target that names a lower limit, or 0, still gets this many requests per second.
# Without responses it could not say that its limit has ended.
MIN_RATE = 0.2


class RequestLimiter(Protocol):
    """Decides whether a request may be sent to a target now."""

    @property
    def active(self) -> bool:
        """Whether any target has named a limit or is cold."""

    def is_cold(self, target: Target) -> bool:
        """Whether a target is cold, so that it gets granted requests only."""

    def cold_block(self, target: Target, now: float) -> Block | None:
        """Return why a cold target gets granted requests only, None if it isn't."""

    def rate(self, target: Target) -> float | None:
        """Return the requests per second that a target takes, None for no limit."""

    def named(self, target: Target) -> TargetLimit | None:
        """Return the limit that a target names, None for no limit."""

    def allows(self, target: Target, now: float) -> bool:
        """Whether the target's limit leaves room for one more request."""

    def spend(self, target: Target, now: float) -> None:
        """Count a request that is sent to a target."""


@define
class _KnownLimits:
    """The limits and cold targets that a limiter goes by."""

    limits: TargetLimits
    cold: ColdTargets = field(factory=ColdTargets, kw_only=True)

    @property
    def active(self) -> bool:
        """Whether any target has named a limit or is cold."""
        return self.limits.active or self.cold.active

    def is_cold(self, target: Target) -> bool:
        """Whether a target is cold, so that it gets granted requests only."""
        return self.cold.rate(target) is not None

    def cold_block(self, target: Target, now: float) -> Block | None:
        """Return why a cold target gets granted requests only, None if it isn't."""
        return self.cold.block(target, now) if self.is_cold(target) else None

    def rate(self, target: Target) -> float | None:
        """Return the requests per second that a target takes, None for no limit."""
        limit = self.limits.rate(target)
        cold = self.cold.rate(target)
        if cold is None:
            return limit
        return cold.per_s if limit is None else min(limit, cold.per_s)

    def named(self, target: Target) -> TargetLimit | None:
        """Return the limit that a target names, None for no limit."""
        if self.limits.rate(target) is None:
            return None
        return self.limits.get(target.id)


@define
class LocalLimiter(_KnownLimits):
    """Sends nothing to limited and cold targets: the dispatcher grants requests."""

    def allows(self, target: Target, now: float) -> bool:
        """Whether the target has named no limit and isn't cold."""
        return self.rate(target) is None

    def spend(self, target: Target, now: float) -> None:
        """Count nothing; the target has no limit."""


@define
class _TokenBucket:
    start_id: int
    level: float
    updated_at: float
    cold: bool


@define
class DispatcherLimiter(_KnownLimits):
    """Token buckets of the targets with a limit and the cold ones, at the dispatcher.

    ``share`` returns the fraction of all gateways that use this dispatcher, and
    ``grants_cold`` whether it is the one that grants requests to cold targets.
    """

    share: Callable[[float], float]
    grants_cold: Callable[[], bool] = lambda: False
    _buckets: dict[str, _TokenBucket] = field(factory=dict)

    def allows(self, target: Target, now: float) -> bool:
        """Whether the target's limit leaves room for one more request."""
        bucket = self._bucket(target, now)
        return bucket is None or bucket.level >= 1.0

    def spend(self, target: Target, now: float) -> None:
        """Count a request that is sent to a target."""
        bucket = self._bucket(target, now)
        if bucket is not None:
            bucket.level -= 1.0

    def _bucket(self, target: Target, now: float) -> _TokenBucket | None:
        """Return the refilled bucket of a target, None if it has no limit.

        A new bucket is empty: other gateways, or another dispatcher, may have sent
        requests before.
        """
        limit = self.limits.rate(target)
        cold = self.cold.rate(target)
        if limit is None and cold is None:
            self._buckets.pop(target.id, None)
            return None
        bucket = self._buckets.get(target.id)
        is_cold = cold is not None
        if (
            bucket is None
            or bucket.start_id != target.start_id
            or bucket.cold != is_cold
        ):
            bucket = _TokenBucket(target.start_id, 0.0, now, is_cold)
            self._buckets[target.id] = bucket
        rate, burst = float("inf"), BURST
        if limit is not None:
            rate = max(limit, MIN_RATE) * self.share(now)
        if cold is not None:
            rate, burst = min(rate, cold.per_s), min(burst, cold.burst)
            if not self.grants_cold():
                bucket.level, burst = 0.0, 0.0
        refill = rate * (now - bucket.updated_at)
        bucket.level = min(bucket.level + refill, burst)
        bucket.updated_at = now
        return bucket


@define
class LimitedTargets:
    """Targets whose named limit leaves no room at present."""

    _limiter: Callable[[], RequestLimiter]

    def block(self, target: Target, now: float) -> Block | None:
        """Return the block of a target whose limit is used up."""
        limiter = self._limiter()
        if limiter.allows(target, now):
            return None
        cold = limiter.cold_block(target, now)
        if cold is not None:
            return cold
        limit = limiter.named(target)
        if limit is None:
            return Block(UnavailableReason.LIMIT, "limit", now)
        return Block(
            UnavailableReason.LIMIT, f"limit at {limit.source}", limit.named_at
        )
