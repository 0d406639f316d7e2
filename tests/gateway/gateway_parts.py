"""Factories of gateway objects for the tests."""

from __future__ import annotations

from flamingopond_gateway.configuration import (
    Configuration,
    EngineSpec,
    Model,
    Route,
    RouteKind,
    Service,
    WeightedService,
    Workspace,
)
from flamingopond_gateway.dispatch.loads import WorkTable
from flamingopond_gateway.dispatch.scheduler import Scheduler
from flamingopond_gateway.dispatch.tickets import Ticket
from flamingopond_gateway.exchange.members import Members
from flamingopond_gateway.exchange.stream_origins import StreamOrigins
from flamingopond_gateway.exchange.streamlink import StreamLink
from flamingopond_gateway.requests import Generation, PromptPart, Request
from flamingopond_gateway.settings import Bounds, GatewaySettings
from flamingopond_gateway.store.software_history import SoftwareHistory
from flamingopond_gateway.store.storage import Row, RowConflictError, Rows
from flamingopond_gateway.store.watch import EraTracker, StoreClock
from flamingopond_gateway.targets.engines import EngineState
from flamingopond_gateway.targets.health import HealthTracker
from flamingopond_gateway.targets.holdings import HoldingsCache
from flamingopond_gateway.targets.prefill_rate import PrefillRateEstimator
from flamingopond_gateway.targets.roster import (
    Holding,
    Roster,
    Target,
    TargetEntry,
    TargetState,
)

BOUNDS = Bounds(
    stable_s=3.0,
    drain_s=2.0,
    grace_s=8.0,
    config_s=2.0,
    retry_ratio=0.2,
    retry_window_s=10.0,
    retry_slack=56.0,
    quota_window_s=8.0,
    quota_over=0.1,
    quota_slack=11000.0,
    lease_s=3.0,
    thaw_s=0.3,
    load_window_s=5.0,
    load_over=1.1,
    cold_over=1.5,
    cold_slack=5.0,
)


def settings(node="gw-1", front=("127.0.0.1", 0), store=("127.0.0.1", 1), **changes):
    values = {
        "node": node,
        "zone": "gosaba",
        "ip": "127.0.0.1",
        "front": front,
        "ready": ("127.0.0.1", 0),
        "peer_port": 0,
        "metrics_port": 0,
        "store": store,
        "max_row_bytes": 65536,
        "first_start": True,
        "heartbeat_s": 1.2,
        "link_mbps": 1000.0,
        "memory_mb": 300.0,
        "bounds": BOUNDS,
    }
    return GatewaySettings(**(values | changes))


def model(name, weights_mb=70.0, **changes):
    values = {"load_s": 8.0, "warm_s": 0.6, "disk_s": 1.6, "adapter_mb": 0.1}
    return Model(name, weights_mb, **(values | changes))


def engine_spec(*models, **changes):
    values = {
        "slots": 32,
        "kv_tokens": 120000,
        "weights_mb": 200.0,
        "adapter_slots": 8,
        "loads_per_s": 2.1,
        "host_mb": 140.0,
        "disk_mb": 410.0,
        "models": {one.name: one for one in models},
    }
    return EngineSpec(**(values | changes))


def route(kind=RouteKind.STREAM, **changes):
    values = {
        "name": "drafts",
        "host": "trust.example",
        "prefix": "/drafts/",
        "kind": kind,
        "timeout_s": 15.0,
        "objective_s": 0.8,
        "priority": 1,
        "shares": (WeightedService("log-models", 1.0),),
        "max_attempts": 2,
        "resumable": kind is RouteKind.STREAM,
    }
    return Route(**(values | changes))


def configuration(spec=None, routes=(), version=1, **changes):
    return Configuration(
        version=version,
        routes=tuple(routes),
        services={"log-models": Service("log-models", engine=spec)},
        workspaces=changes.pop("workspaces", {"trust": Workspace("trust")}),
        keys=changes.pop("keys", {"key-1": "trust"}),
        **changes,
    )


def target(target_id, models=(), service="log-models", **changes):
    values = {
        "start_id": 1,
        "service": service,
        "address": ("127.0.0.1", 9),
        "zone": "gosaba",
        "slots": 32,
        "state": TargetState.READY,
        "holdings": {name: Holding(name, 1) for name in models},
    }
    return Target(target_id, **(values | changes))


