"""Recognizes callers that come back after a refusal for lack of capacity."""

from __future__ import annotations

import heapq

from attrs import define, field

# A caller that was refused comes back at the end of its Retry-After; it may be this
# much early, as the refusal is recorded later than it is sent, and this much late, as
# its request has to be sent and read. With more time, new requests of the same key
# are taken for those that are due.
EARLY_S = 0.03
LATE_S = 2.0
# Maximum number of refusals kept; some 100 bytes each. 5,000 refusals per second with a
# Retry-After of a second each fit.
MAX_REFUSALS = 16384
# A full table is searched for overdue callers at most this often; it takes some ms.
EXPIRY_PERIOD_S = 0.5


@define
class ReturningCallers:
    """Refusals by caller key, until their callers are due back.

    A caller that returns has a new request id. It is recognized by its key, a hash of
    what stays the same; another request with the same key that arrives first is taken
    for it, so that as many requests are preferred as were refused.
    """

    # Heaps, as Retry-After times are spread and a hot key may have thousands.
    _due: dict[int, list[float]] = field(factory=dict)
    _count: int = 0
    _expired_at: float = float("-inf")

    def note(self, caller_key: int, due_at: float, now: float) -> None:
        """Record a refusal whose caller was asked to come back at ``due_at``."""
        if self._count >= MAX_REFUSALS and now - self._expired_at > EXPIRY_PERIOD_S:
            self._expired_at = now
            self._expire(now)
        if self._count < MAX_REFUSALS:
            heapq.heappush(self._due.setdefault(caller_key, []), due_at)
            self._count += 1

    def claim(self, caller_key: int, now: float) -> bool:
        """Whether a new request is of a caller that is due back; uses one refusal."""
        due = self._due.get(caller_key)
        while due:
            if due[0] - EARLY_S > now:
                return False
            self._count -= 1
            due_at = heapq.heappop(due)
            if not due:
                del self._due[caller_key]
            if now <= due_at + LATE_S:
                return True
        return False

    def _expire(self, now: float) -> None:
        for key, due in list(self._due.items()):
            # A sorted list is a heap.
            kept = sorted(due_at for due_at in due if now <= due_at + LATE_S)
            self._count -= len(due) - len(kept)
            if kept:
                self._due[key] = kept
            else:
                del self._due[key]
