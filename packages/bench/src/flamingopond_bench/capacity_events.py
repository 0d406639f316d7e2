"""Failures at scale: the pure classes of many nodes with one table, in one process.

Messages and table calls take no time, so the times found are those of periods,
leases and waits. The platform's limits on reads and writes are not applied: the
peaks are compared with them.
"""

from __future__ import annotations

import functools
import heapq
import math
from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any

from flamingopond_bench.capacity_build import make_members, region_of, zone_of
from flamingopond_bench.capacity_sizes import Size
from flamingopond_core.listing import ListingTracker
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
from flamingopond_daemon.cluster import FANOUT

_SHARDS_PER_NODE = 10
# A step commits what is planned until nothing is; a bound against endless plans.
_PLANS_PER_STEP = 20


class Node:
    """One daemon's membership and ownership."""

    def __init__(self, fleet: Fleet, member: Member) -> None:
        """Start the process of ``member``."""
        self.member = member
        self.gossip = GossipState(member, fleet.now)
        fleet.processes += 1
        process = f"p{fleet.processes}"
        self.ownership = Ownership(self.gossip, fleet.shards, process)
        self.listing = ListingTracker()
        self.cursors = {True: 0, False: 0}
        self.next_scan = -math.inf
        self.next_listing = -math.inf


