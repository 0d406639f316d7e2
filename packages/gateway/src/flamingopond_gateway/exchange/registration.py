"""Registration of the gateways in the store, so that those that start find them.

Each gateway writes its row at its start. If the store comes back from an older copy,
rows are missing; the first hub then writes those of the gateways that it hears.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec
import structlog
from attrs import define

from flamingopond_core.exceptions import PlatformError

from ..clock import boot_time
from ..settings import GatewaySettings
from ..store.row_writer import batches
from ..store.software_history import SOFTWARE_TABLE
from ..store.storage import Change, Row, Rows, Store
from ..store.watch import EraTracker
from .crashlink import CONTENT_TABLE, CrashLink
from .hub import Hub
from .members import SILENCE_TIMEOUT_S, Members, Registration

MEMBERS_TABLE = "flamingopond-members"
# Time limit of the first try to register; it doubles up to the maximum.
REGISTER_TIMEOUT_S = 1.0
MAX_REGISTER_TIMEOUT_S = 4.0
REGISTER_RETRY_S = 0.3
# Period in which a hub looks whether rows have to be written again.
REVIEW_PERIOD_S = 0.25
# A row with another address may be that of a gateway that has just started elsewhere.
# It is replaced only if its gateway is still heard at the former one after this time.
CONFIRMATION_S = 2 * SILENCE_TIMEOUT_S

log = structlog.get_logger()


def outdated_registrations(
    rows: Iterable[Row], present: dict[str, Registration], differing: bool
) -> dict[str, int]:
    """Return the gateways whose rows have to be written, with their rows' versions.

    ``present`` are the registrations of gateways that are heard. Counted are missing
    rows, for which the version is 0, and with ``differing`` those with other content.
    """
    stored = {row.key: row for row in rows}
    outdated = {}
    for node, registration in present.items():
        row = stored.get(node)
        if row is None:
            outdated[node] = 0
        elif differing and row.value != msgspec.json.encode(registration):
            outdated[node] = row.version
    return outdated


@define(eq=False)
class Registrar:
    """Registers this gateway, and as the first hub keeps the rows of all complete."""

    settings: GatewaySettings
    store: Store
    store_era: EraTracker
    members: Members
    hub: Hub
    crash_link: CrashLink
    restore_history: Callable[[Rows, float], None]
    _version: int = 0
    _reviewed_era: int = -1
    _confirmed_era: int = -1
    _reviewed_at: float = 0.0

    @property
    def version(self) -> int:
        """Version of this gateway's row at its start, 0 before it is registered."""
        return self._version

    async def register(self) -> None:
        """Write this gateway's row and read those of the others; retry until done."""
        loop = asyncio.get_running_loop()
        change = self._change(self.settings.node, self._own_registration(), None)
        written_version = None
        timeout_s = REGISTER_TIMEOUT_S
        while not self._version:
            try:
                if written_version is None:
                    written_version = await self.store.write([change], timeout_s)
                listed = await self.store.read(MEMBERS_TABLE, timeout_s)
                fatal_content = await self.store.read(CONTENT_TABLE, timeout_s)
                read_at = boot_time()
                software = await self.store.read(SOFTWARE_TABLE, timeout_s)
            except PlatformError as error:
                log.info("registration failed, retrying", reason=str(error))
                # More gateways may register at once than the store serves in time.
                timeout_s = min(2 * timeout_s, MAX_REGISTER_TIMEOUT_S)
                await asyncio.sleep(REGISTER_RETRY_S * random.uniform(0.5, 1.5))
                continue
            for member_row in listed.rows:
                self._add_member(member_row)
            self.crash_link.restore(fatal_content.rows, loop.time())
            self.restore_history(software, read_at)
            self._version = written_version
            # ``at_s`` is a time of the event loop's monotonic clock.
            log.info(
                "registered",
                boot=written_version,
                members=self.members.count(),
                at_s=loop.time(),
            )

    async def run(self) -> None:
        """Write missing rows while this gateway is the first hub, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(REVIEW_PERIOD_S)
            now = loop.time()
            if self.members.hubs(now)[:1] != [self.settings.node]:
                continue
            era = self.store_era.era
            confirming = (
                self._confirmed_era < era
                and now - self._reviewed_at > CONFIRMATION_S
                and self._reviewed_era == era
            )
            if self._reviewed_era == era and not confirming:
                continue
            try:
                await self._review(confirming)
            except PlatformError as error:
                log.info("reviewing registrations failed", reason=str(error))
                continue
            self._reviewed_era = era
            self._reviewed_at = loop.time()
            if confirming:
                self._confirmed_era = era

    async def _review(self, differing: bool) -> None:
        """Write the rows that the store lacks; see ``outdated_registrations``."""
        listed = await self.store.read(MEMBERS_TABLE, REGISTER_TIMEOUT_S)
        content = await self.store.read(CONTENT_TABLE, REGISTER_TIMEOUT_S)
        self.crash_link.note_stored(content.rows)
        present = self._heard_registrations()
        outdated = outdated_registrations(listed.rows, present, differing)
        changes = [
            self._change(node, present[node], version)
            for node, version in outdated.items()
        ]
        for batch in batches(changes):
            await self.store.write(batch, REGISTER_TIMEOUT_S)
        if outdated:
            log.warning(
                "registrations written again",
                era=self.store_era.era,
                nodes=",".join(outdated),
            )
            # Gateways that started meanwhile have not read these rows.
            self.hub.announce(outdated, asyncio.get_running_loop().time())

    def _heard_registrations(self) -> dict[str, Registration]:
        heard = {
            member.node: Registration(*member.address, member.capacity)
            for member in self.members
            if member.silent_since is None
        }
        return heard | {self.settings.node: self._own_registration()}

    def _own_registration(self) -> Registration:
        settings = self.settings
        return Registration(settings.ip, settings.peer_port, int(settings.link_mbps))

    def _change(
        self, node: str, registration: Registration, expected_version: int | None
    ) -> Change:
        value = msgspec.json.encode(registration)
        return Change(MEMBERS_TABLE, "", node, value, expected_version)

    def _add_member(self, row: Row) -> None:
        try:
            registration = msgspec.json.decode(row.value, type=Registration)
        except (msgspec.MsgspecError, RecursionError) as error:
            log.warning("invalid registration row", node=row.key, reason=str(error))
            return
        address = (registration.ip, registration.port)
        self.members.add(row.key, address, row.version, registration.capacity)
