"""A few answers without end, in small chunks, keep gateways from all other work."""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

GATEWAYS = 2
SLOTS = 64
ENGINES = 4
EVENTS = 23
PAUSE_S = 0.03
# The dose of a `garble` in the site file: share 0.5 (left out there), x = 0.05, 5 s.
FAULTY_ENGINES = 2
FAULT_SHARE = 0.05
FAULT_S = 5.0
CHUNK = b"1\r\n#\r\n"
BLOCK_BYTES = 65536
STREAMS_PER_S = 70.0
CALLS_PER_S = 30.0
# The route's `timeoutMs`, and what the rule adds to it.
TIMEOUT_S = 1.5
MARGIN_S = 0.5
DEADLINE_MS = 3000
# The rule looks at this many requests without a final answer, and this share.
MIN_UNANSWERED = 8
UNANSWERED_SHARE = 0.25


class Engine(standins.Server):
    """An engine that streams; a faulty one spoils some of its answers."""

    faulty = False

    async def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request."""
        if not self.faulty or random.random() >= FAULT_SHARE:
            return await self.stream(fields, writer, EVENTS, PAUSE_S)
        self.journal.add("endless answer", server=self.name, id=fields["x-request-id"])
        writer.write(
            self.head(500, fields)
            + b"Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        block = CHUNK * (BLOCK_BYTES // len(CHUNK))
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
            await asyncio.sleep(0.001)
        return False


class Traffic:
    """Clients that keep their connections, each to one gateway."""

    def __init__(
        self, gateways: list[standins.Gateway], journal: standins.Journal
    ) -> None:
        """Start without a request."""
        self.gateways = gateways
        self.journal = journal
        self.calls: list[standins.Reply] = []
        self._idle: dict[str, list[standins.Client]] = {}
        self._running: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()

    async def run(self, kind: str, per_s: float, until: float) -> None:
        """Send requests of a kind at random times until then."""
        while self.journal.now() < until:
            task = asyncio.create_task(self._one(kind))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(random.expovariate(per_s))
        await asyncio.gather(*self._running)

    async def _one(self, kind: str) -> None:
        gateway = random.choice(self.gateways)
        name = f"{kind}-{next(self._numbers)}"
        idle = self._idle.setdefault(gateway.node, [])
        client = idle.pop() if idle else standins.Client(self.journal)
        if kind == "stream":
            more = {
                "X-Model": "m0",
                "X-Tokens": "150,90",
                "X-Prompt-Prefix": f"aa:50,{name}:100",
            }
            await client.send(gateway, "/draft/1", name, 15000, more=more)
        else:
            self.calls.append(await client.send(gateway, "/order/1", name, DEADLINE_MS))
        idle.append(client)


async def watch_ready(gateway: standins.Gateway, journal: standins.Journal) -> None:
    """Ask once a second whether a gateway is ready, as the platform's entry does."""
    while True:
        ready = await gateway.ready()
        if not ready:
            journal.add("not ready, or no response", node=gateway.node)
        await asyncio.sleep(1)


async def run(journal: standins.Journal) -> int:
    """Play the case; return how many calls broke the rule."""
    async with standins.fleet(journal, GATEWAYS, SLOTS) as (store, gateways):
        engines = [
            Engine(store, journal, f"e{number}", "models", ("m0",), SLOTS)
            for number in range(ENGINES)
        ]
        desks = [
            standins.Server(store, journal, f"d{number}", "desk") for number in range(3)
        ]
        for server in (*engines, *desks):
            await server.start()
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        probes = [
            asyncio.create_task(watch_ready(gateway, journal)) for gateway in gateways
        ]
        await asyncio.sleep(2)
        traffic = Traffic(gateways, journal)
        until = journal.now() + 16
        sending = [
            asyncio.create_task(traffic.run("stream", STREAMS_PER_S, until)),
            asyncio.create_task(traffic.run("call", CALLS_PER_S, until)),
        ]
        await asyncio.sleep(3)
        for engine in engines[:FAULTY_ENGINES]:
            engine.faulty = standins.disrupted()
        journal.add("some answers have no end", faulty=standins.disrupted())
        await asyncio.sleep(FAULT_S)
        for engine in engines:
            engine.faulty = False
        journal.add("all new answers are right")
        await asyncio.gather(*sending)
        for probe in probes:
            probe.cancel()
        long = [
            reply
            for reply in traffic.calls
            if reply.ended_at - reply.sent_at > TIMEOUT_S
        ]
        late = [
            reply
            for reply in long
            if reply.ended_at - reply.sent_at > TIMEOUT_S + MARGIN_S
        ]
        never = sum(not reply.status for reply in late)
        for reply in late:
            journal.add(
                "no final answer in time", id=reply.request_id, status=reply.status
            )
        text = (
            f"{len(traffic.calls)} calls, {len(long)} lasted over {TIMEOUT_S} s, "
            f"{len(late)} of these had no final answer {MARGIN_S} s later, "
            f"{never} never had one"
        )
        journal.add(text)
        print(text)
        broken = len(late) >= MIN_UNANSWERED and (
            len(late) > UNANSWERED_SHARE * len(long)
        )
        return len(late) if broken else 0


if __name__ == "__main__":
    sys.exit(standins.main(run, HERE / "record.txt"))
