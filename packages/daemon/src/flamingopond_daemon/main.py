"""The command ``flamingopondd``."""

from __future__ import annotations

import functools
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
        bool, typer.Option("--check", help="Only check the settings, then exit.")
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
    """Run the daemon until it is stopped or drained."""
    # httpcore tries to import sniffio seven times per request, and Python does not
    # cache failed imports. An entry of None makes the import fail at once.
    if find_spec("sniffio") is None:
        sys.modules["sniffio"] = None  # type: ignore[assignment]
    # Imported here so that --check does not load the serving modules.
    from flamingopond_daemon import runtime

    # Keeps the garbage collector from scanning objects that are never freed.
    gc.freeze()
    # Not on uvloop: with pycapnp 2.2.4 and uvloop 0.23.0, one of three daemons had a
    # segmentation fault within seconds in 5 of 6 starts of the demonstration.
    anyio.run(functools.partial(runtime.run_daemon, settings))


def run() -> None:
    """Entry point of ``flamingopondd``."""
    typer.run(main)


if __name__ == "__main__":
    run()
