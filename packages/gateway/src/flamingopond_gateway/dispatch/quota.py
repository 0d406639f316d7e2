"""Rate limits of workspaces, enforced over the whole fleet.

Every gateway has a token bucket for each workspace and reports the total that it
has admitted. It charges its own admissions to the bucket at once, and those of
its peers when a hub sends the fleet's totals. If some peers are unreachable, it
uses only the reachable gateways' fraction of the rate. A gateway that was restarted
admits nothing of limited workspaces until it knows how many gateways there are.

In large fleets totals are old. While a workspace's bucket is nearly empty, a gateway
there spends only its own part of what is refilled, by what it has admitted lately;
otherwise all of them would spend the same tokens before they hear of each other.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from attrs import define, field

from ..configuration import Workspace

# After a restart a bucket starts with at most this many seconds of the rate, since
# the usage just before the restart is unknown.
RESTART_BURST_S = 0.5
# Until a restarted gateway knows the size of the fleet, limited workspaces are asked to
# come back after this time; registration is tried again in 0.3 s.
UNKNOWN_FLEET_WAIT_S = 0.5
# Streams that their callers take up go before new requests: for a while after a
# restart, and after the last one of a workspace, new requests leave this much of its
# rate, and at most this part of its burst, to them.
TAKE_UP_RESERVE_S = 0.25
TAKE_UP_BURST_FRACTION = 0.5
TAKE_UP_PERIOD_S = 5.0
# From this number of gateways on, totals are older than 0.2 s.
LARGE_FLEET = 32
# Below this part of its burst, a bucket is nearly empty.
CONTENDED_LEVEL = 0.25
# A gateway's part follows the admissions of about this time.
PART_PERIOD_S = 1.0
# This much of the rate counts as admitted evenly by all gateways, so that one without
# recent requests has a part, too.
EVEN_PART_S = 0.3
# Shortest time after which a request that exceeds the gateway's part may come back.
MIN_PART_WAIT_S = 0.05


@define
class _TokenBucket:
    level: float
    updated: float

    def refill(self, rate: float, burst: float, now: float) -> None:
        self.level = min(burst, self.level + rate * max(now - self.updated, 0.0))
        self.updated = now


@define
class _Part:
    """This gateway's part of a workspace's rate, and what is left of it to spend.

    ``_own`` and ``_fleet`` are decaying sums of what was admitted here and by all.
    """

    _own: float = 0.0
    _fleet: float = 0.0
    _own_total: float = 0.0
    _totals_at: float = 0.0
    _left: float = 0.0
    _refilled_at: float = 0.0

    def add_totals(self, own_total: float, peer_delta: float, now: float) -> None:
        """Add what new totals say: this gateway's total, and what peers have added."""
        decay = math.exp(min(self._totals_at - now, 0.0) / PART_PERIOD_S)
        own = max(own_total - self._own_total, 0.0)
        self._own = self._own * decay + own
        self._fleet = self._fleet * decay + own + max(peer_delta, 0.0)
        self._own_total = own_total
        self._totals_at = now

    def refill(
        self, workspace: Workspace, cost: float, members: int, now: float
    ) -> float:
        """Return what is left to spend, at most ``cost`` or the part of the burst."""
        even = EVEN_PART_S * workspace.rate
        fraction = (self._own + even / members) / (self._fleet + even)
        refilled = workspace.rate * fraction * max(now - self._refilled_at, 0.0)
        self._left = min(self._left + refilled, max(workspace.burst * fraction, cost))
        self._refilled_at = now
        return self._left

    def spend(self, cost: float) -> None:
        """Record an admission."""
        self._left = max(self._left - cost, 0.0)

    def refund(self, cost: float) -> None:
        """Return what was spent on a request that has not run."""
        self._left += cost

    def clear(self, now: float) -> None:
        """Start again without anything to spend, as the workspace is over its limit."""
        self._left = 0.0
        self._refilled_at = now


