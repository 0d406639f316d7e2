"""The checks of the fault tests detect violations in made-up records."""

from __future__ import annotations

from types import SimpleNamespace

import attrs
import fault_checks as checks
import fault_spec as spec
import pytest
from fault_load import SentRequest, ServiceCall

from flamingopond_bench.callers import CompletionResult, expected_answer
from flamingopond_core.enums import ObjectKind
from flamingopond_core.objects import Model

MODEL = spec.MODELS[0]
OBJECTS = {(ObjectKind.MODEL, MODEL): Model(MODEL, "1", 8000, 100.0)}
DEMO = SimpleNamespace(keys={"wide": "secret-of-wide"})
TEXT = expected_answer(OBJECTS, MODEL, "p", 20)


def sent(**changes):
    correct = CompletionResult(200, TEXT, "stop", done=True)
    first = SentRequest(
        0, "wide", "d1", MODEL, "p", 20, "stream", correct, "", 1.0, 2.0
    )
    return attrs.evolve(first, **changes)


def run(**changes):
    return {
        "attempt_id": "r1-1",
        "prompt": "p",
        "model": MODEL,
        "priority": "standard",
        "resume_from": 0,
        "answer_tokens": 16,
        "cancelled": False,
        "started": 1.0,
        "ended": 2.0,
        **changes,
    }


def records(runs=None, calls=(), **changes):
    engine = {
        "runs": [run()] if runs is None else runs,
        "overcommits": [],
        "peak_mb": 8000,
        "memory_mb": 60000,
        "crashes": 0,
        **changes,
    }
    orders = [{"body": body, "idempotent": False} for body in calls]
    return {"e1": engine}, {"s1": {"runs": orders}}


def check_all(request, engines, services, call):
    load = SimpleNamespace(sent=[request], calls=[call])
    checks.check_memory(engines)
    checks.check_secrets(DEMO, (engines, services))
    checks.check_workspaces(load, engines)
    checks.check_answers(load, OBJECTS, [("d2", 0.0, 9.0)])
    checks.check_refusals(load, engines, services)
    checks.check_at_most_once(load, services)
    checks.check_limits(load, engines, {"wide": (10.0, 100.0), "narrow": (1.0, 100.0)})


def refused(request_id):
    error = {"code": "overloaded", "run_state": "not_run", "request_id": request_id}
    return CompletionResult(503, error=error)


REFUSED = refused("r2")
CALL = ServiceCall("c", "wide", "k", [(200, "", "ran")], ["c"])
NOT_RUN = ServiceCall("c", "wide", "k", [(503, "store_unavailable", "not_run")])


def test_right_records_pass():
    """Guards against checks that fail for correct records."""
    check_all(sent(), *records(calls=["c"]), CALL)


@pytest.mark.parametrize(
    ("request_sent", "kept_records", "call"),
    [
        pytest.param(sent(), records(overcommits=[{}], calls=["c"]), CALL, id="P1"),
        pytest.param(
            sent(), records(peak_mb=60001, calls=["c"]), CALL, id="P1 at the peak"
        ),
        pytest.param(
            sent(kind="unknown_key", answer=REFUSED), records(), NOT_RUN, id="P3"
        ),
        pytest.param(
            sent(), records([run(model="model-19")], ["c"]), CALL, id="P3 other model"
        ),
        pytest.param(
            sent(),
            records([run(headers={"x": "secret-of-wide"})], ["c"]),
            CALL,
            id="P4",
        ),
        pytest.param(
            sent(), records([run(answer_tokens=120)], ["c"]), CALL, id="P6 burst"
        ),
        pytest.param(
            sent(answer=CompletionResult(200, TEXT[:-1], "stop", done=True)),
            records(calls=["c"]),
            CALL,
            id="P7 cut off",
        ),
        pytest.param(
            sent(answer=CompletionResult(200, TEXT + "x", "stop")),
            records(calls=["c"]),
            CALL,
            id="P7 foreign text",
        ),
        pytest.param(
            sent(answer=CompletionResult(200, TEXT[:3])),
            records(calls=["c"]),
            CALL,
            id="P7 end without an error",
        ),
        pytest.param(
            sent(answer=CompletionResult(), connection_error="ReadError"),
            records(calls=["c"]),
            CALL,
            id="P7 broken by a live daemon",
        ),
        pytest.param(sent(answer=REFUSED), records(calls=["c"]), CALL, id="P8"),
        pytest.param(sent(), records(calls=["c"]), NOT_RUN, id="P8 of a call"),
        pytest.param(sent(), records(calls=["c", "c"]), CALL, id="P9"),
        pytest.param(sent(), records(), CALL, id="P9 answered without a run"),
    ],
)
def test_broken_promises_are_found(request_sent, kept_records, call):
    """Guards against fault tests that pass because a check detects nothing."""
    with pytest.raises(AssertionError):
        check_all(request_sent, *kept_records, call)


# Failure: test_engines failed at P8 although the daemons told the truth: it sends one
# prompt several times, and only the last of these requests had run.
@pytest.mark.parametrize(
    ("refused_id", "prompt", "found"),
    [("r1", "p", True), ("r2", "p", False), ("r2", "q", True)],
    ids=["ran", "another request ran", "prompt sent once"],
)
def test_refusals_of_a_repeated_prompt(refused_id, prompt, found):
    """Guards against a run taken for that of another request, and against misses."""
    refusal = sent(answer=refused(refused_id), prompt=prompt)
    load = SimpleNamespace(sent=[refusal, sent()], calls=[])
    engines, services = records([run(), run(prompt="q", attempt_id="r3-1")])
    if found:
        with pytest.raises(AssertionError):
            checks.check_refusals(load, engines, services)
    else:
        checks.check_refusals(load, engines, services)
