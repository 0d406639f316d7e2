"""Demonstration: runs both example deployments and sends requests to every daemon."""

from __future__ import annotations

import contextlib
import signal
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Annotated

import anyio
import anyio.to_thread
import orjson
import typer

from flamingopond import Session, UnavailableError, connect
from flamingopond_bench.callers import Caller, expected_answer
from flamingopond_bench.fleet import DaemonAddresses, Fleet
from flamingopond_core.enums import ObjectKind
from flamingopond_core.objects import Route

EXAMPLES = ("trust", "kavango")
_JOIN_TIMEOUT_S = 30.0
_LOAD_TIMEOUT_S = 60.0
_MAX_TOKENS = 24


class Demo:
    """One deployment with its contract file applied and one key per workspace."""

    def __init__(self, fleet: Fleet) -> None:
        """Use a fleet that has not been started."""
        self.fleet = fleet
        self.keys: dict[str, str] = {}
        self.failed_checks = 0

    async def start(self) -> None:
        """Start all processes, apply the contract file and grant keys."""
        await self.fleet.start()
        await anyio.to_thread.run_sync(self._configure)
        await self.fleet.wait_ready()
        await self._wait_for_models()

    def operator_session(self) -> Session:
        """Return an operator session that can use any of the daemons."""
        urls = [f"http://{daemon.operators}" for daemon in self.fleet.daemons]
        return connect(urls, self.fleet.operator_key, author="demo")

    def _configure(self) -> None:
        with self.operator_session() as session:
            self._apply(session)
            for kind, workspace in self.fleet.objects:
                if kind is ObjectKind.CONTRACT:
                    granted = session.keys.grant(f"{workspace}-demo", workspace)
                    self.keys[workspace] = granted.secret

    def _apply(self, session: Session) -> None:
        """Apply the contract file, retrying until the daemons have a majority."""
        deadline = time.monotonic() + _JOIN_TIMEOUT_S
        while True:
            try:
                session.apply(self.fleet.contract_file, f"{self.fleet.name}.ini")
                return
            except UnavailableError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.25)

    async def _wait_for_models(self) -> None:
        """Wait until every daemon lists an engine for each model and adapter."""
        missing: set[str] = set()
        with anyio.move_on_after(_LOAD_TIMEOUT_S):
            while True:
                missing = await anyio.to_thread.run_sync(self._missing_models)
                if not missing:
                    return
                await anyio.sleep(0.25)
        self._report_check(
            False,
            f"models without an engine after {_LOAD_TIMEOUT_S:g} s: {sorted(missing)}",
        )

    def _missing_models(self) -> set[str]:
        wanted = {*self._names(ObjectKind.MODEL), *self._names(ObjectKind.ADAPTER)}
        missing = set()
        for daemon in self.fleet.daemons:
            url = f"http://{daemon.operators}"
            with connect([url], self.fleet.operator_key) as session:
                models = session.status()["models"]
            missing |= wanted - {m["name"] for m in models if m["engines"]}
        return missing

    async def send_requests(self) -> None:
        """Send model, streaming and service requests through every daemon."""
        for daemon in self.fleet.daemons:
            zone = daemon.availability_zone
            print(f"\n{self.fleet.name}: {daemon.name} in {zone}, {daemon.url}")
            for workspace, key in self.keys.items():
                async with Caller(daemon.url, key) as caller:
                    await self._send_model_requests(caller, workspace, daemon)

    async def _send_model_requests(
        self, caller: Caller, workspace: str, daemon: DaemonAddresses
    ) -> None:
        names = await caller.list_models()
        first = self.fleet.daemons.index(daemon)
        # Each daemon gets a different part of the models, so that each is requested.
        for position, name in enumerate(names[first :: len(self.fleet.daemons)]):
            prompt = f"{workspace} asks {name} through {daemon.name}"
            send = caller.stream if position % 2 else caller.complete
            answer = await send(name, prompt, _MAX_TOKENS)
            expected = expected_answer(self.fleet.objects, name, prompt, _MAX_TOKENS)
            verb = "streams from" if position % 2 else "requests"
            self._report_check(
                answer.done and answer.text == expected,
                f"{workspace} {verb} {name}: {answer.text[:40]}… {answer.code}",
            )
        for service in self.fleet.services:
            await self._send_service_requests(caller, workspace, service, daemon)

    async def _send_service_requests(
        self, caller: Caller, workspace: str, service: str, daemon: DaemonAddresses
    ) -> None:
        key = f"{workspace}-{daemon.name}"
        calls = (
            ("POST", f"/services/{service}/lookup", None),
            ("POST", f"/services/{service}/orders", key),
            ("GET", f"/open{self._open_path()}", None),
        )
        for method, path, idempotency_key in calls:
            body = f"{workspace} at {daemon.name}".encode()
            reply = await caller.call_service(method, path, body, idempotency_key)
            succeeded = reply.status_code == 200
            echo = (
                orjson.loads(reply.content).get("echo", "") if succeeded else reply.text
            )
            self._report_check(
                succeeded and echo == body.decode(),
                f"{workspace}: {method} {path}: {reply.status_code} {echo[:60]}",
            )

    def curl_line(self) -> str:
        """Return a curl command for a streaming chat request, with its key."""
        daemon = self.fleet.daemons[0]
        workspace, key = next(iter(self.keys.items()))
        model = self._names(ObjectKind.MODEL)[0]
        body = {
            "model": model,
            "messages": [{"role": "user", "content": f"Hello from {workspace}"}],
            "max_tokens": 32,
            "stream": True,
        }
        return (
            f"curl -N {daemon.url}/v1/chat/completions "
            f"-H 'Authorization: Bearer {key}' -d '{orjson.dumps(body).decode()}'"
        )

    def _open_path(self) -> str:
        routes = [v for v in self.fleet.objects.values() if isinstance(v, Route)]
        return routes[0].path

    def _names(self, wanted: ObjectKind) -> list[str]:
        return [name for kind, name in self.fleet.objects if kind is wanted]

    def _report_check(self, passed: bool, text: str) -> None:
        self.failed_checks += not passed
        print(f"  {'ok   ' if passed else 'WRONG'} {text}", flush=True)


