"""Prefix cache of the fake engine, whose events arrive late or get lost."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Sequence

from flamingopond_core.blocks import prefix_blocks
from flamingopond_platform.engine import CacheEvent


class PrefixCache:
    """LRU cache of at most ``capacity`` blocks.

    An event becomes visible after ``lag_s``, but is lost with ``loss_probability``.
    """

    def __init__(
        self, capacity: int, lag_s: float, loss_probability: float, rng: random.Random
    ) -> None:
        """Start empty."""
        self._capacity = capacity
        self._lag_s = lag_s
        self._loss_probability = loss_probability
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=10_000)
        self._sequence = 0

    def use(self, model: str, adapter: str, prompt: str, now: float) -> int:
        """Cache the prompt's blocks; return how many leading ones were cached."""
        cached_prefix_length = 0
        in_prefix = True
        for block in prefix_blocks(model, adapter, prompt):
            in_prefix = in_prefix and block in self._blocks
            if in_prefix:
                cached_prefix_length += 1
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = None
            self._add_event(block, True, now)
        while len(self._blocks) > self._capacity:
            oldest, _ = self._blocks.popitem(last=False)
            self._add_event(oldest, False, now)
        return cached_prefix_length

    def events(self, after: int, now: float) -> Sequence[CacheEvent]:
        """Return the visible events with a sequence number above ``after``."""
        return [
            event
            for visible_at, event in self._events
            if visible_at <= now and event.sequence > after
        ]

    def _add_event(self, block: str, cached: bool, now: float) -> None:
        self._sequence += 1
        if self._rng.random() >= self._loss_probability:
            event = CacheEvent(self._sequence, block, cached)
            self._events.append((now + self._lag_s, event))
