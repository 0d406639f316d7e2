"""Counters and latency histograms of one gateway."""

from __future__ import annotations

from collections.abc import Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Seconds; timers of a process that isn't busy are late by less than 5 ms.
LAG_BUCKETS_S = (0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5)
# Seconds; the latency objectives of routes lie between 0.2 and 8 s.
LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 8.0, 15.0)


class Metrics:
    """Metrics of one gateway in a registry of its own, not the process-wide one."""

    def __init__(self) -> None:
        """Create the registry and the metrics."""
        self._registry = CollectorRegistry()
        self._attempts = self._counter(
            "attempts", "Attempts at targets", ("service", "outcome")
        )
        self._connections = self._counter(
            "target_connections",
            "Connections to targets, opened, reused, or reset before a request",
            ("service", "event"),
        )
        self._grants = self._counter(
            "dispatched_grants",
            "Requests that this gateway granted to engines as the dispatcher, by "
            "whether an idle connection to the engine was expected",
            ("service", "connection"),
        )
        self._crashes = self._counter(
            "attempts_at_crash",
            "Attempts whose target crashed before it began to answer",
            ("service",),
        )
        self._refused_content = self._counter(
            "refused_content",
            "Requests refused because of content that crashes targets",
            ("service",),
        )
        self._named_content = Gauge(
            "flamingopond_named_content",
            "Prompt parts and requests that are refused because they crash targets",
            registry=self._registry,
        )
        self._answers = self._counter(
            "answers", "Final answers to callers", ("kind", "status")
        )
        self._unexpected_errors = self._counter(
            "unexpected_errors",
            "Requests, orders, reports and plans of a service that raised an error "
            "which the code doesn't expect",
            ("item",),
        )
        self._dropped_log_lines = Gauge(
            "flamingopond_dropped_log_lines",
            "Log lines that their reader has not taken",
            registry=self._registry,
        )
        self._store_calls = self._counter(
            "store_calls", "Calls to the store", ("call", "outcome")
        )
        self._store_era = Gauge(
            "flamingopond_store_era",
            "Times that the store has come back from an older copy",
            registry=self._registry,
        )
        self._pulls = self._counter(
            "pulls", "Pulls of table rows from peers", ("table", "outcome")
        )
        self._relays = self._counter(
            "relays",
            "Connections to targets through other gateways, asked for or carried",
            ("side", "outcome"),
        )
        self._pulled_bytes = self._counter(
            "pulled_bytes", "Bytes received in pulls", ("table",)
        )
        self._served_pulls = self._counter(
            "served_pulls", "Pulls of table rows by peers", ("table", "outcome")
        )
        self._served_bytes = self._counter(
            "served_bytes", "Bytes handed to the network in pulls", ("table",)
        )
        self._datagrams = self._counter(
            "datagrams", "Datagrams to other gateways", ("kind", "outcome")
        )
        self._datagram_bytes = self._counter(
            "datagram_bytes", "Bytes of datagrams sent to other gateways", ("kind",)
        )
        self._orders = self._counter("orders", "Orders to engines", ("kind", "outcome"))
        self._first_byte = Histogram(
            "flamingopond_first_byte_seconds",
            "Time from a request to the first byte of its answer",
            ("service", "kind"),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._first_byte_by_size = Histogram(
            "flamingopond_first_byte_by_size_seconds",
            "Time to the first byte where long and short prompts share engines",
            ("service", "size"),
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._loop_lag = Histogram(
            "flamingopond_loop_lag_seconds",
            "Time by which timers of the event loop are late",
            buckets=LAG_BUCKETS_S,
            registry=self._registry,
        )
        self._processor_seconds = Gauge(
            "flamingopond_processor_seconds",
            "Processor time of the process since its start",
            registry=self._registry,
        )
        self._duty_runs = self._counter(
            "duty_runs", "Runs of duties that a timer or a change starts", ("duty",)
        )
        self._roles = Gauge(
            "flamingopond_roles",
            "Whether this gateway has a role in the fleet",
            ("role",),
            registry=self._registry,
        )
        self._paced_connections = Gauge(
            "flamingopond_paced_connections",
            "Connections whose received bytes wait for their turn to be parsed",
            registry=self._registry,
        )
        self._ended_bodies = self._counter(
            "ended_bodies", "Bodies that ended as memory was used up", ("kind",)
        )
        self._closed_connections = self._counter(
            "closed_connections",
            "Connections of callers that were closed at the limit",
            ("use",),
        )
        self._endless_inputs = self._counter(
            "endless_inputs", "Refused input of callers that doesn't end", ()
        )
        self._resident_bytes = Gauge(
            "flamingopond_resident_bytes",
            "Resident memory of the process",
            registry=self._registry,
        )
        self._kept_bytes = Gauge(
            "flamingopond_kept_body_bytes",
            "Bytes of requests and answers that are kept in memory",
            registry=self._registry,
        )
        self._limited_targets = Gauge(
            "flamingopond_limited_targets",
            "Targets that name a limit of requests per second",
            registry=self._registry,
        )
        self._cold_targets = Gauge(
            "flamingopond_cold_targets",
            "Targets that get granted requests only, as they have just started",
            registry=self._registry,
        )
        self._evacuated_zones = Gauge(
            "flamingopond_evacuated_zones",
            "Zones whose targets get no requests as an operator has evacuated them",
            registry=self._registry,
        )
        self._blocked_targets = Gauge(
            "flamingopond_blocked_targets",
            "Targets that get no requests from this gateway",
            ("reason",),
            registry=self._registry,
        )
        self._target_durations = Gauge(
            "flamingopond_target_duration_ratio",
            "Duration of work at targets that report it, over the usual one",
            ("target",),
            registry=self._registry,
        )
        self._overload_refusals = self._counter(
            "overload_refusals",
            "Requests refused for lack of capacity, by whether their callers return",
            ("service", "expected_back"),
        )
        self._returned = self._counter(
            "returned_requests",
            "Requests of callers that came back after such a refusal",
            ("service", "outcome"),
        )
        self._waiting = Gauge(
            "flamingopond_waiting_requests",
            "Requests that wait for a target",
            registry=self._registry,
        )

    def count_attempt(self, service: str, outcome: str) -> None:
        """Count an attempt at a target."""
        self._attempts.labels(service, outcome).inc()

    def count_connection(self, service: str, event: str) -> None:
        """Count a connection that was opened, reused, or reset over a cap."""
        self._connections.labels(service, event).inc()

    def count_grant(self, service: str, expected: bool) -> None:
        """Count a grant, by whether a connection was expected to be idle."""
        self._grants.labels(service, "expected" if expected else "unknown").inc()

    def count_crash(self, service: str) -> None:
        """Count an attempt whose target crashed before it began to answer."""
        self._crashes.labels(service).inc()

    def count_refused_content(self, service: str) -> None:
        """Count a request refused because of content that crashes targets."""
        self._refused_content.labels(service).inc()

    def set_cold_targets(self, count: int) -> None:
        """Set the number of cold targets."""
        self._cold_targets.set(count)

    def set_evacuated_zones(self, count: int) -> None:
        """Set the number of evacuated zones."""
        self._evacuated_zones.set(count)

    def set_named_content(self, count: int) -> None:
        """Set the number of named prompt parts and requests."""
        self._named_content.set(count)

    def count_response(self, kind: str, status: int) -> None:
        """Count a final answer; status 0 stands for a stream that broke off."""
        self._answers.labels(kind, str(status)).inc()

    def count_unexpected_error(self, item: str) -> None:
        """Count an error that shows a defect, by the kind of item that raised it."""
        self._unexpected_errors.labels(item).inc()

    def set_dropped_log_lines(self, count: int) -> None:
        """Set how many log lines their reader has not taken."""
        self._dropped_log_lines.set(count)

    def count_store_call(self, call: str, outcome: str) -> None:
        """Count a call to the store."""
        self._store_calls.labels(call, outcome).inc()

    def set_store_era(self, era: int) -> None:
        """Set the era of the store."""
        self._store_era.set(era)

    def count_pull(self, table: str, outcome: str, size: int) -> None:
        """Count a pull from a peer and the ``size`` bytes received in it."""
        self._pulls.labels(table, outcome).inc()
        self._pulled_bytes.labels(table).inc(size)

    def count_relay(self, side: str, outcome: str) -> None:
        """Count a connection that another gateway is asked for, or is carried here."""
        self._relays.labels(side, outcome).inc()

    def count_served_pull(self, table: str, outcome: str, size: int) -> None:
        """Count a pull by a peer and the ``size`` bytes sent in it."""
        self._served_pulls.labels(table, outcome).inc()
        self._served_bytes.labels(table).inc(size)

    def count_datagram(self, kind: str, outcome: str, size: int) -> None:
        """Count a datagram of ``size`` bytes to one gateway."""
        self._datagrams.labels(kind, outcome).inc()
        if outcome == "sent":
            self._datagram_bytes.labels(kind).inc(size)

    def count_order(self, kind: str, outcome: str) -> None:
        """Count an order to an engine."""
        self._orders.labels(kind, outcome).inc()

    def observe_first_byte(self, service: str, kind: str, seconds: float) -> None:
        """Record the time to the first byte of an answer.

        Routes are no label: there may be thousands, each with a histogram.
        """
        self._first_byte.labels(service, kind).observe(seconds)

    def observe_size(self, service: str, size: str, seconds: float) -> None:
        """Record the time to the first byte of an answer by the size of its prompt."""
        self._first_byte_by_size.labels(service, size).observe(seconds)

    def count_ended_body(self, kind: str) -> None:
        """Count a body that ended as memory was used up."""
        self._ended_bodies.labels(kind).inc()

    def count_closed_connections(self, use: str, count: int) -> None:
        """Count connections of callers that were closed at the limit."""
        self._closed_connections.labels(use).inc(count)

    def count_endless_input(self) -> None:
        """Count refused input of a caller that doesn't end."""
        self._endless_inputs.inc()

    def set_resident_bytes(self, size: int) -> None:
        """Set the resident memory of the process."""
        self._resident_bytes.set(size)

    def set_kept_bytes(self, size: int) -> None:
        """Set the number of bytes of kept requests and answers."""
        self._kept_bytes.set(size)

    def observe_loop_lag(self, seconds: float) -> None:
        """Record by how much a timer was late."""
        self._loop_lag.observe(seconds)

    def set_processor_seconds(self, seconds: float) -> None:
        """Set the processor time of the process since its start."""
        self._processor_seconds.set(seconds)

    def count_duty_run(self, duty: str) -> None:
        """Count a run of a periodic duty."""
        self._duty_runs.labels(duty).inc()

    def set_roles(self, roles: Mapping[str, bool]) -> None:
        """Set which roles this gateway has."""
        for role, held in roles.items():
            self._roles.labels(role).set(held)

    def set_paced_connections(self, count: int) -> None:
        """Set the number of connections whose input waits for its turn."""
        self._paced_connections.set(count)

    def set_limited_targets(self, count: int) -> None:
        """Set the number of targets that name a limit."""
        self._limited_targets.set(count)

    def set_blocked_targets(self, counts: Mapping[str, int]) -> None:
        """Set the number of blocked targets of each reason."""
        for reason, count in counts.items():
            self._blocked_targets.labels(reason).set(count)

    def set_target_durations(self, ratios: Mapping[str, float]) -> None:
        """Replace the duration ratios by target."""
        self._target_durations.clear()
        for target_id, ratio in ratios.items():
            self._target_durations.labels(target_id).set(ratio)

    def count_overload_refusal(self, service: str, expected_back: bool) -> None:
        """Count a request that is refused for lack of capacity."""
        self._overload_refusals.labels(service, str(expected_back).lower()).inc()

    def count_returned(self, service: str, outcome: str) -> None:
        """Count the end of a request whose caller came back after a refusal."""
        self._returned.labels(service, outcome).inc()

    def set_waiting(self, requests: int) -> None:
        """Set the number of waiting requests."""
        self._waiting.set(requests)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(f"flamingopond_{name}", text, labels, registry=self._registry)
