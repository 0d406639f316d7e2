"""Tests that the capacity page and its derived figures match docs/capacity.json."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from flamingopond_bench.capacity import extrapolate
from flamingopond_bench.capacity_fit import fit_line
from flamingopond_bench.capacity_report import TABLES, render

DOCS = Path(__file__).parents[2] / "docs"


@pytest.fixture(scope="module")
def data():
    return orjson.loads((DOCS / "capacity.json").read_bytes())


def test_tables_are_those_of_the_file(data):
    """Guards against tables that were edited by hand or not regenerated."""
    page = (DOCS / "CAPACITY.md").read_text()
    assert render(page, data) == page


def test_page_shows_all_tables():
    """Guards against a generated table that the page leaves out."""
    page = (DOCS / "CAPACITY.md").read_text()
    assert [name for name in TABLES if f"<!-- begin {name} -->" not in page] == []


def test_worked_out_figures_follow_from_the_measured(data):
    """Guards against derived figures of another run or an older formula."""
    recomputed = orjson.loads(orjson.dumps(extrapolate(data["measured"])))
    # Results of least squares may differ in the last digits between machines.
    assert _flatten(recomputed) == pytest.approx(
        _flatten(data["worked_out"]), rel=1e-6, abs=1e-12
    )


def test_line_is_found_again():
    """Guards against a fit that mixes up slope and intercept."""
    line = fit_line([1, 2, 3], [5, 7, 9])
    assert line.slope == pytest.approx(2)
    assert line.intercept == pytest.approx(3)
    assert line.r_squared == pytest.approx(1)
    assert fit_line([1, 2, 3], [1, 5, 1]).r_squared < 0.1


def _flatten(value, prefix=""):
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    else:
        return {prefix: value} if isinstance(value, int | float) else {}
    numbers = {}
    for key, item in items:
        numbers |= _flatten(item, f"{prefix}/{key}")
    return numbers
