"""Decisions about the history: order, what to fetch, and how commits end."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence

import attrs

from flamingopond_core.configuration import Configuration
from flamingopond_core.objects import Change, ChangeSet, ObjectId

SNAPSHOT_INTERVAL = 256
# Change sets kept in memory for peers that lag and for conflict reports. At
# 53,000 changes a day these cover about 14 minutes.
RECENT_LIMIT = 512
# A push that is further ahead than this is fetched later instead of kept.
_AHEAD_LIMIT = 512


class RevisionFeed:
    """Feeds change sets, in whatever order they come, to a configuration.

    Only the next revision is ever applied. What arrives early is kept until the
    gap is closed; what arrives again is dropped.
    """

    def __init__(self, configuration: Configuration) -> None:
        """Feed ``configuration``, starting after its present revision."""
        self._configuration = configuration
        self._early: dict[int, ChangeSet] = {}
        self._recent: deque[ChangeSet] = deque(maxlen=RECENT_LIMIT)

    @property
    def configuration(self) -> Configuration:
        """The configuration that is fed."""
        return self._configuration

    @property
    def recent(self) -> Sequence[ChangeSet]:
        """The newest applied change sets, oldest first and without a gap."""
        return self._recent

    def offer(self, change_set: ChangeSet) -> tuple[ChangeSet, ...]:
        """Take a committed change set; return those that were applied now."""
        ahead = change_set.revision - self._configuration.revision
        if not 0 < ahead <= _AHEAD_LIMIT:
            return ()
        self._early[change_set.revision] = change_set
        return self._apply_early()

    def restore(self, snapshot: Configuration) -> frozenset[ObjectId]:
        """Take over a snapshot if it is later; return what differs.

        Change sets that came early and follow on the snapshot are applied too;
        nothing may come later that would trigger them.
        """
        if snapshot.revision <= self._configuration.revision:
            return frozenset()
        touched = self._configuration.advance_to(snapshot)
        revision = self._configuration.revision
        self._early = {r: c for r, c in self._early.items() if r > revision}
        # The recent change sets no longer join the present revision.
        self._recent.clear()
        return touched.union(
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
        while following := self._early.get(self._configuration.revision + 1):
            self._configuration.apply(following)
            del self._early[following.revision]
            self._recent.append(following)
            applied.append(following)
        return tuple(applied)

    def since(self, revision: int) -> tuple[ChangeSet, ...] | None:
        """Return what leads from ``revision`` to the present, if it is known."""
        count = self._configuration.revision - revision
        if count <= 0:
            return ()
        if count > len(self._recent):
            return None
        return tuple(self._recent)[-count:]


def overlapping(
    changes: Iterable[Change], between: Iterable[ChangeSet]
) -> tuple[ChangeSet, ...]:
    """Return those of ``between`` that touch an object of ``changes``."""
    touched = {change.object_id for change in changes}
    return tuple(
        change_set
        for change_set in between
        if any(change.object_id in touched for change in change_set.changes)
    )


def snapshot_due(before: int, after: int) -> int | None:
    """Return the snapshot revision that lies in (before, after], if any."""
    due = after - after % SNAPSHOT_INTERVAL
    return due if due > before and due > 0 else None


def poll_interval(members: int) -> float:
    """Return the time in seconds between two polls of one node.

    All nodes together make at most 200 reads/s.
    """
    return max(1.0, members / 200)


def majority(members: int) -> int:
    """Return how many of ``members`` are more than half."""
    return members // 2 + 1


@attrs.define
class Spread:
    """Tracks which members have a revision, to tell when most of them do."""

    _revisions: dict[str, int] = attrs.field(factory=dict, init=False)

    def note(self, member: str, revision: int) -> None:
        """Note that ``member`` has applied ``revision``."""
        self._revisions[member] = max(revision, self._revisions.get(member, 0))

    def forget_all_but(self, members: Iterable[str]) -> None:
        """Drop members that are gone."""
        kept = set(members)
        self._revisions = {m: r for m, r in self._revisions.items() if m in kept}

    def has_majority(self, revision: int, members: Sequence[str]) -> bool:
        """Tell whether a majority of ``members`` has ``revision``."""
        have = sum(self._revisions.get(member, 0) >= revision for member in members)
        return have >= majority(len(members))

    def furthest(self, members: Iterable[str]) -> list[str]:
        """Return ``members``, those with the highest revision first."""
        return sorted(members, key=lambda member: -self._revisions.get(member, 0))
