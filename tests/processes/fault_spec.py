"""Deployment of the fault tests: 4 engines, 20 models, one plain service."""

from __future__ import annotations

ZONES = ("zone-a", "zone-b", "zone-c")
MODELS = tuple(f"model-{n:02}" for n in range(20))
ENGINES = tuple(f"engine-{n}" for n in range(1, 5))
SERVICE = "desk"
# Rate and burst of each workspace; the load exceeds the limits of "narrow".
LIMITS = {"wide": (3000, 9000), "premium": (3000, 9000), "narrow": (60, 300)}
# The only models in the contract of "narrow".
NARROW_MODELS = MODELS[:4]
# Three engines have room for 21 models of 8 GB, so all 20 models stay reachable when
# one engine leaves, and replicas compete for the remaining memory.
_MODEL_MB = 8000
_ENGINE_MB = 60_000


def contract_file() -> str:
    """Return the configuration file; the launcher replaces the addresses."""
    parts = []
    for name, (rate, burst) in LIMITS.items():
        lines = [f"[contract {name}]", f"rate = {rate}", f"burst = {burst}"]
        lines.append(f"priority = {'premium' if name == 'premium' else 'standard'}")
        lines.append("max_answer_tokens = 128")
        if name == "narrow":
            lines.append(f"models = {', '.join(NARROW_MODELS)}")
        parts.append(lines)
    for name in MODELS:
        parts.append(
            [
                f"[model {name}]",
                "version = 1",
                f"memory_mb = {_MODEL_MB}",
                "tokens_per_second = 100",
            ]
        )
    for number, name in enumerate(ENGINES):
        parts.append(
            [
                f"[engine {name}]",
                f"address = 127.0.0.1:{18201 + number}",
                f"availability_zone = {ZONES[number % len(ZONES)]}",
                "region = here",
                f"memory_mb = {_ENGINE_MB}",
                f"checks_fencing = {'yes' if number % 2 else 'no'}",
            ]
        )
    parts.append(
        [
            f"[service {SERVICE}]",
            "addresses = 127.0.0.1:18211, 127.0.0.1:18212",
            "idempotent = POST /lookup, GET *",
        ]
    )
    parts.append(["[route levels]", "path = /levels", f"service = {SERVICE}"])
    parts[-1].append("open = yes")
    return "\n\n".join("\n".join(lines) for lines in parts) + "\n"
