"""Prompt prefixes: the engines preferred for them and the blocks cached on engines."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

MAX_CACHED_BLOCKS = 4096


def _rendezvous_hash(block: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{block}\0{name}".encode())


def preferred_engines(block: str, names: Iterable[str], count: int = 2) -> list[str]:
    """Return the ``count`` names with the highest rendezvous hash for ``block``.

    All nodes get the same answer without messages, and removing a name moves only the
    blocks that it was preferred for.
    """
    return sorted(
        names,
        key=lambda name: (_rendezvous_hash(block, name), name),
        reverse=True,
    )[:count]


class CachedBlocks:
    """Estimate of the prefix blocks that one engine has cached.

    It is updated from the node's own requests and corrected by the engine's cache
    events, which come late and with gaps.
    """

    def __init__(self) -> None:
        """Start with an empty cache and no events."""
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Sequence number of the last event seen."""
        return self._sequence

    def touch(self, blocks: Iterable[str]) -> None:
        """Record that the engine has just processed a prompt with ``blocks``."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_CACHED_BLOCKS:
            self._blocks.popitem(last=False)

    def apply_event(self, sequence: int, block: str, cached: bool) -> None:
        """Apply a cache event; after a gap, discard everything known before.

        The missing events may have been evictions of any block.
        """
        if sequence <= self._sequence:
            return
        if sequence != self._sequence + 1:
            self._blocks.clear()
        self._sequence = sequence
        if cached:
            self.touch((block,))
        else:
            self._blocks.pop(block, None)

    def reset(self) -> None:
        """Forget everything, after a restart of the engine."""
        self._blocks.clear()
        self._sequence = 0

    def cached_prefix_length(self, blocks: Sequence[str]) -> int:
        """Return how many of the leading ``blocks`` are cached."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)
