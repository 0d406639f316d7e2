"""Rate limits: requests grants of tokens from owners, and grants them as an owner."""

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
from flamingopond_daemon.grant_encoding import (
    decode_holdings,
    decode_reply,
    decode_request,
    decode_settlements,
    encode_holdings,
    encode_reply,
    encode_request,
    encode_settlements,
)
from flamingopond_daemon.owned_buckets import OwnedBuckets
from flamingopond_daemon.peers import PeerExitedError

_log = structlog.get_logger()
LOOP_PERIOD_S = 0.25
_OWNER_RETRY_S = 0.05
_DEFAULT_RETRY_AFTER_S = 1.0


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
    """The part of the cluster that the limits use."""

    @property
    def name(self) -> str:
        """Name of this node."""

    def members(self, now: float) -> Sequence[_Member]:
        """Return the members whose heartbeats arrive."""

    def owner_of(self, resource: str) -> _Owner | None:
        """Return the owner of a resource."""

    def authority(self, resource: str, now: float) -> _Authority | None:
        """Return the epoch and end of this node's authority as the owner, if any."""

    def on_acquire(self, callback: Callable[[int, int, bytes | None], None]) -> None:
        """Call ``callback`` for each shard acquired."""

    def on_release(self, callback: Callable[[int], bytes]) -> None:
        """Call ``callback`` for each shard released."""


