"""Cluster membership and shard ownership: gossip, leases, claims and hand-over.

The core package takes all decisions. This module does the I/O that they require and
tells other subsystems which shards this node acquired and released.
"""

from __future__ import annotations

import math
import time
import uuid
from collections.abc import Awaitable, Callable, Mapping
from random import Random
from typing import Any, Protocol

import anyio
import attrs

from flamingopond_core import records
from flamingopond_core.exceptions import (
    OutcomeUnknownError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from flamingopond_core.lease_rules import hears_majority, in_outage
from flamingopond_core.listing import MemberListingTracker
from flamingopond_core.membership import NO_CONTACT_MS, GossipState
from flamingopond_core.ownership import Ownership
from flamingopond_core.records import Plan, PlanKind
from flamingopond_core.roster import Member, Roster
from flamingopond_core.shards import rank_owners, shard_of
from flamingopond_daemon.peers import PeerUnavailableError
from flamingopond_daemon.shard_delegation import ShardDelegation
from flamingopond_daemon.shard_handover import (
    AcquireCallback,
    ReleaseCallback,
    ShardHandover,
)
from flamingopond_platform.table import Condition, Table, Write
from flamingopond_platform.vms import VmList, VmState

MAX_BACK_OFF_S = 30.0
GOSSIP_FANOUT = 2
_FIRST_BACK_OFF_S = 0.25
_ROSTER_TOPIC = "roster"
_SCAN_PAGE_ROWS = 1000
_SHARED_PREFIXES = (records.ROSTER_KEY, records.SHARD_PREFIX)
_ALL_PREFIXES = (*_SHARED_PREFIXES, records.NODE_PREFIX)


@attrs.frozen
class Owner:
    """Owner of a resource; ``epoch`` is the fencing token of its shard."""

    name: str
    epoch: int


@attrs.frozen
class Authority:
    """Right to act as owner until ``until`` on this node's monotonic clock."""

    epoch: int
    until: float


class PeerCalls(Protocol):
    """The part of ``Peers`` that the cluster uses."""

    @property
    def listening(self) -> anyio.Event:
        """Set as soon as the peer port is bound."""

    def set_addresses(self, addresses: Mapping[str, str]) -> None:
        """Replace the address of each member."""

    def serve(
        self,
        method: str,
        handler: Callable[[dict[str, Any]], Awaitable[Mapping[str, Any]]],
    ) -> None:
        """Register the handler for calls of ``method``."""

    async def call(self, member: str, method: str, **params: Any) -> dict[str, Any]:
        """Call ``method`` of ``member``."""


class EventRecorder(Protocol):
    """The part of ``Events`` that the cluster uses."""

    def stamp(self) -> int:
        """Return a new timestamp of the hybrid logical clock."""

    @property
    def clock(self) -> Any:
        """The hybrid logical clock."""

    def record(self, kind: str, **fields: Any) -> None:
        """Record an event."""


@attrs.frozen
class _Topic:
    publish: Callable[[], bytes]
    receive: Callable[[str, bytes], None]


class Cluster:
    """This node as a cluster member and an owner of shards."""

    def __init__(
        self,
        member: Member,
        peers: PeerCalls,
        table: Table,
        vms: VmList | None,
        events: EventRecorder,
        *,
        seeds: Mapping[str, str],
        shards: int = 256,
        rng: Random | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Create the cluster; ``seeds`` maps node names to ``ip:port``.

        Until it knows a roster, the node gossips with the seeds and the VMs of the
        platform's VM list. Without ``vms``, the seeds and this node are used as
        that list.
        """
        self._member = member
        self._peers = peers
        self._table = table
        self._vms = vms
        self._events = events
        self._seeds = dict(seeds)
        self._shards = shards
        self._rng = rng or Random()
        self._clock = clock
        self._gossip = GossipState(member, clock())
        self._ownership = Ownership(self._gossip, shards, uuid.uuid4().hex[:12])
        self._listing_tracker = MemberListingTracker()
        self._topics: dict[str, _Topic] = {}
        self._shard_handover = ShardHandover(member.name)
        self._delegation = ShardDelegation(
            member.name,
            self._ownership,
            self._shard_handover,
            peers,
            clock,
            events.record,
            self._update_held_shards,
        )
        self.add_topic(
            "delegates",
            self._delegation.index.to_bytes,
            lambda _, body: self._delegation.index.merge(body),
        )
        self._read_revision: Callable[[], tuple[int, float | None]] = lambda: (0, None)
        self._on_revision: Callable[[str, int, float | None], None] | None = None
        self._exchanges_in_flight: set[str] = set()
        self._guess_count = -1
        self._cursors: dict[tuple[str, ...], int] = {}
        self._next_scan_at = -math.inf
        self._store_failing_since: float | None = None
        self._wake = anyio.Event()
        self._left = anyio.Event()

    @property
    def name(self) -> str:
        """Name of this node."""
        return self._member.name

    @property
    def roster(self) -> Roster:
        """Newest roster known."""
        return self._gossip.roster

    def members(self, now: float) -> tuple[Member, ...]:
        """Return the roster members with a recent heartbeat, this node included."""
        return tuple(sorted(self._gossip.heard(now)))

    def owner_of(self, resource: str) -> Owner | None:
        """Return the owner of a resource's shard, as far as this node knows.

        During a store outage it may be a delegate of the owner in the table.
        """
        shard = shard_of(resource, self._shards)
        row = self._ownership.owner(shard)
        delegate = self._delegation.index.find(shard)
        if delegate is not None:
            name, epoch = delegate
            if epoch == row.epoch if row is not None else not self._cursors:
                return Owner(name, epoch)
        if row is None and not self._cursors:
            return self._guess_owner(shard)
        return None if row is None else Owner(row.owner, row.epoch)

    def _guess_owner(self, shard: int) -> Owner | None:
        """Return another member on each call, the desired owner first, with epoch 0.

        A node that starts while the table is down cannot read the owners. A member
        that is not the owner says so in its reply.
        """
        others = [m.name for m in self.members(self._clock()) if m.name != self.name]
        if not others:
            return None
        ranked = rank_owners(others, shard)
        self._guess_count += 1
        return Owner(ranked[self._guess_count % len(ranked)], 0)

    def authority(self, resource: str, now: float) -> Authority | None:
        """Return the right to act as owner of the resource ``now``, if held."""
        return self.shard_authority(shard_of(resource, self._shards), now)

    def shard_authority(self, shard: int, now: float) -> Authority | None:
        """Return the right to act as owner of the shard ``now``, if held."""
        active = self._ownership.active_epoch(shard, now)
        if active is None or self._shard_handover.acquired_epoch(shard) != active[0]:
            return None
        return Authority(*active)

    def hears_majority(self, now: float) -> bool:
        """Tell whether a majority of the roster has a recent heartbeat."""
        return hears_majority(self._gossip, now)

    def store_outage(self, now: float) -> bool:
        """Tell whether a majority knows that no node has reached the store recently."""
        return in_outage(self._gossip, now)

    def record_store_contact(self, now: float) -> None:
        """Record that the table answered a call sent at ``now``."""
        self._gossip.record_store_contact(now)

    def on_acquire(self, callback: AcquireCallback) -> None:
        """Call ``callback(shard, epoch, state)`` for each shard that is acquired.

        All nodes must register their callbacks in the same order: the n-th
        ``on_acquire`` callback gets the state of the n-th ``on_release`` callback.
        """
        self._shard_handover.on_acquire(callback)

    def on_release(self, callback: ReleaseCallback) -> None:
        """Call ``callback(shard)``, which returns its state, on release of a shard."""
        self._shard_handover.on_release(callback)

    def add_topic(
        self,
        name: str,
        publish: Callable[[], bytes],
        receive: Callable[[str, bytes], None],
    ) -> None:
        """Add ``publish()`` to each gossip message, unless it is empty.

        ``receive(sender, body)`` gets what other nodes publish.
        """
        self._topics[name] = _Topic(publish, receive)

    def set_revision_handlers(
        self,
        publish: Callable[[], tuple[int, float | None]],
        receive: Callable[[str, int, float | None], None],
    ) -> None:
        """Gossip the configuration revision and when it was last confirmed.

        ``receive(sender, revision, confirmed_at)`` gets a lower bound of the
        time, or ``None`` if the message's delay has no known bound.
        """
        self._read_revision = publish
        self._on_revision = receive

    async def run(self) -> None:
        """Run until cancelled; ``Peers.run_server`` must run at the same time."""
        self._peers.serve("exchange", self._handle_exchange)
        self._peers.serve("handOver", self._handle_hand_over)
        self._peers.serve("offerShards", self._delegation.handle_offer)
        self._peers.serve("takeShards", self._delegation.handle_take)
        self._set_addresses()
        # Once the port is bound, no earlier process of this VM can be running.
        await self._peers.listening.wait()
        async with anyio.create_task_group() as group:
            group.start_soon(self._gossip_loop, group)
            group.start_soon(self._table_loop, group)
            group.start_soon(self._vm_list_loop)

    async def leave(self) -> None:
        """Hand over all shards and end the lease; returns when that is done.

        If no node can reach the store, the shards are delegated to peers instead.
        """
        self._ownership.leave()
        self._wake.set()
        async with anyio.create_task_group() as group:
            group.start_soon(self._delegate_shards)
            await self._left.wait()
            group.cancel_scope.cancel()

    async def _delegate_shards(self) -> None:
        await self._delegation.delegate_all(self.roster.timings.gossip_period_s)
        self._left.set()

    # Gossip

    async def _gossip_loop(self, group: anyio.abc.TaskGroup) -> None:
        await anyio.sleep(self._rng.uniform(0, self.roster.timings.gossip_period_s))
        while True:
            self._ownership.extend_authority(self._clock())
            self._delegation.index.next_round()
            names = {m.name for m in self.roster.all_members}
            if not names:
                listed = {m.name for m in self._listing_tracker.member_listing.live}
                names = listed | set(self._seeds)
            names -= {self.name, *self._exchanges_in_flight}
            for name in self._rng.sample(sorted(names), min(GOSSIP_FANOUT, len(names))):
                group.start_soon(self._exchange, name)
            await anyio.sleep(self.roster.timings.gossip_period_s)

    async def _exchange(self, name: str) -> None:
        self._exchanges_in_flight.add(name)
        requested_at = self._clock()
        try:
            # Heartbeat ages are only used from replies, which bound their delay.
            request = self._build_message(requested_at, ages=b"")
            reply = await self._peers.call(name, "exchange", message=request)
        except PeerUnavailableError:
            return
        finally:
            self._exchanges_in_flight.discard(name)
        message = reply["message"]
        now = self._clock()
        self._receive(message)
        self._gossip.merge(
            message["rosterVersion"],
            message["ages"],
            message["contactAgeMs"],
            requested_at,
            now,
        )
        if self._on_revision is not None:
            age_ms = message["confirmedAgeMs"]
            confirmed_at = (
                None if age_ms == NO_CONTACT_MS else requested_at - age_ms / 1000
            )
            self._on_revision(message["sender"], message["revision"], confirmed_at)
        self._ownership.extend_authority(now)
        # Another node has reached the store: cut the back-off short.
        if self._store_failing_since is not None and (
            self._gossip.newest_contact > self._store_failing_since
        ):
            self._wake.set()

    async def _handle_exchange(self, params: dict[str, Any]) -> dict[str, Any]:
        request = params["message"]
        self._receive(request)
        if self._on_revision is not None:
            self._on_revision(request["sender"], request["revision"], None)
        now = self._clock()
        message = self._build_message(now, ages=self._gossip.encode(now))
        if request["rosterVersion"] < self.roster.version:
            body = self.roster.to_bytes()
            message["topics"].append({"name": _ROSTER_TOPIC, "body": body})
        return {"message": message}

    def _build_message(self, now: float, ages: bytes) -> dict[str, Any]:
        revision, confirmed_at = self._read_revision()
        confirmed_age_ms = NO_CONTACT_MS
        if confirmed_at is not None:
            age_ms = max(0, math.ceil((now - confirmed_at) * 1000))
            confirmed_age_ms = min(NO_CONTACT_MS - 1, age_ms)
        bodies = ((name, topic.publish()) for name, topic in self._topics.items())
        return {
            "sender": self.name,
            "incarnation": self._ownership.incarnation or 0,
            "rosterVersion": self.roster.version,
            "ages": ages,
            "revision": revision,
            "confirmedAgeMs": confirmed_age_ms,
            "clock": self._events.stamp(),
            "topics": [{"name": name, "body": body} for name, body in bodies if body],
            "mature": self._gossip.mature(now),
            "contactAgeMs": self._gossip.contact_age_ms(now),
        }

    def _receive(self, message: Mapping[str, Any]) -> None:
        self._events.clock.observe(message["clock"])
        for topic in message["topics"]:
            if topic["name"] == _ROSTER_TOPIC:
                if self._gossip.adopt(Roster.from_bytes(topic["body"])):
                    self._set_addresses()
            elif topic["name"] in self._topics:
                receive = self._topics[topic["name"]].receive
                receive(message["sender"], topic["body"])

    # Table

    async def _table_loop(self, group: anyio.abc.TaskGroup) -> None:
        # Jitter: nodes that start together must not read and claim all at once.
        period_s = self.roster.timings.renewal_period_s
        await anyio.sleep(self._rng.uniform(0, period_s))
        back_off_s = 0.0
        while True:
            self._wake = anyio.Event()
            try:
                await self._table_step(group)
            except PlatformUnavailableError as error:
                if self._store_failing_since is None:
                    self._events.record("store.unreachable", reason=str(error))
                    self._store_failing_since = self._clock()
                back_off_s = min(MAX_BACK_OFF_S, max(_FIRST_BACK_OFF_S, 2 * back_off_s))
                delay_s = back_off_s * self._rng.uniform(0.5, 1.0)
            else:
                if self._store_failing_since is not None:
                    self._events.record("store.reachable")
                    self._store_failing_since = None
                back_off_s = 0.0
                delay_s = self.roster.timings.gossip_period_s
            woken_early = False
            with anyio.move_on_after(delay_s):
                await self._wake.wait()
                woken_early = True
            if woken_early and self._store_failing_since is not None:
                # All nodes learn at about the same time that the store is back.
                self._store_failing_since = self._clock()
                back_off_s = 0.0
                spread_s = self.roster.timings.extension_s / 2
                await anyio.sleep(self._rng.uniform(0, spread_s))

    async def _table_step(self, group: anyio.abc.TaskGroup) -> None:
        """Scan the table if it is due, then commit the plans of the core."""
        if self._clock() >= self._next_scan_at or self._ownership.needs_scan:
            await self._scan()
        self._update_held_shards(self._clock())
        while not self._ownership.needs_scan:
            plan = self._ownership.plan(
                self._clock(), self._listing_tracker.member_listing
            )
            if plan is None and self._ownership.advance_desired_owners(self._clock()):
                break
            if plan is None:
                # Let other tasks of the event loop run between the steps.
                await anyio.sleep(0)
                continue
            await self._commit(plan, group)
            self._update_held_shards(self._clock())
        if self._ownership.has_left:
            self._left.set()

    async def _scan(self) -> None:
        version = self.roster.version
        # Node rows are read last: they show whether a commit whose reply was lost
        # took effect.
        await self._scan_rows(_SHARED_PREFIXES, nodes=False)
        if self._ownership.needs_node_rows(self._clock()):
            await self._scan_rows(_ALL_PREFIXES, nodes=True)
        if self.roster.version != version:
            self._set_addresses()
            self._events.record("roster.adopted", version=self.roster.version)
        self._next_scan_at = self._clock() + self.roster.timings.renewal_period_s

    async def _scan_rows(self, prefixes: tuple[str, ...], *, nodes: bool) -> None:
        more = True
        while more:
            sent_at = self._clock()
            after = self._cursors.get(prefixes, 0)
            try:
                with anyio.fail_after(self.roster.timings.renewal_period_s):
                    result = await self._table.scan(prefixes, after=after)
            except TimeoutError as error:
                raise PlatformUnavailableError("table scan timed out") from error
            # A full page may not be the last one.
            more = len(result.rows) >= _SCAN_PAGE_ROWS
            self._ownership.apply_scan(
                ((row.key, row.value, row.version) for row in result.rows),
                sent_at,
                self._clock(),
                complete=not more,
                nodes=nodes,
            )
            self._cursors[prefixes] = max(after, result.version)

    async def _commit(self, plan: Plan, group: anyio.abc.TaskGroup) -> None:
        sent_at = self._clock()
        self._ownership.on_send(plan, sent_at)
        if plan.kind is PlanKind.HAND_OVER:
            self._shard_handover.release(plan.shards, sent_at)
        try:
            with anyio.fail_after(self.roster.timings.renewal_period_s):
                version = await self._table.commit(
                    [Condition(c.key, c.version) for c in plan.conditions],
                    [Write(w.key, w.value) for w in plan.writes],
                )
        except TransactionConflictError:
            self._gossip.record_store_contact(sent_at)
            self._ownership.on_reject(plan, condition_failed=True)
        except PlatformUnavailableError:
            self._ownership.on_reject(plan, condition_failed=False)
            raise
        except (OutcomeUnknownError, TimeoutError) as error:
            self._ownership.on_unknown_outcome()
            self._events.record("table.outcome_unknown", plan=plan.kind)
            raise PlatformUnavailableError("reply of the table was lost") from error
        else:
            self._ownership.on_commit(plan, version, sent_at, self._clock())
            if plan.kind is not PlanKind.RENEW:
                self._events.record(
                    f"ownership.{plan.kind}",
                    subject=plan.subject,
                    shards=list(plan.shards),
                )
            if plan.kind is PlanKind.HAND_OVER:
                for shard in plan.shards:
                    group.start_soon(self._send_state, plan.subject, shard)
            if plan.kind is PlanKind.ROSTER:
                self._set_addresses()

    # Shards

    def _update_held_shards(self, now: float) -> None:
        held = self._ownership.held
        for shard, epoch in self._shard_handover.apply_held(
            held, self._ownership.owner, now
        ):
            self._events.record("shard.lost", shard=shard, epoch=epoch)

    async def _send_state(self, target: str, shard: int) -> None:
        row = self._ownership.owner(shard)
        if row is None or row.owner != target:
            return
        state = self._shard_handover.pop_state(shard, row.epoch - 1)
        if state is None:
            return
        try:
            await self._peers.call(
                target, "handOver", shard=shard, epoch=row.epoch, state=state
            )
        except PeerUnavailableError as error:
            self._events.record("shard.state_lost", shard=shard, reason=str(error))

    async def _handle_hand_over(self, params: dict[str, Any]) -> dict[str, Any]:
        now = self._clock()
        if self._shard_handover.store_state(
            params["shard"], params["epoch"], params["state"], now
        ):
            self._next_scan_at = -math.inf
            self._wake.set()
        return {}

    # VM list of the platform

    async def _vm_list_loop(self) -> None:
        if self._vms is None:
            members = {Member(n, a) for n, a in self._seeds.items()} | {self._member}
            self._listing_tracker.update(members, (), self.roster, self._clock())
            return
        period_s = 1.0
        back_off_s = 0.0
        await anyio.sleep(self._rng.uniform(0, period_s))
        while True:
            try:
                with anyio.fail_after(period_s * 2):
                    vms = await self._vms.list_vms()
            except (PlatformUnavailableError, TimeoutError):
                back_off_s = min(MAX_BACK_OFF_S, max(period_s, 2 * back_off_s))
            else:
                back_off_s = 0.0
                entry_vms = [vm for vm in vms if vm.role == "entry"]
                self._listing_tracker.update(
                    [
                        Member(vm.name, vm.address)
                        for vm in entry_vms
                        if vm.state is VmState.LIVE
                    ],
                    [
                        Member(vm.name, vm.address)
                        for vm in entry_vms
                        if vm.state is VmState.LEAVING
                    ],
                    self.roster,
                    self._clock(),
                )
                self._set_addresses()
            await anyio.sleep(max(period_s, back_off_s * self._rng.uniform(0.5, 1.0)))

    def _set_addresses(self) -> None:
        addresses = dict(self._seeds)
        member_listing = self._listing_tracker.member_listing
        for member in (
            *member_listing.live,
            *member_listing.leaving,
            *self.roster.all_members,
        ):
            addresses[member.name] = member.address
        addresses.pop(self.name, None)
        self._peers.set_addresses(addresses)
