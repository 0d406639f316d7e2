"""Keeps long prompts from delaying short ones on the same engines, and vice versa."""

from __future__ import annotations

import math
from collections.abc import Iterable

from attrs import define, field

# A prompt is long if its prefill takes more than this fraction of the longest allowed
# gap between events. The dispatcher sends such a prompt only to an engine without a
# prefill backlog; see dispatch.PREFILL_BURST_GAP_FRACTION.
LONG_GAP_FRACTION = 0.5
# Arrived tokens count for about this long; without both sizes, nothing is separated.
RECENT_S = 5.0
# Engines cleared for long prompts at once. Each costs a look at all engines, about
# 0.1 ms with 70, and one that is idle is followed by the next within milliseconds.
MAX_CLEARED = 4
# A short prompt is sent in time if it waits for this fraction of its objective; the
# rest is for its own prefill and for estimates that are off.
MAX_PREFILL_OBJECTIVE_FRACTION = 0.75
# A size with less than this part of the recent tokens counts as absent.
MIN_SHARE = 0.02


@define
class _Arrivals:
    """Recently arrived prompt tokens by size class."""

    long: float = 0.0
    short: float = 0.0
    updated_at: float = 0.0

    def add(self, tokens: int, is_long: bool, now: float) -> None:
        """Add a prompt."""
        if now > self.updated_at:
            decay = math.exp((self.updated_at - now) / RECENT_S)
            self.long *= decay
            self.short *= decay
            self.updated_at = now
        if is_long:
            self.long += tokens
        else:
            self.short += tokens


@define
class PromptSizes:
    """Sizes of recent prompts by service, and the engines that prefill long ones.

    See docs/design/prompt-sizes.md.
    """

    _arrivals: dict[str, _Arrivals] = field(factory=dict)
    _long_until: dict[str, float] = field(factory=dict)

    def record_arrival(
        self, service: str, tokens: int, is_long: bool, now: float
    ) -> None:
        """Record a prompt that begins to wait."""
        arrivals = self._arrivals.get(service)
        if arrivals is None:
            arrivals = self._arrivals[service] = _Arrivals()
        arrivals.add(tokens, is_long, now)

    def mixed(self, service: str) -> bool:
        """Whether long and short prompts have arrived recently."""
        arrivals = self._arrivals.get(service)
        if arrivals is None:
            return False
        least = MIN_SHARE * (arrivals.long + arrivals.short)
        return arrivals.long > least and arrivals.short > least

    def record_long(self, target_id: str, prefill_s: float, now: float) -> None:
        """Record a long prompt that is sent to an engine without a backlog."""
        self._long_until[target_id] = now + prefill_s

    def long_running(self, target_ids: Iterable[str], now: float) -> set[str]:
        """Return the engines that prefill a long prompt."""
        running = set()
        for target_id in target_ids:
            until = self._long_until.get(target_id)
            if until is not None and until > now:
                running.add(target_id)
        return running


def max_long(engines: int, prefill_s: float, objective_s: float | None) -> int:
    """Return how many engines may prefill long prompts at once.

    One is left to short prompts if those that arrive while all engines prefill a long
    one can't wait for its end, or if it isn't known whether they can.
    """
    if objective_s is not None and (
        prefill_s < MAX_PREFILL_OBJECTIVE_FRACTION * objective_s
    ):
        return engines
    return max(engines - 1, 1)
