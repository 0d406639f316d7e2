"""Messages between a bucket's owner and the nodes that hold grants from it."""

from __future__ import annotations

import attrs

GRANT_LIFE_S = 5.0
"""Longest time during which a node may reserve from a grant."""

HOLD_LIMIT_S = 120.0
"""Longest time in seconds from asking for a grant until its requests end.

The owner then counts unsettled tokens as spent. The limit equals the drain time-out, so
that no request still served by a node outlives its grant.
"""

RETURN_ALL = 2**63 - 1
"""``returned`` of a settlement for a grant whose reply never arrived."""

ID_BITS = 20
"""Number of low bits of a grant id that count the requests of one process."""


@attrs.frozen
class Settlement:
    """Running totals of the tokens ``used`` and ``returned`` of a grant.

    The owner keeps the largest of each, so repeated and reordered settlements are
    harmless.
    """

    workspace: str
    epoch: int
    grant_id: int
    used: int
    returned: int


@attrs.frozen
class GrantRequest:
    """A node's request for ``tokens`` needed now and ``ahead`` for later requests.

    The node chooses ``grant_id``, which increases within a process, so that it can
    return a grant whose reply it never received.
    """

    node: str
    workspace: str
    grant_id: int
    tokens: int
    ahead: int = 0
    settlements: tuple[Settlement, ...] = ()


@attrs.frozen
class GrantReply:
    """The owner's reply; ``life_s`` and ``wait_s`` are in seconds.

    ``wait_s`` is the estimated time until the tokens are available, infinite if they
    never will be. ``recent_use`` is the workspace's decayed use over the whole fleet.
    """

    workspace: str
    grant_id: int
    granted: int
    epoch: int
    life_s: float = 0.0
    wait_s: float = 0.0
    recent_use: float = 0.0
    not_owner: bool = False


@attrs.frozen
class Holding:
    """A node's unsettled part of a grant, with the totals settled so far."""

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
