"""Converts grants, settlements and holdings to and from the peer schema."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from flamingopond_core.grants import GrantReply, GrantRequest, Holding, Settlement

# Wire value of an infinite wait.
_INFINITE_MS = 2**32 - 1


def encode_request(request: GrantRequest) -> dict[str, Any]:
    """Return the schema fields of a grant request."""
    return {
        "node": request.node,
        "workspace": request.workspace,
        "grantId": request.grant_id,
        "tokens": request.tokens,
        "ahead": request.ahead,
        "settlements": encode_settlements(request.settlements),
    }


def decode_request(data: Mapping[str, Any]) -> GrantRequest:
    """Return the grant request with these schema fields."""
    return GrantRequest(
        data["node"],
        data["workspace"],
        data["grantId"],
        data["tokens"],
        data["ahead"],
        decode_settlements(data.get("settlements", ())),
    )


def encode_reply(reply: GrantReply) -> dict[str, Any]:
    """Return the schema fields of a reply; life is rounded down, wait up."""
    infinite = math.isinf(reply.wait_s)
    return {
        "granted": reply.granted,
        "epoch": reply.epoch,
        "lifeMs": int(reply.life_s * 1000),
        "waitMs": _INFINITE_MS
        if infinite
        else min(_INFINITE_MS - 1, math.ceil(reply.wait_s * 1000)),
        "recentUse": reply.recent_use,
        "notOwner": reply.not_owner,
        "grantId": reply.grant_id,
    }


def decode_reply(workspace: str, data: Mapping[str, Any]) -> GrantReply:
    """Return the reply with these schema fields."""
    wait_ms = data["waitMs"]
    return GrantReply(
        workspace,
        data["grantId"],
        data["granted"],
        data["epoch"],
        data["lifeMs"] / 1000,
        math.inf if wait_ms == _INFINITE_MS else wait_ms / 1000,
        data["recentUse"],
        data["notOwner"],
    )


def encode_settlements(settlements: Iterable[Settlement]) -> list[dict[str, Any]]:
    """Return the schema fields of each settlement."""
    return [
        {
            "workspace": s.workspace,
            "epoch": s.epoch,
            "grantId": s.grant_id,
            "used": s.used,
            "returned": s.returned,
        }
        for s in settlements
    ]


def decode_settlements(data: Iterable[Mapping[str, Any]]) -> tuple[Settlement, ...]:
    """Return the settlements with these schema fields."""
    return tuple(
        Settlement(s["workspace"], s["epoch"], s["grantId"], s["used"], s["returned"])
        for s in data
    )


def encode_holdings(holdings: Iterable[Holding]) -> list[dict[str, Any]]:
    """Return the schema fields of each holding."""
    return [
        {
            "workspace": h.workspace,
            "epoch": h.epoch,
            "grantId": h.grant_id,
            "unspent": h.unspent,
            "reserved": h.reserved,
            "used": h.used,
            "returned": h.returned,
        }
        for h in holdings
    ]


def decode_holdings(data: Iterable[Mapping[str, Any]]) -> tuple[Holding, ...]:
    """Return the holdings with these schema fields."""
    return tuple(
        Holding(
            h["workspace"],
            h["epoch"],
            h["grantId"],
            h["unspent"],
            h["reserved"],
            h["used"],
            h["returned"],
        )
        for h in data
    )
