"""Measures the resident memory of each kind of daemon state in a separate process.

Run as ``python -m flamingopond_bench.capacity_memory KIND NODES``; prints the
resident memory in MB (10**6 bytes) before and after building the state.
"""

from __future__ import annotations

import functools
import gc
import os
import subprocess
import sys
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from flamingopond_bench.capacity_sizes import REGION_COUNT, FleetSize


def _imports(_: FleetSize) -> Any:
    from flamingopond_daemon import runtime

    return runtime


def _configuration(size: FleetSize) -> Any:
    from flamingopond_bench.capacity_state import make_configuration

    # Daemons decode it from bytes, so equal strings are separate objects.
    data = make_configuration(size).to_snapshot()
    gc.collect()
    return functools.partial(_restore, data)


def _restore(data: bytes) -> Any:
    from flamingopond_core.configuration import Configuration

    return Configuration.from_snapshot(data)


def _engine_gossip(size: FleetSize) -> Any:
    from flamingopond_bench.capacity_state import (
        ManualClock,
        make_configuration,
        make_digest,
        make_engine_gossip,
    )

    configuration = make_configuration(size)
    names = list(configuration.engines)
    sender, sender_topics = make_engine_gossip(configuration, ManualClock())
    engine_gossip, topics = make_engine_gossip(configuration, ManualClock())

    def build() -> Any:
        # In batches, as by gossip: a node owns only a few engines itself.
        for start in range(0, len(names), 50):
            entries = [
                [name, 1, 1, 0.0, make_digest(start + n, size).to_json()]
                for n, name in enumerate(names[start : start + 50])
            ]
            topics.handlers["engines"][1]("peer", orjson.dumps(entries))
        engine_gossip.serving_engines("m1")
        return engine_gossip, topics, sender, sender_topics

    return build


def _ownership(size: FleetSize) -> Any:
    from flamingopond_bench.capacity_state import make_ownership

    return functools.partial(make_ownership, size)


def _router(size: FleetSize) -> Any:
    from flamingopond_bench.capacity_state import make_configuration
    from flamingopond_core.routing import EngineInfo, LoadReport, Router

    engines = list(make_configuration(size).engines.values())

    def build() -> Any:
        router = Router("zone-00", "region-0")
        router.configure(
            EngineInfo(e.name, e.availability_zone, e.region) for e in engines
        )
        for engine in engines:
            router.observe(LoadReport(engine.name, 4), 100.0)
        return router

    return build


def _timeline(size: FleetSize) -> Any:
    from flamingopond_core.timeline import MAX_EVENTS, Event, Timeline

    def build() -> Any:
        timeline = Timeline()
        for n in range(MAX_EVENTS):
            fields = {"engine": f"engine-{n}", "order_id": f"order-{n}", "state": "x"}
            timeline.append(Event(n, "node-000", "order_settled", fields))
        return timeline

    return build


def _engine_clients(size: FleetSize) -> Any:
    from flamingopond_platform.engine_client import EngineClient

    # Over time, a node sends requests to all engines of its region.
    count = size.engines // REGION_COUNT
    # The first client loads what all clients share, before the baseline is read.
    first = EngineClient("127.0.0.1:1")
    return lambda: [first, *(EngineClient(f"127.0.0.1:{n}") for n in range(1, count))]


def _vm_list(size: FleetSize) -> Any:
    from flamingopond_bench.capacity_state import make_vms
    from flamingopond_platform.vms import Vm
    from flamingopond_platform.wire import decode, encode

    data = encode(make_vms(size))
    return lambda: decode(data, list[Vm])


_STATE_BUILDERS: Mapping[str, Callable[[FleetSize], Any]] = {
    "imports": lambda size: functools.partial(_imports, size),
    "configuration": _configuration,
    "engine_knowledge": _engine_gossip,
    "ownership": _ownership,
    "router": _router,
    "timeline": _timeline,
    "vm_list": _vm_list,
    "engine_clients": _engine_clients,
}
STATE_KINDS = tuple(_STATE_BUILDERS)


def _resident_mb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure_memory(kind: str, size: FleetSize) -> float:
    """Return the resident memory in MB that state of ``kind`` adds.

    For ``imports`` it is the memory of the whole process, including the interpreter.
    """
    module = "flamingopond_bench.capacity_memory"
    command = (sys.executable, "-m", module, kind, str(size.nodes))
    completed = subprocess.run(command, check=True, capture_output=True, timeout=120)
    before, after = orjson.loads(completed.stdout)
    return float(after if kind == "imports" else after - before)


def main() -> None:
    """Build one kind of state and print the resident memory before and after."""
    kind, nodes = sys.argv[1], int(sys.argv[2])
    build = _STATE_BUILDERS[kind](FleetSize(nodes))
    gc.collect()
    before = _resident_mb()
    state = build()
    gc.collect()
    print(orjson.dumps([before, _resident_mb()]).decode())
    del state


if __name__ == "__main__":
    main()
