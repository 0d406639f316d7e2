"""Rates and bursts: grants requested from owners, and granted as an owner."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Awaitable, Callable, Mapping, Sequence
from typing import Any, Protocol

import anyio
import structlog

from flamingopond_core.allowance import Allowance, Reservation
from flamingopond_core.exceptions import FlamingopondError, RequestRefusedError
from flamingopond_core.grants import GrantReply, GrantRequest, Settlement
from flamingopond_core.objects import Contract
from flamingopond_daemon.buckets import OwnedBuckets
from flamingopond_daemon.grantwire import (
    dump_holdings,
    dump_reply,
    dump_request,
    dump_settlements,
    load_holdings,
    load_reply,
    load_request,
    load_settlements,
)
from flamingopond_daemon.peers import PeerGoneError

_log = structlog.get_logger()
PERIOD_S = 0.25
_RETRY_S = 0.05
_UNAVAILABLE_RETRY_S = 1.0


class _Owner(Protocol):
    @property
    def name(self) -> str: ...


class _Authority(Protocol):
    @property
    def epoch(self) -> int: ...
    @property
    def until(self) -> float: ...


class _Member(Protocol):
    @property
    def name(self) -> str: ...


class LimitsCluster(Protocol):
    """What the limits need of the cluster."""

    @property
    def name(self) -> str:
        """Name of this node."""

    def members(self, now: float) -> Sequence[_Member]:
        """Return the members that are heard."""

    def owner_of(self, resource: str) -> _Owner | None:
        """Return the owner of a resource."""

    def authority(self, resource: str, now: float) -> _Authority | None:
        """Return this node's right to act as owner."""

    def on_acquire(self, callback: Callable[[int, int, bytes | None], None]) -> None:
        """Call ``callback`` for each shard acquired."""

    def on_release(self, callback: Callable[[int], bytes]) -> None:
        """Call ``callback`` for each shard released."""


class LimitsPeers(Protocol):
    """What the limits need of the peers."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call a member; raises a ``FlamingopondError`` if it does not answer."""

    def serve(
        self,
        method: str,
        handler: Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]],
    ) -> None:
        """Answer calls of ``method``."""


