"""Model copies on engines."""

from __future__ import annotations

from enum import StrEnum

import attrs


class CopyState(StrEnum):
    """State of a model copy on an engine."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@attrs.frozen
class Copy:
    """A model version on an engine, as recorded in the engine's ledger."""

    model: str
    version: str
    memory_mb: int
    state: CopyState
    adapters: tuple[str, ...] = ()
