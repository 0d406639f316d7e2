"""Encoding and decoding in the adapter, also of malformed input."""

from __future__ import annotations

import json

import msgspec
import pytest

from flamingopond_adapter.configuration import decode_configuration
from flamingopond_adapter.headers import (
    decode_request,
    decode_response_head,
    encode_call,
    encode_request,
)
from flamingopond_adapter.settings import SettingsError, decode_settings
from flamingopond_adapter.store import Row
from flamingopond_adapter.targets import (
    decode_entry,
    decode_outcome,
    decode_report,
    encode_order,
)
from flamingopond_gateway.configuration import RouteKind
from flamingopond_gateway.targets.orders import Order, OrderKind, OrderOutcome
from flamingopond_gateway.targets.roster import TargetState

SETTINGS = """
node = "front-gosaba-1"
ip = "10.2.0.17"
zone = "gosaba"
portRange = [7600, 7615]
beatMs = 1200
bootstrap = true
unknown = "ignored"
[listen]
front = "10.2.0.17:8221"
ready = "10.2.0.17:8224"
[limits]
maxFds = 4100
[bounds]
graceS = 8
leaseMs = 3000
retryAfterS = 0
[platform]
addr = "10.200.1.7:8225"
"""


def test_settings():
    found = decode_settings(SETTINGS)
    assert found.front == ("10.2.0.17", 8221)
    assert found.store == ("10.200.1.7", 8225)
    assert (found.peer_port, found.first_start) == (7600, True)
    assert (found.bounds.lease_s, found.bounds.grace_s) == (3.0, 8)


@pytest.mark.parametrize(
    ("old", "new", "cause"),
    [
        ('node = "front-gosaba-1"', "", "node"),
        ("10.200.1.7:8225", "10.200.1.7", "IP:PORT"),
        ("[7600, 7615]", '"7600"', "portRange"),
        ("[listen]", "[listen", "settings file"),
    ],
)
def test_settings_error_names_the_cause(old, new, cause):
    with pytest.raises(SettingsError, match=cause):
        decode_settings(SETTINGS.replace(old, new))


CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "a.example",
            "prefix": "/d/",
            "kind": "stream",
            "timeoutMs": 15000,
            "goalMs": 800,
            "priority": 1,
            "split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "maxAttempts": 2,
            "resumable": True,
            "gapAimMs": 250,
        },
        {
            "name": "r2",
            "host": "a.example",
            "prefix": "/d/deep/",
            "kind": "unsafe",
            "timeoutMs": 1500,
            "service": "s2",
            "public": True,
        },
    ],
    "services": [
        {
            "name": "s1",
            "engine": {
                "slots": 32,
                "kvTokens": 1000,
                "weightsMb": 200000.0,
                "handle_s": 5.0,
                "models": [
                    {"name": "m", "weightsMb": 65000, "loadS": 7.6, "adapters": 3}
                ],
            },
        },
        {"name": "s2", "healthPath": "/health"},
    ],
    "tenants": [
        {
            "name": "t1",
            "apiKeys": ["k1", "k2"],
            "unit": "tokens",
            "plainTokens": 200,
            "perS": 500,
            "burst": 900,
        }
    ],
    "limits": {"idleTimeoutMs": 15000},
    "later": {"unknown": 1},
}


def test_configuration():
    found = decode_configuration(json.dumps(CONFIGURATION).encode())
    stream_route = found.route("A.example", "/d/x")
    assert stream_route is not None
    assert (stream_route.kind, stream_route.stall_s, stream_route.retryable) == (
        RouteKind.STREAM,
        3.2,
        True,
    )
    assert [stream_route.service_for(draw) for draw in (0.0, 0.89, 0.95)] == [
        "s1",
        "s1",
        "s2",
    ]
    unsafe_route = found.route("a.example", "/d/deep/x")
    assert unsafe_route is not None
    assert (unsafe_route.name, unsafe_route.public, unsafe_route.retryable) == (
        "r2",
        True,
        False,
    )
    assert found.route("a.example", "/other") is None
    workspace = found.workspace("k2")
    assert workspace is not None
    assert (workspace.by_tokens, workspace.rate) == (True, 500)
    assert found.workspace("unknown") is None
    assert found.services["s1"].engine.models["m"].disk_s == 7.6
    assert found.services["s1"].engine.copy_s == 5.0


