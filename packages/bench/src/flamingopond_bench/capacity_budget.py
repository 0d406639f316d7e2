"""Works out each role's steady cost at a fleet size from the measured slopes."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

from flamingopond_bench import capacity_sizes as sizes
from flamingopond_bench.capacity_fit import Slope
from flamingopond_bench.capacity_sizes import DESIGN, REGIONS, Size
from flamingopond_core.revisions import poll_interval_s
from flamingopond_core.roster import Timings
from flamingopond_daemon.cluster import FANOUT
from flamingopond_daemon.enginecontrol import POLLS_PER_S
from flamingopond_daemon.leaving import POLL_S
from flamingopond_daemon.targets import KEPT_S

# What the gossip topics may send a second by the limits of their books (bytes), and
# the seconds between two polls of one engine; see engineknowledge and enginecontrol.
_TOPIC_LIMITS = {"engines": 8000, "load": 3000, "demand": 3000, "placement": 2000}
# The three readers of the list of VMs on a node (cluster, leaving, enginecontrol)
# share replies that are at most half a second old.
_VM_LIST_READS_PER_S = 2.0
# Bytes of a table row in a reply beyond its value, and of a small HTTP call.
_HTTP_BYTES = 400
_ENGINE_POLL_S = 1.0
PLANNING = "placement (on 4 nodes only)"


@attrs.frozen
class Cost:
    """Steady cost of one role on one node; rates are per second.

    ``messages`` are sent and received, ``reads`` and ``writes`` platform operations
    of the node. ``how`` says from which measured figures it is worked out.
    """

    role: str
    state: str
    cpu: float
    memory_mb: float
    bytes_per_s: float
    messages: float
    reads: float
    writes: float
    how: str


class Work:
    """Costs at one size, from slopes over nodes, engines or other counts."""

    def __init__(self, measured: Mapping[str, Any], size: Size) -> None:
        """``measured`` has ``slopes``, ``memory_slopes`` and ``targets``."""
        self._size = size
        self._slopes = {
            name: Slope(**{k: v for k, v in slope.items() if k != "unit"})
            for name, slope in (*measured["slopes"].items(),)
        }
        self._memory = {
            name: Slope(**slope) for name, slope in measured["memory_slopes"].items()
        }
        self._targets = measured["targets"]
        self._timings = Timings(size.nodes)

    def _at(self, name: str) -> float:
        return max(0.0, self._slopes[name].at(self._size.nodes))

    def _mb(self, name: str) -> float:
        return max(0.0, self._memory[name].at(self._size.nodes))

    def _call(self) -> float:
        """CPU seconds of a small HTTP call, by that of an engine's report."""
        return float(self._targets["poll_cpu"])

    def costs(self) -> list[Cost]:
        """Return the costs of all control roles."""
        return [
            self._imports(),
            self._membership(),
            self._configuration(),
            self._vm_list(),
            self._limits(),
            self._topics(),
            self._routing(),
            self._engine_control(),
            self._placement(),
            self._timeline(),
            self._operators(),
        ]

    def data_path(self) -> dict[str, float]:
        """Return requests/s, tokens/s and cores of the data path of one node."""
        share = self._size.nodes / DESIGN.nodes
        requests = sizes.REQUESTS_PER_S * share / self._size.nodes
        tokens = sizes.TOKENS_PER_S * share / self._size.nodes
        cores = (
            requests * self._targets["request_cpu"]
            + tokens * self._targets["chunk_cpu"]
        )
        return {"requests_per_s": requests, "tokens_per_s": tokens, "cores": cores}

    def _imports(self) -> Cost:
        return Cost(
            "process and imports",
            "interpreter and modules",
            0.0,
            self._mb("imports"),
            0.0,
            0.0,
            0.0,
            0.0,
            "resident memory of a process that imported the daemon",
        )

    def _membership(self) -> Cost:
        n, timings = self._size.nodes, self._timings
        exchanges = 2 * FANOUT / timings.gossip_period_s
        # Both ends are in the measured figure; a node is one end of each exchange.
        gossip = exchanges * self._at("gossip_exchange_cpu") / 2
        node_rows = self._at("node_rows_bytes") / timings.lease_s
        rows_cpu = self._at("node_rows_cpu") / timings.lease_s
        scans = 1 / timings.renewal_period_s + 1 / timings.lease_s
        renewals = 1 / timings.renewal_period_s
        return Cost(
            "membership and leases",
            f"{n} members x 2 bytes, {n} node rows, {sizes.SHARDS} shard rows",
            gossip
            + self._at("plan_cpu") / timings.gossip_period_s
            + rows_cpu
            + (scans + renewals) * self._call(),
            self._mb("ownership"),
            exchanges * self._at("gossip_exchange_bytes")
            + node_rows
            + (scans + renewals) * _HTTP_BYTES,
            2 * exchanges,
            scans,
            renewals,
            "gossip, plan, row sizes and HTTP call measured; rates by the timings",
        )

    def _configuration(self) -> Cost:
        size = self._size
        polls = 1 / poll_interval_s(size.nodes)
        changes = sizes.CHANGES_PER_DAY / sizes.DAY_S * size.nodes / DESIGN.nodes
        # A change comes with a poll and as a push; each node pushes its share.
        received = changes * (2 * self._at("change_bytes") + 2 * _HTTP_BYTES)
        pushes = 2 * changes
        return Cost(
            "configuration",
            f"{size.engines} engines, {size.models} models, {size.keys} keys, "
            f"{size.workspaces} contracts",
            polls * self._call()
            + changes * self._at("apply_cpu")
            + pushes * self._at("gossip_exchange_cpu") / 2,
            self._mb("configuration"),
            polls * _HTTP_BYTES + received,
            2 * pushes,
            polls,
            changes / size.nodes,
            "apply, sizes and HTTP call measured; a push counted as one exchange",
        )

    def _vm_list(self) -> Cost:
        reads = _VM_LIST_READS_PER_S / POLL_S
        return Cost(
            "list of VMs",
            f"{self._size.nodes + self._size.engines} VMs",
            reads * (self._at("vm_changes_cpu") + self._call()),
            self._mb("vm_list"),
            reads * (self._at("vm_changes_bytes") + _HTTP_BYTES),
            0.0,
            0.0,
            0.0,
            "reply's bytes, decoding and HTTP call measured; at most 2 reads/s",
        )

    def _limits(self) -> Cost:
        requests = self.data_path()["requests_per_s"]
        # At most one grant for each request, and settlements four times a second
        # to two owners; a node is also the other end of as many calls.
        calls = 2 * (requests + 8)
        call_cpu = max(0.0, self._slopes["gossip_exchange_cpu"].at(0)) / 2
        return Cost(
            "limits",
            f"{self._size.workspaces} buckets over the fleet, open grants",
            calls * call_cpu + requests * self._at("grant_cpu"),
            0.0,
            calls * _HTTP_BYTES,
            2 * calls,
            0.0,
            0.0,
            "grant measured; number of calls assumed at its upper bound",
        )

    def _topics(self) -> Cost:
        size = self._size
        publishes = 2 * FANOUT / self._timings.gossip_period_s
        digests = 8 * size.engines * self._at("digest_bytes") / 15.0
        loads = 4 * min(25.0, size.engines) * 60.0
        demand = 4 * size.nodes / 3.0 * min(64, size.models) * 30.0
        wanted = {
            "engines": digests,
            "load": loads,
            "demand": demand,
            "placement": 500.0,
        }
        sent = sum(min(_TOPIC_LIMITS[name], rate) for name, rate in wanted.items())
        entries = sent / self._at("digest_bytes")
        return Cost(
            "gossip of engines, load and demand",
            f"{size.engines} digests, {size.engines} loads, {size.nodes} demands",
            publishes * self._at("publish_cpu") + entries * self._at("receive_cpu"),
            self._mb("engine_knowledge"),
            2 * sent,
            0.0,
            0.0,
            0.0,
            "publish, receive and memory measured; bytes by the books' limits",
        )

    def _routing(self) -> Cost:
        requests = self.data_path()["requests_per_s"]
        # News comes with each gossip message and with each refresh of an own
        # engine; a lookup after news builds the index anew.
        news = 2 * FANOUT / self._timings.gossip_period_s + 2.0
        rebuilds = requests * (1 - math.exp(-news / requests))
        return Cost(
            "admission and routing",
            f"{self._size.engines} engines' loads",
            rebuilds * self._at("lookup_after_change_cpu")
            + requests * self._at("choose_cpu"),
            self._mb("router"),
            0.0,
            0.0,
            0.0,
            0.0,
            "lookup after news and choice measured; number of lookups after news "
            "worked out",
        )

    def _engine_control(self) -> Cost:
        owned = self._size.engines / self._size.nodes
        polls = min(owned / _ENGINE_POLL_S, POLLS_PER_S)
        scans = 1 / max(0.25, self._size.engines / 2000)
        # A client is kept while it is used, and up to two sweeps longer.
        kept = owned + 2 * KEPT_S * self.data_path()["requests_per_s"]
        regional = self._size.engines / REGIONS
        # Today's weight stores load 2 models a second; each is a few rows.
        orders = 2.0 * 3 / self._size.nodes
        return Cost(
            "engine control",
            f"{owned:g} ledgers and engine clients",
            polls * self._call() + scans * self._at("owner_scan_cpu"),
            self._mb("engine_clients") * min(1.0, kept / regional),
            polls * self._targets["poll_bytes"],
            0.0,
            orders,
            orders,
            f"poll, scan and clients' memory measured; {min(kept, regional):.0f} "
            "clients; 2 loads/s as today",
        )

    def _placement(self) -> Cost:
        engines = self._size.engines / REGIONS
        period = max(1.0, engines / 1000)
        spent = self._at("placement_plan_cpu") + self._at("view_cpu")
        return Cost(
            PLANNING,
            f"{engines:g} engines and {self._size.models} models of a region",
            spent / period,
            0.0,
            0.0,
            0.0,
            0.0,
            0.0,
            "plan and view measured",
        )

    def _timeline(self) -> Cost:
        return Cost(
            "time line and metrics",
            "10,000 events",
            0.0,
            self._mb("timeline"),
            0.0,
            0.0,
            0.0,
            0.0,
            "memory measured with full ring; scrapes not measured",
        )

    def _operators(self) -> Cost:
        changes = sizes.CHANGES_PER_DAY / sizes.DAY_S / DESIGN.nodes
        return Cost(
            "operators' client",
            "none",
            changes * 2 * self._call(),
            0.0,
            changes * 2 * _HTTP_BYTES,
            0.0,
            0.0,
            0.0,
            "a change as two HTTP calls; HTTP call measured",
        )


