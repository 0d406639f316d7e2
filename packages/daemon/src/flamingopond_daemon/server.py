"""HTTP servers of the daemon, in its own event loop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import hypercorn.asyncio
from hypercorn.config import Config

# A caller that only keeps its connection open must not hold up a shutdown.
_KEEP_ALIVE_S = 30.0
_BACKLOG = 1024


async def serve_http(
    app: Any,
    listen: str,
    shutdown: Callable[[], Awaitable[None]],
    drain_timeout_s: float,
) -> None:
    """Serve the ASGI application at ``listen`` until ``shutdown`` returns.

    Then no connection is accepted, and running requests get ``drain_timeout_s``
    seconds to complete.
    """
    config = Config()
    config.bind = [listen]
    config.backlog = _BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.graceful_timeout = drain_timeout_s
    config.shutdown_timeout = drain_timeout_s
    config.include_server_header = False
    # The daemon logs by itself, as JSON.
    config.accesslog = None
    config.errorlog = None
    # Small parts of a stream must not wait for the kernel to collect more.
    config.h11_pass_raw_headers = False
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=shutdown, mode="asgi")
