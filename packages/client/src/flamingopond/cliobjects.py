"""Commands for the objects of each kind, for keys and for model versions."""

# Annotations are evaluated here, because typer reads them and some name local
# variables; hence no import of annotations from __future__.
import uuid
from typing import Annotated, Any

import typer

from flamingopond.clioutput import print_json, print_object, print_table
from flamingopond.clistate import (
    BaseOption,
    JsonOption,
    State,
    finish_change,
    open_session,
    refuse,
)
from flamingopond_core.enums import ObjectKind
from flamingopond_core.exceptions import FlamingopondError
from flamingopond_core.fields import field_types


def object_commands(kind: ObjectKind) -> typer.Typer:
    """Return create, show, list, change and end for one kind."""
    app = typer.Typer(no_args_is_help=True)
    fields_help = f"FIELD=VALUE; fields: {', '.join(field_types(kind))}."
    name_argument = typer.Argument(autocompletion=_complete_names(kind))
    fields_argument = typer.Argument(
        metavar="FIELD=VALUE...",
        help=fields_help,
        autocompletion=_complete_fields(kind),
    )

    @app.command("create", help=f"Create a {kind.value}.")
    def create(
        context: typer.Context,
        name: str,
        fields: Annotated[list[str], fields_argument],
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        values = _read_fields(fields, as_json=as_json)
        with open_session(context, as_json=as_json) as session:
            collection = session.objects(kind)
            accepted = collection.create(name, values, base_revision=base_revision)
        finish_change(accepted, as_json=as_json)

    @app.command("change", help=f"Change some fields of a {kind.value}.")
    def change(
        context: typer.Context,
        name: Annotated[str, name_argument],
        fields: Annotated[list[str], fields_argument],
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        values = _read_fields(fields, as_json=as_json)
        with open_session(context, as_json=as_json) as session:
            collection = session.objects(kind)
            accepted = collection.change(name, values, base_revision=base_revision)
        finish_change(accepted, as_json=as_json)

    add_reading(app, kind)
    if kind is ObjectKind.CONTRACT:
        _add_contract_end(app)
    else:
        _add_end(app, kind)
    return app


def add_reading(app: typer.Typer, kind: ObjectKind) -> None:
    """Add show and list for one kind."""

    @app.command("show", help=f"Show one {kind.value}.")
    def show(
        context: typer.Context,
        name: Annotated[str, typer.Argument(autocompletion=_complete_names(kind))],
        as_json: JsonOption = False,
    ) -> None:
        with open_session(context, as_json=as_json) as session:
            body = session.objects(kind).show(name)
        if as_json:
            print_json(body)
        else:
            print_object(body["object"])

    @app.command("list", help=f"List the {kind.value}s.")
    def list_objects(context: typer.Context, as_json: JsonOption = False) -> None:
        with open_session(context, as_json=as_json) as session:
            body = session.objects(kind).list()
        if as_json:
            print_json(body)
        else:
            print_table(body["objects"])


def key_commands() -> typer.Typer:
    """Return grant, withdraw, rotate, show and list for keys."""
    app = typer.Typer(no_args_is_help=True)
    key_argument = typer.Argument(autocompletion=_complete_names(ObjectKind.KEY))

    @app.command()
    def grant(
        context: typer.Context,
        workspace: Annotated[
            str, typer.Argument(autocompletion=_complete_names(ObjectKind.CONTRACT))
        ],
        key_id: Annotated[
            str | None, typer.Option("--key-id", help="Made up if left out.")
        ] = None,
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        """Grant a key; its secret is shown this once and kept nowhere."""
        key_id = key_id or f"{workspace}-{uuid.uuid4().hex[:8]}"
        with open_session(context, as_json=as_json) as session:
            granted = session.keys.grant(key_id, workspace, base_revision=base_revision)
        finish_change(
            granted.committed, as_json=as_json, key_id=key_id, secret=granted.secret
        )

    @app.command()
    def rotate(
        context: typer.Context,
        key_id: Annotated[str, key_argument],
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        """Give a key a new secret, shown this once; the old one stops."""
        with open_session(context, as_json=as_json) as session:
            granted = session.keys.rotate(key_id, base_revision=base_revision)
        finish_change(
            granted.committed, as_json=as_json, key_id=key_id, secret=granted.secret
        )

    @app.command()
    def withdraw(
        context: typer.Context,
        key_id: Annotated[str, key_argument],
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        """Withdraw a key; its requests that still stream are ended."""
        with open_session(context, as_json=as_json) as session:
            accepted = session.keys.withdraw(key_id, base_revision=base_revision)
        finish_change(accepted, as_json=as_json)

    add_reading(app, ObjectKind.KEY)
    return app


def version_commands() -> typer.Typer:
    """Return list and set for the versions of models."""
    app = typer.Typer(no_args_is_help=True)

    @app.command("list")
    def list_versions(context: typer.Context, as_json: JsonOption = False) -> None:
        """List the version that engines are to hold of each model."""
        with open_session(context, as_json=as_json) as session:
            body = session.models.list()
        rows = [{"model": m["name"], "version": m["version"]} for m in body["objects"]]
        if as_json:
            print_json({"revision": body["revision"], "versions": rows})
        else:
            print_table(rows)

    @app.command("set")
    def set_version(
        context: typer.Context,
        model: Annotated[
            str, typer.Argument(autocompletion=_complete_names(ObjectKind.MODEL))
        ],
        version: str,
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        """Let engines hold another version of a model."""
        with open_session(context, as_json=as_json) as session:
            accepted = session.models.change(
                model, {"version": version}, base_revision=base_revision
            )
        finish_change(accepted, as_json=as_json)

    return app


def _add_end(app: typer.Typer, kind: ObjectKind) -> None:
    @app.command("end", help=f"End a {kind.value}.")
    def end(
        context: typer.Context,
        name: Annotated[str, typer.Argument(autocompletion=_complete_names(kind))],
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        with open_session(context, as_json=as_json) as session:
            accepted = session.objects(kind).end(name, base_revision=base_revision)
        finish_change(accepted, as_json=as_json)


def _add_contract_end(app: typer.Typer) -> None:
    @app.command("end")
    def end(
        context: typer.Context,
        name: Annotated[
            str, typer.Argument(autocompletion=_complete_names(ObjectKind.CONTRACT))
        ],
        with_keys: Annotated[
            bool, typer.Option("--with-keys", help="Withdraw its keys too.")
        ] = False,
        base_revision: BaseOption = None,
        as_json: JsonOption = False,
    ) -> None:
        """End a contract; refused while it has keys, unless --with-keys is given."""
        with open_session(context, as_json=as_json) as session:
            accepted = session.contracts.end(
                name, with_keys=with_keys, base_revision=base_revision
            )
        finish_change(accepted, as_json=as_json)


def _read_fields(texts: list[str], *, as_json: bool) -> dict[str, str]:
    fields: dict[str, str] = {}
    faults = []
    for text in texts:
        field, separator, value = text.partition("=")
        if not separator or not field:
            faults.append(f"{text}: not of the form FIELD=VALUE")
        elif field in fields:
            faults.append(f"{field}: given twice")
        fields[field] = value
    if faults:
        refuse("\n".join(faults), as_json=as_json)
    return fields


def _complete_fields(kind: ObjectKind) -> Any:
    def complete(incomplete: str) -> list[str]:
        return [f"{f}=" for f in field_types(kind) if f.startswith(incomplete)]

    return complete


def _complete_names(kind: ObjectKind) -> Any:
    def complete(context: typer.Context, incomplete: str) -> list[str]:
        root = context.find_root()
        state = root.obj or State.from_params(root.params)
        try:
            with state.connect() as session:
                objects = session.objects(kind).list()["objects"]
        except (FlamingopondError, typer.BadParameter):
            # Completion must not print errors into the command line.
            return []
        names = [next(iter(fields.values())) for fields in objects]
        return [name for name in names if name.startswith(incomplete)]

    return complete
