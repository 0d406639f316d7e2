"""Calls between peers over loopback."""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
import pytest
from cluster_fixture import free_address, run

from flamingopond_daemon.peers import PeerGoneError, Peers, PeerUnavailableError


@asynccontextmanager
async def connected(
    secret: bytes = b"s", **limits: int
) -> AsyncIterator[tuple[Peers, Peers]]:
    """Yield a caller and a server; the caller's secret is ``secret``."""
    address = free_address()
    server = Peers("b", b"s", address, **limits)
    caller = Peers("a", secret, free_address())
    caller.set_addresses({"b": address})
    async with anyio.create_task_group() as group:
        group.start_soon(server.run_server)
        await server.listening.wait()
        yield caller, server
        group.cancel_scope.cancel()


def test_call_passes_nested_values() -> None:
    """Guards against losing fields between the schema and handlers."""

    async def settle(params: dict[str, Any]) -> dict[str, Any]:
        return {"holdings": [{"workspace": f"w{n}"} for n in params["shards"]]}

    async def main() -> None:
        async with connected() as (caller, server):
            server.serve("listHoldings", settle)
            reply = await caller.call("b", "listHoldings", shards=[1, 2])
            assert [h["workspace"] for h in reply["holdings"]] == ["w1", "w2"]

    run(main)


@pytest.mark.parametrize("bound", [False, True], ids=["ended", "paused"])
def test_only_an_ended_process_is_reported_gone(bound: bool) -> None:
    """Guards against taking a paused process, which keeps its port, as ended."""

    async def main() -> None:
        address = free_address()
        caller = Peers("a", b"s", free_address())
        caller.set_addresses({"b": address})
        host, _, port = address.rpartition(":")
        with socket.socket() as paused:
            if bound:
                paused.bind((host, int(port)))
                paused.listen()
            with pytest.raises(PeerUnavailableError) as caught:
                await caller.call("b", "listHoldings", shards=[])
        assert isinstance(caught.value, PeerGoneError) is not bound

    run(main)


def test_wrong_secret_is_refused() -> None:
    """Guards against a process without the secret reaching any method."""

    async def main() -> None:
        async with connected(secret=b"other") as (caller, server):
            called = []

            async def settle(params: dict[str, Any]) -> dict[str, Any]:
                called.append(params)
                return {}

            server.serve("settle", settle)
            with pytest.raises(PeerUnavailableError, match="secret"):
                await caller.call("b", "settle", node="a", settlements=[])
            assert called == []

    run(main)


def test_connection_is_reopened_after_a_timeout() -> None:
    """Guards against using a connection that went silent for good."""

    async def main() -> None:
        async with connected() as (caller, server):
            silent = True

            async def settle(params: dict[str, Any]) -> dict[str, Any]:
                if silent:
                    await anyio.sleep(5)
                return {}

            server.serve("settle", settle)
            with pytest.raises(PeerUnavailableError, match="timed out"):
                await caller.call("b", "settle", node="a", settlements=[])
            assert "b" not in caller._connections
            silent = False
            await caller.call("b", "settle", node="a", settlements=[])

    run(main)


def test_calls_beyond_the_bound_are_refused() -> None:
    """Guards against a flood of calls holding unbounded memory."""

    async def main() -> None:
        async with connected(max_calls=1) as (caller, server):

            async def settle(params: dict[str, Any]) -> dict[str, Any]:
                await anyio.sleep(0.5)
                return {}

            server.serve("settle", settle)
            async with anyio.create_task_group() as group:
                group.start_soon(lambda: caller.call("b", "settle"))
                await anyio.sleep(0.2)
                with pytest.raises(PeerUnavailableError, match="too many"):
                    await caller.call("b", "settle")

    run(main)


def test_error_of_a_handler_keeps_the_connection() -> None:
    """Guards against one failing method cutting off all others."""

    async def main() -> None:
        async with connected() as (caller, server):

            async def settle(params: dict[str, Any]) -> dict[str, Any]:
                raise ValueError("bad settlement")

            server.serve("settle", settle)
            with pytest.raises(PeerUnavailableError, match="bad settlement"):
                await caller.call("b", "settle")
            assert "b" in caller._connections

    run(main)
