"""Signals that reach a gateway process while it starts or terminates."""

from __future__ import annotations

import asyncio
import contextlib
import signal

import fake_platform
import path_parts as path
import pytest
from test_gateway_process import fleet, respond_slowly

pytestmark = [pytest.mark.anyio, pytest.mark.processes]


@pytest.fixture
def anyio_backend():
    return "asyncio"


# Guards LOST: a signal after SIGTERM ended the process, and its requests with it.
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
async def test_signal_while_terminating_cuts_no_request(tmp_path, number):
    target = path.FakeTarget(respond_slowly)
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store.put("op", "config", fake_platform.CONFIGURATION)
        await gateway.start()
        await gateway.wait_until(gateway.ready)
        running = asyncio.ensure_future(
            gateway.send(path.request_bytes("/orders/1", "r-1", 5000))
        )
        await asyncio.sleep(0.3)
        gateway.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        gateway.process.send_signal(number)
        assert (await running).endswith(b"done")
        async with asyncio.timeout(6):
            assert await gateway.process.wait() == 0


# Guards against processes that a change of their settings ends while they start.
@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.3])
async def test_sighup_does_not_end_a_starting_process(tmp_path, delay_s):
    target = path.FakeTarget()
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store.put("op", "config", fake_platform.CONFIGURATION)
        await gateway.start()
        await asyncio.sleep(delay_s)
        gateway.process.send_signal(signal.SIGHUP)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(gateway.process.wait(), 0.5)
        assert gateway.process.returncode is None
        await gateway.wait_until(gateway.ready)


async def read_responses(reader, count):
    """Return the heads of the next responses, each read with its body."""
    heads = []
    for _ in range(count):
        head = await reader.readuntil(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
        await reader.readexactly(int(length))
        heads.append(head)
    return heads


def kept_request(request_id):
    return path.request_bytes("/orders/1", request_id, 5000).replace(
        b"Connection: close\r\n", b""
    )


# Guards LOST: at other operators, requests that had just been accepted were cut off
# without an answer during a planned stop under load.
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 1.0])
async def test_requests_around_sigterm_are_all_answered(tmp_path, delay_s):
    """On new and kept connections, pipelined, and with half of a body before it."""
    target = path.FakeTarget(*[path.respond(200, b"done")] * 200)
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store.put("op", "config", fake_platform.CONFIGURATION)
        await gateway.start()
        await gateway.wait_until(gateway.ready)
        port = gateway.ports[0]
        kept = [await asyncio.open_connection("127.0.0.1", port) for _ in range(8)]
        halves = [kept_request(f"half-{n}") for n in range(8)]
        for (_, writer), data in zip(kept, halves, strict=True):
            writer.write(data[:-2])
        await asyncio.sleep(0.2)
        gateway.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(delay_s)
        for number, (_, writer) in enumerate(kept):
            writer.write(halves[number][-2:])
        new = [
            gateway.send(path.request_bytes("/orders/1", f"new-{n}", 5000))
            for n in range(20)
        ]
        for response in await asyncio.gather(*new):
            assert response.split(b" ")[1] in (b"200", b"503")
        for reader, writer in kept:
            (head,) = await read_responses(reader, 1)
            assert head.split(b" ")[1] in (b"200", b"503")
            # What a caller sends behind it is not read.
            assert b"connection: close" in head.lower()
            writer.close()
        async with asyncio.timeout(9):
            assert await gateway.process.wait() == 0


async def test_pipelined_requests_before_sigterm_are_answered_in_order(tmp_path):
    target = path.FakeTarget(*[respond_slowly] * 4)
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store.put("op", "config", fake_platform.CONFIGURATION)
        await gateway.start()
        await gateway.wait_until(gateway.ready)
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports[0])
        writer.write(kept_request("p-1") + kept_request("p-2"))
        await asyncio.sleep(0.2)
        gateway.process.send_signal(signal.SIGTERM)
        (head,) = await read_responses(reader, 1)
        assert head.split(b" ")[1] == b"200"
        if b"connection: close" not in head.lower():
            (head,) = await read_responses(reader, 1)
            assert head.split(b" ")[1] in (b"200", b"503")
        assert b"connection: close" in head.lower()
        writer.close()


LONG_GRACE_S = 12
# Requests that are complete this long after SIGTERM are judged strictly.
LATE_S = 4.0


async def run_long(target, request, writer):
    await asyncio.sleep(9)
    path.write_response(writer, 200, b"done", request["x-request-id"], {})
    return True


async def trickle(gateway, data, seconds):
    """Send a request whose last bytes follow after ``seconds``; return the answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.ports[0])
    writer.write(data[:-4])
    await asyncio.sleep(seconds / 2)
    writer.write(data[-4:-2])
    await asyncio.sleep(seconds / 2)
    writer.write(data[-2:])
    response = await reader.read()
    writer.close()
    return response


# Guards LOST: a request whose body was complete late in the grace was passed on though
# it may take longer than the rest of it, and was cut off without an answer. Its
# deadline, what its target does, and the statuses that are true answers.
@pytest.mark.parametrize(
    ("deadline_ms", "script", "statuses"),
    [
        pytest.param(15000, run_long, {b"503"}, id="may last too long"),
        pytest.param(8000, respond_slowly, {b"200"}, id="ends in time"),
        pytest.param(5000, run_long, {b"504"}, id="deadline in time"),
    ],
)
async def test_late_request_of_a_long_grace_is_answered(
    tmp_path, deadline_ms, script, statuses
):
    target = path.FakeTarget(*[script] * 2)
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store_port = int(gateway.settings.read_text().rpartition(":")[2].split('"')[0])
        gateway.settings.write_text(
            fake_platform.settings_text(
                gateway.node, gateway.ports, store_port, grace_s=LONG_GRACE_S
            )
        )
        routes = [
            route | {"timeoutMs": 15000}
            for route in fake_platform.CONFIGURATION["routes"]
        ]
        store.put("op", "config", fake_platform.CONFIGURATION | {"routes": routes})
        await gateway.start()
        await gateway.wait_until(gateway.ready)
        data = path.request_bytes("/orders/1", "r-1", deadline_ms)
        sending = asyncio.create_task(trickle(gateway, data, LATE_S))
        await asyncio.sleep(0.1)
        gateway.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(LONG_GRACE_S + 1):
            response = await sending
            assert await gateway.process.wait() == 0
    assert response.split(b" ", 2)[1] in statuses


# Guards LOST: what was still running at the end of the grace got no answer at all.
async def test_request_that_runs_at_the_end_is_told_so(tmp_path):
    target = path.FakeTarget(run_long)
    async with fleet(tmp_path, 1, [("desk", (), target)]) as (store, (gateway,)):
        store.put("op", "config", fake_platform.CONFIGURATION)
        await gateway.start()
        await gateway.wait_until(gateway.ready)
        data = path.request_bytes("/orders/1", "r-1", 15000)
        sending = asyncio.create_task(gateway.send(data))
        await asyncio.sleep(0.2)
        gateway.process.send_signal(signal.SIGTERM)
        response = await sending
        assert await gateway.process.wait() == 0
    assert response.split(b" ", 2)[1] == b"504"
