"""Generates the tables of docs/CAPACITY.md from docs/capacity.json.

Each table is written between its begin and end markers in the page.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from flamingopond_bench.capacity_sizes import DESIGN_SIZE

_BLOCK = re.compile(
    r"(<!-- begin (?P<name>[a-z-]+) -->\n).*?(<!-- end (?P=name) -->)", re.DOTALL
)


def render(page: str, data: Mapping[str, Any]) -> str:
    """Return ``page`` with all generated blocks replaced by tables of ``data``."""

    def replace_block(match: re.Match[str]) -> str:
        return f"{match[1]}\n{TABLES[match['name']](data)}\n{match[3]}"

    return _BLOCK.sub(replace_block, page)


def write_tables(path: Path, data: Mapping[str, Any]) -> None:
    """Regenerate the tables in the page at ``path``."""
    path.write_text(render(path.read_text(), data))


def _markdown_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [header, ["---"] * len(header), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines) + "\n"


def _format_number(value: float) -> str:
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _budget_table(data: Mapping[str, Any]) -> str:
    rows = []
    for current, design in zip(
        data["worked_out"]["today"]["budgets"],
        data["worked_out"]["design"]["budgets"],
        strict=True,
    ):
        rows.append(
            [
                design["line"],
                f"{_format_number(design['budget'])} {design['unit']}",
                _format_number(current["value"]),
                _format_number(design["value"]),
                f"{100 * design['share']:,.0f} %",
                "**over**" if design["share"] > 1 else "within",
                design["basis"],
            ]
        )
    header = ("line", "budget", "9 nodes", "400 nodes", "share", "state", "basis")
    return _markdown_table(header, rows)


def _cost_table(name: str) -> Callable[[Mapping[str, Any]], str]:
    def table(data: Mapping[str, Any]) -> str:
        rows = [
            [
                cost["role"],
                cost["state"],
                _format_number(100 * cost["cpu"]),
                _format_number(cost["memory_mb"]),
                _format_number(cost["bytes_per_s"]),
                _format_number(cost["messages"]),
                _format_number(cost["reads"]),
                _format_number(cost["writes"]),
                cost["how"],
            ]
            for cost in data["worked_out"][name]["costs"]
        ]
        header = (
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
        return _markdown_table(header, rows)

    return table


def _data_path_table(data: Mapping[str, Any]) -> str:
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
    return _markdown_table(("figure", "value", "basis"), rows)


def _fleet_table(data: Mapping[str, Any]) -> str:
    kinds = ("peers", "table", "vms", "engines")
    rows = [
        [
            str(fleet["daemons"]),
            f"{fleet['resident_mb']:.1f}",
            f"{fleet['private_mb']:.1f}",
            f"{100 * fleet['cpu_share']:.2f}",
            *(_format_number(fleet["bytes_per_s"].get(kind, 0.0)) for kind in kinds),
            f"{fleet['table_reads_per_s']:.1f}",
            f"{fleet['table_writes_per_s']:.1f}",
            f"{fleet['vm_list_reads_per_s']:.1f}",
        ]
        for fleet in data["measured"]["fleets"]
    ]
    header = (
        "daemons",
        "resident MB",
        "private MB",
        "idle CPU, % of a core",
        *(f"{kind}, bytes/s" for kind in kinds),
        "table reads/s (all)",
        "table writes/s (all)",
        "VM list reads/s (all)",
    )
    return _markdown_table(header, rows)


def _scale_and_unit(name: str) -> tuple[float, str]:
    return (1.0, "bytes") if name.endswith("_bytes") else (1e3, "ms")


def _slope_table(data: Mapping[str, Any]) -> str:
    modules = data["measured"]["modules"]
    rows = []
    for name, slope in data["worked_out"]["slopes"].items():
        scale, unit = _scale_and_unit(name)
        rows.append(
            [
                f"`{name}`",
                unit,
                *(_format_number(scale * m[name]) for m in modules),
                _format_number(scale * slope["intercept"]),
                _format_number(scale * slope["slope"]),
                f"{slope['r_squared']:.3f}",
            ]
        )
    sizes = [str(m["nodes"]) for m in modules]
    header = ("figure", "unit", *sizes, "at 0", "per node", "R²")
    return _markdown_table(header, rows)


def _memory_table(data: Mapping[str, Any]) -> str:
    slopes = data["worked_out"]["memory_slopes"]
    rows = [
        [
            f"`{kind}`",
            *(_format_number(value) for value in values),
            _format_number(slopes[kind]["intercept"]),
            _format_number(slopes[kind]["slope"]),
            f"{slopes[kind]['r_squared']:.3f}",
        ]
        for kind, values in data["measured"]["memory_mb"].items()
    ]
    sizes = [f"{m['nodes']} nodes" for m in data["measured"]["modules"]]
    return _markdown_table(("state, MB", *sizes, "at 0", "per node", "R²"), rows)


def _dissemination_table(data: Mapping[str, Any]) -> str:
    rows = [
        [
            f"{s['nodes']:.0f}",
            f"{s['engines']:,.0f}",
            f"{100 * s['known_share']:.0f} %",
            _format_number(s["sent_bytes_per_s"]),
        ]
        for s in data["measured"]["spread"]
    ]
    return _markdown_table(
        ("nodes", "engines", "known to a node", "sent, bytes/s"), rows
    )


def _event_table(data: Mapping[str, Any]) -> str:
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
            _format_number(event["peak_reads_per_s"]),
            _format_number(event["peak_writes_per_s"]),
            _format_number(event["peak_messages_per_s"] / event["nodes"]),
        ]
        for event in data["measured"]["events"]
    ]
    header = (
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
    return _markdown_table(header, rows)


def _rebuild_table(data: Mapping[str, Any]) -> str:
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
    header = (
        "models",
        "keys",
        "engines",
        "snapshot, MB",
        "full rebuild, ms",
        "incremental apply, us",
        "ratio",
    )
    return _markdown_table(header, rows)


def _predict_at_design(data: Mapping[str, Any], name: str) -> float:
    """Return the fitted value of a measurement at the design size."""
    line = data["worked_out"]["slopes"][name]
    nodes = data["worked_out"]["design"]["nodes"]
    return float(line["intercept"] + line["slope"] * nodes)


def _start_table(data: Mapping[str, Any]) -> str:
    digest_bytes = _predict_at_design(data, "digest_bytes") * DESIGN_SIZE.engines
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
            f"{_predict_at_design(data, bytes_key) / 1e6:.2f} MB" if bytes_key else "0",
            f"{_predict_at_design(data, cpu_key):.3f} s",
        ]
        for label, bytes_key, cpu_key in rows
    ]
    receive_cpu_s = _predict_at_design(data, "receive_cpu") * DESIGN_SIZE.engines
    lines.append(
        ["engine digests", f"{digest_bytes / 1e6:.2f} MB", f"{receive_cpu_s:.3f} s"]
    )
    return _markdown_table(
        ("what a starting node of 400 takes in", "bytes", "CPU"), lines
    )


def _burst_table(data: Mapping[str, Any]) -> str:
    changes, peers = 50, DESIGN_SIZE.nodes - 1
    # One end of an exchange among few members, without what 400 members add to it.
    call_cpu_s = data["worked_out"]["slopes"]["gossip_exchange_cpu"]["intercept"] / 2
    change_bytes = _predict_at_design(data, "change_bytes")
    apply_cpu_s = _predict_at_design(data, "apply_cpu")
    pushes = changes * peers
    rows = [
        ["table commits, one after the other", str(changes)],
        ["pushes of the node that commits them", f"{pushes:,}"],
        ["CPU of that node", f"{pushes * call_cpu_s:.1f} s"],
        ["bytes that it sends", f"{pushes * change_bytes / 1e6:.1f} MB"],
        [
            "CPU of each other node",
            f"{1e3 * changes * (call_cpu_s + apply_cpu_s):.0f} ms",
        ],
        [
            "bytes that each other node receives",
            f"{changes * change_bytes / 1e3:.0f} KB",
        ],
    ]
    return _markdown_table(
        ("50 changes in one second at 400 nodes", "worked out"), rows
    )


TABLES: Mapping[str, Callable[[Mapping[str, Any]], str]] = {
    "budgets": _budget_table,
    "costs-design": _cost_table("design"),
    "costs-today": _cost_table("today"),
    "data-path": _data_path_table,
    "fleets": _fleet_table,
    "slopes": _slope_table,
    "memory": _memory_table,
    "spread": _dissemination_table,
    "events": _event_table,
    "rebuild": _rebuild_table,
    "start": _start_table,
    "burst": _burst_table,
}
