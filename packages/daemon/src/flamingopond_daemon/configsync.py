"""Keeps the configuration in step with the table and with the peers."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import anyio
import anyio.abc
import structlog

from flamingopond_core.configuration import Configuration
from flamingopond_core.exceptions import (
    FlamingopondError,
    InvalidInputError,
    PlatformUnavailableError,
)
from flamingopond_core.freshness import Freshness
from flamingopond_core.objects import Change, ChangeSet, ObjectId
from flamingopond_core.revisions import (
    SNAPSHOT_INTERVAL,
    MemberRevisions,
    RevisionFeed,
    poll_interval_s,
    snapshot_due,
)
from flamingopond_daemon.clusterview import ClusterView, EventRecorder, PeerCalls
from flamingopond_daemon.configlog import ConfigurationLog, Head, ProposeResult
from flamingopond_daemon.configsnapshots import ConfigurationSnapshots
from flamingopond_platform.objects import ObjectStore
from flamingopond_platform.table import Table

# A success waits this long, in seconds, for a majority to have the revision.
IN_FORCE_LIMIT = 2.0
_COLD_START_BACKOFF_LIMIT = 30.0
_FETCH_RETRY = 0.5
_PUSHES_AT_ONCE = 64

logger = structlog.get_logger(__name__)
Callback = Callable[[frozenset[ObjectId]], None]


class ConfigurationSync:
    """Polls the table, exchanges revisions with peers, and proposes changes."""

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        peers: PeerCalls,
        cluster: ClusterView,
        events: EventRecorder,
        *,
        isolation_grace: float = 8.0,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        """Register with ``peers`` and ``cluster``; nothing is read yet."""
        self._snapshots = ConfigurationSnapshots(objects)
        self._peers = peers
        self._cluster = cluster
        self._events = events
        self._clock = clock
        self._rng = rng or random.Random()
        self._feed = RevisionFeed(Configuration())
        self._freshness = Freshness(isolation_grace)
        self._log = ConfigurationLog(table, cluster.store_contact, clock, wall_clock)
        self._member_revisions = MemberRevisions()
        self._spread_changed = anyio.Event()
        self._lagging = anyio.Event()
        self._ready = False
        self._head = Head(0, 0)
        self._callbacks: list[Callback] = []
        self._proposing = anyio.Lock()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._pushing = anyio.Semaphore(_PUSHES_AT_ONCE)
        peers.serve("fetchConfiguration", self._serve_fetch)
        peers.serve("pushChangeSet", self._serve_push)
        cluster.revisions(self.gossip_state, self.heard)

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._feed.configuration

    @property
    def ready(self) -> bool:
        """Whether a configuration was obtained from the table or a peer."""
        return self._ready

    def fresh(self, now: float) -> bool:
        """Return whether the configuration is known to be the newest."""
        self._observe_outage(now)
        return self._ready and self._freshness.is_fresh(now)

    def serving(self, now: float) -> bool:
        """Return whether keyed requests may be served; false once isolated."""
        self._observe_outage(now)
        return self._ready and self._freshness.may_serve(now)

    def gossip_state(self) -> tuple[int, float | None]:
        """Return the revision and when it was last confirmed."""
        return self.configuration.revision, self._freshness.confirmed_at

    def heard(self, sender: str, revision: int, confirmed_at: float | None) -> None:
        """Take a peer's revision and a lower bound of when it was confirmed."""
        self._note_revision(sender, revision)
        if confirmed_at is not None:
            self._freshness.confirm(revision, confirmed_at)

    def subscribe(self, callback: Callback) -> None:
        """Call ``callback`` with the touched objects after each change."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Poll, fetch from peers and write snapshots until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._fetch_forever)
            await anyio.sleep(self._rng.uniform(0, self._interval()))
            delay = self._interval()
            while not self._ready and not await self.start():
                await anyio.sleep(self._rng.uniform(delay / 2, delay))
                delay = min(2 * delay, _COLD_START_BACKOFF_LIMIT)
            # No back-off from here on: after an outage each node must be
            # confirmed again within the grace.
            while True:
                await anyio.sleep(self._interval())
                await self.poll()
                await self._snapshots.write_pending()

    async def start(self) -> bool:
        """Obtain a configuration from the table, else from the peers."""
        try:
            head, sent = await self._log.read_head()
            await self._restore(head.revision)
            await self._read_log(head.revision)
        except PlatformUnavailableError as error:
            logger.warning("table is unavailable; asking the peers", error=str(error))
            self._ready = await self._fetch_from_all() or self._ready
        except InvalidInputError as error:
            logger.error("the history holds an unusable change", error=str(error))
        else:
            self._head = head
            self._ready = True
            self._freshness.confirm(head.revision, sent)
        return self._ready

    async def poll(self) -> bool:
        """Read what changed in the table; return whether it answered."""
        try:
            change_sets, head, sent = await self._log.read_changes(self._head)
            for change_set in change_sets:
                self._offer(change_set)
            await self._read_log(head.revision)
        except PlatformUnavailableError as error:
            logger.warning("poll of the configuration failed", error=str(error))
            return False
        except InvalidInputError as error:
            # The node stays at its revision, is no longer confirmed and stops
            # serving after the grace.
            logger.error("the history holds an unusable change", error=str(error))
            return False
        self._head = head
        self._freshness.confirm(head.revision, sent)
        return True

    async def propose(
        self,
        changes: Sequence[Change],
        base_revision: int,
        author: str,
        operation_id: str,
        request_digest: str = "",
    ) -> ProposeResult:
        """Commit ``changes`` on top of ``base_revision``.

        Raises ``InvalidInputError`` with all findings, and
        ``PlatformUnavailableError`` if nothing was changed because the table or a
        majority of the members cannot be reached.
        """
        if not self._ready:
            raise PlatformUnavailableError("this node has no configuration yet")
        # A change must not be accepted where the others cannot learn of it.
        if not self._cluster.hears_majority(self._clock()):
            raise PlatformUnavailableError(
                "this node does not hear a majority of members"
            )
        async with self._proposing:
            result = await self._log.commit(
                self,
                tuple(changes),
                base_revision,
                author,
                operation_id,
                request_digest,
            )
        if result.change_set is not None:
            self._accept(result.change_set)
        if result.confirmed_at is not None:
            self._freshness.confirm(result.revision, result.confirmed_at)
        return result

    async def wait_in_force(self, revision: int, limit: float = IN_FORCE_LIMIT) -> bool:
        """Wait until a majority has ``revision``; return false after ``limit`` s."""
        with anyio.move_on_after(limit):
            while not self.in_force(revision):
                await self._spread_changed.wait()
        return self.in_force(revision)

    def in_force(self, revision: int) -> bool:
        """Return whether a majority of members is known to have ``revision``."""
        names = self._member_names()
        return self._member_revisions.has_majority(revision, names)

    async def history(self, after: int, limit: int) -> tuple[ChangeSet, ...]:
        """Return accepted change sets after ``after``, oldest first.

        They come from the table, or from memory as far as it reaches while the
        table is down.
        """
        last = min(self.configuration.revision, after + limit)
        recent = [c for c in self._feed.recent if after < c.revision <= last]
        if len(recent) == max(last - after, 0):
            return tuple(recent)
        try:
            return await self._log.read(range(after + 1, last + 1))
        except PlatformUnavailableError:
            return tuple(recent)

    async def operation(self, operation_id: str) -> int | None:
        """Return the revision that an operation led to, or ``None`` if it has not.

        Raises ``PlatformUnavailableError``.
        """
        return await self._log.find_operation(operation_id)

    async def catch_up(self, revision: int) -> None:
        """Apply everything up to ``revision`` from the table."""
        await self._read_log(revision)

    async def push(self, change_set: ChangeSet) -> None:
        """Send a change set to all peers."""
        data = change_set.to_json()
        async with anyio.create_task_group() as tasks:
            for name in self._other_names():
                tasks.start_soon(self._push_to, name, data)

    async def fetch(self, member: str) -> bool:
        """Fetch what this node lacks from a peer; return whether it answered."""
        try:
            reply = await self._peers.call(
                member,
                "fetchConfiguration",
                afterRevision=self.configuration.revision,
            )
            if reply["snapshot"]:
                touched = self._feed.restore(
                    Configuration.from_snapshot(reply["snapshot"])
                )
                self._announce(touched)
            for data in reply["changeSets"]:
                self._offer(ChangeSet.from_json(data))
        except FlamingopondError as error:
            logger.info("fetch from a peer failed", peer=member, error=str(error))
            return False
        self._note_revision(member, reply["revision"])
        return True

    def _accept(self, change_set: ChangeSet) -> None:
        before = self.configuration.revision
        self._offer(change_set)
        due = snapshot_due(before, self.configuration.revision)
        if due == self.configuration.revision:
            self._snapshots.keep(self.configuration)
        self._events.record(
            "configuration.committed",
            revision=change_set.revision,
            operation_id=change_set.operation_id,
            author=change_set.author,
        )
        if self._tasks is not None:
            self._tasks.start_soon(self.push, change_set)

    def _offer(self, change_set: ChangeSet) -> None:
        self._freshness.record_revision(change_set.revision)
        for applied in self._feed.add(change_set):
            self._announce(frozenset(change.object_id for change in applied.changes))
        if self.configuration.revision < change_set.revision:
            self._lagging.set()

    def _announce(self, touched: frozenset[ObjectId]) -> None:
        revision = self.configuration.revision
        self._freshness.apply(revision)
        self._note_revision(self._cluster.name, revision)
        if touched:
            self._events.record("configuration.applied", revision=revision)
            for callback in self._callbacks:
                callback(touched)

    def _note_revision(self, member: str, revision: int) -> None:
        self._member_revisions.record(member, revision)
        self._freshness.record_revision(revision)
        if revision > self.configuration.revision:
            self._lagging.set()
        changed, self._spread_changed = self._spread_changed, anyio.Event()
        changed.set()

    def _observe_outage(self, now: float) -> None:
        if self._cluster.store_outage(now):
            self._freshness.observe_outage(now)

    async def _restore(self, head: int) -> None:
        """Take a snapshot of the object store, else of a peer, if one is due."""
        present = self.configuration.revision
        if head - head % SNAPSHOT_INTERVAL <= present:
            return
        snapshot = await self._snapshots.read_newest(head, present)
        if snapshot is None:
            await self._fetch_from_all()
        else:
            self._announce(self._feed.restore(snapshot))

    async def _read_log(self, target: int) -> None:
        missing = self._feed.missing(target)
        for start in range(missing.start, missing.stop, SNAPSHOT_INTERVAL):
            wanted = range(start, min(start + SNAPSHOT_INTERVAL, missing.stop))
            for change_set in await self._log.read(wanted):
                self._offer(change_set)

    async def _fetch_from_all(self) -> bool:
        """Ask all peers at once; the highest revision among them is kept."""
        answered: list[bool] = []

        async def ask(name: str) -> None:
            async with self._pushing:
                answered.append(await self.fetch(name))

        async with anyio.create_task_group() as tasks:
            for name in self._other_names():
                tasks.start_soon(ask, name)
        return any(answered)

    async def _fetch_forever(self) -> None:
        while True:
            await self._lagging.wait()
            self._lagging = anyio.Event()
            for member in self._member_revisions.by_revision(self._other_names())[:3]:
                if self.configuration.revision >= self._freshness.highest_known:
                    break
                await self.fetch(member)
            if self.configuration.revision < self._freshness.highest_known:
                self._lagging.set()
                await anyio.sleep(_FETCH_RETRY)

    async def _push_to(self, name: str, data: bytes) -> None:
        async with self._pushing:
            try:
                reply = await self._peers.call(name, "pushChangeSet", changeSet=data)
            except FlamingopondError as error:
                logger.info("push to a peer failed", peer=name, error=str(error))
            else:
                self._note_revision(name, reply["revision"])

    async def _serve_fetch(self, params: dict[str, Any]) -> Mapping[str, Any]:
        if not self._ready:
            raise PlatformUnavailableError("this node has no configuration yet")
        change_sets = self._feed.since(params["afterRevision"])
        known = change_sets is not None
        return {
            "revision": self.configuration.revision,
            "snapshot": b"" if known else self.configuration.to_snapshot(),
            "changeSets": [c.to_json() for c in change_sets or ()],
        }

    async def _serve_push(self, params: dict[str, Any]) -> Mapping[str, Any]:
        self._offer(ChangeSet.from_json(params["changeSet"]))
        return {"revision": self.configuration.revision}

    def _interval(self) -> float:
        return poll_interval_s(len(self._member_names()))

    def _member_names(self) -> list[str]:
        """Return all members, those in the roster if there is one.

        A majority is one of the roster: the members that are heard may be the
        smaller side of a separated network.
        """
        names = [member.name for member in self._cluster.roster.order]
        if not names:
            heard = self._cluster.members(self._clock())
            names = [member.name for member in heard] or [self._cluster.name]
        self._member_revisions.retain(names)
        return names

    def _other_names(self) -> list[str]:
        return [name for name in self._member_names() if name != self._cluster.name]
