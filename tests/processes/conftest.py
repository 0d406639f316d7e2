"""Deployment of real processes, shared by the tests of a module."""

from __future__ import annotations

from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from flamingopond_bench.demo import Demo
from flamingopond_bench.fleet import Fleet, FleetOptions

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.fixture(scope="module")
def anyio_backend():
    return "asyncio"


@asynccontextmanager
async def running(directory, example="trust", **options):
    demo = Demo(Fleet(EXAMPLES / f"{example}.ini", directory, FleetOptions(**options)))
    try:
        await demo.start()
        yield demo
    finally:
        await demo.fleet.stop()


@pytest.fixture(scope="module")
async def demo(anyio_backend, tmp_path_factory):
    async with running(tmp_path_factory.mktemp("trust")) as started:
        yield started
