"""The store gives three of nine machines no response for 9 s; later a server drains."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

# The largest dose of `platform_down` (`nodes`) in the site file: share 0.35 for 9 s.
SILENT_MACHINES = 3
SILENT_S = 9.0
DRAIN_S = 2.0
STABLE_S = 3.0
GATEWAYS = 9
CALLS_PER_S = 24.0


async def replace(servers: list[standins.Server], store: standins.Store) -> None:
    """Replace servers one after the other: the new one starts, the old one drains."""

    async def leave(old: standins.Server) -> None:
        await asyncio.sleep(DRAIN_S + 0.3)
        store.remove("servers", old.name)
        old.crash()

    leaving = []
    for number, old in enumerate(servers):
        new = standins.Server(
            store, old.journal, f"n{number}", old.service, old.models, old.slots
        )
        await new.start()
        await asyncio.sleep(0.2)
        old.register("draining")
        leaving.append(asyncio.create_task(leave(old)))
        await asyncio.sleep(0.3)
    await asyncio.gather(*leaving)


async def call(
    client: standins.Client, gateway: standins.Gateway, number: int
) -> standins.Reply:
    """Send a call that may run once only, or one that may be repeated."""
    path, method = ("/order/1", "POST") if number % 2 else ("/look/1", "GET")
    return await client.send(gateway, path, f"c{number}", 3000, method)


async def traffic(
    gateways: list[standins.Gateway], journal: standins.Journal, until: float
) -> None:
    """Send calls to all gateways, each from a client that keeps its connection."""
    idle = {gateway.node: [] for gateway in gateways}
    running = set()

    async def one(number: int, gateway: standins.Gateway) -> None:
        waiting = idle[gateway.node]
        client = waiting.pop() if waiting else standins.Client(journal)
        await call(client, gateway, number)
        waiting.append(client)

    for number in itertools.count():
        if journal.now() >= until:
            break
        task = asyncio.create_task(one(number, random.choice(gateways)))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(random.expovariate(CALLS_PER_S))
    await asyncio.gather(*running)


async def run(journal: standins.Journal) -> int:
    """Play the case; return how many requests broke the rule."""
    async with standins.fleet(journal, GATEWAYS, 32) as (
        store,
        gateways,
    ):
        desks = [
            standins.Server(store, journal, f"d{number}", "desk") for number in range(3)
        ]
        models = [
            standins.Server(store, journal, f"m{number}", "models", ("m0",), 32)
            for number in range(8)
        ]
        for server in desks + models:
            await server.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(2)
        began = journal.now()
        calls = asyncio.create_task(traffic(gateways, journal, began + 21))
        await asyncio.sleep(1)
        silent = {gateway.node for gateway in gateways[:SILENT_MACHINES]}
        if standins.disrupted():
            store.silent = silent
            journal.add("no response to", machines=sorted(silent))
        release = asyncio.create_task(replace(models[:4], store))
        await asyncio.sleep(SILENT_S)
        store.silent = set()
        journal.add("all machines are served", unanswered=store.unanswered)
        # The store is stable and all gateways are in touch again after 3 s.
        await asyncio.sleep(STABLE_S + 1)
        leaving = desks[0]
        leaving.register("draining")
        acknowledged = journal.now()
        journal.add("draining acknowledged", server=leaving.name)
        await asyncio.sleep(DRAIN_S + 2.5)
        leaving.crash()
        store.remove("servers", leaving.name)
        await calls
        await release
        late = [
            (request_id, at)
            for request_id, at in leaving.arrivals
            if at > acknowledged + DRAIN_S
        ]
        for request_id, at in late:
            journal.add(
                "DRAIN broken", id=request_id, after_ack_s=round(at - acknowledged, 2)
            )
        return len(late)


if __name__ == "__main__":
    sys.exit(standins.main(run, HERE / "record.txt"))
