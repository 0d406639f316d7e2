"""Rule O: how long a holder may go on, and when a claimant may act.

``docs/membership.md`` has the proof that the two exclude each other.
"""

from __future__ import annotations

import math
from collections.abc import Set

import attrs

from flamingopond_core.membership import GossipState
from flamingopond_core.roster import Member, Roster

# A table read at most this old confirms a revision; see section 4 of the design.
OUTAGE_AFTER_S = 3.0


class HolderAuthority:
    """Until when this node may act as owner of the shards that it holds."""

    def __init__(
        self,
        lease_end: float = -math.inf,
        until: float = -math.inf,
        roster_version: int = 0,
        *,
        delegated: bool = False,
    ) -> None:
        """Start without a lease, or with the lease of another node's session.

        ``delegated``: the shards were passed on under that lease.
        """
        self._lease_end = lease_end
        self._until = until
        self._roster_version = roster_version
        self._delegated = delegated

    @property
    def roster_version(self) -> int:
        """Version of the roster that the lease required."""
        return self._roster_version

    @property
    def until(self) -> float:
        """End of the authority, by the present lease and its extensions."""
        return self._until

    @property
    def lease_end(self) -> float:
        """End of the lease itself."""
        return self._lease_end

    def renew(self, sent_at: float, lease: float, roster_version: int) -> None:
        """Note a renewal sent at ``sent_at`` that required ``roster_version``."""
        if sent_at + lease <= self._lease_end:
            return
        self._lease_end = sent_at + lease
        self._roster_version = roster_version
        self._until = max(self._until, self._lease_end)

    def revoke(self) -> None:
        """Give up the lease, for example after another node fenced it."""
        self._lease_end = self._until = -math.inf

    def extend(self, gossip: GossipState, now: float) -> float:
        """Apply the holder's side of rule O and return the end of the authority.

        A member counts if it knew of no contact after the end of the lease, and
        if its process cannot have forgotten one: either it is steady, so it ran
        before the lease ended; or it has run for ``MATURITY_S`` and the authority
        has not lapsed since.
        """
        if self._lease_end == -math.inf:
            return self._until
        # A lease is outwaited by those who use its roster or the next one only. A
        # delegate may still know an older roster than that of the lease.
        version = gossip.roster.version
        if not self._roster_version <= version <= self._roster_version + 1:
            return self._until
        unbroken = now <= self._until
        counted = {
            member
            for member, heard in gossip.heard(now).items()
            if heard.contact <= self._lease_end
            and (
                heard.steady
                or (heard.aged and unbroken)
                # The holder ran before its lease ended; a delegate may not have.
                or (member == gossip.member and not self._delegated)
            )
        }
        if gossip.roster.has_majority(counted):
            extension = gossip.roster.timings.extension
            self._until = max(self._until, now + extension)
        return self._until


def hears_majority(gossip: GossipState, now: float) -> bool:
    """Tell whether a majority of the roster is heard."""
    return gossip.roster.has_majority(gossip.heard(now).keys())


def in_outage(gossip: GossipState, now: float) -> bool:
    """Tell whether a majority knows of no store contact in the last seconds."""
    latest = now - OUTAGE_AFTER_S
    return gossip.roster.has_majority(
        {
            member
            for member, heard in gossip.heard(now).items()
            if heard.contact <= latest and (heard.steady or heard.aged)
        }
    )


@attrs.define
class _Lapse:
    """What a claimant saw of one table row."""

    version: int
    first_seen: float
    judged_at: float | None = None
    confirmed_at: float | None = None


class LapseWatch:
    """The claimant's side of rule O for node rows and the roster row.

    A row lapses when its version has not changed for a lease duration. It may be
    replaced once a majority is known to know of a store contact after that, and
    the time that a holder may still go on has passed.
    """

    def __init__(self) -> None:
        """Start without rows."""
        self._lapses: dict[str, _Lapse] = {}
        self._roster_version = 0

    def observe(
        self,
        key: str,
        version: int,
        sent_at: float,
        now: float,
        roster: Roster,
        *,
        ended: bool = False,
    ) -> None:
        """Note that a read sent at ``sent_at`` showed the row at ``version``.

        ``ended``: the row's process is known to have ended before the read, so
        there is no lease to outwait, but there may be delegates.
        """
        self._use(roster)
        lapse = self._lapses.get(key)
        if lapse is None or lapse.version != version:
            lapse = self._lapses[key] = _Lapse(version, now)
        if lapse.judged_at is None and (
            ended or sent_at > lapse.first_seen + roster.guard.lease
        ):
            lapse.judged_at = sent_at

    def forget(self, key: str) -> None:
        """Drop what is known of a row."""
        self._lapses.pop(key, None)

    def judged(self, key: str) -> bool:
        """Tell whether the row was judged lapsed."""
        lapse = self._lapses.get(key)
        return lapse is not None and lapse.judged_at is not None

    def confirmed(self, key: str) -> bool:
        """Tell whether a majority was known to know of a contact after the lapse."""
        lapse = self._lapses.get(key)
        return lapse is not None and lapse.confirmed_at is not None

    def ready(
        self,
        key: str,
        version: int,
        gossip: GossipState,
        gone: Set[Member],
        now: float,
    ) -> bool:
        """Tell whether the row at ``version`` may be replaced now."""
        self._use(gossip.roster)
        lapse = self._lapses.get(key)
        if lapse is None or lapse.judged_at is None or lapse.version != version:
            return False
        if lapse.confirmed_at is None:
            informed = {
                member
                for member, heard in gossip.heard(now).items()
                if heard.contact_at_least > lapse.judged_at
            }
            if not gossip.roster.has_majority(informed, gone):
                return False
            lapse.confirmed_at = now
        return now >= lapse.confirmed_at + gossip.roster.guard.claim_wait

    def _use(self, roster: Roster) -> None:
        # A judgement holds for the roster that it was made with.
        if roster.version != self._roster_version:
            self._roster_version = roster.version
            for lapse in self._lapses.values():
                lapse.judged_at = lapse.confirmed_at = None
