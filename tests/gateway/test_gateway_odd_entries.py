"""Entries of targets that another writer has left: they name no target to use.

Operators of similar systems saw machines that ended again and again, or no longer
followed the list, because of one such entry.
"""

from __future__ import annotations

import asyncio
import copy
import json

import fake_platform
import msgspec
import power_parts as power
import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_gateway_power import BEFORE

from flamingopond_adapter.headers import decode_request
from flamingopond_adapter.targets import decode_entry, decode_report
from flamingopond_gateway.messages import (
    DispatchReply,
    EngineHoldings,
    Holdings,
    TargetAssignment,
    encode,
)
from flamingopond_gateway.store.storage import Row
from flamingopond_gateway.targets.holdings import split_holdings
from flamingopond_gateway.targets.roster import Roster

SOUND = fake_platform.entry("models", 8000, ("m0",))
DEEP = b"[" * 100_000
MODEL = {"name": "m0", "version": 1, "adapters": []}
ODD = {
    "port 0": {"addr": "10.0.0.1:0"},
    "negative port": {"addr": "10.0.0.1:-5"},
    "port too large": {"addr": "10.0.0.1:99999"},
    "port with sign": {"addr": "10.0.0.1:+80"},
    "port with many digits": {"addr": "10.0.0.1:" + "9" * 5000},
    "name for an address": {"addr": "localhost:80"},
    "NUL in the address": {"addr": "10.0.0\0.1:80"},
    "long address": {"addr": "1" * 5000 + ":80"},
    "no address": {"addr": ""},
    "IPv6 address": {"addr": "::1:80"},
    "negative slots": {"slots": -4},
    "no slots": {"slots": 0},
    "slots of 2^63": {"slots": 1 << 63},
    "slots of 10^30": {"slots": 10**30},
    "infinite slots": {"slots": 1e400},
    "seq of 2^64": {"seq": 1 << 64},
    "negative seq": {"seq": -1},
    "born of 2^70": {"born": 1 << 70},
    "negative born": {"born": -1},
    "fraction for born": {"born": 1.5},
    "text for born": {"born": "1"},
    "remaining time too large": {"remainingMs": 1e300},
    "model version of 2^70": {"models": [MODEL | {"version": 1 << 70}]},
    "negative model version": {"models": [MODEL | {"version": -1}]},
    "number for a model": {"models": [7]},
    "long model name": {"models": [MODEL | {"name": "m" * 5000}]},
    "long service name": {"service": "s" * 5000},
    "unknown state": {"state": "tired"},
    "number for the state": {"state": 1},
    "list for the zone": {"zone": []},
    "number for the software": {"version": 7},
    "nothing for the cold time": {"coldLeftMs": None},
    "text for the cold time": {"coldLeftMs": "4200"},
    "truth value for the cold time": {"coldLeftMs": True},
    "list for the cold time": {"coldLeftMs": [4200]},
}
# Fields that each entry has; further ones depend on the kind of target.
FIELDS = (
    "service",
    "addr",
    "zone",
    "version",
    "slots",
    "state",
    "coldLeftMs",
    "seq",
)


def row(value, key="i-1"):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return Row("servers", "", key, data, 7)


@pytest.mark.parametrize("changes", ODD.values(), ids=ODD)
def test_odd_entry_names_no_target(changes):
    entry, reason = decode_entry(row(SOUND | changes))
    assert entry.target is None
    assert reason


# Guards against defaults that make a target of an entry of another writer: calls went
# to an engine that was not in service, and two software versions counted as one.
@pytest.mark.parametrize("field", FIELDS)
def test_entry_that_lacks_a_field_names_no_target(field):
    value = {name: found for name, found in SOUND.items() if name != field}
    assert len(value) == len(SOUND) - 1
    entry, reason = decode_entry(row(value))
    assert entry.target is None
    assert field in reason


# Guards UNASKED: an id with a line break put header lines into calls to the target.
# Requests name the target by its id, so that one that no field can carry names none.
@pytest.mark.parametrize(
    "key", ["", " ", "i-1 ", "i-1\r\nX-Hold: 7", "i\n1", "i\r1", "i\0", "i\x1b"]
)
def test_id_that_a_field_cannot_carry_names_no_target(key):
    entry, reason = decode_entry(row(SOUND, key))
    assert entry.target is None
    assert "header field" in reason


@pytest.mark.parametrize(
    "value",
    [b"", b"\xff\xfe", b"null", b"7", b"[]", DEEP, b'{"a":' * 100_000],
    ids=["empty", "bytes", "null", "number", "list", "deep list", "deep object"],
)
def test_unreadable_entry_names_no_target(value):
    entry, reason = decode_entry(row(value))
    assert entry.target is None
    assert reason


