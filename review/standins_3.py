"""Stand-ins of the platform's store, model engines and clients for the cases.

They follow PROTOCOL.md and run in the process of a case. Gateways are separate
processes, started with the command of deploy/system.toml, each on a loopback address
of its own.
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
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
BEAT_S = 1.2
BEATS_UNTIL_REMOVAL = 3
STABLE_S = 3.0
START_TIMEOUT_S = 20.0
MAX_CASE_S = 110.0
HOST = "trust.example"
KEY = "key-1"
TENANT = "trust"
# Time in which a client wants its whole stream, over all of its tries.
CLIENT_DEADLINE_S = 15.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

Fields = dict[str, str]


class Record:
    """What was sent, answered and run, with times in seconds from the start."""

    def __init__(self) -> None:
        """Start the clock."""
        self._lines: list[str] = []
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Time since the start in seconds."""
        return time.monotonic() - self._started_at

    def add(self, what: str, **fields: object) -> None:
        """Add a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{self.now:8.3f} {what} {text}".rstrip())

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self._lines) + "\n")


def free_ports(address: str, count: int) -> list[int]:
    """Return ports that are free at an address, below the ephemeral ones."""
    found = []
    start = 20000 + os.getpid() % 500 * 20
    for port in range(start, start + 2000):
        with contextlib.ExitStack() as stack:
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    sock = stack.enter_context(socket.socket(type=kind))
                    sock.bind((address, port))
            except OSError:
                continue
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports")


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Fields]:
    """Return the first line of a message and its headers, names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    fields = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_request(
    reader: asyncio.StreamReader,
) -> tuple[str, str, Fields, bytes]:
    """Return method, target, headers and body of a request with a length."""
    first, fields = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return method, target, fields, body


