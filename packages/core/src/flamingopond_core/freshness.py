"""Tracks whether a node has the newest accepted configuration."""

from __future__ import annotations

import attrs

# Time for which a confirmation is valid. A revoked key must stop working within
# 3 s.
CONFIRMATION_TTL_S = 3.0
# Maximum number of confirmations kept for revisions that are not applied yet. Those
# of the lowest revisions are dropped, because those of higher ones supersede them.
_MAX_PENDING = 64


@attrs.define
class Freshness:
    """Tracks how recently the applied revision was confirmed as the newest.

    A confirmation (revision, at) states that no revision later than ``revision``
    had been accepted at the time ``at``. It comes from a read of the table, from
    gossip, or from a store outage, during which nothing can be accepted.
    """

    grace_s: float = 8.0
    _applied: int = attrs.field(default=0, init=False)
    _confirmed_at: float | None = attrs.field(default=None, init=False)
    _highest_known: int = attrs.field(default=0, init=False)
    _pending: dict[int, float] = attrs.field(factory=dict, init=False)

    @property
    def highest_known(self) -> int:
        """The highest revision known to exist."""
        return self._highest_known

    @property
    def confirmed_at(self) -> float | None:
        """When the applied revision was last confirmed as the newest."""
        return self._confirmed_at

    def confirmation_age(self, now: float) -> float | None:
        """Return the age in seconds of the newest confirmation, if there is one."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def record_revision(self, revision: int) -> None:
        """Record that ``revision`` exists."""
        self._highest_known = max(self._highest_known, revision)

    def apply(self, revision: int) -> None:
        """Record that ``revision`` has been applied."""
        self._applied = max(self._applied, revision)
        self.record_revision(revision)
        for pending in [r for r in self._pending if r <= self._applied]:
            self._advance_confirmed_at(self._pending.pop(pending))

    def confirm(self, revision: int, at: float) -> None:
        """Record that no revision after ``revision`` had been accepted at ``at``.

        A table read is dated by the sending of its request.
        """
        self.record_revision(revision)
        if revision <= self._applied:
            self._advance_confirmed_at(at)
            return
        self._pending[revision] = max(at, self._pending.get(revision, at))
        if len(self._pending) > _MAX_PENDING:
            del self._pending[min(self._pending)]

    def observe_outage(self, now: float) -> None:
        """Record that the store is unreachable for all nodes at ``now``.

        Nothing can be accepted then, so the highest known revision is the newest.
        A node that has not applied it does not become fresh.
        """
        self.confirm(self._highest_known, now)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the applied revision is confirmed recently enough."""
        age = self.confirmation_age(now)
        return age is not None and age <= CONFIRMATION_TTL_S

    def may_serve(self, now: float) -> bool:
        """Tell whether keyed requests may still be served."""
        age = self.confirmation_age(now)
        return age is not None and age <= self.grace_s

    def _advance_confirmed_at(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
