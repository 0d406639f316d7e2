"""Request rates that targets in need have named in their responses."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from attrs import define, field, frozen

from ..messages import PublishedLimit
from .roster import Target

# A limit that no response has repeated for this long is forgotten. A limited target
# keeps getting requests, so that it can say when its limit ends.
RETENTION_S = 600.0
# This gateway's own observations are reported for this long.
REPORTED_S = 3.0
# Limits in one message, the newest first; some 40 bytes each.
MAX_PUBLISHED = 128
MILLI = 1000


@frozen
class TargetLimit:
    """The limit that one incarnation of a target has named, in requests per second.

    ``rate`` is None once a response came without one. ``heard_at`` is the time of the
    newest response, ``named_at`` that of the first one with a limit, ``source`` the
    gateway that heard it.
    """

    start_id: int
    rate: float | None
    heard_at: float
    named_at: float
    source: str


@define
class TargetLimits:
    """Limits by target, from this gateway's responses and those of others."""

    node: str
    _limits: dict[str, TargetLimit] = field(factory=dict)

    @property
    def active(self) -> bool:
        """Whether any target names a limit."""
        return any(limit.rate is not None for limit in self._limits.values())

    def rate(self, target: Target) -> float | None:
        """Return the requests per second that a target takes, None for no limit."""
        limit = self._limits.get(target.id)
        if limit is None or limit.start_id != target.start_id:
            return None
        return limit.rate

    def __iter__(self) -> Iterator[tuple[str, TargetLimit]]:
        """Iterate over the targets that name a limit."""
        for target_id, limit in self._limits.items():
            if limit.rate is not None:
                yield target_id, limit

    def record_response(self, target: Target, rate: float | None, now: float) -> bool:
        """Record the limit in a response of a target, None if it has none.

        Returns whether the limit is a new one.
        """
        known = self._limits.get(target.id)
        if known is not None and known.start_id > target.start_id:
            return False
        if rate is None and (known is None or known.start_id != target.start_id):
            return False
        return self._set(target.id, target.start_id, rate, now, self.node)

    def merge(self, published: Iterable[PublishedLimit], now: float) -> list[str]:
        """Add what another gateway has heard; returns the targets with a new limit."""
        changed = []
        for entry in published:
            heard_at = now - entry.age_ms / 1000
            known = self._limits.get(entry.target)
            if known is not None and (entry.start_id, heard_at) <= (
                known.start_id,
                known.heard_at,
            ):
                continue
            rate = entry.milli_rate / MILLI if entry.milli_rate >= 0 else None
            if self._set(entry.target, entry.start_id, rate, heard_at, entry.source):
                changed.append(entry.target)
        return changed

    def reported(self, now: float) -> list[PublishedLimit]:
        """Return what this gateway has heard itself lately, for its report."""
        return self._publish(
            (
                (target_id, limit)
                for target_id, limit in self._limits.items()
                if limit.source == self.node and now - limit.heard_at < REPORTED_S
            ),
            now,
        )

    def summarized(self, now: float) -> list[PublishedLimit]:
        """Return all that is known, for a hub's summary."""
        self.expire(now)
        return self._publish(self._limits.items(), now)

    def expire(self, now: float) -> None:
        """Forget limits that no response has repeated for long."""
        for target_id, limit in list(self._limits.items()):
            if now - limit.heard_at > RETENTION_S:
                del self._limits[target_id]

    def get(self, target_id: str) -> TargetLimit | None:
        """Return what is known of a target's limit."""
        return self._limits.get(target_id)

    def _set(
        self,
        target_id: str,
        start_id: int,
        rate: float | None,
        heard_at: float,
        source: str,
    ) -> bool:
        known = self._limits.get(target_id)
        is_same = known is not None and known.start_id == start_id
        named_at = heard_at
        if known is not None and is_same and known.rate is not None:
            named_at = known.named_at
        self._limits[target_id] = TargetLimit(
            start_id, rate, heard_at, named_at, source
        )
        return known is None or not is_same or known.rate != rate

    def _publish(
        self, limits: Iterable[tuple[str, TargetLimit]], now: float
    ) -> list[PublishedLimit]:
        newest = sorted(limits, key=lambda item: -item[1].heard_at)
        return [
            PublishedLimit(
                target_id,
                limit.start_id,
                -1 if limit.rate is None else round(limit.rate * MILLI),
                max(round((now - limit.heard_at) * 1000), 0),
                limit.source,
            )
            for target_id, limit in newest[:MAX_PUBLISHED]
        ]
