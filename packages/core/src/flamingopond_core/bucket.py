"""The token bucket of a workspace, kept by the owner of its shard."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import attrs

from flamingopond_core.grants import (
    GRANT_LIFE,
    HOLD_LIMIT,
    GrantReply,
    GrantRequest,
    Holding,
    Settlement,
    process_of,
)

RECENT_HALF_LIFE = 10.0
ASKING_WINDOW = 2.0
"""A node that asked within this time in seconds takes part in fair sharing."""

RECOVERY_LIMIT = 3.0
WAITER_SLACK = 0.25
"""Seconds past the estimated wait for which a waiting node keeps its turn."""

SHORTEST_WAIT = 0.02


@attrs.define
class _Grant:
    epoch: int
    granted: int
    life: float
    since: float
    used: int = 0
    returned: int = 0

    @property
    def remaining(self) -> int:
        return max(0, self.granted - self.used - self.returned)

    @property
    def excess(self) -> int:
        return max(0, self.used + self.returned - self.granted)


@attrs.define
class _Waiter:
    tokens: int
    until: float


class Bucket:
    """Level and outstanding grants of one workspace.

    ``level + outstanding <= burst`` holds at all times, so tokens used in any
    window of t seconds stay within burst + rate * t wherever they are counted.
    The level is negative while an engine's own count exceeds what was reserved.
    """

    def __init__(
        self,
        workspace: str,
        rate: float,
        burst: int,
        epoch: int,
        now: float,
        members: Iterable[str] = (),
        max_wait: float = 0.44,
    ) -> None:
        """Start empty; grant nothing until ``members`` reported their holdings.

        ``rate`` is in tokens per second, ``burst`` in tokens. ``max_wait`` is the
        longest time in seconds for which a waiting node keeps its turn.
        """
        self._workspace = workspace
        self._rate = rate
        self._burst = burst
        self._epoch = epoch
        self._level = 0.0
        self._outstanding = 0
        self._at = now
        self._grants: dict[tuple[str, int], _Grant] = {}
        self._newest: dict[str, int] = {}
        self._silent = set(members)
        self._recovery_ends = now + RECOVERY_LIMIT
        self._late: dict[tuple[str, int], int] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._asked: dict[str, float] = {}
        self._recent = 0.0
        self._recent_at = now
        self._max_wait = max_wait

    @property
    def level(self) -> float:
        """Tokens that can be granted; negative while use is paid back."""
        return self._level

    @property
    def outstanding(self) -> int:
        """Tokens granted and neither settled nor counted as spent."""
        return self._outstanding

    @property
    def epoch(self) -> int:
        """Epoch of the owner."""
        return self._epoch

    @property
    def silent(self) -> frozenset[str]:
        """Members that have not yet reported their holdings."""
        return frozenset(self._silent)

    def configure(self, rate: float, burst: int, now: float) -> None:
        """Take a changed contract into force."""
        self.advance(now)
        self._rate, self._burst = rate, burst
        self._cap()

    def advance(self, now: float) -> None:
        """Refill up to ``now`` and count grants past the hold limit as spent."""
        while self._grants:
            key, oldest = next(iter(self._grants.items()))
            if oldest.since + HOLD_LIMIT > now:
                break
            self._outstanding -= oldest.remaining
            del self._grants[key]
        if now > self._at:
            self._level += self._rate * (now - self._at)
            self._at = now
        self._cap()

    def recent_use(self, now: float) -> float:
        """Return the tokens used lately over the whole fleet, decayed."""
        age = max(0.0, now - self._recent_at)
        return float(self._recent * 0.5 ** (age / RECENT_HALF_LIFE))

    def grant(
        self, request: GrantRequest, authority: tuple[int, float] | None, now: float
    ) -> GrantReply:
        """Answer a request under ``authority`` (epoch and end), if any.

        The needed tokens are granted whole or not at all: parts spread over many
        nodes could cover no request. Tokens ahead are a fair part of the rest.
        """
        if authority is None or authority[0] != self._epoch or authority[1] <= now:
            return self._reply(request, now, not_owner=True)
        self.advance(now)
        node, key = request.node, (request.node, request.grant_id)
        self._drop_former_process(node, request.grant_id)
        for settlement in request.settlements:
            if settlement.workspace == self._workspace:
                self.settle(node, settlement, now)
        if (known := self._grants.get(key)) is not None:
            return self._reply(request, now, granted=known.granted, life=known.life)
        if request.grant_id <= self._newest.get(node, -1):
            return self._reply(request, now)
        if self._silent and now < self._recovery_ends:
            return self._reply(request, now, wait=self._recovery_ends - now)
        self._asked[node] = now
        if request.tokens > self._burst:
            return self._reply(request, now, wait=math.inf)
        before = self._promised_before(node, now)
        missing = request.tokens + before - self._level
        if missing > 0 and (request.tokens > 0 or self._level <= before):
            wait = max(missing / self._rate, SHORTEST_WAIT) if self._rate else math.inf
            if request.tokens and wait <= self._max_wait:
                until = now + wait + WAITER_SLACK
                if (waiter := self._waiters.get(node)) is None:
                    self._waiters[node] = _Waiter(request.tokens, until)
                else:
                    waiter.tokens, waiter.until = request.tokens, until
            return self._reply(request, now, wait=wait)
        if request.tokens:
            self._waiters.pop(node, None)
        others = sum(w.tokens for n, w in self._waiters.items() if n != node)
        spare = max(0.0, self._level - request.tokens - others)
        part = int(spare / (self._count_askers(now) + 1))
        granted = request.tokens + min(request.ahead, part)
        self._newest[node] = request.grant_id
        if granted == 0:
            return self._reply(request, now)
        life = min(GRANT_LIFE, authority[1] - now)
        self._grants[key] = _Grant(self._epoch, granted, life, now)
        self._level -= granted
        self._outstanding += granted
        return self._reply(request, now, granted=granted, life=life)

    def settle(self, node: str, settlement: Settlement, now: float) -> None:
        """Apply totals of a grant; repeated, old and reordered ones change nothing."""
        self.advance(now)
        key = (node, settlement.grant_id)
        grant = self._grants.get(key)
        if grant is None:
            if node in self._silent and settlement.epoch < self._epoch:
                self._charge_late(key, settlement.used, now)
            elif settlement.grant_id > self._newest.get(node, -1):
                # The request for this grant may still be under way; its id is
                # now old, so the request will be void.
                self._newest[node] = settlement.grant_id
            return
        remaining, excess = grant.remaining, grant.excess
        used, returned = grant.used, grant.returned
        grant.used = max(used, settlement.used)
        room = max(0, grant.granted - grant.used)
        grant.returned = max(returned, min(settlement.returned, room))
        self._outstanding += grant.remaining - remaining
        self._level += grant.returned - returned - (grant.excess - excess)
        self._count_use(grant.used - used, now)
        if grant.remaining == 0:
            del self._grants[key]
        self._cap()

    def recover(self, node: str, holdings: Iterable[Holding], now: float) -> None:
        """Register what ``node`` held when the owner changed, even if it is late."""
        if node not in self._silent:
            return
        self.advance(now)
        self._silent.discard(node)
        for held in holdings:
            if held.workspace != self._workspace:
                continue
            key = (node, held.grant_id)
            self._newest[node] = max(self._newest.get(node, -1), held.grant_id)
            open_tokens = held.unspent + held.reserved
            if key in self._grants or open_tokens == 0:
                continue
            granted = open_tokens + held.used + held.returned
            self._grants[key] = _Grant(
                held.epoch, granted, 0.0, now, held.used, held.returned
            )
            self._outstanding += open_tokens
        self._cap()

    def holders(self) -> set[str]:
        """Return the nodes with unsettled grants."""
        return {node for node, _ in self._grants}

    def forget(self, node: str, now: float, before: float = math.inf) -> None:
        """Count as spent what ``node`` held; its process is known to have ended.

        Grants made after ``before`` are kept: a new process of that name may have
        asked for them.
        """
        self.advance(now)
        self._silent.discard(node)
        self._waiters.pop(node, None)
        self._asked.pop(node, None)
        ended = [
            k for k, g in self._grants.items() if k[0] == node and g.since <= before
        ]
        for key in ended:
            self._outstanding -= self._grants.pop(key).remaining

    def to_state(self, now: float) -> dict[str, Any]:
        """Return what a graceful hand-over passes to the next owner."""
        self.advance(now)
        return {
            "level": self._level,
            "recent": self.recent_use(now),
            "silent": sorted(self._silent),
            "newest": dict(self._newest),
            "grants": [
                [node, grant_id, g.epoch, g.granted, g.used, g.returned]
                for (node, grant_id), g in self._grants.items()
            ],
        }

    @classmethod
    def from_state(
        cls,
        state: dict[str, Any],
        workspace: str,
        rate: float,
        burst: int,
        epoch: int,
        now: float,
        max_wait: float = 0.44,
    ) -> Bucket:
        """Build the bucket of the next owner; the time between is not refilled."""
        bucket = cls(
            workspace, rate, burst, epoch, now, state["silent"], max_wait=max_wait
        )
        bucket._level = float(state["level"])
        bucket._recent = float(state["recent"])
        bucket._newest = {str(k): int(v) for k, v in state["newest"].items()}
        for node, grant_id, of_epoch, granted, used, returned in state["grants"]:
            grant = _Grant(of_epoch, granted, 0.0, now, used, returned)
            bucket._grants[node, grant_id] = grant
            bucket._outstanding += grant.remaining
        bucket._cap()
        return bucket

    def _cap(self) -> None:
        self._level = min(self._level, self._burst - self._outstanding)

    def _reply(
        self,
        request: GrantRequest,
        now: float,
        granted: int = 0,
        life: float = 0.0,
        wait: float = 0.0,
        not_owner: bool = False,
    ) -> GrantReply:
        return GrantReply(
            self._workspace,
            request.grant_id,
            granted,
            self._epoch,
            life,
            wait,
            self.recent_use(now),
            not_owner,
        )

    def _drop_former_process(self, node: str, grant_id: int) -> None:
        """Count grants of a node's earlier process as spent: it has ended."""
        newest = self._newest.get(node)
        if newest is None or process_of(newest) >= process_of(grant_id):
            return
        for key in [k for k in self._grants if k[0] == node]:
            if process_of(key[1]) < process_of(grant_id):
                self._outstanding -= self._grants.pop(key).remaining

    def _promised_before(self, node: str, now: float) -> int:
        """Return the tokens promised to nodes that have waited longer."""
        total = 0
        for name, waiter in list(self._waiters.items()):
            if waiter.until < now:
                del self._waiters[name]
            elif name == node:
                break
            else:
                total += waiter.tokens
        return total

    def _count_askers(self, now: float) -> int:
        for name in [n for n, at in self._asked.items() if now - at > ASKING_WINDOW]:
            del self._asked[name]
        return max(1, len(self._asked))

    def _count_use(self, used: int, now: float) -> None:
        self._recent = self.recent_use(now) + used
        self._recent_at = now

    def _charge_late(self, key: tuple[str, int], used: int, now: float) -> None:
        """Charge use of a grant that was not registered when the owner changed."""
        more = max(0, used - self._late.get(key, 0))
        self._late[key] = max(used, self._late.get(key, 0))
        self._level -= more
        self._count_use(more, now)
