"""Copies of tables that follow the store and other entries in turn."""

import pytest

from pistachioreach.knowledge.table import STORE, RowSource, TableCopy
from pistachioreach.platform.store import Snapshot, StoredRow

FIRST, SECOND = RowSource("e1", "x"), RowSource("e2", "x")
ROWS = [StoredRow("a", 1, b"a"), StoredRow("b", 2, b"b")]


@pytest.fixture
def copy():
    """Return a copy that follows the entry e1 and is complete up to version 5."""
    copy = TableCopy("servers", lambda row: True)
    copy.apply_relayed(FIRST, -1, ROWS, 5)
    return copy


def present(copy):
    return {key for key, row in copy.rows.items() if row.value is not None}


def test_changes_that_arrive_after_a_poll_of_the_store_remove_no_other_rows(copy):
    since = copy.version_for("e1")
    copy.apply_changes([StoredRow("c", 7, b"c")], 7)
    copy.source = STORE
    copy.apply_relayed(FIRST, since, [StoredRow("c", 7, b"c")], 7)
    assert present(copy) == {"a", "b", "c"}


def test_changes_that_arrive_after_a_switch_to_another_entry_are_ignored(copy):
    since = copy.version_for("e1")
    copy.apply_relayed(SECOND, -1, ROWS, 6)
    copy.apply_relayed(FIRST, since, [StoredRow("b", 7, None)], 7)
    assert present(copy) == {"a", "b"}
    assert copy.source == SECOND


def test_whole_table_of_another_entry_replaces_the_copy(copy):
    copy.apply_relayed(SECOND, -1, [ROWS[0], StoredRow("c", 7, b"c")], 7)
    assert present(copy) == {"a", "c"}
    assert copy.version_for("e2") == 7
    assert copy.version_for("e1") == -1


def test_whole_table_that_is_older_than_the_copy_is_ignored(copy):
    copy.apply_snapshot(Snapshot((*ROWS, StoredRow("c", 8, b"c")), 9, 0.0))
    copy.source = STORE
    copy.apply_relayed(SECOND, -1, ROWS, 8)
    assert present(copy) == {"a", "b", "c"}
    assert copy.version_for("e2") == -1


def test_endpoint_removed_while_its_source_restarted_is_removed(copy):
    """The entry that restarted has never seen the row, so its changes lack it."""
    restarted = RowSource("e1", "y")
    copy.apply_relayed(restarted, copy.version_for("e1"), [], 9)
    assert copy.version_for("e1") == -1
    copy.apply_relayed(restarted, -1, [ROWS[0]], 9)
    assert present(copy) == {"a"}
    assert copy.version_for("e1") == 9
