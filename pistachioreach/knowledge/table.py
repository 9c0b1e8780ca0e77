"""Local copy of one table of the store, kept up to date by changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from loguru import logger

from pistachioreach.isolation import isolate_errors
from pistachioreach.platform.store import (
    UNKNOWN_ERA,
    Position,
    Snapshot,
    StoredRow,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = ["STORE", "RowSource", "TableCopy"]


class RowSource(NamedTuple):
    """One run of an entry's process, as the source of a copy's rows.

    Attributes:
        entry: Name of the entry.
        incarnation: Identifier of the run.
    """

    entry: str
    incarnation: str


#: Source of the rows that this entry reads from the store itself.
STORE = RowSource("", "")


def restored_value(known: StoredRow, restored: StoredRow | None) -> bytes | None:
    """Return the value that a store which came back from an older copy has."""
    return restored.value if restored is not None else None


class TableCopy:
    """Copy of one table; its position never decreases.

    All rows are of the copy's era, and the version of a row never decreases within it.
    If the store comes back from an older copy, a full read of the later era replaces
    all rows.

    A change is significant if other entries must learn of it. Heartbeats of endpoints
    are changes of rows too, but not significant ones.

    Args:
        name: Name of the table.
        on_change: Called with each new or changed row; a removed row has no value.
            Returns whether the change is significant.
        reconcile: Called after a restore with each known row and the row that the store
            has now, or None. Returns the value to use, or None to remove the row.
    """

    def __init__(
        self,
        name: str,
        on_change: Callable[[StoredRow], bool],
        reconcile: Callable[
            [StoredRow, StoredRow | None], bytes | None
        ] = restored_value,
    ) -> None:
        #: Name of the table.
        self.name = name
        #: Called with each new or changed row; returns whether the change is
        #: significant.
        self.on_change = on_change
        #: Called after a restore; returns the value of a row to use.
        self.reconcile = reconcile
        #: Latest version of each row by key, including removed rows.
        self.rows: dict[str, StoredRow] = {}
        #: Last significant change of each row, by key.
        self.significant_rows: dict[str, StoredRow] = {}
        #: Version of the last significant change; -1 if there was none.
        self.latest_significant_version = -1
        #: Latest position of a significant change that another entry has reported.
        self.latest_peer_position = Position(UNKNOWN_ERA, -1)
        #: Era of the versions of all rows; UNKNOWN_ERA before the store states one.
        self.era = UNKNOWN_ERA
        #: Whether the rows of a full read that followed a restore are being applied.
        self.restoring = False
        #: Whether the store has been restored since the first read.
        self.restored = False
        #: Version up to which the copy is complete; -1 before the first read.
        self.version = -1
        #: Position of the first answer after the last known outage of the store.
        self.outage_end = Position(UNKNOWN_ERA, -1)
        #: Entry whose changes this copy follows, or STORE.
        self.source = STORE
        #: Whether the copy may have missed changes and needs a full read.
        self.needs_full_read = False

    @property
    def loaded(self) -> bool:
        """Whether the copy has been complete at least once."""
        return self.version >= 0

    @property
    def position(self) -> Position:
        """Point up to which the copy is complete."""
        return Position(self.era, self.version)

    @property
    def significant_position(self) -> Position:
        """Point of the last significant change."""
        return Position(self.era, self.latest_significant_version)

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the copy by a full read of the table.

        Rows that the full read does not list have been removed. A full read that is
        older than the copy is ignored.
        """
        if snapshot.position < self.position:
            # This response is late: the copy already contains later changes.
            return
        self.needs_full_read = False
        if snapshot.era > self.era:
            self.begin_era(snapshot)
            return
        listed = {row.key for row in snapshot.rows}
        for key, row in list(self.rows.items()):
            if key not in listed and row.value is not None:
                self.apply_row(StoredRow(key, snapshot.version, None))
        self.apply_changes(snapshot.rows, snapshot.version)

    def begin_era(self, snapshot: Snapshot) -> None:
        """Replace the copy by a full read of a later era."""
        # The first era that the store states is the one of the rows so far.
        self.restoring = self.loaded and self.era != UNKNOWN_ERA
        self.restored |= self.restoring
        version = snapshot.version
        rows = {row.key: row for row in snapshot.rows}
        for key, known in self.rows.items():
            if known.value is None:
                continue
            row = rows.get(key)
            value = row.value if row is not None else None
            if self.restoring:
                value = self.reconcile(known, row)
            rows[key] = StoredRow(key, row.version if row else version, value)
        if self.restoring:
            logger.bind(
                table=self.name,
                era=snapshot.era,
                before=self.era,
                version=version,
                version_before=self.version,
                rows=len(rows),
            ).warning("table read in full after the store was restored")
        self.era, self.version = snapshot.era, version
        self.rows, self.significant_rows = {}, {}
        # Every row counts as changed for the entries that follow this copy.
        self.latest_significant_version = version
        for row in rows.values():
            self.apply_row(row)
        self.restoring = False

    def apply_changes(self, rows: Iterable[StoredRow], version: int) -> None:
        """Apply changes after which the copy is complete up to a version.

        Args:
            rows: Changed rows.
            version: Version up to which the copy is complete afterwards.
        """
        for row in rows:
            self.apply_row(row)
        self.version = max(self.version, version)

    def apply_row(self, row: StoredRow) -> None:
        """Apply a changed row unless the copy has that version or a newer one."""
        known = self.rows.get(row.key)
        if known is not None and known.version >= row.version:
            return
        self.rows[row.key] = row
        # Where the change fails, other entries still learn of the row.
        significant = True
        with isolate_errors("change of a row", table=self.name, key=row.key):
            significant = self.on_change(row)
        if significant:
            self.significant_rows[row.key] = row
            self.latest_significant_version = max(
                self.latest_significant_version, row.version
            )

    @property
    def is_behind(self) -> bool:
        """Whether another entry knows a significant change that this copy lacks."""
        return self.latest_peer_position > self.position

    def changes_since(self, version: int) -> list[StoredRow]:
        """Return the rows whose last significant change is later than a version.

        Returns all rows in their latest state if the version is negative.
        """
        if version < 0:
            return list(self.rows.values())
        return [row for row in self.significant_rows.values() if row.version > version]

    def version_for(self, entry: str) -> int:
        """Return the version since which an entry is asked for changes, or -1 for all.

        What is a significant change depends on what an entry knew before. The changes
        that one entry passes on therefore complete only a copy that follows that entry,
        and only within an era.

        Args:
            entry: Name of the entry.
        """
        if self.latest_peer_position.era > self.era:
            return -1
        return self.version if entry and entry == self.source.entry else -1

    def apply_relayed(
        self,
        source: RowSource,
        since: int,
        rows: list[StoredRow],
        version: int,
        era: int = UNKNOWN_ERA,
    ) -> None:
        """Apply the answer of another entry that was asked for this copy's changes.

        Args:
            source: Run of the entry that answered.
            since: Version since which the entry was asked for changes, or -1 if it was
                asked for all rows.
            rows: The rows that were asked for.
            version: Version up to which the entry's own copy is complete.
            era: Era of the entry's own copy, or UNKNOWN_ERA.
        """
        if era == UNKNOWN_ERA and not self.restored:
            # The entry is of an earlier release, or has heard only of such entries.
            era = self.era
        if since >= 0 and era != self.era:
            # The changes are of another era than the one for which they were requested.
            return
        if since >= 0:
            # The copy may have followed the store or another entry meanwhile.
            if source == self.source:
                self.apply_changes(rows, version)
            elif source.entry == self.source.entry:
                # The entry has restarted and does not know which rows were removed
                # before: ask it for all rows next time.
                self.source = STORE
        elif Position(era, version) >= self.position:
            present = tuple(row for row in rows if row.value is not None)
            self.apply_snapshot(Snapshot(present, version, 0.0, era))
            self.source = source
