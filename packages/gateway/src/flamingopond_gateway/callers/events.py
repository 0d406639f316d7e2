"""Splitting of a byte stream at the boundaries of server-sent events."""

from __future__ import annotations

import re

from attrs import define, field

# A blank line; lines end with LF or CR LF (a lone CR, which the format allows, too, is
# not known here).
_EVENT_ENDS = (b"\n\n", b"\n\r\n")
_LONGEST_END = 3
# A block without such a line is a comment or a setting, which callers' clients skip.
_EVENT_LINE = re.compile(rb"(?:^|\n)(?:data|id)(?::|\r?\n)")
# Longer ids are not used; `int` refuses texts of more than 4300 digits.
_MAX_ID_DIGITS = 18


def has_event(block: bytes) -> bool:
    """Whether ``block`` has more than comments, which keep a connection open.

    ``block`` must consist of complete events and comments.
    """
    return _EVENT_LINE.search(block) is not None


def last_event_id(block: bytes) -> int | None:
    """Return the id of the last event in ``block`` that has one.

    ``block`` must consist of complete events.
    """
    id_line_start = block.rfind(b"\nid:")
    if id_line_start < 0:
        if not block.startswith(b"id:"):
            return None
        id_line_start = -1
    end = block.find(b"\n", id_line_start + 1)
    return _decode_id(block[id_line_start + 4 : end])


def first_event_id(block: bytes) -> int | None:
    """Return the id of the first event in ``block`` that has one.

    ``block`` must consist of complete events.
    """
    start = 0 if block.startswith(b"id:") else block.find(b"\nid:") + 1
    if not block.startswith(b"id:", start):
        return None
    return _decode_id(block[start + 3 : block.find(b"\n", start)])


def _decode_id(value: bytes) -> int | None:
    value = value.strip()
    return int(value) if value.isdigit() and len(value) <= _MAX_ID_DIGITS else None


def _last_end(data: bytes | bytearray, start: int) -> int:
    """Return where the last complete event ends, 0 if none does after ``start``."""
    found = ((data.rfind(end, start), len(end)) for end in _EVENT_ENDS)
    return max(
        (position + length for position, length in found if position >= 0), default=0
    )


@define
class EventSplitter:
    """Returns complete events and buffers an incomplete one until the rest arrives.

    Its cost is linear in the received bytes, however small the pieces are.
    """

    _partial: bytearray = field(factory=bytearray)
    _last_id: int | None = None

    @property
    def last_id(self) -> int | None:
        """Id of the last complete event."""
        return self._last_id

    @property
    def partial_bytes(self) -> int:
        """Number of buffered bytes of the event that is still incomplete."""
        return len(self._partial)

    def feed(self, data: bytes) -> bytes:
        """Add received data; return the events completed by it, often none or one."""
        if self._partial:
            # The end of an event may have been cut in two.
            search_start = max(len(self._partial) - _LONGEST_END + 1, 0)
            self._partial += data
            end = _last_end(self._partial, search_start)
            if not end:
                return b""
            events = bytes(self._partial[:end])
            del self._partial[:end]
        else:
            end = _last_end(data, 0)
            if not end:
                self._partial += data
                return b""
            events = data[:end]
            self._partial += data[end:]
        event_id = last_event_id(events)
        if event_id is not None:
            self._last_id = event_id
        return events

    def discard_partial(self) -> None:
        """Drop an incomplete event before the stream resumes from ``last_id``."""
        self._partial.clear()
