"""Client of the platform's metadata store: tables of versioned rows."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlencode

import msgspec
import trio

from pistachioreach.errors import (
    ConnectionFailed,
    HistoryTruncated,
    StoreConflict,
    StoreUnavailable,
)

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections

__all__ = [
    "CONFIGURATION_TABLE",
    "ENDPOINT_TABLE",
    "StoreClient",
    "StoreWrite",
    "StoredRow",
    "Snapshot",
]

#: Table in which the operator keeps the configuration.
CONFIGURATION_TABLE = "op"
#: Table in which the endpoints register themselves.
ENDPOINT_TABLE = "servers"
#: Seconds after which an answer counts as lost; the store answers in about 4 ms.
ANSWER_SECONDS = 1.0


class StoredRow(NamedTuple):
    """A row of the store.

    Attributes:
        key: Its key.
        version: Version of its last change; from a counter of the whole store.
        value: Its bytes, or None once it has been removed.
    """

    key: str
    version: int
    value: bytes | None


class Snapshot(NamedTuple):
    """Rows of a table, and the version up to which they are complete.

    Attributes:
        rows: The rows; of a feed only those that changed.
        version: Newest version of the store that they include.
        now: Seconds of the store's steady clock.
    """

    rows: tuple[StoredRow, ...]
    version: int
    now: float


class StoreWrite(NamedTuple):
    """A write under a condition.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        expected: Version that the row must be at, 0 for none, or None for any.
        value: New bytes.
    """

    table: str
    key: str
    expected: int | None
    value: bytes


class StoreClient:
    """The store met over HTTP.

    Args:
        connections: Connections to use.
        address: Address of the store, `ip:port`.
    """

    def __init__(self, connections: Connections, address: str) -> None:
        #: Connections to the store.
        self.connections = connections
        #: Address of the store.
        self.address = address
        #: Calls made so far.
        self.calls = 0

    async def read(self, table: str) -> Snapshot:
        """Return all rows of a table.

        Raises:
            StoreUnavailable: No answer.
        """
        rows: list[StoredRow] = []
        start = ""
        version = None
        while True:
            query = {"table": table, "part": "", "from": start}
            answer = await self.call("GET", "/rows-get", query)
            page = snapshot_of(answer)
            # Later pages may include later changes; the feed repeats those.
            version = page.version if version is None else version
            rows.extend(page.rows)
            if not answer.get("more-pages") or not page.rows:
                return Snapshot(tuple(rows), version, page.now)
            start = page.rows[-1].key + "\0"

    async def changes(self, table: str, after: int, wait: float) -> Snapshot:
        """Return the rows of a table that changed, as soon as there is one.

        Args:
            table: Name of the table.
            after: Version up to which changes are known.
            wait: Seconds to wait for the first change.

        Raises:
            HistoryTruncated: The store no longer holds all changes since `after`.
            StoreUnavailable: No answer.
        """
        query = {"table": table, "after": after, "wait-ms": round(wait * 1000)}
        answer = await self.call("GET", "/rows-feed", query, wait + ANSWER_SECONDS)
        return snapshot_of(answer)

    async def write(self, writes: list[StoreWrite]) -> Snapshot:
        """Apply all writes if all their conditions hold.

        Raises:
            StoreConflict: A condition did not hold; nothing was written.
            StoreUnavailable: No answer; the writes may have taken effect.
        """
        expected = [
            {"table": w.table, "part": "", "key": w.key, "ver": w.expected}
            for w in writes
            if w.expected is not None
        ]
        values = [
            {
                "table": w.table,
                "part": "",
                "key": w.key,
                "value": base64.b64encode(w.value).decode(),
            }
            for w in writes
        ]
        body = {"expected": expected, "writes": values, "remove": []}
        answer = await self.call("POST", "/rows-tx", body=body)
        if answer.get("conflict"):
            raise StoreConflict(writes[0].table, writes[0].key)
        return snapshot_of(answer)

    async def call(
        self,
        method: str,
        path: str,
        query: dict | None = None,
        seconds: float = ANSWER_SECONDS,
        body: Any = None,
    ) -> dict:
        """Send one call and decode its answer."""
        self.calls += 1
        target = f"{path}?{urlencode(query)}" if query else path
        raw = b"" if body is None else msgspec.json.encode(body)
        headers = (("Content-Type", "application/json"),) if raw else ()
        try:
            with trio.fail_after(seconds):
                answer = await self.connections.call(
                    "store", self.address, method, target, raw, headers
                )
        except (ConnectionFailed, trio.TooSlowError) as error:
            # The other idle connections may have gone silent in the same way.
            await self.connections.retire(self.address)
            raise StoreUnavailable(f"store {path}: {error!r}") from error
        if answer.status == 410:
            raise HistoryTruncated(f"store {path}: the history is gone")
        if answer.status not in (200, 412):
            raise StoreUnavailable(f"store {path}: status {answer.status}")
        try:
            decoded = msgspec.json.decode(answer.body)
        except msgspec.DecodeError as error:
            raise StoreUnavailable(f"store {path}: malformed answer") from error
        if not isinstance(decoded, dict):
            raise StoreUnavailable(f"store {path}: malformed answer")
        if answer.status == 412:
            decoded["conflict"] = True
        return decoded


def snapshot_of(answer: dict) -> Snapshot:
    """Decode an answer about rows.

    Raises:
        StoreUnavailable: The answer is malformed.
    """
    try:
        rows = tuple(row_of(row) for row in answer.get("rows", ()))
        return Snapshot(rows, int(answer["ver"]), answer.get("now-ms", 0) / 1000)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise StoreUnavailable(f"malformed answer: {error!r}") from error


def row_of(row: dict) -> StoredRow:
    """Decode one row; the value of a row that was removed is None."""
    if row.get("removed"):
        return StoredRow(row["key"], row["ver"], None)
    try:
        value = base64.b64decode(row["value"])
    except binascii.Error:
        # Another writer's row: its bytes name nothing, its version counts.
        value = b""
    return StoredRow(row["key"], row["ver"], value)
