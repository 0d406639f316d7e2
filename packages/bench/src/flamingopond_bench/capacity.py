"""Measures what the daemons cost, and writes docs/capacity.json and its tables.

Run with ``make capacity``; ``QUICK=1`` uses smaller fleets and fewer events.
``--render`` only makes tables and plots anew from the file.
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

from flamingopond_bench.capacity_budget import Work, budget_lines
from flamingopond_bench.capacity_events import run_event
from flamingopond_bench.capacity_fit import fit
from flamingopond_bench.capacity_fleet import measure_fleet
from flamingopond_bench.capacity_memory import KINDS, measure_memory
from flamingopond_bench.capacity_modules import measure_size
from flamingopond_bench.capacity_plots import write_plots
from flamingopond_bench.capacity_report import write_tables
from flamingopond_bench.capacity_sizes import DESIGN, SIZES, Size
from flamingopond_bench.capacity_spread import measure_spread
from flamingopond_bench.capacity_targets import measure_path, measure_poll

_COUNTS = ("nodes", "engines", "models", "workspaces", "keys")
# Today's deployments have 8 to 9 nodes.
TODAY = Size(9)
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
class Plan:
    """What one run measures."""

    daemons: Sequence[int]
    idle_s: float
    path_rounds: int
    spread: Sequence[int]
    events: Sequence[tuple[str, int]]


QUICK = Plan((3, 9, 20), 10.0, 1, (10, 25), _QUICK_EVENTS)
FULL = Plan((3, 9, 20, 40), 20.0, 2, (10, 25, 50, 100), _FULL_EVENTS)


def measure(plan: Plan, example: Path) -> dict[str, Any]:
    """Run all measurements."""
    fleets = []
    for daemons in plan.daemons:
        print(f"fleet of {daemons} daemons", flush=True)
        fleets.append(anyio.run(measure_fleet, example, daemons, plan.idle_s))
    print("engine poll and data path", flush=True)
    targets = anyio.run(measure_poll)
    targets |= anyio.run(measure_path, example, plan.path_rounds)
    print("modules, memory, gossip and events", flush=True)
    with ProcessPoolExecutor(max_workers=6) as pool:
        # Long ones first.
        spread = [pool.submit(measure_spread, Size(n)) for n in reversed(plan.spread)]
        events = [pool.submit(run_event, name, n) for name, n in reversed(plan.events)]
        modules = [pool.submit(measure_size, size) for size in SIZES]
        memory = {
            kind: [pool.submit(measure_memory, kind, size) for size in SIZES]
            for kind in KINDS
        }
        return {
            "fleets": fleets,
            "targets": targets,
            "modules": _results(modules),
            "memory_mb": {kind: _results(found) for kind, found in memory.items()},
            "spread": _results(spread)[::-1],
            "events": _results(events)[::-1],
        }


def _add_events(found: list[dict[str, Any]], wanted: Sequence[str]) -> None:
    """Measure the events ``name:nodes`` and put them into ``found``."""
    with ProcessPoolExecutor(max_workers=4) as pool:
        parts = [item.partition(":") for item in wanted]
        runs = [pool.submit(run_event, name, int(n)) for name, _, n in parts]
        for result in _results(runs):
            same = [e for e in found if _identity(e) == _identity(result)]
            for old in same:
                found.remove(old)
            found.append(result)


def _identity(event: dict[str, Any]) -> tuple[str, int]:
    return event["event"], event["nodes"]


def _results(futures: Sequence[Future[Any]]) -> list[Any]:
    return [future.result() for future in futures]


def work_out(measured: dict[str, Any]) -> dict[str, Any]:
    """Return slopes over the number of nodes, costs and budgets."""
    nodes = [float(size.nodes) for size in SIZES]
    first = measured["modules"][0]
    slopes = {
        name: attrs.asdict(fit(nodes, [m[name] for m in measured["modules"]]))
        for name in first
        if name not in _COUNTS
    }
    memory = {
        kind: attrs.asdict(fit(nodes, values))
        for kind, values in measured["memory_mb"].items()
    }
    found = {"slopes": slopes, "memory_slopes": memory, "targets": measured["targets"]}
    result: dict[str, Any] = {"slopes": slopes, "memory_slopes": memory}
    for name, size in (("today", TODAY), ("design", DESIGN)):
        work = Work(found, size)
        result[name] = {
            "nodes": size.nodes,
            "costs": [attrs.asdict(cost) for cost in work.costs()],
            "data_path": work.data_path(),
            "budgets": budget_lines(work, size),
        }
    return result


def main(
    quick: Annotated[bool, typer.Option(help="End within five minutes.")] = False,
    render: Annotated[bool, typer.Option(help="Only tables and plots.")] = False,
    event: Annotated[
        list[str] | None,
        typer.Option(help="Only measure an event, such as rack:400, and add it."),
    ] = None,
    example: Annotated[Path, typer.Option()] = Path("examples/trust.ini"),
    docs: Annotated[Path, typer.Option()] = Path("docs"),
) -> None:
    """Measure, fit, and write docs/capacity.json, tables and plots."""
    path = docs / "capacity.json"
    if render or event:
        measured = orjson.loads(path.read_bytes())["measured"]
        _add_events(measured["events"], event or [])
    else:
        measured = measure(QUICK if quick else FULL, example)
        measured["quick"] = quick
        measured["cores"] = os.cpu_count()
    data = {"measured": measured, "worked_out": work_out(measured)}
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    path.write_bytes(orjson.dumps(data, option=options) + b"\n")
    # Rendered from the file, as the test does.
    data = orjson.loads(path.read_bytes())
    write_tables(docs / "CAPACITY.md", data)
    write_plots(docs, data)


run = functools.partial(typer.run, main)

if __name__ == "__main__":
    run()
