"""Randomized fault-injection soak test of gateway processes on loopback.

Real gateway processes run against stand-ins of the store and the engines.
Overlapping faults are injected from outside: proxies that delay, reset or silence
connections or cut one direction, signals that pause, kill or terminate a process,
restarts, and configuration changes. ``python tests/gateway/soak.py --seed 7`` runs
one seed.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import random
import signal
import sys
import tempfile
from pathlib import Path

import fake_platform
import path_parts as path
import soak_checks as checks
from test_gateway_process import Process

GATEWAY_COUNT = 3
CALLER_COUNT = 8
EVENTS_PER_STREAM = 12
EVENT_PAUSE_S = 0.02
# Required by the users: requests are served again within 12 s after the faults.
RECOVERY_LIMIT_S = 12.0
DEADLINE_MS = 4000
MODELS = ("m0", "m1")


class Proxy:
    """TCP proxy of one link; ``mode`` is the fault injected on it."""

    def __init__(self, upstream_port):
        self.upstream_port = upstream_port
        self.mode = "pass"
        self.port = 0
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def close(self):
        self._server.close()
        self.reset()

    def reset(self):
        for writer in list(self._writers):
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
        with contextlib.suppress(OSError):
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
    """Engine stand-in that serves streams and calls and records runs and orders."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.highest_fencing_token = 0
        self.orders = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while await self._serve_request(reader, writer):
                await writer.drain()
        writer.close()

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.split("\r\n")
        fields = dict(x.lower().split(": ", 1) for x in lines[1:] if x)
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        if "/-/report" in lines[0]:
            held = [{"name": m, "version": 1, "adapters": []} for m in MODELS]
            report = {"seq": self.orders, "models": held, "born": 1}
            self._json(writer, 200, report)
            return True
        if "/-/order" in lines[0]:
            order = json.loads(body)
            stale = order["fence"] < self.highest_fencing_token
            self.highest_fencing_token = max(self.highest_fencing_token, order["fence"])
            self.record.orders.append((self.name, order["holder"], order["fence"]))
            self._json(writer, 412 if stale else 200, {})
            return True
        request_id = fields["x-request-id"]
        self.record.runs.append((request_id, self.name))
        if "/orders/" in lines[0]:
            await asyncio.sleep(EVENT_PAUSE_S)
            path.write_response(writer, 200, request_id.encode(), request_id, {})
            return True
        first = int(fields.get("last-event-id", 0)) + 1
        return await path.stream(first, EVENTS_PER_STREAM, pause_s=EVENT_PAUSE_S)(
            self, fields, writer
        )

    @staticmethod
    def _json(writer, status, value):
        data = json.dumps(value).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(data), data)
        )


