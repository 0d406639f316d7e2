"""httpx client of one target of a plain service."""

from __future__ import annotations

from flamingopond_core.exceptions import (
    TargetError,
    TargetSilentError,
    TargetUnreachableError,
)
from flamingopond_core.structures import RunState
from flamingopond_platform.connection import (
    Connection,
    NotSentError,
    ReplyLostError,
    SilentError,
)
from flamingopond_platform.service import ServiceReply, ServiceReport, ServiceRequest
from flamingopond_platform.wire import decode

# These describe one connection or the framing that httpx has already undone.
_PER_CONNECTION = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "upgrade"}
)


class ServiceClient:
    """Implements ``Service`` over HTTP.

    ``silence_s`` is the silence after which a call is given up as
    ``TargetSilentError``; ``connect_timeout_s`` limits opening a connection.
    """

    def __init__(
        self,
        address: str,
        *,
        connect_timeout_s: float = 1.0,
        silence_s: float = 30.0,
    ) -> None:
        """Prepare a client of the target at ``address``."""
        self._address = address
        self._connection = Connection(
            address, connect_timeout_s=connect_timeout_s, silence_s=silence_s
        )

    async def call(
        self, request: ServiceRequest, *, fresh_connection: bool = False
    ) -> ServiceReply:
        """Send the request once; see ``Service.call``."""
        path = f"{request.path}?{request.query}" if request.query else request.path
        headers = {
            name: value
            for name, value in request.headers.items()
            if name.lower() not in _PER_CONNECTION and name.lower() != "host"
        }
        headers["x-attempt-id"] = request.attempt_id
        try:
            reply = await self._connection.request(
                request.method,
                path,
                request.body,
                headers=headers,
                fresh=fresh_connection,
            )
        except NotSentError as error:
            raise TargetUnreachableError(f"{self._address}: {error}") from error
        except SilentError as error:
            raise TargetSilentError(f"{self._address}: {error}") from error
        except ReplyLostError as error:
            raise TargetError(f"{self._address}: {error}") from error
        return ServiceReply(
            status=reply.status_code,
            headers={
                name: value
                for name, value in reply.headers.items()
                if name.lower() not in _PER_CONNECTION
            },
            body=reply.content,
        )

    async def report(self) -> ServiceReport:
        """Return the newest load report. Raises ``TargetError``."""
        try:
            reply = await self._connection.request(
                "GET", "/service/report", silence_s=1.0
            )
        except NotSentError as error:
            raise TargetUnreachableError(f"{self._address}: {error}") from error
        except SilentError as error:
            raise TargetSilentError(f"{self._address}: {error}") from error
        except ReplyLostError as error:
            raise TargetError(f"{self._address}: {error}") from error
        if reply.status_code != 200:
            raise TargetError(
                f"{self._address}: status {reply.status_code}", RunState.NOT_RUN
            )
        try:
            return decode(reply.content, ServiceReport)
        except ValueError as error:
            raise TargetError(f"{self._address}: malformed report") from error

    async def aclose(self) -> None:
        """Close all connections."""
        await self._connection.aclose()
