"""Tests that a change takes effect once, whichever responses are lost."""

from __future__ import annotations

import attrs
import pytest

from flamingopond import (
    ConflictError,
    OperationUnknownError,
    Session,
    UnavailableError,
)
from flamingopond.exceptions import ClientError, NotSentError, ResponseLostError
from flamingopond.hooks import Hooks
from flamingopond.structures import Call, Response

ACCEPTED = Response(200, {"revision": 4, "operation_id": "o", "in_force": True})
CONFLICT = Response(
    409,
    {
        "error": {
            "code": "revision_conflict",
            "message": "m",
            "base_revision": 1,
            "current_revision": 3,
            "yours": [],
            "theirs": [],
        }
    },
)


def error_response(status: int, code: str) -> Response:
    return Response(
        status, {"error": {"code": code, "message": "m", "operation_id": "o"}}
    )


ABSENT = error_response(404, "not_found")
DOWN = error_response(503, "store_unavailable")
UNKNOWN = error_response(504, "outcome_unknown")
NOT_SENT = NotSentError("refused")
LOST = ResponseLostError("reset")


@attrs.define
class ScriptedAdapter:
    """Adapter that responds to calls in the given order; the last outcome repeats."""

    outcomes: list[Response | ClientError]
    calls: list[tuple[str, Call]] = attrs.field(factory=list)

    def send(self, node: str, call: Call) -> Response:
        self.calls.append((node, call))
        outcome = self.outcomes[min(len(self.calls), len(self.outcomes)) - 1]
        if isinstance(outcome, ClientError):
            raise outcome
        return outcome

    def close(self) -> None:
        pass


@attrs.define
class Clock:
    """Clock that advances only while the session sleeps."""

    now: float = 0.0

    def sleep(self, seconds: float) -> None:
        self.now += seconds


def open_session(
    adapter: ScriptedAdapter, nodes: tuple[str, ...] = ("a", "b")
) -> Session:
    clock = Clock()
    return Session(nodes, adapter, clock=lambda: clock.now, sleep=clock.sleep)


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [
        ([ACCEPTED], ["POST a"]),
        ([NOT_SENT, ACCEPTED], ["POST a", "POST b"]),
        ([DOWN, ACCEPTED], ["POST a", "POST b"]),
        ([LOST, ACCEPTED], ["POST a", "GET a"]),
        ([UNKNOWN, ACCEPTED], ["POST a", "GET a"]),
        ([error_response(500, "failed"), ACCEPTED], ["POST a", "GET a"]),
        ([LOST, NOT_SENT, ACCEPTED], ["POST a", "GET a", "GET b"]),
        ([LOST, ABSENT, ACCEPTED], ["POST a", "GET a", "POST b"]),
        (
            [LOST, ABSENT, LOST, ABSENT, ACCEPTED],
            ["POST a", "GET a", "POST b", "GET a", "POST a"],
        ),
    ],
)
def test_outcome_is_determined_after_lost_responses(
    outcomes: list[Response | ClientError], expected: list[str]
) -> None:
    """Guards against retries of a change under another operation id (F6)."""
    adapter = ScriptedAdapter(outcomes)
    accepted = open_session(adapter).contracts.create("w", {"rate": 1})
    assert accepted.revision == 4
    assert [f"{call.method} {node}" for node, call in adapter.calls] == expected
    operations = set()
    for _, call in adapter.calls:
        if call.method == "POST":
            operations.add(call.query["operation_id"])
        else:
            operations.add(call.path.removeprefix("operations/"))
    assert len(operations) == 1


@pytest.mark.parametrize(
    ("outcomes", "base", "error"),
    [
        ([NOT_SENT], None, UnavailableError),
        ([DOWN], None, UnavailableError),
        ([LOST], None, OperationUnknownError),
        ([LOST, ABSENT, DOWN], None, OperationUnknownError),
        ([CONFLICT], None, ConflictError),
        ([LOST, ABSENT, CONFLICT], 1, ConflictError),
        ([LOST, ABSENT, CONFLICT], None, OperationUnknownError),
        ([Response(418, {})], None, ClientError),
    ],
)
def test_errors_match_the_known_outcome(
    outcomes: list[Response | ClientError], base: int | None, error: type[ClientError]
) -> None:
    """Guards against reporting "nothing was changed" after a lost response."""
    with pytest.raises(error) as caught:
        session = open_session(ScriptedAdapter(outcomes))
        session.contracts.create("w", {}, base_revision=base)
    assert type(caught.value) is error


def test_secret_survives_a_lost_response_and_is_never_sent() -> None:
    """Guards against a granted key whose secret is lost with the response."""
    adapter = ScriptedAdapter([LOST, ACCEPTED])
    granted = open_session(adapter).keys.grant("k", "w")
    assert granted.secret
    assert all(granted.secret.encode() not in call.body for _, call in adapter.calls)


def test_hooks_see_each_call() -> None:
    """Guards against hooks that miss a call or a response."""
    calls: list[str] = []
    hooks = Hooks(
        [lambda node, call: calls.append(f"{node} {call.path}")],
        [lambda node, call, response: calls.append(f"{node} {response.status}")],
    )
    Session(
        ["a", "b"], ScriptedAdapter([NOT_SENT, Response(200, {})]), hooks=hooks
    ).status()
    assert calls == ["a status", "b status", "b 200"]
