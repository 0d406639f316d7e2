"""A change takes effect once, whatever happens to its replies."""

from __future__ import annotations

import attrs
import pytest

from flamingopond import (
    ConflictError,
    OperationUnknownError,
    Session,
    UnavailableError,
)
from flamingopond.exceptions import ClientError, NotSentError, ReplyLostError
from flamingopond.hooks import Hooks
from flamingopond.structures import Call, Reply

ACCEPTED = Reply(200, {"revision": 4, "operation_id": "o", "in_force": True})
CONFLICT = Reply(
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


def failed(status: int, code: str) -> Reply:
    return Reply(status, {"error": {"code": code, "message": "m", "operation_id": "o"}})


ABSENT = failed(404, "not_found")
DOWN = failed(503, "store_unavailable")
UNKNOWN = failed(504, "outcome_unknown")
NOT_SENT = NotSentError("refused")
LOST = ReplyLostError("reset")


@attrs.define
class Script:
    """Answers calls in the given order; the last answer repeats."""

    answers: list[Reply | ClientError]
    calls: list[tuple[str, Call]] = attrs.field(factory=list)

    def send(self, node: str, call: Call) -> Reply:
        self.calls.append((node, call))
        answer = self.answers[min(len(self.calls), len(self.answers)) - 1]
        if isinstance(answer, ClientError):
            raise answer
        return answer

    def close(self) -> None:
        pass


@attrs.define
class Clock:
    """Passes only while the session sleeps."""

    now: float = 0.0

    def sleep(self, seconds: float) -> None:
        self.now += seconds


def open_session(script: Script, nodes: tuple[str, ...] = ("a", "b")) -> Session:
    clock = Clock()
    return Session(nodes, script, clock=lambda: clock.now, sleep=clock.sleep)


@pytest.mark.parametrize(
    ("answers", "expected"),
    [
        ([ACCEPTED], ["POST a"]),
        ([NOT_SENT, ACCEPTED], ["POST a", "POST b"]),
        ([DOWN, ACCEPTED], ["POST a", "POST b"]),
        ([LOST, ACCEPTED], ["POST a", "GET a"]),
        ([UNKNOWN, ACCEPTED], ["POST a", "GET a"]),
        ([failed(500, "failed"), ACCEPTED], ["POST a", "GET a"]),
        ([LOST, NOT_SENT, ACCEPTED], ["POST a", "GET a", "GET b"]),
        ([LOST, ABSENT, ACCEPTED], ["POST a", "GET a", "POST b"]),
        (
            [LOST, ABSENT, LOST, ABSENT, ACCEPTED],
            ["POST a", "GET a", "POST b", "GET a", "POST a"],
        ),
    ],
)
def test_lost_replies_are_settled(
    answers: list[Reply | ClientError], expected: list[str]
) -> None:
    """Guards against a change sent again under another operation id (F6)."""
    script = Script(answers)
    accepted = open_session(script).contracts.create("w", {"rate": 1})
    assert accepted.revision == 4
    assert [f"{call.method} {node}" for node, call in script.calls] == expected
    operations = set()
    for _, call in script.calls:
        if call.method == "POST":
            operations.add(call.query["operation_id"])
        else:
            operations.add(call.path.removeprefix("operations/"))
    assert len(operations) == 1


@pytest.mark.parametrize(
    ("answers", "base", "error"),
    [
        ([NOT_SENT], None, UnavailableError),
        ([DOWN], None, UnavailableError),
        ([LOST], None, OperationUnknownError),
        ([LOST, ABSENT, DOWN], None, OperationUnknownError),
        ([CONFLICT], None, ConflictError),
        ([LOST, ABSENT, CONFLICT], 1, ConflictError),
        ([LOST, ABSENT, CONFLICT], None, OperationUnknownError),
        ([Reply(418, {})], None, ClientError),
    ],
)
def test_errors_claim_no_more_than_is_known(
    answers: list[Reply | ClientError], base: int | None, error: type[ClientError]
) -> None:
    """Guards against "nothing was changed" after a reply was lost."""
    with pytest.raises(error) as caught:
        session = open_session(Script(answers))
        session.contracts.create("w", {}, base_revision=base)
    assert type(caught.value) is error


def test_a_secret_survives_a_lost_reply_and_is_never_sent() -> None:
    """Guards against a granted key that nobody knows the secret of."""
    script = Script([LOST, ACCEPTED])
    granted = open_session(script).keys.grant("k", "w")
    assert granted.secret
    assert all(granted.secret.encode() not in call.body for _, call in script.calls)


def test_hooks_see_each_call() -> None:
    """Guards against hooks that miss a node or a reply."""
    seen: list[str] = []
    hooks = Hooks(
        [lambda node, call: seen.append(f"{node} {call.path}")],
        [lambda node, call, reply: seen.append(f"{node} {reply.status}")],
    )
    Session(["a", "b"], Script([NOT_SENT, Reply(200, {})]), hooks=hooks).status()
    assert seen == ["a status", "b status", "b 200"]
