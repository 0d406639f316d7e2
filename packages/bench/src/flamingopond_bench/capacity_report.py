"""Tables of docs/CAPACITY.md, made from docs/capacity.json between markers."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from flamingopond_bench.capacity_sizes import DESIGN

_BLOCK = re.compile(
    r"(<!-- begin (?P<name>[a-z-]+) -->\n).*?(<!-- end (?P=name) -->)", re.DOTALL
)


def render(page: str, data: Mapping[str, Any]) -> str:
    """Return ``page`` with all generated blocks made from ``data``."""

    def block(match: re.Match[str]) -> str:
        return f"{match[1]}\n{TABLES[match['name']](data)}\n{match[3]}"

    return _BLOCK.sub(block, page)


def write_tables(path: Path, data: Mapping[str, Any]) -> None:
    """Make the generated blocks of the page anew."""
    path.write_text(render(path.read_text(), data))


def _table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def _number(value: float) -> str:
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _budgets(data: Mapping[str, Any]) -> str:
    rows = []
    for now, later in zip(
        data["worked_out"]["today"]["budgets"],
        data["worked_out"]["design"]["budgets"],
        strict=True,
    ):
        rows.append(
            [
                later["line"],
                f"{_number(later['budget'])} {later['unit']}",
                _number(now["value"]),
                _number(later["value"]),
                f"{100 * later['share']:,.0f} %",
                "**over**" if later["share"] > 1 else "within",
                later["basis"],
            ]
        )
    head = ("line", "budget", "9 nodes", "400 nodes", "share", "state", "basis")
    return _table(head, rows)


def _costs(name: str) -> Callable[[Mapping[str, Any]], str]:
    def table(data: Mapping[str, Any]) -> str:
        rows = [
            [
                cost["role"],
                cost["state"],
                _number(100 * cost["cpu"]),
                _number(cost["memory_mb"]),
                _number(cost["bytes_per_s"]),
                _number(cost["messages"]),
                _number(cost["reads"]),
                _number(cost["writes"]),
                cost["how"],
            ]
            for cost in data["worked_out"][name]["costs"]
        ]
        head = (
            "role",
            "state",
            "CPU, % of a core",
            "MB",
            "bytes/s",
            "peer messages/s",
            "table reads/s",
            "table writes/s",
            "how",
        )
        return _table(head, rows)

    return table


def _path(data: Mapping[str, Any]) -> str:
    targets = data["measured"]["targets"]
    path = data["worked_out"]["design"]["data_path"]
    rows = [
        ["CPU of a request", f"{1e3 * targets['request_cpu']:.2f} ms", "measured"],
        ["CPU of a chunk", f"{1e6 * targets['chunk_cpu']:.0f} us", "measured"],
        [
            "time added to the first chunk",
            f"{1e3 * targets['first_chunk_added_s']:.1f} ms",
            "measured, 16 requests at once",
        ],
        [
            "cores of one node",
            f"{path['cores']:.2f}",
            f"worked out: {path['requests_per_s']:.2f} requests/s and "
            f"{path['tokens_per_s']:,.0f} chunks/s",
        ],
        [
            "cores of 400 nodes",
            f"{400 * path['cores']:,.0f}",
            "worked out; a daemon has one thread",
        ],
    ]
    return _table(("figure", "value", "basis"), rows)


def _fleets(data: Mapping[str, Any]) -> str:
    kinds = ("peers", "table", "vms", "engines")
    rows = [
        [
            str(fleet["daemons"]),
            f"{fleet['resident_mb']:.1f}",
            f"{fleet['private_mb']:.1f}",
            f"{100 * fleet['cpu_share']:.2f}",
            *(_number(fleet["bytes_per_s"].get(kind, 0.0)) for kind in kinds),
            f"{fleet['table_reads_per_s']:.1f}",
            f"{fleet['table_writes_per_s']:.1f}",
            f"{fleet['vm_list_reads_per_s']:.1f}",
        ]
        for fleet in data["measured"]["fleets"]
    ]
    head = (
        "daemons",
        "resident MB",
        "private MB",
        "idle CPU, % of a core",
        *(f"{kind}, bytes/s" for kind in kinds),
        "table reads/s (all)",
        "table writes/s (all)",
        "VM list reads/s (all)",
    )
    return _table(head, rows)


def _unit(name: str) -> tuple[float, str]:
    return (1.0, "bytes") if name.endswith("_bytes") else (1e3, "ms")


def _slopes(data: Mapping[str, Any]) -> str:
    modules = data["measured"]["modules"]
    rows = []
    for name, slope in data["worked_out"]["slopes"].items():
        scale, unit = _unit(name)
        rows.append(
            [
                f"`{name}`",
                unit,
                *(_number(scale * m[name]) for m in modules),
                _number(scale * slope["intercept"]),
                _number(scale * slope["slope"]),
                f"{slope['r_squared']:.3f}",
            ]
        )
    sizes = [str(m["nodes"]) for m in modules]
    head = ("figure", "unit", *sizes, "at 0", "per node", "R²")
    return _table(head, rows)


def _memory(data: Mapping[str, Any]) -> str:
    slopes = data["worked_out"]["memory_slopes"]
    rows = [
        [
            f"`{kind}`",
            *(_number(value) for value in values),
            _number(slopes[kind]["intercept"]),
            _number(slopes[kind]["slope"]),
            f"{slopes[kind]['r_squared']:.3f}",
        ]
        for kind, values in data["measured"]["memory_mb"].items()
    ]
    sizes = [f"{m['nodes']} nodes" for m in data["measured"]["modules"]]
    return _table(("state, MB", *sizes, "at 0", "per node", "R²"), rows)


def _spread(data: Mapping[str, Any]) -> str:
    rows = [
        [
            f"{s['nodes']:.0f}",
            f"{s['engines']:,.0f}",
            f"{100 * s['known_share']:.0f} %",
            _number(s["sent_bytes_per_s"]),
        ]
        for s in data["measured"]["spread"]
    ]
    return _table(("nodes", "engines", "known to a node", "sent, bytes/s"), rows)


def _events(data: Mapping[str, Any]) -> str:
    rows = [
        [
            event["event"],
            str(event["nodes"]),
            str(event["shards"]),
            str(event["shards_without_owner_peak"]),
            f"{event['seconds_until_all_owned']:.0f} s"
            if not event["shards_without_owner_at_end"]
            else f"not in {event['seconds_observed']} s",
            f"{event['seconds_until_last_move']:.0f} s",
            _number(event["peak_reads_per_s"]),
            _number(event["peak_writes_per_s"]),
            _number(event["peak_messages_per_s"] / event["nodes"]),
        ]
        for event in data["measured"]["events"]
    ]
    head = (
        "event",
        "nodes",
        "shards",
        "most without owner",
        "all owned after",
        "last move after",
        "peak reads/s",
        "peak writes/s",
        "peak messages/s a node",
    )
    return _table(head, rows)


def _rebuild(data: Mapping[str, Any]) -> str:
    rows = [
        [
            str(m["models"]),
            str(m["keys"]),
            str(m["engines"]),
            f"{m['snapshot_bytes'] / 1e6:.2f}",
            f"{1e3 * m['rebuild_cpu']:.1f}",
            f"{1e6 * m['apply_cpu']:.1f}",
            f"{m['rebuild_cpu'] / m['apply_cpu']:,.0f}",
        ]
        for m in data["measured"]["modules"]
    ]
    head = (
        "models",
        "keys",
        "engines",
        "snapshot, MB",
        "full rebuild, ms",
        "incremental apply, us",
        "ratio",
    )
    return _table(head, rows)


def _design(data: Mapping[str, Any], name: str) -> float:
    """Return a slope's value at the design size, or the fitted memory's."""
    line = data["worked_out"]["slopes"][name]
    nodes = data["worked_out"]["design"]["nodes"]
    return float(line["intercept"] + line["slope"] * nodes)


def _start(data: Mapping[str, Any]) -> str:
    digests = _design(data, "digest_bytes") * DESIGN.engines
    rows = [
        ["configuration snapshot", "snapshot_bytes", "rebuild_cpu"],
        ["shard rows", "shard_rows_bytes", "shard_rows_cpu"],
        ["node rows", "node_rows_bytes", "node_rows_cpu"],
        ["list of VMs", "vm_list_bytes", "vm_list_cpu"],
        ["desired owners of all shards", "", "desired_owners_first_cpu"],
    ]
    lines = [
        [
            label,
            f"{_design(data, size) / 1e6:.2f} MB" if size else "0",
            f"{_design(data, cpu):.3f} s",
        ]
        for label, size, cpu in rows
    ]
    spent = _design(data, "receive_cpu") * DESIGN.engines
    lines.append(["engine digests", f"{digests / 1e6:.2f} MB", f"{spent:.3f} s"])
    return _table(("what a starting node of 400 takes in", "bytes", "CPU"), lines)


def _burst(data: Mapping[str, Any]) -> str:
    changes, peers = 50, DESIGN.nodes - 1
    # Both ends of an exchange among few members, less what 400 members add to it.
    call = data["worked_out"]["slopes"]["gossip_exchange_cpu"]["intercept"] / 2
    size = _design(data, "change_bytes")
    apply = _design(data, "apply_cpu")
    pushes = changes * peers
    rows = [
        ["table commits, one after the other", str(changes)],
        ["pushes of the node that commits them", f"{pushes:,}"],
        ["CPU of that node", f"{pushes * call:.1f} s"],
        ["bytes that it sends", f"{pushes * size / 1e6:.1f} MB"],
        ["CPU of each other node", f"{1e3 * changes * (call + apply):.0f} ms"],
        ["bytes that each other node receives", f"{changes * size / 1e3:.0f} KB"],
    ]
    return _table(("50 changes in one second at 400 nodes", "worked out"), rows)


TABLES: Mapping[str, Callable[[Mapping[str, Any]], str]] = {
    "budgets": _budgets,
    "costs-design": _costs("design"),
    "costs-today": _costs("today"),
    "data-path": _path,
    "fleets": _fleets,
    "slopes": _slopes,
    "memory": _memory,
    "spread": _spread,
    "events": _events,
    "rebuild": _rebuild,
    "start": _start,
    "burst": _burst,
}
