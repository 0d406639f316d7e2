"""Idle cost of real daemons in fleets of a few sizes."""

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
from flamingopond_bench.path_cost import process_cpu

_SETTLE_S = 8.0


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB (10**6 bytes)."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def private_mb(pid: int) -> float:
    """Return the memory of a process that it shares with no other, in MB."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    kb = sum(int(line.split()[1]) for line in lines if line.startswith("Private_"))
    return kb * 1024 / 1e6


async def measure_fleet(example: Path, daemons: int, seconds: float) -> dict[str, Any]:
    """Run ``daemons`` without callers' requests for ``seconds`` and return costs.

    Bytes count both directions. Each figure is the median over the daemons.
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
        os.environ["FLAMINGOPOND_PORTS"] = orjson.dumps(_ports(fleet)).decode()
        try:
            await Demo(fleet).start()
            # Shards move for a while after the start: 4 a second for each joiner.
            await anyio.sleep(_SETTLE_S)
            return await _idle(fleet, directory, seconds)
        finally:
            await fleet.stop()


async def _idle(fleet: Fleet, directory: Path, seconds: float) -> dict[str, Any]:
    pids = [fleet.processes[d.name].popen.pid for d in fleet.daemons]

    async def sample() -> tuple[float, list[float], list[Any], Any, Any]:
        counts = [
            orjson.loads((directory / f"bytes.{pid}").read_bytes()) for pid in pids
        ]
        table, vms = await fleet.records("table"), await fleet.records("vms")
        return time.monotonic(), [process_cpu(p) for p in pids], counts, table, vms

    begun, cpu, counts, table, vms = await sample()
    await anyio.sleep(seconds)
    ended, cpu_after, counts_after, table_after, vms_after = await sample()
    span = ended - begun
    kinds = sorted({kind for count in counts_after for kind in count})
    rates = {
        kind: statistics.median(
            (sum(after.get(kind, (0, 0))) - sum(before.get(kind, (0, 0)))) / span
            for before, after in zip(counts, counts_after, strict=True)
        )
        for kind in kinds
    }
    used = [(b - a) / span for a, b in zip(cpu, cpu_after, strict=True)]
    return {
        "daemons": len(pids),
        "seconds": round(span, 1),
        "resident_mb": round(statistics.median(map(resident_mb, pids)), 2),
        "private_mb": round(statistics.median(map(private_mb, pids)), 2),
        "cpu_share": round(statistics.median(used), 5),
        "bytes_per_s": {kind: round(rate, 1) for kind, rate in rates.items()},
        "table_reads_per_s": round((table_after["reads"] - table["reads"]) / span, 2),
        "table_writes_per_s": round(
            (table_after["writes"] - table["writes"]) / span, 2
        ),
        "vm_list_reads_per_s": round((vms_after["reads"] - vms["reads"]) / span, 2),
    }


def _ports(fleet: Fleet) -> dict[str, str]:
    addresses = {address: name for name, address in fleet.platform.items()}
    addresses |= {e.address: "engines" for e in fleet.engines.values()}
    for service in fleet.services.values():
        addresses |= dict.fromkeys(service.addresses, "services")
    for daemon in fleet.daemons:
        addresses |= {
            daemon.peers: "peers",
            daemon.callers: "callers",
            daemon.operators: "operators",
        }
    return {address.rpartition(":")[2]: name for address, name in addresses.items()}
