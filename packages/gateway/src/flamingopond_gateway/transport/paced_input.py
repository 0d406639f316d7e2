"""Fair shares of the event loop for connections whose input is costly to parse.

A parser calls back once for each header and each chunk, so that the cost of input
follows its framing, not its size.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import ClassVar
from weakref import WeakKeyDictionary

from attrs import define

# Parser callbacks of a connection that are made as its bytes arrive; what exceeds
# them waits for its turn in the scheduler.
DIRECT_CALLBACKS_PER_S = 500.0
MAX_DIRECT_CALLBACKS = 1024.0
# Callbacks that one slice of input should cause, and the bytes of a slice. The cost of
# a new connection's input is unknown.
SLICE_CALLBACKS = 512
FIRST_SLICE_BYTES = 4096
MIN_SLICE_BYTES = 512
MAX_SLICE_BYTES = 65536
# Bytes read from a socket at a time.
READ_BYTES = 65536
# Time that the scheduler uses in one pass of the event loop, and its share of all time.
TURN_S = 0.002
SCHEDULER_SHARE = 0.5
# Chunks of one body beyond one for so many bytes. The allowance is restored with time,
# so that a slow body may have chunks of any size.
BYTES_PER_CHUNK = 64
MAX_SMALL_CHUNKS = 131072
SMALL_CHUNKS_PER_S = 1000.0


@define
class CallbackAllowance:
    """A token bucket of the parser callbacks that a connection may cause directly.

    It is refilled when it is empty, as its use is a part of each read.
    """

    _tokens: float = MAX_DIRECT_CALLBACKS
    _refilled_at: float = 0.0

    def use(self, callbacks: int) -> None:
        """Take ``callbacks`` that have been made."""
        self._tokens -= callbacks

    def available(self, now: float) -> bool:
        """Whether more callbacks may be made directly."""
        if self._tokens <= 0:
            refill = (now - self._refilled_at) * DIRECT_CALLBACKS_PER_S
            tokens = max(self._tokens, -MAX_DIRECT_CALLBACKS) + refill
            self._tokens = min(MAX_DIRECT_CALLBACKS, tokens)
            self._refilled_at = now
        return self._tokens > 0


@define
class ChunkAllowance:
    """Bounds the small chunks of one body, which cost more than they carry.

    What is restored with time is counted when the allowance is used up.
    """

    _excess: float = 0.0
    _restored_at: float = 0.0

    def use(self, chunks: int, size: int, now: float) -> bool:
        """Record chunks of ``size`` bytes together; return whether they are allowed."""
        excess = self._excess + chunks - size / BYTES_PER_CHUNK
        if excess > MAX_SMALL_CHUNKS:
            excess -= (now - self._restored_at) * SMALL_CHUNKS_PER_S
            self._restored_at = now
        self._excess = max(excess, 0.0)
        return excess <= MAX_SMALL_CHUNKS


def next_slice_bytes(slice_bytes: int, callbacks: int) -> int:
    """Return the size of the next slice after one that caused ``callbacks``."""
    if callbacks > SLICE_CALLBACKS:
        return max(slice_bytes // 2, MIN_SLICE_BYTES)
    if callbacks < SLICE_CALLBACKS // 4:
        return min(slice_bytes * 2, MAX_SLICE_BYTES)
    return slice_bytes


def pause_after_turn_s(turn_s: float) -> float:
    """Return the time to the scheduler's next turn after one that took ``turn_s``."""
    return turn_s * (1 / SCHEDULER_SHARE - 1)


