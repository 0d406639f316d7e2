"""Checks of the promises from the records of engines and services."""

from __future__ import annotations

from collections import Counter, defaultdict

import fault_spec as spec

from flamingopond_bench.callers import expected_answer


async def read_records(demo):
    """Return the records of all engines and of all instances of the service.

    Waits for those that are down at the moment.
    """
    fleet = demo.fleet
    for name in fleet.engines:
        url = f"http://{fleet.engines[name].address}/records"
        await fleet.processes[name].wait_answering(url)
    engines = {name: await fleet.records(name) for name in fleet.engines}
    names = [f"{spec.SERVICE}-{n}" for n in (1, 2)]
    return engines, {name: await fleet.records(name) for name in names}


def check_memory(engines):
    """P1: no engine was asked for more memory than it has."""
    for name, record in engines.items():
        assert record["overcommits"] == [], name
        assert record["peak_mb"] <= record["memory_mb"], name


def check_secrets(demo, records, more=()):
    """P4: no caller's key is in anything that a target recorded."""
    text = str(records)
    assert not [key for key in (*demo.keys.values(), *more) if key in text]


def check_workspaces(load, engines):
    """P3: each run belongs to a request whose key may use that model."""
    by_prompt = {sent.prompt: sent for sent in load.sent}
    for record in engines.values():
        for run in record["runs"]:
            sent = by_prompt.get(run["prompt"])
            if sent is None:
                continue
            assert sent.kind != "stranger", sent
            assert run["model"] == sent.model
            if sent.workspace == "narrow":
                assert run["model"] in spec.NARROW_MODELS
            assert run["priority"] == (
                "premium" if sent.workspace == "premium" else "standard"
            )


def check_answers(load, objects, outages):
    """P7: each answer is whole and right, or an error says that it is not.

    ``outages`` are ``(daemon, since, until)`` in which a daemon's connections may
    break.
    """
    for sent in load.sent:
        right = expected_answer(objects, sent.model, sent.prompt, sent.max_tokens)
        assert right.startswith(sent.answer.text), sent
        if sent.answer.done:
            assert sent.answer.text == right, sent
        elif sent.broken:
            assert any(
                sent.daemon == daemon and sent.started < until and since < sent.ended
                for daemon, since, until in outages
            ), sent
        elif sent.kind != "hangup":
            assert sent.answer.code, sent


def check_refusals(load, engines, services):
    """P8: nothing ran of a request or key that was only answered ``not_run``."""
    ran = {run["prompt"] for record in engines.values() for run in record["runs"]}
    for sent in load.sent:
        if sent.answer.error.get("run_state") == "not_run":
            assert sent.prompt not in ran, sent
    called = {run["body"] for r in services.values() for run in r["runs"]}
    for call in load.calls:
        if all(state == "not_run" for _, _, state in call.replies):
            assert call.body not in called, call


def check_once(load, services):
    """P9: each key of a call that may not be repeated ran at most once."""
    runs = Counter(
        run["body"]
        for record in services.values()
        for run in record["runs"]
        if not run["idempotent"]
    )
    for call in load.calls:
        assert all(echo == call.body for echo in call.echoes), call
        if call.idempotency_key is None:
            continue
        assert runs[call.body] <= 1, (runs[call.body], call)
        if call.echoes:
            assert runs[call.body] == 1, call


def check_limits(load, engines, limits=None):
    """P6: tokens of each workspace stay within burst + rate x t in every window.

    A bucket that starts full and never runs empty is the same bound. Each request
    counts with its prompt and the furthest token that an engine made for it, once
    at the start of its first run and once at the end of its last.
    """
    by_prompt = {sent.prompt: sent for sent in load.sent}
    runs = defaultdict(list)
    for record in engines.values():
        for run in record["runs"]:
            if run["prompt"] in by_prompt:
                runs[run["prompt"].strip()].append(run)
    for at_end in (False, True):
        used = defaultdict(list)
        for prompt, mine in runs.items():
            made = max(r["resume_from"] + r.get("answer_tokens", 0) for r in mine)
            tokens = made + -(-len(prompt.encode()) // 4)
            when = min(run["started"] for run in mine)
            # The charge of a cancelled request is settled before the engine stops.
            if at_end and not any(run.get("cancelled", True) for run in mine):
                when = max(run["ended"] for run in mine)
            used[by_prompt[prompt].workspace].append((when, tokens))
        for workspace, uses in used.items():
            rate, burst = (limits or spec.LIMITS)[workspace]
            level, at = float(burst), min(uses)[0]
            for when, tokens in sorted(uses):
                level = min(float(burst), level + rate * (when - at)) - tokens
                at = when
                assert level >= 0, (workspace, at_end, level)


def summary(load, engines, services):
    """Return counts of answers by code, for the report of a run."""
    codes = Counter(
        sent.answer.code
        or sent.broken[:40]
        or ("ok" if sent.answer.done else sent.kind)
        for sent in load.sent
    )
    codes["rate_limited of narrow"] = sum(
        sent.answer.code == "rate_limited" and sent.workspace == "narrow"
        for sent in load.sent
    )
    calls = Counter(
        f"{status} {code}" for call in load.calls for status, code, _ in call.replies
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
