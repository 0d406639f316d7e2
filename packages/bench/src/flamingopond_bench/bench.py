"""Benchmark of the product against two baselines, with real processes.

``make bench`` runs both example deployments; docs/benchmark.md defines the figures.
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
from flamingopond_bench.exact_bucket import ExactBucket, largest_excess
from flamingopond_bench.load import (
    ON_TIME_FRACTION,
    TOKEN_GAP_TARGET_S,
    LoadSpec,
    Outcome,
    summary,
)
from flamingopond_bench.path_cost import process_cpu_s
from flamingopond_bench.processes import ManagedProcess
from flamingopond_bench.systems import Baseline, Product, System, served_names
from flamingopond_bench.workload import WorkloadSpec, WorkspaceLoad
from flamingopond_core.objects import Adapter
from flamingopond_standins.answers import prompt_token_count

_SETTLE_S = 4.0
_LOAD_TOOL_MARGIN_S = 45.0
_CLOCK_TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")
_CANCEL_MARGIN_TOKENS = 2


@attrs.frozen(kw_only=True)
class BenchOptions:
    """What to run. Systems of a deployment run one by one unless ``together`` is set.

    Deployments run concurrently: each of them uses less than two cores.
    """

    deployments: tuple[Deployment, ...]
    seeds: tuple[int, ...]
    seconds: float
    systems: tuple[str, ...]
    together: bool = False


@attrs.define
class AdmissionAudit:
    """Replays the outcomes of one system against exact token buckets.

    Bucket levels carry over from one load to the next, as they do in the system.
    ``ideal_buckets`` decide on their own which requests to admit; ``entitled`` counts
    these by workspace. ``charged_buckets`` are charged with what the system admitted:
    for each refused request, ``had_room`` tells whether its contract had enough tokens
    when it arrived.
    """

    charged_buckets: dict[str, ExactBucket]
    ideal_buckets: dict[str, ExactBucket]
    entitled: Counter[str] = attrs.field(factory=Counter)
    had_room: dict[int, bool] = attrs.field(factory=dict)

    def replay(self, outcomes: Sequence[Outcome]) -> None:
        """Count the entitled requests and check each refused one against its bucket."""
        events: list[tuple[float, int, int]] = []
        for number, outcome in enumerate(outcomes):
            events.append((outcome.at, 1, number))
            if not outcome.refused:
                events.append((outcome.ended, 0, number))
        self.had_room.clear()
        self.entitled.clear()
        for outcome in outcomes:
            ideal = self.ideal_buckets[outcome.workspace]
            if ideal.has_room(outcome.wanted, outcome.at):
                ideal.charge(outcome.uses, outcome.at)
                self.entitled[outcome.workspace] += 1
        for at, is_arrival, number in sorted(events):
            outcome = outcomes[number]
            bucket = self.charged_buckets[outcome.workspace]
            if not is_arrival:
                bucket.refund(outcome.wanted - _used_tokens(outcome), at)
            elif outcome.refused:
                self.had_room[number] = bucket.has_room(outcome.wanted, at)
            else:
                bucket.charge(outcome.wanted, at)


def _used_tokens(outcome: Outcome) -> int:
    prompt = outcome.wanted - outcome.max_tokens
    margin = 0 if outcome.complete else _CANCEL_MARGIN_TOKENS
    return min(outcome.wanted, prompt + outcome.tokens + margin)


def _exact_buckets(deployment: Deployment) -> dict[str, ExactBucket]:
    return {w.name: ExactBucket(w.rate, w.burst) for w in deployment.workspaces}


def make_workload(
    deployment: Deployment, keys: Mapping[str, str], seed: int, seconds: float
) -> WorkloadSpec:
    """Return the workload of a deployment for one seed."""
    models: dict[str, list[str]] = {name: [] for name in deployment.model_names}
    for _, value in deployment.objects():
        if isinstance(value, Adapter):
            models[value.model].append(value.name)
    return WorkloadSpec(
        workspaces=tuple(
            WorkspaceLoad(w.name, keys.get(w.name, ""), w.rate, w.burst, w.load_ratio)
            for w in deployment.workspaces
        ),
        models={name: tuple(adapters) for name, adapters in models.items()},
        seed=seed,
        seconds=seconds,
        entries=deployment.daemon_count,
        shift_s=seconds / 2,
    )


class Trial:
    """One system of one deployment under the loads of all seeds."""

    def __init__(self, system: System, deployment: Deployment) -> None:
        """Start with full buckets."""
        self.system = system
        self._deployment = deployment
        self._audit = AdmissionAudit(
            _exact_buckets(deployment), _exact_buckets(deployment)
        )
        self._token_uses: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.results: list[dict[str, Any]] = []
        self.served: Counter[str] = Counter()
        self.entitled: Counter[str] = Counter()
        self.problems: list[str] = []

    async def run(self, seed: int, seconds: float) -> None:
        """Send the load of one seed and evaluate its outcomes."""
        system, directory = self.system, self.system.fleet.directory
        spec = LoadSpec(
            urls=tuple(system.urls),
            workload=make_workload(self._deployment, system.keys, seed, seconds),
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
        cpu_before = self._process_cpu_s()
        started, since = time.monotonic(), time.time()
        process = ManagedProcess.start(f"load-{seed}", command, directory)
        status = await process.wait(seconds + _LOAD_TOOL_MARGIN_S)
        elapsed_s = time.monotonic() - started
        if status:
            raise RuntimeError(
                f"the load tool failed: {process.log.read_text()[-2000:]}"
            )
        cores = {
            name: (after - cpu_before[name]) / elapsed_s
            for name, after in self._process_cpu_s().items()
        }
        outcomes = cattrs.structure(orjson.loads(output.read_bytes()), list[Outcome])
        records = {e: await system.fleet.records(e) for e in system.fleet.engines}
        self._audit.replay(outcomes)
        result = self._evaluate(outcomes, records, since)
        result |= {
            "seed": seed,
            "cores": self._summarize_cores(cores),
            "load": summary(outcomes),
        }
        self.results.append(result)
        self._check_guarantees(outcomes, records, since)

    def _process_cpu_s(self) -> dict[str, float]:
        processes = self.system.fleet.processes
        return {name: process_cpu_s(p.popen.pid) for name, p in processes.items()}

    def _summarize_cores(self, cores: Mapping[str, float]) -> dict[str, float]:
        engines = set(self.system.fleet.engines)
        entries = set(self.system.entries)
        return {
            "all": round(sum(cores.values()), 3),
            "entries": round(sum(cores[n] for n in entries), 3),
            "busiest_entry": round(max(cores[n] for n in entries), 3),
            "busiest_engine": round(max(cores[n] for n in engines), 3),
        }

    def _evaluate(
        self, outcomes: Sequence[Outcome], records: Mapping[str, Any], since: float
    ) -> dict[str, Any]:
        entitled = self._audit.entitled
        admitted = Counter(o.workspace for o in outcomes if not o.refused)
        attained = Counter(o.workspace for o in outcomes if o.attained)
        served = {name: min(attained[name], count) for name, count in entitled.items()}
        shortfall = {n: max(0, count - admitted[n]) for n, count in entitled.items()}
        self.served += Counter(served)
        self.entitled += entitled
        refused_with_room = [
            outcomes[n] for n, room in self._audit.had_room.items() if room
        ]
        total = entitled.total()
        paced = _count_paced_runs(records, since)
        attainment = sum(served.values()) / total
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
            "attainment": attainment,
            "engine_paced": sum(min(paced[n], c) for n, c in entitled.items()) / total,
            "engines": engines,
            "per_engine": attainment / engines,
            "moves": moves,
            "entitled": total,
            "admitted": admitted.total(),
            "refused_inside": sum(shortfall.values()) / total,
            "refused_inside_of": {
                name: count for name, count in shortfall.items() if count
            },
            "refused_with_room": len(refused_with_room) / total,
            "refused_with_room_of": dict(
                Counter(o.workspace for o in refused_with_room)
            ),
            "codes": dict(Counter(o.code for o in outcomes if o.code)),
            "late_first": sum(o.late for o in outcomes) / total,
            "slow_tokens": sum(
                not (o.attained or o.late or o.refused) for o in outcomes
            )
            / total,
            "workspaces": {n: served[n] / count for n, count in entitled.items()},
            "worst_to_mean": worst_to_mean(served, entitled),
        }

    def _check_guarantees(
        self, outcomes: Sequence[Outcome], records: Mapping[str, Any], since: float
    ) -> None:
        """Record wrong answers, memory overcommits and exceeded rate limits."""
        wrong_count = sum(not o.right for o in outcomes)
        if wrong_count:
            self.problems.append(f"{wrong_count} wrong answers")
        for engine, record in records.items():
            if record["overcommits"] or record["peak_mb"] > record["memory_mb"]:
                self.problems.append(f"memory of {engine} was overcommitted")
            for run in record["runs"]:
                if run["started_at"] < since:
                    continue
                workspace = _workspace_of(run)
                tokens = prompt_token_count(run["prompt"]) + run["answer_tokens"]
                self._token_uses[workspace].append((run["started_at"], tokens))
        for spec in self._deployment.workspaces:
            excess = largest_excess(self._token_uses[spec.name], spec.rate, spec.burst)
            if excess > 0:
                self.problems.append(
                    f"{spec.name} exceeded its limit by {excess:.0f} tokens"
                )


def _workspace_of(run: Mapping[str, Any]) -> str:
    return str(run["prompt"].partition("workspace=")[2].partition(" ")[0])


def _count_paced_runs(records: Mapping[str, Any], since: float) -> Counter[str]:
    """Count runs, by workspace, whose simulated step times meet the token gap target.

    Delays of the benchmark machine are excluded, so the count depends on placement and
    routing alone. The wait for the first token is excluded, too.
    """
    paced: Counter[str] = Counter()
    for record in records.values():
        for run in record["runs"]:
            steps = run.get("steps_s", ())
            slow_steps = sum(step > TOKEN_GAP_TARGET_S for step in steps)
            if run["started_at"] >= since and steps:
                paced[_workspace_of(run)] += slow_steps <= (
                    1.0 - ON_TIME_FRACTION
                ) * len(steps)
    return paced


def worst_to_mean(served: Mapping[str, int], entitled: Mapping[str, int]) -> float:
    """Return the lowest served fraction of a workspace, relative to the mean of all."""
    fractions = [served[name] / count for name, count in entitled.items()]
    return min(fractions) / statistics.fmean(fractions) if any(fractions) else 0.0


def make_system(name: str, deployment: Deployment, directory: Path) -> System:
    """Return the system named ``product`` or the baseline of that name."""
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
            started = time.monotonic()
            for system in group:
                stack.push_async_callback(system.fleet.stop)
            mean_workload = make_workload(deployment, {}, 0, options.seconds)
            async with anyio.create_task_group() as tasks:
                for system in group:
                    tasks.start_soon(system.start, mean_workload)
            current = [Trial(system, deployment) for system in group]
            trials += current
            # New owners' buckets start empty and need this time to fill; exact ones
            # start full.
            fill_s = max(w.burst / w.rate for w in deployment.workspaces)
            await anyio.sleep(max(_SETTLE_S, started + fill_s - time.monotonic()))
            for seed in options.seeds:
                cpu_before_s = _machine_cpu_s()
                load_started = time.monotonic()
                async with anyio.create_task_group() as tasks:
                    for trial in current:
                        tasks.start_soon(trial.run, seed, options.seconds)
                cores = (_machine_cpu_s() - cpu_before_s) / (
                    time.monotonic() - load_started
                )
                for trial in current:
                    trial.results[-1]["machine_cores"] = round(cores, 2)
                    print(_format_progress(deployment, trial), flush=True)
                await anyio.sleep(_SETTLE_S)
    return trials


def _machine_cpu_s() -> float:
    """Return the CPU seconds that all processes of the machine have used."""
    fields = [int(f) for f in Path("/proc/stat").read_text().split("\n")[0].split()[1:]]
    # All states except idle and iowait.
    return (sum(fields[:8]) - fields[3] - fields[4]) * _CLOCK_TICK_S


def _format_progress(deployment: Deployment, trial: Trial) -> str:
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


def _format_range(values: Sequence[float], digits: int = 3) -> str:
    median, low, high = statistics.median(values), min(values), max(values)
    return f"{median:.{digits}f} ({low:.{digits}f}-{high:.{digits}f})"


def table_rows(trials: Sequence[Trial], deployment: Deployment) -> list[str]:
    """Return the table rows: medians over the seeds, with the lowest and highest."""
    best_baseline = max(
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
        ratio = (
            statistics.median(r["per_engine"] for r in rows) / best_baseline
            if best_baseline
            else 0.0
        )
        refused_inside = sum(r["refused_inside"] * r["entitled"] for r in rows)
        cells = [
            deployment.name,
            trial.system.name.replace("_", " "),
            _format_range([r["attainment"] for r in rows]),
            _format_range([r["per_engine"] for r in rows], 4),
            f"{ratio:.2f}",
            _format_range([r["engine_paced"] for r in rows]),
            f"{statistics.median(r['moves'] for r in rows):g}",
            _format_range([r["worst_to_mean"] for r in rows]),
            f"{worst_to_mean(trial.served, trial.entitled):.3f}",
            f"{100 * refused_inside / sum(r['entitled'] for r in rows):.2f} %",
            "; ".join(sorted(set(trial.problems))) or "none",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return lines


TABLE_HEADER = [
    "| deployment | system | attainment | per engine | x better baseline "
    "| engine-paced | moves | worst/mean | worst/mean, all seeds | refused inside "
    "| promises broken |",
    "|---|---|---|---|---|---|---|---|---|---|---|",
]


async def run_bench(options: BenchOptions, directory: Path) -> dict[str, Any]:
    """Run the benchmark and return the report that is written as JSON."""
    report: dict[str, Any] = {
        "seeds": options.seeds,
        "seconds": options.seconds,
        "deployments": {},
    }
    lines = list(TABLE_HEADER)
    finished: dict[str, list[Trial]] = {}

    async def run(deployment: Deployment) -> None:
        deployment_dir = directory / deployment.name
        finished[deployment.name] = await run_deployment(
            deployment, options, deployment_dir
        )

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
        lines += table_rows(trials, deployment)
    report["table"] = lines
    return report


def main(
    quick: Annotated[
        bool, typer.Option(help="Run one seed with a short load.")
    ] = False,
    seeds: Annotated[str, typer.Option(help="Comma-separated seeds.")] = "1,2,3",
    seconds: Annotated[
        float, typer.Option(help="Duration of each load in seconds.")
    ] = 24.0,
    only: Annotated[str, typer.Option(help="Comma-separated deployments.")] = "",
    systems: Annotated[str, typer.Option()] = "product,round_robin,least_loaded",
    together: Annotated[
        bool, typer.Option(help="Run all systems at the same time.")
    ] = False,
    output: Annotated[Path, typer.Option()] = Path("bench-results.json"),
    directory: Annotated[Path | None, typer.Option(help="Directory for logs.")] = None,
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
