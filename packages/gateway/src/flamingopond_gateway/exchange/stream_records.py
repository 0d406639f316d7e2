"""Records of where streams have begun, for callers that take them up elsewhere.

They are needed only while targets of several software versions serve. Each gateway
keeps its own and reports them to the hubs, which keep them as long as a stream lasts.
While they are needed, each hub writes them to the store, in a ring of rows of its own,
a few times a second. A stream whose record is lost can't go on.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec
import xxhash
from attrs import define, field, frozen

from ..messages import BegunStreams
from ..store.storage import Row

STREAMS_TABLE = "flamingopond-streams"
KEY_BYTES = 8
# Reports in which a record is repeated, as datagrams may be lost.
REPEATS = 3
# Records that a report holds; it stays below the size of a few packets.
MAX_REPORTED = 500
# Own records that are kept: a minute of streams at over a hundred times the share of
# one gateway.
MAX_OWN = 100_000
# Rows of a ring, which one process fills, and rings of a machine. A process takes the
# ring that has not been written for longest, so that the records of its last
# predecessors stay.
RING_ROWS = 64
RINGS = 4
# Rows that are filled in the time that a stream lasts at most.
ROWS_PER_STREAM = 24
# Most records of a row; their keys take at most half of the bytes that the store takes.
MAX_ROW_RECORDS = 3000
# Records that a hub keeps until they are written; the oldest are dropped.
MAX_UNWRITTEN = 20_000


@frozen
class StreamOrigin:
    """The service and the software version at which a stream has begun."""

    service: str
    software: str


def stream_key(workspace: str | None, request_id: str) -> int:
    """Return the key of the stream that an attempt of a workspace has begun."""
    text = f"{workspace or ''}\0{request_id}"
    key: int = xxhash.xxh3_64_intdigest(text.encode())
    return key


def encode_records(records: Iterable[tuple[int, StreamOrigin]]) -> list[BegunStreams]:
    """Return the records as they are sent and stored, grouped by origin."""
    grouped: dict[StreamOrigin, list[int]] = {}
    for key, origin in records:
        grouped.setdefault(origin, []).append(key)
    return [
        BegunStreams(origin.service, origin.software, encode_keys(keys))
        for origin, keys in grouped.items()
    ]


def encode_keys(keys: Iterable[int]) -> bytes:
    """Return keys as they are sent and stored."""
    return b"".join(key.to_bytes(KEY_BYTES, "big") for key in keys)


def decode_keys(keys: bytes) -> list[int]:
    """Return the keys in ``keys``; bytes beyond the last whole one are ignored."""
    return [
        int.from_bytes(keys[start : start + KEY_BYTES], "big")
        for start in range(0, len(keys) - KEY_BYTES + 1, KEY_BYTES)
    ]


def decode_records(groups: Iterable[BegunStreams]) -> list[tuple[int, StreamOrigin]]:
    """Return the keys and origins in ``groups``."""
    return [
        (key, StreamOrigin(group.service, group.software))
        for group in groups
        for key in decode_keys(group.keys)
    ]


def find_origins(rows: Iterable[Row], key: int) -> set[StreamOrigin]:
    """Return the origins that the store's rows name for a key; malformed rows none."""
    wanted = key.to_bytes(KEY_BYTES, "big")
    found: set[StreamOrigin] = set()
    for row in rows:
        try:
            groups = msgspec.msgpack.decode(row.value, type=list[BegunStreams])
        except (msgspec.MsgspecError, RecursionError):
            continue
        found.update(
            StreamOrigin(group.service, group.software)
            for group in groups
            if _contains(group.keys, wanted)
        )
    return found


def _contains(keys: bytes, wanted: bytes) -> bool:
    position = keys.find(wanted)
    while position >= 0 and position % KEY_BYTES:
        position = keys.find(wanted, position + 1)
    return position >= 0


