"""Passes over the tests of KNOWN-RED.txt, and over no others."""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def pytest_collection_modifyitems(items):
    """Let listed tests fail; ``-ra`` prints them with what was seen."""
    known = {}
    if KNOWN_RED.exists():
        for line in KNOWN_RED.read_text().splitlines():
            if line and not line.startswith("#"):
                test, _, rest = line.partition(" | ")
                known[test] = rest
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
