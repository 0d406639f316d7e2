"""A deterministic schedule of nodes, a table and gossip, with faults.

Each node has its own clock offset. Nodes that are paused keep their state and
process what arrived when they go on. The check runs on real time, so it also
counts paused nodes that still believe in their authority.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from random import Random

from flamingopond_core.listing import ListingTracker
from flamingopond_core.membership import GossipState
from flamingopond_core.ownership import Ownership
from flamingopond_core.records import NODE_PREFIX, Plan
from flamingopond_core.roster import Member

SHARDS = 6
CALL_LIMIT_S = 1.0


class Process:
    """One daemon process: the pure classes, and whether a call is open."""

    def __init__(self, schedule: Schedule, member: Member, serial: int) -> None:
        """Start the process of ``member`` with a clock of its own."""
        self.member = member
        self.offset = schedule.rng.uniform(-1e6, 1e6)
        self.gossip = GossipState(member, schedule.now + self.offset)
        self.ownership = Ownership(self.gossip, SHARDS, f"p{serial}")
        self.listing = ListingTracker()
        self.busy = 0
        self.offering = False
        self.retry_at = -1e18
        self.cursors = {True: 0, False: 0}

    def time(self, schedule: Schedule) -> float:
        """Return the present time by the node's own clock."""
        return schedule.now + self.offset