@pytest.mark.parametrize(
    "value", [b"", b"{", b"[]", b'{"version": "x"}', b'{"version": 1, "routes": [{}]}']
)
def test_malformed_configuration_is_an_error(value):
    with pytest.raises((msgspec.MsgspecError, ValueError)):
        decode_configuration(value)


ENTRY = {
    "service": "s1",
    "addr": "10.128.0.9:8080",
    "zone": "kakdwip",
    "version": "v1",
    "slots": 32,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 4,
    "born": 1700,
    "models": [{"name": "m", "version": 2, "adapters": ["a1"]}],
    "atHand": {"inMemory": ["m"], "onDisk": ["m", "n"]},
}


def decoded_entry(changes=None, removed=False, raw=None):
    value = raw if raw is not None else json.dumps(ENTRY | (changes or {})).encode()
    return decode_entry(Row("servers", "", "i-1", value, 9, removed))


def test_entry():
    found, reason = decoded_entry()
    assert reason is None
    assert found.target is not None
    assert found.target.incarnation == ("i-1", 1700)
    assert found.target.address == ("10.128.0.9", 8080)
    assert found.target.holdings["m"].adapters == {"a1"}
    assert found.target.on_disk == {"m", "n"}


def test_draining_entry():
    found, _ = decoded_entry({"state": "draining", "remainingMs": 1500})
    assert found.target is not None
    assert (found.target.state, found.target.remaining_s) == (TargetState.DRAINING, 1.5)


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"addr": "nowhere"},
        {"addr": 5},
        {"slots": "many"},
        {"models": "m"},
        {"born": "yesterday"},
    ],
)
def test_malformed_entry_has_no_target(changes):
    found, reason = decoded_entry(changes)
    assert found.target is None
    assert not found.removed
    assert reason


@pytest.mark.parametrize("raw", [b"", b"\xff\xfe", b"null", b"[1]", b'{"service"'])
def test_undecodable_entry_has_no_target(raw):
    found, reason = decoded_entry(raw=raw)
    assert found.target is None
    assert reason


def test_report_and_orders():
    report = decode_report(
        b'{"stage":"both","models":[{"name":"m","version":1,"adapters":["a1"]}],'
        b'"busy":true,"seq":2,"queued":1,"active":12,"kvUsed":41,"kvTotal":90,'
        b'"coming":["m/a3@1"],"born":5}'
    )
    assert (report.accepted_order_count, report.busy, report.arriving) == (
        2,
        True,
        {"m/a3"},
    )
    order = Order(OrderKind.LOAD, "m", "a3", 2)
    assert json.loads(encode_order(order, "gw-1", 41)) == {
        "op": "load",
        "model": "m",
        "adapter": "a3",
        "expect": 2,
        "holder": "gw-1",
        "fence": 41,
    }
    unload = json.loads(encode_order(Order(OrderKind.UNLOAD, "m"), "gw-1", 41))
    assert unload == {"op": "unload", "model": "m", "holder": "gw-1", "fence": 41}


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (202, OrderOutcome.ACCEPTED),
        (200, OrderOutcome.HELD),
        (409, OrderOutcome.BUSY),
        (412, OrderOutcome.FENCED),
        (421, OrderOutcome.OTHER_INSTANCE),
        (400, OrderOutcome.REJECTED),
        (503, OrderOutcome.REJECTED),
    ],
)
def test_order_outcome(status, outcome):
    assert decode_outcome(status) is outcome


HEADERS = [
    (b"Host", b"ficu95.example:8221"),
    (b"X-Request-Id", b"9c41"),
    (b"Authorization", b"Bearer secret-key"),
    (b"X-Model", b"daka/a3"),
    (b"X-Tokens", b"1460,80"),
    (b"X-Prompt-Prefix", b"5c1e:800,91bd:660"),
    (b"X-Deadline-Ms", b"15000"),
    (b"X-Length-Hint", b"40"),
    (b"Last-Event-Id", b"12"),
]


