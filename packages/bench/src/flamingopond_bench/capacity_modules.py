"""CPU time and bytes of the product's modules in one process, at one size."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import anyio
import capnp

from flamingopond_bench.capacity_build import (
    ManualClock,
    cpu_time,
    make_configuration,
    make_digest,
    make_knowledge,
    make_members,
    make_ownership,
    make_vms,
    region_of,
)
from flamingopond_bench.capacity_sizes import REGIONS, SHARDS, Size
from flamingopond_bench.configcost import make_key
from flamingopond_bench.gossip_cost import make_states, measure_core, measure_rpc
from flamingopond_bench.limit_policies import measure_owner
from flamingopond_bench.placement_policies import plan_seconds
from flamingopond_core.configuration import ChangeSet, Configuration
from flamingopond_core.listing import Listing
from flamingopond_core.records import NodeRow, ShardRow, node_key, shard_key
from flamingopond_core.routing import EngineInfo, LoadReport, Router, RoutingRequest
from flamingopond_core.shards import RendezvousHash, shard_of
from flamingopond_platform.table import Row, ScanResult
from flamingopond_platform.vms import Vm, VmChanges
from flamingopond_platform.wire import decode, encode

Figures = dict[str, float]


def measure_gossip(size: Size) -> Figures:
    """Return CPU seconds and bytes of one exchange over loopback, both ends."""

    async def rpc() -> tuple[float, float]:
        async with capnp.kj_loop():
            return await measure_rpc(make_states(size.nodes, Random(size.nodes)))

    encoded, merged, ages = measure_core(make_states(size.nodes, Random(size.nodes)))
    runs = [anyio.run(rpc) for _ in range(3)]
    return {
        "gossip_encode_cpu": encoded,
        "gossip_merge_cpu": merged,
        "gossip_ages_bytes": float(ages),
        "gossip_exchange_cpu": min(cpu for cpu, _ in runs),
        "gossip_exchange_bytes": runs[0][1],
    }


def measure_ownership(size: Size) -> Figures:
    """Return CPU seconds of a node's plan, of desired owners and of table rows."""
    names = [member.name for member in make_members(size)]
    ownership = make_ownership(size)
    listing = Listing()

    def first() -> None:
        RendezvousHash(SHARDS).update(names)

    rendezvous = RendezvousHash(SHARDS)
    rendezvous.update(names)
    losses = iter(names)
    shard_rows = [
        Row(shard_key(n), ShardRow(names[n % len(names)], 1, 1).to_bytes(), n)
        for n in range(SHARDS)
    ]
    node_rows = [
        Row(node_key(n), NodeRow(1, "10.200.0.1:7000", "process", 9).to_bytes(), 1)
        for n in names
    ]
    shards, nodes = ScanResult(tuple(shard_rows), 1), ScanResult(tuple(node_rows), 1)
    return {
        "plan_cpu": cpu_time(lambda: ownership.plan(100.0, listing)),
        "desired_owners_first_cpu": cpu_time(first, 2),
        "desired_owners_loss_cpu": cpu_time(
            lambda: rendezvous.update(set(names) - {next(losses)})
        ),
        "shard_rows_bytes": float(len(encode(shards))),
        "node_rows_bytes": float(len(encode(nodes))),
        "node_rows_cpu": cpu_time(lambda: decode(encode(nodes), ScanResult)),
        "shard_rows_cpu": cpu_time(lambda: decode(encode(shards), ScanResult)),
    }


def measure_configuration(size: Size) -> Figures:
    """Return the cost of a full rebuild and of one incremental change."""
    configuration = make_configuration(size)
    snapshot = configuration.to_snapshot()
    revision = configuration.revision
    data = [
        ChangeSet(
            f"op{n}",
            "bench",
            revision + n,
            revision + n + 1,
            (
                make_key(
                    f"k{n % size.keys}", f"w{n % size.keys % size.workspaces}", str(n)
                ),
            ),
        ).to_json()
        for n in range(1000)
    ]

    def apply() -> None:
        for item in data:
            configuration.apply(ChangeSet.from_json(item))

    result = {
        "snapshot_bytes": float(len(snapshot)),
        "change_bytes": float(len(data[0])),
        "rebuild_cpu": cpu_time(lambda: Configuration.from_snapshot(snapshot), 3),
        "to_snapshot_cpu": cpu_time(configuration.to_snapshot, 3),
    }
    result["apply_cpu"] = cpu_time(apply, 1) / len(data)
    return result


