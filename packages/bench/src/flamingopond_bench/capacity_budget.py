"""Estimates each role's steady-state cost at a fleet size from fitted measurements."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

import attrs

from flamingopond_bench import capacity_sizes as sizes
from flamingopond_bench.capacity_fit import LinearFit
from flamingopond_bench.capacity_sizes import DESIGN_SIZE, REGION_COUNT, FleetSize
from flamingopond_core.revisions import poll_interval_s
from flamingopond_core.roster import Timings
from flamingopond_daemon.cluster import GOSSIP_FANOUT
from flamingopond_daemon.drain_tracker import VM_LIST_POLL_S
from flamingopond_daemon.engineclients import IDLE_CLIENT_TIMEOUT_S
from flamingopond_daemon.enginecontrol import POLLS_PER_S

# Bytes per second that a node may send of each gossip topic; see enginegossip.
_TOPIC_BYTES_PER_S = {"engines": 8000, "load": 3000, "demand": 3000, "placement": 2000}
# The three readers of the VM list on a node (cluster, leaving, enginecontrol) share
# responses that are at most half a second old.
_VM_LIST_READS_PER_S = 2.0
# Bytes of a small HTTP call, and of a table row in a response beyond its value.
_HTTP_OVERHEAD_BYTES = 400
# Time between two polls of one engine; see enginecontrol.
_ENGINE_POLL_PERIOD_S = 1.0
PLANNING_ROLE = "placement (on 4 nodes only)"


@attrs.frozen
class Cost:
    """Steady-state cost of one role on one node; rates are per second.

    ``cpu`` is in cores. ``messages`` are those sent to and received from peers;
    ``reads`` and ``writes`` are operations on the table. ``how`` names the
    measurements behind the estimate.
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


