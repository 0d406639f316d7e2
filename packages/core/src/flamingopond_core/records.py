"""Table rows and transactions for membership and shard ownership."""

from __future__ import annotations

import json
from enum import StrEnum

import attrs

ROSTER_KEY = "roster"
NODE_PREFIX = "node/"
SHARD_PREFIX = "shard/"


def node_key(name: str) -> str:
    """Return the key of a node's row."""
    return f"{NODE_PREFIX}{name}"


def shard_key(shard: int) -> str:
    """Return the key of a shard's row."""
    return f"{SHARD_PREFIX}{shard}"


@attrs.frozen
class Condition:
    """Holds if the row's table version is ``version``; 0 means no row."""

    key: str
    version: int


@attrs.frozen
class Write:
    """Sets the row to ``value``."""

    key: str
    value: bytes


@attrs.frozen
class NodeRow:
    """Lease of one node.

    ``incarnation`` increases with every session of the node. ``process_id`` and
    ``renewal_number`` let a process recognize its own writes after a reply was lost.
    ``ended`` marks a session that has ended for good. A node that is ``leaving`` is
    given no shards.
    """

    incarnation: int
    address: str
    process_id: str
    renewal_number: int
    ended: bool = False
    leaving: bool = False

    def to_bytes(self) -> bytes:
        """Serialize the row."""
        return json.dumps(attrs.astuple(self), separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, value: bytes) -> NodeRow:
        """Deserialize the row."""
        return cls(*json.loads(value))


@attrs.frozen
class ShardRow:
    """Owner of one shard; ``epoch`` is its fencing token.

    ``source`` is the node that handed the shard over, or empty after a claim.
    """

    owner: str
    incarnation: int
    epoch: int
    source: str = ""

    def to_bytes(self) -> bytes:
        """Serialize the row."""
        return json.dumps(attrs.astuple(self), separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, value: bytes) -> ShardRow:
        """Deserialize the row."""
        return cls(*json.loads(value))


class PlanKind(StrEnum):
    """Purpose of a transaction."""

    JOIN = "join"
    RENEW = "renew"
    FENCE = "fence"
    CLAIM = "claim"
    HAND_OVER = "hand_over"
    LEAVE = "leave"
    ROSTER = "roster"


@attrs.frozen
class Plan:
    """A planned transaction; ``subject`` is the node name or roster key it concerns."""

    kind: PlanKind
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    subject: str = ""
    shards: tuple[int, ...] = ()
    roster_version: int = 0
