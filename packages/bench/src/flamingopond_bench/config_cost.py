"""Measures the cost of a configuration change at a given size.

Run as ``python -m flamingopond_bench.config_cost``. A full rebuild parses a
snapshot and builds all indexes; an incremental change is decoded from a change set
and applied, as a daemon does for each revision.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from hashlib import sha256
from typing import Annotated

import typer

from flamingopond_core.configuration import (
    Change,
    ChangeSet,
    Configuration,
    Contract,
    Key,
    Model,
)
from flamingopond_core.enums import ObjectKind, Priority


def make_changes(models: int, keys: int, workspaces: int) -> list[Change]:
    """Return changes that create a configuration of the given size."""
    changes = [
        Change(
            ObjectKind.CONTRACT,
            f"w{i}",
            Contract(f"w{i}", Priority.STANDARD, 100.0, 1000.0),
        )
        for i in range(workspaces)
    ]
    changes += [
        Change(ObjectKind.MODEL, f"m{i}", Model(f"m{i}", "1", 8000, 100.0))
        for i in range(models)
    ]
    changes += [
        make_key_change(f"k{i}", f"w{i % workspaces}", "first") for i in range(keys)
    ]
    return changes


def make_key_change(key_id: str, workspace: str, salt: str) -> Change:
    """Return a change that creates or replaces an API key."""
    digest = sha256(f"{salt} {key_id}".encode()).hexdigest()
    return Change(ObjectKind.KEY, key_id, Key(key_id, workspace, digest))


def median_ms(function: Callable[[int], object], rounds: int) -> float:
    """Return the median duration of ``rounds`` calls in milliseconds."""
    times = []
    for round_number in range(rounds):
        started = time.perf_counter()
        function(round_number)
        times.append(time.perf_counter() - started)
    return statistics.median(times) * 1000


def main(
    models: Annotated[int, typer.Option(min=1)] = 1800,
    keys: Annotated[int, typer.Option(min=1)] = 5000,
    workspaces: Annotated[int, typer.Option(min=1)] = 500,
    rebuilds: Annotated[int, typer.Option(min=1)] = 20,
    applies: Annotated[int, typer.Option(min=1)] = 2000,
) -> None:
    """Print the cost of a full rebuild and of an incremental change."""
    tracemalloc.start()
    changes = tuple(make_changes(models, keys, workspaces))
    configuration = Configuration()
    configuration.apply(ChangeSet("op0", "bench", 0, 1, changes))
    del changes
    gc.collect()
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    snapshot = configuration.to_snapshot()

    change_sets = []
    for i in range(applies):
        change = make_key_change(
            f"k{i % keys}", f"w{(i % keys) % workspaces}", f"round {i}"
        )
        revision = configuration.revision + i
        change_sets.append(
            ChangeSet(
                f"op{i + 1}", "bench", revision, revision + 1, (change,)
            ).to_json()
        )

    rebuild = median_ms(lambda _: Configuration.from_snapshot(snapshot), rebuilds)
    apply = median_ms(
        lambda i: configuration.apply(ChangeSet.from_json(change_sets[i])), applies
    )
    print(f"{models} models, {keys} keys, {workspaces} workspaces")
    print(f"snapshot: {len(snapshot) / 1024:.0f} KiB, memory: {memory / 2**20:.1f} MiB")
    print(f"full rebuild: {rebuild:.2f} ms (median of {rebuilds})")
    print(f"incremental apply: {apply * 1000:.1f} us (median of {applies})")
    print(f"ratio: {rebuild / apply:.0f}")


if __name__ == "__main__":
    typer.run(main)
