"""Fixtures of the platform's contract tests."""

import pytest


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
