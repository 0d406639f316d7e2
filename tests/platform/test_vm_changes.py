"""Tests of the VM list client, which fetches changes only."""

from __future__ import annotations

import attrs
import pytest

from flamingopond_platform.vms import Vm, VmState
from flamingopond_platform.vms_client import VmListClient
from flamingopond_standins.http_server import HttpRequest
from flamingopond_standins.vms import VmListServer

pytestmark = pytest.mark.anyio

VMS = [Vm(f"vm-{n}", f"10.0.0.{n}:1", "a", "target", VmState.LIVE) for n in range(50)]


class FakePool:
    """Calls a server without a socket and records the size of each response."""

    def __init__(self, server):
        self.server = server
        self.body_sizes = []

    async def request(self, method, path, body=b"", **_):
        path, _, query = path.partition("?")
        reply = await self.server._handle(HttpRequest(method, path, query, {}, body))
        self.body_sizes.append(len(reply.body))
        return attrs.make_class("Reply", ["status_code", "content"])(200, reply.body)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def server():
    return VmListServer(VMS, lag_s=0.0)


@pytest.fixture
def pool(server):
    return FakePool(server)


@pytest.fixture
def client(pool):
    client = VmListClient("127.0.0.1:1")
    client._pool = pool
    return client


async def test_applied_changes_give_the_new_list(client, server, pool):
    """Guards against missing, leftover and outdated VMs after changes."""
    assert set(await client.list_vms()) == set(VMS)
    leaving = attrs.evolve(VMS[3], state=VmState.LEAVING)
    new = Vm("new", "10.0.1.1:1", "b", "entry", VmState.LIVE)
    after = [leaving, new, *VMS[10:]]
    server.replace([*VMS, new])
    server.replace(after)
    assert set(await client.list_vms()) == set(after)
    assert pool.body_sizes[1] < pool.body_sizes[0] / 2


async def test_unchanged_list_costs_few_bytes_and_is_reused(client, pool):
    """Guards against fetching the whole list each second, 1.4 MB for 12,400 VMs."""
    first = await client.list_vms()
    assert await client.list_vms() is first
    assert pool.body_sizes[1] < 100


@pytest.mark.parametrize("changes", [0, 3])
async def test_restarted_server_sends_all(client, pool, changes):
    """Guards against a restarted list that accepts versions from before the restart."""
    await client.list_vms()
    pool.server = VmListServer(VMS[:5], lag_s=0.0)
    for number in range(changes):
        pool.server.replace(VMS[: 5 + number])
    assert len(await client.list_vms()) == 5 + max(0, changes - 1)


async def test_version_too_old_sends_all(client, server):
    """Guards against missed changes when the list no longer keeps them."""
    await client.list_vms()
    for number in range(1100):
        server.replace(VMS[: number % 50])
    assert set(await client.list_vms()) == set(VMS[: 1099 % 50])
