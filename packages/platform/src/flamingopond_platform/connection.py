"""Pooled HTTP connections to one address, with errors by the stage of a call."""

from __future__ import annotations

from collections.abc import AsyncGenerator, Callable, Iterator, Mapping
from contextlib import AsyncExitStack, aclosing, contextmanager
from typing import cast

import anyio
import attrs
import httpx

# Default limit of the body of a response, which is kept in memory as a whole.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# A report of a target, or the body of an error.
MAX_REPORT_BYTES = 1024 * 1024

# Largest status of a response (RFC 9110, section 15).
MAX_STATUS = 599

# httpx raises these before it writes the first byte of a request.
_NOT_SENT_ERRORS = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
    httpx.LocalProtocolError,
)


class NotSentError(Exception):
    """The call failed before any byte of the request was sent."""


class ResponseLostError(Exception):
    """The request was sent at least in part, but no complete response arrived."""


class CallTimeoutError(ResponseLostError):
    """The request was sent at least in part, and then the call timed out."""


@attrs.frozen
class Response:
    """A complete response; ``content`` is the body as it was sent."""

    status_code: int
    headers: httpx.Headers
    content: bytes

    @property
    def text(self) -> str:
        """The body as text; invalid UTF-8 is replaced."""
        return self.content.decode(errors="replace")


def check_status(status: int) -> None:
    """Raise ``ResponseLostError`` for a status that HTTP does not have.

    httpx accepts any number from 200 to 999.
    """
    if status > MAX_STATUS:
        raise ResponseLostError(f"status {status} is no response")


async def read_body(response: httpx.Response, max_bytes: int) -> bytes:
    """Return the body of an open response, without decoding a content coding.

    Raises ``ResponseLostError`` for a body of more than ``max_bytes`` or a status that
    HTTP does not have, and httpx errors. The caller closes the response.
    """
    check_status(response.status_code)
    announced = response.headers.get("content-length", "")
    # The length of a body that is not sent.
    no_body = response.request.method == "HEAD" or response.status_code == 304
    # h11 accepts at most 20 digits.
    if not no_body and announced.isdecimal() and int(announced) > max_bytes:
        raise ResponseLostError(f"response body of more than {max_bytes} bytes")
    chunks = []
    size = 0
    body = cast(AsyncGenerator[bytes, None], response.aiter_raw())
    async with aclosing(body):
        async for chunk in body:
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise ResponseLostError(f"response body of more than {max_bytes} bytes")
    return b"".join(chunks)


@contextmanager
def translate_httpx_errors() -> Iterator[None]:
    """Translate httpx errors into those of this module."""
    try:
        yield
    except _NOT_SENT_ERRORS as error:
        raise NotSentError(repr(error)) from error
    except (httpx.ReadTimeout, httpx.WriteTimeout) as error:
        raise CallTimeoutError(repr(error)) from error
    except (httpx.HTTPError, httpx.StreamError, httpx.InvalidURL) as error:
        raise ResponseLostError(repr(error)) from error


class ConnectionPool:
    """A pool of HTTP connections to ``address`` (``ip:port`` or a URL).

    httpx closes a connection on which no data moved for ``read_timeout_s``, so it
    is never reused. A call with ``fresh`` opens a new connection and closes it
    afterwards.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        read_timeout_s: float = 2.0,
        total_timeout_s: float | None = None,
        max_connections: int | None = None,
    ) -> None:
        """Create the pool; connections are opened on demand.

        ``total_timeout_s`` bounds a whole call, since a response that arrives in
        small pieces never reaches the read timeout. It defaults to the connect
        and read timeouts plus one second.
        """
        url = address if "://" in address else f"http://{address}"
        self._total_timeout_s = (
            total_timeout_s or connect_timeout_s + read_timeout_s + 1.0
        )
        timeout = httpx.Timeout(read_timeout_s, connect=connect_timeout_s, pool=None)
        headers = {"accept-encoding": "identity"}

        def build_client(max_idle: int | None) -> httpx.AsyncClient:
            return httpx.AsyncClient(
                base_url=url,
                timeout=timeout,
                headers=headers,
                limits=httpx.Limits(
                    max_connections=max_connections,
                    max_keepalive_connections=max_idle,
                    keepalive_expiry=30.0,
                ),
                # Calls go to plain HTTP addresses in the platform's network: ignore
                # proxy variables and skip loading TLS certificates.
                trust_env=False,
                verify=False,
            )

        self._shared_client = build_client(None)
        # Created on first use: a client takes 16 KB, and few engines are called on
        # fresh connections.
        self._build_fresh: Callable[[], httpx.AsyncClient] = lambda: build_client(0)
        self._fresh_client: httpx.AsyncClient | None = None

    @property
    def total_timeout_s(self) -> float:
        """Longest duration of a call."""
        return self._total_timeout_s

    def client(self, *, fresh: bool = False) -> httpx.AsyncClient:
        """Return the httpx client that reuses connections, or opens ``fresh`` ones."""
        if not fresh:
            return self._shared_client
        if self._fresh_client is None:
            self._fresh_client = self._build_fresh()
        return self._fresh_client

    async def request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        headers: Mapping[str, str] | None = None,
        fresh: bool = False,
        read_timeout_s: float | None = None,
        max_bytes: int = MAX_RESPONSE_BYTES,
    ) -> Response:
        """Send one request and return the complete response, whatever its status.

        A body of more than ``max_bytes`` counts as a lost response.

        ``read_timeout_s`` replaces the connect and read timeouts for this call, and the
        whole call may take twice as long. Raises ``NotSentError``,
        ``CallTimeoutError`` or ``ResponseLostError``.
        """
        total_timeout_s = self._total_timeout_s
        timeout: httpx.Timeout | None = None
        if read_timeout_s is not None:
            timeout = httpx.Timeout(read_timeout_s, pool=None)
            total_timeout_s = 2 * read_timeout_s
        with anyio.move_on_after(total_timeout_s):
            with translate_httpx_errors():
                client = self.client(fresh=fresh)
                async with client.stream(
                    method,
                    path,
                    content=body or None,
                    headers=headers,
                    timeout=timeout or client.timeout,
                ) as response:
                    content = await read_body(response, max_bytes)
                    return Response(response.status_code, response.headers, content)
        raise CallTimeoutError(f"no whole reply within {total_timeout_s:.1f} s")

    async def aclose(self) -> None:
        """Close all connections."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._shared_client.aclose)
            if self._fresh_client is not None:
                stack.push_async_callback(self._fresh_client.aclose)
