"""The store comes back from a copy some seconds old, with versions that fall.

What was acknowledged in between is lost. The operator and the targets write theirs
again; the rows of the gateways are written again by nobody but them.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal

import gateway_parts as parts
import power_parts as power
import pytest
from test_gateway_power import AFTER, BEFORE, ask_model, configuration

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

NEWER = configuration(
    3,
    {"orders": "desk", "split": "counter", "new": "desk", "newer": "desk"},
    ["key-1", "key-3"],
)
CONFIG_S = parts.BOUNDS.config_s
# Calls of a gateway to the store in the second after its return: both tables, a few
# watches, the lease four times, registrations and named content.
MAX_CALLS = 20


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def restore(store, copy, away_s=0.3):
    """Let the store be away for a moment and come back from ``copy``."""
    store.state = "refusing"
    store.changed.set()
    await asyncio.sleep(away_s)
    store.restore(copy)
    store.state = "up"


async def in_force(gateway, version):
    seen = [line["version"] for line in gateway.events("configuration")]
    return seen[-1:] == [version]


async def wait_for_version(gateways, version, seconds=CONFIG_S):
    for gateway in gateways:
        await power.wait_until(lambda g=gateway: in_force(g, version), seconds)


@contextlib.asynccontextmanager
async def probing(gateways, url):
    """Ask for ``url`` at each gateway all the while; yields the answers."""
    answers = []

    async def probe(gateway):
        while True:
            number = len(answers)
            answers.append(await gateway.ask(url, f"p-{gateway.node}-{number}"))
            await asyncio.sleep(0.03)

    tasks = [asyncio.ensure_future(probe(gateway)) for gateway in gateways]
    try:
        yield answers
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


# Guards CONFIG and DENIED: reads after the return were taken for outdated ones, and
# changes were not in force until the versions had passed those from before. With as
# many versions as before, a row comes again with the same version and other content.
@pytest.mark.parametrize("versions", ["fewer", "as many", "more"])
@pytest.mark.parametrize("restores", [1, 2])
async def test_changes_after_a_restore_are_in_force(tmp_path, versions, restores):
    async with power.deployment(tmp_path) as running:
        store = running.store
        await running.add_target("desk-2", "desk")
        store.put("op", "config", BEFORE)
        await running.start_gateways(3)
        copy = store.copy()
        for _ in range(5):
            running.targets[0].register()
        store.put("op", "config", AFTER)
        await wait_for_version(running.gateways, 2)
        lost = store.version - copy[2]
        for _ in range(restores):
            await restore(store, copy)
        calls = store.calls
        running.targets[0].register()
        missing = {"fewer": 0, "as many": lost - 2, "more": lost + 5}[versions]
        for number in range(missing):
            store.put("other", f"row-{number}", {})
        if versions != "as many":
            store.put("op", "config", AFTER)
        await asyncio.sleep(1.0)
        assert store.calls - calls <= MAX_CALLS * len(running.gateways)
        async with probing(running.gateways, "/new/1") as answers:
            store.put("op", "config", NEWER)
            await wait_for_version(running.gateways, 3)
        for gateway in running.gateways:
            assert (await gateway.ask("/newer/1", "r-1"))[0] == 200
    assert {status for status, _ in answers} == {200}


async def test_configuration_from_the_copy_is_not_taken_over(tmp_path):
    """Guards CONFIG: an older configuration would bring back a revoked key."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        await running.add_target("desk-2", "desk")
        store.put("op", "config", BEFORE)
        await running.start_gateways(3)
        copy = store.copy()
        store.put("op", "config", AFTER)
        await wait_for_version(running.gateways, 2)
        await restore(store, copy)
        async with probing(running.gateways, "/new/1") as answers:
            for number in range(20):
                for gateway in running.gateways:
                    refused = await gateway.ask("/orders/1", f"k-{number}", "key-2")
                    # 503 while the table's new rows are on their way there.
                    assert refused[0] in (401, 503)
                await asyncio.sleep(0.05)
            assert refused[0] == 401
    assert {status for status, _ in answers} == {200}


