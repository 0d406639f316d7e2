"""Orders to engines, and the rate limit of loads from the weight store."""

from __future__ import annotations

import enum
import math
from collections import deque

from attrs import define, field, frozen

from ..settings import Bounds
from .engines import EngineState

# Fraction of the weight store's rate that is used; the rest allows for loads of a
# previous lease holder and for the edges of the window.
LOAD_RATE_FRACTION = 0.9

# A lease holder publishes five times a second how many loads it has started. Between
# two messages it starts at most the loads of this time, so that its successor knows how
# many it may not have heard of.
UNPUBLISHED_LOADS_S = 0.5


class OrderKind(enum.Enum):
    """What an engine is to do with a model or adapter."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderOutcome(enum.Enum):
    """What an engine answered to an order."""

    ACCEPTED = "accepted"
    HELD = "held"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_INSTANCE = "other_instance"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@frozen
class Order:
    """An order to load or unload a model, or one of its adapters.

    An engine refuses it if its count of accepted orders isn't ``accepted_order_count``.
    """

    kind: OrderKind
    model: str
    adapter: str | None = None
    accepted_order_count: int | None = None


@frozen
class PlannedOrder:
    """An order and its engine.

    ``from_weight_store`` is set for a load that the memory and disk of the engine's
    host can't serve.
    """

    engine: EngineState
    order: Order
    from_weight_store: bool = False
    duration_s: float = 0.0


@frozen
class PreviousLoads:
    """Loads from the weight store that a lease holder has told to have started.

    ``counts_by_age`` are by age in whole seconds at ``heard_at`` (event loop clock).
    """

    counts_by_age: tuple[int, ...]
    heard_at: float


@define
class LoadRateLimiter:
    """Limits loads from the weight store over all engines, by a sliding window.

    A load begins at some time between its order and the engine's answer, so that it
    counts from the order until the window after the answer. Counted from the order
    alone, those of a burst that begin late share a window with the next burst.
    """

    bounds: Bounds
    _unanswered: int = 0
    _unpublished: int = 0
    _answered_at: deque[float] = field(factory=deque)

    def allowed(self, loads_per_s: float, now: float) -> bool:
        """Whether another load may start now."""
        if self._unpublished >= _unpublished_limit(loads_per_s):
            return False
        while self._answered_at and (
            self._answered_at[0] <= now - self.bounds.load_window_s
        ):
            self._answered_at.popleft()
        limit = loads_per_s * self.bounds.load_window_s * LOAD_RATE_FRACTION
        return self._unanswered + len(self._answered_at) + 1 <= max(limit, 1.0)

    def record_order(self) -> None:
        """Count a load that is ordered now."""
        self._unanswered += 1
        self._unpublished += 1

    def record_published(self) -> None:
        """Record that all gateways are told how many loads have started."""
        self._unpublished = 0

    def record_answer(self, now: float) -> None:
        """Record that an order has been answered, or that its answer is overdue."""
        self._unanswered -= 1
        self._answered_at.append(now)

    def counts_by_age(self, now: float) -> list[int]:
        """Return the loads within the window by age, in whole seconds from 0 on."""
        counts = [0] * math.ceil(self.bounds.load_window_s)
        counts[0] = self._unanswered
        for answered_at in self._answered_at:
            age_s = int(now - answered_at)
            if 0 <= age_s < len(counts):
                counts[age_s] += 1
        return counts

    def record_previous(
        self, loads_per_s: float, heard: PreviousLoads | None, now: float
    ) -> None:
        """Count the loads that a previous lease holder may just have started.

        What it has published counts, and loads for UNPUBLISHED_LOADS_S after that. If
        it has published nothing, it may have used the whole rate that holders use. What
        the bound on all loads allows beyond that is left to this holder and to one more
        after it, as the lease may change hands twice in a window.
        """
        window_s = self.bounds.load_window_s
        if heard is not None and now - heard.heard_at < window_s:
            counts = list(heard.counts_by_age)
            counts[0] += _unpublished_limit(loads_per_s)
            for age_s, count in reversed(list(enumerate(counts))):
                self._answered_at.extend([heard.heard_at - age_s] * count)
            return
        margin = self.bounds.load_over - LOAD_RATE_FRACTION
        loads = loads_per_s * window_s * (LOAD_RATE_FRACTION - margin / 2)
        self._answered_at.extend([now] * math.ceil(loads))


def _unpublished_limit(loads_per_s: float) -> int:
    return math.ceil(loads_per_s * UNPUBLISHED_LOADS_S)
