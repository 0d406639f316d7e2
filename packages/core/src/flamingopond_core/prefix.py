"""Prompt prefixes: favourite engines, and what engines have cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import xxhash

MAX_CACHED_BLOCKS = 4096


def _rank(block: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{block}\0{name}".encode())


def favourites(block: str, names: Iterable[str], count: int = 2) -> list[str]:
    """Return the ``count`` names with the highest rendezvous hash for ``block``.

    All nodes get the same answer without messages, and a name that leaves moves
    only the blocks that it was a favourite for.
    """
    return sorted(
        names,
        key=lambda name: (_rank(block, name), name),
        reverse=True,
    )[:count]


class CachedBlocks:
    """The prefix blocks that one engine probably has cached.

    Fed by the node's own requests and corrected by the engine's cache events,
    which come late and with gaps.
    """

    def __init__(self) -> None:
        """Start with an empty cache and no events seen."""
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0

    @property
    def sequence(self) -> int:
        """Sequence number of the last event seen."""
        return self._sequence

    def touch(self, blocks: Iterable[str]) -> None:
        """Note that the engine has just processed a prompt with ``blocks``."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > MAX_CACHED_BLOCKS:
            self._blocks.popitem(last=False)

    def apply(self, sequence: int, block: str, cached: bool) -> None:
        """Apply one cache event; after a gap only later knowledge is kept.

        The lost events may have been evictions of any block.
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

    def leading(self, blocks: Sequence[str]) -> int:
        """Return how many of ``blocks``, from the first on, are cached."""
        for count, block in enumerate(blocks):
            if block not in self._blocks:
                return count
        return len(blocks)
