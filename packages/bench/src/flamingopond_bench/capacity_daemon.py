"""Runs a daemon that counts the bytes that pass through its sockets.

The counts are written to the file named by ``FLAMINGOPOND_BYTE_COUNTS``, as one
JSON object of port class to [sent, received]. ``FLAMINGOPOND_PORTS`` maps ports to
classes. The counting takes about 1 us a system call.
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
_AFTER_CONNECTION = "closed"


class ByteCounter:
    """Bytes sent and received, by the class of the port at either end."""

    def __init__(self, path: Path, ports: dict[str, str]) -> None:
        """Write the counts to ``path``; ``ports`` gives the class of each port."""
        self._path = path
        self._ports = {int(port): name for port, name in ports.items()}
        self._counts: dict[str, list[int]] = {}
        self._written = 0.0

    def add(self, sock: socket.socket, direction: int, size: int) -> None:
        """Count ``size`` bytes; ``direction`` is 0 for sent and 1 for received."""
        self._counts.setdefault(self._class(sock), [0, 0])[direction] += size
        now = time.monotonic()
        if now - self._written > _WRITE_EVERY_S:
            self._written = now
            # Replaced at once, so that a reader never finds half a file.
            temporary = self._path.with_name(f"{self._path.name}.new")
            temporary.write_bytes(orjson.dumps(self._counts))
            temporary.replace(self._path)

    def _class(self, sock: socket.socket) -> str:
        if sock.family != socket.AF_INET:
            return "internal"
        try:
            ends = sock.getpeername()[1], sock.getsockname()[1]
        except OSError:
            return _AFTER_CONNECTION
        return next((self._ports[p] for p in ends if p in self._ports), "other")


def install(counter: ByteCounter) -> None:
    """Count in all sockets of this process."""

    def counted(name: str, direction: int) -> Callable[..., Any]:
        plain = getattr(socket.socket, name)

        def call(self: socket.socket, *arguments: Any) -> Any:
            result = plain(self, *arguments)
            size = result if isinstance(result, int) else len(result)
            counter.add(self, direction, size)
            return result

        return call

    for name, direction in (("send", 0), ("sendmsg", 0), ("recv", 1), ("recv_into", 1)):
        setattr(socket.socket, name, counted(name, direction))


def main() -> None:
    """Start the daemon of ``flamingopond_daemon.main`` with counted sockets."""
    path = os.environ["FLAMINGOPOND_BYTE_COUNTS"]
    ports = orjson.loads(os.environ["FLAMINGOPOND_PORTS"])
    install(ByteCounter(Path(f"{path}.{os.getpid()}"), ports))

    from flamingopond_daemon import main as daemon

    daemon.run()


if __name__ == "__main__":
    main()
