"""Stand-ins around the gateways of a soak: link proxies, engines and the operator."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
import zlib

import fake_platform
import path_parts as path
import soak_checks as checks

EVENTS_PER_STREAM = 12
EVENT_PAUSE_S = 0.02
# Streams on this path last over a second, so that they overlap a whole shutdown.
LONG_PATH = "/drafts/long"
LONG_EVENT_PAUSE_S = 0.12
MODELS = ("m0", "m1")
EXTRA_ROUTES = [f"/extra-{number}/" for number in range(6)]
EXTRA_KEYS = [f"extra-key-{number}" for number in range(4)]
BULK_ROUTES = 300
# A prompt part that crashes engines.
FATAL_PART = "bad"
# A crashed engine is back, as a new incarnation, after this time.
CRASH_RESTART_S = 1.0
# Time from the arrival of a request that crashes an engine to the crash.
CRASH_DELAY_S = 0.05


# True for the connection's loop, and tells it that the request was refused.
REFUSED = "refused"


class Proxy:
    """TCP proxy of one link; ``mode`` is the fault injected on it."""

    def __init__(self, upstream_port):
        self.upstream_port = upstream_port
        self.mode = "pass"
        self.port = 0
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self):
        self._server.close()
        self.reset()

    def kill(self):
        """End as a process that is killed: its kernel closes its connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def reset(self):
        linger = struct.pack("ii", 1, 0)
        writers, self._writers = self._writers, set()
        for writer in writers:
            # `abort` alone closes without a reset, which would end a response. uvloop
            # has no socket any more for a connection that has been closed.
            sock = writer.get_extra_info("socket")
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "reset":
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection("127.0.0.1", self.upstream_port)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, upstream[1]}
        self._writers |= writers
        pumps = (
            self._pump(reader, upstream[1], "up"),
            self._pump(upstream[0], writer, "down"),
        )
        try:
            await asyncio.gather(*pumps)
        finally:
            self._writers -= writers
            for end_writer in writers:
                end_writer.close()

    async def _pump(self, reader, writer, direction):
        # uvloop raises RuntimeError for a connection that has been closed.
        with contextlib.suppress(OSError, RuntimeError):
            while data := await reader.read(65536):
                while self.mode in ("silence", f"cut {direction}"):
                    await asyncio.sleep(0.02)
                if self.mode == "delay":
                    await asyncio.sleep(0.3)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()


