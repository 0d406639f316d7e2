"""How long a lease holder may act, and when a claimant may replace its row.

A holder may act beyond its lease while a majority knows of no store contact after
the lease's end. These rules are rule O in ``docs/membership.md``, which proves that
a holder and a claimant never act at the same time.
"""

from __future__ import annotations

import math
from collections.abc import Set

import attrs

from flamingopond_core.membership import GossipState
from flamingopond_core.roster import Member, Roster

# A table read up to this old confirms a revision; see section 4 of the design.
OUTAGE_AFTER_S = 3.0


class HolderAuthority:
    """How long this node may act as owner of the shards under one lease."""

    def __init__(
        self,
        lease_end: float = -math.inf,
        until: float = -math.inf,
        roster_version: int = 0,
        *,
        delegated: bool = False,
    ) -> None:
        """Start without a lease, or with that of another node's session.

        ``delegated``: the shards were delegated to this node under that lease.
        """
        self._lease_end = lease_end
        self._until = until
        self._roster_version = roster_version
        self._delegated = delegated

    @property
    def roster_version(self) -> int:
        """Roster version that the lease was granted under."""
        return self._roster_version

    @property
    def until(self) -> float:
        """End of the authority by the lease and its extensions."""
        return self._until

    @property
    def lease_end(self) -> float:
        """End of the lease itself."""
        return self._lease_end

    def renew(self, sent_at: float, lease_s: float, roster_version: int) -> None:
        """Record a renewal that was sent at ``sent_at`` under ``roster_version``."""
        if sent_at + lease_s <= self._lease_end:
            return
        self._lease_end = sent_at + lease_s
        self._roster_version = roster_version
        self._until = max(self._until, self._lease_end)

    def revoke(self) -> None:
        """Drop the lease, for example after another node fenced it."""
        self._lease_end = self._until = -math.inf

    def extend(self, gossip: GossipState, now: float) -> float:
        """Extend the authority if a majority allows it; return its end.

        A member counts if it knew of no store contact after the end of the lease,
        and if its process cannot have lost knowledge of one in a restart: either
        it predates its contact, so it ran before the lease ended, or it has run for
        ``MATURITY_S`` and the authority has not expired in the meantime.
        """
        if self._lease_end == -math.inf:
            return self._until
        # Only claimants with the lease's roster or the next one wait for its end. A
        # delegate may also still have an older roster than that of the lease.
        version = gossip.roster.version
        if not self._roster_version <= version <= self._roster_version + 1:
            return self._until
        not_expired = now <= self._until
        counted = {
            member
            for member, heard in gossip.heard(now).items()
            if heard.contact <= self._lease_end
            and (
                heard.predates_contact
                or (heard.long_running and not_expired)
                # The holder's process ran before its lease ended; a delegate's may not
                # have.
                or (member == gossip.member and not self._delegated)
            )
        }
        if gossip.roster.has_majority(counted):
            extension = gossip.roster.timings.extension_s
            self._until = max(self._until, now + extension)
        return self._until


def hears_majority(gossip: GossipState, now: float) -> bool:
    """Tell whether this node has recent heartbeats of a majority of the roster."""
    return gossip.roster.has_majority(gossip.heard(now).keys())


def in_outage(gossip: GossipState, now: float) -> bool:
    """Tell whether a majority knows of no store contact in ``OUTAGE_AFTER_S``."""
    latest_contact = now - OUTAGE_AFTER_S
    return gossip.roster.has_majority(
        {
            member
            for member, heard in gossip.heard(now).items()
            if heard.contact <= latest_contact
            and (heard.predates_contact or heard.long_running)
        }
    )


@attrs.define
class _RowExpiry:
    """What a claimant has observed of one table row."""

    version: int
    first_seen: float
    expired_at: float | None = None
    confirmed_at: float | None = None


class ExpiryTracker:
    """Decides for a claimant when a node row or the roster row may be replaced.

    A row expires when its version has not changed for one lease. It may be replaced
    once a majority is known to know of a store contact after that, which confirms
    the expiry, and ``claim_wait_s`` has passed, in which a holder may still act.
    """

    def __init__(self) -> None:
        """Start without rows."""
        self._rows: dict[str, _RowExpiry] = {}
        self._roster_version = 0

    def observe(
        self,
        key: str,
        version: int,
        sent_at: float,
        now: float,
        roster: Roster,
        *,
        process_ended: bool = False,
    ) -> None:
        """Record that a read sent at ``sent_at`` showed the row at ``version``.

        ``process_ended``: the row's process is known to have ended before the read, so
        there is no lease to wait for, but there may be delegates.
        """
        self._reset_if_changed(roster)
        row = self._rows.get(key)
        if row is None or row.version != version:
            row = self._rows[key] = _RowExpiry(version, now)
        if row.expired_at is None and (
            process_ended or sent_at > row.first_seen + roster.claimant_timings.lease_s
        ):
            row.expired_at = sent_at

    def forget(self, key: str) -> None:
        """Discard what is known of a row."""
        self._rows.pop(key, None)

    def is_expired(self, key: str) -> bool:
        """Tell whether the row has expired."""
        row = self._rows.get(key)
        return row is not None and row.expired_at is not None

    def is_confirmed(self, key: str) -> bool:
        """Tell whether a majority has confirmed the expiry."""
        row = self._rows.get(key)
        return row is not None and row.confirmed_at is not None

    def may_replace(
        self,
        key: str,
        version: int,
        gossip: GossipState,
        gone: Set[Member],
        now: float,
    ) -> bool:
        """Tell whether the row at ``version`` may be replaced now."""
        self._reset_if_changed(gossip.roster)
        row = self._rows.get(key)
        if row is None or row.expired_at is None or row.version != version:
            return False
        if row.confirmed_at is None:
            informed = {
                member
                for member, heard in gossip.heard(now).items()
                if heard.contact_lower_bound > row.expired_at
            }
            if not gossip.roster.has_majority(informed, gone):
                return False
            row.confirmed_at = now
        return now >= row.confirmed_at + gossip.roster.claimant_timings.claim_wait_s

    def _reset_if_changed(self, roster: Roster) -> None:
        # An expiry is valid only for the roster that it was found with.
        if roster.version != self._roster_version:
            self._roster_version = roster.version
            for row in self._rows.values():
                row.expired_at = row.confirmed_at = None
