"""Connections that a gateway process of the version in production carries.

``production`` in deploy/system.toml names that version; its sources come from the
repository's history. Old and new gateways serve side by side during an upgrade.
"""

from __future__ import annotations

import asyncio
import os
import subprocess
import tarfile
import tomllib
from io import BytesIO
from pathlib import Path

import path_parts as path
import pytest
import test_gateway_relayed_ends as ends

pytestmark = pytest.mark.anyio

ROOT = Path(__file__).parents[2]


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


@pytest.fixture(scope="module")
def previous_sources(tmp_path_factory):
    """Return Python's path to the sources of the version in production."""
    if not (ROOT / ".git").exists():
        pytest.skip("this checkout has no history")
    deployed = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    archive = subprocess.run(
        ["git", "archive", deployed["production"], "packages", "platform"],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        check=True,
    )
    directory = tmp_path_factory.mktemp("production")
    with tarfile.open(fileobj=BytesIO(archive.stdout)) as sources:
        sources.extractall(directory)
    return os.pathsep.join(map(str, sorted(directory.glob("**/src"))))


# Guards MIXED and ORDER during an upgrade, and against whole responses that are lost
# in it. A version without frames can't tell how a response ended that ends with its
# connection, so that this one may be broken.
@pytest.mark.parametrize("url", ["/drafts/1", "/orders/1"])
@pytest.mark.parametrize("end", [ends.nothing, ends.kill, ends.kill_frozen])
async def test_response_that_the_version_in_production_carries(
    end, url, previous_sources, tmp_path, monkeypatch
):
    monkeypatch.setenv("PYTHONPATH", previous_sources)
    target = ends.SlowTarget()
    async with (
        path.running_path(target, max_attempts=1) as running,
        ends.carrier_process(tmp_path, target) as carrier,
    ):
        connector = ends.connector_through(carrier)
        connection = await connector.connect(None)
        has_frames = connection.has_frames
        connection.close()
        running.forwarder.client.connector = connector
        sent = ends.send_each_form(running, url, 3.0)
        async with asyncio.timeout(2.0):
            while len(target.requests) < len(sent):
                await asyncio.sleep(0.01)
        await asyncio.sleep(5.5 * ends.EVENT_PAUSE_S)
        await end(carrier, target)
        whole = dict(
            zip(
                ends.HEADS, map(ends.is_whole, await asyncio.gather(*sent)), strict=True
            )
        )
        kept = end is ends.nothing
        assert whole == {
            "length": kept,
            "chunks": kept,
            "close": kept and has_frames,
        }
