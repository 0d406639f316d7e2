"""Measures CPU time and message sizes of daemon modules in one process."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from typing import Any

import anyio
import capnp

from flamingopond_bench.capacity_sizes import REGION_COUNT, SHARD_COUNT, FleetSize
from flamingopond_bench.capacity_state import (
    ManualClock,
    make_configuration,
    make_digest,
    make_engine_gossip,
    make_members,
    make_ownership,
    make_vms,
    min_cpu_s,
    region_of,
)
from flamingopond_bench.config_cost import make_key_change
from flamingopond_bench.gossip_cost import (
    make_states,
    measure_encode_and_merge,
    measure_rpc,
)
from flamingopond_bench.limit_policies import measure_grant_cpu_s
from flamingopond_bench.placement_policies import measure_plan_cpu_s
from flamingopond_core.configuration import ChangeSet, Configuration
from flamingopond_core.listing import MemberListing
from flamingopond_core.records import NodeRow, ShardRow, node_key, shard_key
from flamingopond_core.routing import EngineInfo, LoadReport, Router, RoutingRequest
from flamingopond_core.shards import RendezvousHash, shard_of
from flamingopond_platform.table import Row, ScanResult
from flamingopond_platform.vms import Vm, VmChanges
from flamingopond_platform.wire import decode, encode

Metrics = dict[str, float]


def measure_gossip(size: FleetSize) -> Metrics:
    """Return CPU seconds and bytes of one gossip exchange over loopback, both ends."""

    async def rpc() -> tuple[float, float]:
        async with capnp.kj_loop():
            return await measure_rpc(make_states(size.nodes, Random(size.nodes)))

    encode_cpu_s, merge_cpu_s, ages_bytes = measure_encode_and_merge(
        make_states(size.nodes, Random(size.nodes))
    )
    runs = [anyio.run(rpc) for _ in range(3)]
    return {
        "gossip_encode_cpu": encode_cpu_s,
        "gossip_merge_cpu": merge_cpu_s,
        "gossip_ages_bytes": float(ages_bytes),
        "gossip_exchange_cpu": min(cpu_s for cpu_s, _ in runs),
        "gossip_exchange_bytes": runs[0][1],
    }


def measure_ownership(size: FleetSize) -> Metrics:
    """Return the cost of a node's plan, of desired owners and of table rows."""
    names = [member.name for member in make_members(size)]
    ownership = make_ownership(size)
    member_listing = MemberListing()

    def compute_all_owners() -> None:
        RendezvousHash(SHARD_COUNT).update(names)

    rendezvous = RendezvousHash(SHARD_COUNT)
    rendezvous.update(names)
    lost_names = iter(names)
    shard_rows = [
        Row(shard_key(n), ShardRow(names[n % len(names)], 1, 1).to_bytes(), n)
        for n in range(SHARD_COUNT)
    ]
    node_rows = [
        Row(node_key(n), NodeRow(1, "10.200.0.1:7000", "process", 9).to_bytes(), 1)
        for n in names
    ]
    shard_scan, node_scan = (
        ScanResult(tuple(shard_rows), 1),
        ScanResult(tuple(node_rows), 1),
    )
    return {
        "plan_cpu": min_cpu_s(lambda: ownership.plan(100.0, member_listing)),
        "desired_owners_first_cpu": min_cpu_s(compute_all_owners, 2),
        "desired_owners_loss_cpu": min_cpu_s(
            lambda: rendezvous.update(set(names) - {next(lost_names)})
        ),
        "shard_rows_bytes": float(len(encode(shard_scan))),
        "node_rows_bytes": float(len(encode(node_scan))),
        "node_rows_cpu": min_cpu_s(lambda: decode(encode(node_scan), ScanResult)),
        "shard_rows_cpu": min_cpu_s(lambda: decode(encode(shard_scan), ScanResult)),
    }


def measure_configuration(size: FleetSize) -> Metrics:
    """Return the cost of a full rebuild and of an incremental change."""
    configuration = make_configuration(size)
    snapshot = configuration.to_snapshot()
    revision = configuration.revision
    change_sets = [
        ChangeSet(
            f"op{n}",
            "bench",
            revision + n,
            revision + n + 1,
            (
                make_key_change(
                    f"k{n % size.keys}", f"w{n % size.keys % size.workspaces}", str(n)
                ),
            ),
        ).to_json()
        for n in range(1000)
    ]

    def apply() -> None:
        for change_set in change_sets:
            configuration.apply(ChangeSet.from_json(change_set))

    result = {
        "snapshot_bytes": float(len(snapshot)),
        "change_bytes": float(len(change_sets[0])),
        "rebuild_cpu": min_cpu_s(lambda: Configuration.from_snapshot(snapshot), 3),
        "to_snapshot_cpu": min_cpu_s(configuration.to_snapshot, 3),
    }
    result["apply_cpu"] = min_cpu_s(apply, 1) / len(change_sets)
    return result


