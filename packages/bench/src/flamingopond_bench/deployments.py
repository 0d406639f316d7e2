"""The two example deployments, at the sizes of docs/design.md."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from flamingopond_core.enums import ObjectKind, Priority
from flamingopond_core.objects import (
    Adapter,
    ConfigObject,
    Contract,
    EngineTarget,
    Model,
    Service,
)

# Prompt tokens plus max_tokens that one engine serves per second while its token gaps
# stay within 30 ms; see ENGINE_OPTIONS.
ENGINE_TOKENS_PER_S = 300.0
# A step takes 8 ms plus 6 ms per request in the batch, so batches of up to three
# requests keep token gaps within 30 ms. Nine engines then generate about 1,000 answer
# tokens per second. At twice that rate, three systems running together used 5 of 10
# cores, and the delays of the processes themselves were as long as the 30 ms target.
ENGINE_OPTIONS = (
    "--base-s",
    "0.008",
    "--added-s",
    "0.006",
    "--prefill-tokens-per-s",
    "50000",
    "--max-batch",
    "32",
)
_ENGINE_MEMORY_MB = 40_000
_MODEL_MEMORY_MB = (12_000, 8_000, 14_000, 10_000, 12_000)


@attrs.frozen
class WorkspaceSpec:
    """Contract of a workspace; ``load_ratio`` is its load as a multiple of its rate."""

    name: str
    priority: Priority
    rate: float
    load_ratio: float

    @property
    def burst(self) -> float:
        """Six seconds of the rate, but at least enough for a few requests."""
        return max(1600.0, 6.0 * self.rate)


@attrs.frozen(kw_only=True)
class Deployment:
    """Sizes of one deployment; ``engine`` and ``service`` name its targets."""

    name: str
    region: str
    zones: tuple[str, ...]
    engine: str
    engine_count: int
    service: str
    service_count: int
    model_count: int
    adapter_count: int
    parallel_loads: int
    adapter_parallel: int
    daemon_count: int
    workspaces: tuple[WorkspaceSpec, ...]

    @property
    def model_names(self) -> list[str]:
        """Names of the models."""
        return [f"{self.engine}-m{number:02}" for number in range(self.model_count)]

    def objects(self) -> Iterator[tuple[ObjectKind, ConfigObject]]:
        """Yield the configuration objects; ``Fleet`` replaces the addresses."""
        for workspace in self.workspaces:
            yield (
                ObjectKind.CONTRACT,
                Contract(
                    workspace.name,
                    workspace.priority,
                    workspace.rate,
                    workspace.burst,
                    weight=max(1.0, workspace.rate / 100.0),
                    max_answer_tokens=512,
                ),
            )
        for number, name in enumerate(self.model_names):
            memory_mb = _MODEL_MEMORY_MB[number % len(_MODEL_MEMORY_MB)]
            yield (
                ObjectKind.MODEL,
                Model(name, "1", memory_mb, ENGINE_TOKENS_PER_S),
            )
        for number in range(self.adapter_count):
            model = self.model_names[number % self.model_count]
            yield ObjectKind.ADAPTER, Adapter(f"{model}-a{number:03}", model)
        for number in range(self.engine_count):
            yield (
                ObjectKind.ENGINE,
                EngineTarget(
                    f"{self.engine}-{number + 1}",
                    "127.0.0.1:1",
                    self.zones[number % len(self.zones)],
                    self.region,
                    _ENGINE_MEMORY_MB,
                    checks_fencing=number % 3 != 2,
                ),
            )
        addresses = tuple(f"127.0.0.1:{n + 1}" for n in range(self.service_count))
        yield (
            ObjectKind.SERVICE,
            Service(self.service, addresses, ("GET *", "POST /lookup")),
        )


TRUST = Deployment(
    name="trust",
    region="bengal-delta",
    zones=("kakdwip", "gosaba", "diamond-harbour"),
    engine="log-models",
    engine_count=9,
    service="bandh-desk",
    service_count=3,
    model_count=20,
    adapter_count=110,
    parallel_loads=16,
    adapter_parallel=130,
    daemon_count=9,
    workspaces=(
        WorkspaceSpec("sundarban-watch", Priority.STANDARD, 600.0, 0.85),
        WorkspaceSpec("irrigation-office", Priority.PREMIUM, 420.0, 0.85),
        WorkspaceSpec("gosaba-volunteers", Priority.STANDARD, 200.0, 4.0),
        WorkspaceSpec("relief-desk", Priority.PREMIUM, 110.0, 0.8),
        WorkspaceSpec("kakdwip-school", Priority.STANDARD, 80.0, 0.7),
    ),
)
KAVANGO = Deployment(
    name="kavango",
    region="nam-central",
    zones=("whk-a", "whk-b", "okh-a", "reh-a"),
    engine="assist-lm",
    engine_count=9,
    service="counter-app",
    service_count=4,
    model_count=25,
    adapter_count=95,
    parallel_loads=10,
    adapter_parallel=70,
    daemon_count=8,
    workspaces=(
        WorkspaceSpec("premium-drafting", Priority.PREMIUM, 540.0, 0.85),
        WorkspaceSpec("river-lodges", Priority.STANDARD, 480.0, 0.85),
        WorkspaceSpec("park-permits", Priority.STANDARD, 200.0, 4.0),
        WorkspaceSpec("rundu-counter", Priority.STANDARD, 110.0, 0.8),
        WorkspaceSpec("night-desk", Priority.PREMIUM, 80.0, 0.7),
    ),
)
