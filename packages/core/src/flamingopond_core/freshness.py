"""Whether a node knows the newest accepted configuration."""

from __future__ import annotations

import attrs

# A confirmation counts for as long as this, in seconds. A withdrawn key must
# stop working within 3 s.
CONFIRMATION_LIFE = 3.0
# Confirmations of revisions that are not applied yet; more are not needed,
# because the newer of them say more.
_PENDING_LIMIT = 64


@attrs.define
class Freshness:
    """Tracks confirmations of the applied revision, in seconds of ``now``.

    A confirmation (revision, at) says that at the time ``at`` no revision later
    than ``revision`` had been accepted. It comes from a read of the table, from
    gossip, or from an outage of the store in which nothing can be accepted.
    """

    grace: float = 8.0
    _applied: int = attrs.field(default=0, init=False)
    _confirmed_at: float | None = attrs.field(default=None, init=False)
    _highest_heard: int = attrs.field(default=0, init=False)
    _pending: dict[int, float] = attrs.field(factory=dict, init=False)

    @property
    def highest_heard(self) -> int:
        """The highest revision that was applied or heard of."""
        return self._highest_heard

    @property
    def confirmed_at(self) -> float | None:
        """When the applied revision was last confirmed as the newest."""
        return self._confirmed_at

    def confirmation_age(self, now: float) -> float | None:
        """Return the age in seconds of what confirms the applied revision."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def hear(self, revision: int) -> None:
        """Note that ``revision`` exists somewhere."""
        self._highest_heard = max(self._highest_heard, revision)

    def apply(self, revision: int) -> None:
        """Note that ``revision`` is applied now."""
        self._applied = max(self._applied, revision)
        self.hear(revision)
        for pending in [r for r in self._pending if r <= self._applied]:
            self._take(self._pending.pop(pending))

    def confirm(self, revision: int, at: float) -> None:
        """Note that no revision after ``revision`` had been accepted at ``at``.

        The time of a table read is that at which the request was sent.
        """
        self.hear(revision)
        if revision <= self._applied:
            self._take(at)
            return
        self._pending[revision] = max(at, self._pending.get(revision, at))
        if len(self._pending) > _PENDING_LIMIT:
            del self._pending[min(self._pending)]

    def observe_outage(self, now: float) -> None:
        """Note that the store is down for all nodes at ``now``.

        Nothing can be accepted then, so the highest revision heard of is the
        newest. A node that lacks it does not become fresh.
        """
        self.confirm(self._highest_heard, now)

    def fresh(self, now: float) -> bool:
        """Tell whether the applied revision is confirmed recently enough."""
        age = self.confirmation_age(now)
        return age is not None and age <= CONFIRMATION_LIFE

    def serving(self, now: float) -> bool:
        """Tell whether keyed requests may still be served."""
        age = self.confirmation_age(now)
        return age is not None and age <= self.grace

    def _take(self, at: float) -> None:
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at
