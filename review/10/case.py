# Like the tests, the stand-ins and cases have no docstrings for each small method.
# ruff: noqa: D102, D103, D107

"""One write to the store gets no answer, and is carried out some seconds later.

Exits with 1 if callers whose connections to one machine break can't take their streams
up at the other one, after the store has been sound for over 3 s.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import tempfile
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_2 as parts  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
STORE_ADDRESS = "127.0.69.9"
GATEWAYS = ("127.0.69.1", "127.0.69.2")
ENGINES = {"i-1": "1", "i-2": "2", "i-3": "1", "i-4": "2"}
STREAMS = 24
# The rule counts 12 or more streams that are taken up.
COUNTED = 12
# Times in seconds from the first of the streams, which begin within a second.
SPREAD_S, BREAK_AT, END_AT = 1.0, 9.6, 12.0
# How long after its arrival the write is carried out, and how long its caller waits.
LATE_S, SILENT_S = 5.0, 10.0
STREAMS_TABLE = "flamingopond-streams"
RETRIES, RETRY_S = 3, 0.5


class LosingStore(parts.Store):
    """A store that gives no answer to one write, and carries it out later.

    The connection delivers nothing further.
    """

    def __init__(self, record):
        super().__init__(record)
        self.losing = False
        self._late = None

    async def _answer(self, method, target, body):
        if self.losing and target == "/-/rows-tx":
            call = json.loads(body)
            if any(row["table"] == STREAMS_TABLE for row in call["puts"]):
                self.losing = False
                self._late = asyncio.ensure_future(self._write_late(call))
                await asyncio.sleep(SILENT_S)
                raise ConnectionError
        return await super()._answer(method, target, body)

    async def _write_late(self, call):
        rows = [(row["table"], row["key"], len(row["value"])) for row in call["puts"]]
        self._record(f"store: no answer to the write of {rows}")
        await asyncio.sleep(LATE_S)
        status, _ = self._write(call)
        self._record(f"store: carries out the write of {rows}: {status}")


class Case:
    """Engines of two software versions, two gateways and the callers."""

    def __init__(self, directory):
        self.record = parts.Record(HERE / "record.txt")
        self.store = LosingStore(self.record)
        self.gateways = []
        self.new = []
        self._directory = directory

    async def start(self):
        await self.store.start(STORE_ADDRESS)
        for name, version in ENGINES.items():
            engine = parts.Engine(
                name, "log-models", self.store, self.record, version, ("m0",)
            )
            engine.slots, engine.events, engine.pause_s = 32, 48, 0.25
            await engine.start(STORE_ADDRESS)
            engine.spawn(engine.run_beats())
        routes = [parts.stream_route()]
        services = [parts.model_service(["m0"], {"slots": 32, "kvTokens": 900000})]
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

    async def begin_new_streams(self, gateway):
        """Begin a stream twice a second at a gateway."""
        tasks = []
        try:
            while True:
                await asyncio.sleep(0.5)
                caller = parts.StreamCaller(f"n{len(self.new)}", self.record)
                self.new.append(caller)
                tasks.append(asyncio.ensure_future(caller.try_once(gateway)))
        finally:
            for caller in self.new:
                caller.break_connection()
            await asyncio.gather(*tasks)

    async def take_up(self, caller, gateway):
        """Try to go on a few times; the deadline of the stream isn't over by then."""
        before = len(caller.events)
        for _ in range(RETRIES):
            await caller.try_once(gateway)
            if len(caller.events) > before:
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def run(self):
        loop = asyncio.get_running_loop()
        await self.start()
        other, first = self.gateways
        new = asyncio.ensure_future(self.begin_new_streams(other))
        await asyncio.sleep(4.0)
        began_at = loop.time()

        async def wait_until(at):
            await asyncio.sleep(began_at + at - loop.time())

        callers = [
            parts.StreamCaller(f"s{number}", self.record) for number in range(STREAMS)
        ]
        begun = []
        for number, caller in enumerate(callers):
            if number == 2:
                self.store.losing = TROUBLE
            begun.append(asyncio.ensure_future(caller.try_once(first)))
            await asyncio.sleep(SPREAD_S / STREAMS)
        await wait_until(BREAK_AT)
        self.record("the callers' connections to gateway 2 break")
        for caller in callers:
            caller.break_connection()
        await asyncio.gather(*begun)
        broken_off = [
            caller for caller in callers if caller.events and not caller.complete
        ]
        newer = len(self.new)
        taken_up = [
            asyncio.ensure_future(self.take_up(caller, other)) for caller in broken_off
        ]
        await wait_until(END_AT)
        new.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await new
        went_on = sum(await asyncio.gather(*taken_up))
        # New streams of the same time that got an event.
        begin = [bool(caller.events) for caller in self.new[newer:-1]]
        share, new_share = went_on / max(len(broken_off), 1), sum(begin) / len(begin)
        broken = len(broken_off) >= COUNTED and share < new_share / 2
        self.record(
            f"taken up: {len(broken_off)}, went on: {went_on} ({share:.2f}); "
            f"new: {len(begin)}, begun: {sum(begin)} ({new_share:.2f})"
        )
        self.record("rule broken" if broken else "rule held")
        if len(broken_off) < COUNTED:
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
