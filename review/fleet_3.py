"""Stand-ins of the platform, of model engines and of clients, and gateway processes.

Everything runs on loopback. The gateways are the project's own program, started with
the command of ``deploy/system.toml``; all else runs in the process of the case. It
needs nothing but the standard library.

The addresses of an engine differ between gateways, as behind a network that translates
addresses: an engine listens once for each gateway, and the store names that address to
it. So one gateway can be cut off from an engine while the others reach it.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MAX_ROWS = 500
PORTS = (15000, 30000)
BEAT_S = 1.2

Reader, Writer = asyncio.StreamReader, asyncio.StreamWriter

_given: set[int] = set()


class Record:
    """What was sent, answered and run, with times in seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Write to ``path``."""
        self._file = path.open("w")
        self._began = time.monotonic()

    def add(self, event: str, **fields: object) -> None:
        """Add a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{time.monotonic() - self._began:8.3f} {event} {text}\n")
        self._file.flush()


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that nothing uses, for TCP and UDP.

    They lie below those that the system gives to outgoing connections.
    """
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(*PORTS)
        with (
            contextlib.suppress(OSError),
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            stream.bind((HOST, port))
            datagrams.bind((HOST, port))
            if port not in _given:
                _given.add(port)
                found.append(port)
    return found


async def read_head(reader: Reader) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers, with lower-case names."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    fields = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            fields[name.strip().lower()] = value.strip()
    return first, fields


def head(status: int, **fields: object) -> bytes:
    """Return the head of a response; ``_`` in a name stands for ``-``."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Store:
    """The platform's store: rows with versions, transactions and feeds."""

    def __init__(self) -> None:
        """Start empty."""
        self.version = 0
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.log: list[dict] = []
        # Text of an engine's address as this gateway knows it, by gateway and engine.
        self.addresses: dict[str, dict[str, str]] = {}
        self.on_call: Callable[[str, str], Awaitable[None]] | None = None
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or an engine does."""
        self.version += 1
        self._set(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self.version += 1
        self.rows.pop((table, "", key), None)
        self._log({"table": table, "part": "", "key": key, "value": ""}, removed=True)

    def _set(self, table: str, part: str, key: str, value: str) -> None:
        row = {"table": table, "part": part, "key": key, "value": value}
        row["ver"] = self.version
        self.rows[(table, part, key)] = row
        self._log(row)

    def _log(self, row: dict, removed: bool = False) -> None:
        entry = row | {"ver": self.version}
        if removed:
            entry["removed"] = True
        self.log.append(entry)
        self._changed.set()
        self._changed = asyncio.Event()

    def _state(self) -> dict:
        return {"ver": self.version, "nowMs": int(1000 * time.monotonic())}

    async def listen(self, gateway: str) -> int:
        """Listen for one gateway; return the port."""

        async def serve(reader: Reader, writer: Writer) -> None:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
            ):
                await self._serve(gateway, reader, writer)
            writer.close()

        server = await asyncio.start_server(serve, HOST, 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, gateway: str, reader: Reader, writer: Writer) -> None:
        while True:
            first, fields = await read_head(reader)
            method, target, _ = first.split(" ", 2)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            if self.on_call is not None:
                await self.on_call(gateway, target)
            status, answer = await self._answer(method, target, body)
            if "rows" in answer:
                rows = [self._translate(gateway, row) for row in answer["rows"]]
                answer = answer | {"rows": rows}
            data = json.dumps(answer).encode()
            writer.write(
                head(status, Store_Era=1, Content_Length=len(data)) + data,
            )
            await writer.drain()

    def _translate(self, gateway: str, row: dict) -> dict:
        address = self.addresses.get(gateway, {}).get(row["key"])
        if row["table"] != "servers" or address is None or not row["value"]:
            return row
        value = json.loads(base64.b64decode(row["value"])) | {"addr": address}
        return row | {"value": base64.b64encode(json.dumps(value).encode()).decode()}

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, dict]:
        split = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(split.query).items()}
        if split.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if split.path == "/-/rows-get":
            return self._read(query)
        if split.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call: dict) -> tuple[int, dict]:
        expected = call.get("expect", ())
        for row in expected:
            present = self.rows.get((row["table"], row.get("part", ""), row["key"]))
            if (present["ver"] if present else 0) != row["ver"]:
                keys = [(r["table"], r.get("part", ""), r["key"]) for r in expected]
                current = [self.rows[key] for key in keys if key in self.rows]
                return 412, {"rows": current, **self._state()}
        self.version += 1
        for row in call.get("puts", ()):
            self._set(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in call.get("remove", ()):
            key = (row["table"], row.get("part", ""), row["key"])
            if self.rows.pop(key, None) is not None:
                self._log(dict(row) | {"value": ""}, removed=True)
        return 200, self._state()

    def _read(self, query: dict[str, str]) -> tuple[int, dict]:
        rows = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query.get("part", "")
            and key >= query.get("from", "")
        ]
        more = len(rows) > MAX_ROWS
        return 200, {"rows": rows[:MAX_ROWS], "hasMore": more, **self._state()}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict]:
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        while True:
            changed = self._changed
            newest: dict[tuple[str, str], dict] = {}
            for row in self.log:
                if row["table"] == query["table"] and row["ver"] > after:
                    newest.pop((row["part"], row["key"]), None)
                    newest[(row["part"], row["key"])] = row
            left = ends_at - time.monotonic()
            if newest or left <= 0:
                return 200, {"rows": list(newest.values()), **self._state()}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()


class Engine:
    """A server of a service; ``respond`` writes the response to one request.

    It listens once for each gateway. ``runs`` has the ids of the requests that it has
    begun to work on, in order, with the gateway whose address they came by.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        respond: Callable[[Engine, dict[str, str], bytes, Writer], Awaitable[bool]],
        models: tuple[str, ...] = (),
        zone: str = "kakdwip",
        slots: int = 32,
    ) -> None:
        """Start with ``models`` loaded."""
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.respond = respond
        self.models = list(models)
        self.zone = zone
        self.slots = slots
        self.version = "1"
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.orders = 0
        self.fence = 0
        self.runs: list[tuple[str, str]] = []
        self._servers: dict[str, asyncio.Server] = {}
        self._ports: dict[str, int] = {}

    async def listen(self, gateway: str) -> None:
        """Listen at the address that ``gateway`` knows."""

        async def serve(reader: Reader, writer: Writer) -> None:
            with contextlib.suppress(
                asyncio.IncompleteReadError,
                ConnectionError,
                RuntimeError,
                asyncio.CancelledError,
            ):
                while await self._serve_one(gateway, reader, writer):
                    await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, HOST, self._ports.get(gateway, 0))
        self._servers[gateway] = server
        self._ports[gateway] = server.sockets[0].getsockname()[1]
        names = self.store.addresses.setdefault(gateway, {})
        names[self.name] = f"{HOST}:{self._ports[gateway]}"

    def refuse(self, gateway: str) -> None:
        """Refuse new connections of a gateway; open ones live on."""
        self._servers[gateway].close()

    def register(self) -> None:
        """Write the entry."""
        first = next(iter(self._ports.values()), 1)
        entry = {
            "service": self.service,
            "addr": f"{HOST}:{first}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.orders,
            "born": self.born,
            "models": self._held(),
        }
        self.store.put("servers", self.name, entry)

    def _held(self) -> list[dict]:
        return [{"name": name, "version": 1, "adapters": []} for name in self.models]

    async def _serve_one(self, gateway: str, reader: Reader, writer: Writer) -> bool:
        first, fields = await read_head(reader)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        method, path, _ = first.split(" ", 2)
        fields |= {":method": method, ":path": path, ":gateway": gateway}
        if path == "/-/report":
            self._send_json(writer, 200, self._report())
            return True
        if path == "/-/order":
            return self._take_order(fields, json.loads(body), writer)
        request_id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(
                head(
                    421,
                    X_Request_Id=request_id,
                    X_Not_Run=1,
                    X_Instance=self.name,
                    Content_Length=0,
                )
            )
            return True
        self.runs.append((request_id, gateway))
        self.record.add("run", id=request_id, engine=self.name, by=gateway)
        return await self.respond(self, fields, body, writer)

    def _report(self) -> dict:
        return {
            "stage": "both",
            "models": self._held(),
            "busy": False,
            "seq": self.orders,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 120000,
            "handles": 0,
            "born": self.born,
        }

    def _take_order(self, fields: dict[str, str], order: dict, writer: Writer) -> bool:
        status = 202
        if order["fence"] < self.fence:
            status = 412
        elif order.get("expect", self.orders) != self.orders:
            status = 409
        elif order["op"] == "load" and order["model"] in self.models:
            status = 200
        self.fence = max(self.fence, order["fence"])
        if status == 202:
            self.orders += 1
            if order["op"] == "load":
                self.models.append(order["model"])
            elif order["model"] in self.models:
                self.models.remove(order["model"])
        self.record.add(
            "order", engine=self.name, by=fields[":gateway"], status=status, **order
        )
        self._send_json(writer, status, {})
        return True

    @staticmethod
    def _send_json(writer: Writer, status: int, value: object) -> None:
        data = json.dumps(value).encode()
        writer.write(head(status, Content_Length=len(data)) + data)


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, directory: Path, zone: str, grace_s: float) -> None:
        """Choose the ports; ``directory`` gets the settings and the log."""
        self.name = name
        self.zone = zone
        self.grace_s = grace_s
        self.front, self.ready_port, self.peer_port = free_ports(3)
        self._settings = directory / f"{name}.toml"
        self._log = directory / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def log_path(self) -> Path:
        """File with the log lines of all starts."""
        return self._log

    def write_settings(self, store_port: int, contracts: list[str]) -> None:
        """Write the settings file, with the bounds of a small deployment."""
        text = f"""
node = "{self.name}"
role = "gateway"
class = "front"
serves = ["front"]
ip = "{HOST}"
zone = "{self.zone}"
region = "bengal-delta"
portRange = [{self.peer_port}, {self.peer_port}]
bootstrap = true
discovery = "platform"
entry = "vip"
beatMs = {int(1000 * BEAT_S)}
contracts = {json.dumps(contracts)}
[listen]
front = "{HOST}:{self.front}"
ready = "{HOST}:{self.ready_port}"
[limits]
cpuShare = 0.537
cpus = 2
ramMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
stableMs = 3000
drainMs = 2000
graceS = {self.grace_s}
lostMs = 200
configMs = 2000
downgradeMs = 250
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
addr = "{HOST}:{store_port}"
form = "table"
writesPerS = 400
readsPerS = 2000
rowBytes = 65536
"""
        self._settings.write_text(text)

    async def start(self, bootstrap: bool = True) -> None:
        """Start the process; a restart isn't a first start of the whole system."""
        if not bootstrap:
            text = self._settings.read_text()
            text = text.replace("bootstrap = true", "bootstrap = false")
            self._settings.write_text(text)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "FLAMINGOPOND_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    async def is_ready(self) -> bool:
        """Whether the readiness check is answered with 200."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready_port)
        except OSError:
            return False
        writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        data = await reader.read(64)
        writer.close()
        return b" 200 " in data

    def events(self, name: str) -> list[dict]:
        """Return the log lines of an event."""
        found = []
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                event = json.loads(line)
                if event.get("event") == name:
                    found.append(event)
        return found


def command() -> list[str]:
    """Return the command of the gateway's role in the deploy file."""
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        name, found, value = line.partition("=")
        if found and name.strip() == "run":
            words = value.strip().strip('"').split()
            return [sys.executable if words[0] == "python3" else words[0], *words[1:]]
    raise RuntimeError("the deploy file names no command")


