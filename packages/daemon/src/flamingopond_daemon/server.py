"""HTTP servers that run in the daemon's event loop."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import hypercorn.asyncio
from hypercorn.config import Config, Sockets

# Limits how long an idle connection can delay a shutdown.
_KEEP_ALIVE_S = 30.0
_LISTEN_BACKLOG = 1024


class _StallTimeoutConfig(Config):
    """Config that makes the kernel close connections whose peer stops reading.

    Hypercorn closes a connection only after all data is sent, which never happens
    if the peer has stopped reading.
    """

    stall_timeout_s: float

    def create_sockets(self) -> Sockets:
        sockets = super().create_sockets()
        for listener in sockets.insecure_sockets:
            # Accepted sockets inherit the option, which exists only on Linux.
            if option := getattr(socket, "TCP_USER_TIMEOUT", None):
                timeout_ms = round(1000 * self.stall_timeout_s)
                listener.setsockopt(socket.IPPROTO_TCP, option, timeout_ms)
        return sockets


async def serve_http(
    app: Any,
    listen: str,
    shutdown: Callable[[], Awaitable[None]],
    drain_timeout_s: float,
    stall_timeout_s: float = 20.0,
) -> None:
    """Serve the ASGI application at ``listen`` until ``shutdown`` returns.

    Then no connection is accepted, and requests in progress get ``drain_timeout_s``
    seconds to complete. A connection whose peer reads nothing for
    ``stall_timeout_s`` seconds is closed.
    """
    config = _StallTimeoutConfig()
    config.stall_timeout_s = stall_timeout_s
    config.bind = [listen]
    config.backlog = _LISTEN_BACKLOG
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.graceful_timeout = drain_timeout_s
    config.shutdown_timeout = drain_timeout_s
    config.include_server_header = False
    # The daemon writes its own log, as JSON.
    config.accesslog = None
    config.errorlog = None
    # ASGI requires header names in lower case. Hypercorn sets TCP_NODELAY, so small
    # parts of a stream are sent without waiting for more data.
    config.h11_pass_raw_headers = False
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=shutdown, mode="asgi")
