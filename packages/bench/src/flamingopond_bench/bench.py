"""Benchmark of the product against two baselines, with real processes.

``make bench`` runs both of today's deployments; docs/benchmark.md defines the figures.
"""

from __future__ import annotations

import contextlib
import os
import statistics
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Annotated, Any

import anyio
import attrs
import cattrs
import orjson
import typer

from flamingopond_bench.deployments import KAVANGO, TRUST, Deployment
from flamingopond_bench.exactbucket import ExactBucket, largest_excess
from flamingopond_bench.load import (
    BETWEEN_TOKENS_S,
    WITHIN,
    LoadSpec,
    Outcome,
    summary,
)
from flamingopond_bench.path_cost import process_cpu
from flamingopond_bench.processes import ManagedProcess
from flamingopond_bench.systems import Baseline, Product, System, served_names
from flamingopond_bench.workload import WorkloadSpec, WorkspaceLoad
from flamingopond_core.objects import Adapter
from flamingopond_standins.answers import prompt_token_count

_PAUSE_S = 4.0
_AFTER_S = 45.0
_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_CANCEL_MARGIN_TOKENS = 2


@attrs.frozen(kw_only=True)
class BenchOptions:
    """What is run; the systems of a deployment take turns unless ``together``.

    The deployments run at once: one of them uses less than two cores.
    """

    deployments: tuple[Deployment, ...]
    seeds: tuple[int, ...]
    seconds: float
    systems: tuple[str, ...]
    together: bool = False


@attrs.define
class Judge:
    """Judges the outcomes of one system over several loads.

    The exact buckets go on from one load to the next, as the system's do. The
    ``ideal`` ones admit by themselves, and ``entitled`` counts by workspace what they
    admit. ``buckets`` are charged with what the system admitted, so that they tell
    for each refusal whether the contract had room for the request at its arrival.
    """

    buckets: dict[str, ExactBucket]
    ideal: dict[str, ExactBucket]
    entitled: Counter[str] = attrs.field(factory=Counter)
    inside: dict[int, bool] = attrs.field(factory=dict)

    def replay(self, outcomes: Sequence[Outcome]) -> None:
        """Note for each refused request whether it was inside the rate."""
        events: list[tuple[float, int, int]] = []
        for number, outcome in enumerate(outcomes):
            events.append((outcome.at, 1, number))
            if not outcome.refused:
                events.append((outcome.ended, 0, number))
        self.inside.clear()
        self.entitled.clear()
        for outcome in outcomes:
            ideal = self.ideal[outcome.workspace]
            if ideal.holds(outcome.wanted, outcome.at):
                ideal.charge(outcome.uses, outcome.at)
                self.entitled[outcome.workspace] += 1
        for at, arrives, number in sorted(events):
            outcome = outcomes[number]
            bucket = self.buckets[outcome.workspace]
            if not arrives:
                bucket.give_back(outcome.wanted - _used(outcome), at)
            elif outcome.refused:
                self.inside[number] = bucket.holds(outcome.wanted, at)
            else:
                bucket.charge(outcome.wanted, at)


def _used(outcome: Outcome) -> int:
    prompt = outcome.wanted - outcome.max_tokens
    margin = 0 if outcome.complete else _CANCEL_MARGIN_TOKENS
    return min(outcome.wanted, prompt + outcome.tokens + margin)


def _exact_buckets(deployment: Deployment) -> dict[str, ExactBucket]:
    return {s.name: ExactBucket(s.rate, s.burst) for s in deployment.senders}


def workload_of(
    deployment: Deployment, keys: Mapping[str, str], seed: int, seconds: float
) -> WorkloadSpec:
    """Return the load of a deployment."""
    models: dict[str, list[str]] = {name: [] for name in deployment.model_names}
    for _, value in deployment.objects():
        if isinstance(value, Adapter):
            models[value.model].append(value.name)
    return WorkloadSpec(
        workspaces=tuple(
            WorkspaceLoad(s.name, keys.get(s.name, ""), s.rate, s.burst, s.load)
            for s in deployment.senders
        ),
        models={name: tuple(adapters) for name, adapters in models.items()},
        seed=seed,
        seconds=seconds,
        entries=deployment.daemons,
        shift_s=seconds / 2,
    )


