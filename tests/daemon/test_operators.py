"""Tests of the operators' API: all findings at once, each change only once."""

from __future__ import annotations

from typing import Any

import attrs
import httpx
import pytest
from config_fakes import Fleet
from operator_fakes import make_app

from flamingopond_core.keys import digest_of
from flamingopond_daemon import configuration_log, configuration_sync

pytestmark = pytest.mark.anyio
CONTRACT = {"priority": "premium", "rate": 100, "burst": "400"}
DIGEST = "ab" * 32


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@attrs.define
class Operator:
    """Client of the operators' API of each node in a fleet."""

    fleet: Fleet
    token: str = "operator-secret"

    async def call(
        self, method: str, path: str, body: object = None, node: str = "a", **query: Any
    ) -> tuple[int, dict[str, Any]]:
        content = {"content": body} if isinstance(body, str) else {"json": body}
        async with httpx.AsyncClient(
            transport=httpx.ASGITransport(make_app(self.fleet, node)),
            base_url=f"http://{node}",
            headers={"Authorization": f"Bearer {self.token}"},
        ) as client:
            response = await client.request(
                method, f"/operator/v1/{path}", params=query, **content
            )
        return response.status_code, response.json()


@pytest.fixture
async def operator(monkeypatch: pytest.MonkeyPatch) -> Operator:
    monkeypatch.setattr(configuration_log, "_SETTLE_RETRY_S", 0.0)
    # The peers in these tests receive no push, so don't wait for a majority.
    monkeypatch.setattr(
        configuration_sync.ConfigurationSync.wait_in_force, "__defaults__", (0.0,)
    )
    fleet = Fleet()
    await fleet.start("a", "b")
    return Operator(fleet)


@pytest.mark.parametrize("token", ["", "wrong", digest_of("operator-secret")])
async def test_requests_need_the_operators_key(operator: Operator, token: str) -> None:
    """Guards against access without the key, or with its stored digest."""
    operator.token = token
    for method, path in [("GET", "contracts"), ("POST", "apply"), ("GET", "gone")]:
        status, body = await operator.call(method, path)
        assert (status, body["error"]["code"]) == (401, "unauthenticated")


async def test_contract_and_key_lifecycle(operator: Operator) -> None:
    """Guards against a request that succeeds without taking effect."""
    call = operator.call
    status, body = await call("POST", "contracts/w", CONTRACT, author="ana")
    assert (status, body["revision"], body["in_force"]) == (200, 1, False)
    _, body = await call("POST", "keys/k", {"workspace": "w"})
    first = body["secret"]
    configuration = operator.fleet.syncs["a"].configuration
    assert configuration.authenticate(first) is not None
    _, body = await call("POST", "keys/k/rotate")
    assert configuration.authenticate(first) is None
    assert configuration.authenticate(body["secret"]) is not None
    status, body = await call("PATCH", "contracts/w", {"rate": 50})
    assert status == 200
    _, body = await call("GET", "contracts/w")
    assert (body["object"]["rate"], body["object"]["burst"]) == (50, 400)
    status, body = await call("DELETE", "contracts/w")
    assert (status, len(body["error"]["findings"])) == (422, 1)
    status, _ = await call("DELETE", "contracts/w", with_keys="yes")
    assert status == 200
    assert (await call("GET", "keys"))[1] == {"revision": 5, "objects": []}
    _, body = await call("GET", "history", after=0)
    assert [c["author"] for c in body["change_sets"]] == ["ana"] + 4 * ["operator"]
    assert first not in str(body)


@pytest.mark.parametrize(
    ("method", "path", "body", "query", "messages"),
    [
        (
            "POST",
            "contracts/w",
            {"priority": "gold", "rate": "x", "burts": 1},
            {},
            ["not one of", "not a number", "did you mean 'burst'", "lacks"],
        ),
        (
            "POST",
            "models/m",
            {"version": "1", "memory_mb": -1, "tokens_per_second": 0},
            {},
            ["memory_mb", "tokens_per_second"],
        ),
        ("POST", "keys/k", {"workspace": "w", "digest": "x"}, {}, ["SHA", "contract"]),
        ("PATCH", "models/m", {"version": "2"}, {}, ["does not exist"]),
        ("DELETE", "routes/r", None, {}, ["does not exist"]),
        ("POST", "keys/k/rotate", {"workspace": "v"}, {}, ["unknown key"]),
        (
            "POST",
            "contracts/w",
            CONTRACT,
            {"operation_id": "a/b", "base_revision": "-1"},
            ["operation_id", "base_revision"],
        ),
        ("POST", "contracts/w", CONTRACT, {"base_revision": "7"}, ["no revision 7"]),
        ("POST", "apply", "[route r]\npath = x\nopen = 3\n", {}, ["in:3", "in:1"]),
        ("POST", "models/m", "{", {}, ["body"]),
        ("POST", "drain/vm/x", None, {}, ["there is no x"]),
        ("POST", "drain/zone/x", None, {}, ["not vm or target"]),
        ("GET", "history", None, {"limit": "many"}, ["limit"]),
    ],
)
async def test_bad_input_is_reported_whole_and_changes_nothing(
    operator: Operator,
    method: str,
    path: str,
    body: object,
    query: dict[str, str],
    messages: list[str],
) -> None:
    """Guards against findings reported one by one, or a change applied in part."""
    if path == "apply":
        query = {"file": "in"}
    status, response_body = await operator.call(method, path, body, **query)
    assert (status, response_body["error"]["code"]) == (422, "invalid_input")
    for message in messages:
        assert message in str(response_body["error"]["findings"])
    assert operator.fleet.table.commits == 0


