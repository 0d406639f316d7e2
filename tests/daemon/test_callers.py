"""The HTTP API for callers, run as an ASGI application."""

from __future__ import annotations

import anyio
import orjson
import pytest
from fakes import ANSWER, SECRET, FakeNode

from flamingopond_core.configuration import Key
from flamingopond_core.enums import ObjectKind
from flamingopond_core.keys import digest_of
from flamingopond_daemon.caller_api import CallerApi
from flamingopond_daemon.metrics import Metrics

BODY = {"model": "m", "prompt": "p"}
CHAT = {"model": "m", "messages": [{"role": "user", "content": "hi"}]}


class CallerRequest:
    """One HTTP request to the application, with its response."""

    def __init__(self, node, path, body=BODY, method="POST", secret=SECRET, **headers):
        path, _, query = path.partition("?")
        raw = body if isinstance(body, bytes) else orjson.dumps(body)
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        if secret:
            headers["authorization"] = f"Bearer {secret}"
        self.scope = {
            "type": "http",
            "method": method,
            "path": path,
            "root_path": "",
            "query_string": query.encode(),
            "headers": [(k.encode(), v.encode()) for k, v in headers.items()],
        }
        self.node = node
        self.messages = [{"type": "http.request", "body": raw, "more_body": False}]
        self.disconnected = anyio.Event()
        self.first_part = anyio.Event()
        self.status = 0
        self.headers = {}
        self.body = b""

    async def receive(self):
        if self.messages:
            return self.messages.pop(0)
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def send(self, message):
        if message["type"] == "http.response.start":
            self.status = message["status"]
            self.headers = {k.decode(): v.decode() for k, v in message["headers"]}
        else:
            self.body += message.get("body", b"")
            self.first_part.set()

    async def run(self):
        await self.node.callers.app(self.scope, self.receive, self.send)

    @property
    def json(self):
        return orjson.loads(self.body)

    @property
    def code(self):
        return self.json["error"]["code"]


def send_request(node, *args, **kwargs) -> CallerRequest:
    async def main():
        request = CallerRequest(node, *args, **kwargs)
        await request.run()
        return request

    return anyio.run(main)


@pytest.mark.parametrize("stream", [False, True])
@pytest.mark.parametrize("chat", [False, True])
def test_answers_are_whole(stream, chat):
    """Guards against responses that clients of the OpenAI API cannot parse."""
    path = "/v1/chat/completions" if chat else "/v1/completions"
    response = send_request(
        FakeNode(), path, {**(CHAT if chat else BODY), "stream": stream}
    )
    assert response.status == 200
    assert response.headers["x-request-id"]
    if not stream:
        choice = response.json["choices"][0]
        text = choice["message"]["content"] if chat else choice["text"]
        assert text == "".join(ANSWER)
        assert response.json["usage"]["completion_tokens"] == len(ANSWER)
        return
    *events, done, rest = response.body.decode().split("\n\n")
    assert (done, rest) == ("data: [DONE]", "")
    choices = [orjson.loads(e.removeprefix("data: "))["choices"][0] for e in events]
    parts = [c["delta"].get("content", "") if chat else c["text"] for c in choices]
    assert "".join(parts) == "".join(ANSWER)
    assert [c["finish_reason"] for c in choices[-2:]] == [None, "stop"]


@pytest.mark.parametrize(
    ("path", "body", "options", "status", "code"),
    [
        ("/v1/completions", BODY, {"secret": ""}, 401, "unauthenticated"),
        ("/v1/completions", BODY, {"secret": "x"}, 401, "unauthenticated"),
        ("/v1/completions", b"{", {}, 400, "invalid_request"),
        ("/v1/completions", {"model": "m"}, {}, 400, "invalid_request"),
        ("/v1/completions", {**BODY, "max_tokens": 0}, {}, 400, "invalid_request"),
        ("/v1/completions", {**BODY, "prompt": SECRET}, {}, 400, "invalid_request"),
        ("/v1/completions", {**BODY, "model": "z"}, {}, 404, "model_not_found"),
        ("/v1/completions", {**BODY, "model": "other"}, {}, 403, "forbidden"),
        ("/v1/completions", b"x" * 5_000_000, {}, 413, "request_too_large"),
        ("/v1/completions", BODY, {"method": "GET"}, 400, "invalid_request"),
        ("/services/none/x", b"", {}, 404, "route_not_found"),
        ("/services/desk/x", SECRET.encode(), {}, 400, "invalid_request"),
        ("/open/other", b"", {}, 404, "route_not_found"),
        ("/open/levelsx", b"", {}, 404, "route_not_found"),
        ("/elsewhere", b"", {}, 404, "route_not_found"),
    ],
)
def test_refusals(path, body, options, status, code):
    """Guards against unauthorized requests that run, and wrong error codes."""
    node = FakeNode()
    response = send_request(node, path, body, **options)
    assert (response.status, response.code) == (status, code)
    assert response.json["error"]["run_state"] == "not_run"
    assert not node.services.calls
    assert not any(engine.requests for engine in node.engines.values())


