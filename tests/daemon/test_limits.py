"""Tests of reservations with grants from owners on other nodes."""

from __future__ import annotations

import anyio
import attrs
import pytest
from fake_platform_and_peers import FakePeerNetwork

from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_core.objects import Contract
from flamingopond_daemon.limits import Limits

CONTRACT = Contract("w", Priority.STANDARD, 100.0, 1000)


@attrs.define
class _MemberOrAuthority:
    name: str
    epoch: int = 1
    until: float = 1e9


class FakeCluster:
    """A node's view of the cluster; all nodes share ``owner``, [name, epoch]."""

    def __init__(self, name: str, owner: list) -> None:
        """Store the name and the shared owner."""
        self.name, self.owner = name, owner
        self.lost: set[str] = set()

    def members(self, now):
        """Return the members that are not lost."""
        return [
            _MemberOrAuthority(name) for name in ("a", "b") if name not in self.lost
        ]

    def owner_of(self, resource):
        """Return the owner."""
        return _MemberOrAuthority(*self.owner) if self.owner else None

    def authority(self, resource, now):
        """Return the authority if this node is the owner."""
        if not self.owner or self.owner[0] != self.name:
            return None
        return _MemberOrAuthority(*self.owner)

    def on_acquire(self, callback) -> None:
        """Keep the callback."""
        self.acquire = callback

    def on_release(self, callback) -> None:
        """Keep the callback."""
        self.release = callback


class TwoNodes:
    """Two nodes with a fake clock, of which ``b`` owns the workspace."""

    def __init__(self) -> None:
        """Start both nodes with a full bucket at the owner."""
        self.now, self.owner, self.network = 0.0, ["b", 1], FakePeerNetwork()
        self.clusters = {n: FakeCluster(n, self.owner) for n in "ab"}
        self.limits = {
            n: Limits(
                c,
                self.network.node(n),
                lambda: {"w": CONTRACT},
                lambda resource: 7,
                1,
                clock=lambda: self.now,
            )
            for n, c in self.clusters.items()
        }
        self.clusters["b"].acquire(7, 1, None)
        self.now = 20.0

    async def reserve(self, node: str, tokens: int, wait: float = 0.0):
        """Return a reservation, or the error code."""
        try:
            return await self.limits[node].reserve("w", tokens, self.now + wait)
        except RequestRefusedError as error:
            return error.code

    async def step(self) -> None:
        """Run one iteration of each node's loop."""
        for limits in self.limits.values():
            with anyio.move_on_after(0.02):
                await limits.run()

    def bucket(self, node: str = "b"):
        """Return the owner's bucket."""
        return self.limits[node]._buckets.find("w", self.owner[1], self.now)


def test_tokens_come_from_the_owner_and_go_back() -> None:
    """Guards against tokens lost or doubled between node and owner."""

    async def check() -> None:
        nodes = TwoNodes()
        reservation = await nodes.reserve("a", 400, 1.0)
        assert reservation.tokens == 400
        nodes.limits["a"].settle(reservation, 100)
        # Grants ahead follow recent use, so wait until it has decayed.
        for _ in range(30):
            nodes.now += 1.0
            await nodes.step()
        assert (nodes.bucket().outstanding, nodes.bucket().level) == (0, 1000)

    anyio.run(check)


@pytest.mark.parametrize(
    ("ended", "outstanding"),
    [pytest.param(True, 0, id="ended"), pytest.param(False, 900, id="silent")],
)
def test_grants_of_an_ended_process_do_not_block_the_burst(ended, outstanding) -> None:
    """Guards against a dead node's grants blocking the burst for 120 s.

    An unreachable node may only be paused, with requests that still run.
    """

    async def check() -> None:
        nodes = TwoNodes()
        await nodes.reserve("a", 900, 1.0)
        nodes.clusters["b"].lost = {"a"}
        (nodes.network.gone if ended else nodes.network.cut).add("a")
        await nodes.step()
        assert nodes.bucket().outstanding == outstanding
        # Its tokens count as spent: none go back to the level.
        assert nodes.bucket().level == 100
        nodes.now += 5.0
        assert nodes.bucket().level == (600 if ended else 100)

    anyio.run(check)


