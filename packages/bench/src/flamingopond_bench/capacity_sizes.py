"""Fleet sizes of the measurements, and the design size and budgets of section 1.6."""

from __future__ import annotations

import attrs

SHARD_COUNT = 4096


@attrs.frozen
class FleetSize:
    """Size of a fleet; all other counts are proportional to the nodes."""

    nodes: int

    @property
    def engines(self) -> int:
        """Engines of all regions, each with one accelerator."""
        return 30 * self.nodes

    @property
    def models(self) -> int:
        """Number of configured models."""
        return self.nodes * 9 // 2

    @property
    def workspaces(self) -> int:
        """Number of workspaces, each with a contract."""
        return 5 * self.nodes

    @property
    def keys(self) -> int:
        """Number of API keys, three for each workspace."""
        return 15 * self.nodes


SIZES = tuple(FleetSize(nodes) for nodes in (50, 100, 200, 400))
DESIGN_SIZE = FleetSize(400)
REGION_COUNT = 4
ZONE_COUNT = 11

# Budgets and rates of section 1.6.
CPU_BUDGET_CORES = 0.049
MEMORY_BUDGET_MB = 64.0
BYTES_PER_S_BUDGET = 21_000.0
WRITES_PER_S_BUDGET = 500.0
READS_PER_S_BUDGET = 2000.0
REQUESTS_PER_S = 5100.0
TOKENS_PER_S = 2.4e6
CHANGES_PER_DAY = 53_000
RESTARTS_PER_DAY = 3200
FAILURES_PER_DAY = 82
DAY_S = 86_400
