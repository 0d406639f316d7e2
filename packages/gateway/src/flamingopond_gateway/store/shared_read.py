"""Reads of the store that many requests wait for at the same time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

from attrs import define, field

from flamingopond_core.exceptions import PlatformError

# Reads begin at least this far apart, however many requests ask for one.
MIN_READ_INTERVAL_S = 0.1

_Result = TypeVar("_Result")


@define(eq=False)
class SharedRead(Generic[_Result]):
    """Result of the newest read; one read serves all that asked before it began.

    That also holds for one that fails: each waiter would else wait for a read of its
    own, one after the other, while the store doesn't answer.
    """

    _read: Callable[[], Awaitable[_Result]]
    _newest: _Result | None = None
    _error: PlatformError | None = None
    _read_at: float = float("-inf")
    _lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def get(self, wanted_at: float) -> _Result:
        """Return the result of a read that began at ``wanted_at`` or later.

        Times are of the event loop's clock. Raises the PlatformError of that read.
        """
        loop = asyncio.get_running_loop()
        async with self._lock:
            if self._read_at < wanted_at:
                pause_s = self._read_at + MIN_READ_INTERVAL_S - loop.time()
                if pause_s > 0:
                    await asyncio.sleep(pause_s)
                read_at = loop.time()
                self._error = None
                try:
                    self._newest = await self._read()
                except PlatformError as error:
                    self._error = error
                self._read_at = read_at
            if self._error is not None:
                raise self._error
            assert self._newest is not None
            return self._newest
