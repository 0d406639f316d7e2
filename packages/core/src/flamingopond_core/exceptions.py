"""The exceptions of flamingopond."""

from __future__ import annotations

from typing import TYPE_CHECKING

from flamingopond_core.enums import RunState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from flamingopond_core.findings import Finding


class FlamingopondError(Exception):
    """Base class of all flamingopond exceptions."""


class InvalidInputError(FlamingopondError):
    """Input was refused as a whole; ``findings`` lists every reason."""

    def __init__(self, findings: Sequence[Finding]) -> None:
        """Store ``findings`` and build a message with one line for each."""
        self.findings = tuple(findings)
        super().__init__("\n".join(str(finding) for finding in self.findings))


class RevisionConflictError(FlamingopondError):
    """A change was based on a revision that is no longer the newest."""

    def __init__(self, base: int, current: int) -> None:
        """Store the ``base`` revision of the change and the ``current`` one."""
        self.base = base
        self.current = current
        super().__init__(f"change is based on revision {base}, current is {current}")


class RevisionGapError(FlamingopondError):
    """A change set does not directly follow the applied revision."""


class PlatformError(FlamingopondError):
    """A platform interface failed."""


class PlatformUnavailableError(PlatformError):
    """The call did not reach the platform, or was refused; nothing was changed."""


class OutcomeUnknownError(PlatformError):
    """The reply was lost; the call may or may not have taken effect."""


class TransactionConflictError(PlatformError):
    """A condition of a transaction did not hold; nothing was changed."""


class TargetError(FlamingopondError):
    """A target failed; ``run_state`` tells whether the request ran."""

    def __init__(self, message: str, run_state: RunState = RunState.UNKNOWN) -> None:
        """Store the message and whether the request ran."""
        self.run_state = run_state
        super().__init__(message)


class TargetUnreachableError(TargetError):
    """No connection to the target could be made; nothing was sent."""

    def __init__(self, message: str) -> None:
        """Store the message; the run state is always ``not_run``."""
        super().__init__(message, RunState.NOT_RUN)


class TargetTimeoutError(TargetError):
    """A connected target sent nothing for too long."""


class OrderRefusedError(TargetError):
    """An engine refused an order, for example because of a stale fencing token."""

    def __init__(self, message: str) -> None:
        """Store the message; a refused order has not run."""
        super().__init__(message, RunState.NOT_RUN)


class RequestRefusedError(FlamingopondError):
    """A caller's request was refused or failed; ``code`` is a stable error code."""

    def __init__(
        self,
        code: str,
        message: str,
        run_state: RunState = RunState.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        """Store the error ``code``, run state and ``retry_after`` in seconds."""
        self.code = code
        self.run_state = run_state
        self.retry_after = retry_after
        super().__init__(message)
