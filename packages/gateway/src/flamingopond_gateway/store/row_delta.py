"""Differences between two versions of a row, to send a change instead of the whole.

Rows are JSON texts. They are compared in pieces that end where an object ends, so that
a change of one route costs about as much as that route, however many there are. That
the cost of an update should follow what it affects is the finding of Challenger et al.,
"Efficiently Serving Dynamic Data at Highly Accessed Web Sites"; their dependence graph
is not used.
"""

from __future__ import annotations

import zlib

import msgspec
from attrs import define, field

from flamingopond_core.exceptions import FlamingopondError

PIECE_END = b"},"
# Smaller rows are sent whole.
MIN_DELTA_BYTES = 4096
# Versions of a row that are kept, so that peers which have them get a difference.
KEPT_VERSIONS = 4
COMPRESSION_LEVEL = 1


class RowDeltaError(FlamingopondError):
    """A difference doesn't fit the row that it is applied to."""


class _Delta(msgspec.Struct, array_like=True, frozen=True):
    """Pieces of the new value: bytes, or the start and number of pieces of the base."""

    checksum: int
    pieces: list[bytes | tuple[int, int]]


_decoder = msgspec.msgpack.Decoder(_Delta)


def encode_delta(base: bytes, value: bytes) -> bytes | None:
    """Return the difference from ``base`` to ``value``, None if it is not smaller."""
    base_pieces = base.split(PIECE_END)
    new_pieces = value.split(PIECE_END)
    positions: dict[bytes, int] = {}
    for position, piece in enumerate(base_pieces):
        positions.setdefault(piece, position)
    found: list[bytes | tuple[int, int]] = []
    added: list[bytes] = []
    index = 0
    while index < len(new_pieces):
        start = positions.get(new_pieces[index])
        if start is None:
            added.append(new_pieces[index])
            index += 1
            continue
        if added:
            found.append(PIECE_END.join(added))
            added = []
        count = 1
        while (
            new_pieces[index + count : index + count + 1]
            == base_pieces[start + count : start + count + 1]
            != []
        ):
            count += 1
        found.append((start, count))
        index += count
    if added:
        found.append(PIECE_END.join(added))
    delta = msgspec.msgpack.encode(_Delta(zlib.crc32(value), found))
    return delta if len(delta) < len(value) else None


def apply_delta(base: bytes, delta: bytes) -> bytes:
    """Return the value that ``delta`` makes of ``base``.

    Raises RowDeltaError if the base is another one, and msgspec.MsgspecError if the
    difference is malformed.
    """
    decoded = _decoder.decode(delta)
    base_pieces = base.split(PIECE_END)
    parts = []
    for piece in decoded.pieces:
        if isinstance(piece, bytes):
            parts.append(piece)
            continue
        start, count = piece
        copied = base_pieces[start : start + count] if start >= 0 else []
        if count < 1 or len(copied) != count:
            raise RowDeltaError("difference refers to pieces that the row lacks")
        parts.append(PIECE_END.join(copied))
    value = PIECE_END.join(parts)
    if zlib.crc32(value) != decoded.checksum:
        raise RowDeltaError("difference is from another version of the row")
    return value


@define
class RowHistory:
    """Recent values of the large rows of a table, kept compressed."""

    _values: dict[tuple[str, str], dict[int, bytes]] = field(factory=dict)

    def add(self, part: str, key: str, version: int, value: bytes) -> None:
        """Keep the value that a row had at ``version``."""
        if len(value) < MIN_DELTA_BYTES:
            return
        kept = self._values.setdefault((part, key), {})
        kept[version] = zlib.compress(value, COMPRESSION_LEVEL)
        while len(kept) > KEPT_VERSIONS:
            del kept[next(iter(kept))]

    def get(self, part: str, key: str, version: int) -> bytes | None:
        """Return the value that a row had at ``version``, None if it is not kept."""
        compressed = self._values.get((part, key), {}).get(version)
        return zlib.decompress(compressed) if compressed is not None else None