class CostModel:
    """Costs at one fleet size, from linear fits over the number of nodes."""

    def __init__(self, measured: Mapping[str, Any], size: FleetSize) -> None:
        """``measured`` has fits in ``slopes`` and ``memory_slopes``, and ``targets``.

        ``targets`` has the costs of an engine poll, a request and a chunk.
        """
        self._size = size
        self._fits = {
            name: LinearFit(**{k: v for k, v in slope.items() if k != "unit"})
            for name, slope in (*measured["slopes"].items(),)
        }
        self._memory_fits = {
            name: LinearFit(**slope)
            for name, slope in measured["memory_slopes"].items()
        }
        self._unit_costs = measured["targets"]
        self._timings = Timings(size.nodes)

    def _estimate(self, name: str) -> float:
        return max(0.0, self._fits[name].predict(self._size.nodes))

    def _memory_mb(self, name: str) -> float:
        return max(0.0, self._memory_fits[name].predict(self._size.nodes))

    def _http_call_cpu_s(self) -> float:
        """CPU seconds of a small HTTP call, taken from a poll of an engine's report."""
        return float(self._unit_costs["poll_cpu"])

    def costs(self) -> list[Cost]:
        """Return the costs of all control-plane roles."""
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
        fleet_fraction = self._size.nodes / DESIGN_SIZE.nodes
        requests_per_s = sizes.REQUESTS_PER_S * fleet_fraction / self._size.nodes
        tokens_per_s = sizes.TOKENS_PER_S * fleet_fraction / self._size.nodes
        cores = (
            requests_per_s * self._unit_costs["request_cpu"]
            + tokens_per_s * self._unit_costs["chunk_cpu"]
        )
        return {
            "requests_per_s": requests_per_s,
            "tokens_per_s": tokens_per_s,
            "cores": cores,
        }

    def _imports(self) -> Cost:
        return Cost(
            "process and imports",
            "interpreter and modules",
            0.0,
            self._memory_mb("imports"),
            0.0,
            0.0,
            0.0,
            0.0,
            "resident memory of a process that imported the daemon",
        )

    def _membership(self) -> Cost:
        n, timings = self._size.nodes, self._timings
        exchanges_per_s = 2 * GOSSIP_FANOUT / timings.gossip_period_s
        # The measurement includes both ends; a node is one end of each exchange.
        gossip_cores = exchanges_per_s * self._estimate("gossip_exchange_cpu") / 2
        node_rows_bytes_per_s = self._estimate("node_rows_bytes") / timings.lease_s
        node_rows_cores = self._estimate("node_rows_cpu") / timings.lease_s
        scans_per_s = 1 / timings.renewal_period_s + 1 / timings.lease_s
        renewals_per_s = 1 / timings.renewal_period_s
        return Cost(
            "membership and leases",
            f"{n} members x 2 bytes, {n} node rows, {sizes.SHARD_COUNT} shard rows",
            gossip_cores
            + self._estimate("plan_cpu") / timings.gossip_period_s
            + node_rows_cores
            + (scans_per_s + renewals_per_s) * self._http_call_cpu_s(),
            self._memory_mb("ownership"),
            exchanges_per_s * self._estimate("gossip_exchange_bytes")
            + node_rows_bytes_per_s
            + (scans_per_s + renewals_per_s) * _HTTP_OVERHEAD_BYTES,
            2 * exchanges_per_s,
            scans_per_s,
            renewals_per_s,
            "gossip, plan, row sizes and HTTP call measured; rates by the timings",
        )

    def _configuration(self) -> Cost:
        size = self._size
        polls_per_s = 1 / poll_interval_s(size.nodes)
        changes_per_s = (
            sizes.CHANGES_PER_DAY / sizes.DAY_S * size.nodes / DESIGN_SIZE.nodes
        )
        # A node receives each change by a poll and by a push, and sends its share of
        # the pushes.
        received_bytes_per_s = changes_per_s * (
            2 * self._estimate("change_bytes") + 2 * _HTTP_OVERHEAD_BYTES
        )
        pushes_per_s = 2 * changes_per_s
        return Cost(
            "configuration",
            f"{size.engines} engines, {size.models} models, {size.keys} keys, "
            f"{size.workspaces} contracts",
            polls_per_s * self._http_call_cpu_s()
            + changes_per_s * self._estimate("apply_cpu")
            + pushes_per_s * self._estimate("gossip_exchange_cpu") / 2,
            self._memory_mb("configuration"),
            polls_per_s * _HTTP_OVERHEAD_BYTES + received_bytes_per_s,
            2 * pushes_per_s,
            polls_per_s,
            changes_per_s / size.nodes,
            "apply, sizes and HTTP call measured; a push counted as one exchange",
        )

    def _vm_list(self) -> Cost:
        reads_per_s = _VM_LIST_READS_PER_S / VM_LIST_POLL_S
        return Cost(
            "list of VMs",
            f"{self._size.nodes + self._size.engines} VMs",
            reads_per_s * (self._estimate("vm_changes_cpu") + self._http_call_cpu_s()),
            self._memory_mb("vm_list"),
            reads_per_s * (self._estimate("vm_changes_bytes") + _HTTP_OVERHEAD_BYTES),
            0.0,
            0.0,
            0.0,
            "reply's bytes, decoding and HTTP call measured; at most 2 reads/s",
        )

    def _limits(self) -> Cost:
        requests_per_s = self.data_path()["requests_per_s"]
        # At most one grant per request, and settlements four times a second to two
        # owners. A node also serves as many calls as it makes.
        calls_per_s = 2 * (requests_per_s + 8)
        call_cpu_s = max(0.0, self._fits["gossip_exchange_cpu"].predict(0)) / 2
        return Cost(
            "limits",
            f"{self._size.workspaces} buckets over the fleet, open grants",
            calls_per_s * call_cpu_s + requests_per_s * self._estimate("grant_cpu"),
            0.0,
            calls_per_s * _HTTP_OVERHEAD_BYTES,
            2 * calls_per_s,
            0.0,
            0.0,
            "grant measured; number of calls assumed at its upper bound",
        )

    def _topics(self) -> Cost:
        size = self._size
        publishes_per_s = 2 * GOSSIP_FANOUT / self._timings.gossip_period_s
        digest_bytes_per_s = 8 * size.engines * self._estimate("digest_bytes") / 15.0
        load_bytes_per_s = 4 * min(25.0, size.engines) * 60.0
        demand_bytes_per_s = 4 * size.nodes / 3.0 * min(64, size.models) * 30.0
        unlimited_bytes_per_s = {
            "engines": digest_bytes_per_s,
            "load": load_bytes_per_s,
            "demand": demand_bytes_per_s,
            "placement": 500.0,
        }
        sent_bytes_per_s = sum(
            min(_TOPIC_BYTES_PER_S[name], rate)
            for name, rate in unlimited_bytes_per_s.items()
        )
        entries_per_s = sent_bytes_per_s / self._estimate("digest_bytes")
        return Cost(
            "gossip of engines, load and demand",
            f"{size.engines} digests, {size.engines} loads, {size.nodes} demands",
            publishes_per_s * self._estimate("publish_cpu")
            + entries_per_s * self._estimate("receive_cpu"),
            self._memory_mb("engine_knowledge"),
            2 * sent_bytes_per_s,
            0.0,
            0.0,
            0.0,
            "publish, receive and memory measured; bytes by the books' limits",
        )

    def _routing(self) -> Cost:
        requests_per_s = self.data_path()["requests_per_s"]
        # Each gossip message and each refresh of an engine that this node owns may
        # change the index; the next lookup then rebuilds it.
        updates_per_s = 2 * GOSSIP_FANOUT / self._timings.gossip_period_s + 2.0
        rebuilds_per_s = requests_per_s * (
            1 - math.exp(-updates_per_s / requests_per_s)
        )
        return Cost(
            "admission and routing",
            f"{self._size.engines} engines' loads",
            rebuilds_per_s * self._estimate("lookup_after_change_cpu")
            + requests_per_s * self._estimate("choose_cpu"),
            self._memory_mb("router"),
            0.0,
            0.0,
            0.0,
            0.0,
            "lookup after news and choice measured; number of lookups after news "
            "worked out",
        )

    def _engine_control(self) -> Cost:
        owned_engines = self._size.engines / self._size.nodes
        polls_per_s = min(owned_engines / _ENGINE_POLL_PERIOD_S, POLLS_PER_S)
        scans_per_s = 1 / max(0.25, self._size.engines / 2000)
        # An engine client is kept while in use and for up to two sweeps longer.
        kept_clients = (
            owned_engines
            + 2 * IDLE_CLIENT_TIMEOUT_S * self.data_path()["requests_per_s"]
        )
        region_engines = self._size.engines / REGION_COUNT
        # Current weight stores load 2 models a second; a load reads and writes 3 rows.
        orders_per_s = 2.0 * 3 / self._size.nodes
        return Cost(
            "engine control",
            f"{owned_engines:g} ledgers and engine clients",
            polls_per_s * self._http_call_cpu_s()
            + scans_per_s * self._estimate("owner_scan_cpu"),
            self._memory_mb("engine_clients") * min(1.0, kept_clients / region_engines),
            polls_per_s * self._unit_costs["poll_bytes"],
            0.0,
            orders_per_s,
            orders_per_s,
            "poll, scan and clients' memory measured; "
            f"{min(kept_clients, region_engines):.0f} clients; 2 loads/s as today",
        )

    def _placement(self) -> Cost:
        region_engines = self._size.engines / REGION_COUNT
        period_s = max(1.0, region_engines / 1000)
        plan_cpu_s = self._estimate("placement_plan_cpu") + self._estimate("view_cpu")
        return Cost(
            PLANNING_ROLE,
            f"{region_engines:g} engines and {self._size.models} models of a region",
            plan_cpu_s / period_s,
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
            self._memory_mb("timeline"),
            0.0,
            0.0,
            0.0,
            0.0,
            "memory measured with full ring; scrapes not measured",
        )

    def _operators(self) -> Cost:
        changes_per_s = sizes.CHANGES_PER_DAY / sizes.DAY_S / DESIGN_SIZE.nodes
        return Cost(
            "operators' client",
            "none",
            changes_per_s * 2 * self._http_call_cpu_s(),
            0.0,
            changes_per_s * 2 * _HTTP_OVERHEAD_BYTES,
            0.0,
            0.0,
            0.0,
            "a change as two HTTP calls; HTTP call measured",
        )


def budget_lines(model: CostModel, size: FleetSize) -> list[dict[str, Any]]:
    """Return the totals of a node and of the platform next to their budgets."""
    costs = model.costs()
    path_load = model.data_path()
    n = size.nodes

    def total(name: str) -> float:
        return float(sum(getattr(cost, name) for cost in costs))

    planning_cores = sum(cost.cpu for cost in costs if cost.role == PLANNING_ROLE)
    lines = [
        (
            "control CPU per node",
            "cores",
            total("cpu") - planning_cores,
            sizes.CPU_BUDGET_CORES,
        ),
        (
            "control CPU of the nodes that plan a region",
            "cores",
            total("cpu"),
            sizes.CPU_BUDGET_CORES,
        ),
        ("memory per node", "MB", total("memory_mb"), sizes.MEMORY_BUDGET_MB),
        (
            "control bytes per node",
            "bytes/s",
            total("bytes_per_s"),
            sizes.BYTES_PER_S_BUDGET,
        ),
        ("table writes", "1/s", n * total("writes"), sizes.WRITES_PER_S_BUDGET),
        ("table reads", "1/s", n * total("reads"), sizes.READS_PER_S_BUDGET),
        ("data path per node (one thread)", "cores", path_load["cores"], 1.0),
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
