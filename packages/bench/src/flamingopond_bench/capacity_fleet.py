"""Measures the resource use of idle daemons in real fleets."""

from __future__ import annotations

import os
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio
import orjson

from flamingopond_bench.demo import Demo
from flamingopond_bench.fleet import Fleet, FleetOptions
from flamingopond_bench.path_cost import process_cpu_s

_SETTLE_S = 8.0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB (10**6 bytes)."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def private_mb(pid: int) -> float:
    """Return the memory that a process shares with no other process, in MB."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    kb = sum(int(line.split()[1]) for line in lines if line.startswith("Private_"))
    return kb * 1024 / 1e6


async def measure_fleet(example: Path, daemons: int, seconds: float) -> dict[str, Any]:
    """Run ``daemons`` without requests from callers and return their resource use.

    It is measured over ``seconds``. Bytes include both directions. Memory, CPU time
    and bytes are medians over the daemons; rates of the table and of the VM list are
    those of the whole fleet.
    """
    with tempfile.TemporaryDirectory(prefix="capacity-") as name:
        directory = Path(name)
        options = FleetOptions(
            daemons=daemons,
            log_level="warning",
            daemon_command=("-m", "flamingopond_bench.capacity_daemon"),
        )
        fleet = Fleet(example, directory, options)
        os.environ["FLAMINGOPOND_BYTE_COUNTS"] = str(directory / "bytes")
        os.environ["FLAMINGOPOND_PORTS"] = orjson.dumps(_port_classes(fleet)).decode()
        try:
            await Demo(fleet).start()
            # After the start, shards move to the new nodes, 4 a second to each.
            await anyio.sleep(_SETTLE_S)
            return await _measure_idle(fleet, directory, seconds)
        finally:
            await fleet.stop()


async def _measure_idle(
    fleet: Fleet, directory: Path, seconds: float
) -> dict[str, Any]:
    pids = [fleet.processes[d.name].popen.pid for d in fleet.daemons]

    async def sample() -> tuple[float, list[float], list[Any], Any, Any]:
        counts = [
            orjson.loads((directory / f"bytes.{pid}").read_bytes()) for pid in pids
        ]
        table, vms = await fleet.records("table"), await fleet.records("vms")
        return time.monotonic(), [process_cpu_s(p) for p in pids], counts, table, vms

    started, cpu_s, counts, table, vms = await sample()
    await anyio.sleep(seconds)
    ended, cpu_s_after, counts_after, table_after, vms_after = await sample()
    elapsed_s = ended - started
    port_classes = sorted(
        {port_class for count in counts_after for port_class in count}
    )
    bytes_per_s = {
        port_class: statistics.median(
            (sum(after.get(port_class, (0, 0))) - sum(before.get(port_class, (0, 0))))
            / elapsed_s
            for before, after in zip(counts, counts_after, strict=True)
        )
        for port_class in port_classes
    }
    cpu_fractions = [
        (b - a) / elapsed_s for a, b in zip(cpu_s, cpu_s_after, strict=True)
    ]
    return {
        "daemons": len(pids),
        "seconds": round(elapsed_s, 1),
        "resident_mb": round(statistics.median(map(resident_mb, pids)), 2),
        "private_mb": round(statistics.median(map(private_mb, pids)), 2),
        "cpu_share": round(statistics.median(cpu_fractions), 5),
        "bytes_per_s": {
            port_class: round(rate, 1) for port_class, rate in bytes_per_s.items()
        },
        "table_reads_per_s": round(
            (table_after["reads"] - table["reads"]) / elapsed_s, 2
        ),
        "table_writes_per_s": round(
            (table_after["writes"] - table["writes"]) / elapsed_s, 2
        ),
        "vm_list_reads_per_s": round(
            (vms_after["reads"] - vms["reads"]) / elapsed_s, 2
        ),
    }


def _port_classes(fleet: Fleet) -> dict[str, str]:
    class_by_address = {address: name for name, address in fleet.platform.items()}
    class_by_address |= {e.address: "engines" for e in fleet.engines.values()}
    for service in fleet.services.values():
        class_by_address |= dict.fromkeys(service.addresses, "services")
    for daemon in fleet.daemons:
        class_by_address |= {
            daemon.peers: "peers",
            daemon.callers: "callers",
            daemon.operators: "operators",
        }
    return {
        address.rpartition(":")[2]: name for address, name in class_by_address.items()
    }
