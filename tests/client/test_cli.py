"""Tests of the command against the operator API, in one process."""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
import httpx
import pytest
from config_fakes import Fleet
from operator_fakes import make_app
from typer.testing import CliRunner, Result

from flamingopond import HttpAdapter, Session, clistate
from flamingopond.cli import app
from flamingopond_daemon import configuration_log, configuration_sync

Command = Callable[..., Result]
CONTRACT = ["contracts", "create", "w", "priority=premium", "rate=5", "burst=6"]
INI = "[contract w]\npriority = premium\nrate = {rate}\nburst = 6\n"


class AppTransport(httpx.BaseTransport):
    """Passes each request to the app of the node that is its URL's host."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        node = request.url.host
        if node not in self._fleet.syncs:
            raise httpx.ConnectError("connection refused")
        return anyio.run(self._send_to_app, node, request)

    async def _send_to_app(self, node: str, request: httpx.Request) -> httpx.Response:
        transport = httpx.ASGITransport(make_app(self._fleet, node))
        async with httpx.AsyncClient(transport=transport) as client:
            response = await client.request(
                request.method,
                request.url,
                headers=request.headers,
                content=request.read(),
            )
        return httpx.Response(response.status_code, content=response.content)


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    """Return nodes a and b; before a change is confirmed, b applies it."""
    fleet = Fleet()

    async def start() -> None:
        await fleet.start("a", "b")

    async def in_force(
        sync: configuration_sync.ConfigurationSync, revision: int, limit: float = 0.0
    ) -> bool:
        for name in fleet.syncs:
            if fleet.clusters[name].cut_off:
                continue
            await fleet.syncs[name].poll()
            fleet.gossip(name, sync._cluster.name)
        return sync.in_force(revision)

    anyio.run(start)
    monkeypatch.setattr(configuration_sync.ConfigurationSync, "wait_in_force", in_force)
    monkeypatch.setattr(configuration_log, "_SETTLE_RETRY_S", 0.0)
    return fleet


@pytest.fixture
def command(fleet: Fleet, monkeypatch: pytest.MonkeyPatch) -> Command:
    def connect(nodes: Sequence[str], key: str, **options: Any) -> Session:
        adapter = HttpAdapter(key, transport=AppTransport(fleet))
        return Session(nodes, adapter, author="ana")

    monkeypatch.setattr(clistate, "connect", connect)

    def call(*arguments: str, node: str = "a", key: str = "operator-secret") -> Result:
        environment = {
            "FLAMINGOPOND_NODES": f"http://gone http://{node}",
            "FLAMINGOPOND_KEY": key,
        }
        return CliRunner().invoke(app, arguments, env=environment)

    return call


@pytest.mark.parametrize(
    ("arguments", "code", "texts"),
    [
        (CONTRACT, 0, ["revision 1: in force"]),
        (["contracts", "create", "w", "rate=x", "brust=1"], 3, ["rate", "'burst'"]),
        (["contracts", "create", "w", "rate"], 3, ["FIELD=VALUE"]),
        (["contracts", "show", "w"], 5, ["there is no contract"]),
        (["contracts"], 2, ["Usage"]),
        ([*CONTRACT, "--base-revision", "4"], 3, ["no revision 4"]),
        (["keys", "grant", "w"], 3, ["contract w, which is missing"]),
        (["versions", "set", "m", "2"], 3, ["model m: does not exist"]),
        (["operation", "o9"], 5, ["was not accepted"]),
        (["drain", "target", "e1"], 0, ["state = draining"]),
        (["drain", "vm", "x"], 3, ["there is no x"]),
        (["status"], 0, ["revision = 0", "vms:"]),
        (["history", "--json"], 0, ['{"revision":0,"change_sets":[]}']),
        (["models", "list"], 0, []),
    ],
)
def test_exit_codes(
    command: Command, arguments: list[str], code: int, texts: list[str]
) -> None:
    """Guards against exit codes that let scripts mistake a failure for a success."""
    result = command(*arguments)
    assert result.exit_code == code, result.output
    for text in texts:
        assert text in result.output


def test_exit_codes_of_failures(command: Command, fleet: Fleet) -> None:
    """Guards against exit codes that misreport whether a change took effect."""
    assert command("status", key="wrong").exit_code == 6
    assert command("status", node="gone").exit_code == 7
    fleet.table.down = True
    assert command(*CONTRACT).exit_code == 7
    fleet.table.down = False
    for name in ("c", "d", "e"):
        fleet.add(name)
        fleet.clusters[name].cut_off = True
    result = command(*CONTRACT)
    assert result.exit_code == 9
    assert "revision 1: accepted, not yet in force" in result.output


def test_change_is_applied_once_after_a_lost_table_reply(
    command: Command, fleet: Fleet
) -> None:
    """Guards against applying a change twice after the table's reply is lost (F6)."""
    fleet.table.faults = ["lost reply"]
    assert command(*CONTRACT).exit_code == 0
    assert fleet.table.commits == 1


