"""Refuses requests with content that crashes targets, and logs the evidence."""

from __future__ import annotations

import math
from collections.abc import Iterable

import structlog
from attrs import define, field

from flamingopond_core.exceptions import FlamingopondError

from ..messages import CrashReport
from ..metrics import Metrics
from ..targets.crashes import CrashEvidence, RequestTraits, Suspect, Trait, crash_key
from ..targets.roster import Target
from .tickets import Ticket

log = structlog.get_logger()


class FatalContentError(FlamingopondError):
    """Raised for a request whose content is known to crash targets."""

    def __init__(self, suspect: Suspect) -> None:
        """Store the trait and the crashes that name it."""
        super().__init__("content crashes targets")
        self._suspect = suspect

    @property
    def suspect(self) -> Suspect:
        """The trait that names the content, and its crashes."""
        return self._suspect


@define(eq=False)
class CrashGuard:
    """The crash evidence of one gateway, with its log lines and metrics."""

    metrics: Metrics
    evidence: CrashEvidence = field(factory=CrashEvidence)

    def check(self, traits: RequestTraits, now: float) -> None:
        """Raise FatalContentError if a request must not reach a target."""
        suspect = self.evidence.named(traits, now)
        if suspect is not None:
            raise FatalContentError(suspect)

    def record_begun(self, ticket: Ticket, now: float) -> None:
        """Record that a target goes on with its answer to a request."""
        for suspect in self.evidence.record_begun(ticket.traits, now):
            log.info(
                "content cleared", trait=suspect.trait.label, request=ticket.request.id
            )
            self._update_gauge(now)

    def record_crash(
        self, ticket: Ticket, target: Target, sent_at: float, now: float
    ) -> None:
        """Record that a target crashed before it began to answer a request."""
        before = self._crash_counts(ticket.traits)
        self.evidence.record_crash(
            ticket.traits, crash_key(target.id, target.start_id), sent_at, now
        )
        self.metrics.count_crash(ticket.service)
        log.info(
            "target crashed",
            target=target.id,
            start_id=target.start_id,
            request=ticket.request.id,
            sent_before_s=round(now - sent_at, 3),
            crashes_before=before,
            crashes_after=self._crash_counts(ticket.traits),
        )

    def review(
        self, settle_s: float, now: float, contact_since: float = -math.inf
    ) -> None:
        """Name the content that crashes targets; see ``CrashEvidence.review``."""
        named = self.evidence.review(settle_s, now, contact_since)
        self._log_named(named, "own review", now)

    def merge(self, report: CrashReport, now: float) -> None:
        """Add the evidence of another gateway."""
        named = self.evidence.merge(report.suspects, now)
        self._log_named(named, report.node, now)

    def restore(self, traits: Iterable[Trait], now: float) -> None:
        """Refuse content that was named before this gateway started."""
        for trait in traits:
            self.evidence.restore(trait, now)
            log.info("content named", trait=trait.label, source="store")
        self._update_gauge(now)

    def _crash_counts(self, traits: RequestTraits) -> dict[str, int]:
        """Return the crashes since the last begun answer, by trait."""
        counts = {}
        for trait in traits.traits:
            suspect = self.evidence.get(trait)
            exposures = suspect.open_exposures(()) if suspect is not None else []
            counts[trait.label] = len(exposures)
        return counts

    def _log_named(self, named: Iterable[Suspect], source: str, now: float) -> None:
        for suspect in named:
            exposures = suspect.open_exposures(())
            log.warning(
                "content named",
                trait=suspect.trait.label,
                is_part=suspect.trait.is_part,
                source=source,
                crashes=[f"{exposure.crash:016x}" for exposure in exposures],
                crash_ages_s=[round(now - e.crashed_at, 2) for e in exposures],
                requests=len({exposure.request for exposure in exposures}),
                answered_before=suspect.begun_at > float("-inf"),
                ban_s=round(suspect.banned_until - now),
            )
        self._update_gauge(now)

    def _update_gauge(self, now: float) -> None:
        self.metrics.set_named_content(len(self.evidence.all_named(now)))
