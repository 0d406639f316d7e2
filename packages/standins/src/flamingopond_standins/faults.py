"""Faults that a stand-in injects, read from a table.

The table is a JSON list of objects with the fields of ``Fault``, for example
``[{"kind": "reply_lost", "path": "/table/commit", "count": 1}]``.
"""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from enum import StrEnum

import anyio
import attrs

from flamingopond_platform.wire import decode


class FaultKind(StrEnum):
    """What goes wrong.

    * ``down``: the listener and all connections are closed for ``for_s``.
    * ``refuse``: 503, nothing is done.
    * ``slow``: the request is handled after ``delay_s``.
    * ``lost``: the connection is closed and the request is not handled.
    * ``reply_lost``: the request is handled and the connection closed without reply;
      of a stream, the first ``after_chunks`` chunks are sent.
    * ``late``: the connection is closed at once, the request handled after
      ``delay_s``.
    * ``repeated``: the request is handled again after ``delay_s``.
    * ``silent``: the connection sends nothing any more (after ``after_chunks`` chunks
      of a stream); other connections work.
    * ``paused``: the whole stand-in stops for ``for_s`` and goes on where it was.
    * ``crash``: the process dies when it has started to run the request.
    """

    DOWN = "down"
    REFUSE = "refuse"
    SLOW = "slow"
    LOST = "lost"
    REPLY_LOST = "reply_lost"
    LATE = "late"
    REPEATED = "repeated"
    SILENT = "silent"
    PAUSED = "paused"
    CRASH = "crash"


@attrs.define
class Fault:
    """One fault.

    It applies to requests whose path starts with ``path`` and whose body contains
    ``text``, after the first ``skip`` such requests, ``count`` times (0: always),
    each time with ``probability``.
    """

    kind: FaultKind
    path: str = "/"
    text: str = ""
    skip: int = 0
    count: int = 0
    probability: float = 1.0
    delay_s: float = 0.0
    for_s: float = 1.0
    after_chunks: int = 0
    _seen: int = attrs.field(default=0, init=False)
    _applied: int = attrs.field(default=0, init=False)

    def applies(self, path: str, body: bytes, rng: random.Random) -> bool:
        """Tell whether the fault hits this request, and count it."""
        if not path.startswith(self.path) or self.text.encode() not in body:
            return False
        self._seen += 1
        if self._seen <= self.skip or (self.count and self._applied >= self.count):
            return False
        if self.probability < 1.0 and rng.random() >= self.probability:
            return False
        self._applied += 1
        return True


class FaultTable:
    """The faults of one stand-in."""

    def __init__(self, faults: Sequence[Fault] = (), seed: int = 0) -> None:
        """Start with ``faults``; ``seed`` drives faults with a probability."""
        self._faults: list[Fault] = []
        self._rng = random.Random(seed)
        self._down_until = 0.0
        self._paused_until = 0.0
        self.replace(faults)

    @property
    def down_s(self) -> float:
        """Seconds for which the stand-in is still down, or 0."""
        return max(0.0, self._down_until - time.monotonic())

    @property
    def paused_s(self) -> float:
        """Seconds for which the stand-in is still paused, or 0."""
        return max(0.0, self._paused_until - time.monotonic())

    def replace(self, faults: Sequence[Fault]) -> None:
        """Use these faults instead; ``down`` and ``paused`` begin at once."""
        now = time.monotonic()
        self._faults = []
        self._down_until = self._paused_until = 0.0
        for fault in faults:
            if fault.kind is FaultKind.DOWN:
                self._down_until = now + fault.for_s
            elif fault.kind is FaultKind.PAUSED:
                self._paused_until = now + fault.for_s
            else:
                self._faults.append(fault)

    def replace_from_json(self, data: bytes) -> None:
        """Use the faults in the JSON list ``data``. Raises ``ValueError``."""
        self.replace(decode(data, list[Fault]))

    def clear(self) -> None:
        """End all faults."""
        self.replace(())

    def crash(self, for_s: float) -> None:
        """Take the stand-in down for ``for_s`` seconds."""
        self._down_until = time.monotonic() + for_s

    def match(self, path: str, body: bytes) -> Fault | None:
        """Return the first fault that hits this request."""
        for fault in self._faults:
            if fault.applies(path, body, self._rng):
                return fault
        return None

    async def running(self) -> None:
        """Wait while the stand-in is paused."""
        while pause := self.paused_s:
            await anyio.sleep(min(pause, 0.05))