@define
class OwnStreams:
    """Streams that have begun at this gateway; ``longest_s`` is how long one lasts."""

    _origins: dict[int, tuple[StreamOrigin, float]] = field(factory=dict)
    # Records still to be reported, and in how many reports.
    _unreported: dict[int, int] = field(factory=dict)

    def record(
        self, key: int, origin: StreamOrigin, longest_s: float, now: float
    ) -> None:
        """Record that a stream has begun; forget those that have ended by now."""
        self._origins.pop(key, None)
        self._origins[key] = (origin, now)
        self._unreported[key] = REPEATS
        while self._origins:
            oldest = next(iter(self._origins))
            expired = now - self._origins[oldest][1] > longest_s
            if not expired and len(self._origins) <= MAX_OWN:
                break
            del self._origins[oldest]
            self._unreported.pop(oldest, None)

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream that has begun here."""
        found = self._origins.get(key)
        return found[0] if found is not None else None

    def next_report(self) -> list[BegunStreams]:
        """Return the records for the next report, the newest first."""
        keys = list(self._unreported)[-MAX_REPORTED:]
        for key in keys:
            self._unreported[key] -= 1
            if not self._unreported[key]:
                del self._unreported[key]
        return encode_records((key, self._origins[key][0]) for key in keys)


@define
class RecordLog:
    """Records at a hub, and the row that its next write replaces."""

    _max_row_bytes: int = 65536
    # Records that no write has covered yet, with the time of their arrival.
    _unwritten: dict[int, tuple[StreamOrigin, float]] = field(factory=dict)
    _row: dict[int, StreamOrigin] = field(factory=dict)
    _previous: dict[int, StreamOrigin] = field(factory=dict)
    _ring: int | None = None
    # Versions of the machine's rows in the store, by key.
    _versions: dict[str, int] = field(factory=dict)
    _number: int = 0
    _row_ends_at: float = float("-inf")

    @property
    def pending(self) -> bool:
        """Whether there are records that no write has covered yet."""
        return bool(self._unwritten)

    @property
    def ready(self) -> bool:
        """Whether a ring has been chosen."""
        return self._ring is not None

    def stored(self, key: int) -> bool:
        """Whether the store has the record of a key."""
        known = key in self._row or key in self._previous
        return known and key not in self._unwritten

    def choose_ring(self, stored: Mapping[str, int]) -> None:
        """Choose the ring; ``stored`` are the machine's rows, key to version."""

        def newest(ring: int) -> int:
            prefix = _row_key(ring, 0)[:-2]
            found = (v for key, v in stored.items() if key.startswith(prefix))
            return max(found, default=0)

        self._ring = min(range(RINGS), key=newest)
        self._versions = dict(stored)

    def forget_ring(self) -> None:
        """Require another look at the machine's rows in the store."""
        self._ring = None

    def row_version(self, key: str) -> int:
        """Return the version of a row in the store, 0 if there is none.

        A write that expects it changes nothing if it is carried out late, after a
        newer one.
        """
        return self._versions.get(key, 0)

    def note_version(self, key: str, version: int) -> None:
        """Record the version of a row in the store."""
        self._versions[key] = version

    def add(self, groups: Iterable[BegunStreams], now: float) -> None:
        """Add reported records; repeated ones are ignored."""
        for key, origin in decode_records(groups):
            if origin not in (self._row.get(key), self._previous.get(key)):
                self._unwritten[key] = (origin, now)
        while len(self._unwritten) > MAX_UNWRITTEN:
            del self._unwritten[next(iter(self._unwritten))]

    def write_again(self, now: float) -> None:
        """Write the last two rows again, which the store may have lost."""
        for records in (self._previous, self._row):
            for key, origin in records.items():
                self._unwritten.setdefault(key, (origin, now))

    def expire(self, longest_s: float, now: float) -> None:
        """Drop the records of streams that have ended; they last ``longest_s`` at most.

        Without them, a hub would write them all as soon as records are needed.
        """
        while self._unwritten:
            oldest = next(iter(self._unwritten))
            if now - self._unwritten[oldest][1] <= longest_s:
                return
            del self._unwritten[oldest]

    def next_row(self, longest_s: float, now: float) -> tuple[str, bytes] | None:
        """Return key and value of the row to write, or None if there is nothing new.

        ``longest_s`` is how long a stream lasts at most.
        """
        if not self._unwritten or self._ring is None:
            return None
        most = min(MAX_ROW_RECORDS, self._max_row_bytes // 2 // KEY_BYTES)
        if now >= self._row_ends_at or len(self._row) >= most:
            self._number += 1
            self._row_ends_at = now + longest_s / ROWS_PER_STREAM
            self._previous, self._row = self._row, {}
        for key in list(self._unwritten)[: most - len(self._row)]:
            self._row[key] = self._unwritten[key][0]
        value = msgspec.msgpack.encode(encode_records(self._row.items()))
        return _row_key(self._ring, self._number), value

    def note_written(self) -> None:
        """Record that the store has taken the row."""
        for key, origin in self._row.items():
            if self._unwritten.get(key, (None,))[0] == origin:
                del self._unwritten[key]

    def drop_row(self) -> None:
        """Give up the records of the row, which the store refuses, and end the row."""
        for key in self._row:
            self._unwritten.pop(key, None)
        self._row = {}
        self._row_ends_at = float("-inf")


def _row_key(ring: int, number: int) -> str:
    return f"{ring}-{number % RING_ROWS:02}"
