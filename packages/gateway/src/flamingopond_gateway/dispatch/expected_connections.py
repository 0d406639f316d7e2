"""Estimates which gateways have an idle connection to which target.

The dispatcher knows to which targets it has granted a gateway's requests, and the
gateway's messages state its requests in flight at each target. When that number
falls, a request has ended and its connection is idle from then on, for as long as the
target's time-out allows. No message states connections.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from attrs import define, field

from ..targets.roster import Target

# Score reduction for an engine to which the request's gateway probably has an idle
# connection. It outweighs the way to another zone (0.02), but neither a cached prompt
# prefix (0.15) nor two requests at an engine with 16 slots.
EXPECTED_REUSE_BONUS = 0.1
# Gateways keep connections this long after the last request where a target states no
# time-out; see attempt.DEFAULT_KEEP_ALIVE_S.
DEFAULT_KEPT_S = 4.0
# Longer times that targets state aren't relied on: the pools of the gateways close
# connections for other reasons, too.
MAX_KEPT_S = 60.0
# A report of the end of a request is up to 0.1 s late, and a grant takes as long at
# most until it is used.
REPORT_DELAY_S = 0.2
# Pairs remembered for each gateway; its pool keeps no more idle connections.
MAX_PAIRS_PER_GATEWAY = 256
# Idle connections remembered for each pair. A gateway rarely has more requests in
# flight at one engine.
MAX_IDLE_PER_PAIR = 4


class NodeRequest(Protocol):
    """A request that waits at the gateway ``node``."""

    node: str


@define
class _Pair:
    """What is known of the connections of one gateway to one target.

    ``idle_since`` has a time for each idle connection, the latest last; ``unreported``
    counts the grants that the gateway's work doesn't show yet.
    """

    start_id: int
    idle_since: list[float] = field(factory=list)
    unreported: int = 0


@define
class ExpectedConnections:
    """Tracks the connections of the gateways that a dispatcher assigns for.

    An estimate ends when gateways no longer keep the connection, with a new incarnation
    of the target, with a restart of the gateway, and with a grant that was declined or
    withdrawn.
    ``on_assigned`` is told for each grant whether an idle connection is expected.
    """

    on_assigned: Callable[[Target, bool], None] = lambda target, expected: None
    _pairs: dict[str, dict[str, _Pair]] = field(factory=dict)
    _kept_s: dict[str, float] = field(factory=dict)

    def record_kept(self, service: str, kept_s: float) -> None:
        """Record how long this gateway keeps a connection to a service's target."""
        self._kept_s[service] = min(kept_s, MAX_KEPT_S)

    def bonus(self, queued: NodeRequest, target: Target, now: float) -> float:
        """Return what an expected idle connection takes off a target's score."""
        pair = self._pairs.get(queued.node, {}).get(target.id)
        if pair is None or pair.start_id != target.start_id:
            return 0.0
        return EXPECTED_REUSE_BONUS if self._has_idle(pair, target, now) else 0.0

    def record_assigned(self, queued: NodeRequest, target: Target, now: float) -> None:
        """Record that a request was granted; it uses an idle connection if any."""
        pair = self._pair(queued.node, target)
        self.on_assigned(target, self._has_idle(pair, target, now))
        if pair.idle_since:
            pair.idle_since.pop()
        pair.unreported += 1

    def record_grant_ended(self, node: str, target_id: str) -> None:
        """Record that a grant was confirmed, declined, withdrawn or dropped.

        If the gateway's work hasn't shown its request, the request wasn't sent. The
        connection that it would have used isn't expected any more.
        """
        pair = self._pairs.get(node, {}).get(target_id)
        if pair is not None and pair.unreported:
            pair.unreported -= 1

    def record_work(
        self, node: str, target: Target, before: int, after: int, now: float
    ) -> None:
        """Record how many requests of a gateway are in flight at a target."""
        pair = self._pair(node, target)
        started = max(after - before, 0)
        granted = min(started, pair.unreported)
        pair.unreported -= granted
        # The gateway chose the target of the others itself, such as resumed streams.
        for _ in range(min(started - granted, len(pair.idle_since))):
            pair.idle_since.pop()
        ended = max(before - after, 0)
        pair.idle_since += [now] * min(ended, MAX_IDLE_PER_PAIR)
        del pair.idle_since[:-MAX_IDLE_PER_PAIR]

    def forget_gateway(self, node: str) -> None:
        """Forget the connections of a gateway that has restarted or exited."""
        self._pairs.pop(node, None)

    def _has_idle(self, pair: _Pair, target: Target, now: float) -> bool:
        """Whether a gateway has an idle connection that it still keeps."""
        kept_s = self._kept_s.get(target.service, DEFAULT_KEPT_S)
        return (
            bool(pair.idle_since)
            and now - pair.idle_since[-1] < kept_s - REPORT_DELAY_S
        )

    def _pair(self, node: str, target: Target) -> _Pair:
        """Return a pair, which becomes the last one to be dropped."""
        pairs = self._pairs.setdefault(node, {})
        pair = pairs.pop(target.id, None)
        if pair is None or pair.start_id != target.start_id:
            pair = _Pair(target.start_id)
        pairs[target.id] = pair
        if len(pairs) > MAX_PAIRS_PER_GATEWAY:
            del pairs[next(iter(pairs))]
        return pair