async def no_records():
    return ()


async def are_current(now):
    """Confirm the list of targets, or the history of their versions."""


class VersionedStore:
    """Keeps rows, each with the version of its write; checks expected versions.

    With ``error`` calls fail. ``calls`` are the tables that were read or written.
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.calls = []
        self.error = None

    async def read(self, table, timeout_s, part=""):
        self.calls.append(("read", table))
        if self.error is not None:
            raise self.error
        return Rows(tuple(self.of(table)), self.version)

    async def write(self, changes, timeout_s):
        self.calls += [("write", change.table) for change in changes]
        if self.error is not None:
            raise self.error
        return self.apply(changes)

    def apply(self, changes):
        rows = [self.rows.get((change.table, change.key)) for change in changes]
        for row, change in zip(rows, changes, strict=True):
            found = row.version if row is not None else 0
            if change.expected_version not in (None, found):
                raise RowConflictError(tuple(row for row in rows if row))
        self.version += 1
        for change in changes:
            self.rows[change.table, change.key] = Row(
                change.table, change.part, change.key, change.value, self.version
            )
        return self.version

    def of(self, table):
        return [row for row in self.rows.values() if row.table == table]

    def count(self, call, table):
        return self.calls.count((call, table))


def stream_origins(roster):
    """Return the origins of a system in which no stream has begun before."""
    history = SoftwareHistory(first_start=True)
    present = {}
    for found in roster.listed():
        present.setdefault(found.service, set()).add(found.software)
    history.note_present(present, 1.0, 60000.0)
    return StreamOrigins(
        history,
        lambda now: 1000 * now,
        lambda: 60.0,
        no_records,
        are_current,
        are_current,
    )


def stream_link(store, listed, configuration, now, node="gw-1", **changes):
    """Return the stream link of a first hub whose store's clock is known."""
    clock = StoreClock()
    clock.note(1000 * now + 1, now)
    return StreamLink(
        settings(node),
        store,
        EraTracker(),
        clock,
        Members(node),
        listed,
        lambda: configuration,
        are_current,
        **changes,
    )


def roster(*targets):
    filled = Roster()
    entries = [TargetEntry(one.id, 1, one) for one in targets]
    filled.apply(entries, 1, now=0.0, store_unreliable=False)
    return filled


def request(request_id="r-1", model_name="m0", tokens=1000, output=100, **changes):
    generation = None
    if model_name is not None:
        base, _, adapter = model_name.partition("/")
        generation = Generation(
            base,
            adapter or None,
            tokens,
            output,
            parts=changes.pop("parts", (PromptPart("p", 300), PromptPart("q", 700))),
        )
    values = {
        "method": "POST",
        "url": "/drafts/1",
        "host": "trust.example",
        "path": "/drafts/1",
        "headers": [],
        "key": "key-1",
        "timeout_s": 15.0,
        "last_event_id": None,
        "generation": generation,
        "arrived_at": 0.0,
    }
    return Request(id=request_id, **(values | changes))


def ticket(
    request_id="r-1", model_name="m0", at=0.0, on=None, priority_rank=1, **changes
):
    asked = request(request_id, model_name, arrived_at=at, **changes)
    on = on or route()
    return Ticket(
        request=asked,
        route=on,
        service="log-models",
        workspace=None,
        arrived_at=at,
        objective_deadline=at + on.objective_s,
        deadline=at + on.timeout_s,
        queue_deadline=at + 3.0,
        priority_rank=priority_rank,
    )


def scheduler(targets, spec=None, zone="gosaba", holdings=None):
    config = configuration(spec)
    return Scheduler(
        roster(*targets),
        WorkTable(),
        HealthTracker(),
        PrefillRateEstimator(),
        holdings or HoldingsCache(),
        zone,
        lambda: config,
    )


def engine(name, models=(), on_disk=(), in_memory=(), **changes):
    state = EngineState(target(name, models))
    state.models = {held: set() for held in models}
    state.accepted_order_count = 0
    state.on_disk = set(on_disk) | set(models)
    state.in_memory = set(in_memory)
    for field, value in changes.items():
        setattr(state, field, value)
    return state
