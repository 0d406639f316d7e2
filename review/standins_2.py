# Like the tests, the stand-ins and cases have no docstrings for each small method.
# ruff: noqa: D102, D103, D107

"""Stand-ins for the cases 6 to 10: the store, engines, clients and gateway processes.

Only the standard library is used. Gateways are the project's own program, started with
the command of the deploy file; everything listens on loopback addresses.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
# Bounds and settings of a small deployment, as in DEPLOY.md.
BEAT_S = 1.2
GRACE_S = 8.0
LEASE_MS = 3000
# The cancellation is that of the end of a script.
CONNECTION_ENDS = (
    asyncio.IncompleteReadError,
    ConnectionError,
    asyncio.CancelledError,
)
HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"


def free_port(address):
    """Return a port that is free for TCP and UDP at a loopback address."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            with contextlib.suppress(OSError):
                udp.bind((address, port))
                return port


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._started = time.monotonic()

    def __call__(self, text):
        line = f"{time.monotonic() - self._started:8.3f} {text}"
        print(line, file=self._file, flush=True)


async def read_head(reader):
    """Return the start line and the header fields of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = {}
    for line in lines:
        name, found, value = line.partition(":")
        if found:
            fields[name.strip().lower()] = value.strip()
    return first, fields


class Store:
    """The platform's store: rows with versions, conditional writes and feeds.

    :meth:`go_away` makes it unreachable, :meth:`come_back` ends that, with the rows of
    an older copy if one is given; the era rises then.
    """

    def __init__(self, record):
        self.address = None
        self.rows = {}
        self.log = []
        self.version = 0
        self.era = 0
        self.away = False
        self._record = record
        self._changed = asyncio.Event()
        self._writers = set()
        self._server = None

    async def start(self, address):
        self._server = await asyncio.start_server(self._serve, address, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, table, key, value):
        """Write a row as the operator, an engine or another writer does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.version += 1
        self._set(table, "", key, base64.b64encode(data).decode())

    def remove(self, table, key):
        self.version += 1
        self._drop(table, "", key)

    def copy(self):
        return dict(self.rows), list(self.log), self.version

    def go_away(self):
        self.away = True
        for writer in list(self._writers):
            writer.transport.abort()
        self._record("store: away")

    def come_back(self, copy=None):
        if copy is not None:
            rows, log, self.version = copy
            self.rows, self.log = dict(rows), list(log)
            self.era += 1
        self.away = False
        self._record(f"store: back, era {self.era}, version {self.version}")

    def _set(self, table, part, key, data):
        row = {"table": table, "part": part, "key": key, "value": data}
        row["ver"] = self.version
        self.rows[(table, part, key)] = row
        self.log.append(row)
        self._changed.set()

    def _drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            row = {"table": table, "part": part, "key": key, "ver": self.version}
            self.log.append(row | {"removed": True})
            self._changed.set()

    async def _serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                first, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                method, target, _ = first.split(" ")
                # An answer takes some ms.
                await asyncio.sleep(0.003)
                status, answer = await self._answer(method, target, body)
                if self.away:
                    break
                answer |= {"ver": self.version}
                answer |= {"nowMs": int(1000 * time.monotonic()) + 1}
                data = json.dumps(answer).encode()
                era = f"Store-Era: {self.era}\r\n" if self.era else ""
                head = f"HTTP/1.1 {status} X\r\n{era}Content-Length: {len(data)}"
                writer.write(head.encode() + b"\r\n\r\n" + data)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, method, target, body):
        split = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(split.query).items()}
        if (method, split.path) == ("POST", "/-/rows-tx"):
            return self._write(json.loads(body))
        if split.path == "/-/rows-get":
            return 200, self._get(query)
        if split.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _write(self, call):
        failed = []
        for row in call.get("expect", ()):
            found = self.rows.get((row["table"], row.get("part", ""), row["key"]))
            if (found["ver"] if found else 0) != row["ver"]:
                failed += [found] if found else [None]
        if failed:
            return 412, {"rows": [row for row in failed if row]}
        if any(row["table"] in ("op", "servers") for row in call.get("puts", ())):
            return 403, {}
        self.version += 1
        for row in call.get("puts", ()):
            self._set(row["table"], row.get("part", ""), row["key"], row["value"])
        for row in call.get("remove", ()):
            self._drop(row["table"], row.get("part", ""), row["key"])
        return 200, {}

    def _get(self, query):
        part, start = query.get("part", ""), query.get("from", "")
        rows = [
            row
            for (table, row_part, key), row in sorted(self.rows.items())
            if table == query["table"] and row_part == part and key >= start
        ]
        return {"rows": rows[:500], "hasMore": len(rows) > 500}

    async def _feed(self, query):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("waitMs", 0)) / 1000
        after, era, table = int(query["after"]), self.era, query["table"]
        while True:
            if self.era != era or after > self.version:
                return 410, {}
            rows = [row for row in self.log if row["table"] == table]
            rows = [row for row in rows if row["ver"] > after]
            if rows or loop.time() >= ends_at:
                return 200, {"rows": rows}
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await self._changed.wait()


