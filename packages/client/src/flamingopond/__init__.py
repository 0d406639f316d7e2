"""Client library and command line for flamingopond operators.

>>> with connect(["http://10.0.0.1:8082"], key=secret) as session:
...     session.contracts.change("volunteers", {"rate": 150})
"""

from __future__ import annotations

from collections.abc import Sequence

from flamingopond.adapters import Adapter, HttpAdapter
from flamingopond.collection import Collection, KeyCollection
from flamingopond.exceptions import (
    ClientError,
    ConflictError,
    InputRefusedError,
    NotFoundError,
    OperationUnknownError,
    UnauthenticatedError,
    UnavailableError,
)
from flamingopond.hooks import Hooks
from flamingopond.session import Session
from flamingopond.structures import Committed, EventList, Granted, Plan

__all__ = [
    "Adapter",
    "ClientError",
    "Collection",
    "Committed",
    "ConflictError",
    "EventList",
    "Granted",
    "Hooks",
    "HttpAdapter",
    "InputRefusedError",
    "KeyCollection",
    "NotFoundError",
    "OperationUnknownError",
    "Plan",
    "Session",
    "UnauthenticatedError",
    "UnavailableError",
    "connect",
]


def connect(
    nodes: Sequence[str],
    key: str,
    *,
    author: str = "operator",
    timeout: float = 15.0,
    hooks: Hooks | None = None,
) -> Session:
    """Return a session that tries the given node addresses in order.

    ``key`` is the operator key and ``timeout`` the limit of one call in seconds.
    """
    adapter = HttpAdapter(key, timeout)
    return Session(nodes, adapter, author=author, hooks=hooks)
