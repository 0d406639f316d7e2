"""Options, exit codes and error output shared by all commands."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer

from flamingopond import Session, connect
from flamingopond.clioutput import print_conflict, print_json
from flamingopond.exceptions import (
    ConflictError,
    InputRefusedError,
    NotFoundError,
    OperationUnknownError,
    UnauthenticatedError,
    UnavailableError,
)
from flamingopond.structures import Committed
from flamingopond_core.exceptions import FlamingopondError, InvalidInputError


class ExitCode(IntEnum):
    """Exit codes of the command; typer uses 2 for wrong usage."""

    DONE = 0
    FAILED = 1
    INPUT_REFUSED = 3
    CONFLICT = 4
    NOT_FOUND = 5
    UNAUTHENTICATED = 6
    UNAVAILABLE = 7
    OUTCOME_UNKNOWN = 8
    NOT_IN_FORCE = 9


EXIT_CODES_HELP = """Exit codes:

0: success; a majority of members has applied the change

1: unexpected failure

2: wrong usage

3: input rejected; every error in it is shown

4: stale base revision; the conflicting changes are shown

5: object or operation does not exist

6: operator key missing or wrong

7: no node reachable, or the store is unavailable; nothing was changed

8: outcome unknown; look it up with `flamingopond operation`

9: accepted, but not yet applied by a majority of members"""

JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of tables.")
]
BaseOption = Annotated[
    int | None,
    typer.Option(
        "--base-revision",
        min=0,
        help="Refuse the change if this is not the newest revision.",
    ),
]

# Short, so that completion does not block the shell.
_COMPLETION_TIMEOUT_S = 2.0


@attrs.frozen
class GlobalOptions:
    """Values of the options before the command."""

    nodes: tuple[str, ...]
    key_file: Path | None
    author: str
    timeout: float

    @classmethod
    def from_params(cls, params: Mapping[str, Any]) -> GlobalOptions:
        """Read the parsed options; completion needs them before ``main`` has run."""
        return cls(
            tuple(params.get("node") or ()),
            params.get("key_file"),
            "operator",
            _COMPLETION_TIMEOUT_S,
        )

    def connect(self) -> Session:
        """Open a session with the operator key."""
        if self.key_file is not None:
            try:
                key = self.key_file.read_text().strip()
            except OSError as error:
                raise typer.BadParameter(str(error)) from None
        else:
            key = os.environ.get("FLAMINGOPOND_KEY", "")
        if not self.nodes:
            raise typer.BadParameter(
                "no node address: use --node or FLAMINGOPOND_NODES"
            )
        if not key:
            raise typer.BadParameter(
                "no operator key: use --key-file or FLAMINGOPOND_KEY"
            )
        return connect(self.nodes, key, author=self.author, timeout=self.timeout)


@contextmanager
def open_session(context: typer.Context, *, as_json: bool) -> Iterator[Session]:
    """Yield a session; print errors and exit with their exit code."""
    state: GlobalOptions = context.find_root().obj
    try:
        with state.connect() as session:
            yield session
    except InvalidInputError as error:
        findings = [{"place": f.place, "message": f.message} for f in error.findings]
        lines = "\n".join(str(finding) for finding in error.findings)
        _exit_with_error(ExitCode.INPUT_REFUSED, lines, {"findings": findings}, as_json)
    except ConflictError as error:
        if not as_json:
            print_conflict(error)
        sides = {
            "base_revision": error.base,
            "current_revision": error.current,
            "yours": error.yours,
            "theirs": error.theirs,
        }
        _exit_with_error(ExitCode.CONFLICT, str(error), sides, as_json)
    except OperationUnknownError as error:
        details = {"operation_id": error.operation_id}
        _exit_with_error(ExitCode.OUTCOME_UNKNOWN, str(error), details, as_json)
    except FlamingopondError as error:
        code = ExitCode.FAILED
        for error_type, error_code in _EXIT_CODES.items():
            if isinstance(error, error_type):
                code = error_code
        _exit_with_error(code, str(error), {}, as_json)


def finish_change(accepted: Committed, *, as_json: bool, **extra: str) -> None:
    """Print an accepted change and exit with its exit code."""
    if as_json:
        print_json({**attrs.asdict(accepted), **extra})
    else:
        for name, value in extra.items():
            print(f"{name}: {value}")
        state = "in force" if accepted.in_force else "accepted, not yet in force"
        print(f"revision {accepted.revision}: {state}")
    if not accepted.in_force:
        raise typer.Exit(ExitCode.NOT_IN_FORCE)


def exit_with_input_error(message: str, *, as_json: bool) -> None:
    """Print an error about invalid input and exit."""
    _exit_with_error(ExitCode.INPUT_REFUSED, message, {}, as_json)


_EXIT_CODES: dict[type[FlamingopondError], ExitCode] = {
    InputRefusedError: ExitCode.INPUT_REFUSED,
    NotFoundError: ExitCode.NOT_FOUND,
    UnauthenticatedError: ExitCode.UNAUTHENTICATED,
    UnavailableError: ExitCode.UNAVAILABLE,
}


def _exit_with_error(
    code: ExitCode, message: str, details: Mapping[str, object], as_json: bool
) -> None:
    if as_json:
        print_json(
            {"error": {"code": code.name.lower(), "message": message, **details}}
        )
    else:
        print(message, file=sys.stderr)
    raise typer.Exit(code)
