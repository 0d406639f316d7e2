"""Sizes at which the modules are measured, and the design size of section 1.6."""

from __future__ import annotations

import attrs

SHARDS = 4096


@attrs.frozen
class Size:
    """One size of a fleet; all other counts grow with the nodes."""

    nodes: int

    @property
    def engines(self) -> int:
        """Engines, and accelerators, of all regions."""
        return 30 * self.nodes

    @property
    def models(self) -> int:
        """Configured models."""
        return self.nodes * 9 // 2

    @property
    def workspaces(self) -> int:
        """Workspaces, each with a contract."""
        return 5 * self.nodes

    @property
    def keys(self) -> int:
        """Callers' keys; several for each workspace."""
        return 15 * self.nodes


SIZES = tuple(Size(nodes) for nodes in (50, 100, 200, 400))
DESIGN = Size(400)
REGIONS = 4
ZONES = 11

# Budgets and rates of section 1.6.
CPU_BUDGET = 0.049
MEMORY_BUDGET_MB = 64.0
BYTES_BUDGET = 21_000.0
WRITES_BUDGET = 500.0
READS_BUDGET = 2000.0
REQUESTS_PER_S = 5100.0
TOKENS_PER_S = 2.4e6
CHANGES_PER_DAY = 53_000
RESTARTS_PER_DAY = 3200
FAILURES_PER_DAY = 82
DAY_S = 86_400
