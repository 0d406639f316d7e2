"""The capacity page against the file that its tables are made from."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from flamingopond_bench.capacity import work_out
from flamingopond_bench.capacity_fit import fit
from flamingopond_bench.capacity_report import TABLES, render

DOCS = Path(__file__).parents[2] / "docs"


@pytest.fixture(scope="module")
def data():
    return orjson.loads((DOCS / "capacity.json").read_bytes())


def test_tables_are_those_of_the_file(data):
    """Guards against figures that were changed by hand or not made anew."""
    page = (DOCS / "CAPACITY.md").read_text()
    assert render(page, data) == page


def test_page_shows_all_tables():
    """Guards against a measured table that nobody sees."""
    page = (DOCS / "CAPACITY.md").read_text()
    assert [name for name in TABLES if f"<!-- begin {name} -->" not in page] == []


def test_worked_out_figures_follow_from_the_measured(data):
    """Guards against worked-out figures of another run or another formula."""
    again = orjson.loads(orjson.dumps(work_out(data["measured"])))
    # Least squares may differ in the last digits between machines.
    assert _flat(again) == pytest.approx(_flat(data["worked_out"]), rel=1e-6, abs=1e-12)


def test_line_is_found_again():
    """Guards against a fit that mixes up slope and intercept."""
    line = fit([1, 2, 3], [5, 7, 9])
    assert line.slope == pytest.approx(2)
    assert line.intercept == pytest.approx(3)
    assert line.r_squared == pytest.approx(1)
    assert fit([1, 2, 3], [1, 5, 1]).r_squared < 0.1


def _flat(value, prefix=""):
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return {prefix: value} if isinstance(value, int | float) else {}
    found = {}
    for key, inner in items:
        found |= _flat(inner, f"{prefix}/{key}")
    return found
