"""Watches the store's tables and keeps local copies up to date."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import structlog
from attrs import define, field, frozen

from flamingopond_core.exceptions import FlamingopondError, PlatformError

from ..metrics import Metrics
from ..settings import Bounds
from .storage import HistoryLostError, Row, Rows, Store, era_of
from .tables import TableCopy

# Shortest wait of a watch call; each answered call is priced.
MIN_WATCH_WAIT_S = 0.5
READ_TIMEOUT_S = 1.0
# Pause after a failed call; a gateway that the store refuses retries twice a second.
RETRY_PAUSE_S = 0.5
# The store counts as reliable if a watcher had no failed call for this long: after
# an outage, the entries of live targets are back within 2 s.
RELIABLE_AFTER_S = 2.0
# The store counts as lost for this long after a failed call.
FAILURE_VALID_S = 1.0

log = structlog.get_logger()


@frozen
class StoreHealth:
    """One gateway's access to the store.

    ``failure_age_s`` is the time since its last failed call, negative for none.
    """

    watching: bool
    failure_age_s: float

    @property
    def reliable(self) -> bool:
        """Whether this gateway watches the store and had no recent failed call."""
        return self.watching and (
            self.failure_age_s < 0 or self.failure_age_s > RELIABLE_AFTER_S
        )


def watch_wait_s(bounds: Bounds) -> float:
    """Return the longest wait of a watch call.

    A call whose response was lost on the way shows only once this time is over: the
    store's host goes on to acknowledge packets. A change must be known within the
    bounds once the store has been stable for ``stable_s``.
    """
    return max(min(bounds.drain_s, bounds.config_s, bounds.stable_s), MIN_WATCH_WAIT_S)


def store_is_reliable(gateways: Iterable[StoreHealth]) -> bool:
    """Whether removed rows mean that the targets have really left.

    One watcher that is served is enough: a store that refuses some gateways still
    receives the targets' heartbeats, while in an outage no watcher is served.
    """
    return any(gateway.reliable for gateway in gateways)


@define
class EraTracker:
    """The newest era of the store that this gateway has heard of.

    The era rises when the store has come back from an older copy: rows may be missing
    or outdated until their writers have written them again.
    """

    _era: int | None = None
    _risen_at: float = float("-inf")

    @property
    def era(self) -> int:
        """The newest era, 0 if none is known."""
        return self._era or 0

    @property
    def risen_at(self) -> float:
        """Time at which a rise was noticed (event loop clock)."""
        return self._risen_at

    def note(self, version: int, now: float) -> bool:
        """Record a version of the store; return whether the era has risen."""
        era = era_of(version)
        if self._era is not None and era <= self._era:
            return False
        risen = self._era is not None
        self._era = era
        if risen:
            self._risen_at = now
        return risen

    def risen_within(self, seconds: float, now: float) -> bool:
        """Whether the era has risen in the last ``seconds``."""
        return now - self._risen_at < seconds


@define
class StoreClock:
    """The time of the store's clock, from its answers.

    The event loop's clock stands still while a machine is suspended, and an answer
    takes a while, so that the time is at most as late as it really is.
    """

    _offset_ms: float | None = None

    def note(self, store_ms: float, now: float) -> None:
        """Record the time in an answer; 0 stands for none."""
        if store_ms <= 0:
            return
        offset_ms = store_ms - 1000 * now
        if self._offset_ms is None or offset_ms > self._offset_ms:
            self._offset_ms = offset_ms

    def at(self, now: float) -> float | None:
        """Return the store's time in ms for one of the event loop, None if unknown."""
        return None if self._offset_ms is None else self._offset_ms + 1000 * now


