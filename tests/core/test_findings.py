"""Findings are reported together, not one at a time."""

import pytest

from flamingopond_core.exceptions import InvalidInputError
from flamingopond_core.findings import collect_findings


def test_all_findings_are_raised_together() -> None:
    """Guards against reporting only the first of several findings."""
    with pytest.raises(InvalidInputError) as caught, collect_findings() as findings:
        findings.add("a.ini:3", "unknown key")
        findings.add("a.ini:7", "not a number")
    assert [str(f) for f in caught.value.findings] == [
        "a.ini:3: unknown key",
        "a.ini:7: not a number",
    ]