async def test_a_stale_base_gets_both_changes(operator: Operator) -> None:
    """Guards against a lost update between two operators (F8)."""
    await operator.call("POST", "contracts/w", CONTRACT)
    await operator.call("PATCH", "contracts/w", {"rate": 7}, "b", author="ben")
    status, body = await operator.call(
        "PATCH", "contracts/w", {"rate": 9}, base_revision=1
    )
    error = body["error"]
    assert (status, error["code"]) == (409, "revision_conflict")
    assert (error["base_revision"], error["current_revision"]) == (1, 2)
    assert error["yours"][0]["value"]["rate"] == 9
    assert [c["author"] for c in error["theirs"]] == ["ben"]


async def test_without_a_base_only_the_same_object_conflicts(
    operator: Operator,
) -> None:
    """Guards against rejecting changes to unrelated objects."""
    await operator.call("POST", "contracts/w", CONTRACT, "b")
    status, body = await operator.call("POST", "contracts/v", CONTRACT)
    assert (status, body["revision"]) == (200, 2)


async def test_a_node_that_lags_builds_on_the_operators_base(
    operator: Operator,
) -> None:
    """Guards against undoing a field that changed after the lagging node's revision."""
    await operator.call("POST", "contracts/w", CONTRACT)
    await operator.call("PATCH", "contracts/w", {"rate": 7})
    status, _ = await operator.call(
        "PATCH", "contracts/w", {"burst": 9}, "b", base_revision=2
    )
    assert status == 200
    contract = operator.fleet.syncs["b"].configuration.contracts["w"]
    assert (contract.rate, contract.burst) == (7, 9)


async def test_a_resent_request_is_answered_by_its_operation(
    operator: Operator,
) -> None:
    """Guards against "exists already", or a second change, after a lost response."""
    fields = {"workspace": "w", "digest": DIGEST}
    await operator.call("POST", "contracts/w", CONTRACT)
    operator.fleet.table.faults = ["lost reply"]
    _, first = await operator.call("POST", "keys/k", fields, operation_id="o1")
    status, again = await operator.call("POST", "keys/k", fields, operation_id="o1")
    assert (status, again["revision"]) == (200, first["revision"])
    assert operator.fleet.table.commits == 2
    # The other node has not applied the repeated operation yet.
    status, again = await operator.call(
        "POST", "keys/k", fields, "b", operation_id="o1"
    )
    assert (status, again["revision"]) == (200, first["revision"])
    status, body = await operator.call("GET", "operations/o1")
    assert (status, body["revision"]) == (200, 2)
    assert (await operator.call("GET", "operations/o2"))[0] == 404
    status, body = await operator.call("DELETE", "keys/k", operation_id="o1")
    assert status == 422
    assert "another request" in str(body)


async def test_apply_shows_differences_before_it_changes(operator: Operator) -> None:
    """Guards against a dry run that changes something."""
    text = "[contract w]\npriority = premium\nrate = 5\nburst = 6\n"
    status, body = await operator.call("POST", "apply", text, dry_run="yes")
    assert (status, body["revision"], len(body["differences"])) == (200, 0, 1)
    assert operator.fleet.table.commits == 0
    for _ in range(2):
        status, body = await operator.call(
            "POST", "apply", text, base_revision=0, operation_id="o1"
        )
        assert (status, body["revision"], body["operation_id"]) == (200, 1, "o1")
    status, body = await operator.call("POST", "apply", text)
    assert (status, body) == (200, {"revision": 1, "differences": []})


async def test_table_down_and_unknown_outcome(
    operator: Operator, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against claiming an outcome in a table outage (F5) or lost reply (F6)."""
    monkeypatch.setattr(configuration_log, "SETTLE_TIMEOUT_S", -1.0)
    operator.fleet.table.faults = ["lost reply, then down"]
    status, body = await operator.call(
        "POST", "contracts/w", CONTRACT, operation_id="o1"
    )
    assert (status, body["error"]["code"]) == (504, "outcome_unknown")
    assert body["error"]["operation_id"] == "o1"
    status, body = await operator.call("POST", "contracts/v", CONTRACT)
    assert (status, body["error"]["code"]) == (503, "store_unavailable")
    operator.fleet.table.down = False
    status, body = await operator.call(
        "POST", "contracts/w", CONTRACT, operation_id="o1"
    )
    assert (status, body["revision"], operator.fleet.table.commits) == (200, 1, 1)


async def test_status_drain_timeline_and_metrics(operator: Operator) -> None:
    """Guards against query parameters that are not passed on."""
    _, body = await operator.call("GET", "status")
    assert (body["node"], body["fresh"], body["vms"]) == ("a", True, [{"name": "a"}])
    _, body = await operator.call("POST", "drain/target/e1")
    assert body["state"] == "draining"
    _, body = await operator.call(
        "GET", "timeline", workspace="w", kind=["x", "y"], limit=5
    )
    fields = body["events"][1]["fields"]
    assert (fields["workspace"], fields["kinds"], fields["limit"]) == (
        "w",
        ["x", "y"],
        5,
    )
    assert body["unanswered"] == ["c", "a"]
