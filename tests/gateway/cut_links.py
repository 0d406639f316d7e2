"""Gateways that serve callers, each with a link of its own to each engine.

A link can be cut for one gateway while the others still reach the engine, as in a
partition between a machine and all engines.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

import anyio
import fake_platform
import gateway_parts as parts
import path_parts as path
import soak_checks as checks
from attrs import evolve, field, frozen
from soak_parts import EVENTS_PER_STREAM, MODELS, Engine, Proxy

from flamingopond_adapter.program import PlatformAdapter
from flamingopond_adapter.store import StoreClient
from flamingopond_bench.ports import reserve_port
from flamingopond_gateway.gateway import Gateway
from flamingopond_gateway.transport.http_client import HttpClient


class Link(Proxy):
    """Way of one gateway to one engine.

    ``cut`` is how it fails: ``reset`` ends open connections and refuses new ones,
    ``refuse`` refuses new ones only, ``hang`` lets new ones wait without an answer and
    keeps open ones silent.
    """

    async def start(self):
        await super().start()
        self._sockets = []
        return self

    async def cut(self, how):
        self._server.close()
        if how == "reset":
            self.reset()
        if how == "hang":
            self.mode = "silence"
            # A full queue of connections leaves the next ones without an answer.
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", self.port))
            listener.listen(0)
            self._sockets = [listener]
            for _ in range(3):
                waiting = socket.socket()
                waiting.setblocking(False)
                with contextlib.suppress(BlockingIOError):
                    waiting.connect(("127.0.0.1", self.port))
                self._sockets.append(waiting)

    async def heal(self):
        for one in self._sockets:
            one.close()
        self._sockets = []
        self.mode = "pass"
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)


@frozen
class LinkedAdapter(PlatformAdapter):
    """Adapter that names this gateway's own link as the address of each target."""

    links: dict = field(factory=dict, kw_only=True)

    def decode_entry(self, row):
        entry, reason = super().decode_entry(row)
        if entry.target is None or entry.id not in self.links:
            return entry, reason
        address = ("127.0.0.1", self.links[entry.id].port)
        return evolve(entry, target=evolve(entry.target, address=address)), reason


class Node:
    """A gateway with its links and the port for its callers."""

    def __init__(self, name, gateway, links):
        self.name = name
        self.gateway = gateway
        self.links = links
        self.port = 0

    async def cut(self, how):
        for link in self.links.values():
            await link.cut(how)

    async def heal(self):
        for link in self.links.values():
            await link.heal()

    async def send(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(data)
            return await reader.read()
        finally:
            writer.close()


@contextlib.asynccontextmanager
async def running_nodes(count, services=("models", "models", "models", "desk", "desk")):
    """Run ``count`` gateways that serve callers, and an engine for each service."""
    record = checks.Record(EVENTS_PER_STREAM)
    async with contextlib.AsyncExitStack() as stack:
        store = fake_platform.Store()
        store.put("op", "config", fake_platform.CONFIGURATION)
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        stack.callback(server.close)
        store_address = server.sockets[0].getsockname()[:2]
        engines = [
            await Engine(f"i-{number}", service, record, store).start(stack)
            for number, service in enumerate(services)
        ]
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        nodes = []
        for number in range(count):
            links = {}
            for engine in engines:
                links[engine.name] = await Link(engine.link.port).start()
                stack.callback(links[engine.name].close)
            nodes.append(await _start_node(f"gw-{number}", store_address, links, tasks))
        async with asyncio.timeout(15.0):
            while not all(_is_ready(node.gateway, count, engines) for node in nodes):
                await asyncio.sleep(0.05)
        yield nodes, engines, record


async def _start_node(name, store_address, links, tasks):
    settings = parts.settings(
        name, store=store_address, peer_port=reserve_port(), memory_mb=2000
    )
    store = StoreClient(HttpClient(), store_address)
    adapter = LinkedAdapter(store, links=links)
    gateway = Gateway(settings, adapter, lambda: settings)
    tasks.start_soon(gateway.configuration_watcher.run)
    tasks.start_soon(gateway.target_watcher.run)
    tasks.start_soon(gateway.exchange.run, tasks)
    tasks.start_soon(gateway._run_admission)
    tasks.start_soon(gateway._housekeeping)
    tasks.start_soon(gateway._keep_lease)
    tasks.start_soon(gateway.controller.run, tasks)
    front = await gateway._listen(("127.0.0.1", 0))
    node = Node(name, gateway, links)
    node.port = front.sockets[0].getsockname()[1]
    return node


def _is_ready(gateway, count, engines):
    return (
        gateway.ready
        and gateway.members.count() == count
        and len(gateway.roster) == len(engines)
        and gateway._targets_listed
    )


def prompt(number, timeout_ms=4000):
    return path.request_bytes(
        "/drafts/1",
        f"p-{number}",
        deadline_ms=timeout_ms,
        X_Model=MODELS[0],
        X_Tokens="100,20",
        X_Prompt_Prefix=f"p:30,own-{number}:30",
    )


def call(number, timeout_ms=3000):
    return path.request_bytes("/orders/1", f"c-{number}", deadline_ms=timeout_ms)
