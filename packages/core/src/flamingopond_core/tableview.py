"""The rows of membership and ownership as one node knows them."""

from __future__ import annotations

from collections.abc import Sequence

from flamingopond_core.records import (
    NODE_PREFIX,
    SHARD_PREFIX,
    Condition,
    NodeRow,
    Plan,
    PlanKind,
    ShardRow,
    Write,
    node_key,
    shard_key,
)


class TableView:
    """Newest known node and shard rows, and the versions of all rows."""

    def __init__(self, shards: int) -> None:
        """Rows of shards from ``shards`` on are left out."""
        self._count = shards
        self.versions: dict[str, int] = {}
        self.nodes: dict[str, NodeRow] = {}
        self.shards: dict[int, ShardRow] = {}

    def apply(self, key: str, value: bytes | None, version: int) -> bool:
        """Take in a row; return ``False`` if it is not newer than the one known."""
        if value is None or version <= self.versions.get(key, 0):
            return False
        self.versions[key] = version
        if key.startswith(SHARD_PREFIX):
            shard = int(key.removeprefix(SHARD_PREFIX))
            if shard < self._count:
                self.shards[shard] = ShardRow.from_bytes(value)
        elif key.startswith(NODE_PREFIX):
            self.nodes[key.removeprefix(NODE_PREFIX)] = NodeRow.from_bytes(value)
        return True

    def row_is(self, key: str) -> Condition:
        """Return the condition that the row is as it is known."""
        return Condition(key, self.versions.get(key, 0))

    def is_dead(self, row: ShardRow) -> bool:
        """Tell whether the owner's session has ended for good."""
        # Node rows are read less often than shard rows, so the row known may be
        # of an earlier session than the shard's.
        node = self.nodes.get(row.owner)
        if node is None or node.incarnation < row.incarnation:
            return False
        return node.incarnation > row.incarnation or node.lapsed

    def transfer(
        self,
        kind: PlanKind,
        shards: Sequence[int],
        writer: str,
        owner: str,
        incarnation: int,
    ) -> Plan:
        """Plan to give ``shards`` to a session of ``owner``; ``writer`` sends it."""
        source = writer if kind is PlanKind.HAND_OVER else ""
        conditions = [self.row_is(node_key(writer))]
        writes = []
        for shard in shards:
            row = self.shards.get(shard)
            epoch = 1 if row is None else row.epoch + 1
            value = ShardRow(owner, incarnation, epoch, source).to_bytes()
            conditions.append(self.row_is(shard_key(shard)))
            writes.append(Write(shard_key(shard), value))
        return Plan(kind, tuple(conditions), tuple(writes), owner, tuple(shards))