class Engine:
    """A model engine or a plain service; it runs only what names its id.

    A stream has ``events`` events, ``pause_s`` apart, and goes on after
    ``Last-Event-Id``. A crash cuts all connections.
    """

    def __init__(self, name, service, store, record, version="1", models=()):
        self.name = name
        self.store = store
        self.version = version
        self.models = {model: set() for model in models}
        self.zone = "kakdwip"
        self.load_s = 0.3
        self.events = 40
        self.pause_s = 0.1
        self.work_s = 0.02
        self.slots = 8
        # Requests that it takes beyond its slots.
        self.queue = 0
        self.running = 0
        self.state = "ready"
        self.address = None
        self.beating = True
        self.beat_at = 0.0
        # Requests that ran: id, and the last event that the caller had.
        self.runs = []
        self.orders = []
        self._service = service
        self._record = record
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._beats = 0
        self._busy = False
        self._highest_fence = 0
        self._writers = set()
        self._server = None
        self._tasks = set()

    async def start(self, address, port=0):
        self._server = await asyncio.start_server(self._serve, address, port)
        self.address = self._server.sockets[0].getsockname()[:2]

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def entry(self):
        """Return what the engine says of itself in the store."""
        return {
            "service": self._service,
            "addr": "{}:{}".format(*self.address),
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self._beats,
            "born": self._born,
            "models": self._held(),
        }

    def _held(self):
        return [
            {"name": name, "version": 1, "adapters": sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def beat(self):
        """Write the entry, unless the store is away."""
        if not self.store.away and self.beating:
            self._beats += 1
            self.beat_at = asyncio.get_running_loop().time()
            self.store.put("servers", self.name, self.entry())

    async def run_beats(self):
        while True:
            self.beat()
            await asyncio.sleep(BEAT_S)

    def crash(self):
        """End all connections and refuse new ones; entries lapse by themselves."""
        self.beating = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._record(f"engine {self.name}: crashed")

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(*CONNECTION_ENDS):
            while True:
                first, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self._answer(first, fields, body, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, first, fields, body, writer):
        method, target, _ = first.split(" ")
        expected = fields.get("x-expect-instance")
        if expected is not None and expected != self.name:
            self._write(writer, 421, fields, not_run=True)
        elif (method, target) == ("GET", "/-/report"):
            report = {
                "stage": "both",
                "models": self._held(),
                "busy": self._busy,
                "seq": self._sequence,
                "born": self._born,
                "queued": 0,
                "active": self.running,
                "kvUsed": 0,
                "kvTotal": 90000,
                "handles": 0,
            }
            self._write(writer, 200, fields, json.dumps(report).encode())
        elif (method, target) == ("POST", "/-/order"):
            self._write(writer, self._take_order(json.loads(body)), fields)
        else:
            await self._run(target, fields, writer)

    def _take_order(self, order):
        fence, expect = order.get("fence"), order.get("expect")
        if fence is None or "holder" not in order:
            return 400
        if fence < self._highest_fence:
            status = 412
        elif self._busy or (expect is not None and expect != self._sequence):
            status = 409
        else:
            status = self._start_order(order)
        self._highest_fence = max(self._highest_fence, fence)
        self.orders.append((order["holder"], fence, status))
        name = f"{order['model']}/{order.get('adapter', '')}"
        self._record(
            f"engine {self.name}: order {order['op']} {name} of {order['holder']}, "
            f"fence {fence}, expect {expect}: {status}"
        )
        return status

    def _start_order(self, order):
        model, adapter = order["model"], order.get("adapter")
        if adapter is not None:
            held = self.models.get(model)
            if held is None:
                return 409
            (held.add if order["op"] == "load" else held.discard)(adapter)
            self._sequence += 1
            return 202
        if (order["op"] == "load") == (model in self.models):
            return 200
        self._sequence += 1
        self._busy = True
        self.spawn(self._finish_order(order["op"], model))
        return 202

    async def _finish_order(self, operation, model):
        if operation == "unload":
            del self.models[model]
        await asyncio.sleep(self.load_s if operation == "load" else 0.05)
        if operation == "load":
            self.models[model] = set()
        self._busy = False
        self.beat()

    async def _run(self, target, fields, writer):
        model, _, adapter = fields.get("x-model", "").partition("/")
        if model and (
            model not in self.models or (adapter and adapter not in self.models[model])
        ):
            self._write(writer, 421, fields, not_run=True)
            return
        if self.running >= self.slots + self.queue:
            self._write(writer, 503, fields, not_run=True)
            return
        request_id = fields["x-request-id"]
        last = int(fields.get("last-event-id", 0))
        self.runs.append((request_id, last))
        self._record(f"engine {self.name}: runs {request_id} after event {last}")
        self.running += 1
        try:
            if model:
                await self._stream(fields, last, writer)
            else:
                await asyncio.sleep(self.work_s)
                self._write(writer, 200, fields, b"done " + request_id.encode())
        finally:
            self.running -= 1

    async def _stream(self, fields, last, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: %b\r\nX-Stamp: %b\r\nTransfer-Encoding: chunked\r\n\r\n"
            % (fields["x-request-id"].encode(), self.name.encode())
        )
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            # The data tells which engine and software version made the event.
            data = b"id: %d\ndata: %b version %b\n\n" % (
                number,
                self.name.encode(),
                self.version.encode(),
            )
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")

    def _write(self, writer, status, fields, body=b"", not_run=False):
        writer.write(self._encode(status, fields, body, not_run))

    def _encode(self, status, fields, body, not_run):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if "x-request-id" in fields:
            lines.append(f"X-Request-Id: {fields['x-request-id']}")
        lines.append("X-Not-Run: 1" if not_run else f"X-Stamp: {self.name}")
        lines.append(f"X-Instance: {self.name}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Gateway:
    """A gateway process; it is started with the command of the deploy file."""

    def __init__(self, node, address, store, directory, record):
        self.node = node
        self.address = address
        self.store_address = store.address
        self.settings = Path(directory) / f"{node}.toml"
        self.log = Path(directory) / f"{node}.log"
        self.process = None
        self._record = record
        self._front, self._ready, self._peers = (free_port(address) for _ in range(3))

    def _write_settings(self, first_start):
        self.settings.write_text(
            f'node = "{self.node}"\nip = "{self.address}"\nzone = "kakdwip"\n'
            f"portRange = [{self._peers}, {self._peers}]\n"
            f"bootstrap = {str(first_start).lower()}\n"
            f'discovery = "platform"\nbeatMs = {int(BEAT_S * 1000)}\n'
            'contracts = ["base", "drain", "config", "cost", "retry", "recover", '
            '"fleet", "stream", "engine", "tenants", "quota", "platform"]\n'
            f'[listen]\nfront = "{self.address}:{self._front}"\n'
            f'ready = "{self.address}:{self._ready}"\n'
            "[limits]\nramMb = 300\nmaxFds = 4100\nlinkMbps = 1000.0\n"
            "[bounds]\nstableMs = 3000\ndrainMs = 2000\ngraceS = 8\nconfigMs = 2000\n"
            "budgetRatio = 0.2\nbudgetWindowS = 10\nbudgetSlack = 56\n"
            "quotaWindowS = 8\nquotaOver = 0.1\nquotaSlack = 11000\n"
            f"leaseMs = {LEASE_MS}\nthawMs = 300\n"
            "ceilingWindowS = 5\nceilingOver = 1.1\nrequireFence = true\n"
            '[platform]\naddr = "{}:{}"\nrowBytes = 65536\n'.format(*self.store_address)
        )

    async def start(self, first_start=False):
        self._write_settings(first_start)
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["FLAMINGOPOND_SETTINGS"] = str(self.settings)
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["gateway"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record(f"gateway {self.node}: started, process {self.process.pid}")

    def send_signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self._record(f"gateway {self.node}: {signal.Signals(number).name}")

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def connect(self):
        return await asyncio.open_connection(self.address, self._front)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self._ready)
        except OSError:
            return False
        try:
            async with asyncio.timeout(1.0):
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _ = await read_head(reader)
                return " 200 " in first
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=15.0):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.02)


class Answer:
    """What a client has received of one answer; ``ended`` if it came whole."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.ended = False

    def events(self):
        """Return the complete events as pairs of id and data."""
        blocks = self.body.decode().split("\n\n")[:-1]
        found = []
        for block in blocks:
            lines = dict(line.split(": ", 1) for line in block.split("\n"))
            found.append((int(lines["id"]), lines["data"]))
        return found


def request(target, request_id, deadline_ms, method="POST", body=b"", **fields):
    """Return a client's request; ``fields`` are more headers."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(reader, answer):
    """Read one answer into ``answer``; raises if the connection ends before."""
    first, answer.fields = await read_head(reader)
    answer.status = int(first.split(" ")[1])
    if "content-length" in answer.fields:
        answer.body = await reader.readexactly(int(answer.fields["content-length"]))
    else:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    answer.ended = True


async def call(gateway, data, timeout_s):
    """Send a request on a new connection; return what was answered."""
    answer = Answer()
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await gateway.connect()
            try:
                writer.write(data)
                await read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        pass
    return answer


def model_service(models, engine=None):
    """Return a service of model engines; ``models`` are their names."""
    values = {
        "slots": 8,
        "kvTokens": 90000,
        "weightsMb": 200000.0,
        "adapterSlots": 8,
        "loadsPerS": 2.1,
        "models": [
            {"name": name, "weightsMb": 72700.0, "loadS": 0.3, "adapters": 0}
            for name in models
        ],
    }
    return {
        "name": "log-models",
        "healthPath": "/health",
        "engine": values | (engine or {}),
    }


def stream_route(**changes):
    values = {
        "name": "drafts",
        "host": HOST,
        "prefix": "/drafts/",
        "kind": "stream",
        "timeoutMs": 15000,
        "goalMs": 800,
        "service": "log-models",
        "maxAttempts": 2,
        "resumable": True,
        "gapAimMs": 250,
        "sticky": True,
    }
    return values | changes


def configuration(routes, services):
    """Return a configuration with one tenant without a limit."""
    return {
        "version": 3,
        "routes": routes,
        "services": services,
        "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


class StreamCaller:
    """A caller of one stream, which it takes up after its connection has broken.

    ``events`` are the events that it has, from all tries, as pairs of id and data.
    """

    def __init__(self, name, record, model="m0", deadline_s=15.0):
        self.name = name
        self.events = []
        self.tries = 0
        self.complete = False
        self.statuses = []
        self._model = model
        self._record = record
        self._deadline_s = deadline_s
        self._began = None
        self._writer = None

    async def try_once(self, gateway):
        """Begin the stream, or go on with it, until its end or a break."""
        self.tries += 1
        request_id = f"{self.name}-{self.tries}"
        fields = {}
        if self.events:
            fields = {"Last_Event_Id": self.events[-1][0], "Resumes": self._began}
        data = request(
            "/drafts/2f",
            request_id,
            int(self._deadline_s * 1000),
            body=b"{}",
            X_Model=self._model,
            X_Tokens="100,80",
            X_Prompt_Prefix=f"aa:40,{self.name.encode().hex()}:60",
            **fields,
        )
        answer = Answer()
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(self._deadline_s):
                reader, self._writer = await gateway.connect()
                self._writer.write(data)
                await read_answer(reader, answer)
        found = answer.events() if answer.status == 200 else []
        if found and self._began is None:
            self._began = request_id
        self.events += found
        self.complete = answer.ended and answer.status == 200
        if self._writer is not None:
            self._writer.transport.abort()
        self.statuses.append(answer.status)
        numbers = f"{found[0][0]} to {found[-1][0]}" if found else "none"
        sources = sorted({data for _, data in found})
        self._record(
            f"client: {request_id} {fields} at {gateway.node}: {answer.status}, events "
            f"{numbers} of {sources}, {'whole' if answer.ended else 'broken off'}"
        )

    def break_connection(self):
        """Reset the caller's connection, as a bad link does."""
        if self._writer is not None:
            self._writer.transport.abort()

    def versions(self):
        """Return the software versions whose events the caller has."""
        return {data.rpartition(" ")[2] for _, data in self.events}