def decoded_request(headers):
    return decode_request(b"POST", b"/l/2f?x=1", headers, 5.0)


def test_request():
    found = decoded_request(HEADERS)
    assert (found.id, found.host, found.path) == ("9c41", "ficu95.example", "/l/2f")
    assert (found.key, found.timeout_s, found.last_event_id) == (
        "secret-key",
        15.0,
        12,
    )
    generation = found.generation
    assert generation is not None
    assert (generation.model, generation.adapter, generation.tokens) == (
        "daka",
        "a3",
        1540,
    )
    assert generation.expected_output_tokens == 40
    assert [part.tokens for part in generation.parts] == [800, 660]


@pytest.mark.parametrize(
    "headers",
    [
        [],
        [(b"Host", b"a")],
        [(b"X-Request-Id", b"1")],
        [*HEADERS, (b"x-request-id", b"2")],
        [*HEADERS, (b"host", b"other")],
    ],
)
def test_request_needs_exactly_one_id_and_host(headers):
    with pytest.raises(ValueError, match=r"request.id|host"):
        decoded_request(headers)


# Guards against OverflowError where a number of many digits becomes a float.
@pytest.mark.parametrize("name", [b"X-Deadline-Ms", b"Last-Event-Id"])
@pytest.mark.parametrize("digits", [19, 400, 5000])
def test_long_number_in_a_request_is_ignored(name, digits):
    fields = dict(HEADERS)
    fields.pop(name, None)
    found = decoded_request([*fields.items(), (name, digits * b"9")])
    value = found.timeout_s if name == b"X-Deadline-Ms" else found.last_event_id
    assert value is None


def encoded_request(headers, **changes):
    values = {
        "instance": "i-7f3a",
        "remaining_s": 1.5,
        "workspace": "hule",
        "priority": 3,
        "last_event_id": 12,
    }
    request = decoded_request(headers)
    request.body = b"body"
    data = encode_request(request, **(values | changes))
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    return lines[0], dict(line.lower().split(b": ", 1) for line in lines[1:]), body


def test_request_for_a_target():
    request_line, fields, body = encoded_request(HEADERS)
    assert request_line == b"POST /l/2f?x=1 HTTP/1.1"
    assert body == b"body"
    assert fields[b"content-length"] == b"4"
    assert fields[b"x-deadline-ms"] == b"1500"
    assert fields[b"x-expect-instance"] == b"i-7f3a"
    assert fields[b"x-tenant"] == b"hule"
    assert fields[b"last-event-id"] == b"12"
    assert fields[b"x-prompt-prefix"] == b"5c1e:800,91bd:660"


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (b"Authorization", b"Bearer secret-key"),
        (b"X-Tenant", b"other"),
        (b"X-Hold", b"h"),
        (b"X-Pin-Ms", b"9"),
        (b"X-Kv-Backup", b"10.0.0.1:1"),
        (b"Kv-From", b"10.0.0.1:1/h"),
        (b"Kv-Fetch", b"10.0.0.1:1"),
        (b"X-Expect-Instance", b"i-other"),
        (b"X-Expect-Version", b"9"),
        (b"X-Request-Priority", b"0"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Keep-Alive", b"timeout=9"),
        (b"Te", b"trailers"),
    ],
)
def test_gateway_headers_from_callers_are_dropped(name, value):
    _, fields, _ = encoded_request(
        [*HEADERS, (name, value)], workspace=None, priority=None
    )
    assert fields.get(name.lower()) in (None, b"i-7f3a")
    assert b"secret-key" not in b" ".join(fields.values())


def test_headers_listed_in_connection_are_dropped():
    _, fields, _ = encoded_request(
        [*HEADERS, (b"Connection", b"X-Own"), (b"X-Own", b"1")]
    )
    assert b"x-own" not in fields


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, [(b"X-Not-Run", b"1")], True),
        (503, [], False),
        (421, [], True),
        (200, [(b"X-Stamp", b"s")], False),
    ],
)
def test_not_run_requires_a_statement_of_the_target(status, headers, not_run):
    assert decode_response_head(status, b"", headers).not_run == not_run


