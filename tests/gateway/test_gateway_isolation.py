"""One item that can't be handled doesn't end the others.

An error in a request, an order, a report, a plan, the settings file, a pull or the log
ended the task group of the process, and so all that it served.
"""

from __future__ import annotations

import asyncio
import signal

import anyio
import fake_platform
import gateway_parts as parts
import path_parts as path
import power_parts as power
import pytest
import uvloop
from attrs import define, evolve

from flamingopond_adapter.program import EngineCallCodec, PlatformAdapter
from flamingopond_gateway.configuration import Workspace
from flamingopond_gateway.dispatch.quota import QuotaTracker
from flamingopond_gateway.exchange.pulls import PULL_ERRORS, Transfer, pull_rows
from flamingopond_gateway.gateway import Gateway
from flamingopond_gateway.messages import Pull
from flamingopond_gateway.placement.controller import PlacementController
from flamingopond_gateway.placement.placement import Planner
from flamingopond_gateway.targets.engines import EngineState
from flamingopond_gateway.targets.orders import Order, OrderKind, PlannedOrder

pytestmark = pytest.mark.anyio

UNSENDABLE = "trust\r\nX-Hold: 7"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def use_unsendable_workspace(forwarder, monkeypatch):
    found = forwarder.configuration()
    changed = evolve(
        found,
        workspaces=found.workspaces | {UNSENDABLE: Workspace(UNSENDABLE)},
        keys=found.keys | {"key-2": UNSENDABLE},
    )
    forwarder.configuration = lambda: changed


def raise_for_one_workspace(forwarder, monkeypatch):
    use_unsendable_workspace(forwarder, monkeypatch)
    cost = QuotaTracker.cost

    def raising_cost(self, workspace, tokens):
        if workspace.name == UNSENDABLE:
            raise KeyError(workspace.name)
        return cost(self, workspace, tokens)

    monkeypatch.setattr(QuotaTracker, "cost", raising_cost)


def counted(metrics, start):
    lines = metrics.text().decode().splitlines()
    return sum(float(line.split()[-1]) for line in lines if line.startswith(start))


# Guards LOST: an error in one request closed its connection without an answer. What
# fails, the status that the caller gets, and the counter that shows it.
@pytest.mark.parametrize("url", ["/orders/1", "/drafts/1"])
@pytest.mark.parametrize(
    ("prepare", "status", "counter"),
    [
        (use_unsendable_workspace, 502, 'attempts_total{outcome="unencodable"'),
        (raise_for_one_workspace, 500, 'unexpected_errors_total{item="request"}'),
    ],
)
async def test_request_that_fails_gets_an_answer(
    prepare, status, counter, url, monkeypatch
):
    target = path.FakeTarget(*[path.respond(200, b"sound")] * 2)
    async with path.running_path(target) as running:
        prepare(running.forwarder, monkeypatch)
        data = path.request_bytes(url)
        odd = data.replace(b"Bearer key-1", b"Bearer key-2")
        response = await running.exchange(odd)
        assert response.startswith(b"HTTP/1.1 %d " % status)
        assert b"Retry-After" not in response
        assert target.requests == []
        assert counted(running.forwarder.metrics, f"flamingopond_{counter}") == 1
        assert running.forwarder.scheduler.work.at("e0").requests == 0
        response = await running.exchange(path.request_bytes("/lookups/1"))
        assert response.startswith(b"HTTP/1.1 200 ")


@define
class FaultyCodec(EngineCallCodec):
    """Raises ``error`` as one call to the target ``odd`` is encoded."""

    method: str = ""
    error: type[Exception] = KeyError

    def encode_report_call(self, target):
        self._check("report", target)
        return super().encode_report_call(target)

    def encode_order(self, target, order, lease_holder, fence):
        self._check("order", target)
        return super().encode_order(target, order, lease_holder, fence)

    def _check(self, method, target):
        if target.id == "odd" and method == self.method:
            raise self.error(target.id)


