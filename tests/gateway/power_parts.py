"""Gateway processes, targets and a store that lose power and come back.

A loss of power ends processes without a signal that they could handle, and closes
their connections. The store keeps what it has acknowledged.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys

import fake_platform
import path_parts as path
from attrs import define, field

from flamingopond_bench.ports import reserve_port

# Bound of the requirement RECOVER.
RECOVER_S = 12.0
# Shorter than on the platform, so that most tests don't wait for long.
LEASE_S = 1.0
START_TIMEOUT_S = 10.0
# Stalls that are shorter than this matter to no test.
STALL_CHECK_S = 0.05
# Lines of a gateway's log that a failed test shows.
PRINTED_LINES = 60
# Models that fit into an engine at once.
ENGINE_ROOM = 2


class Store(fake_platform.Store):
    """A store that can be away, silent, slow, or refuse its writes.

    ``state`` is "up", "refusing" (503), "silent" (no answers), "slow", "read-only" or
    "closed", which ends all calls under way.
    """

    def __init__(self):
        super().__init__()
        self.state = "up"
        self.slow_s = 0.4

    async def close(self):
        """End all calls under way."""
        self.state = "closed"
        self.changed.set()
        await asyncio.sleep(0)

    async def _answer(self, method, target, body, refuses):
        while self.state == "silent":
            await asyncio.sleep(0.02)
        if self.state == "slow":
            await asyncio.sleep(self.slow_s)
        if self.state == "read-only" and "rows-tx" in target:
            return 503, {}
        return await super()._answer(
            method, target, body, lambda: self.state in ("refusing", "closed")
        )


@define
class Order:
    """An order as an engine has seen it; ``at`` is a time of the event loop."""

    at: float
    holder: str
    fence: int
    kind: str
    model: str
    expect: int
    status: int = 0


@define(eq=False)
class Target:
    """A plain target, or an engine with room for two models.

    ``runs`` lists the request ids and keys of the requests that it has run, with the
    time. While ``delay_orders`` is set, orders stay on their way: they are neither
    carried out nor answered until ``deliver_orders`` is called.
    """

    store: Store
    id: str
    service: str
    models: list = field(factory=list)
    born: int = 1
    seq: int = 0
    fence: int = 0
    port: int = 0
    orders: list = field(factory=list)
    runs: list = field(factory=list)
    overcommits: int = 0
    delay_orders: bool = False
    on_order: object = None
    delayed: list = field(factory=list)
    _writers: set = field(factory=set)
    _server: object = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self, **changes):
        models = tuple(self.models)
        changes = {"born": self.born, **changes}
        return fake_platform.entry(self.service, self.port, models, **changes)

    def register(self, **changes):
        self.store.put("servers", self.id, self.entry(**changes))

    def lose_power(self):
        """Stop; models, counts and fences are lost, the entry in the store stays."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self.models.clear()
        self.seq = self.fence = 0
        self.born += 1

    def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                fields = dict(x.lower().split(": ", 1) for x in lines[1:] if x)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if "/-/report" in lines[0]:
                    self._answer(writer, 200, self._report())
                elif "/-/order" in lines[0]:
                    await self._handle_order(json.loads(body), writer)
                else:
                    await self._handle_request(fields, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _report(self):
        models = [{"name": m, "version": 1, "adapters": []} for m in self.models]
        return {"seq": self.seq, "models": models, "born": self.born}

    def _answer(self, writer, status, body):
        data = json.dumps(body).encode()
        head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (status, len(data)) + data)

    async def _handle_order(self, order, writer):
        now = asyncio.get_running_loop().time()
        seen = Order(
            now,
            order["holder"],
            order["fence"],
            order["op"],
            order["model"],
            order.get("expect"),
        )
        if self.delay_orders:
            self.delayed.append(seen)
            return
        self.deliver_orders()
        seen.status = self._execute(seen)
        self._answer(writer, seen.status, {})
        if self.on_order is not None:
            self.on_order(seen)

    def deliver_orders(self):
        """Carry out the orders that were on their way."""
        delayed, self.delayed = self.delayed, []
        for order in delayed:
            order.status = self._execute(order)

    def _execute(self, order):
        self.orders.append(order)
        if order.fence < self.fence:
            return 412
        self.fence = order.fence
        if order.expect is not None and order.expect != self.seq:
            return 409
        self.seq += 1
        if order.kind == "load":
            self.overcommits += len(self.models) >= ENGINE_ROOM
            self.models.append(order.model)
        elif order.model in self.models:
            self.models.remove(order.model)
        return 202

    async def _handle_request(self, fields, writer):
        expected = fields.get("x-expect-instance", self.id)
        model = fields.get("x-model")
        if expected != self.id or (model is not None and model not in self.models):
            request_id = fields["x-request-id"]
            path.write_response(writer, 421, b"", request_id, {"x_not_run": "1"})
            return
        now = asyncio.get_running_loop().time()
        self.runs.append((now, fields["x-request-id"], fields.get("x-tenant")))
        if model is not None:
            await path.stream(1, 3)(self, fields, writer)
        else:
            body = self.id.encode()
            path.write_response(writer, 200, body, fields["x-request-id"], {})


