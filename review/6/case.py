# Like the tests, the stand-ins and cases have no docstrings for each small method.
# ruff: noqa: D102, D103, D107

"""An entry of another writer, with a field missing and an id in Bengali script.

Exits with 1 if gateways ended by themselves three times on two machines.
"""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
STORE_ADDRESS = "127.0.66.9"
GATEWAYS = ("127.0.66.1", "127.0.66.2")
# The engines that are listed have room for four of them.
MODELS = [f"m{number}" for number in range(5)]
# 12 bytes of UTF-8 and two more; keys are texts of at most 200 bytes.
STRAY_ID = "বাঁধ-3"
TRAFFIC_S = 60.0
RESTART_S = 0.5
# A day counts 0 if processes end by themselves so often on so many machines.
ENDS, MACHINES = 3, 2


class Case:
    """The deployment, its traffic, and the processes that ended by themselves."""

    def __init__(self, directory):
        self.record = parts.Record(HERE / "record.txt")
        self.store = parts.Store(self.record)
        self.engines = []
        self.gateways = []
        self.ends = dict.fromkeys(("gw-1", "gw-2"), 0)
        self.answers = {}
        self.stopping = False
        self._directory = directory

    async def start(self):
        await self.store.start(STORE_ADDRESS)
        held = {"i-1": MODELS[:2], "i-2": MODELS[2:4], "i-3": []}
        for name, models in held.items():
            engine = parts.Engine(
                name, "log-models", self.store, self.record, models=models
            )
            engine.events, engine.pause_s = 10, 0.05
            await engine.start(STORE_ADDRESS)
            if models:
                engine.spawn(engine.run_beats())
            self.engines.append(engine)
        routes = [parts.stream_route()]
        services = [parts.model_service(MODELS)]
        self.store.put("op", "config", parts.configuration(routes, services))
        for node, address in zip(self.ends, GATEWAYS, strict=True):
            gateway = parts.Gateway(
                node, address, self.store, self._directory, self.record
            )
            await gateway.start(first_start=True)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record("all gateways are ready")

    async def keep_running(self, gateway):
        """Restart a process that ends, as the platform does."""
        while True:
            status = await gateway.process.wait()
            if self.stopping:
                return
            self.ends[gateway.node] += 1
            self.record(f"gateway {gateway.node}: ended by itself, status {status}")
            await asyncio.sleep(RESTART_S)
            await gateway.start()

    async def write_stray_entry(self):
        """Write an entry that lacks ``slots``: it names no engine to use.

        It has the address of an engine that is not in service. Its writer repeats it
        with each heartbeat, as the store drops an entry that is silent for three.
        """
        while True:
            entry = self.engines[2].entry()
            del entry["slots"]
            self.store.put("servers", STRAY_ID, entry)
            self.record(f"another writer: entry {STRAY_ID} without slots: {entry}")
            await asyncio.sleep(parts.BEAT_S)

    async def send_traffic(self):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + TRAFFIC_S
        number = 0
        tasks = []
        while loop.time() < ends_at:
            gateway = self.gateways[number % 2]
            model = MODELS[number // 2 % 4]
            number += 1
            tasks.append(asyncio.ensure_future(self.send(gateway, number, model)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    async def send(self, gateway, number, model):
        data = parts.request(
            "/drafts/2f",
            f"r-{number}",
            6000,
            body=b"{}",
            X_Model=model,
            X_Tokens="100,30",
            X_Prompt_Prefix=f"aa:40,{number:x}:60",
        )
        answer = await parts.call(gateway, data, 7.0)
        what = str(answer.status) if answer.ended else "no answer"
        self.answers[what] = self.answers.get(what, 0) + 1
        self.record(f"client: r-{number} for {model} at {gateway.node}: {what}")

    async def run(self):
        await self.start()
        keepers = [
            asyncio.ensure_future(self.keep_running(gateway))
            for gateway in self.gateways
        ]
        await asyncio.sleep(3.0)
        if TROUBLE:
            keepers.append(asyncio.ensure_future(self.write_stray_entry()))
        await self.send_traffic()
        self.stopping = True
        for gateway in self.gateways:
            await gateway.stop()
        for keeper in keepers:
            keeper.cancel()
        often = [node for node, count in self.ends.items() if count >= ENDS]
        broken = len(often) >= MACHINES
        self.record(f"answers: {self.answers}; ends by itself: {self.ends}")
        self.record("rule broken" if broken else "rule held")
        return 1 if broken else 0


async def main():
    with tempfile.TemporaryDirectory() as directory:
        case = Case(directory)
        try:
            async with asyncio.timeout(110):
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