# Guards Fault: the lease holder ended at the call to one engine, and so did the next.
@pytest.mark.parametrize(
    ("method", "error", "count"),
    [
        ("order", ValueError, 0),
        ("order", KeyError, 1),
        ("report", ValueError, 1),
        ("report", KeyError, 1),
        ("plan", KeyError, 1),
    ],
)
async def test_engine_that_fails_does_not_end_the_placement(method, error, count):
    settings = parts.settings()
    adapter = PlatformAdapter(None, engines=FaultyCodec(method, error))
    gateway = Gateway(settings, adapter, lambda: settings)
    controller = gateway.controller
    spec = parts.engine_spec(parts.model("m0"))
    gateway._configuration = parts.configuration(spec)
    engines = [power.Target(power.Store(), name, "log-models") for name in ("odd", "b")]
    states = []
    for engine in engines:
        await engine.start()
        address = ("127.0.0.1", engine.port)
        states.append(EngineState(parts.target(engine.id, address=address)))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(PlacementController, "fence", property(lambda self: 7))
        if method == "plan":

            def plan(*_):
                raise error("odd")

            patch.setattr(Planner, "plan", plan)
        async with anyio.create_task_group() as tasks:
            controller._plan(tasks, 0.0)
            for state in states:
                order = Order(OrderKind.LOAD, "m0", None, 0)
                state.order_in_flight = True
                tasks.start_soon(controller._request_report, state)
                tasks.start_soon(controller._execute_order, PlannedOrder(state, order))
            await asyncio.sleep(0)
    assert [order.model for order in engines[1].orders] == ["m0"]
    assert all(not state.order_in_flight for state in states)
    text = f'flamingopond_unexpected_errors_total{{item="{method}"}}'
    assert counted(gateway.metrics, text) == count
    for engine in engines:
        engine.close()


# Guards Fault: the options of a connection that its peer had reset raised an error
# that a pull doesn't expect, which ended the process.
@pytest.mark.parametrize("new_loop", [uvloop.new_event_loop, asyncio.new_event_loop])
@pytest.mark.parametrize("closing", [True, False], ids=["closing", "closed"])
def test_pull_from_a_peer_that_resets_at_once(new_loop, closing, monkeypatch):
    opened = asyncio.open_connection

    async def open_and_close(*address):
        reader, writer = await opened(*address)
        writer.transport.abort()
        await asyncio.sleep(0 if closing else 0.05)
        return reader, writer

    async def pull():
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        with pytest.raises(PULL_ERRORS):
            await pull_rows(address, Pull("servers", 0), Transfer())
        server.close()

    monkeypatch.setattr(asyncio, "open_connection", open_and_close)
    with asyncio.Runner(loop_factory=new_loop) as runner:
        runner.run(pull())


# Guards Fault: an error other than SettingsError in a reload ended the process.
@pytest.mark.processes
@pytest.mark.parametrize(
    "content",
    [
        lambda whole: whole + "# বাঁধ".encode()[:-1],
        lambda whole: whole[:40],
        lambda whole: whole + b"a = " + b"[" * 100_000,
    ],
    ids=["within a character", "within a value", "nested deeply"],
)
async def test_settings_that_are_read_while_they_are_written(tmp_path, content):
    async with power.deployment(tmp_path) as running:
        await running.add_target("desk-1", "desk")
        running.store.put("op", "config", fake_platform.CONFIGURATION)
        await running.start_gateways(1)
        (gateway,) = running.gateways
        settings = tmp_path / f"{gateway.node}.toml"
        whole = settings.read_bytes()
        settings.write_bytes(content(whole))
        gateway.process.send_signal(signal.SIGHUP)
        await power.wait_until(lambda: gateway.events("reading settings failed"))
        assert (await gateway.ask("/orders/1", "r-1"))[0] == 200
        settings.write_bytes(whole.replace(b"graceS = 4", b"graceS = 5"))
        gateway.process.send_signal(signal.SIGHUP)
        await power.wait_until(lambda: gateway.events("settings reloaded"))


# Guards Fault: the first line after the end of the log's reader ended the process.
@pytest.mark.processes
async def test_reader_of_the_log_that_has_gone(tmp_path):
    async with power.deployment(tmp_path) as running:
        await running.add_target("desk-1", "desk")
        running.store.put("op", "config", fake_platform.CONFIGURATION)
        await running.start_gateways(1)
        (gateway,) = running.gateways
        gateway.process._transport.get_pipe_transport(1).close()
        for number in range(3):
            # No route has it, so that the refusal is logged.
            assert (await gateway.ask("/none/1", f"odd-{number}"))[0] == 404
            assert (await gateway.ask("/orders/1", f"r-{number}"))[0] == 200
        assert gateway.process.returncode is None
