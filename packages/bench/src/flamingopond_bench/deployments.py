"""Today's two deployments, at the sizes of docs/design.md, as configuration objects."""

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

# Prompt and most answer tokens that one engine handles in a second while its
# tokens still come within 30 ms; see ENGINE_OPTIONS.
ENGINE_TOKENS_PER_S = 300.0
# A step takes 8 ms and 6 ms for each request in the batch, so that three requests
# get their tokens within 30 ms. Nine engines then make about 1,000 answer tokens a
# second; with twice as many, three systems side by side took 5 of 10 cores and
# the processes' own delays were as long as the target.
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
_ENGINE_MB = 40_000
_MODEL_MB = (12_000, 8_000, 14_000, 10_000, 12_000)


@attrs.frozen
class Sender:
    """A workspace: its contract, and its load as a multiple of its rate."""

    name: str
    priority: Priority
    rate: float
    load: float

    @property
    def burst(self) -> float:
        """Six seconds of the rate, and no less than a few requests need."""
        return max(1600.0, 6.0 * self.rate)


@attrs.frozen(kw_only=True)
class Deployment:
    """Sizes of one deployment."""

    name: str
    region: str
    zones: tuple[str, ...]
    engine: str
    engines: int
    service: str
    services: int
    models: int
    adapters: int
    parallel_loads: int
    adapter_parallel: int
    daemons: int
    senders: tuple[Sender, ...]

    @property
    def model_names(self) -> list[str]:
        """Names of the models."""
        return [f"{self.engine}-m{number:02}" for number in range(self.models)]

    def objects(self) -> Iterator[tuple[ObjectKind, ConfigObject]]:
        """Yield the configuration; addresses are replaced by the fleet."""
        for sender in self.senders:
            yield (
                ObjectKind.CONTRACT,
                Contract(
                    sender.name,
                    sender.priority,
                    sender.rate,
                    sender.burst,
                    weight=max(1.0, sender.rate / 100.0),
                    max_answer_tokens=512,
                ),
            )
        for number, name in enumerate(self.model_names):
            memory_mb = _MODEL_MB[number % len(_MODEL_MB)]
            yield (
                ObjectKind.MODEL,
                Model(name, "1", memory_mb, ENGINE_TOKENS_PER_S),
            )
        for number in range(self.adapters):
            model = self.model_names[number % self.models]
            yield ObjectKind.ADAPTER, Adapter(f"{model}-a{number:03}", model)
        for number in range(self.engines):
            yield (
                ObjectKind.ENGINE,
                EngineTarget(
                    f"{self.engine}-{number + 1}",
                    "127.0.0.1:1",
                    self.zones[number % len(self.zones)],
                    self.region,
                    _ENGINE_MB,
                    checks_fencing=number % 3 != 2,
                ),
            )
        addresses = tuple(f"127.0.0.1:{n + 1}" for n in range(self.services))
        yield (
            ObjectKind.SERVICE,
            Service(self.service, addresses, ("GET *", "POST /lookup")),
        )


TRUST = Deployment(
    name="trust",
    region="bengal-delta",
    zones=("kakdwip", "gosaba", "diamond-harbour"),
    engine="log-models",
    engines=9,
    service="bandh-desk",
    services=3,
    models=20,
    adapters=110,
    parallel_loads=16,
    adapter_parallel=130,
    daemons=9,
    senders=(
        Sender("sundarban-watch", Priority.STANDARD, 600.0, 0.85),
        Sender("irrigation-office", Priority.PREMIUM, 420.0, 0.85),
        Sender("gosaba-volunteers", Priority.STANDARD, 200.0, 4.0),
        Sender("relief-desk", Priority.PREMIUM, 110.0, 0.8),
        Sender("kakdwip-school", Priority.STANDARD, 80.0, 0.7),
    ),
)
KAVANGO = Deployment(
    name="kavango",
    region="nam-central",
    zones=("whk-a", "whk-b", "okh-a", "reh-a"),
    engine="assist-lm",
    engines=9,
    service="counter-app",
    services=4,
    models=25,
    adapters=95,
    parallel_loads=10,
    adapter_parallel=70,
    daemons=8,
    senders=(
        Sender("premium-drafting", Priority.PREMIUM, 540.0, 0.85),
        Sender("river-lodges", Priority.STANDARD, 480.0, 0.85),
        Sender("park-permits", Priority.STANDARD, 200.0, 4.0),
        Sender("rundu-counter", Priority.STANDARD, 110.0, 0.8),
        Sender("night-desk", Priority.PREMIUM, 80.0, 0.7),
    ),
)