class Trial:
    """One system of one deployment under the loads of all seeds."""

    def __init__(self, system: System, deployment: Deployment) -> None:
        """Judge from full buckets on."""
        self.system = system
        self._deployment = deployment
        self._judge = Judge(_exact_buckets(deployment), _exact_buckets(deployment))
        self._uses: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.results: list[dict[str, Any]] = []
        self.served: Counter[str] = Counter()
        self.entitled: Counter[str] = Counter()
        self.problems: list[str] = []

    async def run(self, seed: int, seconds: float) -> None:
        """Send the load of one seed and judge it."""
        system, directory = self.system, self.system.fleet.directory
        spec = LoadSpec(
            urls=tuple(system.urls),
            workload=workload_of(self._deployment, system.keys, seed, seconds),
            served=served_names(system.fleet),
        )
        spec_file, output = directory / "load.json", directory / "outcomes.json"
        spec_file.write_bytes(orjson.dumps(attrs.asdict(spec)))
        command = (
            "-m",
            "flamingopond_bench.load",
            str(spec_file),
            "--output",
            str(output),
        )
        cpu = self._cpu()
        began, wall = time.monotonic(), time.time()
        process = ManagedProcess.start(f"load-{seed}", command, directory)
        status = await process.wait(seconds + _AFTER_S)
        took = time.monotonic() - began
        if status:
            raise RuntimeError(
                f"the load tool failed: {process.log.read_text()[-2000:]}"
            )
        used = {name: (after - cpu[name]) / took for name, after in self._cpu().items()}
        outcomes = cattrs.structure(orjson.loads(output.read_bytes()), list[Outcome])
        records = {e: await system.fleet.records(e) for e in system.fleet.engines}
        self._judge.replay(outcomes)
        result = self._figures(outcomes, records, wall)
        result |= {"seed": seed, "cores": self._cores(used), "load": summary(outcomes)}
        self.results.append(result)
        self._check(outcomes, records, wall)

    def _cpu(self) -> dict[str, float]:
        processes = self.system.fleet.processes
        return {name: process_cpu(p.popen.pid) for name, p in processes.items()}

    def _cores(self, used: Mapping[str, float]) -> dict[str, float]:
        engines = set(self.system.fleet.engines)
        entries = set(self.system.entries)
        return {
            "all": round(sum(used.values()), 3),
            "entries": round(sum(used[n] for n in entries), 3),
            "busiest_entry": round(max(used[n] for n in entries), 3),
            "busiest_engine": round(max(used[n] for n in engines), 3),
        }

    def _figures(
        self, outcomes: Sequence[Outcome], records: Mapping[str, Any], since: float
    ) -> dict[str, Any]:
        entitled = self._judge.entitled
        admitted = Counter(o.workspace for o in outcomes if not o.refused)
        attained = Counter(o.workspace for o in outcomes if o.attained)
        served = {name: min(attained[name], count) for name, count in entitled.items()}
        short = {n: max(0, count - admitted[n]) for n, count in entitled.items()}
        self.served += Counter(served)
        self.entitled += entitled
        refused = [outcomes[n] for n, inside in self._judge.inside.items() if inside]
        total = entitled.total()
        paced = _paced(records, since)
        share = sum(served.values()) / total
        engines = sum(
            any(run["started_at"] >= since for run in record["runs"])
            for record in records.values()
        )
        moves = sum(
            order["kind"] == "load_model"
            and order["result"] != "fenced"
            and order["received_at"] >= since
            for record in records.values()
            for order in record["orders"]
        )
        return {
            "attainment": share,
            "engine_paced": sum(min(paced[n], c) for n, c in entitled.items()) / total,
            "engines": engines,
            "per_engine": share / engines,
            "moves": moves,
            "entitled": total,
            "admitted": admitted.total(),
            "refused_inside": sum(short.values()) / total,
            "refused_inside_of": {
                name: count for name, count in short.items() if count
            },
            "refused_with_room": len(refused) / total,
            "refused_with_room_of": dict(Counter(o.workspace for o in refused)),
            "codes": dict(Counter(o.code for o in outcomes if o.code)),
            "late_first": sum(o.late for o in outcomes) / total,
            "slow_tokens": sum(
                not (o.attained or o.late or o.refused) for o in outcomes
            )
            / total,
            "workspaces": {n: served[n] / count for n, count in entitled.items()},
            "worst_to_mean": worst_to_mean(served, entitled),
        }

    def _check(
        self, outcomes: Sequence[Outcome], records: Mapping[str, Any], since: float
    ) -> None:
        """Note broken promises, from the stand-ins' records where they tell."""
        wrong = sum(not o.right for o in outcomes)
        if wrong:
            self.problems.append(f"{wrong} wrong answers")
        for engine, record in records.items():
            if record["overcommits"] or record["peak_mb"] > record["memory_mb"]:
                self.problems.append(f"memory of {engine} was overcommitted")
            for run in record["runs"]:
                if run["started_at"] < since:
                    continue
                workspace = _workspace_of(run)
                tokens = prompt_token_count(run["prompt"]) + run["answer_tokens"]
                self._uses[workspace].append((run["started_at"], tokens))
        for sender in self._deployment.senders:
            excess = largest_excess(self._uses[sender.name], sender.rate, sender.burst)
            if excess > 0:
                self.problems.append(f"{sender.name} is {excess:.0f} tokens over")


