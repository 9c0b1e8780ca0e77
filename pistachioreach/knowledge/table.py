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
        changed: Called with each row that is new or changed; removed rows have
            no value. Returns whether the change is one that others must learn.
    """

    def __init__(self, name: str, changed: Callable[[StoredRow], bool]) -> None:
        #: Name of the table.
        self.name = name
        #: Called with each row that is new or changed.
        self.changed = changed
        #: Rows by key, removed ones included.
        self.rows: dict[str, StoredRow] = {}
        #: Last change of each row that others must learn.
        self.news: dict[str, StoredRow] = {}
        #: Version of the last change that others must learn.
        self.latest_news = -1
        #: Version of a change that another entry knows and this copy lacks.
        self.awaited = -1
        #: Version up to which the copy is complete; -1 before the first read.
        self.version = -1
        #: Whether changes may be missing, so that a full read is needed.
        self.stale = False

    @property
    def complete(self) -> bool:
        """Whether the table has been read once."""
        return self.version >= 0

    def replace(self, snapshot: Snapshot) -> None:
        """Take over a full read; rows that it lacks have been removed."""
        if snapshot.version < self.version:
            # A late answer: changes since are known already.
            return
        self.stale = False
        listed = {row.key for row in snapshot.rows}
        for key, row in list(self.rows.items()):
            if key not in listed and row.value is not None:
                self.put(StoredRow(key, snapshot.version, None))
        self.update(snapshot.rows, snapshot.version)

    def update(self, rows: Iterable[StoredRow], version: int) -> None:
        """Take over changes that make the copy complete up to a version."""
        for row in rows:
            self.put(row)
        self.version = max(self.version, version)

    def put(self, row: StoredRow) -> None:
        """Take over one row, unless a newer one is known."""
        known = self.rows.get(row.key)
        if known is not None and known.version >= row.version:
            return
        self.rows[row.key] = row
        if self.changed(row):
            self.news[row.key] = row
            self.latest_news = max(self.latest_news, row.version)

    @property
    def behind(self) -> bool:
        """Whether another entry knows a change that this copy lacks."""
        return self.awaited > self.version

    def since(self, version: int) -> list[StoredRow]:
        """Return the rows whose change after a version others must learn."""
        return [row for row in self.news.values() if row.version > version]
