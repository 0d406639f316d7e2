"""Snapshots of the configuration in the object store."""

from __future__ import annotations

import structlog

from flamingopond_core.configuration import Configuration
from flamingopond_core.exceptions import FlamingopondError
from flamingopond_core.revisions import SNAPSHOT_INTERVAL
from flamingopond_platform.objects import ObjectStore

# Snapshots tried at a start, newest first; one is missing if its writer died, or
# if the object store was down when it was due.
_TRIED = 4

logger = structlog.get_logger(__name__)


class ConfigurationSnapshots:
    """Objects ``config/snapshot/<revision>``, one every 256 revisions."""

    def __init__(self, objects: ObjectStore) -> None:
        """Use ``objects``; nothing is read or written yet."""
        self._objects = objects
        self._pending: tuple[int, bytes] | None = None

    async def read_newest(self, head: int, above: int) -> Configuration | None:
        """Return the newest snapshot found in (``above``, ``head``], if any."""
        due = head - head % SNAPSHOT_INTERVAL
        for revision in range(
            due, due - _TRIED * SNAPSHOT_INTERVAL, -SNAPSHOT_INTERVAL
        ):
            if revision <= above:
                break
            try:
                data = await self._objects.get(_name_of(revision))
                if data is not None:
                    return Configuration.from_snapshot(data)
            except FlamingopondError as error:
                logger.warning("snapshot cannot be read", error=str(error))
                break
        return None

    def keep(self, configuration: Configuration) -> None:
        """Keep a snapshot of the present revision for ``write_pending``."""
        self._pending = configuration.revision, configuration.to_snapshot()

    async def write_pending(self) -> None:
        """Write the kept snapshot; it stays kept if the store fails."""
        if self._pending is None:
            return
        revision, data = self._pending
        try:
            await self._objects.put(_name_of(revision), data)
        except FlamingopondError as error:
            logger.warning("snapshot is written later", error=str(error))
            return
        if self._pending == (revision, data):
            self._pending = None


def _name_of(revision: int) -> str:
    return f"config/snapshot/{revision:012d}"
