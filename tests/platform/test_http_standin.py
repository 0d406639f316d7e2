"""Tests of the stand-ins' HTTP server."""

from __future__ import annotations

import asyncio
import os
import socket

import anyio
import pytest

from flamingopond_standins.faults import FaultTable
from flamingopond_standins.http_server import HttpServer, json_response

pytestmark = pytest.mark.anyio


async def test_connection_arriving_while_the_listener_closes(anyio_backend):
    """Guards against cancelling an accept in the loop iteration that completes it.

    The event loop of Python 3.11 then raises InvalidStateError, which made tests
    fail at random.
    """

    async def answer(request):
        return json_response({})

    loop = asyncio.get_running_loop()
    errors = []
    loop.set_exception_handler(lambda _, context: errors.append(context))
    server = HttpServer(answer, FaultTable(), dict)
    read_fd, write_fd = os.pipe()
    connection = socket.socket()
    try:
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.run)
            await anyio.sleep(0.02)
            loop.add_reader(read_fd, tasks.cancel_scope.cancel)
            host, port = server.address.rsplit(":", 1)
            # Both become readable in the same loop iteration, the pipe first.
            os.write(write_fd, b"x")
            connection.connect((host, int(port)))
            await anyio.sleep(5)
    finally:
        loop.remove_reader(read_fd)
        loop.set_exception_handler(None)
        connection.close()
        os.close(read_fd)
        os.close(write_fd)
    assert errors == []
