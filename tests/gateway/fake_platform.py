"""A fake of the platform's store, and entries and settings on loopback."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

import gateway_parts as parts

CONFIGURATION = {
    "version": 1,
    "routes": [
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
            "gapAimMs": 250,
        },
        {
            "name": "orders",
            "host": "trust.example",
            "prefix": "/orders/",
            "kind": "unsafe",
            "timeoutMs": 5000,
            "service": "desk",
        },
    ],
    "services": [
        {
            "name": "models",
            "engine": {
                "slots": 4,
                "kvTokens": 100000,
                "weightsMb": 100.0,
                "adapterSlots": 2,
                "loadsPerS": 5.0,
                "models": [
                    {"name": name, "weightsMb": 60.0, "loadS": 0.2, "adapters": 2}
                    for name in ("m0", "m1")
                ],
            },
        },
        {"name": "desk"},
    ],
    "tenants": [{"name": "trust", "apiKeys": ["key-1"]}],
}


class Store:
    """In-memory store with versioned rows, conditional writes and change feeds.

    While ``refusing`` is set, :meth:`serve_or_refuse` answers 503, so that the
    store serves only some of the gateways. :meth:`restore` brings back an earlier
    state; the era that each answer names rises then.
    """

    def __init__(self):
        self.era = 1
        self.rows = {}
        self.log = []
        self.version = 0
        self.changed = asyncio.Event()
        self.refusing = False
        self.silent = False
        self.silences = 0
        self.calls = 0

    def _state(self):
        return {"ver": self.version, "nowMs": int(1000 * time.monotonic()) + 1}

    def put(self, table, key, value):
        """Write a row without conditions, as the operator or a target does."""
        self.version += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self._set(table, key, data)

    def remove(self, table, key):
        self.version += 1
        row = {"table": table, "key": key, "ver": self.version, "removed": True}
        self.rows.pop((table, key), None)
        self.log.append(row)
        self.changed.set()

    def copy(self):
        """Return the present state, for :meth:`restore`."""
        return dict(self.rows), list(self.log), self.version

    def restore(self, copy):
        """Come back from an older copy; what was written since then is lost."""
        rows, log, self.version = copy
        self.rows, self.log = dict(rows), list(log)
        self.era += 1
        self.changed.set()

    def _set(self, table, key, data):
        row = {"table": table, "part": "", "key": key, "value": data}
        row["ver"] = self.version
        self.rows[(table, key)] = row
        self.log.append(row)
        self.changed.set()

    async def serve_or_refuse(self, reader, writer):
        """Serve a connection, or answer 503 while ``refusing`` is set."""
        await self.serve(reader, writer, lambda: self.refusing)

    def silence(self):
        """Give no response to :meth:`serve_or_stay_mute` until ``silent`` is unset."""
        self.silent = True
        self.silences += 1

    async def serve_or_stay_mute(self, reader, writer):
        """Serve a connection; it delivers nothing after a response that was lost."""
        await self.serve(reader, writer, may_be_mute=True)

    async def serve(self, reader, writer, refuses=lambda: False, may_be_mute=False):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                method, target, _ = head.split(" ", 2)
                size = 0
                for line in head.lower().split("\r\n"):
                    if line.startswith("content-length:"):
                        size = int(line.partition(":")[2])
                body = await reader.readexactly(size)
                self.calls += 1
                silences = self.silences
                status, answer = await self._answer(method, target, body, refuses)
                if may_be_mute and (self.silent or self.silences != silences):
                    await reader.read()
                    break
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, self.era, len(data), data)
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _answer(self, method, target, body, refuses):
        if refuses():
            return 503, {}
        split = urlsplit(target)
        query = {key: found[0] for key, found in parse_qs(split.query).items()}
        if split.path == "/-/rows-tx":
            return self._write(json.loads(body))
        if split.path == "/-/rows-get":
            rows = [r for (t, _), r in self.rows.items() if t == query["table"]]
            return 200, {"rows": rows, "hasMore": False, **self._state()}
        return await self._feed(query, refuses)

    def _write(self, call):
        for row in call["expect"]:
            present = self.rows.get((row["table"], row["key"]))
            if (present["ver"] if present else 0) != row["ver"]:
                return 412, {"rows": [present] if present else []}
        self.version += 1
        for row in call["puts"]:
            self._set(row["table"], row["key"], row["value"])
        return 200, self._state()

    async def _feed(self, query, refuses):
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["waitMs"]) / 1000
        after = int(query["after"])
        if after > self.version:
            return 410, {}
        era = self.era
        while True:
            if self.era != era:
                return 410, {}
            table = query["table"]
            new_rows = [r for r in self.log if r["table"] == table and r["ver"] > after]
            if refuses():
                return 503, {}
            if new_rows or loop.time() >= end:
                return 200, {"rows": new_rows, **self._state()}
            self.changed.clear()
            try:
                async with asyncio.timeout_at(end):
                    await self.changed.wait()
            except TimeoutError:
                continue


def entry(service, port, models=(), **changes):
    """Return the entry of a target that listens on loopback."""
    values = {
        "service": service,
        "addr": f"127.0.0.1:{port}",
        "zone": "gosaba",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 0,
        "born": 1,
        "models": [{"name": name, "version": 1, "adapters": []} for name in models],
    }
    return values | changes


def settings_text(
    node,
    ports,
    store_port,
    ip="127.0.0.1",
    lease_s=parts.BOUNDS.lease_s,
    first_start=True,
    grace_s=4,
    contracts=(),
):
    """Return the settings file of a gateway on loopback."""
    return f"""
node = "{node}"
ip = "{ip}"
zone = "gosaba"
portRange = [{ports[2]}, {ports[2]}]
bootstrap = {"true" if first_start else "false"}
contracts = {json.dumps(list(contracts))}
[listen]
front = "{ip}:{ports[0]}"
ready = "{ip}:{ports[1]}"
[bounds]
graceS = {grace_s}
coldOver = {parts.BOUNDS.cold_over}
coldSlack = {parts.BOUNDS.cold_slack}
leaseMs = {int(lease_s * 1000)}
[platform]
addr = "127.0.0.1:{store_port}"
"""
