"""Simulates failures in large fleets: membership and ownership of all nodes.

All nodes share one table in one process. Messages and table calls take no time, so
recovery times come from periods, leases and waits only. The platform's rate limits
on reads and writes are not enforced: the report compares the peaks with them.
"""

from __future__ import annotations

import functools
import heapq
import math
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from flamingopond_bench.capacity_sizes import FleetSize
from flamingopond_bench.capacity_state import make_members, region_of, zone_of
from flamingopond_core.listing import MemberListingTracker
from flamingopond_core.membership import GossipState
from flamingopond_core.ownership import Ownership
from flamingopond_core.records import (
    NODE_PREFIX,
    NodeRow,
    Plan,
    PlanKind,
    ShardRow,
    node_key,
    shard_key,
)
from flamingopond_core.roster import Member, Roster
from flamingopond_core.shards import RendezvousHash
from flamingopond_daemon.cluster import GOSSIP_FANOUT

_SHARDS_PER_NODE = 10
# A step commits plans until there are none; the bound prevents an endless loop.
_MAX_PLANS_PER_STEP = 20


class SimulatedNode:
    """Membership and ownership of one simulated daemon."""

    def __init__(self, fleet: SimulatedFleet, member: Member) -> None:
        """Create a new process of ``member``."""
        self.member = member
        self.gossip = GossipState(member, fleet.now)
        fleet.process_count += 1
        process_id = f"p{fleet.process_count}"
        self.ownership = Ownership(self.gossip, fleet.shard_count, process_id)
        self.listing_tracker = MemberListingTracker()
        # Keyed by whether the scan includes node rows.
        self.scan_cursors = {True: 0, False: 0}
        self.next_scan_at = -math.inf
        self.next_listing_at = -math.inf


