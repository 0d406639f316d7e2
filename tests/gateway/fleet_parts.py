"""Gateway processes and engines on loopback, and load on them at a steady rate."""

from __future__ import annotations

import asyncio
import contextlib

import fake_platform
import path_parts as path
import soak_checks as checks
from soak_parts import EVENTS_PER_STREAM, Engine
from test_gateway_process import Process


@contextlib.asynccontextmanager
async def running_fleet(directory, gateway_count, services):
    """Run gateways and an engine for each of ``services``.

    Yields the gateways, the engines and the record of what they see.
    """
    record = checks.Record(EVENTS_PER_STREAM)
    async with contextlib.AsyncExitStack() as stack:
        store = fake_platform.Store()
        store.put("op", "config", fake_platform.CONFIGURATION)
        server = await asyncio.start_server(store.serve, "127.0.0.1", 0)
        stack.callback(server.close)
        store_port = server.sockets[0].getsockname()[1]
        engines = [
            await Engine(f"i-{number}", service, record, store).start(stack)
            for number, service in enumerate(services)
        ]
        gateways = [
            Process(f"gw-{number}", directory, store_port)
            for number in range(gateway_count)
        ]
        for gateway in gateways:
            stack.push_async_callback(gateway.stop)
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_until(gateway.ready)
        yield gateways, engines, record


async def send_each(rate, seconds, send):
    """Call ``send(number)`` ``rate`` times a second without waiting for the ends."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    async with asyncio.TaskGroup() as tasks:
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(began_at + number / rate - loop.time(), 0.0))
            tasks.create_task(send(number))


async def send_prompt(gateway, record, name, parts):
    """Send a request with a prompt of ``parts`` and one of its own."""
    loop = asyncio.get_running_loop()
    exchange = checks.Exchange(name, True, node=gateway.node, sent_at=loop.time())
    record.exchanges.append(exchange)
    prompt = ",".join(f"{part}:30" for part in (*parts, f"own-{name}"))
    data = path.request_bytes(
        "/drafts/1",
        name,
        deadline_ms=4000,
        X_Model="m0",
        X_Tokens="100,20",
        X_Prompt_Prefix=prompt,
    )
    await exchange_with(gateway, exchange, data)


async def send_call(gateway, record, name):
    """Send a call to the plain service."""
    loop = asyncio.get_running_loop()
    exchange = checks.Exchange(name, False, node=gateway.node, sent_at=loop.time())
    record.exchanges.append(exchange)
    await exchange_with(
        gateway, exchange, path.request_bytes("/orders/1", name, deadline_ms=4000)
    )


async def exchange_with(gateway, exchange, data):
    with contextlib.suppress(OSError, TimeoutError):
        exchange.response = bytearray(await gateway.send(data))
    exchange.ended_at = asyncio.get_running_loop().time()
