"""Engines reset some answers on the way to a gateway that reaches them by another."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import fleet_3 as fleet

GATEWAYS = 8
CUT_ZONE = "gosaba"
ENGINES = 6
FAULTY = ("d-0", "d-1")
BROKEN_FRACTION = 0.02
WORK_S = 0.06
BODY_BYTES = 800
SENT_BYTES = 300
CUT_AT_S = 2.0
# For so long engines reset answers after the cut; the site file has 5.5 s.
TROUBLE_S = 5.0
LOAD_S = CUT_AT_S + TROUBLE_S
CALL_PERIOD_S = 0.004
TIMEOUT_S = 3.0


def reset(writer: fleet.Writer) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def body_of(request_id: str) -> bytes:
    """Return the whole body of the answer to a request."""
    return (request_id.encode() * BODY_BYTES)[:BODY_BYTES]


async def main(cuts: bool, breaks: bool) -> int:
    """Return the exit status."""
    record = fleet.Record(Path(__file__).parent / "record.txt")
    rng = random.Random(11)
    answers: dict[str, fleet.Answer] = {}
    broken: dict[str, str] = {}
    resets_until = 0.0

    async def respond(
        engine: fleet.Engine, fields: dict[str, str], _: bytes, writer: fleet.Writer
    ) -> bool:
        """Write an answer without length and chunks, which ends with its connection."""
        request_id = fields["x-request-id"]
        await asyncio.sleep(WORK_S)
        body = body_of(request_id)
        writer.write(
            fleet.head(
                200,
                X_Request_Id=request_id,
                X_Stamp=f"{engine.name}.{request_id}",
                Connection="close",
            )
            + body[:SENT_BYTES]
        )
        await writer.drain()
        await asyncio.sleep(0.01)
        faulty = engine.name in FAULTY and time.monotonic() < resets_until
        if faulty and rng.random() < BROKEN_FRACTION:
            broken[request_id] = fields[":gateway"]
            record.add("reset", id=request_id, engine=engine.name)
            reset(writer)
            return False
        writer.write(body[SENT_BYTES:])
        return False

    async with fleet.Fleet(record, GATEWAYS) as parts:
        for number in range(ENGINES):
            parts.engines.append(
                fleet.Engine(
                    f"d-{number}", "desk", parts.store, record, respond, slots=6
                )
            )
        parts.store.put("op", "config", fleet.configuration())
        if not await parts.start():
            record.add("not ready")
            return 2
        cut = [one for one in parts.gateways if one.zone == CUT_ZONE]
        others = [one for one in parts.gateways if one.zone != CUT_ZONE]

        async def call(gateway: fleet.Gateway, request_id: str) -> None:
            record.add("sent", id=request_id, to=gateway.name)
            answer = await fleet.send(
                gateway.front, "GET", "/lookups/1", request_id, TIMEOUT_S
            )
            answers[request_id] = answer
            record.add(
                "answered",
                id=request_id,
                status=answer.status,
                complete=answer.complete,
                bytes=len(answer.body),
                error=answer.error or "-",
            )

        async def load() -> None:
            async with asyncio.TaskGroup() as tasks:
                for number in range(int(LOAD_S / CALL_PERIOD_S)):
                    group = cut if number % 2 else others
                    gateway = group[number // 2 % len(group)]
                    tasks.create_task(call(gateway, f"{number:06x}{gateway.name}"))
                    await asyncio.sleep(CALL_PERIOD_S)

        async def disrupt() -> None:
            nonlocal resets_until
            await asyncio.sleep(CUT_AT_S)
            for gateway in cut if cuts else ():
                for engine in parts.engines:
                    engine.refuse(gateway.name)
                record.add("cut", gateway=gateway.name)
            if breaks:
                resets_until = time.monotonic() + TROUBLE_S
                record.add("resets begin", engines=",".join(FAULTY))

        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(load())
            tasks.create_task(disrupt())
        record.add("load over")
        apart = parts.names_are_kept_apart()
    short = [
        request_id
        for request_id, answer in answers.items()
        if answer.status == 200
        and answer.complete
        and answer.body != body_of(request_id)
    ]
    whole = sum(
        answer.complete and answer.status == 200 for answer in answers.values()
    ) - len(short)
    by = {request_id: broken.get(request_id) for request_id in short}
    record.add("result", calls=len(answers), whole=whole, resets=len(broken), short=by)
    print(
        f"{len(answers)} calls, {whole} whole, {len(broken)} answers reset by engines, "
        f"successes that are short: {by}"
    )
    if not apart or not whole:
        return 2
    return 1 if short else 0


if __name__ == "__main__":
    trouble = os.environ.get("TROUBLE", "1")
    # "cut" and "reset" bring about one of the two alone.
    sys.exit(fleet.run(main(trouble in ("1", "cut"), trouble in ("1", "reset"))))