@contextlib.asynccontextmanager
async def running_demo(example: Path, directory: Path) -> AsyncIterator[Demo]:
    """Start a deployment for the demonstration and stop it on exit."""
    directory.mkdir(parents=True, exist_ok=True)
    demo = Demo(Fleet(example, directory))
    try:
        await demo.start()
        yield demo
    finally:
        await demo.fleet.stop()


async def run_demo(examples: Path, directory: Path, once: bool) -> int:
    """Run the demonstration; return the number of failed checks."""
    async with contextlib.AsyncExitStack() as stack:
        demos: list[Demo] = []
        for name in EXAMPLES:
            print(f"starting {name}; logs in {directory / name}", flush=True)
            started = running_demo(examples / f"{name}.ini", directory / name)
            demos.append(await stack.enter_async_context(started))
        for demo in demos:
            await demo.send_requests()
        failure_count = sum(demo.failed_checks for demo in demos)
        print(f"\n{failure_count} failed checks")
        if once:
            return failure_count
        for demo in demos:
            print(f"\nTry {demo.fleet.name}:\n{demo.curl_line()}")
        print("\nPress Ctrl-C to stop.", flush=True)
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as received:
            async for _ in received:
                break
        return failure_count


def main(
    once: Annotated[bool, typer.Option(help="Stop after the requests.")] = False,
    examples: Annotated[
        Path, typer.Option(help="Directory of the contract files.")
    ] = Path("examples"),
    directory: Annotated[Path | None, typer.Option(help="Directory for logs.")] = None,
) -> None:
    """Run both example deployments on this machine."""
    directory = directory or Path(tempfile.mkdtemp(prefix="flamingopond-"))
    failure_count = anyio.run(run_demo, examples, directory, once)
    raise typer.Exit(1 if failure_count else 0)


if __name__ == "__main__":
    typer.run(main)
