"""Snapshots of the configuration in the object store."""

from __future__ import annotations

import structlog

from flamingopond_core.configuration import Configuration
from flamingopond_core.exceptions import FlamingopondError
from flamingopond_core.revisions import SNAPSHOT_INTERVAL
from flamingopond_platform.objects import ObjectStore

# Maximum number of snapshots tried, newest first. A snapshot is missing if its writer
# died or the object store was down when it was due.
_MAX_SNAPSHOTS_TRIED = 4

logger = structlog.get_logger(__name__)


class ConfigurationSnapshots:
    """Objects ``config/snapshot/<revision>``, one every 256 revisions."""

    def __init__(self, objects: ObjectStore) -> None:
        """Create an accessor without a pending snapshot."""
        self._objects = objects
        self._pending: tuple[int, bytes] | None = None

    async def read_newest(self, head: int, after: int) -> Configuration | None:
        """Return the newest snapshot found with ``after`` < revision <= ``head``."""
        newest = head - head % SNAPSHOT_INTERVAL
        for revision in range(
            newest,
            newest - _MAX_SNAPSHOTS_TRIED * SNAPSHOT_INTERVAL,
            -SNAPSHOT_INTERVAL,
        ):
            if revision <= after:
                break
            try:
                data = await self._objects.get(_object_name(revision))
                if data is not None:
                    return Configuration.from_snapshot(data)
            except FlamingopondError as error:
                logger.warning("snapshot read failed", error=str(error))
                break
        return None

    def set_pending(self, configuration: Configuration) -> None:
        """Keep a snapshot of ``configuration`` for ``write_pending``."""
        self._pending = configuration.revision, configuration.to_snapshot()

    async def write_pending(self) -> None:
        """Write the pending snapshot; it stays pending if the store fails."""
        if self._pending is None:
            return
        revision, data = self._pending
        try:
            await self._objects.put(_object_name(revision), data)
        except FlamingopondError as error:
            logger.warning("snapshot write failed, retrying later", error=str(error))
            return
        if self._pending == (revision, data):
            self._pending = None


def _object_name(revision: int) -> str:
    return f"config/snapshot/{revision:012d}"