class Fleet:
    """Nodes, their table and simulated time; counts operations by second."""

    def __init__(self, size: Size, seed: int = 1) -> None:
        """Prepare ``size`` without any node."""
        self.rng = Random(seed)
        self.now = 1000.0
        self.size = size
        self.shards = _SHARDS_PER_NODE * size.nodes
        self.members = make_members(size)
        self.listed = set(self.members)
        self.nodes: dict[str, Node] = {}
        self.cut_off: set[str] = set()
        self.table_down = False
        self.processes = 0
        self.reads: Counter[int] = Counter()
        self.writes: Counter[int] = Counter()
        self.messages: Counter[int] = Counter()
        self.read_rows: Counter[int] = Counter()
        self.last_transfer = 0.0
        self.kinds: Counter[str] = Counter()
        self._rows: dict[str, tuple[bytes, int]] = {}
        self._version = 0
        self._queue: list[tuple[float, int, Callable[[], object]]] = []
        self._serial = 0

    def at(self, when: float, action: Callable[[], object]) -> None:
        """Run ``action`` at ``when``."""
        self._serial += 1
        heapq.heappush(self._queue, (when, self._serial, action))

    def run(self, seconds: float) -> None:
        """Advance the time by ``seconds``."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def start(self, member: Member, delay: float = 0.0) -> Node:
        """Start a process that takes its first step within a gossip period."""
        node = Node(self, member)
        self.nodes[member.name] = node
        period = node.gossip.roster.timings.gossip_period_s
        first = self.now + delay + self.rng.uniform(0, period)
        self.at(first, lambda: self._tick(node))
        return node

    def kill(self, name: str) -> None:
        """End a process."""
        del self.nodes[name]

    def start_steady(self) -> None:
        """Start all nodes as they are after a long calm time."""
        roster = Roster(1, self.members)
        rendezvous = RendezvousHash(self.shards)
        rendezvous.update(member.name for member in self.members)
        self._put("roster", roster.to_bytes())
        for number, member in enumerate(self.members, 1):
            row = NodeRow(1, member.address, f"p{number}", 1)
            self._put(node_key(member.name), row.to_bytes())
        for shard in range(self.shards):
            owner = rendezvous.owner(shard) or ""
            self._put(shard_key(shard), ShardRow(owner, 1, 1).to_bytes())
        # All processes started long before, and know each other.
        self.now -= 500.0
        for member in self.members:
            self.start(member, 500.0)
        self.now += 500.0
        for node in self.nodes.values():
            node.gossip.adopt(roster)
            node.gossip.record_store_contact(self.now - 1)
        states = [node.gossip for node in self.nodes.values()]
        for position, state in enumerate(states):
            for step in (1 << n for n in range(len(states).bit_length())):
                other = states[(position + step) % len(states)]
                if other is not state:
                    ages = other.encode(self.now)
                    state.merge(1, ages, 1000, self.now, self.now)
        period = roster.timings.renewal_period_s
        for node in self.nodes.values():
            self._scan(node)
            node.next_scan = self.now + self.rng.uniform(0, period)
            # Equal for equal names; computing it anew takes 0.5 s a node of 400.
            node.ownership._rendezvous = _copy(rendezvous, self.shards)
        self.run(4 * period)

    def without_owner(self) -> int:
        """Return the number of shards for which no running node may act."""
        acting = {
            shard
            for node in self.nodes.values()
            for shard in node.ownership.held
            if node.ownership.active_epoch(shard, self.now) is not None
        }
        return self.shards - len(acting)

    def _tick(self, node: Node) -> None:
        if self.nodes.get(node.member.name) is not node:
            return
        node.ownership.extend_authority(self.now)
        timings = node.gossip.roster.timings
        others = node.gossip.roster.order or self.members
        for member in self.rng.sample(others, min(FANOUT + 1, len(others)))[:FANOUT]:
            self._exchange(node, member.name)
        if self.now >= node.next_listing and self._reaches_platform(node):
            node.next_listing = self.now + 1.0
            node.listing.update(self.listed, (), node.gossip.roster, self.now)
        if self._reaches_platform(node) and not self.table_down:
            self._step(node)
        self.at(self.now + timings.gossip_period_s, lambda: self._tick(node))

    def _reaches_platform(self, node: Node) -> bool:
        return node.member.name not in self.cut_off

    def _exchange(self, node: Node, name: str) -> None:
        other = self.nodes.get(name)
        self.messages[int(self.now)] += 1
        if other is None or other is node:
            return
        if (name in self.cut_off) != (node.member.name in self.cut_off):
            return
        self.messages[int(self.now)] += 1
        node.gossip.adopt(other.gossip.roster)
        node.gossip.merge(
            other.gossip.roster.version,
            other.gossip.encode(self.now),
            other.gossip.contact_age_ms(self.now),
            self.now,
            self.now,
        )

    def _step(self, node: Node) -> None:
        ownership = node.ownership
        if self.now >= node.next_scan or ownership.needs_scan:
            self._scan(node)
        for _ in range(_PLANS_PER_STEP):
            if ownership.needs_scan:
                return
            plan = ownership.plan(self.now, node.listing.listing)
            if plan is None:
                return
            self._commit(node, plan)

    def _scan(self, node: Node) -> None:
        for nodes in (False, True):
            if nodes and not node.ownership.needs_node_rows(self.now):
                break
            rows = []
            for key, (value, version) in reversed(self._rows.items()):
                if version <= node.cursors[nodes]:
                    break
                if nodes or not key.startswith(NODE_PREFIX):
                    rows.append((key, value, version))
            second = int(self.now)
            # Pages have 1,000 rows.
            self.reads[second] += 1 + len(rows) // 1000
            self.read_rows[second] += len(rows)
            node.cursors[nodes] = self._version
            node.ownership.apply_scan(reversed(rows), self.now, self.now, nodes=nodes)
        node.next_scan = self.now + node.gossip.roster.timings.renewal_period_s

    def _commit(self, node: Node, plan: Plan) -> None:
        node.ownership.on_send(plan, self.now)
        self.writes[int(self.now)] += 1
        holds = all(
            self._rows.get(c.key, (b"", 0))[1] == c.version for c in plan.conditions
        )
        if not holds:
            self.kinds["refused"] += 1
            node.ownership.on_reject(plan, condition_failed=True)
            return
        self.kinds[plan.kind] += 1
        self._version += 1
        for write in plan.writes:
            self._put(write.key, write.value, self._version)
        if plan.kind in (PlanKind.CLAIM, PlanKind.HAND_OVER):
            self.last_transfer = self.now
        node.ownership.on_commit(plan, self._version, self.now, self.now)

    def _put(self, key: str, value: bytes, version: int | None = None) -> None:
        if version is None:
            self._version += 1
            version = self._version
        # Newest last, so that a scan ends at the reader's cursor.
        self._rows.pop(key, None)
        self._rows[key] = (value, version)


def _copy(rendezvous: RendezvousHash, shards: int) -> RendezvousHash:
    copy = RendezvousHash(shards)
    copy._names = rendezvous._names
    copy._best = list(rendezvous._best)
    return copy


def _observe(fleet: Fleet, name: str, seconds: int) -> dict[str, Any]:
    """Run after an event, and return what it led to."""
    begun = fleet.now
    missing, worst, worst_at_end = 0.0, 0, 0
    for _ in range(seconds):
        fleet.run(1.0)
        worst_at_end = fleet.without_owner()
        worst = max(worst, worst_at_end)
        if worst_at_end:
            missing = fleet.now - begun
    window = range(int(begun), int(fleet.now))
    return {
        "event": name,
        "nodes": fleet.size.nodes,
        "shards": fleet.shards,
        "seconds_observed": seconds,
        "shards_without_owner_peak": worst,
        "shards_without_owner_at_end": worst_at_end,
        "seconds_until_all_owned": missing,
        "seconds_until_last_move": max(0.0, round(fleet.last_transfer - begun, 1)),
        "peak_reads_per_s": max(fleet.reads[s] for s in window),
        "peak_writes_per_s": max(fleet.writes[s] for s in window),
        "peak_messages_per_s": max(fleet.messages[s] for s in window),
        "peak_rows_read_per_s": max(fleet.read_rows[s] for s in window),
        "transactions": {str(kind): n for kind, n in fleet.kinds.items()},
    }


def restart(size: Size) -> dict[str, Any]:
    """Kill one node's process; a new one starts on the same VM 5 s later."""
    fleet = Fleet(size)
    fleet.start_steady()
    member = fleet.members[7]
    fleet.kill(member.name)
    fleet.at(fleet.now + 5.0, functools.partial(fleet.start, member))
    return _observe(fleet, "one node restarted after 5 s", 60)