def budget_lines(work: Work, size: Size) -> list[dict[str, Any]]:
    """Return the totals of a node and of the platform against their budgets."""
    costs = work.costs()
    path = work.data_path()
    n = size.nodes

    def total(name: str) -> float:
        return float(sum(getattr(cost, name) for cost in costs))

    planning = sum(cost.cpu for cost in costs if cost.role == PLANNING)
    lines = [
        ("control CPU per node", "cores", total("cpu") - planning, sizes.CPU_BUDGET),
        (
            "control CPU of the nodes that plan a region",
            "cores",
            total("cpu"),
            sizes.CPU_BUDGET,
        ),
        ("memory per node", "MB", total("memory_mb"), sizes.MEMORY_BUDGET_MB),
        (
            "control bytes per node",
            "bytes/s",
            total("bytes_per_s"),
            sizes.BYTES_BUDGET,
        ),
        ("table writes", "1/s", n * total("writes"), sizes.WRITES_BUDGET),
        ("table reads", "1/s", n * total("reads"), sizes.READS_BUDGET),
        ("data path per node (one thread)", "cores", path["cores"], 1.0),
    ]
    return [
        {
            "line": name,
            "unit": unit,
            "value": value,
            "budget": budget,
            "share": value / budget,
            "basis": "worked out from measured slopes",
        }
        for name, unit, value, budget in lines
    ]
