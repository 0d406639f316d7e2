"""Replicates the configuration from the table and between the daemons."""

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
from flamingopond_daemon.cluster_view import ClusterView, EventRecorder, PeerCalls
from flamingopond_daemon.configuration_log import ConfigurationLog, Head, ProposeResult
from flamingopond_daemon.configuration_snapshots import ConfigurationSnapshots
from flamingopond_platform.objects import ObjectStore
from flamingopond_platform.table import Table

# Longest time that an accepted change waits until a majority has the revision.
IN_FORCE_TIMEOUT_S = 2.0
_START_BACKOFF_LIMIT_S = 30.0
_FETCH_RETRY_S = 0.5
_MAX_CONCURRENT_CALLS = 64

logger = structlog.get_logger(__name__)
ChangeCallback = Callable[[frozenset[ObjectId]], None]


class ConfigurationSync:
    """The node's replica of the configuration.

    It polls the table, exchanges change sets with the peers and proposes changes.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        peers: PeerCalls,
        cluster: ClusterView,
        events: EventRecorder,
        *,
        isolation_grace_s: float = 8.0,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        rng: random.Random | None = None,
    ) -> None:
        """Register with ``peers`` and ``cluster`` without reading anything yet.

        The node stops serving once its revision was not confirmed as the newest for
        ``isolation_grace_s`` seconds.
        """
        self._snapshots = ConfigurationSnapshots(objects)
        self._peers = peers
        self._cluster = cluster
        self._events = events
        self._clock = clock
        self._rng = rng or random.Random()
        self._feed = RevisionFeed(Configuration())
        self._freshness = Freshness(isolation_grace_s)
        self._log = ConfigurationLog(
            table, cluster.record_store_contact, clock, wall_clock
        )
        self._member_revisions = MemberRevisions()
        self._revisions_changed = anyio.Event()
        self._lagging = anyio.Event()
        self._ready = False
        self._head = Head(0, 0)
        self._callbacks: list[ChangeCallback] = []
        self._proposal_lock = anyio.Lock()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._call_slots = anyio.Semaphore(_MAX_CONCURRENT_CALLS)
        peers.serve("fetchConfiguration", self._serve_fetch)
        peers.serve("pushChangeSet", self._serve_push)
        cluster.set_revision_handlers(self.gossip_state, self.receive_gossip)

    @property
    def configuration(self) -> Configuration:
        """The configuration at the newest applied revision."""
        return self._feed.configuration

    @property
    def ready(self) -> bool:
        """Whether a configuration has been read from the table or a peer."""
        return self._ready

    def is_fresh(self, now: float) -> bool:
        """Tell whether the configuration was recently confirmed as the newest."""
        self._observe_outage(now)
        return self._ready and self._freshness.is_fresh(now)

    def may_serve(self, now: float) -> bool:
        """Tell whether requests with an API key may be served; false once isolated."""
        self._observe_outage(now)
        return self._ready and self._freshness.may_serve(now)

    def gossip_state(self) -> tuple[int, float | None]:
        """Return the applied revision and when it was last confirmed as the newest."""
        return self.configuration.revision, self._freshness.confirmed_at

    def receive_gossip(
        self, sender: str, revision: int, confirmed_at: float | None
    ) -> None:
        """Apply a peer's revision and a lower bound of its confirmation time."""
        self._record_revision(sender, revision)
        if confirmed_at is not None:
            self._freshness.confirm(revision, confirmed_at)

    def subscribe(self, callback: ChangeCallback) -> None:
        """Call ``callback`` with the ids of the changed objects after each change."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Poll the table, fetch from peers and write snapshots until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._fetch_forever)
            await anyio.sleep(self._rng.uniform(0, self._poll_interval_s()))
            delay_s = self._poll_interval_s()
            while not self._ready and not await self.start():
                await anyio.sleep(self._rng.uniform(delay_s / 2, delay_s))
                delay_s = min(2 * delay_s, _START_BACKOFF_LIMIT_S)
            # No back-off here: after an outage each node must confirm its revision
            # again within the isolation grace.
            while True:
                await anyio.sleep(self._poll_interval_s())
                await self.poll()
                await self._snapshots.write_pending()

    async def start(self) -> bool:
        """Read the configuration from the table, or else from the peers.

        Return whether the node has a configuration.
        """
        try:
            head, sent_at = await self._log.read_head()
            await self._restore_snapshot(head.revision)
            await self._read_log(head.revision)
        except PlatformUnavailableError as error:
            logger.warning("table unavailable, fetching from peers", error=str(error))
            self._ready = await self._fetch_from_all() or self._ready
        except InvalidInputError as error:
            logger.error("the history holds an unusable change", error=str(error))
        else:
            self._head = head
            self._ready = True
            self._freshness.confirm(head.revision, sent_at)
        return self._ready

    async def poll(self) -> bool:
        """Apply new change sets from the table; return whether that succeeded."""
        try:
            change_sets, head, sent_at = await self._log.read_changes(self._head)
            for change_set in change_sets:
                self._receive_change_set(change_set)
            await self._read_log(head.revision)
        except PlatformUnavailableError as error:
            logger.warning("configuration poll failed", error=str(error))
            return False
        except InvalidInputError as error:
            # The node stays at its revision, which is no longer confirmed, and stops
            # serving after the isolation grace.
            logger.error("the history holds an unusable change", error=str(error))
            return False
        self._head = head
        self._freshness.confirm(head.revision, sent_at)
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

        Raises ``InvalidInputError`` with all findings, or
        ``PlatformUnavailableError`` if nothing was changed because the table or a
        majority of the members is unreachable.
        """
        if not self._ready:
            raise PlatformUnavailableError("this node has no configuration yet")
        # A node outside the majority must not accept a change, because it could
        # not distribute it.
        if not self._cluster.hears_majority(self._clock()):
            raise PlatformUnavailableError(
                "this node does not hear a majority of members"
            )
        async with self._proposal_lock:
            result = await self._log.commit(
                self,
                tuple(changes),
                base_revision,
                author,
                operation_id,
                request_digest,
            )
        if result.change_set is not None:
            self._publish_commit(result.change_set)
        if result.confirmed_at is not None:
            self._freshness.confirm(result.revision, result.confirmed_at)
        return result

    async def wait_in_force(
        self, revision: int, timeout_s: float = IN_FORCE_TIMEOUT_S
    ) -> bool:
        """Wait until a majority has ``revision``; return whether it has."""
        with anyio.move_on_after(timeout_s):
            while not self.in_force(revision):
                await self._revisions_changed.wait()
        return self.in_force(revision)

    def in_force(self, revision: int) -> bool:
        """Return whether a majority of members is known to have ``revision``."""
        names = self._member_names()
        return self._member_revisions.has_majority(revision, names)

    async def history(self, after: int, limit: int) -> tuple[ChangeSet, ...]:
        """Return accepted change sets after revision ``after``, oldest first.

        They come from memory if it has them all, or else from the table. While the
        table is down, only those in memory are returned.
        """
        last = min(self.configuration.revision, after + limit)
        recent = [c for c in self._feed.recent if after < c.revision <= last]
        if len(recent) == max(last - after, 0):
            return tuple(recent)
        try:
            return await self._log.read(range(after + 1, last + 1))
        except PlatformUnavailableError:
            return tuple(recent)

    async def find_operation(self, operation_id: str) -> int | None:
        """Return the revision that an operation created, if it was accepted.

        Raises ``PlatformUnavailableError``.
        """
        return await self._log.find_operation(operation_id)

    async def catch_up(self, revision: int) -> None:
        """Apply the change sets up to ``revision`` from the table."""
        await self._read_log(revision)

    async def push(self, change_set: ChangeSet) -> None:
        """Send a change set to all peers."""
        data = change_set.to_json()
        async with anyio.create_task_group() as tasks:
            for name in self._other_names():
                tasks.start_soon(self._push_to, name, data)

    async def fetch(self, member: str) -> bool:
        """Fetch missing change sets from a peer; return whether that succeeded."""
        try:
            reply = await self._peers.call(
                member,
                "fetchConfiguration",
                afterRevision=self.configuration.revision,
            )
            if reply["snapshot"]:
                changed_objects = self._feed.restore(
                    Configuration.from_snapshot(reply["snapshot"])
                )
                self._on_applied(changed_objects)
            for data in reply["changeSets"]:
                self._receive_change_set(ChangeSet.from_json(data))
        except FlamingopondError as error:
            logger.info("configuration fetch failed", peer=member, error=str(error))
            return False
        self._record_revision(member, reply["revision"])
        return True

    def _publish_commit(self, change_set: ChangeSet) -> None:
        before = self.configuration.revision
        self._receive_change_set(change_set)
        snapshot_revision = snapshot_due(before, self.configuration.revision)
        if snapshot_revision == self.configuration.revision:
            self._snapshots.set_pending(self.configuration)
        self._events.record(
            "configuration.committed",
            revision=change_set.revision,
            operation_id=change_set.operation_id,
            author=change_set.author,
        )
        if self._tasks is not None:
            self._tasks.start_soon(self.push, change_set)

    def _receive_change_set(self, change_set: ChangeSet) -> None:
        self._freshness.record_revision(change_set.revision)
        for applied in self._feed.add(change_set):
            self._on_applied(frozenset(change.object_id for change in applied.changes))
        if self.configuration.revision < change_set.revision:
            self._lagging.set()

    def _on_applied(self, changed_objects: frozenset[ObjectId]) -> None:
        revision = self.configuration.revision
        self._freshness.apply(revision)
        self._record_revision(self._cluster.name, revision)
        if changed_objects:
            self._events.record("configuration.applied", revision=revision)
            for callback in self._callbacks:
                callback(changed_objects)

    def _record_revision(self, member: str, revision: int) -> None:
        self._member_revisions.record(member, revision)
        self._freshness.record_revision(revision)
        if revision > self.configuration.revision:
            self._lagging.set()
        changed, self._revisions_changed = self._revisions_changed, anyio.Event()
        changed.set()

    def _observe_outage(self, now: float) -> None:
        if self._cluster.store_outage(now):
            self._freshness.observe_outage(now)

    async def _restore_snapshot(self, head_revision: int) -> None:
        """Restore a snapshot if one newer than the applied revision is expected.

        It is read from the object store, or else from the peers.
        """
        current_revision = self.configuration.revision
        if head_revision - head_revision % SNAPSHOT_INTERVAL <= current_revision:
            return
        snapshot = await self._snapshots.read_newest(head_revision, current_revision)
        if snapshot is None:
            await self._fetch_from_all()
        else:
            self._on_applied(self._feed.restore(snapshot))

    async def _read_log(self, revision: int) -> None:
        missing = self._feed.missing(revision)
        for start in range(missing.start, missing.stop, SNAPSHOT_INTERVAL):
            revisions = range(start, min(start + SNAPSHOT_INTERVAL, missing.stop))
            for change_set in await self._log.read(revisions):
                self._receive_change_set(change_set)

    async def _fetch_from_all(self) -> bool:
        """Fetch from all peers concurrently; the highest revision wins."""
        results: list[bool] = []

        async def fetch_from(name: str) -> None:
            async with self._call_slots:
                results.append(await self.fetch(name))

        async with anyio.create_task_group() as tasks:
            for name in self._other_names():
                tasks.start_soon(fetch_from, name)
        return any(results)

    async def _fetch_forever(self) -> None:
        while True:
            await self._lagging.wait()
            self._lagging = anyio.Event()
            names = self._other_names()
            # All nodes lag at about the same time, so they must not all ask one peer.
            self._rng.shuffle(names)
            for member in self._member_revisions.by_revision(names)[:3]:
                if self.configuration.revision >= self._freshness.highest_known:
                    break
                await self.fetch(member)
            if self.configuration.revision < self._freshness.highest_known:
                self._lagging.set()
                await anyio.sleep(_FETCH_RETRY_S)

    async def _push_to(self, name: str, data: bytes) -> None:
        async with self._call_slots:
            try:
                reply = await self._peers.call(name, "pushChangeSet", changeSet=data)
            except FlamingopondError as error:
                logger.info("change set push failed", peer=name, error=str(error))
            else:
                self._record_revision(name, reply["revision"])

    async def _serve_fetch(self, params: dict[str, Any]) -> Mapping[str, Any]:
        if not self._ready:
            raise PlatformUnavailableError("this node has no configuration yet")
        change_sets = self._feed.since(params["afterRevision"])
        in_memory = change_sets is not None
        return {
            "revision": self.configuration.revision,
            "snapshot": b"" if in_memory else self.configuration.to_snapshot(),
            "changeSets": [c.to_json() for c in change_sets or ()],
        }

    async def _serve_push(self, params: dict[str, Any]) -> Mapping[str, Any]:
        self._receive_change_set(ChangeSet.from_json(params["changeSet"]))
        return {"revision": self.configuration.revision}

    def _poll_interval_s(self) -> float:
        return poll_interval_s(len(self._member_names()))

    def _member_names(self) -> list[str]:
        """Return the roster's members, or the reachable ones without a roster.

        A majority is counted over the roster, because the reachable members may be
        the minority side of a network partition.
        """
        names = [member.name for member in self._cluster.roster.all_members]
        if not names:
            reachable = self._cluster.members(self._clock())
            names = [member.name for member in reachable] or [self._cluster.name]
        self._member_revisions.retain(names)
        return names

    def _other_names(self) -> list[str]:
        return [name for name in self._member_names() if name != self._cluster.name]
