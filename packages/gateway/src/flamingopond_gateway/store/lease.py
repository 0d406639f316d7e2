"""Lease for placement: at most one holder, by conditional writes of a store row.

Times are of a clock that includes system suspend, so that a suspended holder finds
its lease expired when it resumes.

If the store comes back from an older copy, the row tells who held the lease some time
before. Nobody takes it over until a whole lease has passed since then, also if the row
is vacant or missing, but the last holder: no other gateway can have acquired the lease
within the duration of one after its last renewal.
"""

from __future__ import annotations

import enum

from attrs import define

from .storage import era_of

# A holder acts only for this fraction of the lease after it has sent a renewal, while
# others take over only once the row is unchanged for the whole lease.
ACTIVE_FRACTION = 0.7
# A gateway that has left the lease to others takes it again this much later than a
# whole lease: two that act in turn within one count as two holders at a time.
TURN_MARGIN_S = 0.5
# Renewals per lease, so that after a lost one there is time for the next.
RENEWALS_PER_LEASE = 3


class LeaseStep(enum.Enum):
    """Next step of the gateway for the lease."""

    WAIT = "wait"
    READ = "look"
    WRITE = "write"


@define
class LeaseManager:
    """State of one gateway for one lease row; ``lease_s`` is the lease's duration."""

    lease_s: float
    _fence: int = 0
    _version: int | None = None
    _version_seen_at: float = 0.0
    _renewed_at: float = float("-inf")
    _read_at: float = float("-inf")
    _vacant: bool = False
    _era: int | None = None
    _era_risen_at: float = float("-inf")
    # Era of the term that a conflict has ended last, and until when this gateway is
    # the only one that can have held the lease.
    _lost_era: int = 0
    _sole_holder_until: float = float("-inf")
    _abstains_until: float = float("-inf")

    @property
    def fence(self) -> int:
        """Fencing token of this gateway's term, 0 if it has none."""
        return self._fence

    @property
    def version(self) -> int:
        """Version of the row that the next write expects."""
        return self._version or 0

    def held(self, now: float) -> bool:
        """Whether this gateway may act as the holder."""
        return (
            self._fence > 0 and now - self._renewed_at < self.lease_s * ACTIVE_FRACTION
        )

    def step(
        self, now: float, holder_heard: bool, takeover_delay_s: float
    ) -> LeaseStep:
        """Return the next step.

        ``holder_heard`` is whether another gateway is known to hold the lease;
        ``takeover_delay_s`` delays a takeover behind gateways of a lower member rank.
        """
        if self._fence:
            due = now - self._renewed_at >= self.lease_s / RENEWALS_PER_LEASE
            return LeaseStep.WRITE if due else LeaseStep.WAIT
        if holder_heard or now < self._abstains_until:
            self._version = None
            return LeaseStep.WAIT
        if self._version is None:
            return LeaseStep.READ
        if (
            self._vacant
            or now - self._version_seen_at >= self.lease_s + takeover_delay_s
        ):
            return LeaseStep.WRITE if self._read_recently(now) else LeaseStep.READ
        return LeaseStep.WAIT

    def note_era(self, era: int, now: float) -> None:
        """Record the era of the store, from any of its answers."""
        if self._era is not None and era > self._era:
            self._era_risen_at = now
        self._era = era if self._era is None else max(era, self._era)

    def observe(self, version: int, vacant: bool, era: int, now: float) -> None:
        """Record a read of the row; the lease runs while its version is unchanged.

        ``era`` is that of the store as it answered, also if there is no row.
        """
        self.note_era(era, now)
        if version != self._version:
            self._version = version
            self._version_seen_at = now
        settled = now - self._era_risen_at >= self.lease_s
        retakes = era > self._lost_era and now < self._sole_holder_until
        self._vacant = retakes or (vacant and settled)
        self._read_at = now

    def lose_term(self, now: float) -> None:
        """End this gateway's term because the row has another version."""
        if self._fence:
            self._lost_era = era_of(self.version)
            self._sole_holder_until = self._renewed_at + self.lease_s
        self.end_term()

    def abstain(self, now: float) -> None:
        """Leave the lease to others for longer than its duration."""
        self._abstains_until = now + self.lease_s + TURN_MARGIN_S

    def record_write(self, version: int, sent_at: float) -> bool:
        """Record a successful write; return whether it begins a new term."""
        begins = self._fence == 0
        if begins:
            self._fence = version
        self._version = version
        self._renewed_at = sent_at
        return begins

    def end_term(self) -> None:
        """End this gateway's term."""
        self._fence = 0
        self._version = None
        self._vacant = False

    def _read_recently(self, now: float) -> bool:
        return now - self._read_at < self.lease_s / RENEWALS_PER_LEASE
