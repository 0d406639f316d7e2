"""Failures of calls to the platform, mapped to the exception tree."""

from __future__ import annotations

from typing import TypeVar

import httpx

from flamingopond_core.exceptions import OutcomeUnknownError, PlatformUnavailableError
from flamingopond_platform.connection import Connection, NotSentError, ReplyLostError
from flamingopond_platform.wire import decode

T = TypeVar("T")


async def platform_call(
    connection: Connection,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    changes: bool = False,
) -> httpx.Response:
    """Make one platform call.

    Raises ``PlatformUnavailableError`` if nothing was changed and, for calls with
    ``changes``, ``OutcomeUnknownError`` if the reply was lost. Status 503 says
    that the platform refused the call; other 5xx replies leave a change unknown.
    """
    try:
        reply = await connection.request(method, path, body)
    except NotSentError as error:
        raise PlatformUnavailableError(f"{method} {path}: {error}") from error
    except ReplyLostError as error:
        if changes:
            raise OutcomeUnknownError(f"{method} {path}: {error}") from error
        raise PlatformUnavailableError(f"{method} {path}: {error}") from error
    if reply.status_code >= 500:
        message = f"{method} {path}: status {reply.status_code}"
        if changes and reply.status_code != 503:
            raise OutcomeUnknownError(message)
        raise PlatformUnavailableError(message)
    if reply.status_code in (400, 405, 429):
        raise PlatformUnavailableError(f"{method} {path}: status {reply.status_code}")
    return reply


def decode_reply(reply: httpx.Response, kind: type[T]) -> T:
    """Return the body as ``kind``; a malformed one is ``PlatformUnavailableError``."""
    try:
        return decode(reply.content, kind)
    except ValueError as error:
        raise PlatformUnavailableError(f"malformed reply: {error}") from error
