"""Measures the resource use of daemons; writes docs/capacity.json and its tables.

Run with ``make capacity``; ``QUICK=1`` uses smaller fleets and fewer events.
``--render`` only regenerates tables and plots from the file.
"""

from __future__ import annotations

import functools
import os
from collections.abc import Sequence
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path
from typing import Annotated, Any

import anyio
import attrs
import orjson
import typer

from flamingopond_bench.capacity_budget import CostModel, budget_lines
from flamingopond_bench.capacity_data_path import measure_data_path, measure_engine_poll
from flamingopond_bench.capacity_dissemination import measure_dissemination
from flamingopond_bench.capacity_events import run_event
from flamingopond_bench.capacity_fit import fit_line
from flamingopond_bench.capacity_fleet import measure_fleet
from flamingopond_bench.capacity_memory import STATE_KINDS, measure_memory
from flamingopond_bench.capacity_modules import measure_size
from flamingopond_bench.capacity_plots import write_plots
from flamingopond_bench.capacity_report import write_tables
from flamingopond_bench.capacity_sizes import DESIGN_SIZE, SIZES, FleetSize

_SIZE_KEYS = ("nodes", "engines", "models", "workspaces", "keys")
# Current deployments have 8 to 9 nodes.
CURRENT_SIZE = FleetSize(9)
_QUICK_EVENTS = (
    *((name, 25) for name in ("restart", "rack", "zone", "region", "cold", "outage")),
    *((name, 50) for name in ("restart", "rack", "zone", "region", "cold")),
    ("rack", 100),
    ("zone", 100),
)
_FULL_EVENTS = (
    *_QUICK_EVENTS,
    ("long_outage", 25),
    *((name, 100) for name in ("restart", "region", "cold", "outage")),
    *((name, 400) for name in ("restart", "rack", "zone")),
)


@attrs.frozen
class MeasurementPlan:
    """The fleets, sizes and events that one run measures."""

    fleet_sizes: Sequence[int]
    idle_s: float
    data_path_rounds: int
    dissemination_sizes: Sequence[int]
    event_runs: Sequence[tuple[str, int]]


QUICK = MeasurementPlan((3, 9, 20), 10.0, 1, (10, 25), _QUICK_EVENTS)
FULL = MeasurementPlan((3, 9, 20, 40), 20.0, 2, (10, 25, 50, 100), _FULL_EVENTS)


def measure(plan: MeasurementPlan, example: Path) -> dict[str, Any]:
    """Run all measurements."""
    fleets = []
    for daemons in plan.fleet_sizes:
        print(f"fleet of {daemons} daemons", flush=True)
        fleets.append(anyio.run(measure_fleet, example, daemons, plan.idle_s))
    print("engine poll and data path", flush=True)
    targets = anyio.run(measure_engine_poll)
    targets |= anyio.run(measure_data_path, example, plan.data_path_rounds)
    print("modules, memory, gossip and events", flush=True)
    with ProcessPoolExecutor(max_workers=6) as pool:
        # The longest measurements start first.
        dissemination = [
            pool.submit(measure_dissemination, FleetSize(n))
            for n in reversed(plan.dissemination_sizes)
        ]
        events = [
            pool.submit(run_event, name, n) for name, n in reversed(plan.event_runs)
        ]
        modules = [pool.submit(measure_size, size) for size in SIZES]
        memory = {
            kind: [pool.submit(measure_memory, kind, size) for size in SIZES]
            for kind in STATE_KINDS
        }
        return {
            "fleets": fleets,
            "targets": targets,
            "modules": _collect(modules),
            "memory_mb": {kind: _collect(futures) for kind, futures in memory.items()},
            "spread": _collect(dissemination)[::-1],
            "events": _collect(events)[::-1],
        }


def _add_events(events: list[dict[str, Any]], wanted: Sequence[str]) -> None:
    """Measure the events ``name:nodes`` and add them to ``events``.

    Earlier results of the same event and size are replaced.
    """
    with ProcessPoolExecutor(max_workers=4) as pool:
        parts = [item.partition(":") for item in wanted]
        futures = [pool.submit(run_event, name, int(n)) for name, _, n in parts]
        for result in _collect(futures):
            replaced = [e for e in events if _event_key(e) == _event_key(result)]
            for old in replaced:
                events.remove(old)
            events.append(result)


def _event_key(event: dict[str, Any]) -> tuple[str, int]:
    return event["event"], event["nodes"]


def _collect(futures: Sequence[Future[Any]]) -> list[Any]:
    return [future.result() for future in futures]


def extrapolate(measured: dict[str, Any]) -> dict[str, Any]:
    """Return linear fits over the number of nodes, and costs and budgets from them."""
    nodes = [float(size.nodes) for size in SIZES]
    first = measured["modules"][0]
    slopes = {
        name: attrs.asdict(fit_line(nodes, [m[name] for m in measured["modules"]]))
        for name in first
        if name not in _SIZE_KEYS
    }
    memory = {
        kind: attrs.asdict(fit_line(nodes, values))
        for kind, values in measured["memory_mb"].items()
    }
    fits = {"slopes": slopes, "memory_slopes": memory, "targets": measured["targets"]}
    result: dict[str, Any] = {"slopes": slopes, "memory_slopes": memory}
    for name, size in (("today", CURRENT_SIZE), ("design", DESIGN_SIZE)):
        model = CostModel(fits, size)
        result[name] = {
            "nodes": size.nodes,
            "costs": [attrs.asdict(cost) for cost in model.costs()],
            "data_path": model.data_path(),
            "budgets": budget_lines(model, size),
        }
    return result


def main(
    quick: Annotated[bool, typer.Option(help="Finish within five minutes.")] = False,
    render: Annotated[
        bool, typer.Option(help="Only regenerate tables and plots.")
    ] = False,
    event: Annotated[
        list[str] | None,
        typer.Option(help="Only measure an event, such as rack:400, and add it."),
    ] = None,
    example: Annotated[Path, typer.Option()] = Path("examples/trust.ini"),
    docs: Annotated[Path, typer.Option()] = Path("docs"),
) -> None:
    """Measure, extrapolate, and write docs/capacity.json, tables and plots."""
    path = docs / "capacity.json"
    if render or event:
        measured = orjson.loads(path.read_bytes())["measured"]
        _add_events(measured["events"], event or [])
    else:
        measured = measure(QUICK if quick else FULL, example)
        measured["quick"] = quick
        measured["cores"] = os.cpu_count()
    data = {"measured": measured, "worked_out": extrapolate(measured)}
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    path.write_bytes(orjson.dumps(data, option=options) + b"\n")
    # Render from the file, as the test of the page does.
    data = orjson.loads(path.read_bytes())
    write_tables(docs / "CAPACITY.md", data)
    write_plots(docs, data)


run = functools.partial(typer.run, main)

if __name__ == "__main__":
    run()
