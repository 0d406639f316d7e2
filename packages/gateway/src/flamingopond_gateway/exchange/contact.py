"""Since when a gateway has been in contact with most of its fleet."""

from __future__ import annotations

import math

from attrs import define

from .members import SILENCE_TIMEOUT_S

# A gateway that has been alone for this long decides by what it has seen itself.
MAX_ISOLATION_S = 10.0


@define
class FleetContact:
    """When hubs that hear most of the fleet were heard (event loop clock, seconds)."""

    _heard_at: float = -math.inf
    _since: float = math.inf
    _alone_from: float | None = None

    def record(self, now: float) -> None:
        """Record that a hub that hears most of the fleet was heard."""
        if now - self._heard_at > SILENCE_TIMEOUT_S:
            self._since = now
        self._heard_at = now
        self._alone_from = None

    def heard_within(self, seconds: float, now: float) -> bool:
        """Whether such a hub was heard in the last ``seconds``."""
        return now - self._heard_at <= seconds

    def since(self, now: float) -> float:
        """Return since when there has been contact, infinity if there is none.

        After ``MAX_ISOLATION_S`` without contact it is minus infinity: nothing more can
        be waited for.
        """
        if now - self._heard_at <= SILENCE_TIMEOUT_S:
            return self._since
        if self._alone_from is None:
            self._alone_from = now if math.isinf(self._heard_at) else self._heard_at
        if now - self._alone_from >= MAX_ISOLATION_S:
            return -math.inf
        return math.inf
