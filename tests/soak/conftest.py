"""Fixtures of the tests of the soak test."""

from __future__ import annotations

import pytest

from soak.checks import RunRecord


@pytest.fixture
async def record(tmp_path):
    return RunRecord(tmp_path / "events.txt")
