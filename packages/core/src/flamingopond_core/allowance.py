"""A node's grants, and the reservations that its requests make from them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from flamingopond_core.grants import (
    HOLD_LIMIT_S,
    ID_BITS,
    RETURN_ALL,
    GrantReply,
    GrantRequest,
    Holding,
    Settlement,
)

LOOKAHEAD_S = 1.0
"""Period of projected use for which tokens are requested ahead."""

USE_HALF_LIFE_S = 2.0


@attrs.define
class _HeldGrant:
    workspace: str
    epoch: int
    grant_id: int
    granted: int
    reservable_until: float
    hold_ends_at: float
    unspent: int
    surplus_from: float
    reserved: int = 0
    used: int = 0
    returned: int = 0
    acknowledged_totals: tuple[int, int] = (0, 0)

    @property
    def totals(self) -> tuple[int, int]:
        return self.used, self.returned

    @property
    def open_tokens(self) -> int:
        return self.unspent + self.reserved


@attrs.define(eq=False)
class Reservation:
    """Tokens reserved for one request, which must end by ``ends_at``."""

    workspace: str
    ends_at: float
    parts: list[tuple[_HeldGrant, int]] = attrs.field(factory=list, repr=False)
    settled: bool = False

    @property
    def tokens(self) -> int:
        """Tokens reserved."""
        return sum(tokens for _, tokens in self.parts)

    def merge(self, other: Reservation) -> None:
        """Take over the tokens of another open reservation of the workspace."""
        self.parts += other.parts
        self.ends_at = min(self.ends_at, other.ends_at)
        other.parts = []
        other.settled = True


@attrs.frozen
class Shortfall:
    """The node's grants lack ``missing`` tokens for a request."""

    missing: int


@attrs.define
class _DecayedUse:
    tokens: float = 0.0
    updated_at: float = 0.0


