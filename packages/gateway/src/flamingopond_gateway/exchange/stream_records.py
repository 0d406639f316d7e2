"""Records of where streams have begun, for callers that take them up elsewhere.

They are needed only while targets of several software versions serve. Each gateway
keeps its own and reports them to the hubs, which keep them as long as a stream lasts,
and tell them to gateways that ask. While they are needed, each hub writes them to the
store, in a ring of rows of its own, a few times a second. A stream whose record is lost
can't go on.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping

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
# Records that a hub keeps; the oldest are dropped.
MAX_KEPT = 20_000


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
    _unreported: dict[int, tuple[StreamOrigin, int]] = field(factory=dict)

    def record(
        self, key: int, origin: StreamOrigin, longest_s: float, now: float
    ) -> None:
        """Record that a stream has begun; forget those that have ended by now."""
        self._origins.pop(key, None)
        self._origins[key] = (origin, now)
        self._unreported[key] = (origin, REPEATS)
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

    def report_again(self, records: Iterable[tuple[int, StreamOrigin]]) -> None:
        """Report records that a new hub doesn't know, after those that are due."""
        due = self._unreported
        self._unreported = {key: (origin, REPEATS) for key, origin in records} | due

    def next_report(self) -> list[BegunStreams]:
        """Return the records for the next report, the newest first."""
        records = []
        for key in list(self._unreported)[-MAX_REPORTED:]:
            origin, repeats = self._unreported[key]
            records.append((key, origin))
            if repeats > 1:
                self._unreported[key] = (origin, repeats - 1)
            else:
                del self._unreported[key]
        return encode_records(records)


@define
class RecordLog:
    """Records at a hub, and the row that its next write replaces."""

    _max_row_bytes: int = 65536
    # Streams that may still go on, with the time of the report, the oldest first.
    _known: dict[int, tuple[StreamOrigin, float]] = field(factory=dict)
    # Keys that no write has covered yet, in order, and those that one has covered.
    _unwritten: dict[int, None] = field(factory=dict)
    _written: set[int] = field(factory=set)
    _row: dict[int, StreamOrigin] = field(factory=dict)
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

    def find(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream that has been reported."""
        found = self._known.get(key)
        return found[0] if found is not None else None

    def records(self) -> Iterator[tuple[int, StreamOrigin]]:
        """Return all records, the oldest first."""
        return ((key, origin) for key, (origin, _) in self._known.items())

    def stored(self, key: int) -> bool:
        """Whether the store has the record of a key."""
        return key in self._written

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
            if self.find(key) != origin:
                self._forget(key)
                self._known[key] = (origin, now)
                self._unwritten[key] = None
        while len(self._known) > MAX_KEPT:
            self._forget(next(iter(self._known)))

    def write_again(self) -> None:
        """Write all records again, which the store may have lost."""
        self._written.clear()
        self._unwritten = dict.fromkeys(self._known)
        self._end_row()

    def expire(self, longest_s: float, now: float) -> None:
        """Drop the records of streams that have ended; they last ``longest_s`` at most.

        The others are kept also once they are written: callers may take the streams
        up, and another hub or a restored store may lack them.
        """
        while self._known:
            oldest = next(iter(self._known))
            if now - self._known[oldest][1] <= longest_s:
                return
            self._forget(oldest)

    def _forget(self, key: int) -> None:
        self._known.pop(key, None)
        self._unwritten.pop(key, None)
        self._written.discard(key)

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
            self._row = {}
        for key in list(self._unwritten)[: most - len(self._row)]:
            self._row[key] = self._known[key][0]
        value = msgspec.msgpack.encode(encode_records(self._row.items()))
        return _row_key(self._ring, self._number), value

    def note_written(self) -> None:
        """Record that the store has taken the row."""
        for key, origin in self._row.items():
            if self.find(key) == origin:
                self._unwritten.pop(key, None)
                self._written.add(key)

    def drop_row(self) -> None:
        """End the row, which the store refuses; its records are not written again."""
        for key in self._row:
            self._unwritten.pop(key, None)
        self._end_row()

    def _end_row(self) -> None:
        self._row = {}
        self._row_ends_at = float("-inf")


def _row_key(ring: int, number: int) -> str:
    return f"{ring}-{number % RING_ROWS:02}"