class PacedInput:
    """The received bytes of one connection on their way to its parser.

    Reading from the transport pauses while bytes wait here or the owner holds them.
    """

    def __init__(self, parse: Callable[[bytes | memoryview], None]) -> None:
        """``parse`` takes the next bytes; the owner counts its callbacks."""
        self._parse = parse
        self._loop = asyncio.get_running_loop()
        self._scheduler = InputScheduler.of(self._loop)
        self._transport: asyncio.Transport | None = None
        self._allowance = CallbackAllowance()
        self._slice_bytes = FIRST_SLICE_BYTES
        self._callbacks = 0
        self._backlog: deque[memoryview] = deque()
        self._held = False
        self._queued = False
        self._reading = True

    @property
    def buffer(self) -> bytearray:
        """The buffer that all connections of the event loop read into."""
        return self._scheduler.buffer

    @property
    def waiting(self) -> bool:
        """Whether received bytes have not been parsed yet."""
        return bool(self._backlog)

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes that wait here."""
        return sum(map(len, self._backlog))

    @property
    def callbacks(self) -> int:
        """Number of callbacks that the present slice has caused."""
        return self._callbacks

    @property
    def runnable(self) -> bool:
        """Whether bytes wait only for their turn."""
        return bool(self._backlog) and not self._held

    @property
    def peer(self) -> str:
        """IP address of the peer."""
        if self._transport is None:
            return ""
        name = self._transport.get_extra_info("peername")
        return str(name[0]) if name else ""

    def attach(self, transport: asyncio.Transport) -> None:
        """Control reading from ``transport`` from now on."""
        self._transport = transport

    def count_callback(self) -> None:
        """Count a callback of the parser."""
        self._callbacks += 1

    def receive(self, data: bytes) -> None:
        """Parse received bytes now as far as the allowance goes, the rest in turn."""
        now = self._loop.time()
        if (
            len(data) <= self._slice_bytes
            and not (self._backlog or self._held)
            and self._allowance.available(now)
        ):
            self._parse_now(data)
            return
        self._backlog.append(memoryview(data))
        if not self._queued:
            while self.runnable and self._allowance.available(now):
                self.parse_slice()
        self._update()

    def parse_slice(self) -> None:
        """Parse the next slice of the bytes that wait."""
        data = self._backlog.popleft()
        if len(data) > self._slice_bytes:
            self._backlog.appendleft(data[self._slice_bytes :])
            data = data[: self._slice_bytes]
        self._parse_now(data)

    def _parse_now(self, data: bytes | memoryview) -> None:
        self._callbacks = 0
        self._parse(data)
        self._allowance.use(self._callbacks)
        if len(data) == self._slice_bytes or self._callbacks > SLICE_CALLBACKS:
            self._slice_bytes = next_slice_bytes(self._slice_bytes, self._callbacks)

    def end_turn(self) -> None:
        """Leave the scheduler unless bytes still wait for their turn."""
        self._queued = False
        self._update()

    def hold(self) -> None:
        """Parse no more bytes until ``release``."""
        self._held = True
        self._update()

    def release(self) -> None:
        """Go on after ``hold``."""
        if self._held:
            self._held = False
            self._update()

    def clear(self) -> None:
        """Drop the bytes that wait."""
        self._backlog.clear()
        self._update()

    def _update(self) -> None:
        if self.runnable and not self._queued:
            self._queued = True
            self._scheduler.add(self)
        if self._transport is None or self._transport.is_closing():
            return
        reading = not self._backlog and not self._held
        if reading is not self._reading:
            self._reading = reading
            if reading:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()


class InputScheduler:
    """Parses costly input of all connections of an event loop in turn."""

    _by_loop: ClassVar[WeakKeyDictionary[asyncio.AbstractEventLoop, InputScheduler]] = (
        WeakKeyDictionary()
    )

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Start without a connection."""
        self._loop = loop
        self._queue: deque[PacedInput] = deque()
        self._scheduled = False
        self._next_turn_at = 0.0
        # Callbacks of a read take the bytes before the next one.
        self.buffer = bytearray(READ_BYTES)

    @classmethod
    def of(cls, loop: asyncio.AbstractEventLoop) -> InputScheduler:
        """Return the scheduler of an event loop."""
        scheduler = cls._by_loop.get(loop)
        if scheduler is None:
            scheduler = cls._by_loop[loop] = cls(loop)
        return scheduler

    @property
    def waiting(self) -> int:
        """Number of connections whose input waits for its turn."""
        return len(self._queue)

    @property
    def peers(self) -> set[str]:
        """IP addresses whose input waits for its turn."""
        return {item.peer for item in self._queue}

    def add(self, item: PacedInput) -> None:
        """Give a connection turns until its input has been parsed."""
        self._queue.append(item)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._loop.call_at(self._next_turn_at, self._take_turn)

    def _take_turn(self) -> None:
        self._scheduled = False
        now = self._loop.time()
        # `loop.time` stands still within a pass of the event loop.
        began_at = time.perf_counter()
        turn_s = 0.0
        try:
            for _ in range(len(self._queue)):
                item = self._queue.popleft()
                if item.runnable:
                    item.parse_slice()
                if item.runnable:
                    self._queue.append(item)
                else:
                    item.end_turn()
                turn_s = time.perf_counter() - began_at
                if turn_s >= TURN_S:
                    break
        finally:
            self._next_turn_at = now + turn_s + pause_after_turn_s(turn_s)
            if self._queue:
                self._schedule()