class Engine:
    """Engine that serves streams and calls and records runs and orders.

    ``link`` is the proxy that gateways reach it through. Its entry in the store
    announces when it leaves; it goes on serving until it is back. Some responses have
    neither a length nor chunks. A request crashes it if its prompt holds one of
    ``fatal_parts`` or its body is ``fatal_body``; some crashes reset its connections,
    others close them. It names
    ``request_limit`` in its responses, unless that is None. ``fault`` is how it answers
    wrongly at present: it repeats refusals on kept connections, or breaks streams off
    and answers those that resume with an error.
    """

    def __init__(self, name, service, record, store, software="1"):
        self.name = name
        self.software = software
        self.link = None
        self.fatal_parts = frozenset()
        self.fatal_body = None
        self.request_limit = None
        self.fault = None
        self.bare_responses = False
        self._limit = None
        self._restart = None
        self._state = "ready"
        self._service = service
        self._record = record
        self._store = store
        self._highest_fencing_token = 0
        self._orders = 0
        self._born = 1

    async def start(self, stack):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.link = await Proxy(server.sockets[0].getsockname()[1]).start()
        stack.callback(server.close)
        stack.callback(self.link.close)
        self.register("ready")
        return self

    def register(self, state):
        self._state = state
        models = MODELS if self._service == "models" else ()
        entry = fake_platform.entry(
            self._service,
            self.link.port,
            models,
            state=state,
            born=self._born,
            version=self.software,
        )
        self._store.put("servers", self.name, entry)

    def write_again(self):
        """Write the present entry to a store that has lost it."""
        if self._state != "gone":
            self.register(self._state)

    def unregister(self):
        self._state = "gone"
        self._store.remove("servers", self.name)

    def restart(self):
        """Forget orders and fencing tokens, and register as a new incarnation."""
        self.end_limit()
        self._born += 1
        self._orders = self._highest_fencing_token = 0
        self.register("ready")

    def name_limit(self, rate):
        """Name a limit in all responses from now on."""
        now = asyncio.get_running_loop().time()
        self._limit = checks.Limit(self.name, rate, now)
        self._record.limits.append(self._limit)
        self.request_limit = rate

    def end_limit(self):
        """Name no limit any more."""
        if self._limit is not None:
            self._limit.until = asyncio.get_running_loop().time()
        self.request_limit = self._limit = None

    async def serve(self, reader, writer):
        refused = False
        # uvloop raises RuntimeError for a connection that has been closed.
        closed = (asyncio.IncompleteReadError, ConnectionError, RuntimeError)
        with contextlib.suppress(*closed):
            while True:
                if refused and self.fault == "repeated refusals":
                    writer = RepeatingWriter(writer, refusal())
                outcome = await self._serve_request(reader, writer)
                if not outcome:
                    break
                refused = outcome is REFUSED
                await writer.drain()
        writer.close()

    async def _serve_request(self, reader, writer):
        """Return whether the connection stays open; REFUSED after a refusal."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = dict(x.lower().split(": ", 1) for x in lines[1:] if x)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        if "/-/report" in lines[0]:
            held = [{"name": m, "version": 1, "adapters": []} for m in MODELS]
            report = {"seq": self._orders, "models": held, "born": self._born}
            self._json(writer, 200, report)
            return True
        if "/-/order" in lines[0]:
            order = json.loads(body)
            token = order["fence"]
            stale = token < self._highest_fencing_token
            self._highest_fencing_token = max(self._highest_fencing_token, token)
            self._record.orders.append((self.name, order["holder"], token))
            self._json(writer, 412 if stale else 200, {})
            return True
        request_id = fields["x-request-id"]
        now = asyncio.get_running_loop().time()
        if self.fault == "repeated refusals" and hash(request_id) % 2:
            writer.write(refusal(request_id))
            return REFUSED
        last_event = int(fields.get("last-event-id", 0))
        self._record.runs.append(
            checks.Run(request_id, self.name, now, self.software, last_event)
        )
        if self._is_fatal(fields, body):
            await self._crash(request_id)
            return False
        if self.fault == "broken streams" and "/drafts/" in lines[0]:
            return await self._break_stream(fields, writer)
        if self.bare_responses and zlib.crc32(request_id.encode()) % 3 == 0:
            await self._respond_bare(fields, writer, lines[0])
            return False
        if "/drafts/" not in lines[0]:
            await asyncio.sleep(EVENT_PAUSE_S)
            path.write_response(
                writer, 200, request_id.encode(), request_id, self._limit_fields()
            )
            return True
        first = last_event + 1
        pause_s = LONG_EVENT_PAUSE_S if LONG_PATH in lines[0] else EVENT_PAUSE_S
        script = path.stream(
            first, EVENTS_PER_STREAM, pause_s=pause_s, **self._limit_fields()
        )
        return await script(self, fields, writer)

    async def _respond_bare(self, fields, writer, line):
        """Send a response that ends with its connection, in pieces."""
        request_id = fields["x-request-id"]
        lines = ["HTTP/1.1 200 OK", f"X-Request-Id: {request_id}", "X-Stamp: stamp"]
        lines += [
            f"{n.replace('_', '-')}: {v}" for n, v in self._limit_fields().items()
        ]
        pieces = [request_id[:2].encode(), request_id[2:].encode()]
        if "/drafts/" in line:
            first = int(fields.get("last-event-id", 0)) + 1
            pieces = [path.event(n) for n in range(first, EVENTS_PER_STREAM + 1)]
        pause_s = LONG_EVENT_PAUSE_S if LONG_PATH in line else EVENT_PAUSE_S
        writer.write("\r\n".join([*lines, "Connection: close"]).encode() + b"\r\n\r\n")
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause_s)

    async def _break_stream(self, fields, writer):
        """Cut a stream off after some events; answer one that resumes with an error."""
        if "last-event-id" in fields:
            path.write_response(
                writer,
                404,
                b"error text",
                fields["x-request-id"],
                self._limit_fields(),
            )
            return True
        script = path.stream(
            1, 4, pause_s=EVENT_PAUSE_S, end=False, **self._limit_fields()
        )
        return await script(self, fields, writer)

    def _limit_fields(self):
        if self.request_limit is None:
            return {}
        return {"Server_Limit": self.request_limit}

    def _is_fatal(self, fields, body):
        prompt = fields.get("x-prompt-prefix", "").split(",")
        parts = {part.partition(":")[0] for part in prompt[:-1]}
        return bool(parts & self.fatal_parts) or body.decode() == self.fatal_body

    async def _crash(self, request_id):
        """End all connections and refuse new ones until the engine is back."""
        now = asyncio.get_running_loop().time()
        self._record.fatal_runs.append(checks.Run(request_id, self.name, now))
        await asyncio.sleep(CRASH_DELAY_S)
        if self._restart is None:
            now = asyncio.get_running_loop().time()
            self._record.crashes.append(checks.Crash(self.name, now))
            disruption = checks.Disruption(self.name, now)
            self._record.disruptions.append(disruption)
            if len(self._record.crashes) % 2:
                self.link.kill()
            else:
                self.link.close()
            self._restart = asyncio.create_task(self._come_back(disruption))

    async def _come_back(self, disruption):
        await asyncio.sleep(CRASH_RESTART_S)
        await self.link.start()
        self._restart = None
        # An engine that is leaving announces its return by itself.
        if self._state == "ready":
            self.restart()
        disruption.end = asyncio.get_running_loop().time()

    @staticmethod
    def _json(writer, status, value):
        data = json.dumps(value).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(data), data)
        )


def refusal(request_id=None):
    """Return a response that states that a request has not run."""
    echo = f"X-Request-Id: {request_id}\r\n" if request_id is not None else ""
    head = f"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n{echo}Content-Length: 0\r\n\r\n"
    return head.encode()


class RepeatingWriter:
    """Writes an earlier response once more, ahead of the first bytes of the next."""

    def __init__(self, writer, repeated):
        self._writer = writer
        self._repeated = repeated

    async def drain(self):
        await self._writer.drain()

    def close(self):
        self._writer.close()

    def write(self, data):
        self._writer.write(self._repeated + data)
        self._repeated = b""


class Operator:
    """Writes configurations that add and withdraw routes and keys."""

    def __init__(self, store, record):
        self.store = store
        self._record = record
        self._version = 0
        self._written = None
        self._routes = set(EXTRA_ROUTES[:3])
        self._keys = set(EXTRA_KEYS[:2])
        self._bulk_routes = 0
        self.write()

    def write(self):
        """Write the present configuration as a new version."""
        self._version += 1
        base = fake_platform.CONFIGURATION
        bulk = [f"/bulk-{number}/" for number in range(self._bulk_routes)]
        template = base["routes"][1]
        routes = base["routes"] + [
            template | {"name": prefix.strip("/"), "prefix": prefix}
            for prefix in [*sorted(self._routes), *bulk]
        ]
        keys = ["key-1", *sorted(self._keys)]
        self._written = base | {
            "version": self._version,
            "routes": routes,
            "tenants": [{"name": "trust", "apiKeys": keys}],
        }
        self.write_again()
        self._record.configurations.append(
            checks.Configuration(
                asyncio.get_running_loop().time(),
                frozenset(route["prefix"] for route in routes),
                frozenset(keys),
            )
        )

    def write_again(self):
        """Write the newest configuration, also to a store that has lost it."""
        self.store.put("op", "config", self._written)

    def change(self, rng):
        """Add or withdraw a route or a key, or grow or shrink by many routes."""
        kind = rng.choice(("route", "key", "size"))
        if kind == "route":
            self._routes ^= {rng.choice(EXTRA_ROUTES)}
        elif kind == "key":
            self._keys ^= {rng.choice(EXTRA_KEYS)}
        else:
            self._bulk_routes = rng.randint(0, 3) * BULK_ROUTES
        self.write()
