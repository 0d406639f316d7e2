# Like the tests, the stand-ins and cases have no docstrings for each small method.
# ruff: noqa: D102, D103, D107

"""Entries of another writer that lack the engines' software version.

Exits with 1 if more than two streams hold events of two software versions.
"""

from __future__ import annotations

import asyncio
import os
import random
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
STORE_ADDRESS = "127.0.67.9"
GATEWAYS = ("127.0.67.1", "127.0.67.2")
STREAMS = 32
# The rule allows this many streams with events of two versions.
ALLOWED = 2


class Case:
    """Two engines of different software versions, two gateways and the callers."""

    def __init__(self, directory):
        self.record = parts.Record(HERE / "record.txt")
        self.store = parts.Store(self.record)
        self.engines = []
        self.gateways = []
        self._directory = directory

    async def start(self):
        await self.store.start(STORE_ADDRESS)
        for name, version in (("i-1", "1"), ("i-2", "2")):
            engine = parts.Engine(
                name, "log-models", self.store, self.record, version, ("m0",)
            )
            engine.slots = 64
            await engine.start(STORE_ADDRESS)
            engine.beat()
            self.engines.append(engine)
        routes = [parts.stream_route()]
        services = [parts.model_service(["m0"], {"slots": 64, "kvTokens": 900000})]
        self.store.put("op", "config", parts.configuration(routes, services))
        for number, address in enumerate(GATEWAYS, 1):
            gateway = parts.Gateway(
                f"gw-{number}", address, self.store, self._directory, self.record
            )
            await gateway.start(first_start=True)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record("all gateways are ready")

    async def take_up(self, caller, gateway, pause_s):
        await asyncio.sleep(pause_s)
        await caller.try_once(gateway)

    async def run(self):
        await self.start()
        # Both engines write their entries every 1.2 s, at the same time.
        for engine in self.engines:
            engine.spawn(engine.run_beats())
        await asyncio.sleep(2 * parts.BEAT_S + 0.1)
        if TROUBLE:
            for engine in self.engines:
                entry = engine.entry()
                del entry["version"]
                self.store.put("servers", engine.name, entry)
                self.record(f"another writer: {engine.name} without version: {entry}")
        await asyncio.sleep(0.15)
        callers = [
            parts.StreamCaller(f"s{number}", self.record) for number in range(STREAMS)
        ]
        begun = [
            asyncio.ensure_future(caller.try_once(self.gateways[number % 2]))
            for number, caller in enumerate(callers)
        ]
        await asyncio.sleep(0.45)
        self.record("the callers' connections break")
        for caller in callers:
            caller.break_connection()
        await asyncio.gather(*begun)
        rng = random.Random(1)
        await asyncio.gather(
            *(
                self.take_up(caller, self.gateways[number % 2], rng.uniform(0.0, 0.2))
                for number, caller in enumerate(callers)
            )
        )
        joined = [caller.name for caller in callers if len(caller.versions()) > 1]
        broken = len(joined) > ALLOWED
        self.record(f"streams with events of two versions: {joined}")
        self.record("rule broken" if broken else "rule held")
        if not any(caller.events for caller in callers):
            return 2
        return 1 if broken else 0


async def main():
    with tempfile.TemporaryDirectory() as directory:
        case = Case(directory)
        try:
            async with asyncio.timeout(60):
                return await case.run()
        finally:
            for gateway in case.gateways:
                await gateway.stop()
                if os.environ.get("KEEP_LOGS"):
                    text = gateway.log.read_text(errors="replace")
                    Path(f"/tmp/{gateway.node}.log").write_text(text)


def run():
    # An error of the script itself must not pass for a broken rule.
    try:
        return asyncio.run(main())
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(run())
