"""Client of the platform's metadata store, which holds tables of versioned rows."""

from __future__ import annotations

import base64
import binascii
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import urlencode

import msgspec
import trio
from loguru import logger

from pistachioreach.decoding import (
    INVALID_DOCUMENT_ERRORS,
    LARGEST_ERA,
    LARGEST_VERSION,
    MALFORMED_JSON_ERRORS,
    check_integer,
    check_number,
    parse_integer,
)
from pistachioreach.errors import (
    ConnectionFailed,
    HistoryTruncated,
    StoreConflict,
    StoreUnavailable,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = [
    "CONFIGURATION_TABLE",
    "ENDPOINT_TABLE",
    "UNKNOWN_ERA",
    "Position",
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
#: Header field in which each response states the store's era.
ERA_FIELD = "store-era"
#: Era before the store has stated one.
UNKNOWN_ERA = -1


class Position(NamedTuple):
    """Point in the store's sequence of changes, in chronological order.

    Attributes:
        era: Era of the store, which rises by one each time that the store comes back
            from an older copy; UNKNOWN_ERA if the store has stated none.
        version: Version of the store; an older copy gives out later ones again.
    """

    era: int
    version: int


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
        era: Era of the store to which all versions belong.
    """

    rows: tuple[StoredRow, ...]
    version: int
    store_time: float
    era: int = UNKNOWN_ERA

    @property
    def position(self) -> Position:
        """Point up to which the rows are complete."""
        return Position(self.era, self.version)


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
        on_era: Called with each new era and the one before it.
    """

    def __init__(
        self,
        connections: Connections,
        address: str,
        on_era: Callable[[int, int], None] = lambda era, before: None,
    ) -> None:
        #: HTTP connections to the store.
        self.connections = connections
        #: Address of the store, `ip:port`.
        self.address = address
        #: Called with each new era and the one before it.
        self.on_era = on_era
        #: Number of calls made so far.
        self.call_count = 0
        #: Latest era that the store has stated, or UNKNOWN_ERA.
        self.era = UNKNOWN_ERA
        #: Number of times that the store has come back from an older copy.
        self.restore_count = 0
        #: Scopes of the polls of the change feed in progress.
        self.polls: set[trio.CancelScope] = set()

    async def read(self, table: str) -> Snapshot:
        """Return all rows of a table, read page by page.

        Raises:
            StoreUnavailable: The store did not respond or reported an error, or it came
                back from an older copy between two pages.
        """
        rows: list[StoredRow] = []
        start = ""
        first = None
        while True:
            query = {"table": table, "part": "", "from": start}
            document = await self.call("GET", "/rows-get", query)
            page = self.decode_snapshot(document)
            # The version of the first page counts: later pages may include later
            # changes, which the change feed then delivers again.
            first = first or page
            if page.era != first.era:
                raise StoreUnavailable("the store was restored between two pages")
            rows.extend(page.rows)
            if not document.get("more-pages") or not page.rows:
                return page._replace(rows=tuple(rows), version=first.version)
            start = page.rows[-1].key + "\0"

    async def wait_for_changes(self, table: str, after: int, wait: float) -> Snapshot:
        """Return the changed rows of a table, by long polling the change feed.

        Args:
            table: Name of the table.
            after: Store version up to which the caller knows all changes.
            wait: Seconds that the store waits for the first change.

        Raises:
            HistoryTruncated: The store no longer holds all changes since `after`, or it
                came back from an older copy meanwhile.
            StoreUnavailable: The store did not respond or reported an error.
        """
        query = {"table": table, "after": after, "wait-ms": round(wait * 1000)}
        with trio.CancelScope() as scope:
            self.polls.add(scope)
            try:
                document = await self.call(
                    "GET", "/rows-feed", query, wait + RESPONSE_TIMEOUT_SECONDS
                )
            finally:
                self.polls.discard(scope)
            return self.decode_snapshot(document)
        raise HistoryTruncated("the store was restored during the poll")

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
        return self.decode_snapshot(document)

    def decode_snapshot(self, document: dict) -> Snapshot:
        """Convert the parsed body of the latest response into a snapshot.

        Raises:
            StoreUnavailable: The response is malformed.
        """
        return decode_snapshot(document)._replace(era=self.era)

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
            StoreUnavailable: The store did not respond, or its response is an error,
                malformed or of an earlier era.
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
        self.check_era(path, response)
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

    def check_era(self, path: str, response: HttpResponse) -> None:
        """Learn the store's era from a response, whatever its status.

        Raises:
            StoreUnavailable: The response is of an earlier era than one before it.
        """
        era = parse_integer(response.headers.get(ERA_FIELD))
        if era is None or era > LARGEST_ERA:
            return
        if era < self.era:
            raise StoreUnavailable(f"store {path}: response of era {era}")
        if era > self.era:
            self.begin_era(era)

    def begin_era(self, era: int) -> None:
        """Record a later era, and end the polls of changes in the earlier one."""
        if self.era != UNKNOWN_ERA:
            self.restore_count += 1
            logger.bind(era=era, before=self.era, polls=len(self.polls)).warning(
                "the store came back from an older copy"
            )
        before, self.era = self.era, era
        self.on_era(era, before)
        for scope in self.polls:
            scope.cancel()


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
