"""Replication of configuration revisions: order, gaps, snapshots and majorities."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import attrs

from flamingopond_core.configuration import Configuration
from flamingopond_core.objects import Change, ChangeSet, ObjectId

SNAPSHOT_INTERVAL = 256
# Change sets kept in memory for lagging peers and for conflict reports. At 53,000
# changes a day these cover about 14 minutes.
MAX_RECENT_CHANGE_SETS = 512
# A change set further ahead than this is not kept but fetched later.
_MAX_REVISIONS_AHEAD = 512


class RevisionFeed:
    """Applies change sets to a configuration in order, however they arrive.

    Change sets that arrive early are kept until the gap is closed; duplicates are
    dropped.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Feed ``configuration``, starting after its current revision."""
        self._configuration = configuration
        self._early: dict[int, ChangeSet] = {}
        self._recent: deque[ChangeSet] = deque(maxlen=MAX_RECENT_CHANGE_SETS)

    @property
    def configuration(self) -> Configuration:
        """The configuration that change sets are applied to."""
        return self._configuration

    @property
    def recent(self) -> Sequence[ChangeSet]:
        """The newest applied change sets, oldest first and without gaps."""
        return self._recent

    def add(self, change_set: ChangeSet) -> tuple[ChangeSet, ...]:
        """Accept a committed change set; return the change sets applied as a result."""
        ahead = change_set.revision - self._configuration.revision
        if not 0 < ahead <= _MAX_REVISIONS_AHEAD:
            return ()
        self._early[change_set.revision] = change_set
        return self._apply_early()

    def restore(self, snapshot: Configuration) -> frozenset[ObjectId]:
        """Switch to a snapshot if it is newer; return the objects that differ.

        Early change sets that follow the snapshot are applied too, because no later
        message may arrive to trigger them.
        """
        if snapshot.revision <= self._configuration.revision:
            return frozenset()
        changed = self._configuration.advance_to(snapshot)
        revision = self._configuration.revision
        self._early = {r: c for r, c in self._early.items() if r > revision}
        # The recent change sets no longer lead up to the current revision.
        self._recent.clear()
        return changed.union(
            change.object_id
            for change_set in self._apply_early()
            for change in change_set.changes
        )

    def missing(self, target: int) -> range:
        """Return the revisions up to ``target`` that have not been received."""
        start = self._configuration.revision + 1
        end = target
        while end >= start and end in self._early:
            end -= 1
        return range(start, end + 1)

    def _apply_early(self) -> tuple[ChangeSet, ...]:
        applied = []
        while next_change_set := self._early.get(self._configuration.revision + 1):
            self._configuration.apply(next_change_set)
            del self._early[next_change_set.revision]
            self._recent.append(next_change_set)
            applied.append(next_change_set)
        return tuple(applied)

    def since(self, revision: int) -> tuple[ChangeSet, ...] | None:
        """Return the change sets after ``revision``; ``None`` if some are not kept."""
        count = self._configuration.revision - revision
        if count <= 0:
            return ()
        if count > len(self._recent):
            return None
        return tuple(self._recent)[-count:]


def find_conflicts(
    changes: Iterable[Change], between: Iterable[ChangeSet]
) -> tuple[ChangeSet, ...]:
    """Return those of ``between`` that touch an object of ``changes``."""
    changed = {change.object_id for change in changes}
    return tuple(
        change_set
        for change_set in between
        if any(change.object_id in changed for change in change_set.changes)
    )


def snapshot_due(before: int, after: int) -> int | None:
    """Return the newest snapshot revision in (before, after], if any."""
    due = after - after % SNAPSHOT_INTERVAL
    return due if due > before and due > 0 else None


def poll_interval_s(members: int) -> float:
    """Return the seconds between two polls of one node.

    All nodes together make at most 200 reads/s.
    """
    return max(1.0, members / 200)


def majority(members: int) -> int:
    """Return the smallest number that is more than half of ``members``."""
    return members // 2 + 1


@attrs.define
class MemberRevisions:
    """Tracks the applied revision of each member, to detect majorities."""

    _revisions: dict[str, int] = attrs.field(factory=dict, init=False)

    def record(self, member: str, revision: int) -> None:
        """Record that ``member`` has applied ``revision``."""
        self._revisions[member] = max(revision, self._revisions.get(member, 0))

    def retain(self, members: Iterable[str]) -> None:
        """Discard all members but these."""
        kept = set(members)
        self._revisions = {m: r for m, r in self._revisions.items() if m in kept}

    def has_majority(self, revision: int, members: Sequence[str]) -> bool:
        """Tell whether a majority of ``members`` has applied ``revision``."""
        up_to_date = sum(
            self._revisions.get(member, 0) >= revision for member in members
        )
        return up_to_date >= majority(len(members))

    def by_revision(self, members: Iterable[str]) -> list[str]:
        """Return ``members`` sorted by revision, the highest first."""
        return sorted(members, key=lambda member: -self._revisions.get(member, 0))