def measure_engines(size: Size) -> Figures:
    """Return the cost of knowing all engines: gossip topics, index, scan of owners."""
    clock = ManualClock()
    configuration = make_configuration(size)
    knowledge, topics = make_knowledge(configuration, clock)
    names = list(configuration.engines)
    for number, name in enumerate(names):
        knowledge.share(name, 1, make_digest(number, size))
    shares = iter(range(10**9))

    def publish() -> None:
        clock.now += 0.25
        for send, _ in topics.found.values():
            send()

    def lookup_after_change() -> None:
        number = next(shares) % len(names)
        clock.now += 0.001
        # Another free memory makes the digest news, as a load or unload does.
        digest = make_digest(number + 1, size)
        knowledge.share(names[number], 1, digest)
        knowledge.placed("m1")

    knowledge.placed("m1")
    result = {
        "lookup_cpu": cpu_time(lambda: knowledge.placed("m1"), 20),
        "lookup_after_change_cpu": cpu_time(lookup_after_change, 7),
        "publish_cpu": cpu_time(publish, 9),
        "owner_scan_cpu": cpu_time(
            lambda: [shard_of(f"engine/{name}", SHARDS) for name in names]
        ),
        "view_cpu": cpu_time(lambda: knowledge.view(region_of(0), clock.now), 3),
        "digest_bytes": float(
            len(encode([names[0], 1, 2, 0.25, make_digest(0, size).to_json()]))
        ),
    }
    entries = encode(
        [
            [name, 2, number, 0.25, make_digest(number, size).to_json()]
            for number, name in enumerate(names[:50])
        ]
    )
    other, other_topics = make_knowledge(configuration, clock)
    result["receive_cpu"] = (
        cpu_time(lambda: other_topics.found["engines"][1]("peer", entries), 1) / 50
    )
    other.placed("m1")
    infos = [
        EngineInfo(e.name, e.availability_zone, e.region)
        for e in configuration.engines.values()
    ]
    router = Router("zone-00", "region-0")
    router.configure(infos)
    for name in names:
        router.observe(LoadReport(name, 4), 100.0)
    candidates = names[: max(2, 2 * size.engines // size.models)]
    request = RoutingRequest(candidates, 200, 200, ("a", "b"))
    rng = Random(1)

    def choose() -> None:
        for _ in range(200):
            router.choose(request, 100.5, rng)

    result["choose_cpu"] = cpu_time(choose) / 200
    result["router_configure_cpu"] = cpu_time(lambda: router.configure(infos), 3)
    return result


def measure_vm_list(size: Size) -> Figures:
    """Return the cost of the whole list of VMs, and of following it unchanged."""
    vms = make_vms(size)
    data = encode(vms)
    changes = encode(VmChanges("0123abcd-1", False))

    def follow() -> None:
        for _ in range(50):
            decode(changes, VmChanges)
            # As the cluster does with each reply.
            [vm for vm in vms if vm.role == "entry"]

    return {
        "vm_list_bytes": float(len(data)),
        "vm_list_cpu": cpu_time(lambda: decode(data, list[Vm]), 3),
        "vm_changes_bytes": float(len(changes)),
        "vm_changes_cpu": cpu_time(follow, 3) / 50,
    }


def measure_placement(size: Size, plans: int = 8) -> Figures:
    """Return CPU seconds of one plan of a region: all models on its engines."""
    engines = size.engines // REGIONS
    times = sorted(plan_seconds(size.models, engines, 1, plans))
    return {"placement_plan_cpu": times[len(times) // 2]}


def measure_limits(size: Size) -> Figures:
    """Return the owner's CPU seconds of one grant with its settlements."""
    return {"grant_cpu": measure_owner(size.workspaces, 10_000)}


MEASUREMENTS: Sequence[Callable[[Size], Figures]] = (
    measure_gossip,
    measure_ownership,
    measure_configuration,
    measure_engines,
    measure_vm_list,
    measure_placement,
    measure_limits,
)


def measure_size(size: Size) -> dict[str, Any]:
    """Return all figures of one size."""
    figures: dict[str, Any] = {
        "nodes": size.nodes,
        "engines": size.engines,
        "models": size.models,
        "workspaces": size.workspaces,
        "keys": size.keys,
    }
    for measurement in MEASUREMENTS:
        figures |= measurement(size)
    return figures
