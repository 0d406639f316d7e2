"""JSON logs on standard error."""

from __future__ import annotations

import logging
import sys
from typing import Any

import orjson
import structlog


def _serialize(event: dict[str, Any], **_: Any) -> str:
    return orjson.dumps(event, default=str).decode()


def configure_logs(level: str, node: str) -> None:
    """Write one JSON object a line, from ``level`` on, each with the node's name."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_serialize),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(node=node)
    # The client library logs each request at info level, with its URL.
    logging.getLogger("httpx").setLevel(logging.WARNING)