def test_sound_entry_names_a_target():
    entry, reason = decode_entry(row(SOUND | {"unknown": DEEP[:50].decode()}))
    assert reason is None
    assert entry.target.address == ("127.0.0.1", 8000)


numbers = st.one_of(
    st.integers(),
    st.floats(),
    st.sampled_from([0, -1, 1 << 31, 1 << 63, 1 << 64, 10**40]),
)
values = st.recursive(
    st.one_of(st.none(), st.booleans(), numbers, st.text(max_size=20)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(["name", "version", "adapters"]), inner),
    ),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from([*SOUND, "version", "remainingMs"]), values))
def test_whatever_an_entry_holds_can_be_told_to_others(changes):
    """Guards against a process that ends when it sends a number on."""
    entry, reason = decode_entry(row(SOUND | changes))
    assert (entry.target is None) == (reason is not None)
    roster = Roster()
    roster.apply([entry], 7, 1.0, store_unreliable=False)
    for target in roster.listed():
        models = {
            name: (held.version, sorted(held.adapters))
            for name, held in target.holdings.items()
        }
        engine = EngineHoldings(target.id, target.start_id, models)
        for message in split_holdings(Holdings("gw-1", 1, 1, [engine])):
            encode(message)
        assignment = TargetAssignment(1, target.id, target.start_id)
        encode(DispatchReply("gw-1", 1, [assignment]))


@given(st.dictionaries(st.sampled_from(["seq", "born", "kvUsed", "models"]), values))
def test_odd_report_is_refused_or_harmless(changes):
    try:
        report = decode_report(json.dumps({"seq": 1} | changes).encode())
    except (ValueError, msgspec.MsgspecError):
        return
    assert 0 <= report.accepted_order_count < 1 << 63
    assert 0 <= report.start_id < 1 << 63


@pytest.mark.parametrize("tokens", ["9" * 18, "9" * 40, "-5", "x"])
def test_sums_of_tokens_fit_into_messages(tokens):
    """Guards against a process that ends when it reports its work."""
    fields = [(b"Host", b"h"), (b"X-Request-Id", b"r"), (b"X-Model", b"m0")]
    fields.append((b"X-Tokens", f"{tokens},{tokens}".encode()))
    request = decode_request(b"POST", b"/", fields, 0.0)
    assert 0 <= request.generation.tokens * 1_000_000 < 1 << 63


@pytest.mark.processes
@pytest.mark.anyio
async def test_gateways_follow_a_list_with_odd_entries(tmp_path):
    """Guards LOST and processes that end by themselves."""
    async with power.deployment(tmp_path) as running:
        store = running.store
        await running.add_target("desk-1", "desk")
        for number, changes in enumerate(ODD.values()):
            store.put("servers", f"odd-{number}", SOUND | changes)
        store.put("op", "config", BEFORE)
        await running.start_gateways(2)
        for number, changes in enumerate(ODD.values()):
            store.put("servers", f"new-{number}", SOUND | changes)
        second = await running.add_target("desk-2", "desk")
        await asyncio.sleep(0.5)
        store.remove("servers", "desk-1")
        await asyncio.sleep(0.7)
        for gateway in running.gateways:
            assert gateway.process.returncode is None
            status, body = await gateway.ask("/orders/1", f"r-{gateway.node}")
            assert (status, body) == (200, second.id.encode())


# Any text of at most 200 bytes is a sound id, and the operator names the rest.
NAME = "বাঁধ-3"


@pytest.mark.processes
@pytest.mark.anyio
async def test_names_outside_of_latin_1_are_served(tmp_path):
    """Guards Fault: the first order to such an engine ended each holder in turn.

    Requests for such a target, or of such a workspace, got no answer.
    """
    config = copy.deepcopy(fake_platform.CONFIGURATION)
    engine = config["services"][0]["engine"]
    engine["models"].append(engine["models"][0] | {"name": NAME})
    config["tenants"].append({"name": NAME, "apiKeys": [NAME]})
    async with power.deployment(tmp_path) as running:
        await running.add_target(NAME, "models")
        await running.add_target(f"{NAME}-desk", "desk")
        running.store.put("op", "config", config)
        await running.start_gateways(2)
        for gateway in running.gateways:
            status, body = await gateway.ask("/orders/1", "r-1", key=NAME)
            assert (status, body) == (200, f"{NAME}-desk".encode())
            status, _ = await gateway.ask(
                "/drafts/1", "r-2", NAME, 8000, X_Model=NAME, X_Tokens="9,9"
            )
            assert status == 200
            assert gateway.process.returncode is None
    found = running.targets[0]
    assert NAME in {order.model for order in found.orders}
    assert {workspace for _, _, workspace in found.runs} == {NAME}


@pytest.fixture
def anyio_backend():
    return "asyncio"
