"""Plots the main measurements and their fits as reproducible SVG files."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
from matplotlib.figure import Figure

from flamingopond_bench.capacity_fit import LinearFit

# File name, title, unit, scale from the measured unit, and measurements shown.
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
    # With a fixed salt and without a date, equal data gives equal files.
    with mpl.rc_context({"svg.hashsalt": "capacity", "svg.fonttype": "none"}):
        modules, slopes = data["measured"]["modules"], data["worked_out"]["slopes"]
        nodes = [m["nodes"] for m in modules]
        for name, title, unit, scale, keys in _PLOTS:
            points = {key: [m[key] * scale for m in modules] for key in keys}
            fits = {key: slopes[key] for key in keys}
            _write_plot(docs / name, title, unit, nodes, points, fits, scale)
        memory = data["measured"]["memory_mb"]
        fits = data["worked_out"]["memory_slopes"]
        path = docs / "capacity-memory.svg"
        _write_plot(path, "Resident memory", "MB", nodes, memory, fits, 1.0)


def _write_plot(
    path: Path,
    title: str,
    unit: str,
    nodes: Sequence[int],
    points: Mapping[str, Sequence[float]],
    fits: Mapping[str, Mapping[str, float]],
    scale: float,
) -> None:
    figure = Figure(figsize=(7, 4))
    axes = figure.subplots()
    for key, values in points.items():
        (markers,) = axes.plot(nodes, values, "o")
        fit = LinearFit(**fits[key])
        label = f"{key} (R² {fit.r_squared:.2f})"
        axes.plot(
            nodes,
            [fit.predict(n) * scale for n in nodes],
            color=markers.get_color(),
            label=label,
        )
    axes.set_title(title)
    axes.set_xlabel("nodes (30 engines and 4.5 models each)")
    axes.set_ylabel(unit)
    axes.legend(fontsize="x-small")
    figure.savefig(path, format="svg", metadata={"Date": None})
