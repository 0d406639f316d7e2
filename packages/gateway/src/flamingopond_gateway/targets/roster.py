"""The targets that the platform lists, and their current incarnations."""

from __future__ import annotations

import enum
from collections.abc import Iterable, Iterator, Mapping

from attrs import define, evolve, field, frozen

# An unconfirmed removal is applied this long after the store is reliable again. It
# counts as reliable only after 2 s, within which entries of live targets come back.
REMOVAL_GRACE_S = 0.2
# Departed targets that are remembered.
MAX_DEPARTED = 1000


class TargetState(enum.Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@frozen
class Holding:
    """A model loaded at a target, with its version and loaded adapters."""

    model: str
    version: int
    adapters: frozenset[str] = frozenset()


@frozen
class Target:
    """One incarnation of a backend, as its entry in the targets table describes it.

    ``start_id`` differs after each restart. ``software`` is the version of its
    software, empty if it names none; what two versions send doesn't fit together.
    ``cold_left_s`` is how long it stays cold from the entry on, None if it doesn't say.
    ``holdings`` are the loaded models, by name; ``in_memory`` and ``on_disk`` name
    models whose weights its host keeps, from which they load faster than from the
    weight store.
    """

    id: str
    start_id: int
    service: str
    address: tuple[str, int]
    zone: str
    slots: int
    state: TargetState
    holdings: Mapping[str, Holding] = field(factory=dict)
    sequence: int = 0
    remaining_s: float | None = None
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    software: str = ""
    cold_left_s: float | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity that changes when the target restarts under the same id."""
        return (self.id, self.start_id)


@frozen
class TargetEntry:
    """A row of the targets table; ``target`` is None if removed or unreadable."""

    id: str
    version: int
    target: Target | None = None
    removed: bool = False


@define
class Roster:
    """Listed targets, from entries that may be repeated or arrive out of order."""

    _versions: dict[str, int] = field(factory=dict)
    _targets: dict[str, Target] = field(factory=dict)
    _unconfirmed_removals: dict[str, float] = field(factory=dict)
    # The last incarnation that has left, by id.
    _departed: dict[str, tuple[str, int]] = field(factory=dict)
    # Departed targets that an older copy of the store lists again.
    _held_back: dict[str, Target] = field(factory=dict)
    _version: int = 0

    @property
    def version(self) -> int:
        """Newest version of the list that has been applied."""
        return self._version

    def __iter__(self) -> Iterator[Target]:
        """Iterate over the targets that accept new requests."""
        for target in self._targets.values():
            if target.state is TargetState.READY:
                yield target

    def __len__(self) -> int:
        """Count all listed targets, draining ones included."""
        return len(self._targets)

    def removal_unconfirmed(self, target_id: str) -> bool:
        """Whether a target's entry was removed while the store was unreliable."""
        return target_id in self._unconfirmed_removals

    def get(self, target_id: str) -> Target | None:
        """Return the listed target with ``target_id``, in any state."""
        return self._targets.get(target_id)

    def listed(self) -> tuple[Target, ...]:
        """Return all listed targets, draining ones included."""
        return tuple(self._targets.values())

    def service(self, name: str) -> list[Target]:
        """Return the targets of a service that accept new requests."""
        return [target for target in self if target.service == name]

    def apply(
        self,
        entries: Iterable[TargetEntry],
        version: int,
        now: float,
        store_unreliable: bool,
        restored_version: int = 0,
    ) -> list[str]:
        """Apply changed entries up to ``version``; return the ids that changed.

        A removal while the store is unreliable is only marked as unconfirmed, since
        the store drops entries of live targets in an outage. Entries up to
        ``restored_version`` may stem from an older copy of the store; they don't
        replace what is known of the same incarnation since then.
        """
        changed = []
        for entry in entries:
            if entry.version <= self._versions.get(entry.id, 0):
                continue
            self._versions[entry.id] = entry.version
            changed.append(entry.id)
            self._held_back.pop(entry.id, None)
            if entry.target is not None:
                self._unconfirmed_removals.pop(entry.id, None)
                if entry.version > restored_version:
                    self._targets[entry.id] = entry.target
                else:
                    self._apply_restored(entry.target)
            else:
                unconfirmed = entry.removed and store_unreliable
                self._remove(entry.id, now if unconfirmed else None)
        self._version = max(self._version, version)
        return changed

    def expire(self, now: float, store_unreliable: bool) -> list[str]:
        """Remove targets whose entry has not come back in time; return their ids."""
        if store_unreliable:
            deadline = now + REMOVAL_GRACE_S
            for target_id in self._unconfirmed_removals:
                self._unconfirmed_removals[target_id] = deadline
            return []
        expired = [
            target_id
            for target_id, ends_at in self._unconfirmed_removals.items()
            if ends_at <= now
        ]
        for target_id in expired:
            self._drop(target_id)
        return expired

    def release_held_back(self) -> list[str]:
        """Use the departed targets that are still listed; return their ids.

        The store drops an entry whose target has been silent for some heartbeats. One
        that it still lists by then belongs to a live target.
        """
        released = list(self._held_back)
        self._targets.update(self._held_back)
        self._held_back.clear()
        return released

    def _apply_restored(self, target: Target) -> None:
        """Apply an entry that may be older than what is known of its target."""
        if self._departed.get(target.id) == target.incarnation:
            self._held_back[target.id] = target
            return
        known = self._targets.get(target.id)
        if known is None or known.incarnation != target.incarnation:
            self._targets[target.id] = target
        elif target.sequence >= known.sequence:
            draining = known.state is TargetState.DRAINING
            state = known.state if draining else target.state
            remaining_s = known.remaining_s if draining else target.remaining_s
            self._targets[target.id] = evolve(
                target, state=state, remaining_s=remaining_s
            )

    def _remove(self, target_id: str, unconfirmed_at: float | None) -> None:
        if unconfirmed_at is None:
            self._drop(target_id)
        elif target_id in self._targets:
            self._unconfirmed_removals.setdefault(
                target_id, unconfirmed_at + REMOVAL_GRACE_S
            )

    def _drop(self, target_id: str) -> None:
        target = self._targets.pop(target_id, None)
        if target is not None:
            self._departed.pop(target_id, None)
            self._departed[target_id] = target.incarnation
            while len(self._departed) > MAX_DEPARTED:
                del self._departed[next(iter(self._departed))]
        self._unconfirmed_removals.pop(target_id, None)
