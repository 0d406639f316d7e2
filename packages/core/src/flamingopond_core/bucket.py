"""The token bucket of a workspace, kept by the owner of its shard."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

import attrs

from flamingopond_core.grants import (
    GRANT_LIFE_S,
    HOLD_LIMIT_S,
    GrantReply,
    GrantRequest,
    Holding,
    Settlement,
    process_of,
)

RECENT_HALF_LIFE_S = 10.0
REQUEST_WINDOW_S = 2.0
"""A node that asked within this time takes part in fair sharing."""

RECOVERY_LIMIT_S = 3.0
WAITER_SLACK_S = 0.25
"""Time past the estimated wait during which a waiting node keeps its turn."""

MIN_WAIT_S = 0.02


@attrs.define
class _Grant:
    epoch: int
    granted: int
    life_s: float
    granted_at: float
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
    turn_ends_at: float


class Bucket:
    """Level and outstanding grants of one workspace.

    ``level + outstanding <= burst`` always holds, so tokens used in any window of t
    seconds stay within burst + rate * t, wherever they are counted. The level is
    negative while an engine's own count exceeds what was reserved.
    """

    def __init__(
        self,
        workspace: str,
        rate: float,
        burst: int,
        epoch: int,
        now: float,
        members: Iterable[str] = (),
        max_wait_s: float = 0.44,
    ) -> None:
        """Create an empty bucket that grants nothing until ``members`` report holdings.

        Members that do not report delay grants by ``RECOVERY_LIMIT_S`` at most.
        ``rate`` is in tokens per second, ``burst`` in tokens. ``max_wait_s`` is the
        longest estimated wait in seconds for which a waiting node keeps its turn.
        """
        self._workspace = workspace
        self._tokens_per_s = rate
        self._burst_tokens = burst
        self._epoch = epoch
        self._level = 0.0
        self._outstanding = 0
        self._refilled_at = now
        self._grants: dict[tuple[str, int], _Grant] = {}
        self._newest_grant_ids: dict[str, int] = {}
        self._unreported_members = set(members)
        self._recovery_ends_at = now + RECOVERY_LIMIT_S
        self._late_use: dict[tuple[str, int], int] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._requested_at: dict[str, float] = {}
        self._recent_tokens = 0.0
        self._recent_updated_at = now
        self._max_wait_s = max_wait_s

    @property
    def level(self) -> float:
        """Tokens available for grants; negative while overuse is paid back."""
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
    def unreported_members(self) -> frozenset[str]:
        """Members that have not reported their holdings yet."""
        return frozenset(self._unreported_members)

    def configure(self, rate: float, burst: int, now: float) -> None:
        """Apply a changed contract."""
        self.advance(now)
        self._tokens_per_s, self._burst_tokens = rate, burst
        self._cap_level()

    def advance(self, now: float) -> None:
        """Refill up to ``now`` and count grants past the hold limit as spent."""
        while self._grants:
            key, oldest = next(iter(self._grants.items()))
            if oldest.granted_at + HOLD_LIMIT_S > now:
                break
            self._outstanding -= oldest.remaining
            del self._grants[key]
        if now > self._refilled_at:
            self._level += self._tokens_per_s * (now - self._refilled_at)
            self._refilled_at = now
        self._cap_level()

    def recent_use(self, now: float) -> float:
        """Return the decayed sum of tokens used over the whole fleet."""
        age_s = max(0.0, now - self._recent_updated_at)
        return float(self._recent_tokens * 0.5 ** (age_s / RECENT_HALF_LIFE_S))

    def grant(
        self, request: GrantRequest, authority: tuple[int, float] | None, now: float
    ) -> GrantReply:
        """Answer a request under ``authority`` (epoch and end time), if any.

        The needed tokens are granted in full or not at all: parts spread over many
        nodes might not cover any request. Tokens requested ahead get a fair share of
        the rest.
        """
        if authority is None or authority[0] != self._epoch or authority[1] <= now:
            return self._reply(request, now, not_owner=True)
        self.advance(now)
        node, key = request.node, (request.node, request.grant_id)
        self._drop_grants_of_former_process(node, request.grant_id)
        for settlement in request.settlements:
            if settlement.workspace == self._workspace:
                self.settle(node, settlement, now)
        if (existing := self._grants.get(key)) is not None:
            return self._reply(
                request, now, granted=existing.granted, life_s=existing.life_s
            )
        if request.grant_id <= self._newest_grant_ids.get(node, -1):
            return self._reply(request, now)
        if self._unreported_members and now < self._recovery_ends_at:
            return self._reply(request, now, wait_s=self._recovery_ends_at - now)
        self._requested_at[node] = now
        if request.tokens > self._burst_tokens:
            return self._reply(request, now, wait_s=math.inf)
        promised_before = self._tokens_promised_before(node, now)
        missing = request.tokens + promised_before - self._level
        if missing > 0 and (request.tokens > 0 or self._level <= promised_before):
            wait_s = (
                max(missing / self._tokens_per_s, MIN_WAIT_S)
                if self._tokens_per_s
                else math.inf
            )
            if request.tokens and wait_s <= self._max_wait_s:
                turn_ends_at = now + wait_s + WAITER_SLACK_S
                if (waiter := self._waiters.get(node)) is None:
                    self._waiters[node] = _Waiter(request.tokens, turn_ends_at)
                else:
                    waiter.tokens, waiter.turn_ends_at = request.tokens, turn_ends_at
            return self._reply(request, now, wait_s=wait_s)
        if request.tokens:
            self._waiters.pop(node, None)
        promised_to_others = sum(
            w.tokens for n, w in self._waiters.items() if n != node
        )
        spare_tokens = max(0.0, self._level - request.tokens - promised_to_others)
        fair_share = int(spare_tokens / (self._count_recent_requesters(now) + 1))
        granted = request.tokens + min(request.ahead, fair_share)
        self._newest_grant_ids[node] = request.grant_id
        if granted == 0:
            return self._reply(request, now)
        life_s = min(GRANT_LIFE_S, authority[1] - now)
        self._grants[key] = _Grant(self._epoch, granted, life_s, now)
        self._level -= granted
        self._outstanding += granted
        return self._reply(request, now, granted=granted, life_s=life_s)

    def settle(self, node: str, settlement: Settlement, now: float) -> None:
        """Apply a grant's totals; repeated, old and reordered ones change nothing."""
        self.advance(now)
        key = (node, settlement.grant_id)
        grant = self._grants.get(key)
        if grant is None:
            if node in self._unreported_members and settlement.epoch < self._epoch:
                self._charge_late_use(key, settlement.used, now)
            elif settlement.grant_id > self._newest_grant_ids.get(node, -1):
                # The request for this grant may still be in flight; recording its id
                # makes it void.
                self._newest_grant_ids[node] = settlement.grant_id
            return
        remaining, excess = grant.remaining, grant.excess
        used, returned = grant.used, grant.returned
        grant.used = max(used, settlement.used)
        returnable = max(0, grant.granted - grant.used)
        grant.returned = max(returned, min(settlement.returned, returnable))
        self._outstanding += grant.remaining - remaining
        self._level += grant.returned - returned - (grant.excess - excess)
        self._record_use(grant.used - used, now)
        if grant.remaining == 0:
            del self._grants[key]
        self._cap_level()

    def register_holdings(
        self, node: str, holdings: Iterable[Holding], now: float
    ) -> None:
        """Register the holdings of ``node`` after a change of owner, even if late."""
        if node not in self._unreported_members:
            return
        self.advance(now)
        self._unreported_members.discard(node)
        for holding in holdings:
            if holding.workspace != self._workspace:
                continue
            key = (node, holding.grant_id)
            self._newest_grant_ids[node] = max(
                self._newest_grant_ids.get(node, -1), holding.grant_id
            )
            open_tokens = holding.unspent + holding.reserved
            if key in self._grants or open_tokens == 0:
                continue
            granted = open_tokens + holding.used + holding.returned
            self._grants[key] = _Grant(
                holding.epoch, granted, 0.0, now, holding.used, holding.returned
            )
            self._outstanding += open_tokens
        self._cap_level()

    def holders(self) -> set[str]:
        """Return the nodes with unsettled grants."""
        return {node for node, _ in self._grants}

    def write_off(self, node: str, now: float, before: float = math.inf) -> None:
        """Count the tokens that ``node`` holds as spent; its process has ended.

        Grants made after ``before`` are kept, as a new process of the same name may
        have asked for them.
        """
        self.advance(now)
        self._unreported_members.discard(node)
        self._waiters.pop(node, None)
        self._requested_at.pop(node, None)
        ended = [
            k
            for k, g in self._grants.items()
            if k[0] == node and g.granted_at <= before
        ]
        for key in ended:
            self._outstanding -= self._grants.pop(key).remaining

    def to_state(self, now: float) -> dict[str, Any]:
        """Return the state for the next owner in a graceful handover."""
        self.advance(now)
        return {
            "level": self._level,
            "recent": self.recent_use(now),
            "silent": sorted(self._unreported_members),
            "newest": dict(self._newest_grant_ids),
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
        max_wait_s: float = 0.44,
    ) -> Bucket:
        """Create the next owner's bucket; the time of the handover is not refilled."""
        bucket = cls(
            workspace, rate, burst, epoch, now, state["silent"], max_wait_s=max_wait_s
        )
        bucket._level = float(state["level"])
        bucket._recent_tokens = float(state["recent"])
        bucket._newest_grant_ids = {str(k): int(v) for k, v in state["newest"].items()}
        for node, grant_id, grant_epoch, granted, used, returned in state["grants"]:
            grant = _Grant(grant_epoch, granted, 0.0, now, used, returned)
            bucket._grants[node, grant_id] = grant
            bucket._outstanding += grant.remaining
        bucket._cap_level()
        return bucket

    def _cap_level(self) -> None:
        self._level = min(self._level, self._burst_tokens - self._outstanding)

    def _reply(
        self,
        request: GrantRequest,
        now: float,
        granted: int = 0,
        life_s: float = 0.0,
        wait_s: float = 0.0,
        not_owner: bool = False,
    ) -> GrantReply:
        return GrantReply(
            self._workspace,
            request.grant_id,
            granted,
            self._epoch,
            life_s,
            wait_s,
            self.recent_use(now),
            not_owner,
        )

    def _drop_grants_of_former_process(self, node: str, grant_id: int) -> None:
        """Count the grants of a node's former process as spent, since it has ended."""
        newest = self._newest_grant_ids.get(node)
        if newest is None or process_of(newest) >= process_of(grant_id):
            return
        for key in [k for k in self._grants if k[0] == node]:
            if process_of(key[1]) < process_of(grant_id):
                self._outstanding -= self._grants.pop(key).remaining

    def _tokens_promised_before(self, node: str, now: float) -> int:
        """Return the tokens promised to nodes that have waited longer."""
        total = 0
        for name, waiter in list(self._waiters.items()):
            if waiter.turn_ends_at < now:
                del self._waiters[name]
            elif name == node:
                break
            else:
                total += waiter.tokens
        return total

    def _count_recent_requesters(self, now: float) -> int:
        for name in [
            n for n, at in self._requested_at.items() if now - at > REQUEST_WINDOW_S
        ]:
            del self._requested_at[name]
        return max(1, len(self._requested_at))

    def _record_use(self, used: int, now: float) -> None:
        self._recent_tokens = self.recent_use(now) + used
        self._recent_updated_at = now

    def _charge_late_use(self, key: tuple[str, int], used: int, now: float) -> None:
        """Charge use of a grant that was not registered after a change of owner."""
        extra = max(0, used - self._late_use.get(key, 0))
        self._late_use[key] = max(used, self._late_use.get(key, 0))
        self._level -= extra
        self._record_use(extra, now)
