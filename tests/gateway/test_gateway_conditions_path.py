"""Targets that leave or request a pause, behind a data path in this process."""

from __future__ import annotations

import asyncio

import gateway_parts as parts
import path_parts as path
import pytest
from test_gateway_path import body_of, status_of

from flamingopond_adapter import headers
from flamingopond_gateway.callers import attempt as attempt_module
from flamingopond_gateway.callers.attempt import StreamState
from flamingopond_gateway.callers.retries import Outcome
from flamingopond_gateway.dispatch.queued import Assignment
from flamingopond_gateway.transport import connector as connector_module

pytestmark = pytest.mark.anyio

PAUSE = path.respond(503, b"", x_not_run="1", Retry_After="1.2")


@pytest.fixture
def anyio_backend():
    return "asyncio"


def retry_after(response):
    found = [x for x in response.split(b"\r\n") if x.startswith(b"Retry-After: ")]
    return float(found[0].split(b": ")[1]) if found else None


@pytest.mark.parametrize(
    ("url", "announcement"),
    [
        ("/orders/1", path.respond(200, b"ok", Server_Leaving="1")),
        ("/lookups/1", path.respond(500, b"no", Server_Leaving="1")),
        ("/orders/1", path.respond(421, b"", x_not_run="1", Server_Leaving="1")),
        ("/drafts/1", path.stream(1, 2, Server_Leaving="1")),
    ],
)
async def test_target_that_announces_its_end_gets_no_more_requests(url, announcement):
    """DRAIN: only the store's entry kept a draining target from requests."""
    leaving = path.FakeTarget(announcement, *[path.respond(200, b"old")] * 9)
    other = path.FakeTarget(*[path.respond(200, b"new")] * 9)
    async with path.running_path(leaving, other) as running:
        first = await running.exchange(path.request_bytes(url))
        for number in range(4):
            response = await running.exchange(
                path.request_bytes("/orders/1", f"n-{number}")
            )
            assert body_of(response) == b"new"
    assert len(leaving.requests) == 1
    assert b"server-leaving" not in first.lower()


async def test_announcement_to_a_client_that_has_gone_counts():
    """The response arrived in the moment in which its request was cancelled."""
    leaving = path.FakeTarget(path.respond(200, b"old", "r-1", Server_Leaving="1"))
    async with path.running_path(leaving) as running:
        heard = []
        client = running.forwarder.client
        client.on_head = lambda target, response: heard.append(response.leaving)

        class CancellingCodec:
            encode_request = staticmethod(headers.encode_request)
            decode_response_head = staticmethod(headers.decode_response_head)

            @staticmethod
            def response_request_id(found):
                attempt.cancel()
                return headers.response_request_id(found)

        client.codec = CancellingCodec()
        ticket = parts.ticket(at=asyncio.get_running_loop().time())
        target = next(iter(running.roster))
        attempt = asyncio.ensure_future(
            client.attempt(Assignment(ticket, target), None, StreamState(), None)
        )
        await asyncio.wait([attempt], timeout=1.0)
    assert attempt.cancelled()
    assert heard == [True]


async def test_target_that_requests_a_pause_gets_nothing_until_its_end():
    """BUDGET: each request during the pause reached the target once more."""
    paused = path.FakeTarget(PAUSE, *[path.respond(200, b"back")] * 20)
    other = path.FakeTarget(*[path.respond(200, b"other")] * 20)
    async with path.running_path(paused, other) as running:
        answers = [
            await running.exchange(path.request_bytes("/lookups/1", f"r-{number}"))
            for number in range(10)
        ]
        assert [body_of(answer) for answer in answers] == [b"other"] * 10
        assert len(paused.requests) == 1
        await asyncio.sleep(1.25)
        answer = await running.exchange(path.request_bytes("/lookups/1", "later"))
    assert body_of(answer) == b"back"


async def test_pause_counts_while_a_connection_is_opened(monkeypatch):
    """Requests that were assigned before the pause reached the target later."""
    targets = [path.FakeTarget(path.respond(200, name)) for name in (b"e0", b"e1")]
    async with path.running_path(*targets) as running:
        paused = running.forwarder.signals.paused
        connect = connector_module.connect

        async def pause_and_connect(address):
            now = asyncio.get_running_loop().time()
            paused.record(running.roster.get("e0"), 5.0, now)
            return await connect(address)

        monkeypatch.setattr(connector_module, "connect", pause_and_connect)
        response = await running.exchange(path.request_bytes("/orders/1"))
    assert body_of(response) == b"e1"
    assert targets[0].requests == []