class SimulatedFleet:
    """Nodes, their table and simulated time; counts operations in each second."""

    def __init__(self, size: FleetSize, seed: int = 1) -> None:
        """Prepare a fleet of ``size`` without running nodes."""
        self.rng = Random(seed)
        self.now = 1000.0
        self.size = size
        self.shard_count = _SHARDS_PER_NODE * size.nodes
        self.members = make_members(size)
        self.listed_members = set(self.members)
        self.running: dict[str, SimulatedNode] = {}
        self.disconnected: set[str] = set()
        self.table_unavailable = False
        self.process_count = 0
        self.reads_by_second: Counter[int] = Counter()
        self.writes_by_second: Counter[int] = Counter()
        self.messages_by_second: Counter[int] = Counter()
        self.rows_read_by_second: Counter[int] = Counter()
        self.last_transfer_at = 0.0
        self.transactions: Counter[str] = Counter()
        self._rows: dict[str, tuple[bytes, int]] = {}
        self._version = 0
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._sequence = 0

    def schedule(self, when: float, action: Callable[[], object]) -> None:
        """Run ``action`` at the simulated time ``when``."""
        self._sequence += 1
        heapq.heappush(self._queue, (when, self._sequence, action))

    def advance(self, seconds: float) -> None:
        """Advance the simulated time by ``seconds``."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def start(self, member: Member, delay_s: float = 0.0) -> SimulatedNode:
        """Start a process that ticks first within a period after ``delay_s``."""
        node = SimulatedNode(self, member)
        self.running[member.name] = node
        period_s = node.gossip.roster.timings.gossip_period_s
        first_tick_at = self.now + delay_s + self.rng.uniform(0, period_s)
        self.schedule(first_tick_at, lambda: self._tick(node))
        return node

    def kill(self, name: str) -> None:
        """End the process of a node."""
        del self.running[name]

    def start_converged(self) -> None:
        """Start all nodes in the state they reach after a long time without events."""
        roster = Roster(1, self.members)
        rendezvous = RendezvousHash(self.shard_count)
        rendezvous.update(member.name for member in self.members)
        self._put("roster", roster.to_bytes())
        for number, member in enumerate(self.members, 1):
            row = NodeRow(1, member.address, f"p{number}", 1)
            self._put(node_key(member.name), row.to_bytes())
        for shard in range(self.shard_count):
            owner = rendezvous.owner(shard) or ""
            self._put(shard_key(shard), ShardRow(owner, 1, 1).to_bytes())
        # All processes started long ago and know each other.
        self.now -= 500.0
        for member in self.members:
            self.start(member, 500.0)
        self.now += 500.0
        for node in self.running.values():
            node.gossip.adopt(roster)
            node.gossip.record_store_contact(self.now - 1)
        states = [node.gossip for node in self.running.values()]
        for position, state in enumerate(states):
            for step in (1 << n for n in range(len(states).bit_length())):
                other = states[(position + step) % len(states)]
                if other is not state:
                    ages = other.encode(self.now)
                    state.merge(1, ages, 1000, self.now, self.now)
        period_s = roster.timings.renewal_period_s
        for node in self.running.values():
            self._scan(node)
            node.next_scan_at = self.now + self.rng.uniform(0, period_s)
            # The result depends on the names only; computing it for each node takes
            # 0.5 s per node with 400 nodes.
            node.ownership._rendezvous = _copy_hash(rendezvous, self.shard_count)
        self.advance(4 * period_s)

    def count_unowned_shards(self) -> int:
        """Return the number of shards that no running node may act for."""
        acting = {
            shard
            for node in self.running.values()
            for shard in node.ownership.held
            if node.ownership.active_epoch(shard, self.now) is not None
        }
        return self.shard_count - len(acting)

    def _tick(self, node: SimulatedNode) -> None:
        if self.running.get(node.member.name) is not node:
            return
        node.ownership.extend_authority(self.now)
        timings = node.gossip.roster.timings
        others = node.gossip.roster.all_members or self.members
        for member in self.rng.sample(others, min(GOSSIP_FANOUT + 1, len(others)))[
            :GOSSIP_FANOUT
        ]:
            self._exchange(node, member.name)
        if self.now >= node.next_listing_at and self._can_reach_platform(node):
            node.next_listing_at = self.now + 1.0
            node.listing_tracker.update(
                self.listed_members, (), node.gossip.roster, self.now
            )
        if self._can_reach_platform(node) and not self.table_unavailable:
            self._advance_ownership(node)
        self.schedule(self.now + timings.gossip_period_s, lambda: self._tick(node))

    def _can_reach_platform(self, node: SimulatedNode) -> bool:
        return node.member.name not in self.disconnected

    def _exchange(self, node: SimulatedNode, name: str) -> None:
        other = self.running.get(name)
        self.messages_by_second[int(self.now)] += 1
        if other is None or other is node:
            return
        if (name in self.disconnected) != (node.member.name in self.disconnected):
            return
        self.messages_by_second[int(self.now)] += 1
        node.gossip.adopt(other.gossip.roster)
        node.gossip.merge(
            other.gossip.roster.version,
            other.gossip.encode(self.now),
            other.gossip.contact_age_ms(self.now),
            self.now,
            self.now,
        )

    def _advance_ownership(self, node: SimulatedNode) -> None:
        ownership = node.ownership
        if self.now >= node.next_scan_at or ownership.needs_scan:
            self._scan(node)
        for _ in range(_MAX_PLANS_PER_STEP):
            if ownership.needs_scan:
                return
            plan = ownership.plan(self.now, node.listing_tracker.member_listing)
            if plan is None:
                return
            self._commit(node, plan)

    def _scan(self, node: SimulatedNode) -> None:
        for with_node_rows in (False, True):
            if with_node_rows and not node.ownership.needs_node_rows(self.now):
                break
            rows = []
            for key, (value, version) in reversed(self._rows.items()):
                if version <= node.scan_cursors[with_node_rows]:
                    break
                if with_node_rows or not key.startswith(NODE_PREFIX):
                    rows.append((key, value, version))
            second = int(self.now)
            # A page of a scan has 1,000 rows.
            self.reads_by_second[second] += 1 + len(rows) // 1000
            self.rows_read_by_second[second] += len(rows)
            node.scan_cursors[with_node_rows] = self._version
            node.ownership.apply_scan(
                reversed(rows), self.now, self.now, nodes=with_node_rows
            )
        node.next_scan_at = self.now + node.gossip.roster.timings.renewal_period_s

    def _commit(self, node: SimulatedNode, plan: Plan) -> None:
        node.ownership.on_send(plan, self.now)
        self.writes_by_second[int(self.now)] += 1
        conditions_hold = all(
            self._rows.get(c.key, (b"", 0))[1] == c.version for c in plan.conditions
        )
        if not conditions_hold:
            self.transactions["refused"] += 1
            node.ownership.on_reject(plan, condition_failed=True)
            return
        self.transactions[plan.kind] += 1
        self._version += 1
        for write in plan.writes:
            self._put(write.key, write.value, self._version)
        if plan.kind in (PlanKind.CLAIM, PlanKind.HAND_OVER):
            self.last_transfer_at = self.now
        node.ownership.on_commit(plan, self._version, self.now, self.now)

    def _put(self, key: str, value: bytes, version: int | None = None) -> None:
        if version is None:
            self._version += 1
            version = self._version
        # The newest row is last, so that a scan can stop at the reader's cursor.
        self._rows.pop(key, None)
        self._rows[key] = (value, version)


def _copy_hash(rendezvous: RendezvousHash, shard_count: int) -> RendezvousHash:
    copy = RendezvousHash(shard_count)
    copy._names = rendezvous._names
    copy._best = list(rendezvous._best)
    return copy


def _observe_recovery(fleet: SimulatedFleet, name: str, seconds: int) -> dict[str, Any]:
    """Run for ``seconds`` after an event and return how the fleet recovered."""
    started = fleet.now
    unowned_until_s, peak_unowned, unowned = 0.0, 0, 0
    for _ in range(seconds):
        fleet.advance(1.0)
        unowned = fleet.count_unowned_shards()
        peak_unowned = max(peak_unowned, unowned)
        if unowned:
            unowned_until_s = fleet.now - started
    window = range(int(started), int(fleet.now))
    return {
        "event": name,
        "nodes": fleet.size.nodes,
        "shards": fleet.shard_count,
        "seconds_observed": seconds,
        "shards_without_owner_peak": peak_unowned,
        "shards_without_owner_at_end": unowned,
        "seconds_until_all_owned": unowned_until_s,
        "seconds_until_last_move": max(0.0, round(fleet.last_transfer_at - started, 1)),
        "peak_reads_per_s": max(fleet.reads_by_second[s] for s in window),
        "peak_writes_per_s": max(fleet.writes_by_second[s] for s in window),
        "peak_messages_per_s": max(fleet.messages_by_second[s] for s in window),
        "peak_rows_read_per_s": max(fleet.rows_read_by_second[s] for s in window),
        "transactions": {str(kind): n for kind, n in fleet.transactions.items()},
    }


def restart(size: FleetSize) -> dict[str, Any]:
    """Kill one node's process and start a new one on the same VM 5 s later."""
    fleet = SimulatedFleet(size)
    fleet.start_converged()
    member = fleet.members[7]
    fleet.kill(member.name)
    fleet.schedule(fleet.now + 5.0, functools.partial(fleet.start, member))
    return _observe_recovery(fleet, "one node restarted after 5 s", 60)


