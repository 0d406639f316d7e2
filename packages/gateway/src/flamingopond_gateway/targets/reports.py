"""State that a model engine reports on request."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from .roster import Holding


@frozen
class EngineReport:
    """State of an engine, some hundred milliseconds old; KV cache sizes in tokens.

    ``accepted_order_count`` counts the orders since its start, ``start_id``
    identifies its incarnation. ``arriving`` are models or adapters being loaded, an
    adapter as ``model/adapter``.
    """

    accepted_order_count: int
    start_id: int
    busy: bool
    waiting: int
    running: int
    kv_used: int
    kv_total: int
    draining: bool
    holdings: Mapping[str, Holding]
    arriving: frozenset[str]
    in_memory: frozenset[str]
    on_disk: frozenset[str]