@define(eq=False)
class Gateway:
    """A machine that runs a gateway process; signals go only to this process."""

    node: str
    directory: object
    store_port: int
    ip: str = "127.0.0.1"
    first_start: bool = True
    lease_s: float = LEASE_S
    contracts: tuple = ()
    ports: list = field(factory=list)
    process: object = None
    lines: list = field(factory=list)
    _reader: object = None

    async def start(self):
        self.ports = self.ports or [reserve_port(self.ip) for _ in range(3)]
        self.lines = []
        settings = self.directory / f"{self.node}.toml"
        text = fake_platform.settings_text(
            self.node,
            self.ports,
            self.store_port,
            self.ip,
            self.lease_s,
            self.first_start,
            contracts=self.contracts,
        )
        settings.write_text(text)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "flamingopond_adapter",
            env=os.environ | {"FLAMINGOPOND_SETTINGS": str(settings)},
            stdout=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.ensure_future(self._read())

    async def _read(self):
        async for line in self.process.stdout:
            self.lines.append(json.loads(line))

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    async def ended(self):
        if self.process is not None:
            await self.process.wait()
            await self._reader

    def move(self, ip):
        """Give the machine's name to a machine at another address."""
        self.ip, self.ports = ip, []

    def events(self, name):
        return [line for line in self.lines if line["event"] == name]

    async def ready(self):
        call = b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        return (await self._exchange(self.ports[1], call))[0] == 200

    async def ask(self, url, request_id, key="key-1", deadline_ms=1000, **fields):
        """Send a request; return status and body, status 0 if there is no answer."""
        data = path.request_bytes(url, request_id, deadline_ms, **fields)
        data = data.replace(b"Bearer key-1", b"Bearer " + key.encode())
        return await self._exchange(self.ports[0], data)

    async def _exchange(self, port, data):
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self.ip, port)
                try:
                    writer.write(data)
                    head = await reader.readuntil(b"\r\n\r\n")
                    body = b""
                    for line in head.lower().split(b"\r\n"):
                        if line.startswith(b"content-length:"):
                            body = await reader.readexactly(int(line.split(b":")[1]))
                        elif line.startswith(b"transfer-encoding:"):
                            body = await reader.read()
                    return int(head.split(b" ", 2)[1]), body
                finally:
                    writer.close()
        except (OSError, EOFError):
            return 0, b""


async def wait_until(check, seconds=START_TIMEOUT_S):
    """Wait until ``check()`` is true; it may be a coroutine function."""
    async with asyncio.timeout(seconds):
        while True:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.03)


@define(eq=False)
class Deployment:
    """A store, targets and gateways that lose power together."""

    directory: object
    store: Store = field(factory=Store)
    gateways: list = field(factory=list)
    targets: list = field(factory=list)
    store_port: int = 0
    _server: object = None

    async def open_store(self):
        self._server = await asyncio.start_server(
            self.store.serve, "127.0.0.1", self.store_port
        )
        self.store_port = self._server.sockets[0].getsockname()[1]

    def close_store(self):
        self._server.close()

    async def add_target(self, target_id, service, *models, **changes):
        target = Target(self.store, target_id, service, list(models))
        self.targets.append(target)
        await target.start()
        target.register(**changes)
        return target

    async def start_gateways(self, count, lease_s=LEASE_S, contracts=()):
        self.gateways = [
            Gateway(
                f"gw-{n}",
                self.directory,
                self.store_port,
                lease_s=lease_s,
                contracts=contracts,
            )
            for n in range(count)
        ]
        await self.start(self.gateways)

    async def start(self, gateways):
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await wait_until(gateway.ready)

    async def cut_power(self):
        """End all gateway processes at the same moment; wait until they are gone."""
        for gateway in self.gateways:
            gateway.kill()
        for gateway in self.gateways:
            await gateway.ended()
            gateway.first_start = False

    def returning(self, how):
        """Return the gateways that come back: "all", "moved" or "fewer" of them.

        The first one is the hub and the lease holder of a fresh fleet.
        """
        if how == "moved":
            self.gateways[0].move("127.0.0.2")
        return self.gateways[1:] if how == "fewer" else self.gateways


@contextlib.asynccontextmanager
async def stalls_printed():
    """Print how long the event loop, which runs the store and targets, stood still.

    A test that fails beside load shows by it whether the platform was silent.
    """
    loop = asyncio.get_running_loop()
    longest = 0.0, loop.time()

    async def measure():
        nonlocal longest
        while True:
            due = loop.time() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            longest = max(longest, (loop.time() - due, due))

    task = asyncio.ensure_future(measure())
    try:
        yield
    finally:
        task.cancel()
        print(f"longest stall of the platform: {longest[0]:.2f} s at {longest[1]:.2f}")


def print_log(gateway):
    """Print the last lines that don't stand for single requests."""
    lines = [x for x in gateway.lines if x["event"] not in ("served", "attempt")]
    for line in lines[-PRINTED_LINES:]:
        print(gateway.node, line)


@contextlib.asynccontextmanager
async def deployment(directory):
    """Run a store; stop all processes and listeners at the end."""
    async with stalls_printed(), _deployment(directory) as running:
        yield running


@contextlib.asynccontextmanager
async def _deployment(directory):
    running = Deployment(directory)
    await running.open_store()
    try:
        yield running
    finally:
        for gateway in running.gateways:
            gateway.kill()
        for gateway in running.gateways:
            await gateway.ended()
            print_log(gateway)
        for target in running.targets:
            target.close()
        running.close_store()
        await running.store.close()