def lose_rack(size: Size) -> dict[str, Any]:
    """Lose 10 nodes for good."""
    return _lose(size, "rack of 10 nodes lost", set(make_members(size)[:10]))


def lose_zone(size: Size) -> dict[str, Any]:
    """Lose all nodes of one of 11 zones."""
    lost = {m for n, m in enumerate(make_members(size)) if zone_of(n) == "zone-00"}
    return _lose(size, "zone lost", lost)


def _lose(size: Size, name: str, lost: set[Member]) -> dict[str, Any]:
    fleet = Fleet(size)
    fleet.start_steady()
    for member in lost:
        fleet.kill(member.name)
    fleet.listed -= lost
    return _observe(fleet, name, 90)


def cut_region(size: Size) -> dict[str, Any]:
    """Cut a region off from the others and the platform for 60 s."""
    fleet = Fleet(size)
    fleet.start_steady()
    fleet.cut_off = {
        m.name for n, m in enumerate(fleet.members) if region_of(n) == "region-0"
    }

    def heal() -> None:
        fleet.cut_off = set()

    fleet.at(fleet.now + 60.0, heal)
    return _observe(fleet, "region cut off for 60 s", 150)


def stop_table(size: Size, seconds: int) -> dict[str, Any]:
    """Take the table away for a while."""
    fleet = Fleet(size)
    fleet.start_steady()
    fleet.table_down = True

    def back() -> None:
        fleet.table_down = False

    fleet.at(fleet.now + seconds, back)
    return _observe(fleet, f"table down for {seconds} s", seconds + 60)


def cold_start(size: Size) -> dict[str, Any]:
    """Start all nodes within a minute, with an empty table."""
    fleet = Fleet(size)
    for member in fleet.members:
        delay = fleet.rng.uniform(0, 60)
        fleet.at(fleet.now + delay, functools.partial(fleet.start, member))
    return _observe(fleet, "all nodes started within 60 s", 180)


EVENTS: dict[str, Callable[[Size], dict[str, Any]]] = {
    "restart": restart,
    "rack": lose_rack,
    "zone": lose_zone,
    "region": cut_region,
    "cold": cold_start,
    "outage": lambda size: stop_table(size, 120),
    "long_outage": lambda size: stop_table(size, 1800),
}


def run_event(name: str, nodes: int) -> dict[str, Any]:
    """Run one event at one size."""
    return EVENTS[name](Size(nodes))