def _workspace_of(run: Mapping[str, Any]) -> str:
    return str(run["prompt"].partition("workspace=")[2].partition(" ")[0])


def _paced(records: Mapping[str, Any], since: float) -> Counter[str]:
    """Count runs whose tokens left the engine in time, by the engines' settings.

    Delays of this machine do not count, so that this shows placement and routing
    alone. The first token's wait is not part of it.
    """
    paced: Counter[str] = Counter()
    for record in records.values():
        for run in record["runs"]:
            steps = run.get("steps_s", ())
            slow = sum(step > BETWEEN_TOKENS_S for step in steps)
            if run["started_at"] >= since and steps:
                paced[_workspace_of(run)] += slow <= (1.0 - WITHIN) * len(steps)
    return paced


def worst_to_mean(served: Mapping[str, int], entitled: Mapping[str, int]) -> float:
    """Return the lowest share of a workspace over the mean of all workspaces."""
    shares = [served[name] / count for name, count in entitled.items()]
    return min(shares) / statistics.fmean(shares) if any(shares) else 0.0


def make_system(name: str, deployment: Deployment, directory: Path) -> System:
    """Return a system by its name."""
    if name == "product":
        return Product(deployment, directory)
    return Baseline(name, deployment, directory)


async def run_deployment(
    deployment: Deployment, options: BenchOptions, directory: Path
) -> list[Trial]:
    """Run all systems of one deployment under the loads of all seeds."""
    systems = [make_system(n, deployment, directory) for n in options.systems]
    trials: list[Trial] = []
    groups = [systems] if options.together else [[system] for system in systems]
    for group in groups:
        async with contextlib.AsyncExitStack() as stack:
            began = time.monotonic()
            for system in group:
                stack.push_async_callback(system.fleet.stop)
            usual = workload_of(deployment, {}, 0, options.seconds)
            async with anyio.create_task_group() as tasks:
                for system in group:
                    tasks.start_soon(system.start, usual)
            present = [Trial(system, deployment) for system in group]
            trials += present
            # New owners' buckets start empty; the exact ones start full.
            fill = max(s.burst / s.rate for s in deployment.senders)
            await anyio.sleep(max(_PAUSE_S, began + fill - time.monotonic()))
            for seed in options.seeds:
                busy = _machine_busy()
                at = time.monotonic()
                async with anyio.create_task_group() as tasks:
                    for trial in present:
                        tasks.start_soon(trial.run, seed, options.seconds)
                cores = (_machine_busy() - busy) / (time.monotonic() - at)
                for trial in present:
                    trial.results[-1]["machine_cores"] = round(cores, 2)
                    print(_progress(deployment, trial), flush=True)
                await anyio.sleep(_PAUSE_S)
    return trials


def _machine_busy() -> float:
    """Return the CPU seconds that all processes of the machine have used."""
    fields = [int(f) for f in Path("/proc/stat").read_text().split("\n")[0].split()[1:]]
    # All but idle and waiting for input or output.
    return (sum(fields[:8]) - fields[3] - fields[4]) * _TICK_S


def _progress(deployment: Deployment, trial: Trial) -> str:
    r = trial.results[-1]
    return (
        f"{deployment.name:8} {trial.system.name:12} seed {r['seed']}: "
        f"attained {r['attainment']:.3f} (late {r['late_first']:.3f}, "
        f"slow {r['slow_tokens']:.3f}), engine paced {r['engine_paced']:.3f}, "
        f"engines {r['engines']}, moves {r['moves']}, "
        f"refused inside {r['refused_inside']:.4f} {r['refused_inside_of']} "
        f"(with room {r['refused_with_room']:.3f}) {r['codes']}, "
        f"worst/mean {r['worst_to_mean']:.3f}, "
        f"cores {r['cores']['all']:.2f} of {r['machine_cores']:.1f} busy"
    )


