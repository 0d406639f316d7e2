"""Deterministic simulation of nodes, a table and gossip, with faults.

Each node has its own clock offset. Paused nodes keep their state and process
pending messages when they resume. The ownership check uses simulated real time, so
it includes paused nodes that still consider themselves owners.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

from flamingopond_core.listing import MemberListingTracker
from flamingopond_core.membership import GossipState
from flamingopond_core.ownership import Ownership
from flamingopond_core.records import NODE_PREFIX, Plan
from flamingopond_core.roster import Member

SHARDS = 6
CALL_TIMEOUT_S = 1.0


class Process:
    """A daemon process: its state, and whether a table call is in flight."""

    def __init__(self, simulation: Simulation, member: Member, serial: int) -> None:
        """Start the process of ``member`` with a random clock offset."""
        self.member = member
        self.clock_offset = simulation.rng.uniform(-1e6, 1e6)
        self.gossip = GossipState(member, simulation.now + self.clock_offset)
        self.ownership = Ownership(self.gossip, SHARDS, f"p{serial}")
        self.listing_tracker = MemberListingTracker()
        self.in_flight = 0
        self.offer_in_flight = False
        self.retry_at = -1e18
        self.scan_cursors = {True: 0, False: 0}

    def time(self, simulation: Simulation) -> float:
        """Return the current time on the node's own clock."""
        return simulation.now + self.clock_offset


