"""Reservations over owners and peers."""

from __future__ import annotations

import anyio
import attrs
import pytest
from once_fakes import Network

from flamingopond_core.enums import Priority
from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_core.objects import Contract
from flamingopond_daemon.limits import Limits

CONTRACT = Contract("w", Priority.STANDARD, 100.0, 1000)


@attrs.define
class _Named:
    name: str
    epoch: int = 1
    until: float = 1e9


class FakeCluster:
    """A node's view; all nodes share ``owner``, an entry [name, epoch]."""

    def __init__(self, name: str, owner: list) -> None:
        """Store the name and the shared owner."""
        self.name, self.owner = name, owner
        self.lost: set[str] = set()

    def members(self, now):
        """Return the members that are heard."""
        return [_Named(name) for name in ("a", "b") if name not in self.lost]

    def owner_of(self, resource):
        """Return the owner."""
        return _Named(*self.owner) if self.owner else None

    def authority(self, resource, now):
        """Return the authority."""
        if not self.owner or self.owner[0] != self.name:
            return None
        return _Named(*self.owner)

    def on_acquire(self, callback) -> None:
        """Keep the callback."""
        self.acquire = callback

    def on_release(self, callback) -> None:
        """Keep the callback."""
        self.release = callback


class World:
    """Two nodes, of which ``b`` owns the workspace, on a clock of their own."""

    def __init__(self) -> None:
        """Start both nodes with a full bucket at the owner."""
        self.now, self.owner, self.network = 0.0, ["b", 1], Network()
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
        """Reserve, or return the error code."""
        try:
            return await self.limits[node].reserve("w", tokens, self.now + wait)
        except RequestRefusedError as error:
            return error.code

    async def step(self) -> None:
        """Let one round of each node's loop run."""
        for limits in self.limits.values():
            with anyio.move_on_after(0.02):
                await limits.run()

    def bucket(self, node: str = "b"):
        """Return the owner's bucket."""
        return self.limits[node]._buckets.find("w", self.owner[1], self.now)


def test_tokens_come_from_the_owner_and_go_back() -> None:
    """Guards against tokens lost or doubled between node and owner."""

    async def check() -> None:
        world = World()
        reservation = await world.reserve("a", 400, 1.0)
        assert reservation.tokens == 400
        world.limits["a"].settle(reservation, 100)
        # Grants ahead follow recent use until it has decayed.
        for _ in range(30):
            world.now += 1.0
            await world.step()
        assert (world.bucket().outstanding, world.bucket().level) == (0, 1000)

    anyio.run(check)


@pytest.mark.parametrize(
    ("ended", "outstanding"),
    [pytest.param(True, 0, id="ended"), pytest.param(False, 900, id="silent")],
)
def test_grants_of_an_ended_process_do_not_block_the_burst(ended, outstanding) -> None:
    """Guards against a dead node's grants blocking the burst for 120 s.

    A node that is only silent may be paused with requests that still run.
    """

    async def check() -> None:
        world = World()
        await world.reserve("a", 900, 1.0)
        world.clusters["b"].lost = {"a"}
        (world.network.gone if ended else world.network.cut).add("a")
        await world.step()
        assert world.bucket().outstanding == outstanding
        # What it held is spent: nothing goes back to the level.
        assert world.bucket().level == 100
        world.now += 5.0
        assert world.bucket().level == (600 if ended else 100)

    anyio.run(check)


def test_grants_of_a_new_process_are_kept() -> None:
    """Guards against forgetting what a restarted node asked for meanwhile."""

    async def check() -> None:
        world = World()
        await world.reserve("a", 500, 1.0)
        asked_at = world.now
        world.now += 0.1
        await world.reserve("a", 300, 1.0)
        world.bucket().write_off("a", world.now, asked_at)
        assert world.bucket().outstanding == 300

    anyio.run(check)


REFUSALS = [
    # Owner, cut nodes, tokens used before, tokens asked, code.
    (["b", 1], set(), 0, 1001, "request_too_large"),
    (["b", 1], set(), 900, 500, "rate_limited"),
    (["b", 1], {"b"}, 0, 5, "limit_unavailable"),
    ([], set(), 0, 5, "limit_unavailable"),
]


@pytest.mark.parametrize(("owner", "cut", "before", "tokens", "code"), REFUSALS)
def test_refusals(owner, cut, before, tokens, code) -> None:
    """Guards against a wrong or late reason for a refusal."""

    async def check() -> None:
        world = World()
        if before:
            await world.reserve("a", before, 1.0)
        world.owner[:] = owner
        world.network.cut = cut
        assert await world.reserve("a", tokens, 0.2) == code

    anyio.run(check)


def test_all_that_wait_for_a_lost_owner_learn_why() -> None:
    """Guards against ``rate_limited`` inside the rate because the owner was lost."""

    async def check() -> None:
        world = World()
        world.network.cut = {"b"}
        codes = []

        async def reserve() -> None:
            codes.append(await world.reserve("a", 5, 0.1))

        async def pass_time() -> None:
            await anyio.sleep(0.2)
            world.now += 0.2

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(reserve)
            tasks.start_soon(pass_time)
        assert codes == ["limit_unavailable"] * 3

    anyio.run(check)


def test_waiting_ends_with_tokens() -> None:
    """Guards against a refusal of tokens that are there before the deadline."""

    async def check() -> None:
        world = World()
        await world.reserve("b", 1000, 1.0)
        found: list = []

        async def wait() -> None:
            found.append(await world.reserve("a", 20, 0.4))

        bucket = world.bucket()
        bucket.write_off("b", world.now)
        async with anyio.create_task_group() as group:
            group.start_soon(wait)
            await anyio.sleep(0.05)
            world.now += 0.3
        assert found[0].tokens == 20

    anyio.run(check)


@pytest.mark.parametrize("graceful", [True, False])
def test_new_owner_knows_open_reservations(graceful) -> None:
    """Guards against tokens granted twice when the owner changes."""

    async def check() -> None:
        world = World()
        reservation = await world.reserve("a", 700, 1.0)
        state = world.clusters["b"].release(7) if graceful else None
        world.owner[:] = ["a", 2]
        world.clusters["a"].acquire(7, 2, state)
        await world.step()
        world.now += 60.0
        bucket = world.bucket("a")
        bucket.advance(world.now)
        assert (bucket.outstanding, bucket.level) == (700, 300)
        world.limits["a"].settle(reservation, 700)
        await world.step()
        # The node already holds a grant ahead, by its recent use.
        held = world.limits["a"]._allowance.unspent("w")
        assert (bucket.outstanding, bucket.level) == (held, 300 - held)

    anyio.run(check)


def test_lost_reply_costs_nothing() -> None:
    """Guards against tokens that stay outstanding after a lost reply."""

    async def check() -> None:
        world = World()
        serve = world.network.handlers["b"]["requestGrant"]

        async def lose(params):
            await serve(params)
            world.network.cut = {"b"}
            raise RequestRefusedError("lost", "lost")

        world.network.handlers["b"]["requestGrant"] = lose
        assert await world.reserve("a", 500, 0.1) == "limit_unavailable"
        assert world.bucket().outstanding >= 500
        world.network.cut = set()
        await world.step()
        assert world.bucket().outstanding == 0

    anyio.run(check)
