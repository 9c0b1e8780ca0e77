"""A copy of one table of the store, brought up to date by changes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.platform.store import StoredRow

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from pistachioreach.platform.store import Snapshot

__all__ = ["TableCopy"]


class TableCopy:
    """Rows of one table; no row ever goes back to an older version.

    Args:
        name: Name of the table.
        on_change: Called with each row that is new or changed; removed rows have
            no value. Returns whether the change is one that others must learn.
    """

    def __init__(self, name: str, on_change: Callable[[StoredRow], bool]) -> None:
        #: Name of the table.
        self.name = name
        #: Called with each row that is new or changed.
        self.on_change = on_change
        #: Rows by key, removed ones included.
        self.rows: dict[str, StoredRow] = {}
        #: Last change of each row that others must learn.
        self.significant_rows: dict[str, StoredRow] = {}
        #: Version of the last change that others must learn.
        self.latest_significant_version = -1
        #: Version of a change that another entry knows and this copy lacks.
        self.highest_peer_version = -1
        #: Version up to which the copy is complete; -1 before the first read.
        self.version = -1
        #: Whether changes may be missing, so that a full read is needed.
        self.needs_full_read = False

    @property
    def loaded(self) -> bool:
        """Whether the table has been read once."""
        return self.version >= 0

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Take over a full read; rows that it lacks have been removed."""
        if snapshot.version < self.version:
            # A late answer: changes since are known already.
            return
        self.needs_full_read = False
        listed = {row.key for row in snapshot.rows}
        for key, row in list(self.rows.items()):
            if key not in listed and row.value is not None:
                self.apply_row(StoredRow(key, snapshot.version, None))
        self.apply_changes(snapshot.rows, snapshot.version)

    def apply_changes(self, rows: Iterable[StoredRow], version: int) -> None:
        """Take over changes that make the copy complete up to a version."""
        for row in rows:
            self.apply_row(row)
        self.version = max(self.version, version)

    def apply_row(self, row: StoredRow) -> None:
        """Take over one row, unless a newer one is known."""
        known = self.rows.get(row.key)
        if known is not None and known.version >= row.version:
            return
        self.rows[row.key] = row
        if self.on_change(row):
            self.significant_rows[row.key] = row
            self.latest_significant_version = max(
                self.latest_significant_version, row.version
            )

    @property
    def is_behind(self) -> bool:
        """Whether another entry knows a change that this copy lacks."""
        return self.highest_peer_version > self.version

    def changes_since(self, version: int) -> list[StoredRow]:
        """Return the rows whose change after a version others must learn."""
        return [row for row in self.significant_rows.values() if row.version > version]
