"""One node's copy of the membership and ownership rows."""

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
    """The newest known node and shard rows, and the versions of all rows."""

    def __init__(self, shards: int) -> None:
        """Start empty; rows of shards numbered ``shards`` or higher are ignored."""
        self._shard_count = shards
        self.versions: dict[str, int] = {}
        self.nodes: dict[str, NodeRow] = {}
        self.shards: dict[int, ShardRow] = {}

    def apply(self, key: str, value: bytes | None, version: int) -> bool:
        """Apply a row if it is newer than the one known; return whether it was."""
        if value is None or version <= self.versions.get(key, 0):
            return False
        self.versions[key] = version
        if key.startswith(SHARD_PREFIX):
            shard = int(key.removeprefix(SHARD_PREFIX))
            if shard < self._shard_count:
                self.shards[shard] = ShardRow.from_bytes(value)
        elif key.startswith(NODE_PREFIX):
            self.nodes[key.removeprefix(NODE_PREFIX)] = NodeRow.from_bytes(value)
        return True

    def unchanged(self, key: str) -> Condition:
        """Return the condition that the row still has the version known here."""
        return Condition(key, self.versions.get(key, 0))

    def session_ended(self, row: ShardRow) -> bool:
        """Tell whether the session that owns the shard has ended."""
        # Node rows are read less often than shard rows, so the known node row may
        # belong to an earlier session than the shard row.
        node = self.nodes.get(row.owner)
        if node is None or node.incarnation < row.incarnation:
            return False
        return node.incarnation > row.incarnation or node.ended

    def plan_transfer(
        self,
        kind: PlanKind,
        shards: Sequence[int],
        writer: str,
        owner: str,
        incarnation: int,
    ) -> Plan:
        """Plan to assign ``shards`` to a session of ``owner``; ``writer`` sends it."""
        source = writer if kind is PlanKind.HAND_OVER else ""
        conditions = [self.unchanged(node_key(writer))]
        writes = []
        for shard in shards:
            row = self.shards.get(shard)
            epoch = 1 if row is None else row.epoch + 1
            value = ShardRow(owner, incarnation, epoch, source).to_bytes()
            conditions.append(self.unchanged(shard_key(shard)))
            writes.append(Write(shard_key(shard), value))
        return Plan(kind, tuple(conditions), tuple(writes), owner, tuple(shards))
