"""Transport of API calls to nodes: the interface and its HTTP implementation."""

from __future__ import annotations

from typing import Any, Protocol

import httpx
import orjson

from flamingopond.exceptions import ClientError, NotSentError, ResponseLostError
from flamingopond.structures import Call, Response


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
        """``timeout`` is in seconds.

        It should exceed 12 s: a daemon takes up to 10 s to determine the outcome
        of a commit and up to 2 s more until a majority of members applies it.
        """
        self._client = httpx.Client(
            headers={"Authorization": f"Bearer {key}"},
            timeout=httpx.Timeout(timeout, connect=2.0),
            transport=transport,
        )

    def send(self, node: str, call: Call) -> Response:
        """Send ``call`` to ``node``, an address such as ``http://ip:port``."""
        url = f"{node.rstrip('/')}/operator/v1/{call.path}"
        try:
            response = self._client.request(
                call.method, url, params=dict(call.query), content=call.body
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise NotSentError(f"{node}: {error}") from error
        except httpx.TransportError as error:
            raise ResponseLostError(f"{node}: {error!r}") from error
        except (httpx.InvalidURL, ValueError) as error:
            raise ClientError(f"{node}: {error}") from error
        try:
            body: Any = orjson.loads(response.content)
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
