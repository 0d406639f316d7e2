"""Tests of what gateways do without any request, and of how that grows with the fleet.

They count timers, calls of functions and looks at targets, not seconds.
"""

from __future__ import annotations

import asyncio
import gc
import sys

import gateway_parts as parts
import pytest
from test_gateway_dispatch import make_dispatcher

from flamingopond_adapter.program import PlatformAdapter
from flamingopond_gateway.dispatch.scheduler import Scheduler
from flamingopond_gateway.exchange.members import HUB_COUNT, Members
from flamingopond_gateway.gateway import HOUSEKEEPING_PERIOD_S, Gateway
from flamingopond_gateway.messages import DispatchRequest
from flamingopond_gateway.placement.placement import Planner
from flamingopond_gateway.store.storage import Row, Rows
from flamingopond_gateway.store.tables import TableCopy

pytestmark = pytest.mark.anyio

IDLE_S = 0.5


@pytest.fixture
def anyio_backend():
    return "asyncio"


def make_gateway(targets=0):
    settings = parts.settings()
    gateway = Gateway(settings, PlatformAdapter(None), lambda: settings)
    gateway.roster = parts.roster(*(parts.target(f"e{n}") for n in range(targets)))
    gateway.scheduler.roster = gateway.roster
    return gateway


def calls_of(function):
    """Return how many functions written in Python a call of ``function`` calls."""
    count = 0

    def record(frame, event, argument):
        nonlocal count
        count += event == "call"

    # Finalizers of other tests' objects would be counted.
    gc.disable()
    sys.setprofile(record)
    try:
        function()
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


# Guards against dashboards without the figures that tell a busy gateway's role from
# its work.
async def test_metrics_show_processor_time_roles_and_duties():
    gateway = make_gateway()
    gateway.metrics.count_duty_run("report")
    text = gateway._metrics_text()
    assert b"\nflamingopond_processor_seconds 0.0" not in text
    assert b"\nflamingopond_processor_seconds " in text
    assert b'\nflamingopond_roles{role="lease_holder"} 0.0' in text
    assert b'\nflamingopond_duty_runs_total{duty="report"} 1.0' in text


# Guards Fault: days of 195 gateways were given up for their processor time. Each
# looked for waiting requests a hundred times a second, though there were none.
@pytest.mark.parametrize(
    "duty",
    [
        lambda gateway: gateway._run_admission,
        lambda gateway: gateway.exchange.dispatch_link.run,
        lambda gateway: gateway.exchange.dispatch_link.assign_periodically,
    ],
    ids=["admission", "dispatch request", "assignment"],
)
async def test_no_timer_runs_while_no_request_waits(duty, monkeypatch):
    loop = asyncio.get_running_loop()
    timers = []
    call_at = loop.call_at

    def record(when, *arguments, **options):
        timers.append(when)
        return call_at(when, *arguments, **options)

    monkeypatch.setattr(loop, "call_at", record)
    task = asyncio.ensure_future(duty(make_gateway())())
    await asyncio.sleep(IDLE_S)
    task.cancel()
    # One is that of the sleep above.
    assert len(timers) == 1


# Guards Fault: the figures of all targets were taken four times a second, also while
# nobody read the metrics.
async def test_targets_are_counted_only_for_a_reader_of_the_metrics(monkeypatch):
    looks = []
    block = Scheduler.block
    monkeypatch.setattr(
        Scheduler, "block", lambda *found: (looks.append(found[1]), block(*found))[1]
    )
    gateway = make_gateway(targets=5)
    task = asyncio.ensure_future(gateway._housekeeping())
    await asyncio.sleep(2.5 * HOUSEKEEPING_PERIOD_S)
    task.cancel()
    assert not looks
    assert b'blocked_targets{reason="leaving"} 0.0' in gateway._metrics_text()
    assert len(looks) == 5


def heard_fleet(size):
    """Return the members of a fleet of ``size`` whose hubs are heard at 1.0 s."""
    members = Members("gw-999", 5)
    for number in range(size - 1):
        members.add(f"gw-{number:03}", ("10.0.0.1", 1), 1, 100)
    for number in range(HUB_COUNT):
        members.note_hub_summary(f"gw-{number:03}", 1.0)
    return members


def idle_dispatcher(size):
    """Return a dispatcher that ``size`` gateways use, none with a request."""
    dispatcher = make_dispatcher("e1")
    for number in range(size):
        message = DispatchRequest(f"gw-{number}", 1, 1, 1, "gosaba", [], [], [])
        dispatcher.handle_dispatch_request(message, ("10.0.0.1", 1), 1.0)
    return dispatcher


def read_table(size):
    """Return a copy of a table with ``size`` rows."""
    copy = TableCopy()
    rows = (Row("servers", "", f"e{n}", b"{}", n + 1) for n in range(size))
    copy.replace(Rows(tuple(rows), size + 1))
    return copy


# Guards Fault: what each gateway does many times a second grew with the fleet, so that
# the fleet's processor time grew with the square of its size.
@pytest.mark.parametrize(
    ("build", "duty"),
    [
        (heard_fleet, lambda members: members.hubs(1.1)),
        (heard_fleet, lambda members: members.member_rank()),
        (idle_dispatcher, lambda dispatcher: dispatcher.pending),
        (read_table, lambda copy: copy.content_version),
    ],
    ids=["hubs", "rank", "pending", "table"],
)
def test_idle_duty_does_not_grow_with_the_fleet(build, duty):
    counts = []
    for size in (8, 86, 300):
        built = build(size)
        duty(built)
        counts.append(calls_of(lambda built=built: duty(built)))
    assert len(set(counts)) == 1


# Guards Fault: the lease holder looked at each model for each pair of another model and
# an engine, so that its work grew with the third power of a deployment's size.
def test_plan_grows_with_pairs_of_a_model_and_an_engine_at_most():
    counts = []
    for size in (20, 40, 80):
        models = [parts.model(f"m{n}", weights_mb=60.0) for n in range(2 * size)]
        spec = parts.engine_spec(*models, weights_mb=200.0)
        engines = [parts.engine(f"e{n}", [f"m{n}", f"m{n + 1}"]) for n in range(size)]
        planner = Planner(parts.BOUNDS)
        counts.append(
            calls_of(
                lambda planner=planner, spec=spec, engines=engines: planner.plan(
                    "log-models", spec, engines, {}, 100.0
                )
            )
        )
    # Four times the engines and models are sixteen times the pairs.
    assert counts[2] <= 16 * counts[0]
