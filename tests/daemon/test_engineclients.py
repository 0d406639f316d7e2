"""Creation and closing of engine clients."""

from __future__ import annotations

import pytest

from flamingopond_daemon.engineclients import IDLE_CLIENT_TIMEOUT_S, EngineClientPool

pytestmark = pytest.mark.anyio


class _FakeClock:
    now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
def clock():
    return _FakeClock()


@pytest.fixture
def targets(clock):
    from fakes import FakeSource

    source = FakeSource()
    return EngineClientPool(lambda: source.configuration, 2.0, 1.0, clock)


async def test_unused_clients_are_closed(targets, clock):
    """Guards against keeping a client for every engine ever used: 98 MB for 3,000."""
    first = targets.get("e1")
    clock.now = IDLE_CLIENT_TIMEOUT_S - 1
    kept = targets.get("e2")
    clock.now = IDLE_CLIENT_TIMEOUT_S + 0.5
    await targets.close_idle()
    assert targets.get("e2") is kept
    assert targets.get("e1") is not first


async def test_streaming_client_is_kept(targets, clock):
    """Guards against closing a client whose stream is still open."""
    client = targets.get("e1")
    client._open_streams = 1
    clock.now = 10 * IDLE_CLIENT_TIMEOUT_S
    await targets.close_idle()
    assert targets.get("e1") is client
