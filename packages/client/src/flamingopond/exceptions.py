"""Errors of the client, built on the exception tree of the core."""

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
    """The daemon answered in a way that the client does not expect."""


class NotSentError(ClientError):
    """No connection to the node could be made; nothing was sent."""


class ReplyLostError(ClientError):
    """The request was sent, but no complete reply came back."""


class UnauthenticatedError(ClientError):
    """The operator's key is missing or wrong."""


class NotFoundError(ClientError):
    """There is no such object or operation."""


class InputRefusedError(ClientError, InvalidInputError):
    """The daemon refused the input; ``findings`` lists every reason."""


class ConflictError(ClientError, RevisionConflictError):
    """The change was based on an old revision.

    ``yours`` are the changes that were asked for; ``theirs`` the change sets
    since the base revision that touch the same objects.
    """

    def __init__(
        self,
        base: int,
        current: int,
        yours: Sequence[Mapping[str, Any]],
        theirs: Sequence[Mapping[str, Any]],
    ) -> None:
        """Store both revisions and both sides."""
        RevisionConflictError.__init__(self, base, current)
        self.yours = tuple(yours)
        self.theirs = tuple(theirs)


class UnavailableError(ClientError, PlatformUnavailableError):
    """No node could carry out the request; nothing was changed."""


class OperationUnknownError(ClientError, OutcomeUnknownError):
    """It could not be found out whether the operation was accepted."""

    def __init__(self, operation_id: str) -> None:
        """Store the operation id, by which it can be looked up later."""
        self.operation_id = operation_id
        super().__init__(
            f"it is not known whether operation {operation_id} was accepted"
        )