def measure_engines(size: FleetSize) -> Metrics:
    """Return the cost of tracking all engines: gossip, index, owner scan, routing."""
    clock = ManualClock()
    configuration = make_configuration(size)
    engine_gossip, topics = make_engine_gossip(configuration, clock)
    names = list(configuration.engines)
    for number, name in enumerate(names):
        engine_gossip.publish_digest(name, 1, make_digest(number, size))
    engine_numbers = iter(range(10**9))

    def publish() -> None:
        clock.now += 0.25
        for publish_topic, _ in topics.handlers.values():
            publish_topic()

    def lookup_after_change() -> None:
        number = next(engine_numbers) % len(names)
        clock.now += 0.001
        # A digest with other copies counts as a change, as after a load or unload.
        digest = make_digest(number + 1, size)
        engine_gossip.publish_digest(names[number], 1, digest)
        engine_gossip.serving_engines("m1")

    engine_gossip.serving_engines("m1")
    result = {
        "lookup_cpu": min_cpu_s(lambda: engine_gossip.serving_engines("m1"), 20),
        "lookup_after_change_cpu": min_cpu_s(lookup_after_change, 7),
        "publish_cpu": min_cpu_s(publish, 9),
        "owner_scan_cpu": min_cpu_s(
            lambda: [shard_of(f"engine/{name}", SHARD_COUNT) for name in names]
        ),
        "view_cpu": min_cpu_s(
            lambda: engine_gossip.placement_view(region_of(0), clock.now), 3
        ),
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
    receiver, receiver_topics = make_engine_gossip(configuration, clock)
    result["receive_cpu"] = (
        min_cpu_s(lambda: receiver_topics.handlers["engines"][1]("peer", entries), 1)
        / 50
    )
    receiver.serving_engines("m1")
    engine_infos = [
        EngineInfo(e.name, e.availability_zone, e.region)
        for e in configuration.engines.values()
    ]
    router = Router("zone-00", "region-0")
    router.configure(engine_infos)
    for name in names:
        router.observe(LoadReport(name, 4), 100.0)
    candidates = names[: max(2, 2 * size.engines // size.models)]
    request = RoutingRequest(candidates, 200, 200, ("a", "b"))
    rng = Random(1)

    def choose() -> None:
        for _ in range(200):
            router.choose(request, 100.5, rng)

    result["choose_cpu"] = min_cpu_s(choose) / 200
    result["router_configure_cpu"] = min_cpu_s(
        lambda: router.configure(engine_infos), 3
    )
    return result


def measure_vm_list(size: FleetSize) -> Metrics:
    """Return the cost of the full VM list, and of a poll that finds no change."""
    vms = make_vms(size)
    data = encode(vms)
    changes = encode(VmChanges("0123abcd-1", False))

    def poll_unchanged() -> None:
        for _ in range(50):
            decode(changes, VmChanges)
            # The cluster does this with each response.
            [vm for vm in vms if vm.role == "entry"]

    return {
        "vm_list_bytes": float(len(data)),
        "vm_list_cpu": min_cpu_s(lambda: decode(data, list[Vm]), 3),
        "vm_changes_bytes": float(len(changes)),
        "vm_changes_cpu": min_cpu_s(poll_unchanged, 3) / 50,
    }


def measure_placement(size: FleetSize, plans: int = 8) -> Metrics:
    """Return the median CPU seconds of a plan of all models on a region's engines."""
    engines = size.engines // REGION_COUNT
    times_s = sorted(measure_plan_cpu_s(size.models, engines, 1, plans))
    return {"placement_plan_cpu": times_s[len(times_s) // 2]}


def measure_limits(size: FleetSize) -> Metrics:
    """Return the owner's CPU seconds of a grant with its settlements."""
    return {"grant_cpu": measure_grant_cpu_s(size.workspaces, 10_000)}


MEASUREMENTS: Sequence[Callable[[FleetSize], Metrics]] = (
    measure_gossip,
    measure_ownership,
    measure_configuration,
    measure_engines,
    measure_vm_list,
    measure_placement,
    measure_limits,
)


def measure_size(size: FleetSize) -> dict[str, Any]:
    """Return all measurements at one fleet size."""
    metrics: dict[str, Any] = {
        "nodes": size.nodes,
        "engines": size.engines,
        "models": size.models,
        "workspaces": size.workspaces,
        "keys": size.keys,
    }
    for measurement in MEASUREMENTS:
        metrics |= measurement(size)
    return metrics
