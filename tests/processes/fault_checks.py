"""Checks of the guarantees P1 to P9 in the records of engines and services."""

from __future__ import annotations

from collections import Counter, defaultdict

import fault_spec as spec

from flamingopond_bench.callers import expected_answer


async def read_records(demo):
    """Return the records of all engines and of all instances of the service.

    Waits until engines that are down answer again.
    """
    fleet = demo.fleet
    for name in fleet.engines:
        url = f"http://{fleet.engines[name].address}/records"
        await fleet.processes[name].wait_until_ok(url)
    engines = {name: await fleet.records(name) for name in fleet.engines}
    names = [f"{spec.SERVICE}-{n}" for n in (1, 2)]
    return engines, {name: await fleet.records(name) for name in names}


def check_memory(engines):
    """P1: no engine was ordered to use more memory than it has."""
    for name, record in engines.items():
        assert record["overcommits"] == [], name
        assert record["peak_mb"] <= record["memory_mb"], name


def check_secrets(demo, records, extra_keys=()):
    """P4: no caller's key is in the records of a target."""
    text = str(records)
    assert not [key for key in (*demo.keys.values(), *extra_keys) if key in text]


def check_workspaces(load, engines):
    """P3: each run belongs to a request whose key may use the model."""
    by_prompt = {sent.prompt: sent for sent in load.sent}
    for record in engines.values():
        for run in record["runs"]:
            sent = by_prompt.get(run["prompt"])
            if sent is None:
                continue
            assert sent.kind != "unknown_key", sent
            assert run["model"] == sent.model
            if sent.workspace == "narrow":
                assert run["model"] in spec.NARROW_MODELS
            assert run["priority"] == (
                "premium" if sent.workspace == "premium" else "standard"
            )


def check_answers(load, objects, outages):
    """P7: each answer is complete and correct, or ends with an error.

    ``outages`` lists ``(daemon, since, until)``, times in which connections to a
    daemon may break.
    """
    for sent in load.sent:
        expected = expected_answer(objects, sent.model, sent.prompt, sent.max_tokens)
        assert expected.startswith(sent.answer.text), sent
        if sent.answer.done:
            assert sent.answer.text == expected, sent
        elif sent.connection_error:
            assert any(
                sent.daemon == daemon and sent.started < until and since < sent.ended
                for daemon, since, until in outages
            ), sent
        elif sent.kind != "hangup":
            assert sent.answer.code, sent


def check_refusals(load, engines, services):
    """P8: no request ran if all of its responses say ``not_run``.

    Runs belong to a request by its id. Those of a prompt that was sent only once can
    belong to no other request, whatever id they have.
    """
    runs = [run for record in engines.values() for run in record["runs"]]
    ran = {run["prompt"] for run in runs}
    ran_ids = {run["attempt_id"].rpartition("-")[0] for run in runs}
    times_sent = Counter(sent.prompt for sent in load.sent)
    for sent in load.sent:
        if sent.answer.error.get("run_state") == "not_run":
            assert sent.answer.error["request_id"] not in ran_ids, sent
            assert times_sent[sent.prompt] > 1 or sent.prompt not in ran, sent
    called = {run["body"] for r in services.values() for run in r["runs"]}
    for call in load.calls:
        if all(state == "not_run" for _, _, state in call.responses):
            assert call.body not in called, call


def check_at_most_once(load, services):
    """P9: each non-idempotent call ran at most once for its idempotency key."""
    runs = Counter(
        run["body"]
        for record in services.values()
        for run in record["runs"]
        if not run["idempotent"]
    )
    for call in load.calls:
        assert all(echo == call.body for echo in call.echoed_bodies), call
        if call.idempotency_key is None:
            continue
        assert runs[call.body] <= 1, (runs[call.body], call)
        if call.echoed_bodies:
            assert runs[call.body] == 1, call


def check_limits(load, engines, limits=None):
    """P6: tokens of each workspace stay within burst + rate x t in every window.

    This is equivalent to a token bucket that starts full and is never overdrawn. A
    request uses its prompt tokens and the answer tokens up to the last one generated.
    The check is made twice: with the use at the start of the first run, and at the
    end of the last run.
    """
    by_prompt = {sent.prompt: sent for sent in load.sent}
    runs = defaultdict(list)
    for record in engines.values():
        for run in record["runs"]:
            if run["prompt"] in by_prompt:
                runs[run["prompt"].strip()].append(run)
    for at_end in (False, True):
        used = defaultdict(list)
        for prompt, request_runs in runs.items():
            generated = max(
                r["resume_from"] + r.get("answer_tokens", 0) for r in request_runs
            )
            tokens = generated + -(-len(prompt.encode()) // 4)
            used_at = min(run["started"] for run in request_runs)
            # The charge of a cancelled request is settled before the engine stops.
            if at_end and not any(run.get("cancelled", True) for run in request_runs):
                used_at = max(run["ended"] for run in request_runs)
            used[by_prompt[prompt].workspace].append((used_at, tokens))
        for workspace, uses in used.items():
            rate, burst = (limits or spec.LIMITS)[workspace]
            available, updated_at = float(burst), min(uses)[0]
            for used_at, tokens in sorted(uses):
                available = (
                    min(float(burst), available + rate * (used_at - updated_at))
                    - tokens
                )
                updated_at = used_at
                assert available >= 0, (workspace, at_end, available)


def summary(load, engines, services):
    """Return counts of answers by code and of runs and crashes, to be printed."""
    codes = Counter(
        sent.answer.code
        or sent.connection_error[:40]
        or ("ok" if sent.answer.done else sent.kind)
        for sent in load.sent
    )
    codes["rate_limited of narrow"] = sum(
        sent.answer.code == "rate_limited" and sent.workspace == "narrow"
        for sent in load.sent
    )
    calls = Counter(
        f"{status} {code}" for call in load.calls for status, code, _ in call.responses
    )
    runs = sum(len(record["runs"]) for record in engines.values())
    crashes = sum(record["crashes"] for record in engines.values())
    return {
        "requests": dict(codes),
        "calls": dict(calls),
        "engine runs": runs,
        "engine crashes": crashes,
        "service runs": sum(len(record["runs"]) for record in services.values()),
    }
