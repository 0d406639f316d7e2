"""Grants that a node holds, and the reservations that its requests make from them."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from flamingopond_core.grants import (
    HOLD_LIMIT,
    ID_BITS,
    RETURN_ALL,
    GrantReply,
    GrantRequest,
    Holding,
    Settlement,
)

AHEAD = 1.0
"""Seconds of projected use for which tokens are requested ahead."""

USE_HALF_LIFE = 2.0


@attrs.define
class _Held:
    workspace: str
    epoch: int
    grant_id: int
    granted: int
    until: float
    ends: float
    unspent: int
    idle_from: float
    reserved: int = 0
    used: int = 0
    returned: int = 0
    told: tuple[int, int] = (0, 0)

    @property
    def totals(self) -> tuple[int, int]:
        return self.used, self.returned

    @property
    def open(self) -> int:
        return self.unspent + self.reserved


@attrs.define(eq=False)
class Reservation:
    """Tokens set aside for one request; the request must end by ``until``."""

    workspace: str
    until: float
    parts: list[tuple[_Held, int]] = attrs.field(factory=list, repr=False)
    settled: bool = False

    @property
    def tokens(self) -> int:
        """Tokens reserved."""
        return sum(tokens for _, tokens in self.parts)

    def absorb(self, other: Reservation) -> None:
        """Take over the tokens of another open reservation of the workspace."""
        self.parts += other.parts
        self.until = min(self.until, other.until)
        other.parts = []
        other.settled = True


@attrs.frozen
class Shortfall:
    """The node's grants do not cover a request; ``missing`` tokens are lacking."""

    missing: int


@attrs.define
class _Use:
    tokens: float = 0.0
    at: float = 0.0