class Allowance:
    """A node's grants for all workspaces.

    ``incarnation`` increases with each start of the node's process, so that grant ids
    are not reused by a later process.
    """

    def __init__(self, node: str, incarnation: int = 0) -> None:
        """Start without grants."""
        self._node = node
        self._next_id = incarnation << ID_BITS
        self._grants: dict[str, dict[int, _HeldGrant]] = {}
        self._pending_grant_ids: dict[str, int] = {}
        self._unanswered: dict[int, str] = {}
        self._newest_epoch: dict[str, int] = {}
        self._recent_use: dict[str, _DecayedUse] = {}
        self._unacknowledged: dict[str, dict[int, _HeldGrant]] = {}

    def reserve(
        self, workspace: str, tokens: int, now: float
    ) -> Reservation | Shortfall:
        """Reserve ``tokens`` for a request, all or nothing."""
        reservation = Reservation(workspace, now + HOLD_LIMIT_S)
        return self._reserve_from_grants(reservation, tokens, now)

    def extend(
        self, reservation: Reservation, tokens: int, now: float
    ) -> Reservation | Shortfall:
        """Add ``tokens`` to an open reservation, all or nothing."""
        return self._reserve_from_grants(reservation, tokens, now)

    def settle(self, reservation: Reservation, used: int, now: float) -> None:
        """Close a reservation of which ``used`` tokens were spent.

        Use beyond the reservation is charged to its last grant, and the owner deducts
        it from the bucket's level. Settling again has no effect.
        """
        if reservation.settled:
            return
        reservation.settled = True
        self._record_use(reservation.workspace, used, now)
        remaining = used
        last = len(reservation.parts) - 1
        for position, (held, tokens) in enumerate(reservation.parts):
            charged = remaining if position == last else min(remaining, tokens)
            remaining -= charged
            unused = max(0, tokens - charged)
            held.reserved -= tokens
            held.used += charged
            if now < held.reservable_until:
                held.unspent += unused
            else:
                held.returned += unused
            self._mark_unacknowledged(held)

    def request_grant(
        self, workspace: str, tokens: int, now: float, ahead: int | None = None
    ) -> GrantRequest | None:
        """Return a grant request, or ``None`` while another one is pending.

        ``ahead`` defaults to the projected use of the next second minus the unspent
        tokens.
        """
        if workspace in self._pending_grant_ids:
            return None
        self._expire_grants(workspace, now)
        if ahead is None:
            ahead = max(0, self.projected_use(workspace, now) - self.unspent(workspace))
        self._next_id += 1
        self._pending_grant_ids[workspace] = self._next_id
        return GrantRequest(
            self._node,
            workspace,
            self._next_id,
            tokens,
            ahead,
            self.settlements([workspace]),
        )

    def receive(self, reply: GrantReply, requested_at: float, now: float) -> bool:
        """Add a grant; return whether the reply was expected and valid.

        The grant's life counts from ``requested_at``, so it is void if the reply is too
        late. A grant from an owner with an epoch older than the newest known one is
        returned unused.
        """
        if self._pending_grant_ids.get(reply.workspace) != reply.grant_id:
            return False
        del self._pending_grant_ids[reply.workspace]
        if reply.granted == 0:
            return not reply.not_owner
        newest = self._newest_epoch.get(reply.workspace, 0)
        valid = reply.epoch >= newest and now < requested_at + reply.life_s
        if valid:
            self._newest_epoch[reply.workspace] = reply.epoch
        held = _HeldGrant(
            reply.workspace,
            reply.epoch,
            reply.grant_id,
            reply.granted,
            requested_at + reply.life_s,
            requested_at + HOLD_LIMIT_S,
            reply.granted if valid else 0,
            requested_at + LOOKAHEAD_S,
            returned=0 if valid else reply.granted,
        )
        self._grants.setdefault(reply.workspace, {})[reply.grant_id] = held
        if not valid:
            self._mark_unacknowledged(held)
        return valid

    def give_up_request(self, workspace: str, grant_id: int) -> None:
        """Stop waiting for a reply; the next settlement returns its grant."""
        if self._pending_grant_ids.get(workspace) == grant_id:
            del self._pending_grant_ids[workspace]
            self._unanswered[grant_id] = workspace

    def expire(self, now: float) -> None:
        """Return unspent tokens of expired grants and surplus tokens of the others."""
        for workspace in list(self._grants):
            self._expire_grants(workspace, now)

    def settlements(
        self, workspaces: Iterable[str] | None = None
    ) -> tuple[Settlement, ...]:
        """Return the totals that the owners have not acknowledged."""
        names = list(self._unacknowledged if workspaces is None else workspaces)
        result = [
            Settlement(h.workspace, h.epoch, h.grant_id, h.used, h.returned)
            for name in names
            for h in self._unacknowledged.get(name, {}).values()
        ]
        result += [
            Settlement(workspace, 0, grant_id, 0, RETURN_ALL)
            for grant_id, workspace in self._unanswered.items()
            if workspaces is None or workspace in names
        ]
        return tuple(result)

    def acknowledge(self, settlements: Iterable[Settlement]) -> None:
        """Record that the owner has these totals."""
        for settlement in settlements:
            self._unanswered.pop(settlement.grant_id, None)
            unacknowledged = self._unacknowledged.get(settlement.workspace, {})
            held = unacknowledged.get(settlement.grant_id)
            if held is None:
                continue
            held.acknowledged_totals = (settlement.used, settlement.returned)
            if held.totals == held.acknowledged_totals:
                self._mark_acknowledged(held)
                if held.open_tokens == 0:
                    self._remove(held)

    def holdings(self, now: float) -> tuple[Holding, ...]:
        """Return all grants that are not fully settled, for a new owner."""
        self.expire(now)
        return tuple(
            Holding(
                h.workspace,
                h.epoch,
                h.grant_id,
                h.unspent,
                h.reserved,
                h.used,
                h.returned,
            )
            for grants in self._grants.values()
            for h in grants.values()
        )

    def workspaces(self) -> tuple[str, ...]:
        """Return the workspaces with grants or recent use."""
        return tuple(self._grants.keys() | self._recent_use.keys())

    def unspent(self, workspace: str) -> int:
        """Return the number of tokens granted and not reserved."""
        return sum(h.unspent for h in self._grants.get(workspace, {}).values())

    def projected_use(self, workspace: str, now: float) -> int:
        """Return the tokens needed in the next second, projected from recent use."""
        use = self._recent_use.get(workspace)
        if use is None:
            return 0
        decayed_tokens = use.tokens * 0.5 ** (
            max(0.0, now - use.updated_at) / USE_HALF_LIFE_S
        )
        if decayed_tokens < 1.0:
            del self._recent_use[workspace]
            return 0
        # At a constant rate, the decayed sum converges to rate * half-life / ln 2.
        return int(LOOKAHEAD_S * decayed_tokens * 0.693 / USE_HALF_LIFE_S)

    def _reserve_from_grants(
        self, reservation: Reservation, tokens: int, now: float
    ) -> Reservation | Shortfall:
        grants = self._grants.get(reservation.workspace, {})
        usable = [h for h in grants.values() if h.unspent and now < h.reservable_until]
        available = sum(h.unspent for h in usable)
        if available < tokens:
            return Shortfall(tokens - available)
        for held in usable:
            taken = min(held.unspent, tokens)
            held.unspent -= taken
            held.reserved += taken
            tokens -= taken
            reservation.parts.append((held, taken))
            reservation.ends_at = min(reservation.ends_at, held.hold_ends_at)
            if not tokens:
                break
        return reservation

    def _expire_grants(self, workspace: str, now: float) -> None:
        surplus = self.unspent(workspace) - self.projected_use(workspace, now)
        for held in list(self._grants.get(workspace, {}).values()):
            if now >= held.reservable_until:
                to_return = held.unspent
            elif surplus > 0 and now >= held.surplus_from:
                # Tokens that are not needed within the next second would cause refusals
                # on other nodes.
                to_return = min(held.unspent, surplus)
            else:
                continue
            if to_return:
                surplus -= to_return
                held.unspent -= to_return
                held.returned += to_return
                self._mark_unacknowledged(held)
            if now >= held.hold_ends_at:
                self._remove(held)

    def _record_use(self, workspace: str, tokens: int, now: float) -> None:
        use = self._recent_use.setdefault(workspace, _DecayedUse(0.0, now))
        age_s = max(0.0, now - use.updated_at)
        use.tokens = use.tokens * 0.5 ** (age_s / USE_HALF_LIFE_S) + tokens
        use.updated_at = now

    def _mark_unacknowledged(self, held: _HeldGrant) -> None:
        if held.totals != held.acknowledged_totals:
            self._unacknowledged.setdefault(held.workspace, {})[held.grant_id] = held

    def _mark_acknowledged(self, held: _HeldGrant) -> None:
        unacknowledged = self._unacknowledged.get(held.workspace)
        if unacknowledged is not None:
            unacknowledged.pop(held.grant_id, None)
            if not unacknowledged:
                del self._unacknowledged[held.workspace]

    def _remove(self, held: _HeldGrant) -> None:
        self._mark_acknowledged(held)
        grants = self._grants.get(held.workspace)
        if grants is not None:
            grants.pop(held.grant_id, None)
            if not grants:
                del self._grants[held.workspace]
