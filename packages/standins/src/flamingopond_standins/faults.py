"""Faults that a fake service injects, read from a table.

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
    """Kinds of faults.

    * ``down``: the listener and all connections are closed for ``for_s``.
    * ``refuse``: the response is 503 and the request is not handled.
    * ``slow``: the request is handled after ``delay_s``.
    * ``lost``: the connection is closed and the request is not handled.
    * ``reply_lost``: the request is handled and the connection closed without a
      response; of a stream, the first ``after_chunks`` chunks are sent.
    * ``late``: the connection is closed at once, and the request is handled after
      ``delay_s``.
    * ``repeated``: the request is handled again after ``delay_s``.
    * ``silent``: the connection stays open, but sends no response, or nothing after
      ``after_chunks`` chunks of a stream; other connections work.
    * ``paused``: the whole service stops for ``for_s`` and then continues.
    * ``crash``: the process ends after it has handled the request, or sent
      ``after_chunks`` chunks of a stream, without a complete response.
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

    It matches requests whose path starts with ``path`` and whose body contains
    ``text``. It skips the first ``skip`` of them and then hits each with
    ``probability``, at most ``count`` times (0: no limit).
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
    _matched: int = attrs.field(default=0, init=False)
    _hits: int = attrs.field(default=0, init=False)

    def count_match(self, path: str, body: bytes, rng: random.Random) -> bool:
        """Return whether the fault hits this request, and update its counters."""
        if not path.startswith(self.path) or self.text.encode() not in body:
            return False
        self._matched += 1
        if self._matched <= self.skip or (self.count and self._hits >= self.count):
            return False
        if self.probability < 1.0 and rng.random() >= self.probability:
            return False
        self._hits += 1
        return True


class FaultTable:
    """The faults of one fake service."""

    def __init__(self, faults: Sequence[Fault] = (), seed: int = 0) -> None:
        """Start with ``faults``; ``seed`` is for faults with a probability."""
        self._faults: list[Fault] = []
        self._rng = random.Random(seed)
        self._down_until = 0.0
        self._paused_until = 0.0
        self.replace(faults)

    @property
    def down_s(self) -> float:
        """Remaining seconds for which the service is down, or 0."""
        return max(0.0, self._down_until - time.monotonic())

    @property
    def paused_s(self) -> float:
        """Remaining seconds for which the service is paused, or 0."""
        return max(0.0, self._paused_until - time.monotonic())

    def replace(self, faults: Sequence[Fault]) -> None:
        """Replace all faults; ``down`` and ``paused`` begin at once."""
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
        """Replace all faults by a JSON list of them. Raises ``ValueError``."""
        self.replace(decode(data, list[Fault]))

    def clear(self) -> None:
        """Remove all faults."""
        self.replace(())

    def take_down(self, for_s: float) -> None:
        """Take the service down for ``for_s`` seconds."""
        self._down_until = time.monotonic() + for_s

    def match(self, path: str, body: bytes) -> Fault | None:
        """Return the first fault that hits this request."""
        for fault in self._faults:
            if fault.count_match(path, body, self._rng):
                return fault
        return None

    async def wait_while_paused(self) -> None:
        """Wait while the service is paused."""
        while remaining_s := self.paused_s:
            await anyio.sleep(min(remaining_s, 0.05))
