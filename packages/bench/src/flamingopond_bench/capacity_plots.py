"""Plots of the slopes that matter, as SVG with the same bytes for the same data."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
from matplotlib.figure import Figure

from flamingopond_bench.capacity_fit import Slope

# Name of the plot, title, unit, scale, and the slopes shown.
_PLOTS: Sequence[tuple[str, str, str, float, Sequence[str]]] = (
    (
        "capacity-cpu.svg",
        "CPU time of one operation",
        "ms",
        1e3,
        (
            "gossip_exchange_cpu",
            "plan_cpu",
            "publish_cpu",
            "lookup_after_change_cpu",
            "vm_list_cpu",
            "placement_plan_cpu",
        ),
    ),
    (
        "capacity-start.svg",
        "CPU time of one-time work at a start",
        "s",
        1.0,
        ("desired_owners_first_cpu", "rebuild_cpu"),
    ),
)


def write_plots(docs: Path, data: Mapping[str, Any]) -> None:
    """Write all plots to ``docs``."""
    # A fixed salt and no date keep the files equal from run to run.
    with mpl.rc_context({"svg.hashsalt": "capacity", "svg.fonttype": "none"}):
        modules, slopes = data["measured"]["modules"], data["worked_out"]["slopes"]
        nodes = [m["nodes"] for m in modules]
        for name, title, unit, scale, shown in _PLOTS:
            points = {key: [m[key] * scale for m in modules] for key in shown}
            lines = {key: slopes[key] for key in shown}
            _write(docs / name, title, unit, nodes, points, lines, scale)
        memory = data["measured"]["memory_mb"]
        lines = data["worked_out"]["memory_slopes"]
        path = docs / "capacity-memory.svg"
        _write(path, "Resident memory", "MB", nodes, memory, lines, 1.0)


def _write(
    path: Path,
    title: str,
    unit: str,
    nodes: Sequence[int],
    points: Mapping[str, Sequence[float]],
    lines: Mapping[str, Mapping[str, float]],
    scale: float,
) -> None:
    figure = Figure(figsize=(7, 4))
    axes = figure.subplots()
    for key, values in points.items():
        (drawn,) = axes.plot(nodes, values, "o")
        line = Slope(**lines[key])
        label = f"{key} (R² {line.r_squared:.2f})"
        axes.plot(
            nodes,
            [line.at(n) * scale for n in nodes],
            color=drawn.get_color(),
            label=label,
        )
    axes.set_title(title)
    axes.set_xlabel("nodes (30 engines and 4.5 models each)")
    axes.set_ylabel(unit)
    axes.legend(fontsize="x-small")
    figure.savefig(path, format="svg", metadata={"Date": None})