def test_response_head():
    found = decode_response_head(
        200,
        b"OK",
        [
            (b"X-Stamp", b"s"),
            (b"X-Load", b"3,0,8"),
            (b"Keep-Alive", b"timeout=5, max=9"),
            (b"Content-Length", b"3"),
            (b"Connection", b"close"),
        ],
    )
    assert found.load == (3, 0, 8)
    assert (found.keep_alive_s, found.close, found.signed) == (5.0, True, True)
    assert found.headers == [(b"X-Stamp", b"s")]


# A value that can't be used invalidates nothing else, and is named for a log line.
@pytest.mark.parametrize(
    ("status", "name", "values", "leaving", "pause_s", "malformed"),
    [
        (200, "Server-Leaving", ["1"], True, None, None),
        (503, "server-leaving", [" 1 "], True, None, None),
        (200, "Server-Leaving", ["0"], False, None, "0"),
        (200, "Server-Leaving", ["true"], False, None, "true"),
        (200, "Server-Leaving", ["1", "1"], False, None, "1, 1"),
        (503, "Retry-After", ["2"], False, 2.0, None),
        (503, "Retry-After", ["0.25"], False, 0.25, None),
        (503, "Retry-After", ["0"], False, 0.0, None),
        (503, "Retry-After", ["-3"], False, None, "-3"),
        (503, "Retry-After", ["soon"], False, None, "soon"),
        (503, "Retry-After", ["nan"], False, None, "nan"),
        (503, "Retry-After", [""], False, None, ""),
        (503, "Retry-After", ["600"], False, 600.0, None),
        (503, "Retry-After", ["7200"], False, None, "7200"),
        (503, "Retry-After", ["1", "2"], False, None, "1, 2"),
        (
            503,
            "Retry-After",
            ["Sun, 06 Dec 2026 09:00:00 GMT"],
            False,
            None,
            "Sun, 06 Dec 2026 09:00:00 GMT",
        ),
        # Other statuses request no pause.
        (500, "Retry-After", ["2"], False, None, None),
        (429, "Retry-After", ["2"], False, None, None),
        (200, "Retry-After", ["2"], False, None, None),
    ],
)
def test_signals_of_a_target(status, name, values, leaving, pause_s, malformed):
    headers = [(name.encode(), value.encode()) for value in values]
    found = decode_response_head(status, b"", [*headers, (b"Server-Limit", b"3")])
    assert (found.leaving, found.pause_s) == (leaving, pause_s)
    assert [text for _, text in found.malformed] == (
        [] if malformed is None else [malformed]
    )
    assert found.request_limit == 3.0


# A header with four figures was dropped whole.
@pytest.mark.parametrize(
    ("values", "load", "percent", "malformed"),
    [
        (["3,0,8"], (3, 0, 8), None, False),
        (["3, 0, 8"], (3, 0, 8), None, False),
        (["3,0,8,140"], (3, 0, 8), 140.0, False),
        (["3,0,8,87.5"], (3, 0, 8), 87.5, False),
        (["3,0,8,"], (3, 0, 8), None, True),
        (["3,0,8,fast"], (3, 0, 8), None, True),
        (["3,0,8,-140"], (3, 0, 8), None, True),
        (["3,0,8,0"], (3, 0, 8), None, True),
        (["3,0,8,99999999"], (3, 0, 8), None, True),
        (["3,0,8,nan"], (3, 0, 8), None, True),
        (["-3,0,8,140"], None, 140.0, True),
        (["x,0,8"], None, None, True),
        (["3,0"], None, None, True),
        (["3,0,8,140,1"], None, None, True),
        (["3,0,8,140", "3,0,8,140"], None, None, True),
        ([], None, None, False),
    ],
)
def test_reported_load(values, load, percent, malformed):
    headers = [(b"X-Load", value.encode()) for value in values]
    found = decode_response_head(200, b"", [*headers, (b"Server-Limit", b"3")])
    assert (found.load, found.duration_percent) == (load, percent)
    assert [name for name, _ in found.malformed] == ["X-Load"] * malformed
    assert found.request_limit == 3.0
    assert found.headers == [(b"Server-Limit", b"3")]