async def test_gateway_that_was_suspended_over_a_restore_follows(tmp_path):
    """Guards CONFIG: a gateway in the former era must not hold back the others."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        await running.add_target("desk-2", "desk")
        store.put("op", "config", BEFORE)
        await running.start_gateways(3)
        copy = store.copy()
        store.put("op", "config", AFTER)
        for _ in range(5):
            running.targets[0].register()
        await wait_for_version(running.gateways, 2)
        suspended = running.gateways[0]
        suspended.process.send_signal(signal.SIGSTOP)
        try:
            await restore(store, copy)
            running.targets[0].register()
            store.put("op", "config", NEWER)
            await wait_for_version(running.gateways[1:], 3)
        finally:
            suspended.process.send_signal(signal.SIGCONT)
        await wait_for_version([suspended], 3, power.RECOVER_S)
        assert (await suspended.ask("/newer/1", "r-1"))[0] == 200


@pytest.mark.parametrize("leaves", ["draining", "removed"])
async def test_targets_that_left_get_nothing_after_a_restore(tmp_path, leaves):
    """Guards DRAIN: the copy still lists a target as ready that has said it leaves."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        leaving = await running.add_target("desk-1", "desk")
        await running.add_target("desk-2", "desk")
        store.put("op", "config", BEFORE)
        await running.start_gateways(3)
        copy = store.copy()
        if leaves == "draining":
            leaving.register(state="draining")
        else:
            store.remove("servers", "desk-1")
        for gateway in running.gateways:
            await power.wait_until(
                lambda g=gateway: any(
                    line["target"] == "desk-1" and line["state"] in ("draining", "gone")
                    for line in g.events("target")
                )
            )
        ran = len(leaving.runs)
        await restore(store, copy)
        async with probing(running.gateways, "/orders/1") as answers:
            await asyncio.sleep(1.2)
            if leaves == "draining":
                leaving.register(state="draining")
            else:
                store.remove("servers", "desk-1")
            await asyncio.sleep(0.5)
    assert {status for status, _ in answers} == {200}
    assert len(leaving.runs) == ran


async def test_target_that_left_is_used_once_it_is_back(tmp_path):
    """Guards against a target that stays unused though its entry is written anew."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        returning = await running.add_target("desk-1", "desk")
        store.put("op", "config", BEFORE)
        await running.start_gateways(2)
        copy = store.copy()
        store.remove("servers", "desk-1")
        await asyncio.sleep(0.5)
        await restore(store, copy)
        await asyncio.sleep(0.3)
        returning.register(slots=5)
        for gateway in running.gateways:

            async def served(gateway=gateway):
                return (await gateway.ask("/orders/1", "r-1"))[0] == 200

            await power.wait_until(served, power.RECOVER_S)


async def test_targets_that_the_copy_lacks_are_used_until_they_are_back(tmp_path):
    """Guards LOST: an entry written since the copy is back only after a moment."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        await running.add_target("desk-2", "desk")
        store.put("op", "config", AFTER)
        copy = store.copy()
        counter = await running.add_target("counter-1", "counter")
        await running.start_gateways(3)
        await restore(store, copy)
        async with probing(running.gateways, "/split/1") as answers:
            await asyncio.sleep(1.6)
            counter.register()
            await asyncio.sleep(1.5)
    assert {status for status, _ in answers} == {200}


async def test_registrations_are_written_again(tmp_path):
    """Guards the limits: a gateway that starts later knew too few members."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        await running.add_target("desk-2", "desk")
        store.put("op", "config", BEFORE)
        copy = store.copy()
        await running.start_gateways(3)
        await asyncio.sleep(0.5)
        await restore(store, copy)

        def registered():
            return sum(table == "flamingopond-members" for table, _ in store.rows)

        await power.wait_until(lambda: registered() == 3, 2.0)
        late = power.Gateway("gw-9", tmp_path, running.store_port)
        running.gateways.append(late)
        await running.start([late])
        assert late.events("registered")[0]["members"] == 4


@pytest.mark.parametrize("first_term", ["before the copy", "since the copy"])
async def test_fences_rise_over_a_restore(tmp_path, first_term):
    """Guards ONE: a fence that falls, or two holders whose terms meet."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        engine = await running.add_target("engine-1", "models")
        store.put("op", "config", BEFORE)
        copy = store.copy()
        for number in range(20):
            store.put("other", f"row-{number}", {})
        await running.start_gateways(3)
        await ask_model(running.gateways[0], "m0")
        if first_term == "before the copy":
            copy = store.copy()
            await asyncio.sleep(1.0)
        await ask_model(running.gateways[0], "m1")
        old_orders = list(engine.orders)
        await restore(store, copy)
        engine.register(seq=engine.seq)
        store.put("op", "config", BEFORE)
        await ask_model(running.gateways[2], "m2")
        new_orders = [order for order in engine.orders if order not in old_orders]
    assert new_orders
    assert {order.status for order in engine.orders} <= {202, 409}
    fences = [order.fence for order in engine.orders]
    assert fences == sorted(fences)
    assert min(order.fence for order in new_orders) > old_orders[-1].fence
    for fence in fences:
        assert len({o.holder for o in engine.orders if o.fence == fence}) == 1
    for before, after in zip(engine.orders, engine.orders[1:], strict=False):
        assert before.holder == after.holder or after.at - before.at >= power.LEASE_S
