"""The list of VMs read by its changes."""

from __future__ import annotations

import attrs
import pytest

from flamingopond_platform.vms import Vm, VmState
from flamingopond_platform.vms_client import VmListClient
from flamingopond_standins.http_server import HttpRequest
from flamingopond_standins.vms import VmsServer

pytestmark = pytest.mark.anyio

VMS = [Vm(f"vm-{n}", f"10.0.0.{n}:1", "a", "target", VmState.LIVE) for n in range(50)]


class Wire:
    """Passes the client's calls to a server without a socket; counts the bytes."""

    def __init__(self, server):
        self.server = server
        self.sizes = []

    async def request(self, method, path, body=b"", **_):
        path, _, query = path.partition("?")
        reply = await self.server._handle(HttpRequest(method, path, query, {}, body))
        self.sizes.append(len(reply.body))
        return attrs.make_class("Reply", ["status_code", "content"])(200, reply.body)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def server():
    return VmsServer(VMS, lag_s=0.0)


@pytest.fixture
def wire(server):
    return Wire(server)


@pytest.fixture
def client(wire):
    client = VmListClient("127.0.0.1:1")
    client._connection = wire
    return client


async def test_changes_lead_to_the_same_list(client, server, wire):
    """Guards against VMs that are missing, kept or old after changes."""
    assert set(await client.list_vms()) == set(VMS)
    leaving = attrs.evolve(VMS[3], state=VmState.LEAVING)
    new = Vm("new", "10.0.1.1:1", "b", "entry", VmState.LIVE)
    after = [leaving, new, *VMS[10:]]
    server.replace([*VMS, new])
    server.replace(after)
    assert set(await client.list_vms()) == set(after)
    assert wire.sizes[1] < wire.sizes[0] / 2


async def test_unchanged_list_is_small_and_the_same(client, wire):
    """Guards against reading all VMs each second: 1.4 MB at the design size."""
    first = await client.list_vms()
    assert await client.list_vms() is first
    assert wire.sizes[1] < 100


@pytest.mark.parametrize("changes", [0, 3])
async def test_restarted_server_sends_all(client, wire, changes):
    """Guards against taking versions of a restarted list for earlier ones."""
    await client.list_vms()
    wire.server = VmsServer(VMS[:5], lag_s=0.0)
    for number in range(changes):
        wire.server.replace(VMS[: 5 + number])
    assert len(await client.list_vms()) == 5 + max(0, changes - 1)


async def test_version_too_old_sends_all(client, server):
    """Guards against changes that the list no longer remembers."""
    await client.list_vms()
    for number in range(1100):
        server.replace(VMS[: number % 50])
    assert set(await client.list_vms()) == set(VMS[: 1099 % 50])