def test_key_is_granted_rotated_and_withdrawn(command: Command, fleet: Fleet) -> None:
    """Guards against secrets that are stored, shown again or valid after rotation."""
    command(*CONTRACT)
    configuration = fleet.syncs["a"].configuration
    granted = json.loads(command("keys", "grant", "w", "--json").output)
    assert configuration.authenticate(granted["secret"]) is not None
    key_id = granted["key_id"]
    rotated = json.loads(command("keys", "rotate", key_id, "--json").output)
    assert configuration.authenticate(granted["secret"]) is None
    assert configuration.authenticate(rotated["secret"]) is not None
    shown = command("keys", "list").output + command("history").output
    assert key_id in shown
    assert rotated["secret"] not in shown
    assert command("keys", "withdraw", key_id).exit_code == 0
    assert configuration.authenticate(rotated["secret"]) is None
    assert command("contracts", "end", "w", "--with-keys").exit_code == 0


def test_stale_revision_shows_both_sides(command: Command) -> None:
    """Guards against a conflict report with the changes of one side only (F8)."""
    command(*CONTRACT)
    command("contracts", "change", "w", "rate=70", node="b")
    arguments = ["contracts", "change", "w", "rate=90", "--base-revision", "1"]
    result = command(*arguments)
    assert result.exit_code == 4
    yours, _, theirs = result.output.partition("theirs, up to revision 2")
    assert "rate = 90" in yours
    assert "rate = 70" in theirs
    assert "ana" in theirs
    error = json.loads(command(*arguments, "--json").output)["error"]
    assert error["theirs"][0]["changes"][0]["value"]["rate"] == 70


def test_apply_shows_changes_before_applying(
    command: Command, fleet: Fleet, tmp_path: Path
) -> None:
    """Guards against a dry run that applies changes and errors without a location."""
    file = tmp_path / "c.ini"
    file.write_text(INI.format(rate=5))
    result = command("apply", str(file), "--dry-run")
    assert (result.exit_code, fleet.table.commits) == (0, 0)
    assert "+ contract w" in result.output
    assert command("apply", str(file)).exit_code == 0
    file.write_text(INI.format(rate=8))
    result = command("apply", str(file))
    assert "- rate = 5" in result.output
    assert "+ rate = 8" in result.output
    assert "0 objects differ" in command("apply", str(file)).output
    file.write_text(INI.format(rate="-8") + "speed = 3\n")
    result = command("apply", str(file))
    assert (result.exit_code, fleet.table.commits) == (3, 2)
    assert f"{file}:5 [contract w] speed: unknown key" in result.output


def test_timeline_merges_events_of_daemons(command: Command) -> None:
    """Guards against events that are out of causal order, duplicate or unfiltered."""
    arguments = ["--node", "http://b", "--node", "http://a", "--node", "http://gone"]
    query = ["timeline", "--workspace", "w", "--kind", "x", "--json"]
    timeline = json.loads(command(*arguments, *query).output)
    assert [(e["stamp"], e["node"]) for e in timeline["events"]] == [
        (1, "z"),
        (5, "a"),
        (6, "b"),
    ]
    assert timeline["unanswered"] == ["c"]
    fields = timeline["events"][1]["fields"]
    assert (fields["workspace"], fields["kinds"]) == ("w", ["x"])
    assert "1970-01-01T00:00:00.000Z z k" in command(*arguments, "timeline").output


def test_completion_offers_names_and_fields(command: Command) -> None:
    """Guards against completion that fails or prints errors."""
    command(*CONTRACT)
    for words, expected in [("show ", "w"), ("change w ra", "rate=")]:
        result = CliRunner().invoke(
            app,
            [],
            prog_name="flamingopond",
            env={
                "_FLAMINGOPOND_COMPLETE": "complete_bash",
                "COMP_WORDS": f"flamingopond contracts {words}",
                "COMP_CWORD": str(len(words.split(" ")) + 1),
                "FLAMINGOPOND_NODES": "http://a",
                "FLAMINGOPOND_KEY": "operator-secret",
            },
        )
        assert expected in result.output
