"""Benchmark of restores with few entries: calls stay few, and all entries follow."""

from __future__ import annotations

import pytest

from bench.restores import WRITES_PER_SECOND, measure
from pistachioreach.knowledge.platform import ENTRY_TABLE


@pytest.fixture
def result():
    return measure(24)


def test_restore_costs_one_registration_an_entry(result):
    # Guards against entries that write their rows again and again after a restore.
    assert result.calls["transact", ENTRY_TABLE] == 24
    assert result.peak_writes <= WRITES_PER_SECOND / 10


def test_entries_follow_a_restore_within_two_seconds(result):
    assert result.followed < 2.0
    assert result.registered < 2.0


@pytest.mark.parametrize("table", ["op", "entries", "servers"])
def test_few_entries_read_a_table_in_full(result, table):
    # Guards against a full read by every entry, which exceeds the rate of a large site.
    assert result.calls["read", table] <= 8
