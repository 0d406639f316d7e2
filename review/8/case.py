"""The machine that keeps the records is stopped and started, then a release begins."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_3 as parts  # noqa: E402

STREAMS = 20
# From the beginning of the streams.
STOP_AT_S = 0.5
DOWN_S = 0.5
RELEASE_AT_S = 6.5
BREAK_AT_S = 8.5
TRIES = 3
# Bounds of the rule.
LEAST = 12


def prepare(engine: parts.Engine) -> None:
    """Let the streams last for about 12 s."""
    engine.events = 120
    engine.pause_s = 0.1


async def case(record: parts.Record) -> bool:
    """Return whether streams go on less than half as often as new ones begin."""
    client = parts.Client(record)
    async with parts.deployment(record, 5, 4, prepare) as found:
        hub, _, second, *others = found.gateways
        await asyncio.sleep(6.0)
        began_at = record.now

        async def wait_until(at_s: float) -> None:
            await asyncio.sleep(max(began_at + at_s - record.now, 0.0))

        async def call(number: int) -> parts.Answer:
            """Begin a stream; take it up at other machines as its connection breaks."""
            prompt = f"a1:200,{number:04x}:150"
            sent_at = record.now
            begun = await client.send(
                second, f"s{number}-a", prompt, leave_after=int(10 * BREAK_AT_S)
            )
            if not begun.events:
                raise RuntimeError("a stream did not begin")
            for attempt in range(TRIES):
                answer = await client.send(
                    others[(number + attempt) % len(others)],
                    f"s{number}-b{attempt}",
                    prompt,
                    parts.CLIENT_DEADLINE_S - (record.now - sent_at),
                    Last_Event_Id=str(begun.events[-1]),
                    Resumes=f"s{number}-a",
                )
                if answer.events:
                    break
                await asyncio.sleep(float(answer.headers.get("retry-after", 0.5)))
            return answer

        async def begin(number: int) -> parts.Answer:
            """Begin a new stream at one of the machines where others are taken up."""
            await wait_until(BREAK_AT_S + 0.1 * number)
            prompt = f"a1:200,{number + STREAMS:04x}:150"
            machine = others[number % len(others)]
            return await client.send(machine, f"new-{number}", prompt, leave_after=1)

        calls = [asyncio.ensure_future(call(number)) for number in range(STREAMS)]
        news = [asyncio.ensure_future(begin(number)) for number in range(STREAMS)]
        await wait_until(STOP_AT_S)
        if parts.TROUBLE:
            record.add("SIGTERM", node=hub.node)
            hub.send_signal(signal.SIGTERM)
            record.add("ends", node=hub.node, status=await hub.wait())
            await asyncio.sleep(DOWN_S)
            await hub.start()
            while not await hub.ready():
                await asyncio.sleep(0.1)
            record.add("ready again", node=hub.node)
        await wait_until(RELEASE_AT_S)
        for number in range(2):
            engine = parts.Engine(f"new-{number}", found.store, record, software="2")
            prepare(engine)
            await engine.start()
            found.engines.append(engine)
        record.add("release begins")
        taken_up = await asyncio.gather(*calls)
        new = await asyncio.gather(*news)
    went_on = sum(bool(answer.events) for answer in taken_up)
    begun = sum(bool(answer.events) for answer in new)
    record.add(
        "judged", went_on=f"{went_on}/{len(taken_up)}", new=f"{begun}/{len(new)}"
    )
    if min(len(taken_up), len(new)) < LEAST:
        raise RuntimeError("too few streams to judge")
    return went_on / len(taken_up) < begun / len(new) / 2


parts.run_case(case, HERE)
