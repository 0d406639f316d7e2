"""Demonstration: both deployments, real requests through every daemon."""

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
_JOIN_LIMIT_S = 30.0
_LOAD_LIMIT_S = 60.0
_MAX_TOKENS = 24


class Demo:
    """One deployment with its contract file in force and a key a workspace."""

    def __init__(self, fleet: Fleet) -> None:
        """Use a fleet that is not started yet."""
        self.fleet = fleet
        self.keys: dict[str, str] = {}
        self.wrong = 0

    async def start(self) -> None:
        """Start all processes, apply the contract file and grant keys."""
        await self.fleet.start()
        await anyio.to_thread.run_sync(self._configure)
        await self.fleet.wait_ready()
        await self._wait_models()

    def operator(self) -> Session:
        """Return an operator's session with all daemons."""
        urls = [f"http://{daemon.operators}" for daemon in self.fleet.daemons]
        return connect(urls, self.fleet.operator_key, author="demo")

    def _configure(self) -> None:
        with self.operator() as session:
            self._apply(session)
            for kind, workspace in self.fleet.objects:
                if kind is ObjectKind.CONTRACT:
                    granted = session.keys.grant(f"{workspace}-demo", workspace)
                    self.keys[workspace] = granted.secret

    def _apply(self, session: Session) -> None:
        """Apply the contract file once the daemons hear a majority of each other."""
        until = time.monotonic() + _JOIN_LIMIT_S
        while True:
            try:
                session.apply(self.fleet.contract_file, f"{self.fleet.name}.ini")
                return
            except UnavailableError:
                if time.monotonic() > until:
                    raise
                time.sleep(0.25)

    async def _wait_models(self) -> None:
        """Wait until every daemon knows an engine for each model and adapter."""
        missing: set[str] = set()
        with anyio.move_on_after(_LOAD_LIMIT_S):
            while True:
                missing = await anyio.to_thread.run_sync(self._missing_models)
                if not missing:
                    return
                await anyio.sleep(0.25)
        self._report(False, f"models without an engine: {sorted(missing)}")

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
                    await self._ask(caller, workspace, daemon)

    async def _ask(
        self, caller: Caller, workspace: str, daemon: DaemonAddresses
    ) -> None:
        names = await caller.models()
        number = self.fleet.daemons.index(daemon)
        # Each daemon serves another part of the models, so that all are asked for.
        for position, name in enumerate(names[number :: len(self.fleet.daemons)]):
            prompt = f"{workspace} asks {name} through {daemon.name}"
            send = caller.stream if position % 2 else caller.complete
            answer = await send(name, prompt, _MAX_TOKENS)
            right = expected_answer(self.fleet.objects, name, prompt, _MAX_TOKENS)
            kind = "streams" if position % 2 else "asks"
            self._report(
                answer.done and answer.text == right,
                f"{workspace} {kind} {name}: {answer.text[:40]}… {answer.code}",
            )
        for service in self.fleet.services:
            await self._call(caller, workspace, service, daemon)

    async def _call(
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
            reply = await caller.service(method, path, body, idempotency_key)
            right = reply.status_code == 200
            echo = orjson.loads(reply.content).get("echo", "") if right else reply.text
            self._report(
                right and echo == body.decode(),
                f"{workspace} calls {method} {path}: {reply.status_code} {echo[:60]}",
            )

    def curl_line(self) -> str:
        """Return a command that asks for an answer, with its key."""
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

    def _report(self, right: bool, text: str) -> None:
        self.wrong += not right
        print(f"  {'ok   ' if right else 'WRONG'} {text}", flush=True)


@contextlib.asynccontextmanager
async def running_demo(example: Path, directory: Path) -> AsyncIterator[Demo]:
    """Start a deployment for the demonstration, and end it at the exit."""
    directory.mkdir(parents=True, exist_ok=True)
    demo = Demo(Fleet(example, directory))
    try:
        await demo.start()
        yield demo
    finally:
        await demo.fleet.stop()


async def run_demo(examples: Path, directory: Path, once: bool) -> int:
    """Run the demonstration; return the number of wrong answers."""
    async with contextlib.AsyncExitStack() as stack:
        demos: list[Demo] = []
        for name in EXAMPLES:
            print(f"starting {name}; logs in {directory / name}", flush=True)
            started = running_demo(examples / f"{name}.ini", directory / name)
            demos.append(await stack.enter_async_context(started))
        for demo in demos:
            await demo.send_requests()
        wrong = sum(demo.wrong for demo in demos)
        print(f"\n{wrong} wrong answers")
        if once:
            return wrong
        for demo in demos:
            print(f"\nTry {demo.fleet.name}:\n{demo.curl_line()}")
        print("\nInterrupt to end.", flush=True)
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as received:
            async for _ in received:
                break
        return wrong


def main(
    once: Annotated[bool, typer.Option(help="End after the requests.")] = False,
    examples: Annotated[Path, typer.Option(help="Contract files.")] = Path("examples"),
    directory: Annotated[Path | None, typer.Option(help="For logs.")] = None,
) -> None:
    """Run both example deployments on this machine."""
    directory = directory or Path(tempfile.mkdtemp(prefix="flamingopond-"))
    wrong = anyio.run(run_demo, examples, directory, once)
    raise typer.Exit(1 if wrong else 0)


if __name__ == "__main__":
    typer.run(main)
