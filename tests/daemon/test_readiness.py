"""Readiness of a daemon after its start."""

from __future__ import annotations

import pytest
from fakes import FakeNode

from flamingopond_daemon.readiness import EngineDiscovery


class FakeEngines:
    """Engines by model."""

    def __init__(self):
        self.engines = {}

    def serving_engines(self, model):
        return self.engines.get(model, ())


@pytest.mark.parametrize(
    ("known", "serving", "elapsed", "ready"),
    [
        ((), True, 14.9, False),
        (("m",), True, 14.9, False),
        (("m", "other"), True, 0.1, True),
        ((), True, 15.0, True),
        (("m", "other"), False, 60.0, False),
    ],
)
def test_ready_once_all_models_have_engines(known, serving, elapsed, ready):
    """Guards against a daemon that gets requests before it knows any engines."""
    node, engines = FakeNode(), FakeEngines()
    discovery = EngineDiscovery(node.source, engines, node, 15.0)
    node.callers._engines_known = lambda: discovery.complete
    node.source.is_serving = serving
    assert not discovery.check(100.0)
    assert not node.callers.ready
    engines.engines = dict.fromkeys(known, ("e1",))
    discovery.check(100.0 + elapsed)
    assert node.callers.ready is ready
    # Engines that are lost later do not take the daemon out of service.
    engines.engines = {}
    discovery.check(100.0 + elapsed)
    assert node.callers.ready is ready


def test_limit_counts_from_the_configuration():
    """Guards against a time limit that runs while the table is down at the start."""
    node = FakeNode()
    discovery = EngineDiscovery(node.source, FakeEngines(), node, 15.0)
    node.source.is_serving = False
    assert not discovery.check(0.0)
    node.source.is_serving = True
    assert not discovery.check(60.0)
    assert not discovery.check(74.0)
    assert discovery.check(75.0)
