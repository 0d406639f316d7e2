"""Which software versions of each service have been in service, and until when.

What targets of two versions send doesn't fit together, so that a stream may go on only
at the version that began it. As long as there has been only one for longer than any
stream lasts, each stream began there, also those of which no gateway knows any more.

Times are of the store's clock, in ms: it is common to all gateways and outlasts them.
"""

from __future__ import annotations

import copy
from collections.abc import Iterable, Mapping

import msgspec
import structlog
from attrs import define, field, frozen

from .storage import Row

SOFTWARE_TABLE = "flamingopond-software"
# Versions that have left are forgotten after this many times the longest stream.
KEPT_WINDOWS = 4
# Two gateways note the same change of the list at slightly different times.
SAME_TIME_MS = 1000.0

log = structlog.get_logger()


class VersionSpan(msgspec.Struct):
    """When a version was first seen, and when it left; None while it is listed."""

    since_ms: float
    left_ms: float | None = None


class ServiceHistory(msgspec.Struct):
    """Versions of one service; nothing is known from before ``known_since_ms``.

    ``era`` is that of the store when the row was written, 0 if it isn't known.
    """

    known_since_ms: float
    versions: dict[str, VersionSpan] = {}
    era: int = 0


@frozen
class _StoredHistory:
    """A row of the store; without a ``history`` if it is malformed."""

    version: int
    history: ServiceHistory | None