@define(eq=False)
class StoreWatcher:
    """Watches one table and passes changed rows to a callback.

    A call waits up to ``wait_s`` for a change. After one the watcher pauses for
    ``pause_s``, so that one call returns several.
    """

    store: Store
    table: str
    on_rows: Callable[[list[Row]], None]
    metrics: Metrics
    era: EraTracker = field(factory=EraTracker)
    clock: StoreClock = field(factory=StoreClock)
    should_watch: Callable[[], bool] = lambda: True
    pause_s: float = 0.0
    wait_s: float = MIN_WATCH_WAIT_S
    copy: TableCopy = field(factory=TableCopy)
    _failed_at: float = float("-inf")
    _history_lost_at: float = float("-inf")
    _active: bool = False
    _answered: bool = False
    _probe: bool = True
    _wake: asyncio.Event = field(factory=asyncio.Event)

    @property
    def failed_at(self) -> float:
        """Time of the last failed call (event loop clock)."""
        return self._failed_at

    def failed_recently(self, now: float) -> bool:
        """Whether a call failed recently, so that removals cannot be trusted."""
        return now - self._failed_at < FAILURE_VALID_S

    def watching(self, now: float) -> bool:
        """Whether this gateway currently reads changes of the table from the store.

        After a failed call it does so again once the store has answered one.
        """
        return (
            self._active
            and self._answered
            and self.copy.watchable
            and not self.failed_recently(now)
        )

    def apply_from_peer(
        self, rows: Rows, peer: str, whole_at: int, **log_fields: object
    ) -> None:
        """Apply newer rows from a peer, or its whole table.

        See ``TableCopy.apply_from_peer``; ``log_fields`` tell how the rows arrived.
        """
        self._note_era(rows.version, peer)
        self._pass_on(self.copy.apply_from_peer(rows, whole_at), peer, **log_fields)

    async def read_now(self, **log_fields: object) -> None:
        """Read the whole table from the store once, without watching it.

        Raises PlatformError if the store does not answer.
        """
        rows = await self.store.read(self.table, READ_TIMEOUT_S)
        self.clock.note(rows.store_ms, asyncio.get_running_loop().time())
        if self.copy.complete and rows.version < self.copy.version:
            self._count("read_outdated")
            log.warning(
                "read is older than the copy and ignored",
                table=self.table,
                version=self.copy.version,
                read_version=rows.version,
            )
        else:
            self._count("read")
        self._note_era(rows.version, "store")
        self._pass_on(self.copy.replace(rows), "store", **log_fields)

    def wake(self) -> None:
        """Check again whether this gateway should watch."""
        self._wake.set()

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            if self.copy.complete and not self.should_watch():
                self._active = False
                self._answered = False
                self._probe = True
                self._wake.clear()
                await self._wake.wait()
                continue
            self._active = True
            try:
                await self._step()
            except HistoryLostError:
                await self._handle_lost_history()
            except (FlamingopondError, ValueError) as error:
                await self._handle_failure(error)

    async def _step(self) -> None:
        if not self.copy.watchable:
            await self.read_now()
            self._answered = True
            self._probe = False
            return
        # The first call, and the first one after a failure, returns at once: it shows
        # whether the store answers. A slow store may only answer in time to the others.
        wait_s = 0.0 if self._probe else self.wait_s
        self._probe = False
        rows = await self.store.watch(self.table, self.copy.version, wait_s)
        self._answered = True
        self.clock.note(rows.store_ms, asyncio.get_running_loop().time())
        self._count("watch")
        self._pass_on(self.copy.merge(rows), "store")
        if rows.rows:
            await asyncio.sleep(self.pause_s)

    def _note_era(self, version: int, source: str) -> None:
        before = self.era.era
        now = asyncio.get_running_loop().time()
        if self.era.note(version, now):
            log.warning(
                "store restored from an older copy",
                table=self.table,
                era=self.era.era,
                era_before=before,
                version=version,
                version_before=self.copy.version,
                source=source,
            )
        self.metrics.set_store_era(self.era.era)

    def _pass_on(self, rows: list[Row], source: str, **log_fields: object) -> None:
        if rows:
            log.info(
                "table",
                table=self.table,
                version=self.copy.content_version,
                rows=len(rows),
                source=source,
                **log_fields,
            )
            self.on_rows(rows)

    async def _handle_lost_history(self) -> None:
        """Require a read of the table; pause first if that has not helped before."""
        now = asyncio.get_running_loop().time()
        self._count("history_lost")
        log.info(
            "change history lost, rereading table",
            table=self.table,
            version=self.copy.version,
        )
        self.copy.require_full_read()
        again = now - self._history_lost_at < RETRY_PAUSE_S
        self._history_lost_at = now
        if again:
            await _pause()
            self._history_lost_at = asyncio.get_running_loop().time()

    async def _handle_failure(self, error: Exception) -> None:
        now = asyncio.get_running_loop().time()
        if not self.failed_recently(now):
            log.warning(
                "call to store failed",
                table=self.table,
                error=str(error),
                watching=self._answered,
            )
        self._failed_at = now
        self._probe = self._answered
        self._answered = False
        self._count("failed" if isinstance(error, PlatformError) else "unreadable")
        await _pause()

    def _count(self, outcome: str) -> None:
        self.metrics.count_store_call(self.table, outcome)


async def _pause() -> None:
    await asyncio.sleep(RETRY_PAUSE_S * random.uniform(0.8, 1.2))
