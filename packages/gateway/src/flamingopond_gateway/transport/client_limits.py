"""What callers together may hold of a process: memory and descriptors.

Decides from figures; the server and the memory budget carry the decisions out.
"""

from __future__ import annotations

import ctypes
import resource
from collections import Counter
from collections.abc import Iterable
from enum import IntEnum
from pathlib import Path

import structlog
from attrs import define, field, frozen

from ..metrics import Metrics
from ..settings import ClientLimits

BYTES_PER_MB = 1048576
# Room for the copy of a response of 16 MB, which one request at a time makes when its
# body is complete and once more when it is written, and for buffers besides.
COPIES_BYTES = 25165824
# Share of the rest of the free memory; what is left is for what isn't counted.
FREE_MEMORY_SHARE = 0.7
# A gateway must be able to keep the largest request and its copy.
MIN_BUDGET_BYTES = 8388608
# Callers' share of the descriptors that aren't reserved: while a request is served it
# has a connection to a target as well.
CALLER_SHARE = 0.6
# Memory of a connection without a body, and the share of the free memory for all.
CONNECTION_BYTES = 16384
CONNECTION_MEMORY_SHARE = 0.25
# At most this share of all descriptors is reserved for files.
MAX_RESERVED_SHARE = 0.25
# asyncio accepts up to a batch of connections at a time, and closes those beyond the
# limit a few passes of the event loop later.
BATCHES_IN_FLIGHT = 8
MAX_ACCEPT_BATCH = 1024
# Connections closed at a time, as a part of the limit, so that the search for them
# is rare.
CLOSED_PART = 32
LOG_PERIOD_S = 1.0
# Parameters of mallopt(3).
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3
# Larger blocks are mapped on their own and return to the system when they are freed.
# Reads are smaller: to map and unmap a block for each made short calls 1.4 times as
# costly.
MAPPED_BLOCK_BYTES = 131072
# Free memory at the top of the heap that is kept.
KEPT_HEAP_BYTES = 1048576

log = structlog.get_logger()


class Use(IntEnum):
    """What a caller's connection is used for; a lower one is closed first."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    UNREAD = 3
    # A request is being served; such a connection isn't closed for another one.
    SERVED = 4


@frozen
class ConnectionState:
    """A connection's use, since when (seconds of the event loop), and its place."""

    index: int
    use: Use
    since: float


def descriptor_limit(configured: int | None) -> int:
    """Return the descriptors that this process may have."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        soft = 1048576
    return min(soft, configured) if configured else soft


def max_connections(
    descriptors: int, memory_mb: float, resident_bytes: int, limits: ClientLimits
) -> int:
    """Return how many connections callers may have open.

    ``resident_bytes`` is what the process takes while it is idle.
    """
    reserved = min(limits.reserved_descriptors, int(descriptors * MAX_RESERVED_SHARE))
    allowed = int((descriptors - reserved) * CALLER_SHARE)
    free = max(memory_mb * BYTES_PER_MB - resident_bytes, 0.0)
    allowed = min(allowed, int(free * CONNECTION_MEMORY_SHARE / CONNECTION_BYTES))
    if limits.max_connections is not None:
        allowed = min(allowed, limits.max_connections)
    return max(allowed, 1)


def accept_batch(descriptors: int, connections: int) -> int:
    """Return how many connections to accept at a time."""
    batch = (descriptors - connections) // BATCHES_IN_FLIGHT
    return min(max(batch, 1), MAX_ACCEPT_BATCH)


def connections_to_close(
    states: Iterable[ConnectionState], limit: int
) -> list[ConnectionState]:
    """Return the connections to close at the limit, those worth least first."""
    found = sorted(
        (state for state in states if state.use is not Use.SERVED),
        key=lambda state: (state.use, state.since),
    )
    if not found:
        return []
    # One use at a time: more of the next one may go when it is needed.
    same_use = [state for state in found if state.use is found[0].use]
    return same_use[: max(limit // CLOSED_PART, 1)]


def budget_bytes(memory_mb: float, resident_bytes: int, limits: ClientLimits) -> int:
    """Return the limit of all kept bodies of a process.

    ``resident_bytes`` is what the process takes while it is idle.
    """
    memory = memory_mb * BYTES_PER_MB
    free = memory - resident_bytes - COPIES_BYTES
    size = min(memory * limits.memory_share, free * FREE_MEMORY_SHARE)
    return max(int(size), MIN_BUDGET_BYTES)


def excess_bytes(memory_mb: float, resident_bytes: int, limits: ClientLimits) -> int:
    """Return how much a process must give up to stay within its memory."""
    allowed = memory_mb * BYTES_PER_MB * limits.resident_share
    return max(int(resident_bytes - allowed), 0)


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system doesn't tell."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except OSError as error:
        log.warning("resident memory unknown", reason=str(error))
        return 0
    return pages * resource.getpagesize()


def return_freed_memory() -> None:
    """Let the allocator return freed blocks of bodies to the system.

    By default glibc raises its threshold for mapped blocks with each one that is freed,
    and keeps later ones.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        log.info("allocator has no mallopt")
        return
    mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)
    mallopt(_M_TRIM_THRESHOLD, KEPT_HEAP_BYTES)


@define
class LimitReport:
    """Counts what was refused or closed at a limit; logs each kind once a second."""

    _metrics: Metrics
    _max_connections: int
    _logged_at: dict[str, float] = field(factory=dict)
    _unlogged: Counter[str] = field(factory=Counter)

    def record_closed(self, use: str, count: int, now: float) -> None:
        """Record ``count`` connections of one use that were closed at the limit."""
        self._metrics.count_closed_connections(use, count)
        event = "connections closed at the limit"
        self._log(event, count, now, use=use, limit=self._max_connections)

    def record_endless_input(self, status: int, peer: str, now: float) -> None:
        """Record input without end that was refused."""
        self._metrics.count_endless_input()
        self._log("refused input without end", 1, now, status=status, peer=peer)

    def _log(self, event: str, count: int, now: float, **fields: object) -> None:
        self._unlogged[event] += count
        if now - self._logged_at.get(event, float("-inf")) >= LOG_PERIOD_S:
            log.warning(event, count=self._unlogged.pop(event), **fields)
            self._logged_at[event] = now
