"""Grants, settlements and holdings in the form of the peer schema."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Any

from flamingopond_core.grants import GrantReply, GrantRequest, Holding, Settlement

_NEVER_MS = 2**32 - 1


def dump_request(request: GrantRequest) -> dict[str, Any]:
    """Return the form of ``GrantRequest``."""
    return {
        "node": request.node,
        "workspace": request.workspace,
        "grantId": request.grant_id,
        "tokens": request.tokens,
        "ahead": request.ahead,
        "settlements": dump_settlements(request.settlements),
    }


def load_request(data: Mapping[str, Any]) -> GrantRequest:
    """Read the form of ``GrantRequest``."""
    return GrantRequest(
        data["node"],
        data["workspace"],
        data["grantId"],
        data["tokens"],
        data["ahead"],
        load_settlements(data.get("settlements", ())),
    )


def dump_reply(reply: GrantReply) -> dict[str, Any]:
    """Return the form of ``GrantReply``; the life is rounded down, the wait up."""
    never = math.isinf(reply.wait_s)
    return {
        "granted": reply.granted,
        "epoch": reply.epoch,
        "lifeMs": int(reply.life_s * 1000),
        "waitMs": _NEVER_MS
        if never
        else min(_NEVER_MS - 1, math.ceil(reply.wait_s * 1000)),
        "recentUse": reply.recent_use,
        "notOwner": reply.not_owner,
        "grantId": reply.grant_id,
    }


def load_reply(workspace: str, data: Mapping[str, Any]) -> GrantReply:
    """Read the form of ``GrantReply``."""
    wait = data["waitMs"]
    return GrantReply(
        workspace,
        data["grantId"],
        data["granted"],
        data["epoch"],
        data["lifeMs"] / 1000,
        math.inf if wait == _NEVER_MS else wait / 1000,
        data["recentUse"],
        data["notOwner"],
    )


def dump_settlements(settlements: Iterable[Settlement]) -> list[dict[str, Any]]:
    """Return the form of a list of ``Settlement``."""
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


def load_settlements(data: Iterable[Mapping[str, Any]]) -> tuple[Settlement, ...]:
    """Read the form of a list of ``Settlement``."""
    return tuple(
        Settlement(s["workspace"], s["epoch"], s["grantId"], s["used"], s["returned"])
        for s in data
    )


def dump_holdings(holdings: Iterable[Holding]) -> list[dict[str, Any]]:
    """Return the form of a list of ``Holding``."""
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


def load_holdings(data: Iterable[Mapping[str, Any]]) -> tuple[Holding, ...]:
    """Read the form of a list of ``Holding``."""
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
