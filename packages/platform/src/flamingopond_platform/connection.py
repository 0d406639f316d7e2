"""HTTP connections to one address and the stages at which a call can fail."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from contextlib import AsyncExitStack, contextmanager

import anyio
import httpx

# Failures of these kinds happen before the first byte of the request is written.
_NOT_SENT = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.LocalProtocolError,
)


class NotSentError(Exception):
    """Nothing of the request was sent."""


class ReplyLostError(Exception):
    """The request was sent, at least in part, and no whole reply came back."""


class SilentError(ReplyLostError):
    """The request was sent and the connection stayed silent for too long."""


@contextmanager
def failure_stages() -> Iterator[None]:
    """Translate httpx failures into the stage at which the call failed."""
    try:
        yield
    except _NOT_SENT as error:
        raise NotSentError(repr(error)) from error
    except (httpx.ReadTimeout, httpx.WriteTimeout) as error:
        raise SilentError(repr(error)) from error
    except (httpx.HTTPError, httpx.StreamError, httpx.InvalidURL) as error:
        raise ReplyLostError(repr(error)) from error


class Connection:
    """A pool of HTTP connections to ``address`` (``ip:port`` or a URL).

    A connection that stayed silent for ``silence_s`` seconds is closed by httpx
    and never returns to the pool. Calls with ``fresh`` use a connection of their
    own, which is closed afterwards.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        silence_s: float = 2.0,
        total_timeout_s: float | None = None,
        max_connections: int | None = None,
    ) -> None:
        """Prepare the pool; nothing is opened before the first call.

        ``total_timeout_s`` limits a whole call against replies that trickle in;
        it defaults to the connect and silence limits plus one second.
        """
        url = address if "://" in address else f"http://{address}"
        self._total_s = total_timeout_s or connect_timeout_s + silence_s + 1.0
        timeout = httpx.Timeout(silence_s, connect=connect_timeout_s, pool=None)
        headers = {"accept-encoding": "identity"}

        def client(idle: int | None) -> httpx.AsyncClient:
            return httpx.AsyncClient(
                base_url=url,
                timeout=timeout,
                headers=headers,
                limits=httpx.Limits(
                    max_connections=max_connections,
                    max_keepalive_connections=idle,
                    keepalive_expiry=30.0,
                ),
                # Addresses are IP numbers on the platform's network: no proxies
                # from the environment, and no TLS set-up cost.
                trust_env=False,
                verify=False,
            )

        self._pooled = client(None)
        # Each client takes 16 KB, and few engines get calls on fresh connections.
        self._make_fresh: Callable[[], httpx.AsyncClient] = lambda: client(0)
        self._fresh: httpx.AsyncClient | None = None

    def client(self, *, fresh: bool = False) -> httpx.AsyncClient:
        """Return the client for a pooled or a ``fresh`` connection."""
        if not fresh:
            return self._pooled
        if self._fresh is None:
            self._fresh = self._make_fresh()
        return self._fresh

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        headers: Mapping[str, str] | None = None,
        fresh: bool = False,
        silence_s: float | None = None,
    ) -> httpx.Response:
        """Send one request and return the whole reply, whatever its status.

        Raises ``NotSentError``, ``SilentError`` or ``ReplyLostError``.
        """
        limit = self._total_s
        timeout: httpx.Timeout | None = None
        if silence_s is not None:
            timeout = httpx.Timeout(silence_s, pool=None)
            limit = 2 * silence_s
        with anyio.move_on_after(limit):
            with failure_stages():
                client = self.client(fresh=fresh)
                return await client.request(
                    method,
                    path,
                    content=body or None,
                    headers=headers,
                    timeout=timeout or client.timeout,
                )
        raise SilentError(f"no whole reply within {limit:.1f} s")

    async def aclose(self) -> None:
        """Close all connections."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._pooled.aclose)
            if self._fresh is not None:
                stack.push_async_callback(self._fresh.aclose)
