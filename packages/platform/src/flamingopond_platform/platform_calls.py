"""Calls to the platform, with errors from ``flamingopond_core.exceptions``."""

from __future__ import annotations

from typing import TypeVar

from flamingopond_core.exceptions import OutcomeUnknownError, PlatformUnavailableError
from flamingopond_platform.connection import (
    MAX_RESPONSE_BYTES,
    ConnectionPool,
    NotSentError,
    Response,
    ResponseLostError,
)
from flamingopond_platform.wire import decode

T = TypeVar("T")


async def call_platform(
    pool: ConnectionPool,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    mutating: bool = False,
    max_bytes: int = MAX_RESPONSE_BYTES,
) -> Response:
    """Make one call, ``mutating`` if it changes state on the platform.

    A body of more than ``max_bytes`` counts as a lost response.

    Raises ``PlatformUnavailableError`` if the call failed and changed nothing, and
    ``OutcomeUnknownError`` if a mutating call may have taken effect: its response
    was lost or has a 5xx status other than 503, with which the platform refuses
    calls.
    """
    try:
        response = await pool.request(method, path, body, max_bytes=max_bytes)
    except NotSentError as error:
        raise PlatformUnavailableError(f"{method} {path}: {error}") from error
    except ResponseLostError as error:
        if mutating:
            raise OutcomeUnknownError(f"{method} {path}: {error}") from error
        raise PlatformUnavailableError(f"{method} {path}: {error}") from error
    if response.status_code >= 500:
        message = f"{method} {path}: status {response.status_code}"
        if mutating and response.status_code != 503:
            raise OutcomeUnknownError(message)
        raise PlatformUnavailableError(message)
    if response.status_code in (400, 405, 429):
        raise PlatformUnavailableError(
            f"{method} {path}: status {response.status_code}"
        )
    return response


def decode_response(response: Response, result_type: type[T]) -> T:
    """Decode the body. Raises ``PlatformUnavailableError`` if it is malformed."""
    try:
        return decode(response.content, result_type)
    except ValueError as error:
        raise PlatformUnavailableError(f"malformed reply: {error}") from error
