"""JSON logs on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import orjson
import structlog


def _to_json(event: dict[str, Any], **_: Any) -> str:
    return orjson.dumps(event, default=str).decode()


def configure_logs(level: str, node: str) -> None:
    """Log one JSON object per line, with the node's name, from ``level`` on."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)
    # httpx logs each request with its URL at level INFO.
    logging.getLogger("httpx").setLevel(logging.WARNING)
