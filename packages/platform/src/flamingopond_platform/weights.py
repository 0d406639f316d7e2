"""The rate-limited store of model weights: interface and data types."""

from __future__ import annotations

from typing import Protocol

import attrs


@attrs.frozen
class WeightStoreStatus:
    """Load and limits of the weight store; ``active`` counts transfers in flight."""

    active: int
    parallel_limit: int
    loads_per_second: float


class WeightStore(Protocol):
    """The store from which engines load weights."""

    async def status(self) -> WeightStoreStatus:
        """Return the current load and limits. Raises ``PlatformUnavailableError``."""