class Limits:
    """Reserves tokens for this node's requests and grants tokens as an owner."""

    def __init__(
        self,
        cluster: LimitsCluster,
        peers: LimitsPeers,
        contracts: Callable[[], Mapping[str, Contract]],
        shard_of: Callable[[str], int],
        incarnation: int,
        *,
        max_wait: float = 0.44,
        observe_use: Callable[[str, float], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Register with ``cluster`` and ``peers``.

        ``shard_of`` maps a resource such as ``workspace/<name>``. ``incarnation``
        rises with each start and is below 2**43. ``max_wait`` (seconds) is the
        first-token target. ``observe_use`` gets the workspace's recent use over
        the whole fleet with each reply.
        """
        self._cluster = cluster
        self._peers = peers
        self._contracts = contracts
        self._clock = clock
        self._observe_use = observe_use
        self._allowance = Allowance(cluster.name, incarnation)
        self._shard_of = shard_of
        self._buckets = OwnedBuckets(contracts, self._shard, max_wait)
        self._waiting: dict[str, deque[int]] = {}
        self._turns: dict[str, anyio.Lock] = {}
        self._unanswered: set[str] = set()
        cluster.on_acquire(self._acquire)
        cluster.on_release(lambda shard: self._buckets.release(shard, clock()))
        peers.serve("requestGrant", self._answer_request)
        peers.serve("settle", self._answer_settle)
        peers.serve("listHoldings", self._answer_holdings)

    async def reserve(
        self, workspace: str, tokens: int, deadline: float
    ) -> Reservation:
        """Set ``tokens`` aside, waiting until ``deadline`` on the clock.

        Raises ``RequestRefusedError``: ``request_too_large`` if they exceed the
        burst, ``rate_limited`` if they are not there in time, and
        ``limit_unavailable`` if no owner answered.
        """
        contract = self._contracts().get(workspace)
        if contract is None:
            raise RequestRefusedError("forbidden", "the workspace has no contract")
        tokens = max(1, tokens)
        if tokens > int(contract.burst):
            raise RequestRefusedError(
                "request_too_large",
                f"the request needs {tokens} tokens, the burst is {contract.burst:g}",
            )
        waiting = self._waiting.setdefault(workspace, deque())
        if not waiting:
            found = self._allowance.reserve(workspace, tokens, self._clock())
            if isinstance(found, Reservation):
                return found
        waiting.append(tokens)
        try:
            return await self._reserve_in_turn(workspace, tokens, deadline)
        finally:
            waiting.remove(tokens)
            if not waiting:
                self._waiting.pop(workspace, None)

    async def extend(
        self, reservation: Reservation, tokens: int, deadline: float
    ) -> None:
        """Add ``tokens`` to an open reservation; raises as ``reserve`` does."""
        more = await self.reserve(reservation.workspace, tokens, deadline)
        reservation.merge(more)

    def settle(self, reservation: Reservation, used: int) -> None:
        """End a reservation of which ``used`` tokens were spent."""
        self._allowance.settle(reservation, used, self._clock())

    async def run(self) -> None:
        """Request grants ahead, send settlements and ask for holdings."""
        while True:
            async with anyio.create_task_group() as group:
                now = self._clock()
                self._allowance.expire(now)
                for workspace in self._allowance.workspaces():
                    wanted = self._allowance.projected_use(workspace, now)
                    if wanted > 2 * self._allowance.unspent(workspace):
                        group.start_soon(self._ask_ahead, workspace)
                group.start_soon(self._send_settlements)
                unanswered = self._buckets.unanswered(now)
                for member, shards in unanswered.items():
                    group.start_soon(self._ask_holdings, member, shards)
                heard = {member.name for member in self._cluster.members(now)}
                for node in self._buckets.holders() - heard - unanswered.keys():
                    group.start_soon(self._ask_holdings, node, [])
            await anyio.sleep(PERIOD_S)

    async def _reserve_in_turn(
        self, workspace: str, tokens: int, deadline: float
    ) -> Reservation:
        turn = self._turns.setdefault(workspace, anyio.Lock())
        wait: float | None = None
        with anyio.move_on_after(max(0.0, deadline - self._clock())):
            async with turn:
                while True:
                    now = self._clock()
                    found = self._allowance.reserve(workspace, tokens, now)
                    if isinstance(found, Reservation):
                        return found
                    reply = await self._ask(workspace, found.missing)
                    if reply is None or reply.not_owner:
                        self._unanswered.add(workspace)
                        wait = None
                        await anyio.sleep(_RETRY_S)
                    elif reply.granted < found.missing:
                        wait = reply.wait_s
                        if self._clock() + wait > deadline:
                            break
                        await anyio.sleep(max(wait, 0.005))
                    else:
                        # A void reply leads here again, so let others run.
                        await anyio.sleep(0)
        if wait is None:
            answered = workspace not in self._unanswered
            if answered and turn.locked() and self._clock() >= deadline:
                # Others of the workspace still wait for their tokens.
                raise self._rate_limited(deadline, 0.0)
            raise RequestRefusedError(
                "limit_unavailable",
                "no owner of the workspace's limit answered in time",
                retry_after=_UNAVAILABLE_RETRY_S,
            )
        raise self._rate_limited(deadline, wait)

    def _rate_limited(self, deadline: float, wait: float) -> RequestRefusedError:
        hint = _UNAVAILABLE_RETRY_S if math.isinf(wait) else wait
        return RequestRefusedError(
            "rate_limited",
            "the workspace's rate and burst are used up",
            retry_after=max(0.1, hint),
        )

    async def _ask_ahead(self, workspace: str) -> None:
        turn = self._turns.setdefault(workspace, anyio.Lock())
        if not turn.locked():
            async with turn:
                await self._ask(workspace, 0)

    async def _ask(self, workspace: str, tokens: int) -> GrantReply | None:
        """Request a grant; ``None`` if no owner answered."""
        owner = self._cluster.owner_of(f"workspace/{workspace}")
        if owner is None:
            return None
        now = asked_at = self._clock()
        others = sum(self._waiting.get(workspace, ())) - tokens
        projected = self._allowance.projected_use(workspace, now)
        ahead = max(0, projected - self._allowance.unspent(workspace), others)
        request = self._allowance.request_grant(workspace, tokens, now, ahead)
        if request is None:
            return None
        reply: GrantReply | None = None
        try:
            if owner.name == self._cluster.name:
                reply = self._grant(request)
            else:
                data = await self._peers.call(
                    owner.name, "requestGrant", request=dump_request(request)
                )
                reply = load_reply(workspace, data["reply"])
        except FlamingopondError as error:
            _log.info("owner did not answer", workspace=workspace, error=str(error))
        finally:
            if reply is None:
                self._allowance.give_up_request(workspace, request.grant_id)
        if reply is None:
            return None
        self._allowance.receive(reply, asked_at, self._clock())
        if not reply.not_owner:
            self._unanswered.discard(workspace)
            self._allowance.acknowledge(request.settlements)
            if self._observe_use is not None:
                self._observe_use(workspace, reply.recent_use)
        return reply

    async def _send_settlements(self) -> None:
        by_owner: dict[str, list[Settlement]] = {}
        for settlement in self._allowance.settlements():
            owner = self._cluster.owner_of(f"workspace/{settlement.workspace}")
            if owner is not None:
                by_owner.setdefault(owner.name, []).append(settlement)
        for name, settlements in by_owner.items():
            try:
                if name == self._cluster.name:
                    self._settle(name, settlements)
                else:
                    await self._peers.call(
                        name,
                        "settle",
                        node=self._cluster.name,
                        settlements=dump_settlements(settlements),
                    )
            except FlamingopondError as error:
                _log.info("settlements were not accepted", owner=name, error=str(error))
            else:
                self._allowance.acknowledge(settlements)

    async def _ask_holdings(self, member: str, shards: list[int]) -> None:
        if member == self._cluster.name:
            holdings = self._allowance.holdings(self._clock())
        else:
            asked_at = self._clock()
            try:
                data = await self._peers.call(member, "listHoldings", shards=shards)
            except PeerGoneError:
                # Otherwise what it held blocks a part of the burst for as long as
                # its requests could have lasted.
                self._buckets.forget(member, self._clock(), asked_at)
                _log.info("grants of an ended process are spent", member=member)
                return
            except FlamingopondError as error:
                _log.info("holdings not reported", member=member, error=str(error))
                return
            holdings = load_holdings(data.get("holdings", ()))
        self._buckets.answer(member, shards, holdings, self._clock())

    def _shard(self, workspace: str) -> int:
        return self._shard_of(f"workspace/{workspace}")

    def _acquire(self, shard: int, epoch: int, state: bytes | None) -> None:
        now = self._clock()
        members = {member.name for member in self._cluster.members(now)}
        members.add(self._cluster.name)
        self._buckets.acquire(shard, epoch, state, members, now)

    def _grant(self, request: GrantRequest) -> GrantReply:
        now = self._clock()
        authority = self._cluster.authority(f"workspace/{request.workspace}", now)
        bucket = None
        if authority is not None:
            bucket = self._buckets.find(request.workspace, authority.epoch, now)
        if authority is None or bucket is None:
            return GrantReply(request.workspace, request.grant_id, 0, 0, not_owner=True)
        return bucket.grant(request, (authority.epoch, authority.until), now)

    def _settle(self, node: str, settlements: Sequence[Settlement]) -> None:
        """Apply settlements; raises if this node owns one of the workspaces not."""
        now = self._clock()
        refused = False
        for settlement in settlements:
            resource = f"workspace/{settlement.workspace}"
            authority = self._cluster.authority(resource, now)
            if authority is None:
                refused = True
            else:
                self._buckets.settle(node, settlement, authority.epoch, now)
        if refused:
            raise FlamingopondError("not the owner of every workspace settled")

    async def _answer_request(self, params: dict[str, Any]) -> dict[str, Any]:
        reply = self._grant(load_request(params["request"]))
        return {"reply": dump_reply(reply)}

    async def _answer_settle(self, params: dict[str, Any]) -> dict[str, Any]:
        settlements = load_settlements(params.get("settlements", ()))
        self._settle(params["node"], settlements)
        return {}

    async def _answer_holdings(self, params: dict[str, Any]) -> dict[str, Any]:
        shards = set(params.get("shards", ()))
        holdings = [
            holding
            for holding in self._allowance.holdings(self._clock())
            if self._shard(holding.workspace) in shards
        ]
        return {"holdings": dump_holdings(holdings)}
