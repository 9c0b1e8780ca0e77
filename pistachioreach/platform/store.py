"""Client of the platform's metadata store, which holds tables of versioned rows."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlencode

import msgspec
import trio

from pistachioreach.decoding import (
    INVALID_DOCUMENT_ERRORS,
    LARGEST_VERSION,
    MALFORMED_JSON_ERRORS,
    check_integer,
    check_number,
)
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

#: Table that holds the operator's configuration.
CONFIGURATION_TABLE = "op"
#: Table in which the endpoints register themselves.
ENDPOINT_TABLE = "servers"
#: Timeout of a call; the store responds in about 4 ms.
RESPONSE_TIMEOUT_SECONDS = 1.0


class StoredRow(NamedTuple):
    """Row of the store.

    Attributes:
        key: Key of the row in its table.
        version: Version of the row's last change, from one counter for the whole
            store.
        value: Bytes of the row, or None if the row has been removed.
    """

    key: str
    version: int
    value: bytes | None


class Snapshot(NamedTuple):
    """Rows of a table, and the store version up to which they are complete.

    Attributes:
        rows: All rows of the table, or only the changed rows in a response of the
            change feed.
        version: Latest store version whose changes the rows include.
        store_time: Time of the store's monotonic clock, in seconds.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_time: float


class StoreWrite(NamedTuple):
    """Conditional write of one row.

    Attributes:
        table: Table of the row.
        key: Key of the row.
        expected: Version that the row must have: 0 if the row must not exist, or
            None if any version is accepted.
        value: New bytes of the row.
    """

    table: str
    key: str
    expected: int | None
    value: bytes


class StoreClient:
    """Client of the store over HTTP.

    Args:
        connections: HTTP connections to the store.
        address: Address of the store, `ip:port`.
    """

    def __init__(self, connections: Connections, address: str) -> None:
        #: HTTP connections to the store.
        self.connections = connections
        #: Address of the store, `ip:port`.
        self.address = address
        #: Number of calls made so far.
        self.call_count = 0

    async def read(self, table: str) -> Snapshot:
        """Return all rows of a table, read page by page.

        Raises:
            StoreUnavailable: The store did not respond or reported an error.
        """
        rows: list[StoredRow] = []
        start = ""
        version = None
        while True:
            query = {"table": table, "part": "", "from": start}
            document = await self.call("GET", "/rows-get", query)
            page = decode_snapshot(document)
            # The version of the first page counts: later pages may include later
            # changes, which the change feed then delivers again.
            version = page.version if version is None else version
            rows.extend(page.rows)
            if not document.get("more-pages") or not page.rows:
                return Snapshot(tuple(rows), version, page.store_time)
            start = page.rows[-1].key + "\0"

    async def wait_for_changes(self, table: str, after: int, wait: float) -> Snapshot:
        """Return the changed rows of a table, by long polling the change feed.

        Args:
            table: Name of the table.
            after: Store version up to which the caller knows all changes.
            wait: Seconds that the store waits for the first change.

        Raises:
            HistoryTruncated: The store no longer holds all changes since `after`.
            StoreUnavailable: The store did not respond or reported an error.
        """
        query = {"table": table, "after": after, "wait-ms": round(wait * 1000)}
        document = await self.call(
            "GET", "/rows-feed", query, wait + RESPONSE_TIMEOUT_SECONDS
        )
        return decode_snapshot(document)

    async def write(self, writes: list[StoreWrite]) -> Snapshot:
        """Apply all writes in one transaction, if all their conditions hold.

        Returns:
            A snapshot without rows, with the version of the writes.

        Raises:
            StoreConflict: A condition did not hold; nothing was written.
            StoreUnavailable: The store did not respond or reported an error; the
                writes may have taken effect.
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
        document = await self.call("POST", "/rows-tx", body=body)
        if document.get("conflict"):
            raise StoreConflict(writes[0].table, writes[0].key)
        return decode_snapshot(document)

    async def call(
        self,
        method: str,
        path: str,
        query: dict | None = None,
        timeout: float = RESPONSE_TIMEOUT_SECONDS,
        body: Any = None,
    ) -> dict:
        """Send one request and decode the JSON object of its response.

        Args:
            method: HTTP method.
            path: Path of the request.
            query: Query parameters, or None.
            timeout: Seconds within which the response must arrive.
            body: Body of the request, encoded as JSON, or None for an empty body.

        Returns:
            The object; its field "conflict" is true if a condition did not hold.

        Raises:
            HistoryTruncated: The store no longer holds the requested changes.
            StoreUnavailable: The store did not respond, or its response is an error
                or malformed.
        """
        self.call_count += 1
        target = f"{path}?{urlencode(query)}" if query else path
        raw = b"" if body is None else msgspec.json.encode(body)
        headers = (("Content-Type", "application/json"),) if raw else ()
        try:
            with trio.fail_after(timeout):
                response = await self.connections.call(
                    "store", self.address, method, target, raw, headers
                )
        except (ConnectionFailed, trio.TooSlowError) as error:
            # The other idle connections may be dead for the same reason.
            await self.connections.close_idle(self.address)
            raise StoreUnavailable(f"store {path}: {error!r}") from error
        if response.status == 410:
            raise HistoryTruncated(f"store {path}: the history is gone")
        if response.status not in (200, 412):
            raise StoreUnavailable(f"store {path}: status {response.status}")
        try:
            document = msgspec.json.decode(response.body)
        except MALFORMED_JSON_ERRORS as error:
            raise StoreUnavailable(f"store {path}: malformed answer") from error
        if not isinstance(document, dict):
            raise StoreUnavailable(f"store {path}: malformed answer")
        if response.status == 412:
            document["conflict"] = True
        return document


def decode_snapshot(document: dict) -> Snapshot:
    """Convert the parsed body of a response into a snapshot.

    Only rows of the empty part are kept. The change feed also returns those of other
    parts, whose keys may be the same.

    Args:
        document: JSON object with rows, store version and store time.

    Raises:
        StoreUnavailable: The response is malformed.
    """
    try:
        return Snapshot(
            rows=tuple(
                decode_row(row)
                for row in document.get("rows", ())
                if row.get("part", "") == ""
            ),
            version=check_integer(document["ver"], most=LARGEST_VERSION),
            store_time=check_number(document.get("now-ms", 0)) / 1000,
        )
    except INVALID_DOCUMENT_ERRORS as error:
        raise StoreUnavailable(f"malformed answer: {error!r}") from error


def decode_row(row: dict) -> StoredRow:
    """Convert one row of a response; a removed row gets the value None.

    Raises:
        KeyError: A field is missing.
        TypeError: A field has the wrong type.
        ValueError: The value has characters that are not ASCII, or the version is out
            of range.
    """
    key, version = row["key"], row["ver"]
    if not isinstance(key, str):
        raise TypeError(f"the key of a row must be a string, not {key!r}")
    check_integer(version, most=LARGEST_VERSION)
    if row.get("removed"):
        return StoredRow(key, version, None)
    try:
        value = base64.b64decode(row["value"])
    except binascii.Error:
        # The value, which other programs may write, is not valid base64. The row is
        # kept for its version, with an empty value that no decoder accepts.
        value = b""
    return StoredRow(key, version, value)
