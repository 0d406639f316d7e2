"""Who owns which shard: this node's view of the table and its next transaction."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs
import xxhash

from flamingopond_core.delegation import Delegation, Delegations, Transfer
from flamingopond_core.listing import Listing
from flamingopond_core.membership import GossipState
from flamingopond_core.reachability import HolderAuthority, LapseWatch
from flamingopond_core.records import (
    ROSTER_KEY,
    SHARD_PREFIX,
    Condition,
    NodeRow,
    Plan,
    PlanKind,
    ShardRow,
    Write,
    node_key,
)
from flamingopond_core.roster import EMPTY_ROSTER, Member, Roster
from flamingopond_core.shards import Rendezvous, rank_owners
from flamingopond_core.tableview import TableView

MOVES_PER_SECOND = 4.0
BATCH = 64
# Several nodes try each fence and roster change, so that one may fail; all of
# 400 would only meet conflicts.
_CANDIDATES = 3


class Ownership:
    """Decides every transaction of one node; carries out none.

    One transaction is open at a time. Every transaction of a session requires
    the node's own row to be unchanged, so after a renewal no earlier one can
    still take effect.
    """

    def __init__(self, gossip: GossipState, shards: int, process: str) -> None:
        """``process`` is a string that no other process uses."""
        self._gossip = gossip
        self._process = process
        self._name = gossip.member.name
        self._view = TableView(shards)
        self._rendezvous = Rendezvous(shards)
        self._count = shards
        self._watch = LapseWatch()
        self._authority = HolderAuthority()
        self._delegations = Delegations()
        self._declined: set[str] = set()
        # Delegated shards in a claim that may still be committed. To pass one on
        # would leave two holders, so they stay here until the claim is settled.
        self._taking: set[int] = set()
        self._session: int | None = None
        self._joined_at = 0.0
        self._renewal = 0
        self._sent: dict[int, tuple[float, float, int]] = {}
        self._next_renewal = 0.0
        self._needs_scan = True
        self._next_node_scan = -math.inf
        self._unsettled = False
        self._settled_at: float | None = None
        self._releasing: set[int] = set()
        self._leaving = False
        self._budget = 0.0
        self._budget_at: float | None = None

    @property
    def session(self) -> int | None:
        """Incarnation of the present session; ``None`` without one."""
        return self._session

    @property
    def needs_scan(self) -> bool:
        """Whether nothing can be planned before the next scan."""
        return self._needs_scan

    @property
    def left(self) -> bool:
        """Whether a graceful leave is complete.

        A node that has delegated shards leaves its row to lapse: to end it would
        let others claim the shards while the delegates act.
        """
        if not self._leaving or self._delegations.held:
            return False
        return self._session is None or (self._delegations.given and not self._owned)

    @property
    def held(self) -> dict[int, int]:
        """Epoch of each shard that this node owns by the table or by delegation."""
        delegated = self._delegations.held.values()
        return {d.shard: d.epoch for d in delegated} | self._owned

    @property
    def _owned(self) -> dict[int, int]:
        return {
            shard: row.epoch
            for shard, row in self._view.shards.items()
            if self._is_own(row)
            and shard not in self._releasing
            and not self._delegations.was_given(shard, row.epoch)
        }

    @property
    def delegated(self) -> tuple[Delegation, ...]:
        """Shards that this node holds by delegation."""
        return tuple(self._delegations.held.values())

    @property
    def accepts(self) -> bool:
        """Whether this node can become a delegate."""
        return self._session is not None and not self._leaving

    def delegate(self, now: float) -> str | None:
        """Return the member that should be offered shards next, if there is one."""
        wanted = self._wanted_delegates(now)
        return max(wanted, key=lambda name: len(wanted[name]), default=None)

    def declined(self, name: str) -> None:
        """Note that a member took no shards, or did not answer the offer.

        The offer carries nothing, so other members may be offered the rest.
        """
        self._declined.add(name)

    def give(self, name: str, now: float) -> tuple[Transfer, ...]:
        """Stop acting for the shards meant for ``name``, and return them.

        The answer is formed once. If it is lost, its shards have no owner until
        the store is back.
        """
        return self._delegations.give(self._wanted_delegates(now).get(name, ()), now)

    def accept(self, transfers: Iterable[Transfer], asked_at: float) -> None:
        """Act for the shards of an answer that was asked for at ``asked_at``."""
        for transfer in transfers:
            self._delegations.accept(transfer, asked_at)
        self._drop_delegations()

    def _wanted_delegates(
        self, now: float
    ) -> dict[str, list[tuple[Delegation, HolderAuthority]]]:
        if not self._leaving:
            return {}
        givable = []
        # A restarted process relies on it that a shard was only passed on after
        # the lease had ended.
        if self._session is not None and now >= self._authority.lease_end:
            givable = [
                (
                    Delegation(shard, epoch, self._name, self._session, 0),
                    self._authority,
                )
                for shard, epoch in self._owned.items()
            ]
        for delegation in self._delegations.held.values():
            authority = self._delegations.authority(delegation.shard)
            if authority is not None and delegation.shard not in self._taking:
                givable.append((delegation, authority))
        names = self.live(now) - self._declined
        wanted: dict[str, list[tuple[Delegation, HolderAuthority]]] = {}
        for delegation, authority in givable:
            if names and now < authority.until:
                target = rank_owners(names, delegation.shard)[0]
                wanted.setdefault(target, []).append((delegation, authority))
        return wanted

    def _drop_delegations(self) -> None:
        for shard, delegation in self._delegations.held.items():
            row = self._view.shards.get(shard)
            if row is None or row.epoch < delegation.epoch:
                continue
            if row.epoch > delegation.epoch or self._view.is_dead(row):
                self._delegations.drop(shard)

    def leave(self) -> None:
        """Hand over everything from now on, and end the session."""
        self._leaving = True

    def extend(self, now: float) -> None:
        """Apply rule O; call at least twice per extension."""
        self._authority.extend(self._gossip, now)
        self._delegations.extend(self._gossip, now)

    def epoch(self, shard: int, now: float) -> tuple[int, float] | None:
        """Return epoch and end of authority if this node may act as owner now."""
        delegation = self._delegations.held.get(shard)
        authority = self._delegations.authority(shard)
        if delegation is not None and authority is not None:
            if now >= authority.until:
                return None
            return delegation.epoch, authority.until
        row = self._view.shards.get(shard)
        if row is None or shard in self._releasing or not self._is_own(row):
            return None
        if self._delegations.was_given(shard, row.epoch):
            return None
        if now >= self._authority.until:
            return None
        return row.epoch, self._authority.until

    def owner(self, shard: int) -> ShardRow | None:
        """Return the owner by the table if its session has not ended."""
        row = self._view.shards.get(shard)
        return None if row is None or self._view.is_dead(row) else row

    def live(self, now: float) -> set[str]:
        """Return the names that may own shards."""
        found = set()
        heard = self._gossip.heard(now)
        for member in self._gossip.roster.members:
            row = self._view.nodes.get(member.name)
            if member == self._gossip.member:
                if self._session is not None and not self._leaving:
                    found.add(member.name)
            elif (
                member in heard
                and row is not None
                and not row.lapsed
                and not row.leaving
                and row.address == member.address
                # Just after an outage for all, every lease is judged lapsed.
                and not self._watch.confirmed(node_key(member.name))
            ):
                found.add(member.name)
        return found

    def wants_nodes(self, now: float) -> bool:
        """Tell whether the next scan should read the node rows.

        Renewals of 400 nodes make 100 new rows a second, so the rows are read
        once per lease, but at every scan while a member is silent or judged.
        """
        if self._needs_scan or now >= self._next_node_scan:
            return True
        heard = self._gossip.heard(now)
        for member in self._gossip.roster.members:
            row = self._view.nodes.get(member.name)
            if row is None:
                if member in heard:
                    return True
            elif not row.lapsed and (
                member not in heard or self._watch.judged(node_key(member.name))
            ):
                return True
        return False

    def observe(
        self,
        rows: Iterable[tuple[str, bytes | None, int]],
        sent_at: float,
        now: float,
        *,
        complete: bool = True,
        nodes: bool = True,
    ) -> None:
        """Take in a scan of the changes since the last one; ``complete`` ends it.

        Without ``nodes`` the scan left out the node rows.
        """
        self._gossip.store_contact(sent_at)
        for key, value, version in rows:
            self._apply(key, value, version)
        self._drop_delegations()
        if not complete:
            return
        roster = self._gossip.roster
        if ROSTER_KEY in self._view.versions:
            version = self._view.versions[ROSTER_KEY]
            self._watch.observe(ROSTER_KEY, version, sent_at, now, roster)
        if not nodes:
            return
        for name, node in self._view.nodes.items():
            key = node_key(name)
            if node.lapsed:
                self._watch.forget(key)
            elif name != self._name or node.process != self._process:
                # A process at the same address replaces an earlier one that is
                # gone: it could not have bound the port otherwise.
                ended = Member(name, node.address) == self._gossip.member
                self._watch.observe(
                    key,
                    self._view.versions[key],
                    sent_at,
                    now,
                    roster,
                    ended=ended,
                )
        self._next_node_scan = now + roster.timings.lease
        self._needs_scan = False
        if self._settled_at is not None and sent_at >= self._settled_at:
            self._settled_at = None
            self._unsettled = False
            self._releasing.clear()
            self._taking.clear()

    def prepare(self, now: float) -> bool:
        """Do one step of the computation of desired owners.

        Returns whether it is complete. ``plan`` only renews the lease before, so
        callers should repeat this, with other work in between.
        """
        return self._session is None or self._rendezvous.advance(self.live(now))

    def plan(self, now: float, listing: Listing) -> Plan | None:
        """Return the next transaction to attempt; ``None`` if there is none."""
        if self._needs_scan:
            return None
        if self._session is None:
            return self._plan_roster(now, listing) or self._plan_join(now, listing)
        if self._unsettled and self._settled_at is None:
            return self._plan_renewal()
        if now >= self._next_renewal:
            return self._plan_renewal()
        if self._unsettled:
            return None
        live = self.live(now)
        if not self._rendezvous.advance(live):
            return None
        take = self._plan_take()
        if take is not None:
            return take
        if self._leaving:
            if not self._view.nodes[self._name].leaving:
                return self._plan_renewal()
            return self._plan_leave()
        return (
            self._plan_fence(now, listing, live)
            or self._plan_claim(now, live)
            or self._plan_roster(now, listing)
            or self._plan_hand_over(now, live)
        )

    def begin(self, plan: Plan, now: float) -> None:
        """Note that ``plan`` is about to be sent."""
        if plan.kind in (PlanKind.JOIN, PlanKind.RENEW):
            roster = self._gossip.roster
            self._sent[self._renewal + 1] = (
                now,
                roster.timings.lease,
                plan.roster_version,
            )
            self._renewal += 1
        elif plan.kind is PlanKind.HAND_OVER:
            self._releasing.update(plan.shards)
        elif plan.kind is PlanKind.CLAIM:
            self._taking.update(plan.shards)
        elif plan.kind is PlanKind.LEAVE:
            self._authority.revoke()

    def committed(self, plan: Plan, version: int, sent_at: float, now: float) -> None:
        """Note that ``plan``, sent at ``sent_at``, was committed as ``version``."""
        self._gossip.store_contact(sent_at)
        for write in plan.writes:
            self._apply(write.key, write.value, version)
        self._drop_delegations()
        if plan.kind in (PlanKind.JOIN, PlanKind.RENEW):
            if plan.kind is PlanKind.JOIN:
                self._joined_at = now
            if self._unsettled:
                self._settled_at = now
                self._needs_scan = True
        elif plan.kind is PlanKind.HAND_OVER:
            self._releasing.difference_update(plan.shards)
        elif plan.kind is PlanKind.CLAIM:
            self._taking.difference_update(plan.shards)

    def refused(self, plan: Plan, *, reached: bool) -> None:
        """Note that ``plan`` changed nothing; ``reached``: a condition failed."""
        if reached:
            self._needs_scan = True
        if plan.kind is PlanKind.HAND_OVER:
            self._releasing.difference_update(plan.shards)
        elif plan.kind is PlanKind.CLAIM:
            self._taking.difference_update(plan.shards)

    def unknown(self) -> None:
        """Note that a reply was lost, so the plan may still be committed.

        A renewal shuts it out, and a scan after that tells what happened.
        """
        self._needs_scan = True
        self._unsettled = True
        self._settled_at = None

    def _plan_take(self) -> Plan | None:
        """Plan to own delegated shards by the table."""
        if self._session is None:
            return None
        wanted = []
        for shard, delegation in self._delegations.held.items():
            row = self._view.shards.get(shard)
            if row is not None and row.epoch == delegation.epoch:
                wanted.append(shard)
        if not wanted:
            return None
        return self._view.transfer(
            PlanKind.CLAIM, wanted[:BATCH], self._name, self._name, self._session
        )

    def _is_own(self, row: ShardRow) -> bool:
        return (
            self._session is not None
            and row.owner == self._name
            and row.incarnation == self._session
        )

    def _apply(self, key: str, value: bytes | None, version: int) -> None:
        if not self._view.apply(key, value, version):
            return
        if key == ROSTER_KEY and value is not None:
            self._gossip.adopt(Roster.from_bytes(value))
        elif key == node_key(self._name):
            self._apply_own(self._view.nodes[self._name])
        elif key.startswith(SHARD_PREFIX) and value is not None:
            # The giver may be leaving. Its row must be read before this node
            # finds that the giver should own the shard, and hands it back.
            row = ShardRow.from_bytes(value)
            if row.owner == self._name and row.source not in ("", self._name):
                self._next_node_scan = -math.inf

    def _apply_own(self, row: NodeRow) -> None:
        if row.process != self._process or row.lapsed:
            self._session = None
            self._authority.revoke()
            self._releasing.clear()
            self._unsettled = False
            self._settled_at = None
            return
        self._session = row.incarnation
        sent = self._sent.get(row.renewal)
        if sent is not None:
            sent_at, lease, roster_version = sent
            self._authority.renew(sent_at, lease, roster_version)
            self._next_renewal = sent_at + lease / 3
        self._sent = {n: s for n, s in self._sent.items() if n > row.renewal}

    def _lease_plan(self, kind: PlanKind, incarnation: int) -> Plan:
        # Requiring the newest roster keeps leases from being granted under an
        # old one after claimants of later versions have outwaited it.
        key = node_key(self._name)
        address = self._gossip.member.address
        row = NodeRow(
            incarnation,
            address,
            self._process,
            self._renewal + 1,
            leaving=self._leaving,
        )
        return Plan(
            kind,
            (self._view.row_is(key), self._view.row_is(ROSTER_KEY)),
            (Write(key, row.to_bytes()),),
            self._name,
            roster_version=self._gossip.roster.version,
        )

    def _plan_join(self, now: float, listing: Listing) -> Plan | None:
        member = self._gossip.member
        if self._leaving or member not in self._gossip.roster.members:
            return None
        key = node_key(self._name)
        row = self._view.nodes.get(self._name)
        # An earlier session must be outwaited even if its process is known to have
        # ended, because it may have delegated shards in an outage.
        if (
            row is not None
            and not row.lapsed
            and not self._watch.ready(
                key, self._view.versions[key], self._gossip, listing.gone, now
            )
        ):
            return None
        incarnation = 1 if row is None else row.incarnation + 1
        return self._lease_plan(PlanKind.JOIN, incarnation)

    def _plan_renewal(self) -> Plan:
        assert self._session is not None
        return self._lease_plan(PlanKind.RENEW, self._session)

    def _plan_fence(self, now: float, listing: Listing, live: set[str]) -> Plan | None:
        for name, row in self._view.nodes.items():
            key = node_key(name)
            if name == self._name or row.lapsed or not self._watch.judged(key):
                continue
            version = self._view.versions[key]
            if not self._watch.ready(key, version, self._gossip, listing.gone, now):
                continue
            if self._elected(f"{key}/{version}", live, now):
                ended = attrs.evolve(row, lapsed=True)
                return Plan(
                    PlanKind.FENCE,
                    (
                        Condition(key, version),
                        self._view.row_is(ROSTER_KEY),
                        self._view.row_is(node_key(self._name)),
                    ),
                    (Write(key, ended.to_bytes()),),
                    name,
                )
        return None

    def _plan_claim(self, now: float, live: set[str]) -> Plan | None:
        members = self._gossip.roster.members
        # At the first start the members that come up a little later get their
        # part at once, not by steps.
        first = (
            len(live) == len(members)
            or now >= self._joined_at + self._gossip.roster.timings.lease
        )
        wanted: list[int] = []
        for shard in range(self._count):
            row = self._view.shards.get(shard)
            free = first if row is None else self._view.is_dead(row)
            if free and self._rendezvous.owner(shard) == self._name:
                wanted.append(shard)
                if len(wanted) == BATCH:
                    break
        if not wanted or self._session is None:
            return None
        return self._view.transfer(
            PlanKind.CLAIM, wanted, self._name, self._name, self._session
        )

    def _plan_hand_over(self, now: float, live: set[str]) -> Plan | None:
        if self._next_node_scan == -math.inf:
            return None
        if self._budget_at is not None:
            rate = MOVES_PER_SECOND / max(1, len(live) - 1)
            self._budget += rate * (now - self._budget_at)
        self._budget_at = now
        self._budget = min(self._budget, MOVES_PER_SECOND)
        if self._budget < 1:
            return None
        plan = self._move(int(self._budget))
        if plan is not None:
            self._budget -= len(plan.shards)
        return plan

    def _plan_leave(self) -> Plan | None:
        plan = self._move(BATCH)
        if plan is not None or self._delegations.given:
            return plan
        key = node_key(self._name)
        row = self._view.nodes[self._name]
        ended = attrs.evolve(row, lapsed=True)
        return Plan(
            PlanKind.LEAVE,
            (self._view.row_is(key),),
            (Write(key, ended.to_bytes()),),
            self._name,
        )

    def _move(self, limit: int) -> Plan | None:
        """Plan to hand over up to ``limit`` shards to one node."""
        moves: dict[str, list[int]] = {}
        for shard in self._owned:
            target = self._rendezvous.owner(shard)
            if target is not None and target != self._name:
                moves.setdefault(target, []).append(shard)
        if not moves:
            return None
        target = max(moves, key=lambda name: len(moves[name]))
        incarnation = self._view.nodes[target].incarnation
        shards = moves[target][:limit]
        return self._view.transfer(
            PlanKind.HAND_OVER, shards, self._name, target, incarnation
        )

    def _plan_roster(self, now: float, listing: Listing) -> Plan | None:
        roster = self._gossip.roster
        version = self._view.versions.get(ROSTER_KEY, 0)
        wanted = listing.wanted(roster)
        if version == 0:
            # A node that knows a roster from its peers only must read it first.
            if roster is not EMPTY_ROSTER or self._gossip.member not in wanted:
                return None
            return self._roster_plan(roster.change(wanted), version)
        if wanted == roster.members and not roster.previous:
            return None
        if not wanted or not self._watch.ready(
            ROSTER_KEY, version, self._gossip, listing.gone, now
        ):
            return None
        dead = not set(roster.order) - listing.gone
        if not dead and not self._elected(f"roster/{version}", self.live(now), now):
            return None
        return self._roster_plan(roster.change(wanted), version)

    def _roster_plan(self, roster: Roster, version: int) -> Plan:
        return Plan(
            PlanKind.ROSTER,
            (Condition(ROSTER_KEY, version),),
            (Write(ROSTER_KEY, roster.to_bytes()),),
            ROSTER_KEY,
        )

    def _elected(self, key: str, live: set[str], now: float) -> bool:
        # The choice changes with time, in case those chosen cannot act.
        prefix = f"{key}/{int(now // 10)}/"
        ranked = sorted(
            live, key=lambda name: xxhash.xxh64_intdigest(f"{prefix}{name}".encode())
        )
        return self._name in ranked[:_CANDIDATES]