class Answer:
    """What a client has got; ``complete`` if the framing says that it is whole."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.status = 0
        self.fields: dict[str, str] = {}
        self.body = b""
        self.complete = False
        self.error = ""

    @property
    def event_ids(self) -> list[int]:
        """Ids of the events of a stream, in order."""
        lines = self.body.split(b"\n")
        return [int(line[3:]) for line in lines if line.startswith(b"id:")]


async def read_answer(reader: Reader, answer: Answer) -> None:
    """Read an answer as a client does: by its length, its chunks or its end."""
    first, answer.fields = await read_head(reader)
    answer.status = int(first.split(" ", 2)[1])
    if "chunked" in answer.fields.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                break
            answer.body += data[:-2]
    elif "content-length" in answer.fields:
        left = int(answer.fields["content-length"])
        while left:
            data = await reader.read(left)
            if not data:
                raise asyncio.IncompleteReadError(answer.body, None)
            answer.body += data
            left -= len(data)
    else:
        answer.body = await reader.read()
    answer.complete = True


async def send(
    port: int,
    method: str,
    path: str,
    request_id: str,
    timeout_s: float,
    body: bytes = b"",
    **fields: object,
) -> Answer:
    """Send one request on a new connection, and return its answer."""
    answer = Answer()
    lines = [f"{method} {path} HTTP/1.1", "Host: trust.example"]
    lines += [f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {int(1000 * timeout_s)}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    lines += ["Authorization: Bearer key-1"]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer = None
    try:
        async with asyncio.timeout(timeout_s + 1):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await read_answer(reader, answer)
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
    return answer


def configuration(
    version: int = 1, models: tuple[str, ...] = ("m0", "m1"), **route_changes: object
) -> dict:
    """Return the operator's configuration with a route of each kind."""
    routes = [
        {
            "name": "drafts",
            "host": "trust.example",
            "prefix": "/drafts/",
            "kind": "stream",
            "timeoutMs": 15000,
            "goalMs": 800,
            "service": "models",
            "maxAttempts": 2,
            "resumable": True,
            "sticky": True,
            "gapAimMs": 250,
            "priority": 1,
        },
        {
            "name": "orders",
            "host": "trust.example",
            "prefix": "/orders/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "goalMs": 300,
            "service": "desk",
            "maxAttempts": 2,
            "priority": 2,
        },
        {
            "name": "lookups",
            "host": "trust.example",
            "prefix": "/lookups/",
            "kind": "safe",
            "timeoutMs": 3000,
            "goalMs": 300,
            "service": "desk",
            "maxAttempts": 2,
            "priority": 2,
        },
    ]
    for route in routes:
        route |= route_changes.get(str(route["name"]), {})  # type: ignore[arg-type]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "models",
                "engine": {
                    "slots": 32,
                    "kvTokens": 120000,
                    "weightsMb": 200.0,
                    "adapterSlots": 2,
                    "loadsPerS": 2.1,
                    "models": [
                        {"name": name, "weightsMb": 60.0, "loadS": 4.0, "adapters": 0}
                        for name in models
                    ],
                },
            },
            {"name": "desk"},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "trust", "apiKeys": ["key-1"]}],
    }