@define
class SoftwareHistory:
    """Versions of all services, from the list of targets and the store's rows.

    With ``first_start`` no stream can have begun before this process.
    """

    first_start: bool = False
    _services: dict[str, ServiceHistory] = field(factory=dict)
    _stored: dict[str, _StoredHistory] = field(factory=dict)
    # Times at which targets have written their entries again, by service.
    _settled_ms: dict[str, float] = field(factory=dict)

    def restore(self, rows: Iterable[Row]) -> None:
        """Take over the rows that other gateways have written."""
        self.merge(rows, known_until_ms=float("-inf"), now_ms=None)

    def merge(
        self, rows: Iterable[Row], known_until_ms: float, now_ms: float | None
    ) -> None:
        """Add what other gateways have written to the store.

        Everything up to ``known_until_ms`` is known here. With ``now_ms``, the time of
        the read, there is a gap after it, and services without a row are known from
        then on only.
        """
        self.note_stored(rows)
        found = {key: stored.history for key, stored in self._stored.items()}
        for service, history in found.items():
            if history is not None:
                self._merge_service(service, history, known_until_ms)
        if now_ms is None:
            return
        for service, own in self._services.items():
            if found.get(service) is None:
                own.known_since_ms = now_ms

    def _merge_service(
        self, service: str, other: ServiceHistory, known_until_ms: float
    ) -> None:
        own = self._services.get(service)
        if own is None:
            self._services[service] = copy.deepcopy(other)
            return
        if other.known_since_ms <= known_until_ms:
            own.known_since_ms = min(own.known_since_ms, other.known_since_ms)
        else:
            own.known_since_ms = other.known_since_ms
        for version, span in other.versions.items():
            known = own.versions.setdefault(
                version, VersionSpan(span.since_ms, span.left_ms)
            )
            known.since_ms = min(known.since_ms, span.since_ms)
            if known.left_ms is not None:
                known.left_ms = (
                    None if span.left_ms is None else max(known.left_ms, span.left_ms)
                )

    def note_seen(self, service: str, version: str, seen_ms: float) -> None:
        """Record that a version was in service at a time, as another gateway says."""
        history = self._services.get(service)
        if history is None:
            return
        span = history.versions.setdefault(version, VersionSpan(seen_ms, seen_ms))
        if span.left_ms is not None:
            span.left_ms = max(span.left_ms, seen_ms)

    def shared_versions(
        self, now_ms: float, window_ms: float
    ) -> dict[str, dict[str, int]]:
        """Return services of which several versions can have begun streams.

        For each version, the value is when it was last listed.
        """
        shared = {}
        for service in self._services:
            possible = self._possible(service, now_ms, window_ms)
            if len(possible) > 1:
                shared[service] = {
                    version: int(now_ms if left_ms is None else left_ms)
                    for version, left_ms in possible.items()
                }
        return shared

    def note_stored(self, rows: Iterable[Row]) -> None:
        """Record what the store has, so that only differences are written."""
        self._stored = {
            row.key: _StoredHistory(row.version, _decode(row))
            for row in rows
            if not row.removed
        }

    def hold_copies(self, era: int, settled_ms: float) -> list[str]:
        """Believe histories that nobody has written in this era from then on only.

        The store has come back from an older copy, which may lack a version: its row
        and its targets' entries are missing until they are written again. Returns the
        services that this concerns.
        """
        held = [
            service
            for service, stored in self._stored.items()
            if stored.history is not None and stored.history.era < era
        ]
        self._settled_ms |= dict.fromkeys(held, settled_ms)
        return held

    def settled_ms(self, service: str) -> float:
        """Return the time from which on a service's history is believed."""
        return self._settled_ms.get(service, float("-inf"))

    def stored_version(self, service: str) -> int:
        """Return the version of a service's row in the store, 0 if there is none."""
        stored = self._stored.get(service)
        return stored.version if stored is not None else 0

    def note_present(
        self, present: Mapping[str, Iterable[str]], now_ms: float, window_ms: float
    ) -> None:
        """Record the versions of all listed targets, by service.

        ``window_ms`` is the longest time that a stream takes.
        """
        for service in {*present, *self._services}:
            versions = set(present.get(service, ()))
            history = self._services.get(service)
            if history is None:
                known_since_ms = 0.0 if self.first_start else now_ms
                history = self._services[service] = ServiceHistory(known_since_ms, {})
            for version in versions:
                span = history.versions.setdefault(version, VersionSpan(now_ms))
                span.left_ms = None
            for version, span in list(history.versions.items()):
                if version not in versions and span.left_ms is None:
                    span.left_ms = now_ms
                left_ms = span.left_ms
                if left_ms is not None and now_ms - left_ms > KEPT_WINDOWS * window_ms:
                    del history.versions[version]

    def sole_version(self, service: str, now_ms: float, window_ms: float) -> str | None:
        """Return the only version at which a stream can have begun.

        Returns None if there may be several, or if it isn't known.
        """
        history = self._services.get(service)
        if history is None or now_ms < self.settled_ms(service):
            return None
        known_since_ms = history.known_since_ms
        if known_since_ms and now_ms - known_since_ms < window_ms:
            return None
        possible = list(self._possible(service, now_ms, window_ms))
        return possible[0] if len(possible) == 1 else None

    def _possible(
        self, service: str, now_ms: float, window_ms: float
    ) -> dict[str, float | None]:
        """Return the versions at which a stream can have begun, and when they left."""
        return {
            version: span.left_ms
            for version, span in self._services[service].versions.items()
            if span.left_ms is None or now_ms - span.left_ms < window_ms
        }

    def unstored_rows(
        self, era: int = 0, now_ms: float = float("inf")
    ) -> dict[str, bytes]:
        """Return the rows that tell more than those of the store, by key.

        They are written in ``era``. Whoever reads one of the present era believes it,
        so that those are left out which aren't believed here yet.
        """
        return {
            service: msgspec.json.encode(msgspec.structs.replace(history, era=era))
            for service, history in self._services.items()
            if now_ms >= self.settled_ms(service)
            and not self._is_stored(service, history, era)
        }

    def _is_stored(self, service: str, history: ServiceHistory, era: int) -> bool:
        row = self._stored.get(service)
        return (
            row is not None
            and row.history is not None
            and row.history.era >= era
            and _covers(row.history, history)
        )

    def note_written(self, rows: Mapping[str, bytes], version: int) -> None:
        """Record that the store has taken rows, with their new version."""
        for service, value in rows.items():
            history = msgspec.json.decode(value, type=ServiceHistory)
            self._stored[service] = _StoredHistory(version, history)


def _covers(stored: ServiceHistory, history: ServiceHistory) -> bool:
    """Whether a stored history tells all that another one does."""
    if stored.known_since_ms > history.known_since_ms + SAME_TIME_MS:
        return False
    for version, span in history.versions.items():
        known = stored.versions.get(version)
        if known is None or (known.left_ms is None) is not (span.left_ms is None):
            return False
        if (span.left_ms or 0.0) > (known.left_ms or 0.0) + SAME_TIME_MS:
            return False
    return True


def _decode(row: Row) -> ServiceHistory | None:
    try:
        return msgspec.json.decode(row.value, type=ServiceHistory)
    except (msgspec.MsgspecError, RecursionError) as error:
        log.warning("invalid row", table=row.table, key=row.key, reason=str(error))
        return None