def lose_rack(size: FleetSize) -> dict[str, Any]:
    """Lose 10 nodes permanently."""
    return _lose_nodes(size, "rack of 10 nodes lost", set(make_members(size)[:10]))


def lose_zone(size: FleetSize) -> dict[str, Any]:
    """Lose all nodes of one of 11 zones."""
    lost = {m for n, m in enumerate(make_members(size)) if zone_of(n) == "zone-00"}
    return _lose_nodes(size, "zone lost", lost)


def _lose_nodes(size: FleetSize, name: str, lost: set[Member]) -> dict[str, Any]:
    fleet = SimulatedFleet(size)
    fleet.start_converged()
    for member in lost:
        fleet.kill(member.name)
    fleet.listed_members -= lost
    return _observe_recovery(fleet, name, 90)


def disconnect_region(size: FleetSize) -> dict[str, Any]:
    """Disconnect a region from the other regions and the platform for 60 s."""
    fleet = SimulatedFleet(size)
    fleet.start_converged()
    fleet.disconnected = {
        m.name for n, m in enumerate(fleet.members) if region_of(n) == "region-0"
    }

    def reconnect() -> None:
        fleet.disconnected = set()

    fleet.schedule(fleet.now + 60.0, reconnect)
    return _observe_recovery(fleet, "region cut off for 60 s", 150)


def make_table_unavailable(size: FleetSize, seconds: int) -> dict[str, Any]:
    """Make the table unavailable for ``seconds``."""
    fleet = SimulatedFleet(size)
    fleet.start_converged()
    fleet.table_unavailable = True

    def restore() -> None:
        fleet.table_unavailable = False

    fleet.schedule(fleet.now + seconds, restore)
    return _observe_recovery(fleet, f"table down for {seconds} s", seconds + 60)


def cold_start(size: FleetSize) -> dict[str, Any]:
    """Start all nodes within 60 s, with an empty table."""
    fleet = SimulatedFleet(size)
    for member in fleet.members:
        delay_s = fleet.rng.uniform(0, 60)
        fleet.schedule(fleet.now + delay_s, functools.partial(fleet.start, member))
    return _observe_recovery(fleet, "all nodes started within 60 s", 180)


EVENTS: dict[str, Callable[[FleetSize], dict[str, Any]]] = {
    "restart": restart,
    "rack": lose_rack,
    "zone": lose_zone,
    "region": disconnect_region,
    "cold": cold_start,
    "outage": lambda size: make_table_unavailable(size, 120),
    "long_outage": lambda size: make_table_unavailable(size, 1800),
}


def run_event(name: str, nodes: int) -> dict[str, Any]:
    """Run one event at one size."""
    return EVENTS[name](FleetSize(nodes))
