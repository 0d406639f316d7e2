"""Carry calls to nodes: the interface and its form over HTTP."""

from __future__ import annotations

from typing import Any, Protocol

import httpx
import orjson

from flamingopond.exceptions import ClientError, NotSentError, ReplyLostError
from flamingopond.structures import Call, Reply


class Adapter(Protocol):
    """Carries a call to one node."""

    def send(self, node: str, call: Call) -> Reply:
        """Return the reply of ``node``.

        Raises ``NotSentError`` if nothing was sent and ``ReplyLostError`` if the
        call may have taken effect.
        """

    def close(self) -> None:
        """Close connections."""


class HttpAdapter:
    """Calls nodes by HTTP with the operator's key as bearer token."""

    def __init__(
        self,
        key: str,
        timeout: float = 15.0,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """``timeout`` is in seconds.

        A daemon takes up to 10 s to settle a commit and 2 s until it is in force.
        """
        self._client = httpx.Client(
            headers={"Authorization": f"Bearer {key}"},
            timeout=httpx.Timeout(timeout, connect=2.0),
            transport=transport,
        )

    def send(self, node: str, call: Call) -> Reply:
        """Return the reply of ``node``, an address such as ``http://ip:port``."""
        url = f"{node.rstrip('/')}/operator/v1/{call.path}"
        try:
            response = self._client.request(
                call.method, url, params=dict(call.query), content=call.body
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise NotSentError(f"{node}: {error}") from error
        except httpx.TransportError as error:
            raise ReplyLostError(f"{node}: {error!r}") from error
        except (httpx.InvalidURL, ValueError) as error:
            raise ClientError(f"{node}: {error}") from error
        try:
            body: Any = orjson.loads(response.content)
        except orjson.JSONDecodeError:
            body = None
        if not isinstance(body, dict):
            # An answer that is not the daemon's says nothing about the outcome.
            raise ReplyLostError(f"{node}: status {response.status_code} without JSON")
        return Reply(response.status_code, body)

    def close(self) -> None:
        """Close the connections."""
        self._client.close()
