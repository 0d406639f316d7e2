"""Clusters of up to three nodes on loopback, with faults of nodes and the table."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import anyio
from cluster_fixture import (
    SHARDS,
    Node,
    Platform,
    ThreadNode,
    all_shards_owned,
    assert_single_owners,
    run,
    wait_until,
)

from flamingopond_core.timeline import EventFilter


@asynccontextmanager
async def started(
    platform: Platform, count: int = 3, others: tuple[Node, ...] = ()
) -> AsyncIterator[tuple[list[Node], list[AsyncExitStack]]]:
    """Yield running nodes that own all shards; closing a stack stops its node."""
    nodes = [Node(name, platform) for name in "abcde"[:count]]
    stacks = []
    for node in nodes:
        stack = AsyncExitStack()
        await stack.enter_async_context(node.running())
        stacks.append(stack)
    try:
        everyone = [*nodes, *others]
        await wait_until(lambda: all_shards_owned(everyone), everyone)
        yield nodes, stacks
    finally:
        for stack in reversed(stacks):
            await stack.aclose()


def test_three_nodes_start_from_nothing() -> None:
    """Guards against a start that needs a roster, table rows or a start order."""

    async def main() -> None:
        async with started(Platform()) as (nodes, _):
            await wait_until(lambda: all(n.acting() for n in nodes), nodes)
            now = time.monotonic()
            assert all(n.cluster.hears_majority(now) for n in nodes)
            assert not any(n.cluster.store_outage(now) for n in nodes)
            events, unanswered = await nodes[0].events.collect(
                nodes[0].peers, "abc", EventFilter(kinds=("ownership",))
            )
            assert unanswered == ()
            assert {event.node for event in events} == set("abc")
            assert [e.stamp for e in events] == sorted(e.stamp for e in events)

    run(main)


def test_shards_of_a_killed_node_are_claimed() -> None:
    """Guards against shards that stay assigned to a dead node."""

    async def main() -> None:
        async with started(Platform()) as (nodes, stacks):
            await stacks.pop().aclose()
            rest = nodes[:2]
            await wait_until(lambda: all_shards_owned(rest), rest)

    run(main)


def test_paused_node_does_not_act_on_its_old_authority() -> None:
    """Guards against a node that still acts for shards claimed during its pause."""

    async def main() -> None:
        platform = Platform()
        paused = Node("p", platform)
        thread = ThreadNode(paused)
        thread.start()
        try:
            async with started(platform, 2, (paused,)) as (nodes, _):
                everyone = [*nodes, paused]
                await wait_until(
                    lambda: all_shards_owned(everyone) and bool(paused.acting()),
                    everyone,
                )
                thread.pause(12)
                await wait_until(lambda: all_shards_owned(nodes), everyone)
                # Once it resumes, it gets back its part of the shards, in steps.
                await wait_until(lambda: bool(paused.acting()), everyone)
                await wait_until(lambda: all_shards_owned(everyone), everyone)
        finally:
            await thread.stop()

    run(main)


def test_outage_longer_than_any_lease_keeps_all_owners() -> None:
    """Guards against owners that lose authority while no node reaches the store."""

    async def main() -> None:
        platform = Platform()
        async with started(platform) as (nodes, _):
            before = [n.acting() for n in nodes]
            platform.down.add("*")
            end = time.monotonic() + 10
            while time.monotonic() < end:
                await anyio.sleep(0.1)
                assert [n.acting() for n in nodes] == before
            assert all(n.cluster.store_outage(time.monotonic()) for n in nodes)
            platform.down.clear()
            end = time.monotonic() + 4
            while time.monotonic() < end:
                await anyio.sleep(0.1)
                assert_single_owners(nodes)
            await wait_until(lambda: all_shards_owned(nodes), nodes)
            assert [n.acting() for n in nodes] == before

    run(main)


def test_nodes_recover_from_lost_responses_and_a_slow_table() -> None:
    """Guards against a node that cannot determine its shards after a lost response."""

    async def main() -> None:
        platform = Platform()
        platform.responses_to_lose = 12
        platform.delay_s = 0.1
        async with started(platform) as (nodes, _):
            platform.responses_to_lose = 4
            await wait_until(
                lambda: platform.responses_to_lose == 0 and all_shards_owned(nodes),
                nodes,
            )

    run(main)


def test_wrong_secret_keeps_a_node_out() -> None:
    """Guards against a process without the secret becoming a member."""

    async def main() -> None:
        platform = Platform()
        async with started(platform) as (nodes, _):
            outsider = Node("x", platform, secret=b"other")
            async with outsider.running():
                await anyio.sleep(3)
                now = time.monotonic()
                assert not outsider.cluster.hears_majority(now)
                names = {m.name for m in nodes[0].cluster.members(now)}
                assert names == set("abc")

    run(main)


def test_graceful_leave_hands_over_at_once() -> None:
    """Guards against shards without an owner until the lease of a leaving node ends."""

    async def main() -> None:
        async with started(Platform()) as (nodes, _):
            await wait_until(lambda: bool(nodes[0].acting()), nodes)
            given = nodes[0].acting()
            with anyio.fail_after(10):
                await nodes[0].cluster.leave()
            rest = nodes[1:]
            await wait_until(lambda: all_shards_owned(rest), nodes)
            states = {
                shard: state
                for node in rest
                for shard, state in node.acquired.items()
                if shard in given
            }
            assert states == {shard: f"a/{shard}".encode() for shard in given}
            assert len(rest[0].acting() | rest[1].acting()) == SHARDS

    run(main)


def test_node_without_seeds_finds_the_roster_in_an_outage() -> None:
    """Guards against a node that cannot find its peers without store or seeds."""

    async def main() -> None:
        platform = Platform()
        async with started(platform, 2) as (nodes, _):
            platform.down.add("*")
            late = Node("x", platform)
            async with late.running():
                await wait_until(lambda: len(late.cluster.roster.members) >= 2, nodes)

    run(main)


def test_graceful_leave_in_an_outage_delegates_with_state() -> None:
    """Guards against shards without an owner after a graceful leave in an outage."""

    async def main() -> None:
        platform = Platform()
        async with started(platform) as (nodes, stacks):
            given = await leave_in_outage(platform, nodes, stacks)
            rest = nodes[:2]
            taken = {(n, s) for n in rest for s in n.acting() & given}
            for node, shard in taken:
                assert node.acquired.pop(shard) == f"c/{shard}".encode()
            platform.down.clear()
            # Each delegate claims its shards and keeps their state.
            await wait_until(lambda: all(s in n.acquired for n, s in taken), rest)
            for node, shard in taken:
                assert node.acquired[shard] == f"{node.name}/{shard}".encode()
            await wait_until(lambda: all_shards_owned(rest), rest)

    run(main)


def test_process_restarted_in_an_outage_serves_as_non_owner() -> None:
    """Guards against a restarted process that cannot find owners or delegates."""

    async def main() -> None:
        platform = Platform()
        async with started(platform) as (nodes, stacks):
            await leave_in_outage(platform, nodes, stacks)
            rest = nodes[:2]
            again = Node("c", platform, address=nodes[2].address)
            async with again.running():
                everyone = [again, *rest]
                resources = [f"workspace/{n}" for n in range(20)]
                await wait_until(
                    lambda: all(finds_owner(again, r, rest) for r in resources),
                    everyone,
                )
                assert not again.acting()
                platform.down.clear()
                await wait_until(lambda: bool(again.acting()), everyone)
                await wait_until(lambda: all_shards_owned(everyone), everyone)

    run(main)


async def leave_in_outage(
    platform: Platform, nodes: list[Node], stacks: list[AsyncExitStack]
) -> set[int]:
    """Let the last of three nodes leave without the store; return its shards."""
    rest, leaver = nodes[:2], nodes[2]
    await wait_until(lambda: bool(leaver.acting()), nodes)
    given = leaver.acting()
    platform.down.add("*")
    outage = rest[0].cluster.store_outage
    await wait_until(lambda: outage(time.monotonic()), nodes)
    with anyio.fail_after(20):
        await leaver.cluster.leave()
    assert_single_owners(nodes)
    assert all_shards_owned(rest)
    await stacks.pop().aclose()
    return given


def finds_owner(node: Node, resource: str, others: list[Node]) -> bool:
    """Tell whether ``node`` finds the acting owner within one try per other node."""
    now = time.monotonic()
    found = {
        owner.name
        for _ in others
        if (owner := node.cluster.owner_of(resource)) is not None
    }
    return any(o.name in found and o.cluster.authority(resource, now) for o in others)