@pytest.mark.parametrize(
    ("status", "relayed"), [(200, True), (202, True), (404, False), (500, False)]
)
def test_signals_for_the_gateway_are_not_relayed(status, relayed):
    """Callers took a target's pause for that of the service."""
    headers = [(b"Server-Leaving", b"1"), (b"Retry-After", b"5")]
    found = decode_response_head(status, b"", headers)
    assert found.headers == (headers[1:] if relayed else [])


def test_call_carries_the_instance_only_if_given():
    data = encode_call("POST", "/x", ("10.0.0.1", 80), b"{}", "i-1")
    assert b"X-Expect-Instance: i-1\r\n" in data
    assert data.endswith(b"\r\n\r\n{}")
    assert b"Instance" not in encode_call("GET", "/x", ("10.0.0.1", 80))


BENGALI = "বাঁধ-3"


# Guards Fault: a name outside of Latin-1 raised UnicodeEncodeError, which ended the
# process of the lease holder at an order, and a caller's request without an answer.
@pytest.mark.parametrize("text", [BENGALI, "Zoë", "a b", "a\tb", "ব" * 66])
def test_names_are_sent_in_utf_8(text):
    call = encode_call("POST", "/x", ("10.0.0.1", 80), b"{}", text)
    assert f"X-Expect-Instance: {text}\r\n".encode() in call
    _, fields, _ = encoded_request(HEADERS, instance=text, workspace=text)
    assert fields[b"x-expect-instance"].lower() == text.encode().lower()
    assert fields[b"x-tenant"].lower() == text.encode().lower()


# Guards UNASKED: a name with a line break put header lines of its own into calls. The
# others would reach a target as another name.
@pytest.mark.parametrize(
    "text", ["", " ", "\t", "a ", " a", "a\r\nX-Hold: 1", "a\nb", "a\rb", "a\0", "\x7f"]
)
def test_names_that_a_field_cannot_carry_are_an_error(text):
    with pytest.raises(ValueError, match="can't be sent"):
        encode_call("POST", "/x", ("10.0.0.1", 80), b"{}", text)
    for name in ("instance", "workspace"):
        with pytest.raises(ValueError, match="can't be sent"):
            encoded_request(HEADERS, **{name: text})


# Guards against requests that are refused as the configuration, which is in UTF-8,
# seems not to have their key, model or path. Other bytes are still a text.
@pytest.mark.parametrize(
    ("sent", "text"),
    [(BENGALI.encode(), BENGALI), ("Zoë".encode(), "Zoë"), (b"Zo\xeb", "Zoë")],
)
def test_names_in_a_request_are_read_as_utf_8(sent, text):
    fields = dict(HEADERS) | {
        b"Authorization": b"Bearer " + sent,
        b"X-Model": sent + b"/" + sent,
        b"Resumes": sent,
    }
    url = b"/" + sent + b"/1?q=" + sent
    found = decode_request(b"POST", url, list(fields.items()), 5.0)
    assert (found.key, found.resumes) == (text, text)
    assert (found.generation.model, found.generation.adapter) == (text, text)
    assert found.path == f"/{text}/1"
    assert encode_request(found, "i", 1.0, None, None, None).startswith(
        b"POST " + url + b" HTTP/1.1\r\n"
    )


NESTED = b'{"other":' + 100000 * b"["


# Guards against RecursionError, which ends the task that reads answers.
@pytest.mark.parametrize(
    "decode",
    [
        pytest.param(decode_report, id="report"),
        pytest.param(decode_configuration, id="configuration"),
    ],
)
def test_deeply_nested_answer_is_a_value_error(decode):
    with pytest.raises(ValueError, match="nested"):
        decode(NESTED)


def test_deeply_nested_entry_has_no_target():
    found, reason = decoded_entry(raw=NESTED)
    assert found.target is None
    assert reason