def test_grants_of_a_new_process_are_kept() -> None:
    """Guards against writing off grants that a restarted node has requested since."""

    async def check() -> None:
        nodes = TwoNodes()
        await nodes.reserve("a", 500, 1.0)
        requested_at = nodes.now
        nodes.now += 0.1
        await nodes.reserve("a", 300, 1.0)
        nodes.bucket().write_off("a", nodes.now, requested_at)
        assert nodes.bucket().outstanding == 300

    anyio.run(check)


REFUSALS = [
    # Owner, unreachable nodes, tokens used before, tokens requested, error code.
    (["b", 1], set(), 0, 1001, "request_too_large"),
    (["b", 1], set(), 900, 500, "rate_limited"),
    (["b", 1], {"b"}, 0, 5, "limit_unavailable"),
    ([], set(), 0, 5, "limit_unavailable"),
]


@pytest.mark.parametrize(("owner", "cut", "before", "tokens", "code"), REFUSALS)
def test_refusals(owner, cut, before, tokens, code) -> None:
    """Guards against a refusal with the wrong error code, or after the deadline."""

    async def check() -> None:
        nodes = TwoNodes()
        if before:
            await nodes.reserve("a", before, 1.0)
        nodes.owner[:] = owner
        nodes.network.cut = cut
        assert await nodes.reserve("a", tokens, 0.2) == code

    anyio.run(check)


def test_all_waiters_for_an_unreachable_owner_get_limit_unavailable() -> None:
    """Guards against ``rate_limited`` within the rate when the owner is unreachable."""

    async def check() -> None:
        nodes = TwoNodes()
        nodes.network.cut = {"b"}
        codes = []

        async def reserve() -> None:
            codes.append(await nodes.reserve("a", 5, 0.1))

        async def pass_time() -> None:
            await anyio.sleep(0.2)
            nodes.now += 0.2

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(reserve)
            tasks.start_soon(pass_time)
        assert codes == ["limit_unavailable"] * 3

    anyio.run(check)


def test_waiting_request_gets_refilled_tokens() -> None:
    """Guards against a refusal of tokens that are available before the deadline."""

    async def check() -> None:
        nodes = TwoNodes()
        await nodes.reserve("b", 1000, 1.0)
        results: list = []

        async def wait() -> None:
            results.append(await nodes.reserve("a", 20, 0.4))

        bucket = nodes.bucket()
        bucket.write_off("b", nodes.now)
        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.05)
            nodes.now += 0.3
        assert results[0].tokens == 20

    anyio.run(check)


@pytest.mark.parametrize("graceful", [True, False])
def test_new_owner_knows_open_reservations(graceful) -> None:
    """Guards against tokens granted twice when the owner changes."""

    async def check() -> None:
        nodes = TwoNodes()
        reservation = await nodes.reserve("a", 700, 1.0)
        state = nodes.clusters["b"].release(7) if graceful else None
        nodes.owner[:] = ["a", 2]
        nodes.clusters["a"].acquire(7, 2, state)
        await nodes.step()
        nodes.now += 60.0
        bucket = nodes.bucket("a")
        bucket.advance(nodes.now)
        assert (bucket.outstanding, bucket.level) == (700, 300)
        nodes.limits["a"].settle(reservation, 700)
        await nodes.step()
        # Because of its recent use, the node already holds a grant ahead.
        held = nodes.limits["a"]._allowance.unspent("w")
        assert (bucket.outstanding, bucket.level) == (held, 300 - held)

    anyio.run(check)


def test_lost_reply_leaves_no_tokens_outstanding() -> None:
    """Guards against tokens that stay outstanding after a lost reply."""

    async def check() -> None:
        nodes = TwoNodes()
        serve = nodes.network.handlers["b"]["requestGrant"]

        async def lose(params):
            await serve(params)
            nodes.network.cut = {"b"}
            raise RequestRefusedError("lost", "lost")

        nodes.network.handlers["b"]["requestGrant"] = lose
        assert await nodes.reserve("a", 500, 0.1) == "limit_unavailable"
        assert nodes.bucket().outstanding >= 500
        nodes.network.cut = set()
        await nodes.step()
        assert nodes.bucket().outstanding == 0

    anyio.run(check)
