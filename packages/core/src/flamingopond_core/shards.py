"""Mapping of resources to shards and of shards to their desired owners."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

# About 5 ms of CPU time per step.
MAX_WEIGHTS_PER_STEP = 16_384


def shard_of(resource: str, shards: int) -> int:
    """Return the shard of a resource such as ``workspace/<name>``."""
    return xxhash.xxh64_intdigest(resource.encode()) % shards


def _weight(name: str, shard: int) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=shard + 1)


def rank_owners(names: Iterable[str], shard: int) -> list[str]:
    """Return ``names`` in order of preference, the desired owner first."""
    return sorted(names, key=lambda name: (_weight(name, shard), name), reverse=True)


class RendezvousHash:
    """Rendezvous hashing of all shards over a set of names, updated incrementally.

    Computing 4,096 shards for 400 names takes 0.5 s and more, so a change rehashes
    only the added names and the shards of removed ones, and is made in steps.
    """

    def __init__(self, shards: int) -> None:
        """Start without names."""
        self._names: frozenset[str] = frozenset()
        self._best: list[tuple[int, str] | None] = [None] * shards
        self._next_names: frozenset[str] | None = None
        self._next_shard = 0

    def update(self, names: Iterable[str]) -> None:
        """Switch to ``names`` in one call."""
        wanted = frozenset(names)
        while not self.advance(wanted):
            pass

    def advance(self, names: Iterable[str]) -> bool:
        """Do one step of switching to ``names``; return whether it is complete.

        A change that has begun is completed before one to other names begins.
        ``owner`` must not be used until this returns ``True``.
        """
        wanted = frozenset(names)
        if self._next_names is None:
            if wanted == self._names:
                return True
            self._next_names, self._next_shard = wanted, 0
        removed = self._names - self._next_names
        added = self._next_names - self._names
        weights_computed = 0
        while self._next_shard < len(self._best):
            if weights_computed >= MAX_WEIGHTS_PER_STEP:
                return False
            best = self._best[self._next_shard]
            owner_removed = best is None or best[1] in removed
            candidates = self._next_names if owner_removed else added
            kept = [] if owner_removed or best is None else [best]
            self._best[self._next_shard] = max(
                [
                    *kept,
                    *((_weight(name, self._next_shard), name) for name in candidates),
                ],
                default=None,
            )
            self._next_shard += 1
            weights_computed += len(candidates)
        self._names, self._next_names = self._next_names, None
        return wanted == self._names

    def owner(self, shard: int) -> str | None:
        """Return the name that should own ``shard``; ``None`` without names."""
        best = self._best[shard]
        return best[1] if best else None
