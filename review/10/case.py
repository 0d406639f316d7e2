"""In a release, one machine is cut from the store: the one that keeps the records."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_3 as parts  # noqa: E402

STREAMS = 24
EVENTS_BEFORE = 8
# The longest cut of a single machine in the standard days.
CUT_S = 6.4
# From the start of the cut.
STREAMS_AT_S = 0.5
TRIES = 3
# Bounds of the rule.
LEAST = 12


def prepare(engine: parts.Engine) -> None:
    """Let the streams last for about 4 s."""
    engine.events = 40
    engine.pause_s = 0.1


async def case(record: parts.Record) -> bool:
    """Return whether streams go on less than half as often as new ones begin."""
    client = parts.Client(record)
    async with parts.deployment(record, 5, 4, prepare, software="12") as found:
        hub, _, second, *others = found.gateways
        await asyncio.sleep(6.0)
        began_at = record.now
        record.add("cut from the store" if parts.TROUBLE else "not cut", node=hub.node)
        if parts.TROUBLE:
            hub.link.cut()
        await asyncio.sleep(STREAMS_AT_S)

        async def call(number: int) -> parts.Answer:
            """Begin a stream; take it up at other machines as its connection breaks."""
            prompt = f"a1:200,{number:04x}:150"
            sent_at = record.now
            begun = await client.send(
                second, f"s{number}-a", prompt, leave_after=EVENTS_BEFORE
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
            await asyncio.sleep(0.1 * number)
            prompt = f"a1:200,{number + STREAMS:04x}:150"
            machine = others[number % len(others)]
            return await client.send(machine, f"new-{number}", prompt, leave_after=1)

        taken_up, new = await asyncio.gather(
            asyncio.gather(*(call(number) for number in range(STREAMS))),
            asyncio.gather(*(begin(number) for number in range(STREAMS))),
        )
        await asyncio.sleep(max(began_at + CUT_S - record.now, 0.0))
        hub.link.heal()
    went_on = sum(bool(answer.events) for answer in taken_up)
    begun = sum(bool(answer.events) for answer in new)
    record.add(
        "judged", went_on=f"{went_on}/{len(taken_up)}", new=f"{begun}/{len(new)}"
    )
    if min(len(taken_up), len(new)) < LEAST:
        raise RuntimeError("too few streams to judge")
    return went_on / len(taken_up) < begun / len(new) / 2


parts.run_case(case, HERE)
