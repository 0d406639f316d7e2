"""Keeps the copies of tables up to date with those of the other gateways."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Mapping

import anyio
import anyio.abc
import structlog
from attrs import define, field

from flamingopond_core.exceptions import PlatformError

from ..messages import Pull
from ..metrics import Metrics
from ..settings import GatewaySettings
from ..store.row_delta import RowDeltaError
from ..store.watch import StoreWatcher
from .distribution import PullFrom, PullSchedule
from .members import Members
from .pulls import PULL_ERRORS, Transfer, present_rows, pull_rows, received_rows

# A gateway that has not received a newer version of a table from its peers within this
# fraction of the shortest time in which it must be in force reads the store.
STORE_READ_FRACTION = 0.3

log = structlog.get_logger()


@define(eq=False)
class TableSync:
    """Pulls newer versions of tables, of which the hubs' summaries tell."""

    settings: GatewaySettings
    members: Members
    watchers: Mapping[str, StoreWatcher]
    metrics: Metrics
    _schedules: dict[str, PullSchedule] = field(init=False)
    _news: dict[str, asyncio.Event] = field(init=False)
    _being_pulled: set[str] = field(factory=set)
    _whole_rows_needed: set[str] = field(factory=set)
    _tasks: anyio.abc.TaskGroup | None = None

    def __attrs_post_init__(self) -> None:
        """Create a schedule for each table."""
        bounds = self.settings.bounds
        store_delay_s = STORE_READ_FRACTION * min(bounds.config_s, bounds.drain_s)
        self._schedules = {
            table: PullSchedule(store_delay_s) for table in self.watchers
        }
        self._news = {table: asyncio.Event() for table in self.watchers}

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run pulls in ``tasks`` from now on."""
        self._tasks = tasks

    def want(
        self,
        table: str,
        version: int,
        holders: list[str],
        now: float,
        spread_s: float = 0.0,
    ) -> None:
        """Get ``version`` of a table, which ``holders`` have.

        The first of them is asked within ``spread_s``.
        """
        others = [node for node in holders if self.members.get(node) is not None]
        self._schedules[table].want(version, others, now, spread_s)
        self._news[table].set()
        if table not in self._being_pulled and self._tasks is not None:
            self._being_pulled.add(table)
            self._tasks.start_soon(self._catch_up, table)

    def outdated(self, table: str) -> bool:
        """Whether another gateway has a newer version of a table than this one."""
        version = self.watchers[table].copy.content_version
        return self._schedules[table].missing(version)

    async def _catch_up(self, table: str) -> None:
        """Get rows until the newest known version is here."""
        schedule = self._schedules[table]
        loop = asyncio.get_running_loop()
        try:
            async with anyio.create_task_group() as tasks:
                # Beside the pulls, as a peer may be silent.
                tasks.start_soon(self._read_store_when_due, table)
                while self.outdated(table):
                    step = schedule.next_step(loop.time())
                    if isinstance(step, PullFrom):
                        await self._pull(step.node, table)
                    else:
                        await self._wait_for_news(table, step.seconds)
                tasks.cancel_scope.cancel()
            schedule.finish()
        finally:
            self._being_pulled.discard(table)

    async def _read_store_when_due(self, table: str) -> None:
        schedule = self._schedules[table]
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(schedule.store_read_in_s(loop.time()))
            await self._read_store(table)

    async def _wait_for_news(self, table: str, seconds: float) -> None:
        """Wait until there is another holder, or the store has been read."""
        news = self._news[table]
        news.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await news.wait()

    async def _pull(self, node: str, table: str) -> None:
        """Pull newer rows of a table from another gateway."""
        schedule, watcher = self._schedules[table], self.watchers[table]
        loop = asyncio.get_running_loop()
        member = self.members.get(node)
        if member is None:
            schedule.note_failure(node, loop.time())
            return
        after = watcher.copy.content_version
        settings = self.settings
        present = [] if table in self._whole_rows_needed else present_rows(watcher.copy)
        link_mbps = int(settings.link_mbps)
        pull = Pull(table, after, settings.node, link_mbps, True, present)
        transfer = Transfer(table=table)
        try:
            reply = await pull_rows(member.address, pull, transfer)
            rows = received_rows(table, reply, watcher.copy)
        except RowDeltaError as error:
            self._whole_rows_needed.add(table)
            self.metrics.count_pull(table, "wrong_base", transfer.done)
            log.info("pulling whole rows", peer=node, table=table, reason=str(error))
            return
        except PULL_ERRORS as error:
            schedule.note_failure(node, loop.time())
            self.metrics.count_pull(table, f"failed_{transfer.stage}", transfer.done)
            log.info("pull failed", peer=node, **transfer.log_fields(error))
            return
        if reply.busy:
            schedule.note_busy(node, reply.holders, loop.time())
            self.metrics.count_pull(table, "busy", transfer.done)
            return
        if not reply.available or not (reply.rows or reply.whole_at):
            # It may be about to receive the version itself.
            schedule.note_busy(node, [], loop.time())
            self.metrics.count_pull(table, "unavailable", transfer.done)
            return
        self.metrics.count_pull(table, "received", transfer.done)
        self._whole_rows_needed.discard(table)
        watcher.apply_from_peer(
            rows,
            node,
            reply.whole_at,
            bytes=transfer.done,
            elapsed_s=round(transfer.elapsed_s, 3),
            tries=schedule.tries,
            behind_s=round(schedule.behind_s(loop.time()), 3),
        )
        if watcher.copy.content_version <= after:
            schedule.note_busy(node, [], loop.time())

    async def _read_store(self, table: str) -> None:
        """Read a table from the store, as its peers did not send it in time."""
        schedule, watcher = self._schedules[table], self.watchers[table]
        loop = asyncio.get_running_loop()
        behind_s = round(schedule.behind_s(loop.time()), 3)
        version = None
        try:
            await watcher.read_now(tries=schedule.tries, behind_s=behind_s)
            version = watcher.copy.version
        except PlatformError as error:
            log.info("reading the store failed", table=table, reason=str(error))
        schedule.note_store_read(version, loop.time())
        self._news[table].set()
