# Like the tests, the stand-ins and cases have no docstrings for each small method.
# ruff: noqa: D102, D103, D107

"""A restarted server has a new id at its old address, and repeats a few refusals.

Exits with 1 if a request that must run once at most is answered 503 and has run, or
has run twice.
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
STORE_ADDRESS = "127.0.70.9"
GATEWAYS = tuple(f"127.0.70.{number}" for number in range(1, 5))
# The gateways are in the zone of the first server.
DESKS = {
    "d-1": "kakdwip",
    "d-2": "gosaba",
    "d-3": "diamond-harbour",
    "d-4": "gosaba",
}
# Requests per second; the engines of the site have 6 slots and a queue of 24.
RATE, TRAFFIC_S = 120, 7.0
# The server crashes at its first heartbeat after the first of these times.
CRASH_AFTER_S, DOWN_S = 1.0, 1.0
# Answers for each refusal that is written once more: 3 in 100, for 5 s.
ANSWERS_PER_REPEAT = 34
FAULTY_S = 5.0
# The store drops the entry of a server after so many heartbeats without one.
LAPSE_BEATS = 3
NOT_RUN = (408, 421, 429, 503)


class Desk(parts.Engine):
    """A plain service; while it is faulty, it writes some refusals once more.

    A refusal is written once more on its connection when the next request has arrived
    there, before the answer to that.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.slots, self.queue, self.work_s = 6, 24, 0.06
        self.faulty = False
        self._answers = 0
        self._repeats = 0
        self._refusals = {}

    async def _answer(self, first, fields, body, writer):
        self._answers += 1
        earlier = self._refusals.pop(writer, None)
        allowed = self._answers // ANSWERS_PER_REPEAT
        if self.faulty and earlier is not None and self._repeats < allowed:
            self._repeats += 1
            request_id, data = earlier
            self._record(
                f"engine {self.name}: writes the refusal of {request_id} once more, "
                f"as {fields.get('x-request-id')} has arrived"
            )
            writer.write(data)
        await super()._answer(first, fields, body, writer)

    def _write(self, writer, status, fields, body=b"", not_run=False):
        super()._write(writer, status, fields, body, not_run)
        if not_run:
            request_id = fields.get("x-request-id")
            self._record(f"engine {self.name}: refuses {request_id}, {status}")
            data = self._encode(status, fields, body, not_run)
            self._refusals[writer] = (request_id, data)


class Case:
    """Four servers of a service, four gateways and the callers."""

    def __init__(self, directory):
        self.record = parts.Record(HERE / "record.txt")
        self.store = parts.Store(self.record)
        self.desks = []
        self.gateways = []
        self.answers = {}
        self._directory = directory

    async def add_desk(self, name, zone, port=0):
        desk = Desk(name, "bandh-desk", self.store, self.record)
        desk.zone = zone
        await desk.start(STORE_ADDRESS, port)
        desk.spawn(desk.run_beats())
        self.record(f"engine {name} serves at port {desk.address[1]}")
        self.desks.append(desk)
        return desk

    async def start(self):
        await self.store.start(STORE_ADDRESS)
        for name, zone in DESKS.items():
            await self.add_desk(name, zone)
        route = {
            "name": "work-order",
            "host": parts.HOST,
            "prefix": "/orders/",
            "kind": "unsafe",
            "timeoutMs": 1500,
            "goalMs": 300,
            "service": "bandh-desk",
            "maxAttempts": 3,
        }
        services = [{"name": "bandh-desk", "healthPath": "/health", "maxConns": 110}]
        self.store.put("op", "config", parts.configuration([route], services))
        for number, address in enumerate(GATEWAYS, 1):
            gateway = parts.Gateway(
                f"gw-{number}", address, self.store, self._directory, self.record
            )
            await gateway.start(first_start=True)
            self.gateways.append(gateway)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record("all gateways are ready")

    async def restart_desk(self):
        """Crash the first server; it is back with a new id after a second.

        Its old entry lapses after three heartbeats without one.
        """
        loop = asyncio.get_running_loop()
        old = self.desks[0]
        await asyncio.sleep(CRASH_AFTER_S)
        last_beat_at = old.beat_at
        while old.beat_at == last_beat_at:
            await asyncio.sleep(0.02)
        last_beat_at = old.beat_at
        old.crash()
        await asyncio.sleep(DOWN_S)
        back_at = loop.time()
        new = await self.add_desk("d-1b", old.zone, old.address[1])
        new.faulty = True
        lapses_at = last_beat_at + LAPSE_BEATS * parts.BEAT_S
        await asyncio.sleep(lapses_at - loop.time())
        self.store.remove("servers", old.name)
        self.record(f"store: entry of {old.name} has lapsed")
        await asyncio.sleep(back_at + FAULTY_S - loop.time())
        new.faulty = False

    async def send(self, number):
        request_id = f"r-{number}"
        gateway = self.gateways[number % len(self.gateways)]
        data = parts.request(f"/orders/{number}", request_id, 3000, body=b"order")
        answer = await parts.call(gateway, data, 4.0)
        self.answers[request_id] = answer.status
        self.record(f"client: {request_id} at {gateway.node}: {answer.status}")

    async def run(self):
        await self.start()
        restarted = asyncio.ensure_future(self.restart_desk()) if TROUBLE else None
        tasks = []
        for number in range(int(RATE * TRAFFIC_S)):
            tasks.append(asyncio.ensure_future(self.send(number)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)
        if restarted is not None:
            await restarted
        runs = {}
        for desk in self.desks:
            for request_id, _ in desk.runs:
                runs.setdefault(request_id, []).append(desk.name)
        refused = [
            request_id
            for request_id, status in self.answers.items()
            if status in NOT_RUN and request_id in runs
        ]
        twice = [request_id for request_id, names in runs.items() if len(names) > 1]
        self.record(f"answered 503 and run: {refused}; run twice: {twice}")
        broken = bool(refused or twice)
        self.record("rule broken" if broken else "rule held")
        if 200 not in self.answers.values():
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
