"""Responses of nodes that do not end."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
import time

import pytest

from flamingopond import adapters
from flamingopond.exceptions import ResponseLostError
from flamingopond.structures import Call

MIB = 1024 * 1024
# The node stops by itself after this many bytes or this time.
SAFETY_BYTES = 128 * MIB
SAFETY_S = 8.0
BLOCK_BYTES = 65536
# Bytes that the node may have handed to the sockets of both ends.
SOCKET_BYTES = 8 * MIB
TIMEOUT_S = 0.3


class EndlessNode:
    """Answers one call with ``start`` and repeats ``piece`` until it is closed."""

    def __init__(self, start, piece, pause_s=0.0):
        self.start = start
        self.block = piece if pause_s else piece * max(BLOCK_BYTES // len(piece), 1)
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.closed_by_peer = False

    def serve(self, listener):
        connection, _ = listener.accept()
        started_at = time.monotonic()
        with connection:
            connection.settimeout(SAFETY_S)
            connection.recv(65536)
            try:
                connection.sendall(self.start)
                while (
                    self.sent_bytes < SAFETY_BYTES
                    and time.monotonic() - started_at < SAFETY_S
                ):
                    connection.sendall(self.block)
                    self.sent_bytes += len(self.block)
                    time.sleep(self.pause_s)
            except ConnectionError:
                self.closed_by_peer = True

    @contextlib.contextmanager
    def running(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            thread = threading.Thread(target=self.serve, args=(listener,))
            thread.start()
            host, port = listener.getsockname()
            yield f"http://{host}:{port}"
            thread.join()


def send(node, expected_s):
    """Send a call that has to fail; return the error."""
    adapter = adapters.HttpAdapter("key", timeout=TIMEOUT_S)
    started_at = time.monotonic()
    with pytest.raises(ResponseLostError) as caught:
        adapter.send(node, Call("GET", "status"))
    assert time.monotonic() - started_at < expected_s
    adapter.close()
    return str(caught.value)


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CLOSE = b"Connection: close\r\n\r\n"


# Guards against bodies that are kept without a limit.
@pytest.mark.parametrize(
    ("start", "piece", "limit_bytes"),
    [
        pytest.param(HEAD + CLOSE, b"a", 64 * MIB, id="until close"),
        pytest.param(
            HEAD + CHUNKED,
            b"4000\r\n" + 16384 * b"a" + b"\r\n",
            64 * MIB,
            id="chunked",
        ),
        pytest.param(
            HEAD + b"Content-Length: %d\r\n\r\n" % 10**12, b"a", 0, id="announced"
        ),
    ],
)
def test_endless_body_is_a_lost_response(start, piece, limit_bytes):
    node = EndlessNode(start, piece)
    with node.running() as address:
        assert "bytes" in send(address, 5.0)
    assert node.closed_by_peer
    assert node.sent_bytes <= limit_bytes + SOCKET_BYTES


# Guards against heads and framing that are read for ever.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"HTTP/1.1 200 ", b"a", id="status line"),
        pytest.param(b"", b"\r\n", id="blank lines"),
        pytest.param(b"", b"HTTP/1.1 102 Wait\r\n\r\n", id="interim responses"),
        pytest.param(HEAD, b"X-Junk: a\r\n", id="headers"),
        pytest.param(HEAD + CHUNKED + b"5;x=", b"a", id="chunk extension"),
        pytest.param(HEAD + CHUNKED + b"0\r\n", b"X-Junk: a\r\n", id="trailers"),
    ],
)
def test_endless_framing_is_a_lost_response(start, piece):
    node = EndlessNode(start, piece)
    with node.running() as address:
        send(address, 4.0)
    assert node.closed_by_peer


# Guards against bytes that come slowly and keep a call past its time-out.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        pytest.param(b"HTTP/1.1 200 ", b"a", id="status line"),
        pytest.param(b"", b"HTTP/1.1 102 Wait\r\n\r\n", id="interim responses"),
        pytest.param(HEAD + CLOSE, b"a", id="body"),
        pytest.param(HEAD + CLOSE + b"{}", b" ", id="body that is complete JSON"),
    ],
)
def test_trickling_response_ends_at_the_time_out(start, piece, monkeypatch):
    monkeypatch.setattr(adapters, "CONNECT_TIMEOUT_S", 0.2, raising=False)
    node = EndlessNode(start, piece, pause_s=0.05)
    with node.running() as address:
        assert "no whole response within 0.5 s" in send(address, 1.5)
    assert node.closed_by_peer


# Guards against an exception that skips the look-up of a change's outcome.
def test_undecodable_content_coding_is_a_lost_response():
    answer = HEAD + b"Content-Encoding: gzip\r\nContent-Length: 65536\r\n\r\n"
    with EndlessNode(answer, b"a").running() as address:
        send(address, 2.0)


# Guards against a response without a length that broke off and is taken as complete.
@pytest.mark.parametrize(
    ("body", "reset", "complete"),
    [
        pytest.param(b'{"state": "up"}', False, True, id="whole"),
        pytest.param(b'{"state": "u', False, False, id="within the body"),
        pytest.param(b'{"state": "up"}', True, False, id="reset"),
        pytest.param(b"", False, False, id="without a body"),
    ],
)
def test_response_without_a_length_ends_with_its_connection(body, reset, complete):
    def serve(listener):
        connection, _ = listener.accept()
        with connection:
            connection.recv(65536)
            connection.sendall(HEAD + CLOSE + body)
            if reset:
                # The body has arrived by then; closing with a linger time of 0 resets.
                time.sleep(0.1)
                linger = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=serve, args=(listener,))
        thread.start()
        adapter = adapters.HttpAdapter("key", timeout=2.0)
        address = "http://{}:{}".format(*listener.getsockname())
        try:
            received = adapter.send(address, Call("GET", "status")).body
        except ResponseLostError:
            received = None
        adapter.close()
        thread.join()
    assert received == ({"state": "up"} if complete else None)
