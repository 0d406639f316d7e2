"""The engine stand-in's bounded prefix cache and its late, gappy events."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

from flamingopond_core.blocks import prefix_blocks
from flamingopond_platform.engine import CacheEvent


class PrefixCache:
    """Keeps at most ``capacity`` blocks, the least recently used go first.

    An event becomes visible ``lag_s`` after it happened, or never, with
    probability ``gap``.
    """

    def __init__(
        self, capacity: int, lag_s: float, gap: float, rng: random.Random
    ) -> None:
        """Start empty."""
        self._capacity = capacity
        self._lag_s = lag_s
        self._gap = gap
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=10_000)
        self._sequence = 0

    def use(self, model: str, adapter: str, prompt: str, now: float) -> int:
        """Cache the prompt's blocks and return how many of them were cached."""
        cached = 0
        hit = True
        for block in prefix_blocks(model, adapter, prompt):
            hit = hit and block in self._blocks
            if hit:
                cached += 1
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._publish(block, True, now)
        while len(self._blocks) > self._capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._publish(oldest, False, now)
        return cached

    def events(self, after: int, now: float) -> Sequence[CacheEvent]:
        """Return the visible events with a sequence above ``after``."""
        return [
            event
            for visible_at, event in self._events
            if visible_at <= now and event.sequence > after
        ]

    def _publish(self, block: str, cached: bool, now: float) -> None:
        self._sequence += 1
        if self._rng.random() >= self._gap:
            event = CacheEvent(self._sequence, block, cached)
            self._events.append((now + self._lag_s, event))
