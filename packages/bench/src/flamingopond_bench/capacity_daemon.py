"""Runs a daemon and counts the bytes sent and received by its sockets.

The counts are written to the file ``FLAMINGOPOND_BYTE_COUNTS`` with the process id
as its suffix: a JSON object of port class to [sent, received].
``FLAMINGOPOND_PORTS`` maps ports to classes. Counting adds about 1 us to each
system call.
"""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

_WRITE_EVERY_S = 0.25
_CLOSED = "closed"


class ByteCounter:
    """Counts bytes sent and received, by the port class of the connection."""

    def __init__(self, path: Path, ports: dict[str, str]) -> None:
        """Write the counts to ``path``; ``ports`` gives the class of each port."""
        self._path = path
        self._class_by_port = {int(port): name for port, name in ports.items()}
        self._counts: dict[str, list[int]] = {}
        self._written_at = 0.0

    def add(self, sock: socket.socket, direction: int, size: int) -> None:
        """Count ``size`` bytes; ``direction`` is 0 for sent and 1 for received."""
        self._counts.setdefault(self._port_class(sock), [0, 0])[direction] += size
        now = time.monotonic()
        if now - self._written_at > _WRITE_EVERY_S:
            self._written_at = now
            # An atomic replacement, so that a reader never sees a partial file.
            temporary = self._path.with_name(f"{self._path.name}.new")
            temporary.write_bytes(orjson.dumps(self._counts))
            temporary.replace(self._path)

    def _port_class(self, sock: socket.socket) -> str:
        if sock.family != socket.AF_INET:
            return "internal"
        try:
            ends = sock.getpeername()[1], sock.getsockname()[1]
        except OSError:
            return _CLOSED
        return next(
            (self._class_by_port[p] for p in ends if p in self._class_by_port), "other"
        )


def count_socket_bytes(counter: ByteCounter) -> None:
    """Count the bytes of all sockets of this process."""

    def wrap(name: str, direction: int) -> Callable[..., Any]:
        original = getattr(socket.socket, name)

        def call(self: socket.socket, *arguments: Any) -> Any:
            result = original(self, *arguments)
            size = result if isinstance(result, int) else len(result)
            counter.add(self, direction, size)
            return result

        return call

    for name, direction in (("send", 0), ("sendmsg", 0), ("recv", 1), ("recv_into", 1)):
        setattr(socket.socket, name, wrap(name, direction))


def main() -> None:
    """Run ``flamingopond_daemon.main`` and count its bytes."""
    path = os.environ["FLAMINGOPOND_BYTE_COUNTS"]
    ports = orjson.loads(os.environ["FLAMINGOPOND_PORTS"])
    count_socket_bytes(ByteCounter(Path(f"{path}.{os.getpid()}"), ports))

    from flamingopond_daemon import main as daemon

    daemon.run()


if __name__ == "__main__":
    main()
