"""Builds the product's own state at a given size, for the measurements."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import attrs

from flamingopond_bench.capacity_sizes import REGIONS, SHARDS, ZONES, Size
from flamingopond_bench.configcost import make_changes
from flamingopond_core.configuration import (
    Change,
    ChangeSet,
    Configuration,
    EngineTarget,
)
from flamingopond_core.enums import ObjectKind
from flamingopond_core.listing import Listing
from flamingopond_core.membership import GossipState
from flamingopond_core.orders import Copy, CopyState
from flamingopond_core.ownership import Ownership
from flamingopond_core.records import NodeRow, ShardRow, node_key, shard_key
from flamingopond_core.reports import EngineReport
from flamingopond_core.roster import Member, Roster
from flamingopond_core.shards import RendezvousHash
from flamingopond_daemon.enginedigest import EngineDigest
from flamingopond_daemon.engineknowledge import EngineKnowledge
from flamingopond_platform.vms import Vm, VmState

COPIES_PER_ENGINE = 2


def cpu_time(function: Callable[[], Any], rounds: int = 5) -> float:
    """Return the least CPU seconds of ``rounds`` calls.

    Other work on the machine only ever adds to a call's CPU time.
    """
    times = []
    for _ in range(rounds):
        begun = time.process_time()
        function()
        times.append(time.process_time() - begun)
    return min(times)


def zone_of(number: int) -> str:
    """Return the availability zone of the engine or node ``number``."""
    return f"zone-{number % ZONES:02d}"


def region_of(number: int) -> str:
    """Return the region of the engine or node ``number``."""
    return f"region-{number % ZONES % REGIONS}"


def make_configuration(size: Size) -> Configuration:
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


def make_members(size: Size) -> tuple[Member, ...]:
    """Return the members of a roster."""
    return tuple(
        Member(f"node-{n:03d}", f"10.200.{n >> 8}.{n & 255}:7000")
        for n in range(size.nodes)
    )


def make_ownership(size: Size) -> Ownership:
    """Return one node's ownership logic, with all rows of the table read."""
    members = make_members(size)
    gossip = GossipState(members[0], 0.0)
    gossip.adopt(Roster(1, members))
    gossip.record_store_contact(99.0)
    for member in members[1:]:
        other = GossipState(member, 0.0)
        other.adopt(gossip.roster)
        other.record_store_contact(99.0)
        gossip.merge(1, other.encode(100.0), 1000, 99.99, 100.0)
    ownership = Ownership(gossip, SHARDS, "process")
    rows = [("roster", gossip.roster.to_bytes(), 1)]
    rows += [
        (node_key(m.name), NodeRow(1, m.address, "process", 1).to_bytes(), 2 + n)
        for n, m in enumerate(members)
    ]
    rendezvous = RendezvousHash(SHARDS)
    rendezvous.update(member.name for member in members)
    rows += [
        (
            shard_key(shard),
            ShardRow(rendezvous.owner(shard) or "", 1, 1).to_bytes(),
            1000 + shard,
        )
        for shard in range(SHARDS)
    ]
    ownership.apply_scan(rows, 99.9, 100.0)
    renewal = ownership.plan(100.0, Listing())
    assert renewal is not None
    ownership.on_send(renewal, 100.0)
    ownership.on_commit(renewal, 9999, 100.0, 100.0)
    return ownership


def make_vms(size: Size) -> list[Vm]:
    """Return the platform's list of VMs."""
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


def make_digest(number: int, size: Size) -> EngineDigest:
    """Return the digest of an engine with ``COPIES_PER_ENGINE`` models."""
    copies = tuple(
        Copy(f"m{(number * 7 + n) % size.models}", "1", 8000, CopyState.READY)
        for n in range(COPIES_PER_ENGINE)
    )
    report = EngineReport(f"instance-{number:05d}", 0, 80_000)
    return EngineDigest(report, copies, 64_000, True)


@attrs.define
class Topics:
    """Keeps the gossip topics that a subsystem registers, in place of the cluster."""

    found: dict[str, tuple[Callable[[], bytes], Callable[[str, bytes], None]]] = (
        attrs.field(factory=dict)
    )

    def topic(
        self,
        name: str,
        publish: Callable[[], bytes],
        receive: Callable[[str, bytes], None],
    ) -> None:
        """Add a topic."""
        self.found[name] = (publish, receive)


@attrs.frozen
class Holder:
    """Holds a configuration."""

    configuration: Configuration


class SilentEvents:
    """Records nothing."""

    def record(self, kind: str, **fields: Any) -> None:
        """Ignore an event."""


@attrs.define
class ManualClock:
    """A clock that is set by hand."""

    now: float = 1000.0

    def __call__(self) -> float:
        """Return the present time."""
        return self.now


def make_knowledge(
    configuration: Configuration, clock: ManualClock
) -> tuple[EngineKnowledge, Topics]:
    """Return a node's knowledge of engines, and its gossip topics."""
    topics = Topics()
    knowledge = EngineKnowledge(
        15.0, topics, Holder(configuration), SilentEvents(), clock
    )
    return knowledge, topics
