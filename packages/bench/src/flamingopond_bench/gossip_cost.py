"""Measures CPU time and bytes of one gossip exchange at several roster sizes.

Run with ``python -m flamingopond_bench.gossip_cost``. Sizes are given as
arguments. CPU time is that of the whole process; over the RPC both ends of the
exchange run in it, so half of the figure belongs to each node.
"""

from __future__ import annotations

import socket
import sys
import time
from collections.abc import Mapping
from random import Random
from typing import Any

import anyio
import capnp
import orjson

from flamingopond_core.membership import GossipState
from flamingopond_core.roster import Member, Roster
from flamingopond_daemon.peers import Peers

SIZES = (9, 50, 100, 200, 400)
CORE_ROUNDS = 300
RPC_ROUNDS = 300


def make_states(size: int, rng: Random) -> list[GossipState]:
    """Return two states that know all members of a roster of ``size``."""
    members = [Member(f"node-{n:03d}", f"10.0.0.{n}:7000") for n in range(size)]
    roster = Roster(1, tuple(members))
    states = []
    for member in members:
        state = GossipState(member, 0.0)
        state.adopt(roster)
        state.record_store_contact(100 - rng.random())
        states.append(state)
    for state in states[:2]:
        for other in states:
            if other is not state:
                reply = other.encode(100.0)
                age = other.contact_age_ms(100.0)
                state.merge(1, reply, age, 99.999, 100.0)
    return states[:2]


def measure_core(states: list[GossipState]) -> tuple[float, float, int]:
    """Return CPU seconds of one encode and one merge, and the bytes of the ages."""
    first, second = states
    now = 100.0
    encode = merge = 0.0
    ages = b""
    for _ in range(CORE_ROUNDS):
        now += 0.05
        begun = time.process_time()
        # The state as of 100 s counts as asked for just now, so that every entry
        # is newer than the last time and is replaced.
        ages = first.encode(100.0)
        middle = time.process_time()
        second.merge(1, ages, first.contact_age_ms(now), now, now)
        merge += time.process_time() - middle
        encode += middle - begun
    return encode / CORE_ROUNDS, merge / CORE_ROUNDS, len(ages)


class CountingRelay:
    """Passes bytes between two sockets on loopback and counts them."""

    def __init__(self, target: str) -> None:
        """Pass the bytes on to ``target``."""
        self._target = target
        self.count = 0

    async def run(self, listener: Any) -> None:
        """Serve ``listener`` until cancelled."""
        await listener.serve(self._relay)

    async def _relay(self, near: anyio.abc.SocketStream) -> None:
        host, _, port = self._target.rpartition(":")
        async with (
            near,
            await anyio.connect_tcp(host, int(port)) as far,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._pump, near, far)
            group.start_soon(self._pump, far, near)

    async def _pump(
        self, source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream
    ) -> None:
        async for data in source:
            self.count += len(data)
            await sink.send(data)


def _message(state: GossipState, now: float, ages: bytes) -> dict[str, Any]:
    return {
        "sender": state.member.name,
        "incarnation": 1,
        "rosterVersion": state.roster.version,
        "ages": ages,
        "revision": 53_000,
        "confirmedAgeMs": 250,
        "clock": 1 << 56,
        "topics": [],
        "mature": True,
        "contactAgeMs": state.contact_age_ms(now),
    }


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


async def measure_rpc(states: list[GossipState]) -> tuple[float, float]:
    """Return CPU seconds and bytes on the wire, both ways, of one exchange."""
    caller_state, server_state = states
    address = _free_address()
    server = Peers("b", b"secret", address)
    caller = Peers("a", b"secret", _free_address())
    now = 200.0

    async def exchange(params: dict[str, Any]) -> Mapping[str, Any]:
        return {"message": _message(server_state, now, server_state.encode(100.0))}

    async def one() -> None:
        nonlocal now
        now += 0.05
        request = _message(caller_state, now, b"")
        reply = (await caller.call("b", "exchange", message=request))["message"]
        caller_state.merge(
            reply["rosterVersion"], reply["ages"], reply["contactAgeMs"], now, now
        )

    server.serve("exchange", exchange)
    async with anyio.create_task_group() as group:
        group.start_soon(server.run_server)
        await server.listening.wait()
        caller.set_addresses({"b": address})
        await one()
        begun = time.process_time()
        for _ in range(RPC_ROUNDS):
            await one()
        cpu = (time.process_time() - begun) / RPC_ROUNDS
        # Bytes are counted in a second pass, so that the relay costs no CPU above.
        relay = CountingRelay(address)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        group.start_soon(relay.run, listener)
        caller.set_addresses({"b": f"127.0.0.1:{port}"})
        await one()
        before = relay.count
        for _ in range(RPC_ROUNDS):
            await one()
        size = (relay.count - before) / RPC_ROUNDS
        group.cancel_scope.cancel()
    return cpu, size


async def _main(sizes: tuple[int, ...]) -> None:
    async with capnp.kj_loop():
        for size in sizes:
            encode, merge, ages = measure_core(make_states(size, Random(size)))
            cpu, wire = await measure_rpc(make_states(size, Random(size)))
            line = {
                "members": size,
                "core_encode_us": round(encode * 1e6, 1),
                "core_merge_us": round(merge * 1e6, 1),
                "ages_bytes": ages,
                "rpc_cpu_us_both_ends": round(cpu * 1e6, 1),
                "rpc_bytes_both_ways": round(wire),
            }
            sys.stdout.write(orjson.dumps(line).decode() + "\n")


def run() -> None:
    """Measure the sizes given on the command line, or the usual ones."""
    sizes = tuple(int(argument) for argument in sys.argv[1:]) or SIZES
    anyio.run(_main, sizes)


if __name__ == "__main__":
    run()