class Simulation:
    """Runs processes, identified by node name, in simulated time."""

    def __init__(self, seed: int, names: str = "abcde") -> None:
        """Start one process for each name; ``seed`` determines all delays."""
        self.rng = Random(seed)
        self.now = 0.0
        self.processes: dict[str, Process] = {}
        self.paused_until: dict[str, float] = {}
        self.link_cut_until: dict[frozenset[str], float] = {}
        self.table_down_until: dict[str, float] = {}
        self.lossy_until = 0.0
        self.slow_until = 0.0
        self.late_until = 0.0
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.version = 0
        self.unowned_count = 0
        self.count_unowned = False
        self.longest_unowned_checks = 0
        self._unowned_checks: dict[int, int] = {}
        self._epochs: dict[int, int] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = 0
        self.listed = {name: Member(name, f"{name}:1") for name in names}
        for name in names:
            self.start(name)
        self.at(0.1, self.check)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Run ``action`` at the real time ``when``."""
        self._serial += 1
        heapq.heappush(self._queue, (when, self._serial, action))

    def run(self, until: float) -> None:
        """Run all events up to the real time ``until``."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def start(self, name: str) -> None:
        """Start a process on the VM of that name, replacing an earlier one."""
        self._serial += 1
        process = Process(self, self.listed[name], self._serial)
        self.processes[name] = process
        self.paused_until.pop(name, None)
        self.at(self.now + self.rng.uniform(0, 0.25), lambda: self.tick(process))

    def kill(self, name: str) -> None:
        """Kill the process of that name."""
        self.processes.pop(name, None)

    def leave(self, name: str) -> None:
        """Start a graceful leave of that process; its VM then starts another."""
        if name in self.processes:
            self.processes[name].ownership.leave()

    def offer(self, process: Process, name: str) -> None:
        """Offer shards to ``name``, which then requests them; messages may be lost."""
        target = self.processes.get(name)
        link = frozenset((process.member.name, name))
        process.offer_in_flight = True
        concluded = False

        def conclude(*, accepted: bool) -> None:
            nonlocal concluded
            if not concluded:
                concluded = True
                process.offer_in_flight = False
                if not accepted:
                    process.ownership.record_declined(name)

        deadline = self.now + CALL_TIMEOUT_S
        self.at(
            deadline, lambda: self.deliver(process, lambda: conclude(accepted=False))
        )
        if (
            target is None
            or self.link_cut_until.get(link, 0) > self.now
            or self.is_lost()
        ):
            return

        def on_offer() -> None:
            if not target.ownership.accepts_delegations:
                self.deliver(process, lambda: conclude(accepted=False))
                return
            requested_at = target.time(self)
            if not self.is_lost():
                self.deliver(process, lambda: on_request(requested_at))

        def on_request(requested_at: float) -> None:
            transfers = process.ownership.delegate_to(name, process.time(self))
            if self.is_lost():
                return

            def receive() -> None:
                target.ownership.accept(transfers, requested_at)
                self.deliver(process, lambda: conclude(accepted=bool(transfers)))

            self.deliver(target, receive)

        self.deliver(target, on_offer)

    def restart_if_left(self, process: Process) -> bool:
        """Replace the process by a new one if its leave is complete."""
        name = process.member.name
        if not process.ownership.has_left:
            return False
        self.kill(name)
        delay_s = self.rng.uniform(0.5, 3)
        self.at(
            self.now + delay_s,
            lambda: (
                name in self.listed and name not in self.processes and self.start(name)
            ),
        )
        return True

    def check(self) -> None:
        """Assert at most one owner per shard, and epochs that never decrease."""
        for shard in range(SHARDS):
            acting = {
                name: epoch[0]
                for name, p in self.processes.items()
                if (epoch := p.ownership.active_epoch(shard, p.time(self)))
            }
            assert len(acting) <= 1, f"{self.now}: shard {shard} owned by {acting}"
            for epoch in acting.values():
                assert epoch >= self._epochs.get(shard, 0), "epoch went back"
                self._epochs[shard] = epoch
            self._unowned_checks[shard] = (
                0 if acting else self._unowned_checks.get(shard, 0) + 1
            )
            if self.table_down_until:
                self.longest_unowned_checks = max(
                    self.longest_unowned_checks, self._unowned_checks[shard]
                )
            if self.count_unowned and not acting:
                self.unowned_count += 1
        self.at(self.now + 0.1, self.check)

    def tick(self, process: Process) -> None:
        """Run one round of the node's loops, unless the process has ended."""
        name = process.member.name
        if self.processes.get(name) is not process:
            return
        if self.paused_until.get(name, 0) > self.now:
            self.at(self.paused_until[name], lambda: self.tick(process))
            return
        now = process.time(self)
        process.listing_tracker.update(
            self.listed.values(), (), process.gossip.roster, now
        )
        process.ownership.extend_authority(now)
        if self.restart_if_left(process):
            return
        delegate = process.ownership.next_delegate(now)
        if delegate is not None and not process.offer_in_flight:
            self.offer(process, delegate)
        others = [n for n in self.processes if n != name]
        for other in self.rng.sample(others, min(2, len(others))):
            self.pull_gossip(process, other)
        if not process.in_flight and now >= process.retry_at:
            plan = process.ownership.plan(now, process.listing_tracker.member_listing)
            if plan is None:
                self.scan(process)
            else:
                self.commit(process, plan)
        self.at(self.now + 0.25, lambda: self.tick(process))

    def random_delay(self) -> float:
        """Return a random message delay."""
        is_slow = self.now < self.slow_until and self.rng.random() < 0.4
        return self.rng.uniform(0, 4.0 if is_slow else 0.05)

    def is_lost(self) -> bool:
        """Return at random whether a message is lost."""
        return self.now < self.lossy_until and self.rng.random() < 0.4

    def deliver(self, process: Process, action: Callable[[], None]) -> None:
        """Run ``action`` after a message delay, or once the process resumes."""

        def arrive() -> None:
            name = process.member.name
            if self.processes.get(name) is not process:
                return
            if self.paused_until.get(name, 0) > self.now:
                self.at(self.paused_until[name] + 1e-6, arrive)
            else:
                action()

        self.at(self.now + self.random_delay(), arrive)

    def pull_gossip(self, process: Process, name: str) -> None:
        """Request the gossip state of ``name`` and merge the reply."""
        link = frozenset((process.member.name, name))
        target = self.processes[name]
        requested_at = process.time(self)
        if self.link_cut_until.get(link, 0) > self.now or self.is_lost():
            return

        def answer() -> None:
            gossip, encoded_at = target.gossip, target.time(self)
            roster = gossip.roster
            ages = gossip.encode(encoded_at)
            contact = gossip.contact_age_ms(encoded_at)

            def receive() -> None:
                process.gossip.adopt(roster)
                process.gossip.merge(
                    roster.version, ages, contact, requested_at, process.time(self)
                )

            if not self.is_lost():
                self.deliver(process, receive)

        self.deliver(target, answer)

    def can_reach_table(self, process: Process) -> bool:
        """Tell whether the node can reach the table now."""
        down_until = max(
            self.table_down_until.get("*", 0),
            self.table_down_until.get(process.member.name, 0),
        )
        return down_until <= self.now

    def scan(self, process: Process) -> None:
        """Read the rows changed since the last scan."""
        if not self.can_reach_table(process):
            return
        process.in_flight = 1
        sent_at = process.time(self)
        nodes = process.ownership.needs_node_rows(sent_at)

        def read() -> None:
            rows = [
                (key, value, version)
                for key, (value, version) in self.rows.items()
                if version > process.scan_cursors[nodes]
                and (nodes or not key.startswith(NODE_PREFIX))
            ]
            scan_cursor = self.version

            def receive() -> None:
                process.in_flight = 0
                process.scan_cursors[nodes] = scan_cursor
                process.ownership.apply_scan(
                    rows, sent_at, process.time(self), nodes=nodes
                )
                process.retry_at = process.time(self) + self.rng.uniform(0, 0.8)

            self.deliver(process, receive)

        self.at(self.now + self.random_delay(), read)

    def commit(self, process: Process, plan: Plan) -> None:
        """Send a transaction; it may be applied late, or its reply may be lost."""
        sent_at = process.time(self)
        ownership = process.ownership
        ownership.on_send(plan, sent_at)
        if not self.can_reach_table(process):
            ownership.on_reject(plan, condition_failed=False)
            process.retry_at = sent_at + 0.5
            return
        process.in_flight = 1
        process.retry_at = sent_at
        is_late = self.now < self.late_until and self.rng.random() < 0.3
        concluded = False

        def conclude(action: Callable[[], None]) -> Callable[[], None]:
            def once() -> None:
                nonlocal concluded
                if not concluded:
                    concluded = True
                    process.in_flight = 0
                    action()

            return once

        def apply() -> None:
            holds = all(
                self.rows.get(c.key, (b"", 0))[1] == c.version for c in plan.conditions
            )
            if holds:
                self.version += 1
                for write in plan.writes:
                    self.rows[write.key] = (write.value, self.version)
            version = self.version
            if self.is_lost():
                return
            if holds:
                self.deliver(
                    process,
                    conclude(
                        lambda: ownership.on_commit(
                            plan, version, sent_at, process.time(self)
                        )
                    ),
                )
            else:
                self.deliver(
                    process,
                    conclude(lambda: ownership.on_reject(plan, condition_failed=True)),
                )

        delay_s = self.rng.uniform(1, 12) if is_late else self.random_delay()
        self.at(self.now + delay_s, apply)
        deadline = self.now + CALL_TIMEOUT_S

        def time_out() -> None:
            self.deliver(process, conclude(lambda: ownership.on_unknown_outcome()))

        self.at(deadline, time_out)

    def all_shards_owned(self) -> bool:
        """Tell whether each shard has an owner that may act."""
        return all(
            any(
                p.ownership.active_epoch(shard, p.time(self))
                for p in self.processes.values()
            )
            for shard in range(SHARDS)
        )
