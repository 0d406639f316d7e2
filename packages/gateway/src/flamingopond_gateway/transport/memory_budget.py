"""A bound on the memory of all bodies that a gateway keeps at a time.

Bounds on single bodies don't bound their sum. When the sum exceeds the budget, the body
that is worth least ends, and among several of those the largest. Unread output has only
a share of the budget, so that it can't displace all requests.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import structlog
from attrs import define, field

from ..metrics import Metrics

# Share of the budget that unread output may take together, so that callers who don't
# read leave room for requests.
MAX_OUTPUT_SHARE = 0.5
# Smaller bodies end only if there is no larger one: an ordinary request would be lost
# and hardly any memory gained.
SMALL_BODY_BYTES = 16384
# Part of the budget that is left to bodies when the process exceeds its memory.
MIN_KEPT_PART = 8

log = structlog.get_logger()


class Worth(enum.IntEnum):
    """What is lost if a body ends; a lower one ends first."""

    # An unfinished request without a known key; it has not run.
    UNIDENTIFIED = 0
    ERROR = 1
    # Output that a caller doesn't read.
    OUTPUT = 2
    # An unfinished request. Those of the address with most memory are worth less than
    # an error.
    RECEIVING = 3
    REPEATABLE = 4
    AT_MOST_ONCE = 5
    # A request that is being served; it is counted, and never ends for its memory.
    IN_SERVICE = 6


@define(eq=False)
class KeptBody:
    """The bytes that are kept of one body; ``end`` makes its owner drop them.

    ``peer`` is the address of the caller, if the body is a caller's.
    """

    kind: str
    worth: Worth
    end: Callable[[], None]
    peer: str = ""
    _size: int = 0
    _ended: bool = False

    @property
    def ended(self) -> bool:
        """Whether the budget has ended this body."""
        return self._ended

    @property
    def size(self) -> int:
        """Number of bytes."""
        return self._size


@define(eq=False)
class MemoryBudget:
    """Sum of all kept bodies of a process, and its limit in bytes."""

    _limit: int
    _metrics: Metrics
    _kept: dict[int, KeptBody] = field(factory=dict)
    _used: int = 0
    _used_by_worth: dict[Worth, int] = field(factory=lambda: dict.fromkeys(Worth, 0))
    _used_by_peer: Counter[str] = field(factory=Counter)

    @property
    def used(self) -> int:
        """Number of bytes of all bodies."""
        return self._used

    @contextmanager
    def keeping(
        self, kind: str, worth: Worth, end: Callable[[], None]
    ) -> Iterator[KeptBody]:
        """Count a body until the end of the context."""
        body = KeptBody(kind, worth, end)
        try:
            yield body
        finally:
            self.resize(body, 0)

    def resize(self, body: KeptBody, size: int) -> None:
        """Record the size of a body; end bodies, maybe this one, above the limit."""
        if body.ended:
            return
        self._record(body, size)
        if body.worth is Worth.OUTPUT:
            self._limit_output()
        while self._used > self._limit:
            victim = self._least(Worth)
            if victim is None:
                return
            self._end(victim)

    def set_worth(self, body: KeptBody, worth: Worth) -> None:
        """Record that a body is worth more or less than it was taken for."""
        if body.worth is worth:
            return
        size = body.size
        self._record(body, 0)
        body.worth = worth
        self._record(body, size)

    def shed(self, size: int) -> None:
        """End bodies of ``size`` bytes, as the process exceeds its memory."""
        until = max(self._used - size, self._limit // MIN_KEPT_PART)
        while self._used > until:
            victim = self._least(Worth)
            if victim is None:
                return
            self._end(victim)

    def _limit_output(self) -> None:
        """End unread output above its share, unless it is that of one caller."""
        while self._used_by_worth[Worth.OUTPUT] > self._limit * MAX_OUTPUT_SHARE:
            victim = self._least([Worth.OUTPUT])
            if victim is None or victim.size == self._used_by_worth[Worth.OUTPUT]:
                return
            self._end(victim)

    def _record(self, body: KeptBody, size: int) -> None:
        added = size - body._size
        self._used += added
        self._used_by_worth[body.worth] += added
        if body.peer:
            self._used_by_peer[body.peer] += added
            if not self._used_by_peer[body.peer]:
                del self._used_by_peer[body.peer]
        body._size = size
        if size:
            self._kept[id(body)] = body
        else:
            self._kept.pop(id(body), None)

    def _least(self, worths: Iterable[Worth]) -> KeptBody | None:
        """Return the body of these worths that ends first, if any."""
        allowed = set(worths) - {Worth.IN_SERVICE}
        heaviest = max(
            self._used_by_peer, key=self._used_by_peer.__getitem__, default=""
        )
        candidates = [body for body in self._kept.values() if body.worth in allowed]

        def rank(body: KeptBody) -> tuple[bool, float, int]:
            worth = float(body.worth)
            if body.worth is Worth.RECEIVING and body.peer and body.peer == heaviest:
                worth = Worth.ERROR - 0.5
            return body.size <= SMALL_BODY_BYTES, worth, -body.size

        return min(candidates, key=rank, default=None)

    def _end(self, body: KeptBody) -> None:
        size = body.size
        self._record(body, 0)
        body._ended = True
        self._metrics.count_ended_body(body.kind)
        log.warning(
            "body ended to save memory",
            kind=body.kind,
            worth=body.worth.name.lower(),
            size=size,
            used=self._used,
            limit=self._limit,
        )
        body.end()
