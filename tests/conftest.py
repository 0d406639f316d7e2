"""Settings of the whole test run."""

import os
from pathlib import Path

import pytest
from hypothesis import settings

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"

# CI gives the same verdict each time; the search profile looks for new examples.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.register_profile("search", deadline=None, print_blob=True)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))


def known_red_tests() -> frozenset[str]:
    """Return the node ids that KNOWN-RED.txt lists, one in each line ``test: ...``."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix("test:").strip() for line in lines if line.startswith("test:")
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Run the listed tests, but report their failures as known."""
    listed = known_red_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))
