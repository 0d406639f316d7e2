"""Tests of limits and claims over real peer connections."""

from __future__ import annotations

import math

import pytest
from cluster_fixture import run
from fake_platform_and_peers import FakeObjectStore, FakeTable
from test_limits import CONTRACT, FakeCluster
from test_peers import connected

from flamingopond_core.at_most_once import Claim, ClaimState, Outcome
from flamingopond_core.grants import RETURN_ALL, GrantReply, Settlement
from flamingopond_daemon.at_most_once_calls import AtMostOnceCalls
from flamingopond_daemon.grant_encoding import (
    decode_reply,
    decode_settlements,
    encode_reply,
    encode_settlements,
)
from flamingopond_daemon.limits import Limits


@pytest.mark.parametrize("wait", [0.0, 0.0201, 1e9, math.inf])
def test_reply_encoding(wait) -> None:
    """Guards against encoding that shortens the wait, extends the life or overflows."""
    reply = GrantReply("w", 2**63, 7, 3, 1.2345, wait, 5.5)
    decoded = decode_reply("w", encode_reply(reply))
    assert (decoded.grant_id, decoded.granted, decoded.epoch) == (2**63, 7, 3)
    assert decoded.life_s <= reply.life_s
    assert decoded.wait_s >= min(wait, 4e6)
    assert math.isinf(decoded.wait_s) == math.isinf(wait)
    settlements = (Settlement("w", 3, 2**63, 0, RETURN_ALL),)
    assert decode_settlements(encode_settlements(settlements)) == settlements


def test_grants_and_settlements_over_peers() -> None:
    """Guards against fields lost in the conversion to or from the peer schema."""

    async def main() -> None:
        now, owner = 0.0, ["b", 1]
        async with connected() as (caller, server):
            nodes = {}
            for name, peers in (("a", caller), ("b", server)):
                cluster = FakeCluster(name, owner)
                nodes[name] = Limits(
                    cluster,
                    peers,
                    lambda: {"w": CONTRACT},
                    lambda resource: 7,
                    1_800_000_000_000,
                    clock=lambda: now,
                )
                if name == "b":
                    cluster.acquire(7, 1, None)
            now = 20.0
            reservation = await nodes["a"].reserve("w", 400, now + 1.0)
            nodes["a"].settle(reservation, 100)
            await nodes["a"]._send_settlements()
            bucket = nodes["b"]._buckets.find("w", 1, now)
            assert bucket.outstanding == 300
            assert bucket.recent_use(now) == 100
            # Only b accepts calls here, so a takes over as the owner.
            await nodes["b"].reserve("w", 250, now + 1.0)
            nodes["a"]._buckets.acquire(7, 2, None, ["b"], now)
            await nodes["a"]._request_holdings("b", [7])
            bucket = nodes["a"]._buckets.find("w", 2, now)
            assert (bucket.outstanding, bucket.unreported_members) == (250, frozenset())

    run(main)


def test_claim_states_over_peers() -> None:
    """Guards against claim states or outcomes that are altered in transit."""

    async def main() -> None:
        async with connected() as (caller, server):
            rows = {
                name: AtMostOnceCalls(name, 1, FakeTable(), FakeObjectStore(), peers)
                for name, peers in (("a", caller), ("b", server))
            }
            claim = Claim("id", "b", 1, "", 0.0)
            rows["b"]._registry.add(claim)
            ask = rows["a"]._query_claimant
            assert await ask(claim.record, "w", "k") == (ClaimState.RUNNING, None)
            outcome = Outcome(201, (("x", "y"),), b"\x00\xff")
            claim.finished(outcome)
            assert await ask(claim.record, "w", "k") == (ClaimState.DONE, outcome)
            claim.nothing_sent()
            state, _ = await ask(claim.record, "w", "k")
            assert state is ClaimState.NOT_SENT
            other = Claim("forgotten", "b", 1, "", 0.0)
            assert await ask(other.record, "w", "k") == (ClaimState.UNKNOWN, None)

    run(main)