def json_response(status: int, value: object, headers: Fields | None = None) -> bytes:
    """Return a complete response with a JSON body."""
    body = json.dumps(value).encode()
    lines = [f"HTTP/1.1 {status} Status", "Content-Type: application/json"]
    lines += [f"{name}: {text}" for name, text in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Store:
    """The platform's store with versioned rows, conditions and feeds."""

    def __init__(self) -> None:
        """Start empty."""
        self.port = 0
        self._version = 0
        self._rows: dict[tuple[str, str, str], dict[str, object]] = {}
        self._log: list[dict[str, object]] = []
        self._changed = asyncio.Event()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on a loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator or an engine does."""
        self._version += 1
        self._set(table, "", key, base64.b64encode(json.dumps(value).encode()).decode())

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        if self._rows.pop((table, "", key), None) is not None:
            self._version += 1
            self._note({"table": table, "part": "", "key": key, "removed": True})

    def _set(self, table: str, part: str, key: str, data: str) -> None:
        row = {"table": table, "part": part, "key": key, "value": data}
        self._rows[(table, part, key)] = row
        self._note(row)

    def _note(self, row: dict[str, object]) -> None:
        row["ver"] = self._version
        self._log.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                _, target, _, body = await read_request(reader)
                status, value = await self._answer(target, body)
                value |= {"ver": self._version, "nowMs": int(1000 * time.monotonic())}
                writer.write(json_response(status, value, {"Store-Era": "1"}))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str, body: bytes) -> tuple[int, dict[str, object]]:
        split = urlsplit(target)
        query = {name: found[0] for name, found in parse_qs(split.query).items()}
        if split.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if split.path == "/-/rows-get":
            part, start = query.get("part", ""), query.get("from", "")
            rows = [
                row
                for (table, row_part, key), row in sorted(self._rows.items())
                if (table, row_part) == (query["table"], part) and key >= start
            ]
            return 200, {"rows": rows, "hasMore": False}
        if split.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _transact(self, call: dict[str, list]) -> tuple[int, dict[str, object]]:
        def key_of(row: dict[str, str]) -> tuple[str, str, str]:
            return row["table"], row.get("part", ""), row["key"]

        expected = call.get("expect", [])
        present = [self._rows.get(key_of(row)) for row in expected]
        for row, found in zip(expected, present, strict=True):
            if (found["ver"] if found else 0) != row["ver"]:
                return 412, {"rows": [one for one in present if one]}
        self._version += 1
        for row in call.get("puts", []):
            self._set(*key_of(row), row["value"])
        for row in call.get("remove", []):
            self._rows.pop(key_of(row), None)
            self._note({**row, "removed": True})
        return 200, {}

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("waitMs", 0)) / 1000
        after = int(query["after"])
        while True:
            changed = self._changed
            latest = {
                (row["part"], row["key"]): row
                for row in self._log
                if row["table"] == query["table"] and int(str(row["ver"])) > after
            }
            if latest or loop.time() >= ends_at:
                return 200, {"rows": list(latest.values())}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(ends_at):
                    await changed.wait()


class Link:
    """The link of one machine to the store; while it is cut, nothing gets through."""

    def __init__(self, store: Store) -> None:
        """Start with a whole link."""
        self.port = 0
        self._store = store
        self._whole = asyncio.Event()
        self._whole.set()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on a loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        self.port = server.sockets[0].getsockname()[1]

    def cut(self) -> None:
        """Hold back all bytes from now on."""
        self._whole.clear()

    def heal(self) -> None:
        """Let bytes through again, those that were held back first."""
        self._whole.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            await self._whole.wait()
            upstream = await asyncio.open_connection("127.0.0.1", self._store.port)
            await asyncio.gather(
                self._pump(reader, upstream[1]), self._pump(upstream[0], writer)
            )
        writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                await self._whole.wait()
                writer.write(data)
                await writer.drain()
        writer.close()


class Engine:
    """A model engine, with a new id and address at each start.

    ``prefill_s`` is the time to the first event. Every ``comment_s`` until then it
    sends a comment line, if that is set. A request whose prompt has ``fatal_part``
    crashes it as it begins to write. ``software`` is the version of its software.
    """

    def __init__(
        self, name: str, store: Store, record: Record, software: str = "1"
    ) -> None:
        """Take the name without the number of the start."""
        self.software = software
        self.prefill_s = 0.1
        self.comment_s: float | None = None
        self.events = 10
        self.pause_s = 0.02
        self.fatal_part: str | None = None
        self.down_s = 2.0
        self.crashes: list[float] = []
        self.running: set[str] = set()
        self._name = name
        self._store = store
        self._record = record
        self._starts = 0
        self._registered = True
        self._sequence = 0
        self._fence = 0
        self._born = 0
        self._server: asyncio.Server | None = None
        self._address = ("", 0)
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def id(self) -> str:
        """Id of the present incarnation."""
        return f"i-{self._name}-{self._starts}"

    async def start(self) -> None:
        """Listen, and register."""
        self._starts += 1
        self._sequence = self._fence = 0
        self._born = int(1000 * time.time())
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._address = self._server.sockets[0].getsockname()[:2]
        self._spawn(self._beat(self.id))

    def crash(self) -> None:
        """End all connections; come back after ``down_s`` as another incarnation."""
        if self._server is None:
            return
        self.crashes.append(self._record.now)
        self._record.add("crash", engine=self.id)
        self._server.close()
        self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self.running.clear()
        self._spawn(self._come_back(self.id))

    async def leave(self, serve_s: float) -> None:
        """Leave without a report: the entry goes, and the engine ``serve_s`` later."""
        self._store.remove("servers", self.id)
        self._registered = False
        self._record.add("entry removed", engine=self.id)
        await asyncio.sleep(serve_s)
        self._record.add("left", engine=self.id, running=len(self.running))
        self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def close(self) -> None:
        """Stop for good."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    def _spawn(self, coroutine: Awaitable[None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self, lost_id: str) -> None:
        await asyncio.sleep(self.down_s)
        await self.start()
        await asyncio.sleep(max(BEATS_UNTIL_REMOVAL * BEAT_S - self.down_s, 0.0))
        self._store.remove("servers", lost_id)

    async def _beat(self, own_id: str) -> None:
        while self.id == own_id and self._server is not None and self._registered:
            self._register(own_id)
            await asyncio.sleep(BEAT_S)

    def _register(self, own_id: str) -> None:
        self._sequence += 1
        host, port = self._address
        entry = {
            "service": "models",
            "addr": f"{host}:{port}",
            "zone": "zone-a",
            "version": self.software,
            "slots": 8,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": self._sequence,
            "born": self._born,
            "stage": "both",
            "models": [{"name": "m0", "version": 1, "adapters": []}],
            "atHand": {"inMemory": ["m0"], "onDisk": ["m0"]},
        }
        self._store.put("servers", own_id, entry)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                method, target, fields, body = await read_request(reader)
                await self._answer(method, target, fields, body, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _answer(
        self,
        method: str,
        target: str,
        fields: Fields,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        if fields.get("x-expect-instance", self.id) != self.id:
            writer.write(json_response(421, {}, {"X-Not-Run": "1"}))
        elif target == "/-/report":
            report = {
                "stage": "both",
                "models": [{"name": "m0", "version": 1, "adapters": []}],
                "busy": False,
                "seq": 0,
                "queued": 0,
                "active": len(self.running),
                "kvUsed": 0,
                "kvTotal": 100000,
                "handles": 0,
                "born": self._born,
            }
            writer.write(json_response(200, report))
        elif target == "/-/order":
            order = json.loads(body)
            stale = order["fence"] < self._fence
            self._fence = max(self._fence, order["fence"])
            # The only model is there, and stays.
            held = order["op"] == "load" and order["model"] == "m0"
            writer.write(json_response(412 if stale else 200 if held else 409, {}))
        elif "x-request-id" not in fields:
            writer.write(json_response(200, {}, {"X-Instance": self.id}))
        else:
            await self._run(fields, writer)

    async def _run(self, fields: Fields, writer: asyncio.StreamWriter) -> None:
        request_id = fields["x-request-id"]
        last_event = int(fields.get("last-event-id", 0))
        self._record.add(
            "run",
            engine=self.id,
            software=self.software,
            request=request_id,
            prompt=fields.get("x-prompt-prefix"),
            last_event_id=fields.get("last-event-id", "-"),
        )
        self.running.add(request_id)
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Request-Id: %b\r\nX-Stamp: %b\r\nTransfer-Encoding: chunked\r\n\r\n"
            % (request_id.encode(), f"stamp-{self.id}-{request_id}".encode())
        )
        try:
            await self._prefill(writer)
            parts = fields.get("x-prompt-prefix", "").split(",")
            if self.fatal_part in {part.partition(":")[0] for part in parts}:
                self.crash()
                raise ConnectionResetError
            for number in range(last_event + 1, self.events + 1):
                data = f"id: {number}\ndata: {self.software}/{number}\n\n"
                _write_chunk(writer, data.encode())
                await writer.drain()
                await asyncio.sleep(self.pause_s)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running.discard(request_id)

    async def _prefill(self, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self.prefill_s
        while (left_s := ends_at - loop.time()) > 0:
            if self.comment_s is not None:
                _write_chunk(writer, b": keep-alive\n\n")
                left_s = min(left_s, self.comment_s)
            await writer.drain()
            await asyncio.sleep(left_s)


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%b\r\n" % (len(data), data))


def configuration(tenants: list[dict[str, object]] | None = None) -> dict[str, object]:
    """Return the operator's configuration with one route to the model engines."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "drafts",
                "host": HOST,
                "prefix": "/drafts/",
                "kind": "stream",
                "timeoutMs": 15000,
                "goalMs": 800,
                "priority": 1,
                "service": "models",
                "maxAttempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gapAimMs": 250,
            }
        ],
        "services": [
            {
                "name": "models",
                "healthPath": "/health",
                "maxConns": 240,
                "engine": {
                    "slots": 8,
                    "kvTokens": 100000,
                    "weightsMb": 100.0,
                    "adapterSlots": 2,
                    "loadsPerS": 2.0,
                    "models": [
                        {"name": "m0", "weightsMb": 60.0, "loadS": 4.0, "adapters": 0}
                    ],
                },
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": tenants or [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


class Gateway:
    """A gateway process with the settings of a machine of a small deployment."""

    def __init__(
        self, number: int, ports: list[int], link: Link, directory: Path
    ) -> None:
        """Write the settings file."""
        self.link = link
        self.node = f"front-zone-a-{number}"
        self.ip = f"127.0.1.{number}"
        self.front = (self.ip, ports[0])
        self._ready = (self.ip, ports[1])
        self._directory = directory
        self._process: asyncio.subprocess.Process | None = None
        self._settings = directory / f"{self.node}.toml"
        self._ports = ports
        self._write_settings(first_start=True)

    def _write_settings(self, first_start: bool) -> None:
        front, ready, peer = self._ports
        self._settings.write_text(
            f"""
node = "{self.node}"
role = "gateway"
class = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "zone-a"
region = "region-a"
portRange = [{peer}, {peer}]
bootstrap = {str(first_start).lower()}
discovery = "platform"
entry = "vip"
beatMs = {int(1000 * BEAT_S)}
contracts = ["base","drain","config","cost","retry","recover","fleet","stream",
  "engine","tenants","quota","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "{self.ip}:{front}"
ready = "{self.ip}:{ready}"
[limits]
ramMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
stableMs = {int(1000 * STABLE_S)}
drainMs = 2000
graceS = 8
configMs = 2000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
quotaWindowS = 8
quotaOver = 0.1
quotaSlack = 11000
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
ceilingOver = 1.1
[platform]
addr = "127.0.0.1:{self.link.port}"
form = "table"
rowBytes = 65536
"""
        )

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "FLAMINGOPOND_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with (self._directory / f"{self.node}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def note_first_start(self) -> None:
        """Write the settings of later starts; the process has read its own."""
        self._write_settings(first_start=False)

    async def ready(self) -> bool:
        """Whether the machine reports itself ready."""
        try:
            reader, writer = await asyncio.open_connection(*self._ready)
        except OSError:
            return False
        with contextlib.closing(writer):
            writer.write(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await reader.read(64)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(number)

    async def wait(self) -> int | None:
        """Wait for the end of the process; return its status."""
        return await self._process.wait() if self._process is not None else None

    async def stop(self) -> None:
        """Kill the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Answer:
    """What a client has received for one request.

    ``events`` are the ids of the events, ``software`` the versions that have made them,
    ``complete`` whether the answer has ended as its framing says.
    """

    def __init__(self) -> None:
        """Start without an answer."""
        self.status = 0
        self.headers: Fields = {}
        self.events: list[int] = []
        self.software: set[str] = set()
        self.complete = False
        self.failure = ""


class Client:
    """Sends requests, each on a connection of its own."""

    def __init__(self, record: Record) -> None:
        """Record what is sent and answered."""
        self._record = record

    async def send(
        self,
        gateway: Gateway,
        request_id: str,
        prompt: str,
        deadline_s: float = CLIENT_DEADLINE_S,
        leave_after: int | None = None,
        **more: str,
    ) -> Answer:
        """Send a generation; close the connection after ``leave_after`` events."""
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Model": "m0",
            "X-Tokens": "600,40",
            "X-Prompt-Prefix": prompt,
            "X-Deadline-Ms": str(int(1000 * deadline_s)),
            "Authorization": f"Bearer {KEY}",
            "Content-Length": "6",
        } | {name.replace("_", "-"): value for name, value in more.items()}
        answer = Answer()
        self._record.add(
            "sent",
            request=request_id,
            gateway=gateway.node,
            prompt=prompt,
            last_event_id=fields.get("Last-Event-Id", "-"),
        )
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        try:
            async with asyncio.timeout(deadline_s):
                reader, writer = await asyncio.open_connection(*gateway.front)
                with contextlib.closing(writer):
                    writer.write(f"POST /drafts/1 HTTP/1.1\r\n{head}\r\n".encode())
                    writer.write(b"draft\n")
                    await self._read(reader, answer, leave_after)
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.failure = type(error).__name__
        self._record.add(
            "answered",
            request=request_id,
            status=answer.status,
            events=answer.events,
            software=",".join(sorted(answer.software)) or "-",
            complete=answer.complete,
            failure=answer.failure or "-",
        )
        return answer

    async def _read(
        self, reader: asyncio.StreamReader, answer: Answer, leave_after: int | None
    ) -> None:
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding") != "chunked":
            await reader.readexactly(int(answer.headers.get("content-length", 0)))
            answer.complete = True
            return
        text = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            text += await reader.readexactly(size)
            await reader.readexactly(2)
            *whole, text = text.split(b"\n\n")
            for event in whole:
                for line in event.split(b"\n"):
                    if line.startswith(b"id:"):
                        answer.events.append(int(line[3:]))
                    if line.startswith(b"data:"):
                        answer.software.add(line[5:].split(b"/")[0].decode().strip())
            if leave_after is not None and len(answer.events) >= leave_after:
                return
        answer.complete = True


class Deployment:
    """Store, engines and gateways of a case."""

    def __init__(self, record: Record, store: Store) -> None:
        """Start without engines and gateways."""
        self.record = record
        self.store = store
        self.engines: list[Engine] = []
        self.gateways: list[Gateway] = []


@contextlib.asynccontextmanager
async def deployment(
    record: Record,
    gateways: int,
    engines: int,
    prepare: Callable[[Engine], None] = lambda engine: None,
    software: str = "1",
) -> AsyncIterator[Deployment]:
    """Run a store, engines and ready gateways; end all of them afterwards.

    The engines have the versions in ``software`` in turn.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = Store()
        await store.start(stack)
        found = Deployment(record, store)
        store.put("op", "config", configuration())
        for number in range(engines):
            version = software[number % len(software)]
            engine = Engine(str(number), store, record, version)
            prepare(engine)
            await engine.start()
            stack.callback(engine.close)
            found.engines.append(engine)
        ports = free_ports("127.0.1.1", 3)
        for number in range(1, gateways + 1):
            link = Link(store)
            await link.start(stack)
            gateway = Gateway(number, ports, link, directory)
            stack.push_async_callback(gateway.stop)
            await gateway.start()
            found.gateways.append(gateway)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all([await gateway.ready() for gateway in found.gateways]):
                await asyncio.sleep(0.1)
        for gateway in found.gateways:
            gateway.note_first_start()
        record.add("ready", gateways=gateways, engines=engines)
        yield found
        if keep := os.environ.get("KEEP_LOGS"):
            for path in directory.glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())


def _handle_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Report errors, but not the connections that the end of a case cancels."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


def run_case(case: Callable[[Record], Awaitable[bool]], directory: Path) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 on an error."""
    record = Record()

    async def run() -> bool:
        asyncio.get_running_loop().set_exception_handler(_handle_loop_error)
        async with asyncio.timeout(MAX_CASE_S):
            return await case(record)

    try:
        broken = asyncio.run(run())
        record.add("result", broken=broken, trouble=TROUBLE)
        status = 1 if broken else 0
    except Exception as error:
        record.add("error", reason=repr(error))
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    record.write(directory / "record.txt")
    sys.exit(status)
