"""A gateway that carries connections for another one is killed while streams run."""

from __future__ import annotations

import asyncio
import collections
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fleet_3 as fleet

GATEWAYS = 8
ENGINES = 6
EVENTS = 57
EVENT_PAUSE_S = 0.09
LOAD_S = 8.5
STREAM_PERIOD_S = 0.25
CUT_AT_S = 2.0
KILL_AT_S = 6.0
RESTART_AFTER_S = 1.0
TIMEOUT_S = 15.0


async def respond(
    engine: fleet.Engine, fields: dict[str, str], body: bytes, writer: fleet.Writer
) -> bool:
    """Write a stream without length and chunks, which ends with its connection."""
    writer.write(
        fleet.head(
            200,
            X_Request_Id=fields["x-request-id"],
            X_Stamp=f"{engine.name}.1",
            Content_Type="text/event-stream",
            Connection="close",
        )
    )
    for number in range(int(fields.get("last-event-id", 0)) + 1, EVENTS + 1):
        await asyncio.sleep(EVENT_PAUSE_S)
        if writer.transport.is_closing():
            return False
        writer.write(b"id: %d\ndata: text %d\n\n" % (number, number))
        await writer.drain()
    return False


async def main(trouble: bool) -> int:
    """Return the exit status."""
    record = fleet.Record(Path(__file__).parent / "record.txt")
    answers: dict[str, fleet.Answer] = {}
    async with fleet.Fleet(record, GATEWAYS) as parts:
        for number in range(ENGINES):
            parts.engines.append(
                fleet.Engine(
                    f"i-{number}",
                    "models",
                    parts.store,
                    record,
                    respond,
                    models=("m0",),
                )
            )
        parts.store.put("op", "config", fleet.configuration(models=("m0",)))
        if not await parts.start():
            record.add("not ready")
            return 2
        cut = parts.gateways[0]

        async def stream(gateway: fleet.Gateway, request_id: str) -> None:
            record.add("sent", id=request_id, to=gateway.name)
            answer = await fleet.send(
                gateway.front,
                "POST",
                "/drafts/1",
                request_id,
                TIMEOUT_S,
                b"text",
                X_Model="m0",
                X_Tokens="200,171",
                X_Prompt_Prefix=f"aa:100,{request_id.encode().hex()}:100",
            )
            answers[request_id] = answer
            ids = answer.event_ids
            record.add(
                "answered",
                id=request_id,
                status=answer.status,
                complete=answer.complete,
                last_event=ids[-1] if ids else 0,
                error=answer.error or "-",
            )

        async def load() -> None:
            async with asyncio.TaskGroup() as tasks:
                for number in range(int(LOAD_S / STREAM_PERIOD_S)):
                    for gateway in (cut, parts.gateways[1 + number % (GATEWAYS - 1)]):
                        request_id = f"{number:04x}{gateway.name}"
                        tasks.create_task(stream(gateway, request_id))
                    await asyncio.sleep(STREAM_PERIOD_S)

        async def disrupt() -> None:
            await asyncio.sleep(CUT_AT_S)
            for engine in parts.engines:
                engine.refuse(cut.name)
            record.add("cut", gateway=cut.name)
            await asyncio.sleep(KILL_AT_S - CUT_AT_S)
            carried = collections.Counter(
                by
                for engine in parts.engines
                for request_id, by in engine.runs
                if request_id.endswith(cut.name)
                and request_id not in answers
                and by != cut.name
            )
            record.add("carried", **dict(carried))
            if not carried:
                return
            name = carried.most_common(1)[0][0]
            killed = next(one for one in parts.gateways if one.name == name)
            killed.send_signal(signal.SIGKILL)
            record.add("killed", gateway=name)
            await asyncio.sleep(RESTART_AFTER_S)
            await killed.stop()
            await killed.start(bootstrap=False)
            record.add("restarted", gateway=name)

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(load())
            if trouble:
                tasks.create_task(disrupt())
        apart = parts.names_are_kept_apart()
    whole = list(range(1, EVENTS + 1))
    short = [
        request_id
        for request_id, answer in answers.items()
        if answer.status == 200 and answer.complete and answer.event_ids != whole
    ]
    done = sum(a.complete and a.event_ids == whole for a in answers.values())
    record.add("result", streams=len(answers), whole=done, short_but_complete=short)
    print(f"{len(answers)} streams, {done} whole, complete but short: {short}")
    if not apart or not done:
        return 2
    return 1 if short else 0


if __name__ == "__main__":
    sys.exit(fleet.run(main(os.environ.get("TROUBLE") != "0")))
