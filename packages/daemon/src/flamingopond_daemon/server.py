"""HTTP servers of the daemon, in its own event loop."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import hypercorn.asyncio
from hypercorn.config import Config, Sockets

# A caller that only keeps its connection open must not hold up a shutdown.
_KEEP_ALIVE_S = 30.0
_BACKLOG = 1024


class _StallLimitedConfig(Config):
    """Sockets that the kernel closes when their peer takes no data.

    The server closes a connection only after all data is sent, which never happens
    with a peer that has stopped reading.
    """

    stall_limit_s: float

    def create_sockets(self) -> Sockets:
        sockets = super().create_sockets()
        for listening in sockets.insecure_sockets:
            # Accepted connections inherit the option. Only Linux has it.
            if option := getattr(socket, "TCP_USER_TIMEOUT", None):
                limit_ms = round(1000 * self.stall_limit_s)
                listening.setsockopt(socket.IPPROTO_TCP, option, limit_ms)
        return sockets


async def serve_http(
    app: Any,
    listen: str,
    shutdown: Callable[[], Awaitable[None]],
    drain_timeout_s: float,
    stall_limit_s: float = 20.0,
) -> None:
    """Serve the ASGI application at ``listen`` until ``shutdown`` returns.

    Then no connection is accepted, and running requests get ``drain_timeout_s``
    seconds to complete. A connection whose peer reads nothing for ``stall_limit_s``
    seconds is closed.
    """
    config = _StallLimitedConfig()
    config.stall_limit_s = stall_limit_s
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
