"""Transport of API calls to nodes: the interface and its HTTP implementation."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from typing import Any, Protocol

import httpx
import orjson

from flamingopond.exceptions import ClientError, NotSentError, ResponseLostError
from flamingopond.structures import Call, Response

CONNECT_TIMEOUT_S = 2.0
# The status of a large deployment has some MB.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# Largest status of a response (RFC 9110, section 15); httpx accepts any up to 999.
MAX_STATUS = 599
# Value of SO_LINGER: on, with a time of 0.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Adapter(Protocol):
    """Sends an API call to one node."""

    def send(self, node: str, call: Call) -> Response:
        """Send ``call`` to ``node`` and return the response.

        Raises ``NotSentError`` if nothing was sent and ``ResponseLostError`` if the
        call may have taken effect.
        """

    def close(self) -> None:
        """Close all connections."""


class HttpAdapter:
    """Sends calls over HTTP with the operator key as bearer token."""

    def __init__(
        self,
        key: str,
        timeout: float = 15.0,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """``timeout`` is in seconds, for one call without connecting.

        It should exceed 12 s: a daemon takes up to 10 s to determine the outcome
        of a commit and up to 2 s more until a majority of members applies it.
        """
        self._total_timeout_s = timeout + CONNECT_TIMEOUT_S
        self._client = httpx.Client(
            headers={"Authorization": f"Bearer {key}"},
            timeout=httpx.Timeout(timeout, connect=CONNECT_TIMEOUT_S),
            # Each call has a connection of its own, which its watchdog can close.
            limits=httpx.Limits(max_keepalive_connections=0),
            transport=transport,
        )

    def send(self, node: str, call: Call) -> Response:
        """Send ``call`` to ``node``, an address such as ``http://ip:port``."""
        url = f"{node.rstrip('/')}/operator/v1/{call.path}"
        try:
            with (
                _watchdog(node, self._total_timeout_s) as trace,
                self._client.stream(
                    call.method,
                    url,
                    params=dict(call.query),
                    content=call.body,
                    extensions={"trace": trace},
                ) as response,
            ):
                content = _read_body(node, response)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise NotSentError(f"{node}: {error}") from error
        except (httpx.TransportError, httpx.DecodingError) as error:
            raise ResponseLostError(f"{node}: {error!r}") from error
        except (httpx.InvalidURL, ValueError) as error:
            raise ClientError(f"{node}: {error}") from error
        if response.status_code > MAX_STATUS:
            raise ResponseLostError(
                f"{node}: status {response.status_code} is no response"
            )
        try:
            body: Any = orjson.loads(content)
        except orjson.JSONDecodeError:
            body = None
        if not isinstance(body, dict):
            # Not from a daemon, but perhaps a proxy: the outcome is unknown.
            raise ResponseLostError(
                f"{node}: status {response.status_code} without JSON"
            )
        return Response(response.status_code, body)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()


def _read_body(node: str, response: httpx.Response) -> bytes:
    # h11 accepts at most 20 digits.
    announced_bytes = int(response.headers.get("content-length", 0))
    if announced_bytes > MAX_RESPONSE_BYTES:
        raise ResponseLostError(f"{node}: response of {announced_bytes} bytes")
    chunks = []
    size = 0
    for chunk in response.iter_bytes():
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_RESPONSE_BYTES:
            raise ResponseLostError(
                f"{node}: response of more than {MAX_RESPONSE_BYTES} bytes"
            )
    return b"".join(chunks)


class _Watchdog:
    """Shuts down the connection of one call when its time is up.

    The timeouts of httpx restart with each byte that arrives.
    """

    def __init__(self) -> None:
        self._stream: Any = None
        self._expired = False

    @property
    def expired(self) -> bool:
        """Whether the time was up before the call ended."""
        return self._expired

    def trace(self, event: str, info: dict[str, Any]) -> None:
        """Keep the network stream; called by httpx for each step of the call."""
        if event.endswith(("connect_tcp.complete", "start_tls.complete")):
            self._stream = info["return_value"]
            if self._expired:
                self._shut_down()

    def expire(self) -> None:
        """End the call; called in the thread of a timer."""
        self._expired = True
        if self._stream is not None:
            self._shut_down()

    def _shut_down(self) -> None:
        # The call may have closed the connection in the meantime.
        with suppress(OSError):
            sock = self._stream.get_extra_info("socket")
            # The call closes the socket with a reset. Without it, a node that has
            # filled the receive buffer would never learn of it: the kernel announces
            # no free buffer after a shutdown.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            sock.shutdown(socket.SHUT_RDWR)


@contextmanager
def _watchdog(node: str, timeout_s: float) -> Iterator[Any]:
    """Yield the trace function for a call that may take ``timeout_s``.

    Raises ``ResponseLostError`` if the time was up.
    """
    watchdog = _Watchdog()
    timer = threading.Timer(timeout_s, watchdog.expire)
    timer.daemon = True
    timer.start()
    try:
        yield watchdog.trace
    except httpx.TransportError as error:
        if watchdog.expired:
            raise ResponseLostError(
                f"{node}: no whole response within {timeout_s:g} s"
            ) from error
        raise
    finally:
        timer.cancel()
    if watchdog.expired:
        # A response without a length looks complete when its connection ends.
        raise ResponseLostError(f"{node}: no whole response within {timeout_s:g} s")