class Allowance:
    """A node's grants of all workspaces.

    ``incarnation`` rises with each start of the node's process, so that grant ids
    of one process are never those of an earlier one.
    """

    def __init__(self, node: str, incarnation: int = 0) -> None:
        """Start without grants."""
        self._node = node
        self._next_id = incarnation << ID_BITS
        self._held: dict[str, dict[int, _Held]] = {}
        self._asking: dict[str, int] = {}
        self._missed: dict[int, str] = {}
        self._newest_epoch: dict[str, int] = {}
        self._use: dict[str, _Use] = {}
        self._dirty: dict[str, dict[int, _Held]] = {}

    def reserve(
        self, workspace: str, tokens: int, now: float
    ) -> Reservation | Shortfall:
        """Set ``tokens`` aside for a request, all or nothing."""
        reservation = Reservation(workspace, now + HOLD_LIMIT)
        return self._take(reservation, tokens, now)

    def extend(
        self, reservation: Reservation, tokens: int, now: float
    ) -> Reservation | Shortfall:
        """Add ``tokens`` to an open reservation, all or nothing."""
        return self._take(reservation, tokens, now)

    def settle(self, reservation: Reservation, used: int, now: float) -> None:
        """End a reservation of which ``used`` tokens were spent.

        Use beyond the reservation is charged to its last grant; the owner takes
        it from the level. Settling twice has no effect.
        """
        if reservation.settled:
            return
        reservation.settled = True
        self._note_use(reservation.workspace, used, now)
        left = used
        last = len(reservation.parts) - 1
        for position, (held, tokens) in enumerate(reservation.parts):
            spent = left if position == last else min(left, tokens)
            left -= spent
            rest = max(0, tokens - spent)
            held.reserved -= tokens
            held.used += spent
            if now < held.until:
                held.unspent += rest
            else:
                held.returned += rest
            self._touch(held)

    def ask(
        self, workspace: str, tokens: int, now: float, ahead: int | None = None
    ) -> GrantRequest | None:
        """Return a request for a grant, or ``None`` while one is under way.

        ``ahead`` defaults to the use projected over the next second, less what
        is unspent.
        """
        if workspace in self._asking:
            return None
        self._expire_grants(workspace, now)
        if ahead is None:
            ahead = max(0, self.projected(workspace, now) - self.unspent(workspace))
        self._next_id += 1
        self._asking[workspace] = self._next_id
        return GrantRequest(
            self._node,
            workspace,
            self._next_id,
            tokens,
            ahead,
            self.settlements([workspace]),
        )

    def receive(self, reply: GrantReply, asked_at: float, now: float) -> bool:
        """Take a grant into use; return whether the reply was awaited and valid.

        The life counts from ``asked_at``, so a late reply is void. A reply of an
        owner older than the newest one known is returned unused.
        """
        if self._asking.get(reply.workspace) != reply.grant_id:
            return False
        del self._asking[reply.workspace]
        if reply.granted == 0:
            return not reply.not_owner
        newest = self._newest_epoch.get(reply.workspace, 0)
        valid = reply.epoch >= newest and now < asked_at + reply.life
        if valid:
            self._newest_epoch[reply.workspace] = reply.epoch
        held = _Held(
            reply.workspace,
            reply.epoch,
            reply.grant_id,
            reply.granted,
            asked_at + reply.life,
            asked_at + HOLD_LIMIT,
            reply.granted if valid else 0,
            asked_at + AHEAD,
            returned=0 if valid else reply.granted,
        )
        self._held.setdefault(reply.workspace, {})[reply.grant_id] = held
        if not valid:
            self._touch(held)
        return valid

    def miss(self, workspace: str, grant_id: int) -> None:
        """Give up waiting for a reply; its grant is returned with the next message."""
        if self._asking.get(workspace) == grant_id:
            del self._asking[workspace]
            self._missed[grant_id] = workspace

    def expire(self, now: float) -> None:
        """Return what is unspent of expired grants, and surplus of the others."""
        for workspace in list(self._held):
            self._expire_grants(workspace, now)

    def settlements(
        self, workspaces: Iterable[str] | None = None
    ) -> tuple[Settlement, ...]:
        """Return the totals that the owners do not know yet."""
        names = list(self._dirty if workspaces is None else workspaces)
        found = [
            Settlement(h.workspace, h.epoch, h.grant_id, h.used, h.returned)
            for name in names
            for h in self._dirty.get(name, {}).values()
        ]
        found += [
            Settlement(workspace, 0, grant_id, 0, RETURN_ALL)
            for grant_id, workspace in self._missed.items()
            if workspaces is None or workspace in names
        ]
        return tuple(found)

    def acknowledge(self, settlements: Iterable[Settlement]) -> None:
        """Note that the owner has these totals."""
        for settlement in settlements:
            self._missed.pop(settlement.grant_id, None)
            dirty = self._dirty.get(settlement.workspace, {})
            held = dirty.get(settlement.grant_id)
            if held is None:
                continue
            held.told = (settlement.used, settlement.returned)
            if held.totals == held.told:
                self._clean(held)
                if held.open == 0:
                    self._drop(held)

    def holdings(self, now: float) -> tuple[Holding, ...]:
        """Return all grants that are not settled in full, for a new owner."""
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
            for grants in self._held.values()
            for h in grants.values()
        )

    def workspaces(self) -> tuple[str, ...]:
        """Return the workspaces of which grants or recent use are known."""
        return tuple(self._held.keys() | self._use.keys())

    def unspent(self, workspace: str) -> int:
        """Return the tokens that are granted and not reserved."""
        return sum(h.unspent for h in self._held.get(workspace, {}).values())

    def projected(self, workspace: str, now: float) -> int:
        """Return the tokens that the coming second needs, by recent use."""
        use = self._use.get(workspace)
        if use is None:
            return 0
        decayed = use.tokens * 0.5 ** (max(0.0, now - use.at) / USE_HALF_LIFE)
        if decayed < 1.0:
            del self._use[workspace]
            return 0
        # A decayed sum settles at rate * half-life / ln 2.
        return int(AHEAD * decayed * 0.693 / USE_HALF_LIFE)

    def _take(
        self, reservation: Reservation, tokens: int, now: float
    ) -> Reservation | Shortfall:
        grants = self._held.get(reservation.workspace, {})
        usable = [h for h in grants.values() if h.unspent and now < h.until]
        have = sum(h.unspent for h in usable)
        if have < tokens:
            return Shortfall(tokens - have)
        for held in usable:
            part = min(held.unspent, tokens)
            held.unspent -= part
            held.reserved += part
            tokens -= part
            reservation.parts.append((held, part))
            reservation.until = min(reservation.until, held.ends)
            if not tokens:
                break
        return reservation

    def _expire_grants(self, workspace: str, now: float) -> None:
        surplus = self.unspent(workspace) - self.projected(workspace, now)
        for held in list(self._held.get(workspace, {}).values()):
            if now >= held.until:
                back = held.unspent
            elif surplus > 0 and now >= held.idle_from:
                # Tokens ahead that are not needed for the next second would
                # cause refusals on other nodes.
                back = min(held.unspent, surplus)
            else:
                continue
            if back:
                surplus -= back
                held.unspent -= back
                held.returned += back
                self._touch(held)
            if now >= held.ends:
                self._drop(held)

    def _note_use(self, workspace: str, tokens: int, now: float) -> None:
        use = self._use.setdefault(workspace, _Use(0.0, now))
        age = max(0.0, now - use.at)
        use.tokens = use.tokens * 0.5 ** (age / USE_HALF_LIFE) + tokens
        use.at = now

    def _touch(self, held: _Held) -> None:
        if held.totals != held.told:
            self._dirty.setdefault(held.workspace, {})[held.grant_id] = held

    def _clean(self, held: _Held) -> None:
        dirty = self._dirty.get(held.workspace)
        if dirty is not None:
            dirty.pop(held.grant_id, None)
            if not dirty:
                del self._dirty[held.workspace]

    def _drop(self, held: _Held) -> None:
        self._clean(held)
        grants = self._held.get(held.workspace)
        if grants is not None:
            grants.pop(held.grant_id, None)
            if not grants:
                del self._held[held.workspace]
