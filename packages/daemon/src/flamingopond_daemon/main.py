"""The command ``flamingopondd``."""

from __future__ import annotations

import gc
import sys
from importlib.util import find_spec
from pathlib import Path
from typing import Annotated

import anyio
import typer

from flamingopond_core.exceptions import InvalidInputError
from flamingopond_daemon.logs import configure_logs
from flamingopond_daemon.settings import Settings, load_settings


def main(
    settings_file: Annotated[Path, typer.Argument(help="Settings as an INI file.")],
    check: Annotated[
        bool, typer.Option("--check", help="Only check the settings, then leave.")
    ] = False,
) -> None:
    """Run one flamingopond daemon."""
    try:
        settings = load_settings(settings_file)
    except InvalidInputError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(2) from None
    if check:
        print(f"{settings_file}: settings are valid")
        return
    configure_logs(settings.log.level, settings.node.name)
    run_daemon(settings)


def run_daemon(settings: Settings) -> None:
    """Run the daemon until it is told to leave."""
    # Imported here, so that --check does not need the parts that serve.
    from flamingopond_daemon.runtime import Runtime

    # Objects that live as long as the process need not be scanned again and again.
    gc.freeze()
    options = {"use_uvloop": find_spec("uvloop") is not None}
    anyio.run(Runtime(settings).run, backend="asyncio", backend_options=options)


def run() -> None:
    """Entry point of ``flamingopondd``."""
    typer.run(main)


if __name__ == "__main__":
    run()
