"""Stand-ins of the platform around real gateway processes, for the review's scripts.

A store, engines, plain servers and clients, all on loopback. They do what the users'
pages say. Everything that is sent, run and answered goes into one list of records.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-1"
# Memory of an engine, weights of each model, and the time that a load takes.
ENGINE_MB = 83000
WEIGHTS_MB = 34300
LOAD_S = 4.0
# Time that a plain server takes for a call.
CALL_S = 0.09
TENANT = "trust"


class CannotRunError(Exception):
    """The case couldn't run: its outcome says nothing."""


class Journal:
    """What was sent, answered and run, in the time of the run."""

    def __init__(self) -> None:
        """Start the clock."""
        self._began = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, what: str, **fields: object) -> None:
        """Record something that happened now."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{self.now():8.3f} {what} {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")


class Store:
    """The platform's store: versioned rows, conditional writes and change feeds."""

    def __init__(self, delay_s: float = 0.004) -> None:
        """Start empty; an answer takes ``delay_s``."""
        self.delay_s = delay_s
        # Machines that get no response at present.
        self.silent: set[str] = set()
        # Writes with a table, part or key of more than 200 bytes.
        self.refused = 0
        # Calls without a response, by machine.
        self.unanswered: dict[str, int] = {}
        self._rows: dict[tuple[str, str, str], dict] = {}
        self._log: list[dict] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        self._mute: list[asyncio.Future[None]] = []

    async def listen(self, machine: str) -> int:
        """Listen for one machine on a free port; return the port."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(machine, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._servers.append(server)
        return int(server.sockets[0].getsockname()[1])

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or an engine does."""
        self._version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._set(table, "", key, data)

    def remove(self, table: str, key: str) -> None:
        """Remove a row as the platform does."""
        if self._rows.pop((table, "", key), None) is None:
            return
        self._version += 1
        row = {"table": table, "part": "", "key": key, "value": ""}
        self._log.append({**row, "ver": self._version, "removed": True})
        self._wake()

    def value(self, table: str, key: str) -> bytes:
        """Return the bytes of a row, none if it doesn't exist."""
        row = self._rows.get((table, "", key))
        return base64.b64decode(row["value"]) if row else b""

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table."""
        return sorted(key for name, _, key in self._rows if name == table)

    def _set(self, table: str, part: str, key: str, data: str) -> None:
        row = {"table": table, "part": part, "key": key, "value": data}
        row["ver"] = self._version
        self._rows[(table, part, key)] = row
        self._log.append(row)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _state(self) -> dict:
        return {"ver": self._version, "nowMs": int(time.monotonic() * 1000)}

    async def _serve(
        self,
        machine: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                method, target, _ = head.split(" ", 2)
                size = 0
                for line in head.lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        size = int(line.partition(":")[2])
                body = await reader.readexactly(size)
                writes = target.startswith("/-/rows-tx")
                if writes and machine in self.silent:
                    await self._stay_mute(machine)
                status, answer = await self._answer(method, target, body)
                if machine in self.silent:
                    await self._stay_mute(machine)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
                    b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, len(data), data)
                )
                await writer.drain()
        writer.close()

    async def _stay_mute(self, machine: str) -> None:
        """Deliver nothing further on a connection."""
        self.unanswered[machine] = self.unanswered.get(machine, 0) + 1
        never = asyncio.get_running_loop().create_future()
        self._mute.append(never)
        await never

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        split = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(split.query).items()}
        await asyncio.sleep(self.delay_s)
        if split.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if split.path == "/-/rows-get":
            return 200, self._read(query)
        if split.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call: dict) -> tuple[int, dict]:
        puts, removed = call.get("puts", []), call.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in puts + removed):
            return 403, {}
        if any(len(text.encode()) > 200 for row in puts for text in _row_key(row)):
            self.refused += 1
            return 400, {}
        expect = call.get("expect", [])
        present = [self._rows.get(_row_key(row)) for row in expect]
        if any(
            (found["ver"] if found else 0) != row["ver"]
            for found, row in zip(present, expect, strict=True)
        ):
            return 412, {"rows": [found for found in present if found]}
        self._version += 1
        for row in puts:
            self._set(*_row_key(row), row["value"])
        return 200, self._state()

    def _read(self, query: dict) -> dict:
        start, end = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", 500)), 500)
        found = sorted(
            (key, row)
            for (table, part, key), row in self._rows.items()
            if table == query["table"]
            and part == query.get("part", "")
            and key >= start
            and (end is None or key < end)
        )
        rows = [row for _, row in found[:limit]]
        return {"rows": rows, "hasMore": len(found) > limit, **self._state()}

    async def _feed(self, query: dict) -> tuple[int, dict]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        if after > self._version:
            return 410, {}
        while True:
            rows = [
                row
                for row in self._log
                if row["table"] == query["table"] and row["ver"] > after
            ]
            if rows or loop.time() >= ends_at:
                return 200, {"rows": rows, **self._state()}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()


def _row_key(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


class Server:
    """An engine or a plain server: one incarnation of it, with its entry."""

    def __init__(
        self,
        store: Store,
        journal: Journal,
        name: str,
        service: str,
        models: tuple[str, ...] = (),
        slots: int = 6,
        version: str = "1",
    ) -> None:
        """Create it; it neither listens nor registers yet."""
        self.store = store
        self.journal = journal
        self.name = name
        self.service = service
        self.models = list(models)
        self.slots = slots
        self.version = version
        self.born = int(time.time() * 1000)
        self.port = 0
        self.running = 0
        self.runs: list[tuple[str, float]] = []
        self.arrivals: list[tuple[str, float]] = []
        self.orders: list[tuple[float, dict, int]] = []
        self.state = "ready"
        self._runs_by_model: dict[str, int] = {}
        self._busy = False
        self._accepted = 0
        self._fence = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port and register."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.register("ready")

    def register(self, state: str) -> None:
        """Write the entry."""
        self.state = state
        entry = {
            "service": self.service,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "zone-a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldLeftMs": 0,
            "seq": len(self.orders),
            "born": self.born,
            "stage": "both",
            "models": self._models(),
        }
        self.journal.add("entry", server=self.name, state=state, version=self.version)
        self.store.put("servers", self.name, entry)

    def crash(self) -> None:
        """End as a process does that crashes: all its connections are reset."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self.journal.add("crash", server=self.name)

    def _models(self) -> list[dict]:
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                line, *rest = head.split("\r\n")
                method, path, _ = line.split(" ", 2)
                fields = {
                    name.lower(): value.strip()
                    for name, _, value in (text.partition(":") for text in rest if text)
                }
                size = int(fields.get("content-length", 0))
                body = await reader.readexactly(size)
                if not await self._dispatch(method, path, fields, body, reader, writer):
                    break
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _dispatch(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if path == "/-/report":
            _write_json(writer, 200, self._report())
            return True
        if fields.get("x-expect-instance", self.name) != self.name:
            self._misdirect(writer, fields.get("x-request-id", ""))
            return True
        if path == "/-/order":
            _write_json(writer, self._take_order(json.loads(body)), {})
            return True
        request_id = fields.get("x-request-id", "")
        model = fields.get("x-model", "").partition("/")[0]
        if model and model not in self.models:
            self._misdirect(writer, request_id)
            return True
        self.arrivals.append((request_id, self.journal.now()))
        if self.running >= self.slots:
            self.journal.add("shed", server=self.name, id=request_id)
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"
                b"X-Request-Id: %b\r\nContent-Length: 0\r\n\r\n" % request_id.encode()
            )
            return True
        self.running += 1
        self._runs_by_model[model] = self._runs_by_model.get(model, 0) + 1
        self.runs.append((request_id, self.journal.now()))
        self.journal.add(
            "run",
            server=self.name,
            version=self.version,
            id=request_id,
            after=fields.get("last-event-id", "-"),
        )
        try:
            return await self.answer(path, fields, body, reader, writer)
        finally:
            self.running -= 1
            self._runs_by_model[model] -= 1

    def _misdirect(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        writer.write(
            b"HTTP/1.1 421 Misdirected Request\r\nX-Instance: %b\r\n"
            b"X-Request-Id: %b\r\nContent-Length: 0\r\n\r\n"
            % (self.name.encode(), request_id.encode())
        )

    async def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and answer it; return whether the connection stays open."""
        await asyncio.sleep(CALL_S)
        self.write_answer(
            writer, 200, fields, b"done " + fields["x-request-id"].encode()
        )
        return True

    def write_answer(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        fields: dict[str, str],
        body: bytes,
    ) -> None:
        """Write a complete answer."""
        writer.write(
            self.head(status, fields) + b"Content-Length: %d\r\n\r\n" % len(body)
        )
        writer.write(body)

    def head(self, status: int, fields: dict[str, str], extra: bytes = b"") -> bytes:
        """Return the head of an answer up to its framing."""
        return (
            b"HTTP/1.1 %d Status\r\nX-Request-Id: %b\r\nX-Stamp: %b.1\r\n"
            b"X-Load: %d,0,%d\r\n%b"
            % (
                status,
                fields["x-request-id"].encode(),
                self.name.encode(),
                self.running,
                self.slots,
                extra,
            )
        )

    async def stream(
        self,
        fields: dict[str, str],
        writer: asyncio.StreamWriter,
        events: int,
        pause_s: float,
        first_s: float = 0.06,
    ) -> bool:
        """Answer with the events after the last one that the client has."""
        await asyncio.sleep(first_s)
        writer.write(
            self.head(200, fields, b"X-Weight-Versions: 1\r\n")
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(int(fields.get("last-event-id", 0)) + 1, events + 1):
            event = b"id: %d\ndata: %b/%b/%d\n\n" % (
                number,
                self.name.encode(),
                self.version.encode(),
                number,
            )
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": self._models(),
            "busy": self._busy,
            "seq": self._accepted,
            "queued": 0,
            "active": self.running,
            "kvUsed": 0,
            "kvTotal": 120000,
            "handles": 0,
            "born": self.born,
            "state": self.state,
        }

    def _take_order(self, order: dict) -> int:
        status = self._order_status(order)
        self._fence = max(self._fence, order.get("fence", 0))
        if status == 202:
            self._accepted += 1
            self._busy = True
            task = asyncio.create_task(self._carry_out(order["op"], order["model"]))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self.orders.append((self.journal.now(), order, status))
        self.journal.add("order", server=self.name, status=status, **order)
        return status

    def _order_status(self, order: dict) -> int:
        if not {"op", "model", "holder", "fence"} <= order.keys() or "adapter" in order:
            return 400
        if order["fence"] < self._fence:
            return 412
        if self._busy or order.get("expect", self._accepted) != self._accepted:
            return 409
        return (
            200 if (order["op"] == "load") == (order["model"] in self.models) else 202
        )

    async def _carry_out(self, op: str, model: str) -> None:
        if op == "load":
            await asyncio.sleep(LOAD_S)
            if (len(self.models) + 1) * WEIGHTS_MB > ENGINE_MB:
                self.journal.add("LIMIT exceeded", server=self.name, model=model)
                self.crash()
                return
            self.models.append(model)
        else:
            while self._runs_by_model.get(model, 0):
                await asyncio.sleep(0.01)
            self.models.remove(model)
        self._busy = False
        if self.state == "ready":
            self.register(self.state)


def _write_json(writer: asyncio.StreamWriter, status: int, value: object) -> None:
    data = json.dumps(value).encode()
    writer.write(
        b"HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (status, len(data), data)
    )


def free_ports(address: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at ``address``."""
    ports = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            tcp = stack.enter_context(socket.socket())
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            udp = stack.enter_context(socket.socket(type=socket.SOCK_DGRAM))
            with contextlib.suppress(OSError):
                udp.bind((address, port))
                ports.append(port)
    return ports


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(
        self,
        number: int,
        store_port: int,
        directory: Path,
        journal: Journal,
        ram_mb: int,
    ) -> None:
        """Write its settings; each gateway has a loopback address of its own."""
        self.node = f"front-{number}"
        self.address = f"127.0.0.{10 + number}"
        self.ram_mb = ram_mb
        self.journal = journal
        self.process: asyncio.subprocess.Process | None = None
        self.ends = 0
        self._log = directory / f"{self.node}.log"
        self._settings = directory / f"{self.node}.toml"
        front, ready, peers = free_ports(self.address, 3)
        self.front, self.ready_port = front, ready
        self._text = _SETTINGS.format(
            node=self.node,
            ip=self.address,
            front=front,
            ready=ready,
            peers=peers,
            store=store_port,
            ram=ram_mb,
            bootstrap="{bootstrap}",
        )
        self._starts = 0

    async def start(self) -> None:
        """Start the process."""
        first = "true" if not self._starts else "false"
        self._settings.write_text(self._text.replace("{bootstrap}", first))
        self._starts += 1
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "FLAMINGOPOND_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "flamingopond_adapter",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.journal.add("start", node=self.node, pid=self.process.pid)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self.process is not None and self.process.returncode is None:
            self.journal.add("signal", node=self.node, signal=number.name)
            self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB, 0 if it doesn't run."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def log_lines(self) -> list[dict]:
        """Return what the process has logged."""
        lines = []
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    async def ready(self) -> bool:
        """Ask as the platform's entry does, once."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.address, self.ready_port
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until it says that it is ready."""
        ends_at = time.monotonic() + seconds
        while not await self.ready():
            if time.monotonic() > ends_at:
                raise CannotRunError(f"{self.node} is not ready")
            await asyncio.sleep(0.1)


_SETTINGS = """\
node = "{node}"
role = "gateway"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
portRange = [{peers}, {peers}]
seedAddrs = []
bootstrap = {bootstrap}
inTolerance = false
discovery = "platform"
entry = "vip"
beatMs = 1200
[zones]
zone-a = "region-a"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cpus = 2
ramMb = {ram}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseS = 2
stableMs = 3000
ackMs = 4000
catchupS = 4
drainMs = 2000
graceS = 8
lostMs = 200
configMs = 2000
downgradeMs = 250
maxStretchMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 11000
recoverS = 12
passMs = 120
requireFence = true
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOver = 1.1
[platform]
addr = "127.0.0.1:{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
txMs = 3.0
rowBytes = 65536
across = true
historyS = 20
"""


def configuration(version: int, slots: int) -> dict:
    """Return a configuration with one route of each kind."""
    streams = {
        "host": HOST,
        "kind": "stream",
        "service": "models",
        "timeoutMs": 15000,
        "goalMs": 800,
        "gapAimMs": 250,
        "priority": 1,
        "sticky": True,
    }
    calls = {"host": HOST, "service": "desk", "timeoutMs": 1500, "goalMs": 300}
    return {
        "version": version,
        "routes": [
            streams
            | {
                "name": "draft",
                "prefix": "/draft/",
                "maxAttempts": 2,
                "resumable": True,
            },
            calls
            | {
                "name": "order",
                "prefix": "/order/",
                "kind": "unsafe",
                "maxAttempts": 1,
            },
            calls
            | {"name": "look", "prefix": "/look/", "kind": "safe", "maxAttempts": 2},
        ],
        "services": [
            {
                "name": "models",
                "healthPath": "/health",
                "maxConns": 370,
                "engine": {
                    "slots": slots,
                    "kvTokens": 120898,
                    "weightsMb": ENGINE_MB,
                    "adapterSlots": 8,
                    "loadsPerS": 2.1,
                    "hostMb": 0,
                    "diskMb": 0,
                    "models": [
                        {
                            "name": name,
                            "weightsMb": WEIGHTS_MB,
                            "loadS": LOAD_S,
                            "adapters": 0,
                            "adapterMb": 0.0,
                        }
                        for name in ("m0", "m1")
                    ],
                },
            },
            {"name": "desk", "healthPath": "/health", "maxConns": 110},
        ],
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "perS": 0, "burst": 0}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class Reply:
    """What a client got for one attempt."""

    def __init__(self, request_id: str) -> None:
        """Start without an answer."""
        self.request_id = request_id
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.kept = False
        # Whether the gateway closed the connection before the end of the answer.
        self.closed = False

    @property
    def events(self) -> list[str]:
        """The data of the complete events of a stream."""
        text = self.body.decode("latin-1")
        whole = text[: text.rfind("\n\n") + 2] if "\n\n" in text else ""
        return [
            line.removeprefix("data: ")
            for line in whole.split("\n")
            if line.startswith("data: ")
        ]


class Client:
    """Sends one request after another on one connection while it stays open."""

    def __init__(self, journal: Journal) -> None:
        """Start without a connection."""
        self.journal = journal
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None

    async def send(
        self,
        gateway: Gateway,
        path: str,
        request_id: str,
        deadline_ms: int,
        method: str = "POST",
        more: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request; the reply says how it was answered, if it was."""
        reply = Reply(request_id)
        reply.sent_at = self.journal.now()
        reply.kept = self._streams is not None
        self.journal.add("send", node=gateway.node, path=path, id=request_id)
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                await self._exchange(
                    gateway, path, reply, deadline_ms, method, more or {}
                )
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            # A time-out is an OSError, too.
            reply.closed = not isinstance(error, TimeoutError | ValueError)
            self.close()
        reply.ended_at = self.journal.now()
        if reply.fields.get("connection", "").lower() == "close":
            self.close()
        self.journal.add(
            "reply",
            node=gateway.node,
            id=request_id,
            status=reply.status,
            complete=reply.complete,
            events=len(reply.events),
        )
        return reply

    async def _exchange(
        self,
        gateway: Gateway,
        path: str,
        reply: Reply,
        deadline_ms: int,
        method: str,
        more: dict[str, str],
    ) -> None:
        if self._streams is None:
            async with asyncio.timeout(1):
                self._streams = await asyncio.open_connection(
                    gateway.address, gateway.front
                )
        reader, writer = self._streams
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {reply.request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Bearer {KEY}",
            *(f"{name}: {value}" for name, value in more.items()),
        ]
        body = b"" if method == "GET" else b"body"
        if body:
            lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *rest = head.split("\r\n")
        reply.status = int(line.split(" ")[1])
        reply.fields = {
            name.lower(): value.strip()
            for name, _, value in (text.partition(":") for text in rest if text)
        }
        if "content-length" in reply.fields:
            reply.body = await reader.readexactly(int(reply.fields["content-length"]))
        else:
            size = -1
            while size:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                reply.body += data[:-2]
        reply.complete = True


@contextlib.asynccontextmanager
async def fleet(
    journal: Journal,
    count: int,
    slots: int,
    ram_mb: int = 300,
    store_type: type[Store] = Store,
) -> AsyncIterator[tuple[Store, list[Gateway]]]:
    """Make a store with a configuration, and ``count`` gateways; end them all."""
    store = store_type()
    store.put("op", "config", configuration(1, slots))
    with tempfile.TemporaryDirectory() as name:
        gateways = [
            Gateway(
                number,
                await store.listen(f"front-{number}"),
                Path(name),
                journal,
                ram_mb,
            )
            for number in range(count)
        ]
        try:
            yield store, gateways
        finally:
            for gateway in gateways:
                await gateway.stop()


def main(
    case: Callable[[Journal], Awaitable[int]], record: Path, seconds: float = 110.0
) -> int:
    """Run a case; return the exit status: 1 the rule was broken, 2 it could not run."""
    journal = Journal()
    journal.add("case", disrupted=disrupted())

    async def run() -> int:
        async with asyncio.timeout(seconds):
            return await case(journal)

    try:
        found = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        journal.add("could not run", reason=repr(error))
        print(f"could not run: {error!r}")
        return 2
    finally:
        journal.write(record)
    print(f"{found} violations", flush=True)
    # Open connections of the stand-ins end with the process.
    os._exit(1 if found else 0)


def disrupted() -> bool:
    """Whether the case is to be run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
