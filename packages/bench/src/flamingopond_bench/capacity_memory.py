"""Resident memory of the product's state, each measured in a process of its own.

Run as ``python -m flamingopond_bench.capacity_memory KIND NODES``; prints the
resident memory in MB (10**6 bytes) before and after the state was built.
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

from flamingopond_bench.capacity_sizes import REGIONS, Size


def _imports(_: Size) -> Any:
    from flamingopond_daemon import runtime

    return runtime


def _configuration(size: Size) -> Any:
    from flamingopond_bench.capacity_build import make_configuration

    # Daemons get it as bytes, so that equal strings are not shared.
    data = make_configuration(size).to_snapshot()
    gc.collect()
    return functools.partial(_restore, data)


def _restore(data: bytes) -> Any:
    from flamingopond_core.configuration import Configuration

    return Configuration.from_snapshot(data)


def _knowledge(size: Size) -> Any:
    from flamingopond_bench.capacity_build import (
        ManualClock,
        make_configuration,
        make_digest,
        make_knowledge,
    )

    configuration = make_configuration(size)
    names = list(configuration.engines)
    sender, sending = make_knowledge(configuration, ManualClock())
    knowledge, topics = make_knowledge(configuration, ManualClock())

    def build() -> Any:
        # In parts, as gossip brings them: a node owns few engines itself.
        for start in range(0, len(names), 50):
            entries = [
                [name, 1, 1, 0.0, make_digest(start + n, size).to_json()]
                for n, name in enumerate(names[start : start + 50])
            ]
            topics.found["engines"][1]("peer", orjson.dumps(entries))
        knowledge.placed("m1")
        return knowledge, topics, sender, sending

    return build


def _ownership(size: Size) -> Any:
    from flamingopond_bench.capacity_build import make_ownership

    return functools.partial(make_ownership, size)


def _router(size: Size) -> Any:
    from flamingopond_bench.capacity_build import make_configuration
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


def _timeline(size: Size) -> Any:
    from flamingopond_core.timeline import MAX_EVENTS, Event, Timeline

    def build() -> Any:
        timeline = Timeline()
        for n in range(MAX_EVENTS):
            fields = {"engine": f"engine-{n}", "order_id": f"order-{n}", "state": "x"}
            timeline.append(Event(n, "node-000", "order_settled", fields))
        return timeline

    return build


def _engine_clients(size: Size) -> Any:
    from flamingopond_platform.engine_client import EngineClient

    # A node routes to all engines of its region sooner or later.
    count = size.engines // REGIONS
    # The first client loads what all of them share.
    first = EngineClient("127.0.0.1:1")
    return lambda: [first, *(EngineClient(f"127.0.0.1:{n}") for n in range(1, count))]


def _vm_list(size: Size) -> Any:
    from flamingopond_bench.capacity_build import make_vms
    from flamingopond_platform.vms import Vm
    from flamingopond_platform.wire import decode, encode

    data = encode(make_vms(size))
    return lambda: decode(data, list[Vm])


_KINDS: Mapping[str, Callable[[Size], Any]] = {
    "imports": lambda size: functools.partial(_imports, size),
    "configuration": _configuration,
    "engine_knowledge": _knowledge,
    "ownership": _ownership,
    "router": _router,
    "timeline": _timeline,
    "vm_list": _vm_list,
    "engine_clients": _engine_clients,
}
KINDS = tuple(_KINDS)


def _resident_mb() -> float:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


def measure_memory(kind: str, size: Size) -> float:
    """Return the resident memory that a state of ``kind`` adds, in MB.

    The memory of ``imports`` is that of the whole process, with the interpreter.
    """
    module = "flamingopond_bench.capacity_memory"
    command = (sys.executable, "-m", module, kind, str(size.nodes))
    done = subprocess.run(command, check=True, capture_output=True, timeout=120)
    before, after = orjson.loads(done.stdout)
    return float(after if kind == "imports" else after - before)


def main() -> None:
    """Build one kind of state and print the memory before and after."""
    kind, nodes = sys.argv[1], int(sys.argv[2])
    build = _KINDS[kind](Size(nodes))
    gc.collect()
    before = _resident_mb()
    state = build()
    gc.collect()
    print(orjson.dumps([before, _resident_mb()]).decode())
    del state


if __name__ == "__main__":
    main()
