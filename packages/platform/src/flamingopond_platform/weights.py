"""The rate-limited weight store: interface and data types."""

from __future__ import annotations

from typing import Protocol

import attrs


@attrs.frozen
class WeightStoreStatus:
    """Load of the weight store; ``active`` counts the transfers in flight."""

    active: int
    parallel_limit: int
    loads_per_second: float


class WeightStore(Protocol):
    """The store from which engines fetch weights."""

    async def status(self) -> WeightStoreStatus:
        """Return the present load. Raises ``PlatformUnavailableError``."""
