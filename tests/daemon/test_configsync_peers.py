"""Tests of configuration sync over real peer connections and gossip."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
from cluster_fixture import Node, Platform, PlatformClient, run
from cluster_fixture import wait_until as wait_until_without_errors
from config_fakes import FakeObjectStore, contract

from flamingopond_daemon.configuration_sync import ConfigurationSync


async def wait_until(condition: Callable[[], bool]) -> None:
    await wait_until_without_errors(condition, [])


def test_changes_reach_running_daemons_with_and_without_the_table() -> None:
    """Guards against parameters that the peer schema or the gossip drops.

    The second daemon loses the table before the change, so it can receive the change
    only by push or gossip. The third starts without the table, from its peers.
    """

    async def main() -> None:
        platform = Platform()
        objects = FakeObjectStore()
        nodes = [Node(name, platform) for name in "abc"]
        syncs = [
            ConfigurationSync(
                PlatformClient(platform, node.name),
                objects,
                node.peers,
                node.cluster,
                node.events,
            )
            for node in nodes
        ]
        a, b, c = syncs
        # A node that does not know the roster yet finds its peers by the seeds.
        nodes[2].cluster._seeds["a"] = platform.vms["a"].address
        async with anyio.create_task_group() as tasks:
            for node, sync in zip(nodes[:2], syncs[:2], strict=True):
                tasks.start_soon(node.peers.run_server)
                tasks.start_soon(node.cluster.run)
                tasks.start_soon(sync.run)
            await wait_until(lambda: a.ready and b.ready)
            await wait_until(lambda: nodes[0].cluster.hears_majority(time.monotonic()))
            platform.down.update("bc")
            first = await a.propose([contract(5)], 0, "op", "o1")
            assert first.change_set is not None
            assert await a.wait_in_force(1, 10.0)
            assert b.configuration.contracts["w"].rate == 5
            tasks.start_soon(nodes[2].peers.run_server)
            tasks.start_soon(nodes[2].cluster.run)
            tasks.start_soon(c.run)
            await wait_until(lambda: c.ready)
            await wait_until(lambda: c.configuration.revision == 1)
            # Gossip about the first daemon's table reads keeps the others fresh.
            await wait_until(lambda: c.is_fresh(time.monotonic()))
            assert b.may_serve(time.monotonic())
            tasks.cancel_scope.cancel()

    run(main)