def _spread(values: Sequence[float], digits: int = 3) -> str:
    middle, low, high = statistics.median(values), min(values), max(values)
    return f"{middle:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"


def table(trials: Sequence[Trial], deployment: Deployment) -> list[str]:
    """Return the lines of the table: medians with the lowest and highest seed."""
    best = max(
        (
            statistics.median(r["per_engine"] for r in trial.results)
            for trial in trials
            if trial.system.name != "product"
        ),
        default=0.0,
    )
    lines = []
    for trial in trials:
        rows = trial.results
        ratio = statistics.median(r["per_engine"] for r in rows) / best if best else 0.0
        refused = sum(r["refused_inside"] * r["entitled"] for r in rows)
        cells = [
            deployment.name,
            trial.system.name.replace("_", " "),
            _spread([r["attainment"] for r in rows]),
            _spread([r["per_engine"] for r in rows], 4),
            f"{ratio:.2f}",
            _spread([r["engine_paced"] for r in rows]),
            f"{statistics.median(r['moves'] for r in rows):g}",
            _spread([r["worst_to_mean"] for r in rows]),
            f"{worst_to_mean(trial.served, trial.entitled):.3f}",
            f"{100 * refused / sum(r['entitled'] for r in rows):.2f} %",
            "; ".join(sorted(set(trial.problems))) or "none",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


HEAD = [
    "| deployment | system | attainment | per engine | x better baseline "
    "| engine-paced | moves | worst/mean | worst/mean, all seeds | refused inside "
    "| promises broken |",
    "|---|---|---|---|---|---|---|---|---|---|---|",
]


async def run_bench(options: BenchOptions, directory: Path) -> dict[str, Any]:
    """Run the benchmark; return all results."""
    report: dict[str, Any] = {
        "seeds": options.seeds,
        "seconds": options.seconds,
        "deployments": {},
    }
    lines = list(HEAD)
    finished: dict[str, list[Trial]] = {}

    async def run(deployment: Deployment) -> None:
        place = directory / deployment.name
        finished[deployment.name] = await run_deployment(deployment, options, place)

    async with anyio.create_task_group() as tasks:
        for deployment in options.deployments:
            tasks.start_soon(run, deployment)
    for deployment in options.deployments:
        trials = finished[deployment.name]
        report["deployments"][deployment.name] = {
            trial.system.name: {
                "results": trial.results,
                "worst_to_mean_all_seeds": worst_to_mean(trial.served, trial.entitled),
                "problems": trial.problems,
            }
            for trial in trials
        }
        lines += table(trials, deployment)
    report["table"] = lines
    return report


def main(
    quick: Annotated[bool, typer.Option(help="One short seed.")] = False,
    seeds: Annotated[str, typer.Option(help="Seeds, with commas.")] = "1,2,3",
    seconds: Annotated[float, typer.Option(help="Length of each load.")] = 24.0,
    only: Annotated[str, typer.Option(help="Deployments, with commas.")] = "",
    systems: Annotated[str, typer.Option()] = "product,round_robin,least_loaded",
    together: Annotated[bool, typer.Option(help="All systems at once.")] = False,
    output: Annotated[Path, typer.Option()] = Path("bench-results.json"),
    directory: Annotated[Path | None, typer.Option(help="For logs.")] = None,
) -> None:
    """Compare the product with the baselines on both deployments."""
    options = BenchOptions(
        deployments=tuple(
            d for d in (TRUST, KAVANGO) if not only or d.name in only.split(",")
        ),
        seeds=(1,) if quick else tuple(int(seed) for seed in seeds.split(",")),
        seconds=16.0 if quick else seconds,
        systems=tuple(systems.split(",")),
        together=together,
    )
    directory = directory or Path(tempfile.mkdtemp(prefix="flamingopond-bench-"))
    report = anyio.run(run_bench, options, directory)
    output.write_bytes(orjson.dumps(report, option=orjson.OPT_INDENT_2))
    print("\n".join(report["table"]))
    print(f"results in {output}, logs in {directory}")


if __name__ == "__main__":
    typer.run(main)