async def test_withheld_request_does_not_keep_its_connection_longer():
    """It was kept for 4 s more, however soon the target would close it."""
    target = path.FakeTarget(path.respond(200, b"ok"))
    async with path.running_path(target) as running:
        client = running.forwarder.client
        listed = next(iter(running.roster))
        connection = await connector_module.connect(listed.address)
        loop = asyncio.get_running_loop()
        client.pool.release(listed.address, connection, loop.time() + 0.3, loop.time())
        client.may_send = lambda assignment: False
        ticket = parts.ticket(model_name=None, at=loop.time())
        assignment = Assignment(ticket, listed)
        result = await client.attempt(assignment, None, StreamState(), None)
        assert result.outcome is Outcome.WITHHELD
        assert client.pool.acquire(listed.address, loop.time() + 0.4) is None
        assert not connection.reusable


async def test_connection_is_closed_if_its_request_ends_before_it_is_written(
    monkeypatch,
):
    """It stayed open, unused, and counted for the cap of the target."""
    target = path.FakeTarget(path.respond(200, b"ok"))
    opened = []
    connect = connector_module.connect

    async def note_and_connect(address):
        opened.append(await connect(address))
        return opened[-1]

    monkeypatch.setattr(connector_module, "connect", note_and_connect)
    monkeypatch.setattr(attempt_module, "reset_wait_s", lambda connect_s: 30.0)
    async with path.running_path(target, contracts={"pool"}) as running:
        now = asyncio.get_running_loop().time()
        ticket = parts.ticket(model_name=None, at=now)
        assignment = Assignment(ticket, next(iter(running.roster)))
        attempt = asyncio.ensure_future(
            running.forwarder.client.attempt(assignment, None, StreamState(), None)
        )
        await asyncio.wait([attempt], timeout=0.3)
        attempt.cancel()
        await asyncio.wait([attempt])
    assert [connection.reusable for connection in opened] == [False]


@pytest.mark.parametrize(
    ("url", "deadline_ms", "status", "expected"),
    [
        # The only target is paused until after the deadline.
        ("/lookups/1", 900, 503, 1.2),
        # It was tried already; the request could not go there after the pause.
        ("/lookups/1", 2000, 503, 1.2),
        ("/orders/1", 2000, 503, 1.2),
    ],
)
async def test_request_without_a_target_is_refused_at_once(
    url, deadline_ms, status, expected
):
    """It waited for its deadline, or was told to come back during the pause."""
    target = path.FakeTarget(PAUSE, path.respond(200, b"again"))
    async with path.running_path(target) as running:
        started_at = asyncio.get_running_loop().time()
        response = await running.exchange(
            path.request_bytes(url, "r-1", deadline_ms, method="GET")
        )
        second = await running.exchange(path.request_bytes(url, "r-2", 700))
        elapsed_s = asyncio.get_running_loop().time() - started_at
    assert elapsed_s < 0.6
    assert [status_of(response), status_of(second)] == [status, 503]
    assert retry_after(response) == pytest.approx(expected, abs=0.3)
    assert retry_after(second) == pytest.approx(expected, abs=0.6)
    assert len(target.requests) == 1


async def test_stream_resumes_at_a_target_that_is_not_leaving():
    """A stream that broke off resumed at a target that had announced its end."""
    cut = path.FakeTarget(path.stream(1, 2, end=False, Server_Leaving="1"))
    leaving = path.FakeTarget(path.respond(200, b"x", Server_Leaving="1"))
    sound = path.FakeTarget(path.stream(3, 4))
    async with path.running_path(leaving, cut, sound) as running:
        await running.exchange(path.request_bytes("/orders/1", "r-0"))
        response = await running.exchange(path.request_bytes("/drafts/1", "r-1"))
    assert b"piece-4" in response
    assert [len(t.requests) for t in (leaving, cut, sound)] == [1, 1, 1]


@pytest.mark.parametrize("status", [500, 404, 502])
async def test_retry_after_of_a_target_is_not_passed_on(status):
    target = path.FakeTarget(path.respond(status, b"no", Retry_After="7"))
    async with path.running_path(target) as running:
        response = await running.exchange(path.request_bytes("/orders/1"))
    assert status_of(response) == status
    assert b"Retry-After: 7" not in response
