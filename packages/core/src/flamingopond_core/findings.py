"""Validation findings, collected with their place and reported together."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from flamingopond_core.exceptions import InvalidInputError


@attrs.frozen
class Finding:
    """One reason why input is invalid.

    ``place`` names the file, line, section and key as far as they are known.
    """

    place: str
    message: str

    def __str__(self) -> str:
        """Return ``place: message``."""
        return f"{self.place}: {self.message}"


@attrs.define
class FindingCollector:
    """Collects findings so that they can be reported together."""

    _findings: list[Finding] = attrs.field(factory=list, init=False)

    @property
    def findings(self) -> tuple[Finding, ...]:
        """The findings in the order in which they were added."""
        return tuple(self._findings)

    def add(self, place: str, message: str) -> None:
        """Add a finding."""
        self._findings.append(Finding(place, message))


@contextmanager
def collect_findings() -> Iterator[FindingCollector]:
    """Yield a collector; on exit raise ``InvalidInputError`` if it is not empty."""
    collector = FindingCollector()
    yield collector
    if collector.findings:
        raise InvalidInputError(collector.findings)
