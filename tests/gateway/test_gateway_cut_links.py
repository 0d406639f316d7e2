"""Gateways that reach no engine while the others do, counted from the callers' side."""

from __future__ import annotations

import asyncio
import re

import cut_links
import pytest

pytestmark = pytest.mark.anyio

# From this time after the cut on, callers of a cut gateway are served at least this
# fraction as often as those of the others (RECOVER: ``stableMs``, two thirds).
STABLE_S = 3.0
LEAST_FRACTION = 2 / 3
RATE = 5.0
MEASURED_S = 3.0


@pytest.fixture
def anyio_backend():
    # The loop of the gateway's program, whose transports differ from asyncio's.
    return "asyncio", {"use_uvloop": True}


async def served(node, rate, seconds, make_request, first):
    """Send requests at a steady rate; return the fraction served at the first try."""

    async def send(number):
        try:
            return b" 200 " in (await node.send(make_request(number)))[:20]
        except OSError:
            return False

    tasks = []
    for number in range(int(rate * seconds)):
        tasks.append(asyncio.ensure_future(send(f"{node.name}-{first}-{number}")))
        await asyncio.sleep(1 / rate)
    results = await asyncio.gather(*tasks)
    return sum(results) / len(results)


async def served_by_each(nodes, first):
    """Return the fractions of streams and calls that each node serves."""
    measured = [
        served(node, RATE, MEASURED_S, make, f"{first}-{make.__name__}")
        for node in nodes
        for make in (cut_links.prompt, cut_links.call)
    ]
    found = await asyncio.gather(*measured)
    return [tuple(found[2 * n : 2 * n + 2]) for n in range(len(nodes))]


# Guards RECOVER: callers of gateways that were cut off from all engines waited or were
# refused, though other gateways reached the engines all the time.
@pytest.mark.parametrize("how", ["reset", "refuse", "hang"])
@pytest.mark.parametrize(("count", "cut"), [(3, [2]), (3, [0]), (4, [0, 1, 2])])
async def test_callers_of_cut_gateways_are_served(how, count, cut):
    async with cut_links.running_nodes(count) as (nodes, _, _):
        before = await served_by_each(nodes, "before")
        assert min(min(pair) for pair in before) == 1.0
        for number in cut:
            await nodes[number].cut(how)
        await asyncio.gather(
            served_by_each(nodes, "early"), asyncio.sleep(STABLE_S + 0.1)
        )
        during = await served_by_each(nodes, "during")
        print(how, cut, during)
        others = [during[n] for n in range(count) if n not in cut]
        for kind in (0, 1):
            reference = min(pair[kind] for pair in others)
            assert reference >= 0.9
            for number in cut:
                assert during[number][kind] >= LEAST_FRACTION * reference
        for number in cut:
            await nodes[number].heal()
        await asyncio.sleep(2.0)
        after = await served_by_each(nodes, "after")
        assert min(min(pair) for pair in after) == 1.0


# Guards REFUSED and DENIED: a gateway that was cut off took its targets for crashed, as
# they refused connections, and named sound requests as the cause at all gateways.
async def test_cut_is_no_evidence_of_crashes():
    async with cut_links.running_nodes(3) as (nodes, _, _):
        sent = [
            asyncio.ensure_future(nodes[2].send(cut_links.prompt(n))) for n in range(12)
        ]
        # Before the first events, or the requests would not count as suspects.
        await asyncio.sleep(0.03)
        await nodes[2].cut("reset")
        await asyncio.gather(*sent, return_exceptions=True)
        await asyncio.sleep(1.0)
        text = nodes[2].gateway.metrics.text().decode()
        assert not re.search(r"attempts_at_crash_total\{.*\} [1-9]", text)


# Guards RECOVER: a holder of the lease that reaches no engine loads no models.
async def test_cut_holder_hands_the_lease_over():
    async with cut_links.running_nodes(3) as (nodes, _, _):
        async with asyncio.timeout(10.0):
            while not any(node.gateway.controller.fence for node in nodes):
                await asyncio.sleep(0.05)
        holder = next(node for node in nodes if node.gateway.controller.fence)
        await holder.cut("refuse")
        async with asyncio.timeout(8.0):
            while not any(
                node.gateway.controller.fence for node in nodes if node is not holder
            ):
                await asyncio.sleep(0.05)
        assert not holder.gateway.controller.fence


# Guards against a fleet without a holder of the lease: two targets that have crashed
# are no cut, and the holder stays.
async def test_crashes_of_two_targets_are_no_cut():
    async with cut_links.running_nodes(3) as (nodes, engines, _):
        async with asyncio.timeout(10.0):
            while not any(node.gateway.controller.fence for node in nodes):
                await asyncio.sleep(0.05)
        (holder,) = (node for node in nodes if node.gateway.controller.fence)
        for node in nodes:
            for engine in (engines[0], engines[3]):
                await node.links[engine.name].cut("reset")
        await served_by_each(nodes, "crashed")
        assert holder.gateway.controller.fence
        reachabilities = [node.gateway.connector.reachability for node in nodes]
        assert not any(found.cut_off for found in reachabilities)