class Schedule:
    """Runs processes by name over simulated time."""

    def __init__(self, seed: int, names: str = "abcde") -> None:
        """Start one process for each name; ``seed`` decides every delay."""
        self.rng = Random(seed)
        self.now = 0.0
        self.processes: dict[str, Process] = {}
        self.paused: dict[str, float] = {}
        self.cut: dict[frozenset[str], float] = {}
        self.table_down: dict[str, float] = {}
        self.lossy_until = 0.0
        self.slow_until = 0.0
        self.late_until = 0.0
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.version = 0
        self.owner_gaps = 0
        self.count_gaps = False
        self.longest_gap = 0
        self._gaps: dict[int, int] = {}
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
        """Process all events up to the real time ``until``."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = until

    def start(self, name: str) -> None:
        """Start a process on the VM of that name; an earlier one is gone."""
        self._serial += 1
        process = Process(self, self.listed[name], self._serial)
        self.processes[name] = process
        self.paused.pop(name, None)
        self.at(self.now + self.rng.uniform(0, 0.25), lambda: self.tick(process))

    def kill(self, name: str) -> None:
        """End the process of that name."""
        self.processes.pop(name, None)

    def leave(self, name: str) -> None:
        """Let the process of that name leave gracefully; its VM starts another."""
        if name in self.processes:
            self.processes[name].ownership.leave()

    def offer(self, process: Process, name: str) -> None:
        """Offer shards to ``name``, which asks for them; any message may be lost."""
        target = self.processes.get(name)
        pair = frozenset((process.member.name, name))
        process.offering = True
        answered = False

        def conclude(*, taken: bool) -> None:
            nonlocal answered
            if not answered:
                answered = True
                process.offering = False
                if not taken:
                    process.ownership.declined(name)

        limit = self.now + CALL_LIMIT_S
        self.at(limit, lambda: self.deliver(process, lambda: conclude(taken=False)))
        if target is None or self.cut.get(pair, 0) > self.now or self.lost():
            return

        def offered() -> None:
            if not target.ownership.accepts:
                self.deliver(process, lambda: conclude(taken=False))
                return
            asked_at = target.time(self)
            if not self.lost():
                self.deliver(process, lambda: asked(asked_at))

        def asked(asked_at: float) -> None:
            transfers = process.ownership.give(name, process.time(self))
            if self.lost():
                return

            def receive() -> None:
                target.ownership.accept(transfers, asked_at)
                self.deliver(process, lambda: conclude(taken=bool(transfers)))

            self.deliver(target, receive)

        self.deliver(target, offered)

    def end_left(self, process: Process) -> bool:
        """Replace the process by a new one if it has left."""
        name = process.member.name
        if not process.ownership.left:
            return False
        self.kill(name)
        wait = self.rng.uniform(0.5, 3)
        self.at(
            self.now + wait,
            lambda: (
                name in self.listed and name not in self.processes and self.start(name)
            ),
        )
        return True

    def check(self) -> None:
        """Require at most one acting owner per shard, and epochs that do not fall."""
        for shard in range(SHARDS):
            acting = {
                name: epoch[0]
                for name, p in self.processes.items()
                if (epoch := p.ownership.epoch(shard, p.time(self)))
            }
            assert len(acting) <= 1, f"{self.now}: shard {shard} owned by {acting}"
            for epoch in acting.values():
                assert epoch >= self._epochs.get(shard, 0), "epoch went back"
                self._epochs[shard] = epoch
            self._gaps[shard] = 0 if acting else self._gaps.get(shard, 0) + 1
            if self.table_down:
                self.longest_gap = max(self.longest_gap, self._gaps[shard])
            if self.count_gaps and not acting:
                self.owner_gaps += 1
        self.at(self.now + 0.1, self.check)

    def tick(self, process: Process) -> None:
        """Run one round of the node's loops, unless the process ended."""
        name = process.member.name
        if self.processes.get(name) is not process:
            return
        if self.paused.get(name, 0) > self.now:
            self.at(self.paused[name], lambda: self.tick(process))
            return
        now = process.time(self)
        process.listing.update(self.listed.values(), (), process.gossip.roster, now)
        process.ownership.extend(now)
        if self.end_left(process):
            return
        delegate = process.ownership.delegate(now)
        if delegate is not None and not process.offering:
            self.offer(process, delegate)
        others = [n for n in self.processes if n != name]
        for other in self.rng.sample(others, min(2, len(others))):
            self.pull(process, other)
        if not process.busy and now >= process.retry_at:
            plan = process.ownership.plan(now, process.listing.listing)
            if plan is None:
                self.scan(process)
            else:
                self.commit(process, plan)
        self.at(self.now + 0.25, lambda: self.tick(process))

    def delay(self) -> float:
        """Return how long a message takes."""
        slow = self.now < self.slow_until and self.rng.random() < 0.4
        return self.rng.uniform(0, 4.0 if slow else 0.05)

    def lost(self) -> bool:
        """Decide whether a message is lost."""
        return self.now < self.lossy_until and self.rng.random() < 0.4

    def deliver(self, process: Process, action: Callable[[], None]) -> None:
        """Run ``action`` after a delay, or once the process goes on."""

        def arrive() -> None:
            name = process.member.name
            if self.processes.get(name) is not process:
                return
            if self.paused.get(name, 0) > self.now:
                self.at(self.paused[name] + 1e-6, arrive)
            else:
                action()

        self.at(self.now + self.delay(), arrive)

    def pull(self, process: Process, name: str) -> None:
        """Exchange gossip: ask ``name`` for its state."""
        pair = frozenset((process.member.name, name))
        target = self.processes[name]
        asked_at = process.time(self)
        if self.cut.get(pair, 0) > self.now or self.lost():
            return

        def answer() -> None:
            gossip, formed = target.gossip, target.time(self)
            roster = gossip.roster
            ages = gossip.encode(formed)
            contact = gossip.contact_age_ms(formed)

            def receive() -> None:
                process.gossip.adopt(roster)
                process.gossip.merge(
                    roster.version, ages, contact, asked_at, process.time(self)
                )

            if not self.lost():
                self.deliver(process, receive)

        self.deliver(target, answer)

    def reaches_table(self, process: Process) -> bool:
        """Tell whether the node's calls reach the table now."""
        down = max(
            self.table_down.get("*", 0), self.table_down.get(process.member.name, 0)
        )
        return down <= self.now

    def scan(self, process: Process) -> None:
        """Read the rows changed since the last scan."""
        if not self.reaches_table(process):
            return
        process.busy = 1
        sent_at = process.time(self)
        nodes = process.ownership.wants_nodes(sent_at)

        def read() -> None:
            rows = [
                (key, value, version)
                for key, (value, version) in self.rows.items()
                if version > process.cursors[nodes]
                and (nodes or not key.startswith(NODE_PREFIX))
            ]
            cursor = self.version

            def receive() -> None:
                process.busy = 0
                process.cursors[nodes] = cursor
                process.ownership.observe(
                    rows, sent_at, process.time(self), nodes=nodes
                )
                process.retry_at = process.time(self) + self.rng.uniform(0, 0.8)

            self.deliver(process, receive)

        self.at(self.now + self.delay(), read)

    def commit(self, process: Process, plan: Plan) -> None:
        """Send a transaction; it may be applied late or lose its reply."""
        sent_at = process.time(self)
        ownership = process.ownership
        ownership.begin(plan, sent_at)
        if not self.reaches_table(process):
            ownership.refused(plan, reached=False)
            process.retry_at = sent_at + 0.5
            return
        process.busy = 1
        process.retry_at = sent_at
        late = self.now < self.late_until and self.rng.random() < 0.3
        answered = False

        def conclude(action: Callable[[], None]) -> Callable[[], None]:
            def once() -> None:
                nonlocal answered
                if not answered:
                    answered = True
                    process.busy = 0
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
            if self.lost():
                return
            if holds:
                self.deliver(
                    process,
                    conclude(
                        lambda: ownership.committed(
                            plan, version, sent_at, process.time(self)
                        )
                    ),
                )
            else:
                self.deliver(
                    process,
                    conclude(lambda: ownership.refused(plan, reached=True)),
                )

        wait = self.rng.uniform(1, 12) if late else self.delay()
        self.at(self.now + wait, apply)
        limit = self.now + CALL_LIMIT_S

        def give_up() -> None:
            self.deliver(process, conclude(lambda: ownership.unknown()))

        self.at(limit, give_up)

    def settled(self) -> bool:
        """Tell whether each shard has a live owner that may act."""
        return all(
            any(p.ownership.epoch(shard, p.time(self)) for p in self.processes.values())
            for shard in range(SHARDS)
        )