@pytest.mark.parametrize(
    ("path", "body"),
    [
        (f"/services/desk/look?api_key={SECRET}&x=1", b"hello"),
        (f"/services/desk/look?x=1&q=%66{SECRET[1:]}", b"hello"),
        (f"/open/levels/look?x=1&token={SECRET}", b"hello"),
    ],
)
def test_services_never_see_the_key(path, body):
    """Guards against forwarding a caller's key in a header or a query field."""
    node = FakeNode()
    response = send_request(
        node, path, body, cookie=f"k={SECRET}", x_api_key="y", x_other="z"
    )
    assert (response.status, response.body) == (201, b"done")
    workspace, service, request, _ = node.services.calls[0]
    assert service == "desk"
    assert workspace == ("" if path.startswith("/open") else "w")
    assert request.headers == {"x-other": "z"}
    assert request.query == "x=1"
    assert request.path == ("/levels/look" if "open" in path else "/look")


def test_escaped_key_in_a_body_is_refused():
    """Guards against a key that is visible only after JSON decoding of the body."""
    escaped = b'{"key": "\\u0066' + SECRET[1:].encode() + b'"}'
    assert (
        send_request(FakeNode(), "/services/desk/x", escaped).code == "invalid_request"
    )


@pytest.mark.parametrize("stream", [False, True])
def test_withdrawn_key_ends_running_requests(stream):
    """Guards against responses that continue after their key was withdrawn."""
    node = FakeNode([[3, anyio.Event()]], [[3, anyio.Event()]])

    async def main():
        request = CallerRequest(node, "/v1/completions", {**BODY, "stream": stream})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request.run)
            await anyio.sleep(0.02)
            key = Key("k", "w", digest_of(SECRET))
            node.source.put(ObjectKind.KEY, key, delete=True)
        return request

    request = anyio.run(main)
    assert sum(engine.cancelled for engine in node.engines.values()) == 1
    if stream:
        last = request.body.decode().strip().split("\n\n")[-1]
        assert last.startswith("event: error\n")
        error = orjson.loads(last.partition("data: ")[2])["error"]
    else:
        assert request.status == 401
        error = request.json["error"]
    assert (error["code"], error["run_state"]) == ("key_withdrawn", "ran")
    assert send_request(node, "/v1/models", method="GET").code == "unauthenticated"


def test_disconnect_cancels_the_engine_work():
    """Guards against engines that generate for callers that have disconnected."""
    node = FakeNode([[3, anyio.Event()]], [[3, anyio.Event()]])

    async def main():
        request = CallerRequest(node, "/v1/completions", {**BODY, "stream": True})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request.run)
            await request.first_part.wait()
            request.disconnected.set()

    anyio.run(main)
    assert sum(engine.cancelled for engine in node.engines.values()) == 1
    assert node.callers.running == 0


def test_caller_that_stops_reading_ends_its_work():
    """Guards against engine work and tokens held for a caller that stops reading."""
    now = [0.0]
    node = FakeNode([[3, anyio.Event()], ["all"]], [[3, anyio.Event()], ["all"]])
    node.callers._clock = lambda: now[0]
    stalled = anyio.Event()

    class StalledRequest(CallerRequest):
        async def send(self, message):
            await super().send(message)
            if self.body:
                stalled.set()
                await anyio.sleep_forever()

    async def main():
        request = StalledRequest(node, "/v1/completions", {**BODY, "stream": True})
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(request.run)
            await stalled.wait()
            now[0] = 19.9
            node.callers.abort_stalled_requests()
            other = CallerRequest(node, "/v1/models", method="GET")
            await other.run()
            assert other.status == 200
            assert (node.callers.running, node.limits.settled) == (1, [])
            now[0] = 20.0
            node.callers.abort_stalled_requests()

    anyio.run(main)
    assert sum(engine.cancelled for engine in node.engines.values()) == 1
    assert len(node.limits.settled) == 1
    assert node.callers.running == 0


def test_isolated_node_refuses_keyed_requests_only():
    """Guards against serving keys that may have been withdrawn meanwhile."""
    node = FakeNode()
    node.source.is_serving = False
    assert send_request(node, "/v1/completions").code == "configuration_stale"
    assert send_request(node, "/readyz", method="GET").status == 503
    assert send_request(node, "/open/levels", b"").status == 201
    assert send_request(node, "/healthz", method="GET").status == 200


def test_node_is_not_ready_before_it_knows_the_engines():
    """Guards against ``no_target`` errors from a node that has just restarted."""
    node = FakeNode()
    known = []
    callers = CallerApi(
        node.source,
        node.dispatcher,
        node.services,
        Metrics(),
        engines_known=lambda: bool(known),
    )
    assert not callers.ready
    known.append("e1")
    assert callers.ready


def test_draining_node_refuses_new_requests():
    """Guards against accepting requests while the node shuts down."""
    node = FakeNode()
    node.callers.drain()
    response = send_request(node, "/v1/completions")
    assert (response.status, response.code) == (503, "shutting_down")
    assert send_request(node, "/readyz", method="GET").status == 503


def test_models_are_those_of_the_contract():
    """Guards against listing models that the workspace may not use."""
    response = send_request(FakeNode(), "/v1/models", method="GET")
    assert [entry["id"] for entry in response.json["data"]] == ["m"]
