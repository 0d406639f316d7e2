"""Copies of models on engines."""

from __future__ import annotations

from enum import StrEnum

import attrs


class CopyState(StrEnum):
    """Where a copy of a model is on its way through an engine's memory."""

    LOADING = "loading"
    READY = "ready"
    UNLOADING = "unloading"


@attrs.frozen
class Copy:
    """A model version on an engine, as the ledger counts it."""

    model: str
    version: str
    memory_mb: int
    state: CopyState
    adapters: tuple[str, ...] = ()
