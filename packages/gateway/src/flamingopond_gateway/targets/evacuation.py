"""Zones whose targets get no requests because an operator has evacuated them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, evolve, field, frozen

from .conditions import Block, UnavailableReason
from .roster import Target

# An evacuation that an older copy of the store lacks is held for this long, unless its
# row is written or removed before. Nothing tells whether the operator will repeat it;
# without an end, a zone would be lost for good.
RESTORED_HOLD_S = 30.0
SOURCE = "store"


@frozen
class EvacuationRow:
    """An operator's row that evacuates a zone, or its removal."""

    zone: str
    version: int
    removed: bool = False


@frozen
class EvacuationChange:
    """Zones whose evacuation has begun, is held without its row, or has ended."""

    begun: list[str] = field(factory=list)
    held: list[str] = field(factory=list)
    ended: list[str] = field(factory=list)


@frozen
class _Evacuation:
    since: float
    held_until: float | None = None


@define
class EvacuatedZones:
    """The condition that a target's zone is not evacuated."""

    _versions: dict[str, int] = field(factory=dict)
    _evacuations: dict[str, _Evacuation] = field(factory=dict)

    def __len__(self) -> int:
        """Count the evacuated zones."""
        return len(self._evacuations)

    def apply(
        self, rows: Iterable[EvacuationRow], now: float, restored_version: int = 0
    ) -> EvacuationChange:
        """Apply changed rows; return what has changed by them.

        Rows up to ``restored_version`` may stem from an older copy of the store. A
        removal among them may be a row that the copy lacks.
        """
        change = EvacuationChange()
        for row in rows:
            if row.version <= self._versions.get(row.zone, 0):
                continue
            self._versions[row.zone] = row.version
            known = self._evacuations.get(row.zone)
            if not row.removed:
                since = now if known is None else known.since
                self._evacuations[row.zone] = _Evacuation(since)
                if known is None:
                    change.begun.append(row.zone)
            elif known is not None and row.version <= restored_version:
                self._evacuations[row.zone] = evolve(
                    known, held_until=now + RESTORED_HOLD_S
                )
                change.held.append(row.zone)
            elif known is not None:
                del self._evacuations[row.zone]
                change.ended.append(row.zone)
        return change

    def expire(self, now: float) -> list[str]:
        """End the evacuations that are no longer held; return their zones."""
        ended = [
            zone
            for zone, evacuation in self._evacuations.items()
            if evacuation.held_until is not None and evacuation.held_until <= now
        ]
        for zone in ended:
            del self._evacuations[zone]
        return ended

    def block(self, target: Target, now: float) -> Block | None:
        """Return why ``target`` gets no requests now, None if it may get some."""
        evacuation = self._evacuations.get(target.zone)
        if evacuation is None:
            return None
        return Block(
            UnavailableReason.EVACUATED,
            SOURCE,
            evacuation.since,
            evacuation.held_until,
        )
