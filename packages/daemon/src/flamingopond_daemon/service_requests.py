"""Builds the request that a service gets, without the caller's key."""

from __future__ import annotations

from typing import Any
from urllib.parse import parse_qsl, unquote, unquote_plus
from uuid import uuid4

import orjson

from flamingopond_core.exceptions import RequestRefusedError
from flamingopond_daemon.exchange import Exchange
from flamingopond_platform.service import ServiceRequest

# Headers that carry credentials or apply to a single connection only.
_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "proxy-authorization",
        "x-api-key",
        "api-key",
        "host",
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "accept-encoding",
    }
)
_SECRET_QUERY_FIELDS = frozenset({"api_key", "apikey", "access_token", "authorization"})


def build_service_request(
    exchange: Exchange, path: str, body: bytes, secret: str
) -> ServiceRequest:
    """Return the request to send to a service.

    Headers and query fields for credentials are removed, and all others that contain
    the key ``secret``. Raises ``RequestRefusedError`` with ``invalid_request`` if the
    path or the body contains it, since the service would see it.
    """
    scope = exchange.scope
    if secret and (
        secret in path or secret in unquote(path) or _body_contains(body, secret)
    ):
        raise RequestRefusedError(
            "invalid_request", "the path or the body contains the caller's key"
        )
    headers = {}
    for raw_name, raw_value in scope["headers"]:
        name, value = raw_name.decode("latin-1"), raw_value.decode("latin-1")
        if name not in _DROPPED_HEADERS and not _contains(value, secret):
            headers[name] = value
    return ServiceRequest(
        attempt_id=uuid4().hex,
        method=scope["method"],
        path=path,
        headers=headers,
        body=body,
        query=_remove_secrets_from_query(
            scope["query_string"].decode("latin-1"), secret
        ),
    )


def _contains(text: str, secret: str) -> bool:
    return bool(secret) and (secret in text or secret in unquote_plus(text))


def _remove_secrets_from_query(query: str, secret: str) -> str:
    kept = []
    for pair in query.split("&"):
        fields = parse_qsl(pair, keep_blank_values=True)
        names = {name.lower() for name, _ in fields}
        if pair and not names & _SECRET_QUERY_FIELDS and not _contains(pair, secret):
            kept.append(pair)
    return "&".join(kept)


def _body_contains(body: bytes, secret: str) -> bool:
    if secret.encode() in body:
        return True
    if b"%" in body and secret in unquote_plus(body.decode("latin-1")):
        return True
    if b"\\" not in body:
        return False
    try:
        return _json_contains(orjson.loads(body), secret)
    except orjson.JSONDecodeError:
        return False


def _json_contains(value: Any, secret: str) -> bool:
    if isinstance(value, str):
        return secret in value
    if isinstance(value, dict):
        return any(_json_contains(part, secret) for part in (*value, *value.values()))
    if isinstance(value, list):
        return any(_json_contains(part, secret) for part in value)
    return False
