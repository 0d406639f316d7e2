"""Child processes of the demonstration and the tests, ended by their own id."""

from __future__ import annotations

import random
import signal
import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import anyio
import attrs
import httpx

_START_LIMIT_S = 30.0
_END_LIMIT_S = 10.0
_random = random.Random()
_given: set[int] = set()


class StartError(Exception):
    """A process ended or did not answer in time."""


def free_address() -> str:
    """Return a loopback address that is free and was not returned before.

    The port is below the range from which outgoing connections get theirs, since
    one of those could take it before it is bound.
    """
    while True:
        port = _random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _given:
            _given.add(port)
            return f"127.0.0.1:{port}"


@attrs.define
class ManagedProcess:
    """One child process; its output goes to ``log``."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path

    @classmethod
    def start(
        cls, name: str, arguments: Sequence[str], directory: Path
    ) -> ManagedProcess:
        """Run the interpreter of this process with ``arguments``."""
        log = directory / f"{name}.log"
        with log.open("ab") as output:
            popen = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=output,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        return cls(name, popen, log)

    def terminate(self) -> None:
        """Ask the process to leave."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process at once."""
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def pause(self) -> None:
        """Stop the process until ``resume``; it keeps its connections."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self.popen.send_signal(signal.SIGCONT)

    async def wait(self, limit_s: float = _END_LIMIT_S) -> int:
        """Wait until the process has ended; kill it after ``limit_s`` seconds."""
        with anyio.move_on_after(limit_s):
            while self.popen.poll() is None:
                await anyio.sleep(0.05)
        self.kill()
        return int(self.popen.returncode)

    async def wait_answering(self, url: str, limit_s: float = _START_LIMIT_S) -> None:
        """Wait until ``url`` answers with status 200. Raises ``StartError``."""
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            with anyio.move_on_after(limit_s):
                while self.popen.poll() is None:
                    try:
                        if (await client.get(url)).status_code == 200:
                            return
                    except httpx.HTTPError:
                        pass
                    await anyio.sleep(0.05)
        tail = self.log.read_text(errors="replace")[-2000:]
        status = self.popen.poll()
        raise StartError(f"{self.name} ({status=}) does not answer at {url}:\n{tail}")
