"""The systems that the benchmark compares, as real processes on loopback."""

from __future__ import annotations

import time
from collections.abc import Mapping
from pathlib import Path
from typing import Protocol

import anyio
import attrs
import orjson

from flamingopond_bench.baselines import BaselineSettings, Limit, Placed
from flamingopond_bench.demo import Demo
from flamingopond_bench.deployments import ENGINE_OPTIONS, Deployment
from flamingopond_bench.fleet import Fleet, FleetOptions
from flamingopond_bench.load import Served
from flamingopond_bench.processes import ManagedProcess, free_address
from flamingopond_bench.workload import WorkloadSpec, usual_popularity
from flamingopond_core.enums import ObjectKind, Priority
from flamingopond_core.ini_format import write_ini
from flamingopond_core.keys import make_secret
from flamingopond_core.objects import Adapter, Model
from flamingopond_platform.engine import Order, OrderKind
from flamingopond_platform.engine_client import EngineClient

_LOAD_LIMIT_S = 90.0


class System(Protocol):
    """One system under load."""

    name: str
    fleet: Fleet
    urls: list[str]
    entries: list[str]

    @property
    def keys(self) -> dict[str, str]:
        """Bearer keys by workspace."""

    async def start(self, workload: WorkloadSpec) -> None:
        """Start all processes and wait until every model has a copy."""


def make_fleet(deployment: Deployment, directory: Path) -> Fleet:
    """Return the processes of a deployment, not started yet."""
    directory.mkdir(parents=True, exist_ok=True)
    example = directory / f"{deployment.name}.ini"
    example.write_text(write_ini(deployment.objects()))
    options = FleetOptions(
        daemons=deployment.daemons,
        engine_options=ENGINE_OPTIONS,
        standin_options={
            "weights": (
                "--parallel",
                str(deployment.parallel_loads),
                "--adapter-parallel",
                str(deployment.adapter_parallel),
            )
        },
        platform={
            "parallel_loads": deployment.parallel_loads,
            "adapter_parallel": deployment.adapter_parallel,
        },
        shared_weights=True,
        log_level="warning",
    )
    return Fleet(example, directory, options)


def served_names(fleet: Fleet) -> dict[str, Served]:
    """Return the models and adapters of a fleet by the name that callers use."""
    served = {}
    for value in fleet.objects.values():
        if isinstance(value, Model):
            served[value.name] = Served(value.name, value.version, "")
        elif isinstance(value, Adapter):
            model = fleet.objects[ObjectKind.MODEL, value.model]
            assert isinstance(model, Model)
            served[value.name] = Served(value.model, model.version, value.name)
    return served


class Product:
    """The daemons with the whole platform."""

    def __init__(self, deployment: Deployment, directory: Path) -> None:
        """Prepare the processes."""
        self.name = "product"
        self.fleet = make_fleet(deployment, directory / self.name)
        self._demo = Demo(self.fleet)
        self.urls = [daemon.url for daemon in self.fleet.daemons]
        self.entries = [daemon.name for daemon in self.fleet.daemons]

    @property
    def keys(self) -> dict[str, str]:
        """Bearer keys by workspace."""
        return self._demo.keys

    async def start(self, workload: WorkloadSpec) -> None:
        """Start, apply the contract file and wait until every model is placed."""
        await self._demo.start()
        await _wait_held(self.fleet, len(served_names(self.fleet)))