def run(case: Coroutine[object, object, int], limit_s: float = 110.0) -> int:
    """Run a case and return its exit status, 2 if it fails or takes too long.

    The processes end in any case, also if the script is terminated.
    """

    async def limited() -> int:
        task = asyncio.ensure_future(case)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(limit_s):
            return await task

    try:
        return asyncio.run(limited())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "fleet",
    "stream",
    "engine",
    "tenants",
    "quota",
    "platform",
]


class Fleet:
    """A store, engines and gateways; use it as an asynchronous context manager."""

    def __init__(
        self,
        record: Record,
        gateways: int,
        grace_s: float = 8,
        contracts: list[str] = CONTRACTS,
        zones: tuple[str, ...] = ("kakdwip", "gosaba", "diamond-harbour"),
    ) -> None:
        """Prepare ``gateways`` gateways, spread over the zones."""
        self.record = record
        self.store = Store()
        self.engines: list[Engine] = []
        self._directory = tempfile.TemporaryDirectory()
        self._contracts = contracts
        self.gateways = [
            Gateway(
                f"gw-{number}",
                Path(self._directory.name),
                zones[number % len(zones)],
                grace_s,
            )
            for number in range(gateways)
        ]

    async def __aenter__(self) -> Fleet:
        """Return the fleet, with nothing started yet."""
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes and remove the files."""
        for gateway in self.gateways:
            await gateway.stop()
        if os.environ.get("KEEP_LOGS"):
            for gateway in self.gateways:
                if gateway.log_path.exists():
                    target = Path(os.environ["KEEP_LOGS"]) / gateway.log_path.name
                    target.write_bytes(gateway.log_path.read_bytes())
        self._directory.cleanup()

    async def start(self, wait_s: float = 20.0) -> bool:
        """Start all; return whether all gateways are ready in time."""
        for engine in self.engines:
            for gateway in self.gateways:
                await engine.listen(gateway.name)
            engine.register()
        for gateway in self.gateways:
            port = await self.store.listen(gateway.name)
            gateway.write_settings(port, self._contracts)
            await gateway.start()
        ends_at = time.monotonic() + wait_s
        while time.monotonic() < ends_at:
            if all([await gateway.is_ready() for gateway in self.gateways]):
                # Until all hear each other, and the lease has a holder.
                await asyncio.sleep(4.0)
                return True
            await asyncio.sleep(0.1)
        return False

    def names_are_kept_apart(self) -> bool:
        """Whether each gateway has read the engines' addresses from the store itself.

        Rows that it takes from another gateway name the addresses for that one.
        """
        return all(
            line.get("source") == "store"
            for gateway in self.gateways
            for line in gateway.events("table")
            if line.get("table") == "servers"
        )