@define
class QuotaTracker:
    """Token buckets of the workspaces, and the totals admitted here and by peers."""

    first_start: bool
    _admitted: dict[str, float] = field(factory=dict)
    _totals_source: str = ""
    _peer_totals: dict[str, int] = field(factory=dict)
    _buckets: dict[str, _TokenBucket] = field(factory=dict)
    _parts: dict[str, _Part] = field(factory=dict)
    _members: int = 1
    # 0 while it is unknown how many gateways share the limits.
    _reachable_fraction: float = field(init=False)
    # Until when new requests leave a reserve to streams, by workspace, and the cost of
    # the streams that wait for the limit.
    _reserve_until: dict[str, float] = field(factory=dict)
    _waiting_cost: dict[str, float] = field(factory=dict)

    @_reachable_fraction.default
    def _initial_reachable_fraction(self) -> float:
        return 1.0 if self.first_start else 0.0

    @property
    def admitted(self) -> Mapping[str, float]:
        """Total cost that this process has admitted, by workspace."""
        return self._admitted

    def set_reachable(self, reachable: int, members: int) -> None:
        """Set how many of the fleet's members, this one included, are reachable."""
        self._members = max(members, reachable, 1)
        self._reachable_fraction = reachable / self._members

    def cost(self, workspace: Workspace, tokens: int | None) -> float:
        """Return the cost of a request in the unit of the workspace's limit.

        Requests without a generation cost ``plain_tokens`` if that unit is tokens.
        """
        if not workspace.by_tokens:
            return 1.0
        return float(tokens) if tokens is not None else workspace.plain_tokens

    def admit(
        self, workspace: Workspace, cost: float, now: float, taken_up: bool = False
    ) -> float:
        """Charge ``cost`` and return 0, or return the seconds until it would fit.

        ``taken_up`` is whether the request goes on with a stream.
        """
        if workspace.rate <= 0:
            return 0.0
        if not self._reachable_fraction:
            return UNKNOWN_FLEET_WAIT_S
        bucket = self._bucket(workspace, now)
        if taken_up:
            self._reserve_until[workspace.name] = now + TAKE_UP_PERIOD_S
        reserve = 0.0 if taken_up else self._reserve(workspace, now)
        needed = min(cost, workspace.burst - reserve) + reserve
        shortfall = needed - bucket.level * self._reachable_fraction
        if shortfall > 0:
            if bucket.level <= 0 and workspace.name in self._parts:
                self._parts[workspace.name].clear(now)
            return shortfall / (workspace.rate * self._reachable_fraction)
        wait_s = self._spend_part(workspace, cost, bucket.level, now)
        if wait_s > 0 and not taken_up:
            return wait_s
        bucket.level -= cost
        self._admitted[workspace.name] = self._admitted.get(workspace.name, 0.0) + cost
        return 0.0

    def _spend_part(
        self, workspace: Workspace, cost: float, level: float, now: float
    ) -> float:
        """Charge this gateway's part; return 0, or the time until ``cost`` may fit."""
        part = self._parts.get(workspace.name)
        if part is None or self._members < LARGE_FLEET:
            return 0.0
        left = part.refill(workspace, cost, self._members, now)
        if level < CONTENDED_LEVEL * workspace.burst and left < cost:
            return max((cost - left) / workspace.rate, MIN_PART_WAIT_S)
        part.spend(cost)
        return 0.0

    @contextmanager
    def waiting(self, workspace: Workspace, cost: float) -> Iterator[None]:
        """Leave ``cost`` to a stream that waits; new requests don't go before it."""
        name = workspace.name
        self._waiting_cost[name] = self._waiting_cost.get(name, 0.0) + cost
        try:
            yield
        finally:
            self._waiting_cost[name] -= cost

    def _reserve(self, workspace: Workspace, now: float) -> float:
        """Return what new requests leave to streams that are taken up."""
        reserve = 0.0
        if now < self._reserve_until.get(workspace.name, 0.0):
            reserve = self._reachable_fraction * min(
                workspace.rate * TAKE_UP_RESERVE_S,
                workspace.burst * TAKE_UP_BURST_FRACTION,
            )
        return min(
            reserve + self._waiting_cost.get(workspace.name, 0.0), workspace.burst
        )

    def refund(self, workspace: Workspace, cost: float) -> None:
        """Return the charge of a request that has not run."""
        bucket = self._buckets.get(workspace.name)
        if workspace.rate <= 0 or bucket is None:
            return
        bucket.level += cost
        self._admitted[workspace.name] -= cost
        if workspace.name in self._parts:
            self._parts[workspace.name].refund(cost)

    def apply_fleet_totals(
        self,
        source: str,
        totals: Mapping[str, int],
        reported: Mapping[str, int],
        workspaces: Mapping[str, Workspace],
        now: float,
    ) -> None:
        """Charge what peers have admitted since the last totals from ``source``.

        ``totals`` are a hub's sums over all gateways, ``reported`` this gateway's
        part of them. The first totals of a source aren't charged, as they include
        past admissions.
        """
        peer_totals = {
            name: total - reported.get(name, 0) for name, total in totals.items()
        }
        if source == self._totals_source:
            for name, total in peer_totals.items():
                workspace = workspaces.get(name)
                delta = total - self._peer_totals.get(name, 0)
                if workspace is not None and workspace.rate > 0 and delta:
                    self._bucket(workspace, now).level -= delta
                if workspace is not None and workspace.rate > 0:
                    part = self._parts.setdefault(name, _Part())
                    part.add_totals(reported.get(name, 0), delta, now)
        self._totals_source = source
        self._peer_totals = peer_totals

    def _bucket(self, workspace: Workspace, now: float) -> _TokenBucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            level = workspace.burst
            if not self.first_start:
                level = min(level, workspace.rate * RESTART_BURST_S)
                self._reserve_until[workspace.name] = now + TAKE_UP_PERIOD_S
            bucket = self._buckets[workspace.name] = _TokenBucket(level, now)
        bucket.refill(workspace.rate * self._reachable_fraction, workspace.burst, now)
        return bucket