class LimitsPeers(Protocol):
    """The part of the peer connections that the limits use."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call a member; raises a ``FlamingopondError`` if it does not answer."""

    def serve(
        self,
        method: str,
        handler: Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]],
    ) -> None:
        """Register the handler for calls of ``method``."""


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
        max_wait_s: float = 0.44,
        on_recent_use: Callable[[str, float], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Register with ``cluster`` and ``peers``.

        ``shard_of`` maps a resource such as ``workspace/<name>`` to its shard.
        ``incarnation`` increases with each start and is below 2**43. ``max_wait_s`` is
        the target for the time to the first token, in seconds. ``on_recent_use`` is
        called with a workspace and its recent use over the whole fleet after each
        reply of an owner.
        """
        self._cluster = cluster
        self._peers = peers
        self._contracts = contracts
        self._clock = clock
        self._on_recent_use = on_recent_use
        self._allowance = Allowance(cluster.name, incarnation)
        self._shard_of = shard_of
        self._buckets = OwnedBuckets(contracts, self._shard_of_workspace, max_wait_s)
        self._waiting_tokens: dict[str, deque[int]] = {}
        self._request_locks: dict[str, anyio.Lock] = {}
        self._workspaces_without_reply: set[str] = set()
        cluster.on_acquire(self._on_acquire)
        cluster.on_release(lambda shard: self._buckets.release(shard, clock()))
        peers.serve("requestGrant", self._serve_grant_request)
        peers.serve("settle", self._serve_settlements)
        peers.serve("listHoldings", self._serve_holdings)

    async def reserve(
        self, workspace: str, tokens: int, deadline: float
    ) -> Reservation:
        """Reserve ``tokens``, waiting until ``deadline`` on the clock.

        Raises ``RequestRefusedError``: ``request_too_large`` if they exceed the
        burst, ``rate_limited`` if they are not available in time, or
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
        waiting_tokens = self._waiting_tokens.setdefault(workspace, deque())
        if not waiting_tokens:
            result = self._allowance.reserve(workspace, tokens, self._clock())
            if isinstance(result, Reservation):
                return result
        waiting_tokens.append(tokens)
        try:
            return await self._wait_for_tokens(workspace, tokens, deadline)
        finally:
            waiting_tokens.remove(tokens)
            if not waiting_tokens:
                self._waiting_tokens.pop(workspace, None)

    async def extend(
        self, reservation: Reservation, tokens: int, deadline: float
    ) -> None:
        """Add ``tokens`` to an open reservation; raises as ``reserve`` does."""
        added = await self.reserve(reservation.workspace, tokens, deadline)
        reservation.merge(added)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Close a reservation of which ``used`` tokens were spent."""
        self._allowance.settle(reservation, used, self._clock())

    async def run(self) -> None:
        """Request grants ahead, send settlements and request holdings, in a loop."""
        while True:
            async with anyio.create_task_group() as group:
                now = self._clock()
                self._allowance.expire(now)
                for workspace in self._allowance.workspaces():
                    projected = self._allowance.projected_use(workspace, now)
                    if projected > 2 * self._allowance.unspent(workspace):
                        group.start_soon(self._request_grant_ahead, workspace)
                group.start_soon(self._send_settlements)
                unreported = self._buckets.unreported_shards(now)
                for member, shards in unreported.items():
                    group.start_soon(self._request_holdings, member, shards)
                reachable = {member.name for member in self._cluster.members(now)}
                for node in self._buckets.holders() - reachable - unreported.keys():
                    group.start_soon(self._request_holdings, node, [])
            await anyio.sleep(LOOP_PERIOD_S)

    async def _wait_for_tokens(
        self, workspace: str, tokens: int, deadline: float
    ) -> Reservation:
        request_lock = self._request_locks.setdefault(workspace, anyio.Lock())
        wait_s: float | None = None
        with anyio.move_on_after(max(0.0, deadline - self._clock())):
            async with request_lock:
                while True:
                    now = self._clock()
                    result = self._allowance.reserve(workspace, tokens, now)
                    if isinstance(result, Reservation):
                        return result
                    reply = await self._request_grant(workspace, result.missing)
                    if reply is None or reply.not_owner:
                        self._workspaces_without_reply.add(workspace)
                        wait_s = None
                        await anyio.sleep(_OWNER_RETRY_S)
                    elif reply.granted < result.missing:
                        wait_s = reply.wait_s
                        if self._clock() + wait_s > deadline:
                            break
                        await anyio.sleep(max(wait_s, 0.005))
                    else:
                        # If the grant came too late to be valid, the loop asks again;
                        # yield to other tasks first.
                        await anyio.sleep(0)
        if wait_s is None:
            answered = workspace not in self._workspaces_without_reply
            if answered and request_lock.locked() and self._clock() >= deadline:
                # The owner answers, but other requests of the workspace were first.
                raise self._rate_limited(deadline, 0.0)
            raise RequestRefusedError(
                "limit_unavailable",
                "no owner of the workspace's limit answered in time",
                retry_after=_DEFAULT_RETRY_AFTER_S,
            )
        raise self._rate_limited(deadline, wait_s)

    def _rate_limited(self, deadline: float, wait_s: float) -> RequestRefusedError:
        retry_after_s = _DEFAULT_RETRY_AFTER_S if math.isinf(wait_s) else wait_s
        return RequestRefusedError(
            "rate_limited",
            "the workspace's rate and burst are used up",
            retry_after=max(0.1, retry_after_s),
        )

    async def _request_grant_ahead(self, workspace: str) -> None:
        request_lock = self._request_locks.setdefault(workspace, anyio.Lock())
        if not request_lock.locked():
            async with request_lock:
                await self._request_grant(workspace, 0)

    async def _request_grant(self, workspace: str, tokens: int) -> GrantReply | None:
        """Request a grant; return ``None`` if no owner answered."""
        owner = self._cluster.owner_of(f"workspace/{workspace}")
        if owner is None:
            return None
        now = requested_at = self._clock()
        other_waiting_tokens = sum(self._waiting_tokens.get(workspace, ())) - tokens
        projected = self._allowance.projected_use(workspace, now)
        ahead = max(
            0, projected - self._allowance.unspent(workspace), other_waiting_tokens
        )
        request = self._allowance.request_grant(workspace, tokens, now, ahead)
        if request is None:
            return None
        reply: GrantReply | None = None
        try:
            if owner.name == self._cluster.name:
                reply = self._grant(request)
            else:
                data = await self._peers.call(
                    owner.name, "requestGrant", request=encode_request(request)
                )
                reply = decode_reply(workspace, data["reply"])
        except FlamingopondError as error:
            _log.info(
                "owner did not answer grant request",
                workspace=workspace,
                error=str(error),
            )
        finally:
            if reply is None:
                self._allowance.give_up_request(workspace, request.grant_id)
        if reply is None:
            return None
        self._allowance.receive(reply, requested_at, self._clock())
        if not reply.not_owner:
            self._workspaces_without_reply.discard(workspace)
            self._allowance.acknowledge(request.settlements)
            if self._on_recent_use is not None:
                self._on_recent_use(workspace, reply.recent_use)
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
                        settlements=encode_settlements(settlements),
                    )
            except FlamingopondError as error:
                _log.info("settlements not accepted", owner=name, error=str(error))
            else:
                self._allowance.acknowledge(settlements)

    async def _request_holdings(self, member: str, shards: list[int]) -> None:
        if member == self._cluster.name:
            holdings = self._allowance.holdings(self._clock())
        else:
            requested_at = self._clock()
            try:
                data = await self._peers.call(member, "listHoldings", shards=shards)
            except PeerExitedError:
                # Otherwise its grants would block a part of the burst until the hold
                # limit, although its requests have ended.
                self._buckets.write_off(member, self._clock(), requested_at)
                _log.info("grants of an ended process are spent", member=member)
                return
            except FlamingopondError as error:
                _log.info("holdings not reported", member=member, error=str(error))
                return
            holdings = decode_holdings(data.get("holdings", ()))
        self._buckets.register_holdings(member, shards, holdings, self._clock())

    def _shard_of_workspace(self, workspace: str) -> int:
        return self._shard_of(f"workspace/{workspace}")

    def _on_acquire(self, shard: int, epoch: int, state: bytes | None) -> None:
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
        """Apply settlements; raises if this node does not own every workspace."""
        now = self._clock()
        not_owner_of_all = False
        for settlement in settlements:
            resource = f"workspace/{settlement.workspace}"
            authority = self._cluster.authority(resource, now)
            if authority is None:
                not_owner_of_all = True
            else:
                self._buckets.settle(node, settlement, authority.epoch, now)
        if not_owner_of_all:
            raise FlamingopondError("not the owner of every workspace settled")

    async def _serve_grant_request(self, params: dict[str, Any]) -> dict[str, Any]:
        reply = self._grant(decode_request(params["request"]))
        return {"reply": encode_reply(reply)}

    async def _serve_settlements(self, params: dict[str, Any]) -> dict[str, Any]:
        settlements = decode_settlements(params.get("settlements", ()))
        self._settle(params["node"], settlements)
        return {}

    async def _serve_holdings(self, params: dict[str, Any]) -> dict[str, Any]:
        shards = set(params.get("shards", ()))
        holdings = [
            holding
            for holding in self._allowance.holdings(self._clock())
            if self._shard_of_workspace(holding.workspace) in shards
        ]
        return {"holdings": encode_holdings(holdings)}
