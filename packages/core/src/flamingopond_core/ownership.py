"""Shard ownership: a node's view of the table and the next transaction to send."""

from __future__ import annotations

import math
from collections.abc import Iterable

import attrs
import xxhash

from flamingopond_core.delegation import Delegation, Delegations, Transfer
from flamingopond_core.lease_rules import ExpiryTracker, HolderAuthority
from flamingopond_core.listing import MemberListing
from flamingopond_core.membership import GossipState
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
from flamingopond_core.shards import RendezvousHash, rank_owners
from flamingopond_core.tableview import TableView

# Shards handed over per second by all nodes together.
MAX_MOVES_PER_S = 4.0
MAX_SHARDS_PER_TRANSACTION = 64
# Number of nodes that attempt to end (fence) an expired session or to change the
# roster. There are several, so that some may fail; if all of 400 nodes attempted it,
# most of their transactions would conflict.
_ELECTED_COUNT = 3


class Ownership:
    """Plans the table transactions of one node; the caller sends them.

    At most one transaction is in flight. Every transaction of a session requires
    the node's own row to be unchanged, so once a renewal is committed, no earlier
    transaction can take effect.
    """

    def __init__(self, gossip: GossipState, shards: int, process_id: str) -> None:
        """``process_id`` is an ID that no other process uses."""
        self._gossip = gossip
        self._process_id = process_id
        self._name = gossip.member.name
        self._view = TableView(shards)
        self._rendezvous = RendezvousHash(shards)
        self._shard_count = shards
        self._expiry = ExpiryTracker()
        # Until when this node may act as owner of the shards in its own rows: to the
        # end of its lease, or longer while ``HolderAuthority`` extends it.
        self._authority = HolderAuthority()
        self._delegations = Delegations()
        self._declined_by: set[str] = set()
        # Shards held by delegation in a claim that may still be committed. If such a
        # shard were also delegated to another node, both nodes could act as its owner,
        # so it is not delegated until the outcome is known.
        self._claiming: set[int] = set()
        self._incarnation: int | None = None
        self._joined_at = 0.0
        self._renewal_number = 0
        # Sending time, lease duration and roster version by renewal number.
        self._sent_renewals: dict[int, tuple[float, float, int]] = {}
        self._next_renewal_at = 0.0
        self._needs_scan = True
        self._next_node_scan_at = -math.inf
        self._outcome_unknown = False
        # Time of the renewal that was committed after a lost reply. The transaction
        # with the lost reply can no longer be committed after it.
        self._outcome_final_at: float | None = None
        self._handing_over: set[int] = set()
        self._leaving = False
        self._move_budget = 0.0
        self._move_budget_at: float | None = None

    @property
    def incarnation(self) -> int | None:
        """Incarnation number of the current session, or ``None`` without a session."""
        return self._incarnation

    @property
    def needs_scan(self) -> bool:
        """Whether the table must be scanned before anything can be planned."""
        return self._needs_scan

    @property
    def has_left(self) -> bool:
        """Whether a graceful leave is complete.

        A node that has delegated shards lets its lease expire. Ending the session
        would let others claim the shards while the delegates act.
        """
        if not self._leaving or self._delegations.held:
            return False
        return self._incarnation is None or (
            self._delegations.any_delegated and not self._owned
        )

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
            and shard not in self._handing_over
            and not self._delegations.was_delegated(shard, row.epoch)
        }

    @property
    def delegated(self) -> tuple[Delegation, ...]:
        """Shards that this node holds by delegation."""
        return tuple(self._delegations.held.values())

    @property
    def accepts_delegations(self) -> bool:
        """Whether this node can become a delegate."""
        return self._incarnation is not None and not self._leaving

    def next_delegate(self, now: float) -> str | None:
        """Return the member to offer shards to next, if there is one."""
        by_delegate = self._shards_by_delegate(now)
        return max(by_delegate, key=lambda name: len(by_delegate[name]), default=None)

    def record_declined(self, name: str) -> None:
        """Record that a member took no shards or did not answer the offer.

        An offer transfers nothing, so its shards may be offered to others.
        """
        self._declined_by.add(name)

    def delegate_to(self, name: str, now: float) -> tuple[Transfer, ...]:
        """Stop acting for the shards meant for ``name``, and return them.

        They are returned only once. If the reply is lost, they have no owner until
        the store is reachable again.
        """
        return self._delegations.delegate(
            self._shards_by_delegate(now).get(name, ()), now
        )

    def accept(self, transfers: Iterable[Transfer], requested_at: float) -> None:
        """Act as owner of the shards that were delegated to this node.

        ``transfers`` is the reply to the request sent at ``requested_at``.
        """
        for transfer in transfers:
            self._delegations.accept(transfer, requested_at)
        self._drop_delegations()

    def _shards_by_delegate(
        self, now: float
    ) -> dict[str, list[tuple[Delegation, HolderAuthority]]]:
        if not self._leaving:
            return {}
        delegable = []
        # Shards are delegated only after the lease has ended. After a restart, this
        # node's next process treats the lease as expired at once (``process_ended`` in
        # ``ExpiryTracker.observe``) and relies on no delegate acting before its end.
        if self._incarnation is not None and now >= self._authority.lease_end:
            delegable = [
                (
                    Delegation(shard, epoch, self._name, self._incarnation, 0),
                    self._authority,
                )
                for shard, epoch in self._owned.items()
            ]
        for delegation in self._delegations.held.values():
            authority = self._delegations.authority(delegation.shard)
            if authority is not None and delegation.shard not in self._claiming:
                delegable.append((delegation, authority))
        names = self.eligible_owners(now) - self._declined_by
        by_delegate: dict[str, list[tuple[Delegation, HolderAuthority]]] = {}
        for delegation, authority in delegable:
            if names and now < authority.until:
                target = rank_owners(names, delegation.shard)[0]
                by_delegate.setdefault(target, []).append((delegation, authority))
        return by_delegate

    def _drop_delegations(self) -> None:
        for shard, delegation in self._delegations.held.items():
            row = self._view.shards.get(shard)
            if row is None or row.epoch < delegation.epoch:
                continue
            if row.epoch > delegation.epoch or self._view.session_ended(row):
                self._delegations.drop(shard)

    def leave(self) -> None:
        """Start a graceful leave: hand over all shards, then end the session."""
        self._leaving = True

    def extend_authority(self, now: float) -> None:
        """Extend the authority beyond the lease where the majority allows it.

        Call it at least twice per ``Timings.extension_s``, the time by which one call
        extends the authority.
        """
        self._authority.extend(self._gossip, now)
        self._delegations.extend(self._gossip, now)

    def active_epoch(self, shard: int, now: float) -> tuple[int, float] | None:
        """Return the epoch and the end of authority if this node may act as owner."""
        delegation = self._delegations.held.get(shard)
        authority = self._delegations.authority(shard)
        if delegation is not None and authority is not None:
            if now >= authority.until:
                return None
            return delegation.epoch, authority.until
        row = self._view.shards.get(shard)
        if row is None or shard in self._handing_over or not self._is_own(row):
            return None
        if self._delegations.was_delegated(shard, row.epoch):
            return None
        if now >= self._authority.until:
            return None
        return row.epoch, self._authority.until

    def owner(self, shard: int) -> ShardRow | None:
        """Return the shard's row, or ``None`` if its owner's session has ended."""
        row = self._view.shards.get(shard)
        return None if row is None or self._view.session_ended(row) else row

    def eligible_owners(self, now: float) -> set[str]:
        """Return the names of the nodes that may be given shards."""
        names = set()
        heard = self._gossip.heard(now)
        for member in self._gossip.roster.members:
            row = self._view.nodes.get(member.name)
            if member == self._gossip.member:
                if self._incarnation is not None and not self._leaving:
                    names.add(member.name)
            elif (
                member in heard
                and row is not None
                and not row.ended
                and not row.leaving
                and row.address == member.address
                # Right after a store outage every lease looks expired, so only
                # a confirmed expiry counts.
                and not self._expiry.is_confirmed(node_key(member.name))
            ):
                names.add(member.name)
        return names

    def needs_node_rows(self, now: float) -> bool:
        """Tell whether the next scan should read the node rows.

        Renewals of 400 nodes change 100 rows a second, so node rows are read once
        per lease, but at every scan while a member is silent or its lease expired.
        """
        if self._needs_scan or now >= self._next_node_scan_at:
            return True
        heard = self._gossip.heard(now)
        for member in self._gossip.roster.members:
            row = self._view.nodes.get(member.name)
            if row is None:
                if member in heard:
                    return True
            elif not row.ended and (
                member not in heard or self._expiry.is_expired(node_key(member.name))
            ):
                return True
        return False

    def apply_scan(
        self,
        rows: Iterable[tuple[str, bytes | None, int]],
        sent_at: float,
        now: float,
        *,
        complete: bool = True,
        nodes: bool = True,
    ) -> None:
        """Apply a scan of the rows changed since the last one.

        ``complete`` marks the last part of a scan. Without ``nodes`` the scan left
        out the node rows.
        """
        self._gossip.record_store_contact(sent_at)
        for key, value, version in rows:
            self._apply_row(key, value, version)
        self._drop_delegations()
        if not complete:
            return
        roster = self._gossip.roster
        if ROSTER_KEY in self._view.versions:
            version = self._view.versions[ROSTER_KEY]
            self._expiry.observe(ROSTER_KEY, version, sent_at, now, roster)
        if not nodes:
            return
        for name, node in self._view.nodes.items():
            key = node_key(name)
            if node.ended:
                self._expiry.forget(key)
            elif name != self._name or node.process_id != self._process_id:
                # This process has bound the address, so an earlier process at the
                # same address has ended.
                process_ended = Member(name, node.address) == self._gossip.member
                self._expiry.observe(
                    key,
                    self._view.versions[key],
                    sent_at,
                    now,
                    roster,
                    process_ended=process_ended,
                )
        self._next_node_scan_at = now + roster.timings.lease_s
        self._needs_scan = False
        if self._outcome_final_at is not None and sent_at >= self._outcome_final_at:
            self._outcome_final_at = None
            self._outcome_unknown = False
            self._handing_over.clear()
            self._claiming.clear()

    def advance_desired_owners(self, now: float) -> bool:
        """Do one step of computing the desired owners; return whether it is complete.

        Until then ``plan`` only renews the lease. Callers repeat this, with other
        work in between, so that a large computation does not block them.
        """
        return self._incarnation is None or self._rendezvous.advance(
            self.eligible_owners(now)
        )

    def plan(self, now: float, member_listing: MemberListing) -> Plan | None:
        """Return the next transaction to send, or ``None``."""
        if self._needs_scan:
            return None
        if self._incarnation is None:
            return self._plan_roster(now, member_listing) or self._plan_join(
                now, member_listing
            )
        if self._outcome_unknown and self._outcome_final_at is None:
            return self._plan_renewal()
        if now >= self._next_renewal_at:
            return self._plan_renewal()
        if self._outcome_unknown:
            return None
        eligible = self.eligible_owners(now)
        if not self._rendezvous.advance(eligible):
            return None
        claim = self._plan_claim_delegated()
        if claim is not None:
            return claim
        if self._leaving:
            if not self._view.nodes[self._name].leaving:
                return self._plan_renewal()
            return self._plan_leave()
        return (
            self._plan_fence(now, member_listing, eligible)
            or self._plan_claim(now, eligible)
            or self._plan_roster(now, member_listing)
            or self._plan_hand_over(now, eligible)
        )

    def on_send(self, plan: Plan, now: float) -> None:
        """Record that ``plan`` is about to be sent."""
        if plan.kind in (PlanKind.JOIN, PlanKind.RENEW):
            roster = self._gossip.roster
            self._sent_renewals[self._renewal_number + 1] = (
                now,
                roster.timings.lease_s,
                plan.roster_version,
            )
            self._renewal_number += 1
        elif plan.kind is PlanKind.HAND_OVER:
            self._handing_over.update(plan.shards)
        elif plan.kind is PlanKind.CLAIM:
            self._claiming.update(plan.shards)
        elif plan.kind is PlanKind.LEAVE:
            self._authority.revoke()

    def on_commit(self, plan: Plan, version: int, sent_at: float, now: float) -> None:
        """Record that ``plan``, sent at ``sent_at``, was committed as ``version``."""
        self._gossip.record_store_contact(sent_at)
        for write in plan.writes:
            self._apply_row(write.key, write.value, version)
        self._drop_delegations()
        if plan.kind in (PlanKind.JOIN, PlanKind.RENEW):
            if plan.kind is PlanKind.JOIN:
                self._joined_at = now
            if self._outcome_unknown:
                self._outcome_final_at = now
                self._needs_scan = True
        elif plan.kind is PlanKind.HAND_OVER:
            self._handing_over.difference_update(plan.shards)
        elif plan.kind is PlanKind.CLAIM:
            self._claiming.difference_update(plan.shards)

    def on_reject(self, plan: Plan, *, condition_failed: bool) -> None:
        """Record that ``plan`` changed nothing.

        ``condition_failed``: the store rejected it because a condition did not hold.
        """
        if condition_failed:
            self._needs_scan = True
        if plan.kind is PlanKind.HAND_OVER:
            self._handing_over.difference_update(plan.shards)
        elif plan.kind is PlanKind.CLAIM:
            self._claiming.difference_update(plan.shards)

    def on_unknown_outcome(self) -> None:
        """Record that a reply was lost, so the plan may still be committed.

        After the next committed renewal it can no longer be committed, and a scan
        sent after that renewal shows whether it was.
        """
        self._needs_scan = True
        self._outcome_unknown = True
        self._outcome_final_at = None

    def _plan_claim_delegated(self) -> Plan | None:
        """Plan to claim in the table the shards held by delegation."""
        if self._incarnation is None:
            return None
        shards = []
        for shard, delegation in self._delegations.held.items():
            row = self._view.shards.get(shard)
            if row is not None and row.epoch == delegation.epoch:
                shards.append(shard)
        if not shards:
            return None
        return self._view.plan_transfer(
            PlanKind.CLAIM,
            shards[:MAX_SHARDS_PER_TRANSACTION],
            self._name,
            self._name,
            self._incarnation,
        )

    def _is_own(self, row: ShardRow) -> bool:
        return (
            self._incarnation is not None
            and row.owner == self._name
            and row.incarnation == self._incarnation
        )

    def _apply_row(self, key: str, value: bytes | None, version: int) -> None:
        if not self._view.apply(key, value, version):
            return
        if key == ROSTER_KEY and value is not None:
            self._gossip.adopt(Roster.from_bytes(value))
        elif key == node_key(self._name):
            self._apply_own_row(self._view.nodes[self._name])
        elif key.startswith(SHARD_PREFIX) and value is not None:
            # The previous owner may be leaving. Its node row must be read first:
            # this node could otherwise hand the shard straight back.
            row = ShardRow.from_bytes(value)
            if row.owner == self._name and row.source not in ("", self._name):
                self._next_node_scan_at = -math.inf

    def _apply_own_row(self, row: NodeRow) -> None:
        if row.process_id != self._process_id or row.ended:
            self._incarnation = None
            self._authority.revoke()
            self._handing_over.clear()
            self._outcome_unknown = False
            self._outcome_final_at = None
            return
        self._incarnation = row.incarnation
        sent = self._sent_renewals.get(row.renewal_number)
        if sent is not None:
            sent_at, lease_s, roster_version = sent
            self._authority.renew(sent_at, lease_s, roster_version)
            self._next_renewal_at = sent_at + lease_s / 3
        self._sent_renewals = {
            n: s for n, s in self._sent_renewals.items() if n > row.renewal_number
        }

    def _plan_lease(self, kind: PlanKind, incarnation: int) -> Plan:
        # The roster row must be unchanged as well. Claimants with a new roster wait
        # once for the leases under the old roster to end. A lease that started under
        # the old roster later could overlap with their claims.
        key = node_key(self._name)
        address = self._gossip.member.address
        row = NodeRow(
            incarnation,
            address,
            self._process_id,
            self._renewal_number + 1,
            leaving=self._leaving,
        )
        return Plan(
            kind,
            (self._view.unchanged(key), self._view.unchanged(ROSTER_KEY)),
            (Write(key, row.to_bytes()),),
            self._name,
            roster_version=self._gossip.roster.version,
        )

    def _plan_join(self, now: float, member_listing: MemberListing) -> Plan | None:
        member = self._gossip.member
        if self._leaving or member not in self._gossip.roster.members:
            return None
        key = node_key(self._name)
        row = self._view.nodes.get(self._name)
        # Wait out an earlier session even if its process is known to have ended: it
        # may have delegated shards during an outage.
        if (
            row is not None
            and not row.ended
            and not self._expiry.may_replace(
                key, self._view.versions[key], self._gossip, member_listing.gone, now
            )
        ):
            return None
        incarnation = 1 if row is None else row.incarnation + 1
        return self._plan_lease(PlanKind.JOIN, incarnation)

    def _plan_renewal(self) -> Plan:
        assert self._incarnation is not None
        return self._plan_lease(PlanKind.RENEW, self._incarnation)

    def _plan_fence(
        self, now: float, member_listing: MemberListing, eligible: set[str]
    ) -> Plan | None:
        for name, row in self._view.nodes.items():
            key = node_key(name)
            if name == self._name or row.ended or not self._expiry.is_expired(key):
                continue
            version = self._view.versions[key]
            if not self._expiry.may_replace(
                key, version, self._gossip, member_listing.gone, now
            ):
                continue
            if self._elected(f"{key}/{version}", eligible, now):
                ended_row = attrs.evolve(row, ended=True)
                return Plan(
                    PlanKind.FENCE,
                    (
                        Condition(key, version),
                        self._view.unchanged(ROSTER_KEY),
                        self._view.unchanged(node_key(self._name)),
                    ),
                    (Write(key, ended_row.to_bytes()),),
                    name,
                )
        return None

    def _plan_claim(self, now: float, eligible: set[str]) -> Plan | None:
        members = self._gossip.roster.members
        # Shards without a row are claimed once all members are up, or ``lease_s`` after
        # this node joined. Members that start a little later then get their share at
        # once, not by hand-overs.
        claims_new = (
            len(eligible) == len(members)
            or now >= self._joined_at + self._gossip.roster.timings.lease_s
        )
        shards: list[int] = []
        for shard in range(self._shard_count):
            row = self._view.shards.get(shard)
            unowned = claims_new if row is None else self._view.session_ended(row)
            if unowned and self._rendezvous.owner(shard) == self._name:
                shards.append(shard)
                if len(shards) == MAX_SHARDS_PER_TRANSACTION:
                    break
        if not shards or self._incarnation is None:
            return None
        return self._view.plan_transfer(
            PlanKind.CLAIM, shards, self._name, self._name, self._incarnation
        )

    def _plan_hand_over(self, now: float, eligible: set[str]) -> Plan | None:
        if self._next_node_scan_at == -math.inf:
            return None
        if self._move_budget_at is not None:
            rate = MAX_MOVES_PER_S / max(1, len(eligible) - 1)
            self._move_budget += rate * (now - self._move_budget_at)
        self._move_budget_at = now
        self._move_budget = min(self._move_budget, MAX_MOVES_PER_S)
        if self._move_budget < 1:
            return None
        plan = self._plan_move(int(self._move_budget))
        if plan is not None:
            self._move_budget -= len(plan.shards)
        return plan

    def _plan_leave(self) -> Plan | None:
        plan = self._plan_move(MAX_SHARDS_PER_TRANSACTION)
        if plan is not None or self._delegations.any_delegated:
            return plan
        key = node_key(self._name)
        row = self._view.nodes[self._name]
        ended_row = attrs.evolve(row, ended=True)
        return Plan(
            PlanKind.LEAVE,
            (self._view.unchanged(key),),
            (Write(key, ended_row.to_bytes()),),
            self._name,
        )

    def _plan_move(self, limit: int) -> Plan | None:
        """Plan a hand-over of up to ``limit`` shards to one node."""
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
        return self._view.plan_transfer(
            PlanKind.HAND_OVER, shards, self._name, target, incarnation
        )

    def _plan_roster(self, now: float, member_listing: MemberListing) -> Plan | None:
        roster = self._gossip.roster
        version = self._view.versions.get(ROSTER_KEY, 0)
        desired = member_listing.desired_members(roster)
        if version == 0:
            # A node that knows a roster only from its peers must read the row first.
            if roster is not EMPTY_ROSTER or self._gossip.member not in desired:
                return None
            return self._roster_change(roster.next_version(desired), version)
        if desired == roster.members and not roster.previous:
            return None
        if not desired or not self._expiry.may_replace(
            ROSTER_KEY, version, self._gossip, member_listing.gone, now
        ):
            return None
        all_gone = not set(roster.all_members) - member_listing.gone
        if not all_gone and not self._elected(
            f"roster/{version}", self.eligible_owners(now), now
        ):
            return None
        return self._roster_change(roster.next_version(desired), version)

    def _roster_change(self, roster: Roster, version: int) -> Plan:
        return Plan(
            PlanKind.ROSTER,
            (Condition(ROSTER_KEY, version),),
            (Write(ROSTER_KEY, roster.to_bytes()),),
            ROSTER_KEY,
        )

    def _elected(self, key: str, eligible: set[str], now: float) -> bool:
        # The choice changes every 10 s, in case the chosen nodes cannot act.
        prefix = f"{key}/{int(now // 10)}/"
        ranked = sorted(
            eligible,
            key=lambda name: xxhash.xxh64_intdigest(f"{prefix}{name}".encode()),
        )
        return self._name in ranked[:_ELECTED_COUNT]
