"""State that a model engine reports on request."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import frozen

from .roster import Holding


@frozen
class EngineReport:
    """State of an engine, some hundred milliseconds old; KV cache sizes in tokens.

    ``orders_accepted`` counts the orders since its start, ``born`` identifies its
    incarnation. ``arriving`` are models or adapters being loaded, an adapter as
    ``model/adapter``.
    """

    orders_accepted: int
    born: int
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
