"""Exceptions of the client, derived from those of ``flamingopond_core``."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from flamingopond_core.exceptions import (
    FlamingopondError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    RevisionConflictError,
)


class ClientError(FlamingopondError):
    """Base class; raised itself for unexpected responses and unusable addresses."""


class NotSentError(ClientError):
    """The connection to the node failed; nothing was sent."""


class ResponseLostError(ClientError):
    """The request was sent, but no complete response arrived."""


class UnauthenticatedError(ClientError):
    """The operator key is missing or wrong."""


class NotFoundError(ClientError):
    """The object or operation does not exist."""


class InputRefusedError(ClientError, InvalidInputError):
    """The daemon rejected the input; ``findings`` lists every error in it."""


class ConflictError(ClientError, RevisionConflictError):
    """The change was based on a stale revision.

    ``yours`` holds the requested changes, ``theirs`` the change sets accepted
    since the base revision that affect the same objects.
    """

    def __init__(
        self,
        base: int,
        current: int,
        yours: Sequence[Mapping[str, Any]],
        theirs: Sequence[Mapping[str, Any]],
    ) -> None:
        """Store both revisions and the changes of both sides."""
        RevisionConflictError.__init__(self, base, current)
        self.yours = tuple(yours)
        self.theirs = tuple(theirs)


class UnavailableError(ClientError, PlatformUnavailableError):
    """No node could handle the request; nothing was changed."""


class OperationUnknownError(ClientError, OutcomeUnknownError):
    """The outcome of the operation could not be determined."""

    def __init__(self, operation_id: str) -> None:
        """Store the operation id, with which the outcome can be looked up later."""
        self.operation_id = operation_id
        super().__init__(
            f"it is not known whether operation {operation_id} was accepted"
        )
