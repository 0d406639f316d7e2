"""Values exchanged between a bucket's owner and the nodes that hold grants."""

from __future__ import annotations

import attrs

GRANT_LIFE = 5.0
"""Longest time in seconds during which a node may reserve from a grant."""

HOLD_LIMIT = 120.0
"""Longest time in seconds from asking for a grant to the end of its requests.

The owner counts what is unsettled by then as spent. It equals the drain time-out,
so no request that a node may still serve outlives its grant at the owner.
"""

RETURN_ALL = 2**63 - 1
"""``returned`` of a settlement for a grant whose reply never arrived."""

ID_BITS = 20
"""Low bits of a grant id that count the requests of one process."""


@attrs.frozen
class Settlement:
    """What became of a grant so far; ``used`` and ``returned`` are running totals.

    Totals make repeated and reordered settlements harmless: the owner keeps the
    largest of each.
    """

    workspace: str
    epoch: int
    grant_id: int
    used: int
    returned: int


@attrs.frozen
class GrantRequest:
    """A node's request for ``tokens`` needed now and ``ahead`` for coming requests.

    The node chooses ``grant_id``, rising per process, so that it can return a
    grant of which it never saw the reply.
    """

    node: str
    workspace: str
    grant_id: int
    tokens: int
    ahead: int = 0
    settlements: tuple[Settlement, ...] = ()


@attrs.frozen
class GrantReply:
    """The owner's answer; ``life`` and ``wait`` are in seconds.

    ``wait`` is the estimate until the tokens are there, infinite if they never
    will be. ``recent_use`` is the workspace's decayed use over the whole fleet.
    """

    workspace: str
    grant_id: int
    granted: int
    epoch: int
    life: float = 0.0
    wait: float = 0.0
    recent_use: float = 0.0
    not_owner: bool = False


@attrs.frozen
class Holding:
    """What a node holds of one grant, with the totals settled so far."""

    workspace: str
    epoch: int
    grant_id: int
    unspent: int
    reserved: int
    used: int = 0
    returned: int = 0


def process_of(grant_id: int) -> int:
    """Return the incarnation of the process that chose ``grant_id``."""
    return grant_id >> ID_BITS
