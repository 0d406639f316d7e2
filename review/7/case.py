"""A machine stands still while an engine of another software version is listed."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_3 as parts  # noqa: E402

STREAMS = 24
# The longest freeze of the standard days is 7.6 s.
FREEZE_S = 7.0
# From the start of the freeze.
CANARY_AT_S = 0.3
STREAMS_AT_S = 3.5
REMOVED_AT_S = 5.0
# An engine serves for drainMs (2 s) and longer after its entry has been removed. The
# machine is in touch again by then.
SERVES_ON_S = FREEZE_S + parts.STABLE_S + 0.7 - REMOVED_AT_S
# More than two streams break the rule.
ALLOWED = 2


def prepare(engine: parts.Engine) -> None:
    """Let the streams last for about 9 s."""
    engine.events = 90
    engine.pause_s = 0.1


async def case(record: parts.Record) -> bool:
    """Return whether more than two streams hold events of two software versions."""
    client = parts.Client(record)
    async with parts.deployment(record, 5, 3, prepare) as found:
        *others, frozen = found.gateways

        async def call(number: int) -> tuple[parts.Answer, parts.Answer | None]:
            """Send a request; take its stream up at once if it is cut off."""
            prompt = f"a1:200,{number:04x}:150"
            machine = others[number % len(others)]
            sent_at = record.now
            first = await client.send(machine, f"s{number}-a", prompt)
            if first.complete or not first.events:
                return first, None
            second = await client.send(
                frozen,
                f"s{number}-b",
                prompt,
                parts.CLIENT_DEADLINE_S - (record.now - sent_at),
                Last_Event_Id=str(first.events[-1]),
                Resumes=f"s{number}-a",
            )
            return first, second

        await asyncio.sleep(5.0)
        began_at = record.now

        async def wait_until(at_s: float) -> None:
            await asyncio.sleep(max(began_at + at_s - record.now, 0.0))

        record.add("stands still" if parts.TROUBLE else "goes on", node=frozen.node)
        if parts.TROUBLE:
            frozen.send_signal(signal.SIGSTOP)
        await wait_until(CANARY_AT_S)
        canary = parts.Engine("canary", found.store, record, software="2")
        prepare(canary)
        await canary.start()
        await wait_until(STREAMS_AT_S)
        calls = [asyncio.ensure_future(call(number)) for number in range(STREAMS)]
        await wait_until(REMOVED_AT_S)
        leaving = asyncio.ensure_future(canary.leave(SERVES_ON_S))
        await wait_until(FREEZE_S)
        frozen.send_signal(signal.SIGCONT)
        record.add("goes on again", node=frozen.node)
        answers = await asyncio.gather(*calls)
        await leaving
    taken_up = [(first, second) for first, second in answers if second is not None]
    joined = [
        first for first, second in taken_up if len(first.software | second.software) > 1
    ]
    record.add(
        "streams with events of two versions",
        count=len(joined),
        taken_up=len(taken_up),
    )
    if len(taken_up) <= ALLOWED:
        raise RuntimeError("too few streams at the other version")
    return len(joined) > ALLOWED


parts.run_case(case, HERE)
