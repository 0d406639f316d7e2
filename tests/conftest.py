"""Settings of the whole test run."""

from __future__ import annotations

import os
from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"

# CI gives the same verdict each time; the search profile looks for new examples.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.register_profile("search", deadline=None, print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def known_red_tests() -> dict[str, str]:
    """Return what was seen of each test that KNOWN-RED.txt lists."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    entries = (line.split(" | ", 1) for line in lines if line and line[0] != "#")
    return dict(entries)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the listed tests and let them fail; ``-ra`` prints them with the reason."""
    known = known_red_tests()
    for item in items:
        if item.nodeid in known:
            mark = pytest.mark.xfail(reason=known[item.nodeid], strict=False)
            item.add_marker(mark)
