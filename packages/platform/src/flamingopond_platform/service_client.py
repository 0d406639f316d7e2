"""HTTP client of one target of a service."""

from __future__ import annotations

from flamingopond_core.enums import RunState
from flamingopond_core.exceptions import (
    TargetError,
    TargetTimeoutError,
    TargetUnreachableError,
)
from flamingopond_platform.connection import (
    MAX_REPORT_BYTES,
    CallTimeoutError,
    ConnectionPool,
    NotSentError,
    ResponseLostError,
)
from flamingopond_platform.service import ServiceReport, ServiceRequest, ServiceResponse
from flamingopond_platform.wire import decode

# Not forwarded: they concern a single connection, or message framing, which httpx
# handles.
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "upgrade"}
)


class ServiceClient:
    """Implements ``Service`` over HTTP.

    A call fails with ``TargetTimeoutError`` when nothing arrives for
    ``read_timeout_s``; ``connect_timeout_s`` limits opening a connection.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        read_timeout_s: float = 30.0,
    ) -> None:
        """Create a client of the target at ``address``."""
        self._address = address
        self._pool = ConnectionPool(
            address, connect_timeout_s=connect_timeout_s, read_timeout_s=read_timeout_s
        )

    async def call(
        self, request: ServiceRequest, *, fresh_connection: bool = False
    ) -> ServiceResponse:
        """Send the request; see ``Service.call``."""
        path = f"{request.path}?{request.query}" if request.query else request.path
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in _HOP_BY_HOP_HEADERS and name.lower() != "host"
        }
        headers["x-attempt-id"] = request.attempt_id
        try:
            response = await self._pool.request(
                request.method,
                path,
                request.body,
                headers=headers,
                fresh=fresh_connection,
            )
        except NotSentError as error:
            raise TargetUnreachableError(f"{self._address}: {error}") from error
        except CallTimeoutError as error:
            raise TargetTimeoutError(f"{self._address}: {error}") from error
        except ResponseLostError as error:
            raise TargetError(f"{self._address}: {error}") from error
        return ServiceResponse(
            status=response.status_code,
            headers={
                name: value
                for name, value in response.headers.items()
                if name.lower() not in _HOP_BY_HOP_HEADERS
            },
            body=response.content,
        )

    async def report(self) -> ServiceReport:
        """Return the target's latest load report. Raises ``TargetError``."""
        try:
            response = await self._pool.request(
                "GET",
                "/service/report",
                read_timeout_s=1.0,
                max_bytes=MAX_REPORT_BYTES,
            )
        except NotSentError as error:
            raise TargetUnreachableError(f"{self._address}: {error}") from error
        except CallTimeoutError as error:
            raise TargetTimeoutError(f"{self._address}: {error}") from error
        except ResponseLostError as error:
            raise TargetError(f"{self._address}: {error}") from error
        if response.status_code != 200:
            raise TargetError(
                f"{self._address}: status {response.status_code}", RunState.NOT_RUN
            )
        try:
            return decode(response.content, ServiceReport)
        except ValueError as error:
            raise TargetError(f"{self._address}: malformed report") from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()
