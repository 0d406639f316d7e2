"""Enumerations shared by all modules."""

from __future__ import annotations

from enum import StrEnum


class RunState(StrEnum):
    """Whether a request ran on a target."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Priority(StrEnum):
    """Scheduling class of a workspace's requests."""

    PREMIUM = "premium"
    STANDARD = "standard"


class ObjectKind(StrEnum):
    """Kind of a configuration object."""

    CONTRACT = "contract"
    KEY = "key"
    MODEL = "model"
    ADAPTER = "adapter"
    ENGINE = "engine"
    SERVICE = "service"
    ROUTE = "route"
