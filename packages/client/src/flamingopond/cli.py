"""The ``flamingopond`` command."""

from __future__ import annotations

import getpass
from pathlib import Path
from typing import Annotated, Any

import typer

from flamingopond.cliobjects import key_commands, object_commands, version_commands
from flamingopond.clioutput import (
    print_change_sets,
    print_differences,
    print_events,
    print_json,
    print_object,
    print_table,
)
from flamingopond.clistate import (
    EXIT_CODES_HELP,
    BaseOption,
    GlobalOptions,
    JsonOption,
    finish_change,
    open_session,
)
from flamingopond_core.enums import ObjectKind

app = typer.Typer(
    name="flamingopond",
    help=f"Operate a flamingopond deployment.\n\n{EXIT_CODES_HELP}",
    no_args_is_help=True,
    pretty_exceptions_show_locals=False,
)
for _kind in ObjectKind:
    if _kind is not ObjectKind.KEY:
        app.add_typer(
            object_commands(_kind),
            name=f"{_kind.value}s",
            help=f"Create, change and delete {_kind.value}s.",
        )
app.add_typer(key_commands(), name="keys", help="Grant, rotate and withdraw keys.")
app.add_typer(
    version_commands(), name="versions", help="List and set the versions of models."
)


@app.callback()
def main(
    context: typer.Context,
    node: Annotated[
        list[str] | None,
        typer.Option(
            "--node",
            envvar="FLAMINGOPOND_NODES",
            help="Address of a node's operator API, http://ip:port; may be repeated, "
            "the nodes are tried in order.",
        ),
    ] = None,
    key_file: Annotated[
        Path | None,
        typer.Option(
            "--key-file",
            envvar="FLAMINGOPOND_KEY_FILE",
            help="File with the operator key; default: the value of FLAMINGOPOND_KEY.",
        ),
    ] = None,
    author: Annotated[
        str | None,
        typer.Option(help="Name recorded in the history; default: the user name."),
    ] = None,
    timeout: Annotated[
        float, typer.Option(min=0.1, help="Timeout of one call in seconds.")
    ] = 15.0,
) -> None:
    """Store the options before the command."""
    context.obj = GlobalOptions(
        tuple(node or ()), key_file, author or _current_user(), timeout
    )


@app.command()
def apply(
    context: typer.Context,
    file: Annotated[Path, typer.Argument(exists=True, dir_okay=False, readable=True)],
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Show the changes without applying them.")
    ] = False,
    prune: Annotated[
        bool,
        typer.Option(
            "--prune", help="Delete objects that are not in the file, except keys."
        ),
    ] = False,
    base_revision: BaseOption = None,
    as_json: JsonOption = False,
) -> None:
    """Apply an INI file; refused if a change is accepted in the meantime."""
    text = file.read_text()
    with open_session(context, as_json=as_json) as session:
        plan = session.plan(text, str(file), prune=prune)
        if not as_json:
            print_differences(plan.differences)
        if dry_run or not plan.differences:
            if as_json:
                print_json({"revision": plan.revision, "differences": plan.differences})
            else:
                count = len(plan.differences)
                print(f"revision {plan.revision}: {count} objects differ")
            return
        # Based on the plan's revision, so that only the shown changes are applied.
        base = plan.revision if base_revision is None else base_revision
        accepted = session.apply(text, str(file), prune=prune, base_revision=base)
    if accepted is not None:
        finish_change(accepted, as_json=as_json)


@app.command()
def history(
    context: typer.Context,
    after: Annotated[
        int | None, typer.Option(min=0, help="Show only changes after this revision.")
    ] = None,
    limit: Annotated[int, typer.Option(min=1, max=1000)] = 50,
    as_json: JsonOption = False,
) -> None:
    """Show accepted changes, oldest first."""
    with open_session(context, as_json=as_json) as session:
        body = session.history(after, limit)
    if as_json:
        print_json(body)
    else:
        print_change_sets(body["change_sets"])


@app.command()
def operation(
    context: typer.Context, operation_id: str, as_json: JsonOption = False
) -> None:
    """Show whether an operation was accepted."""
    with open_session(context, as_json=as_json) as session:
        accepted = session.operation(operation_id)
    finish_change(accepted, as_json=as_json)


@app.command()
def status(context: typer.Context, as_json: JsonOption = False) -> None:
    """Show VMs, targets and models as known to one node."""
    with open_session(context, as_json=as_json) as session:
        body = session.status()
    if as_json:
        print_json(body)
        return
    tables: dict[str, list[dict[str, Any]]] = {}
    for name, value in body.items():
        if isinstance(value, list):
            tables[name] = value
        else:
            print_object({name: value})
    for name, rows in tables.items():
        print(f"\n{name}:")
        print_table(rows)


@app.command()
def drain(
    context: typer.Context,
    kind: Annotated[str, typer.Argument(help="vm or target")],
    name: str,
    as_json: JsonOption = False,
) -> None:
    """Take a VM or target out of service without interrupting requests."""
    with open_session(context, as_json=as_json) as session:
        body = session.drain(kind, name)
    if as_json:
        print_json(body)
    else:
        print_object(body)


@app.command()
def timeline(
    context: typer.Context,
    request: Annotated[str | None, typer.Option(help="Request id.")] = None,
    workspace: Annotated[str | None, typer.Option()] = None,
    target: Annotated[str | None, typer.Option()] = None,
    kind: Annotated[
        list[str] | None, typer.Option(help="Kind of event; may be repeated.")
    ] = None,
    after: Annotated[
        int, typer.Option(min=0, help="Show only events after this stamp.")
    ] = 0,
    limit: Annotated[int, typer.Option(min=1, max=10_000)] = 1000,
    as_json: JsonOption = False,
) -> None:
    """Show the events of all daemons in causal order."""
    with open_session(context, as_json=as_json) as session:
        event_list = session.timeline(
            request=request,
            workspace=workspace,
            target=target,
            kinds=kind or (),
            after=after,
            limit=limit,
        )
    if as_json:
        print_json({"events": event_list.events, "unanswered": event_list.unanswered})
    else:
        print_events(event_list)


def run() -> None:
    """Run the command line application."""
    app()


def _current_user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"


if __name__ == "__main__":
    run()