class Baseline:
    """Simple entry processes over a static placement."""

    def __init__(self, policy: str, deployment: Deployment, directory: Path) -> None:
        """Prepare the processes; ``policy`` is that of ``baselines``."""
        self.name = policy
        self._deployment = deployment
        self.fleet = make_fleet(deployment, directory / policy)
        self._keys = {
            sender.name: make_secret(sender.name.encode().ljust(32, b"."))
            for sender in deployment.senders
        }
        addresses = [free_address() for _ in range(deployment.daemons)]
        self.urls = [f"http://{address}" for address in addresses]
        self.entries = [f"entry-{n + 1}" for n in range(deployment.daemons)]

    @property
    def keys(self) -> dict[str, str]:
        """Bearer keys by workspace."""
        return self._keys

    async def start(self, workload: WorkloadSpec) -> None:
        """Place the models for the usual demand and start the entry processes."""
        await self.fleet.start_platform()
        await self.fleet.start_targets()
        placement = static_placement(self.fleet, usual_popularity(workload))
        async with anyio.create_task_group() as tasks:
            for engine, models in placement.items():
                tasks.start_soon(self._load, engine, models)
        await _wait_held(self.fleet, len(served_names(self.fleet)))
        for entry, url in zip(self.entries, self.urls, strict=True):
            listen = url.removeprefix("http://")
            settings = self._settings(listen, placement)
            path = self.fleet.directory / f"{entry}.json"
            path.write_bytes(orjson.dumps(attrs.asdict(settings)))
            command = ("-m", "flamingopond_bench.baselines", str(path))
            self.fleet.processes[entry] = ManagedProcess.start(
                entry, command, self.fleet.directory
            )
        for entry, url in zip(self.entries, self.urls, strict=True):
            await self.fleet.processes[entry].wait_answering(f"{url}/records")

    def _settings(
        self, listen: str, placement: Mapping[str, list[str]]
    ) -> BaselineSettings:
        nodes = self._deployment.daemons
        served = {
            name: Placed(
                item.model,
                item.version,
                item.adapter,
                tuple(
                    self.fleet.engines[engine].address
                    for engine, models in placement.items()
                    if item.model in models
                ),
            )
            for name, item in served_names(self.fleet).items()
        }
        limits = tuple(
            Limit(
                self._keys[sender.name],
                sender.name,
                sender.rate / nodes,
                sender.burst / nodes,
                sender.priority is Priority.PREMIUM,
            )
            for sender in self._deployment.senders
        )
        return BaselineSettings(
            listen=listen, policy=self.name, served=served, limits=limits
        )

    async def _load(self, engine: str, models: list[str]) -> None:
        client = EngineClient(self.fleet.engines[engine].address)
        try:
            for name in models:
                model = self.fleet.objects[ObjectKind.MODEL, name]
                assert isinstance(model, Model)
                order = Order(
                    f"static-{engine}-{name}",
                    OrderKind.LOAD_MODEL,
                    1,
                    name,
                    model.version,
                    memory_mb=model.memory_mb,
                )
                await client.order(order)
                await self._wait_ready(client, name)
                for value in self.fleet.objects.values():
                    if isinstance(value, Adapter) and value.model == name:
                        order = Order(
                            f"static-{engine}-{value.name}",
                            OrderKind.LOAD_ADAPTER,
                            1,
                            name,
                            model.version,
                            value.name,
                        )
                        await client.order(order)
        finally:
            await client.aclose()

    async def _wait_ready(self, client: EngineClient, model: str) -> None:
        with anyio.fail_after(_LOAD_LIMIT_S):
            while True:
                report = await client.report()
                if any(held.model == model and held.ready for held in report.models):
                    return
                await anyio.sleep(0.1)


def static_placement(
    fleet: Fleet, popularity: Mapping[str, float]
) -> dict[str, list[str]]:
    """Return the models of each engine for a known mean demand.

    Every model gets a copy; then the most loaded model gets a further one as long
    as there is memory, each on the least loaded engine that has room.
    """
    placement: dict[str, list[str]] = {name: [] for name in fleet.engines}
    free = {engine.name: engine.memory_mb for engine in fleet.engines.values()}
    models = {v.name: v for v in fleet.objects.values() if isinstance(v, Model)}
    copies = dict.fromkeys(models, 0)

    def load(engine: str) -> float:
        return sum(popularity[m] / copies[m] for m in placement[engine])

    def place(name: str) -> bool:
        memory_mb = models[name].memory_mb
        fitting = [
            engine
            for engine in placement
            if free[engine] >= memory_mb and name not in placement[engine]
        ]
        if not fitting:
            return False
        engine = min(fitting, key=lambda e: (load(e), e))
        placement[engine].append(name)
        free[engine] -= memory_mb
        copies[name] += 1
        return True

    # Large models first, so that memory is not split up before they have a place.
    for name in sorted(models, key=lambda m: (-models[m].memory_mb, -popularity[m])):
        if not place(name):
            raise RuntimeError(f"no engine has room for {name}")
    open_names = set(models)
    while open_names:
        name = max(open_names, key=lambda m: (popularity[m] / copies[m], m))
        if not place(name):
            open_names.discard(name)
    return placement


async def _wait_held(fleet: Fleet, wanted: int) -> None:
    """Wait until every model and adapter is ready on some engine."""
    until = time.monotonic() + _LOAD_LIMIT_S
    while True:
        held: set[str] = set()
        for engine in fleet.engines.values():
            client = EngineClient(engine.address)
            try:
                report = await client.report()
            finally:
                await client.aclose()
            for copy in report.models:
                if copy.ready:
                    held |= {copy.model, *copy.adapters}
        if len(held) >= wanted:
            return
        if time.monotonic() > until:
            raise RuntimeError(f"{fleet.name}: {len(held)} of {wanted} names are ready")
        await anyio.sleep(0.2)
