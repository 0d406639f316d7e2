"""An entry of another writer keeps all records of streams out of the store."""

from __future__ import annotations

import asyncio
import itertools
import random
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

GATEWAYS = 4
SLOTS = 32
EVENTS = 60
PAUSE_S = 0.03
STREAMS_PER_S = 50.0
# A service that isn't named in the configuration: 70 Bengali letters, 210 bytes.
ODD_SERVICE = 70 * "\u0995"
# The rule looks at this many streams or more.
MIN_TAKEN_UP = 12


class Engine(standins.Server):
    """An engine that streams."""

    async def answer(
        self,
        path: str,
        fields: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Stream the events after the last one that the client has."""
        return await self.stream(fields, writer, EVENTS, PAUSE_S)


class Streams:
    """Clients that take a broken stream up once, at another gateway in rotation."""

    def __init__(
        self, gateways: list[standins.Gateway], journal: standins.Journal
    ) -> None:
        """Start without a stream."""
        self.gateways = gateways
        self.journal = journal
        self.events: dict[str, list[str]] = {}
        # Whether each stream began, and whether each that was taken up went on.
        self.begun: dict[str, bool] = {}
        self.taken_up: dict[str, bool] = {}
        self._running: set[asyncio.Task[None]] = set()

    async def run(self, until: float) -> None:
        """Begin streams at random times until then; wait for their ends."""
        for number in itertools.count():
            if self.journal.now() >= until:
                break
            task = asyncio.create_task(self._one(f"s{number}"))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
            await asyncio.sleep(random.expovariate(STREAMS_PER_S))
        await asyncio.gather(*self._running)

    async def _one(self, name: str) -> None:
        gateway = random.choice(self.gateways)
        more = {
            "X-Model": "m0",
            "X-Tokens": "150,90",
            "X-Prompt-Prefix": f"aa:50,{name}:100",
        }
        client = standins.Client(self.journal)
        first = await client.send(gateway, "/draft/1", name, 15000, more=more)
        client.close()
        events = self.events[name] = list(first.events)
        self.begun[name] = first.status == 200
        if first.complete or not events:
            return
        others = [other for other in self.gateways if other is not gateway]
        more |= {"Last-Event-Id": str(len(events)), "Resumes": name}
        second = await client.send(
            random.choice(others), "/draft/1", f"{name}-2", 10000, more=more
        )
        client.close()
        events += second.events
        self.taken_up[name] = second.status == 200


async def run(journal: standins.Journal) -> int:
    """Play the case; return 1 if the rule was broken."""
    async with standins.fleet(journal, GATEWAYS, SLOTS) as (store, gateways):
        engines = [
            Engine(store, journal, f"e{n}", "models", ("m0",), SLOTS, str(7 + n % 2))
            for n in range(4)
        ]
        for engine in engines:
            await engine.start()
        if standins.disrupted():
            odd = {"service": ODD_SERVICE, "addr": "127.0.0.1:9", "zone": "zone-a"}
            odd |= {"state": "ready", "version": "1", "slots": 1, "seq": 0}
            store.put("servers", "odd", odd)
            journal.add(
                "entry of another writer", service_bytes=len(ODD_SERVICE.encode())
            )
        for gateway in gateways:
            await gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(2)
        streams = Streams(gateways, journal)
        traffic = asyncio.create_task(streams.run(journal.now() + 12))
        await asyncio.sleep(6)
        gateways[2].signal(signal.SIGKILL)
        await asyncio.sleep(1)
        await gateways[2].start()
        await traffic
        taken_up, begun = streams.taken_up, streams.begun
        if len(taken_up) < MIN_TAKEN_UP:
            raise standins.CannotRunError(f"only {len(taken_up)} streams taken up")
        going_on = sum(taken_up.values()) / len(taken_up)
        beginning = sum(begun.values()) / len(begun)
        text = (
            f"{sum(taken_up.values())} of {len(taken_up)} streams that were taken up "
            f"went on, {sum(begun.values())} of {len(begun)} new ones began, "
            f"{store.refused} writes refused"
        )
        journal.add(text)
        print(text)
        return int(going_on < beginning / 2)


if __name__ == "__main__":
    sys.exit(standins.main(run, HERE / "record.txt"))
