"""A prompt template is first used by requests with a part that crashes engines."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins_3 as parts  # noqa: E402

OLD_TEMPLATE = "a1:400"
NEW_TEMPLATE = "b2:400"
FATAL_PART = "dead"
SOUND_BEFORE = 40
SOUND_AFTER = 40
BATCH = 6
BATCH_PAUSE_S = 1.0
# Bounds of the rule.
LEAST = 20
SETTLED_S = 2 * parts.STABLE_S


def prepare(engine: parts.Engine) -> None:
    """Let an engine crash as it begins to write on the fatal part."""
    if parts.TROUBLE:
        engine.fatal_part = FATAL_PART


class Sender:
    """Sends sound and fatal requests to the machines in turn."""

    def __init__(self, found: parts.Deployment) -> None:
        """Start with the first machine."""
        self._found = found
        self._client = parts.Client(found.record)
        self._number = 0

    async def send(self, kind: str, prompt: str) -> bool:
        """Send a request with a last part of its own; return whether it has begun."""
        self._number += 1
        gateways = self._found.gateways
        answer = await self._client.send(
            gateways[self._number % len(gateways)],
            f"{kind}-{self._number}",
            f"{prompt},{self._number:04x}:150",
            deadline_s=8.0,
        )
        return bool(answer.events)


async def case(record: parts.Record) -> bool:
    """Return whether sound requests begin less than half as often as before."""
    async with parts.deployment(record, 3, 5, prepare) as found:
        sender = Sender(found)
        await asyncio.sleep(SETTLED_S)
        before = []
        for _ in range(SOUND_BEFORE):
            before.append(await sender.send("sound", OLD_TEMPLATE))
        for _ in range(BATCH):
            await sender.send("fatal", f"{NEW_TEMPLATE},{FATAL_PART}:100")
            await asyncio.sleep(BATCH_PAUSE_S)
        crashes = sorted(at for engine in found.engines for at in engine.crashes)
        record.add("crashes", at=[round(at, 2) for at in crashes])
        counted_from = record.now + SETTLED_S
        after = []
        while len(after) < SOUND_AFTER:
            await sender.send("fatal", f"{NEW_TEMPLATE},{FATAL_PART}:100")
            for _ in range(4):
                is_counted = record.now >= counted_from
                begun = await sender.send("sound", NEW_TEMPLATE)
                if is_counted:
                    after.append(begun)
                await asyncio.sleep(0.15)
    share_before = sum(before) / len(before)
    share_after = sum(after) / len(after)
    record.add(
        "judged",
        begun_before=f"{sum(before)}/{len(before)}",
        begun_after=f"{sum(after)}/{len(after)}",
    )
    if min(len(before), len(after)) < LEAST or share_before < 0.9:
        raise RuntimeError("too few sound requests to judge")
    return share_after < share_before / 2


parts.run_case(case, HERE)
