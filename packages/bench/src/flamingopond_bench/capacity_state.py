"""Builds configurations, rosters and other daemon state of a given fleet size."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import attrs

from flamingopond_bench.capacity_sizes import (
    REGION_COUNT,
    SHARD_COUNT,
    ZONE_COUNT,
    FleetSize,
)
from flamingopond_bench.config_cost import make_changes
from flamingopond_core.configuration import (
    Change,
    ChangeSet,
    Configuration,
    EngineTarget,
)
from flamingopond_core.enums import ObjectKind
from flamingopond_core.listing import MemberListing
from flamingopond_core.membership import GossipState
from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.ownership import Ownership
from flamingopond_core.records import NodeRow, ShardRow, node_key, shard_key
from flamingopond_core.reports import EngineReport
from flamingopond_core.roster import Member, Roster
from flamingopond_core.shards import RendezvousHash
from flamingopond_daemon.enginedigest import EngineDigest
from flamingopond_daemon.enginegossip import EngineGossip
from flamingopond_platform.vms import Vm, VmState

COPIES_PER_ENGINE = 2


def min_cpu_s(function: Callable[[], Any], rounds: int = 5) -> float:
    """Return the lowest CPU time of ``rounds`` calls, in seconds.

    Other load on the machine can only increase the CPU time of a call.
    """
    times_s = []
    for _ in range(rounds):
        started = time.process_time()
        function()
        times_s.append(time.process_time() - started)
    return min(times_s)


def zone_of(number: int) -> str:
    """Return the availability zone of the engine or node ``number``."""
    return f"zone-{number % ZONE_COUNT:02d}"


def region_of(number: int) -> str:
    """Return the region of the engine or node ``number``."""
    return f"region-{number % ZONE_COUNT % REGION_COUNT}"


def make_configuration(size: FleetSize) -> Configuration:
    """Return a configuration with all objects of ``size``."""
    changes = make_changes(size.models, size.keys, size.workspaces)
    for number in range(size.engines):
        name = f"engine-{number:05d}"
        address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8000"
        target = EngineTarget(
            name, address, zone_of(number), region_of(number), 80_000, True
        )
        changes.append(Change(ObjectKind.ENGINE, name, target))
    configuration = Configuration()
    configuration.apply(ChangeSet("first", "bench", 0, 1, tuple(changes)))
    return configuration


def make_members(size: FleetSize) -> tuple[Member, ...]:
    """Return the members of a roster of ``size``."""
    return tuple(
        Member(f"node-{n:03d}", f"10.200.{n >> 8}.{n & 255}:7000")
        for n in range(size.nodes)
    )


def make_ownership(size: FleetSize) -> Ownership:
    """Return one node's ownership logic after a scan of the whole table."""
    members = make_members(size)
    gossip = GossipState(members[0], 0.0)
    gossip.adopt(Roster(1, members))
    gossip.record_store_contact(99.0)
    for member in members[1:]:
        other = GossipState(member, 0.0)
        other.adopt(gossip.roster)
        other.record_store_contact(99.0)
        gossip.merge(1, other.encode(100.0), 1000, 99.99, 100.0)
    ownership = Ownership(gossip, SHARD_COUNT, "process")
    rows = [("roster", gossip.roster.to_bytes(), 1)]
    rows += [
        (node_key(m.name), NodeRow(1, m.address, "process", 1).to_bytes(), 2 + n)
        for n, m in enumerate(members)
    ]
    rendezvous = RendezvousHash(SHARD_COUNT)
    rendezvous.update(member.name for member in members)
    rows += [
        (
            shard_key(shard),
            ShardRow(rendezvous.owner(shard) or "", 1, 1).to_bytes(),
            1000 + shard,
        )
        for shard in range(SHARD_COUNT)
    ]
    ownership.apply_scan(rows, 99.9, 100.0)
    renewal = ownership.plan(100.0, MemberListing())
    assert renewal is not None
    ownership.on_send(renewal, 100.0)
    ownership.on_commit(renewal, 9999, 100.0, 100.0)
    return ownership


def make_vms(size: FleetSize) -> list[Vm]:
    """Return the platform's VM list, with all nodes and engines."""
    entries = [
        Vm(m.name, m.address, zone_of(n), "entry", VmState.LIVE)
        for n, m in enumerate(make_members(size))
    ]
    targets = [
        Vm(
            f"engine-{n:05d}",
            f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}:8000",
            zone_of(n),
            "target",
            VmState.LIVE,
        )
        for n in range(size.engines)
    ]
    return entries + targets


def make_digest(number: int, size: FleetSize) -> EngineDigest:
    """Return the digest of an engine with ``COPIES_PER_ENGINE`` models."""
    copies = tuple(
        Copy(f"m{(number * 7 + n) % size.models}", "1", 8000, CopyState.READY)
        for n in range(COPIES_PER_ENGINE)
    )
    report = EngineReport(f"instance-{number:05d}", 0, 80_000)
    return EngineDigest(report, copies, 64_000, True)


@attrs.define
class TopicRegistry:
    """Stands in for the cluster; keeps the handlers of registered gossip topics."""

    handlers: dict[str, tuple[Callable[[], bytes], Callable[[str, bytes], None]]] = (
        attrs.field(factory=dict)
    )

    def add_topic(
        self,
        name: str,
        publish: Callable[[], bytes],
        receive: Callable[[str, bytes], None],
    ) -> None:
        """Register the handlers of a topic."""
        self.handlers[name] = (publish, receive)


@attrs.frozen
class ConfigurationHolder:
    """Provides a fixed configuration."""

    configuration: Configuration


class NullEvents:
    """An event log that discards all events."""

    def record(self, kind: str, **fields: Any) -> None:
        """Discard an event."""


@attrs.define
class ManualClock:
    """A clock that only advances when ``now`` is set."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Return ``now``."""
        return self.now


def make_engine_gossip(
    configuration: Configuration, clock: ManualClock
) -> tuple[EngineGossip, TopicRegistry]:
    """Return a node's gossip of engine state, and the gossip topics it registered."""
    topics = TopicRegistry()
    engine_gossip = EngineGossip(
        15.0, topics, ConfigurationHolder(configuration), NullEvents(), clock
    )
    return engine_gossip, topics
