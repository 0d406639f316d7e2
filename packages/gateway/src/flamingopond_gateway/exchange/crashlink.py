"""Exchange of crash evidence between gateways, and named content in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

import msgspec
import structlog
from attrs import define, field

from flamingopond_core.exceptions import PlatformError

from ..dispatch.crash_guard import CrashGuard
from ..messages import CrashReport, Datagram, encode
from ..settings import BYTES_PER_S_PER_MBPS, Address, GatewaySettings
from ..store.row_writer import RowWriter
from ..store.storage import Change, Row, Store
from ..targets.crashes import Trait
from .contact import FleetContact
from .members import Members

CONTENT_TABLE = "flamingopond-fatal-content"
# A change is sent in this many periods, as datagrams may be lost.
REPEATS = 3
# Periods until answers that begin elsewhere are known here: news of the crash goes to a
# hub and to all, that of the answer the same way, and some messages are lost.
SETTLE_PERIODS = 6
# A hub sends its evidence again after this time, or later if it would take more than
# this part of its link.
REFRESH_PERIOD_S = 1.0
REFRESH_LINK_FRACTION = 0.02
# Period in which the first hub writes changes of named content to the store.
STORE_PERIOD_S = 0.5
STORE_TIMEOUT_S = 1.0

log = structlog.get_logger()


class NamedContent(msgspec.Struct, frozen=True):
    """A row of the table of content that crashes targets; its key is the trait's."""

    label: str
    named: bool


@define(eq=False)
class CrashLink:
    """Tells the hubs of this gateway's evidence; as a hub, tells all gateways."""

    settings: GatewaySettings
    store: Store
    guard: CrashGuard
    members: Members
    contact: FleetContact
    subscribers: Callable[[float], Iterable[Address]]
    send: Callable[[Datagram, Iterable[Address]], None]
    _sent_local: int = 0
    _sent_revision: int = 0
    _local_repeats: int = 0
    _repeats: int = 0
    _refreshed_at: float = float("-inf")
    _stored: dict[int, bool] = field(factory=dict)
    _writer: RowWriter = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the writer of rows."""
        self._writer = RowWriter(self.store, STORE_TIMEOUT_S)

    def run_period(self, period_s: float, now: float) -> None:
        """Review the evidence; send it if it has changed, or is due again."""
        evidence = self.guard.evidence
        self.guard.review(SETTLE_PERIODS * period_s, now, self.contact.since(now))
        if evidence.local_changes != self._sent_local:
            self._sent_local = evidence.local_changes
            self._local_repeats = REPEATS
        if evidence.revision != self._sent_revision:
            self._sent_revision = evidence.revision
            self._repeats = REPEATS
        hubs = self.members.hubs(now)
        receivers: set[Address] = set()
        if self._local_repeats:
            self._local_repeats -= 1
            found = [self.members.get(node) for node in hubs]
            receivers.update(member.address for member in found if member)
        if self.settings.node in hubs and self._broadcast_due(now):
            receivers.update(self.subscribers(now))
        if receivers:
            self.send(self._report(now), receivers)

    def handle_report(self, report: CrashReport, now: float) -> None:
        """Add the evidence of another gateway."""
        self.guard.merge(report, now)

    def restore(self, rows: Iterable[Row], now: float) -> None:
        """Refuse the content that the store names."""
        traits = self.note_stored(rows)
        if traits:
            self.guard.restore(traits, now)

    def note_stored(self, rows: Iterable[Row]) -> list[Trait]:
        """Record the rows of the store, so that only differences are written.

        Returns the content that they name.
        """
        named = []
        self._stored.clear()
        for row in rows:
            try:
                content = msgspec.json.decode(row.value, type=NamedContent)
                trait = Trait(int(row.key, 16), content.label)
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                log.warning("invalid row", table=row.table, reason=str(error))
                continue
            self._stored[trait.key] = content.named
            if content.named:
                named.append(trait)
        return named

    async def run(self) -> None:
        """Write changes of named content to the store, until cancelled.

        Only the first hub writes, so that each change costs one call.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(STORE_PERIOD_S)
            now = loop.time()
            if self.members.hubs(now)[:1] != [self.settings.node]:
                continue
            changes = self._store_changes(now)
            if not changes:
                continue
            try:
                written = await self._writer.write(changes, now)
            except PlatformError as error:
                log.info("writing named content failed, retrying", reason=str(error))
                continue
            for change in written:
                content = msgspec.json.decode(change.value, type=NamedContent)
                self._stored[int(change.key, 16)] = content.named

    def _report(self, now: float) -> CrashReport:
        return CrashReport(self.settings.node, self.guard.evidence.publish(now))

    def _broadcast_due(self, now: float) -> bool:
        if self._repeats:
            self._repeats -= 1
            self._refreshed_at = now
            return True
        if now - self._refreshed_at < REFRESH_PERIOD_S:
            return False
        report = self._report(now)
        if not report.suspects:
            return False
        size = len(encode(report)) * self.members.count()
        link_rate = self.settings.link_mbps * BYTES_PER_S_PER_MBPS
        if now - self._refreshed_at < size / (link_rate * REFRESH_LINK_FRACTION):
            return False
        self._refreshed_at = now
        return True

    def _store_changes(self, now: float) -> list[Change]:
        """Return the rows that differ from the named content."""
        named = {s.trait.key: s.trait for s in self.guard.evidence.all_named(now)}
        changed = {key: True for key in named if not self._stored.get(key)}
        changed |= {
            key: False
            for key, was_named in self._stored.items()
            if was_named and key not in named
        }
        return [
            Change(
                CONTENT_TABLE,
                "",
                f"{key:016x}",
                msgspec.json.encode(
                    NamedContent(named[key].label if key in named else "", is_named)
                ),
            )
            for key, is_named in changed.items()
        ]