class Soak:
    """Run of one seed: a fleet of gateways under load and faults, and its checks."""

    def __init__(self, seed, seconds, directory):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.directory = directory
        self.record = checks.Record(EVENTS_PER_STREAM)
        self.gateways = []
        self.proxies = []
        self.store = fake_platform.Store()
        self.version = 1
        self.faults_ended = asyncio.Event()
        self.stopped_nodes = set()
        self.injected_faults = []

    async def run(self):
        """Run the seed; return the violations."""
        asyncio.get_running_loop().set_exception_handler(_handle_loop_error)
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            callers = [
                asyncio.create_task(self._run_caller(n)) for n in range(CALLER_COUNT)
            ]
            faults = []
            end = asyncio.get_running_loop().time() + self.seconds
            while asyncio.get_running_loop().time() < end:
                faults.append(asyncio.create_task(self._inject_fault()))
                await asyncio.sleep(self.rng.uniform(0.1, 0.8))
            await asyncio.gather(*faults)
            self.faults_ended.set()
            await asyncio.gather(*callers)
            await self._check_recovery()
            self.record.exits = [
                gateway.node
                for gateway in self.gateways
                if gateway.process.returncode is not None
            ]
            for gateway in self.gateways:
                self.record.lines[gateway.node] = gateway.lines
        return checks.violations(self.record)

    async def _start(self, stack):
        listen = asyncio.start_server
        servers = [await listen(self.store.serve, "127.0.0.1", 0)]
        store_port = servers[0].sockets[0].getsockname()[1]
        for number, service in enumerate(("models", "models", "models", "desk")):
            engine = Engine(f"i-{number}", self.record)
            servers.append(await listen(engine.serve, "127.0.0.1", 0))
            proxy = await Proxy(servers[-1].sockets[0].getsockname()[1]).start()
            self.proxies.append(proxy)
            models = MODELS if service == "models" else ()
            registration = fake_platform.entry(service, proxy.port, models)
            self.store.put("servers", f"i-{number}", registration)
        self.store.put("op", "config", fake_platform.CONFIGURATION)
        self.proxies += [await Proxy(store_port).start() for _ in range(GATEWAY_COUNT)]
        for server in (*servers, *self.proxies):
            stack.callback(server.close)
        for number, proxy in enumerate(self.proxies[-GATEWAY_COUNT:]):
            gateway = Process(f"gw-{number}", self.directory, proxy.port)
            self.gateways.append(gateway)
            stack.push_async_callback(gateway.stop)
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until(gateway.ready)

    async def _run_caller(self, caller):
        """Send requests one at a time until the faults have ended."""
        rng = random.Random(f"{self.rng.random()} {caller}")
        number = 0
        while not self.faults_ended.is_set():
            number += 1
            gateway = rng.choice(self.gateways)
            await self._send_request(gateway, f"c{caller}-{number}", rng.random() < 0.5)
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _send_request(self, gateway, request_id, stream):
        fields = {"X_Model": "m0", "X_Tokens": "100,20"} if stream else {}
        data = path.request_bytes(
            "/drafts/1" if stream else "/orders/1", request_id, DEADLINE_MS, **fields
        )
        response = b""
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", gateway.ports[0]
                )
                try:
                    writer.write(data)
                    while chunk := await reader.read(65536):
                        response += chunk
                finally:
                    writer.transport.abort()
        self.record.responses.append((request_id, stream, response))
        return response

    # Faults

    async def _inject_fault(self):
        kinds = (
            self._pause_gateway,
            self._kill_gateway,
            self._terminate_gateway,
            self._link_fault,
            self._link_fault,
        )
        kind = self.rng.choice(
            (
                *kinds,
                self._store_fault,
                self._change_configuration,
                self._reload_gateway,
            )
        )
        self.injected_faults.append(kind.__name__)
        await kind()

    def _pick_running_gateway(self):
        running = [
            gateway
            for gateway in self.gateways
            if gateway.node not in self.stopped_nodes
            and gateway.process.returncode is None
        ]
        return self.rng.choice(running) if running else None

    async def _pause_gateway(self):
        gateway = self._pick_running_gateway()
        if gateway is None:
            return
        process, seconds = gateway.process, self.rng.uniform(0.2, 4.0)
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            process.send_signal(signal.SIGCONT)

    async def _stop_and_restart(self, signal_number):
        gateway = self._pick_running_gateway()
        if gateway is None:
            return
        self.stopped_nodes.add(gateway.node)
        seconds = self.rng.uniform(0.0, 1.5)
        gateway.process.send_signal(signal_number)
        with contextlib.suppress(ProcessLookupError):
            # A process paused by another fault doesn't handle SIGTERM.
            gateway.process.send_signal(signal.SIGCONT)
        await gateway.process.wait()
        await asyncio.sleep(seconds)
        self.record.lines[f"{gateway.node}#{len(self.injected_faults)}"] = gateway.lines
        gateway.lines = []
        await gateway.start()
        self.stopped_nodes.discard(gateway.node)

    async def _kill_gateway(self):
        await self._stop_and_restart(signal.SIGKILL)

    async def _terminate_gateway(self):
        await self._stop_and_restart(signal.SIGTERM)

    async def _reload_gateway(self):
        gateway = self._pick_running_gateway()
        if gateway is not None and gateway.events("start"):
            gateway.process.send_signal(signal.SIGHUP)

    async def _disrupt(self, proxies, mode):
        seconds = self.rng.uniform(0.2, 3.0)
        for proxy in proxies:
            proxy.mode = mode
            if mode == "reset":
                proxy.reset()
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.mode = "pass"

    async def _link_fault(self):
        modes = ("delay", "reset", "silence", "cut up", "cut down")
        await self._disrupt([self.rng.choice(self.proxies)], self.rng.choice(modes))

    async def _store_fault(self):
        mode = self.rng.choice(("reset", "silence"))
        await self._disrupt(self.proxies[-GATEWAY_COUNT:], mode)

    async def _change_configuration(self):
        self.version += 1
        changed = fake_platform.CONFIGURATION | {"version": self.version}
        self.store.put("op", "config", changed)

    async def _check_recovery(self):
        """Send streams and calls to each gateway until one of each succeeds."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RECOVERY_LIMIT_S
        for gateway in self.gateways:
            for stream in (True, False):
                attempt, is_served = 0, False
                while not is_served and loop.time() < deadline:
                    attempt += 1
                    kind = "stream" if stream else "call"
                    request_id = f"after-{gateway.node}-{kind}-{attempt}"
                    response = await self._send_request(gateway, request_id, stream)
                    is_served = checks.is_served(response, EVENTS_PER_STREAM)
                    await asyncio.sleep(0.1)
                if not is_served:
                    self.record.unserved.append((gateway.node, stream))


def _handle_loop_error(loop, context):
    """Report exceptions that no task can raise, except cancellations.

    Asyncio 3.11 also calls this for each stand-in connection that is cancelled at
    the end of the run.
    """
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def run_seed(seed, seconds):
    """Run one seed; return its violations and the Soak with its records."""
    with tempfile.TemporaryDirectory() as directory:
        soak = Soak(seed, seconds, Path(directory))
        violations = await soak.run()
        if violations:
            log_directory = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            for name, lines in soak.record.lines.items():
                text = "\n".join(json.dumps(line) for line in lines)
                (log_directory / f"{name}.log").write_text(text)
            violations = [f"logs in {log_directory}", *violations]
        return violations, soak


def main():
    """Run seeds and print a line for each; exit with status 1 on any violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15.0)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        violations, soak = asyncio.run(run_seed(seed, options.seconds))
        failed += bool(violations)
        responses = [response for _, _, response in soak.record.responses]
        served_count = sum(
            checks.is_served(response, EVENTS_PER_STREAM) for response in responses
        )
        verdict = "failed" if violations else "passed"
        print(
            f"seed {seed}: {verdict}, {served_count} of {len(responses)} served",
            flush=True,
        )
        for line in violations:
            print("   ", line, flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
