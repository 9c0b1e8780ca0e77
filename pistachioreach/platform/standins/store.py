"""Stand-in for the platform's store, with fault injection."""

from __future__ import annotations

import base64
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs

import msgspec
import trio

from pistachioreach.server import serve_lifespan

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["StandInStore", "StoreCopy", "StoreFaults"]

#: Maximum rows per page; the limit of the platform's own store is 500.
PAGE_ROWS = 50
#: Number of changes that the history keeps for the change feed.
HISTORY_CHANGES = 1000
#: Tables that routers must not write: only the operator and the endpoints do.
READ_ONLY_TABLES = ("op", "servers")

#: Header fields of all responses.
JSON_FIELDS = [(b"content-type", b"application/json")]


class StoreFaults:
    """Faults of the store that are currently injected; initially none."""

    def __init__(self) -> None:
        #: Status code with which the store rejects every request, such as 503 or
        #: 429, or 0.
        self.status = 0
        #: Whether requests get no response.
        self.silent = False
        #: Number of future writes that take effect but get no complete response.
        self.lost_writes = 0
        #: Seconds by which each response is delayed.
        self.delay = 0.0


class Change(NamedTuple):
    """Change of one row.

    Attributes:
        version: Version of the store after the change.
        table: Table of the row.
        key: Key of the row.
        value: New value in base64, or None if the row was removed.
    """

    version: int
    table: str
    key: str
    value: str | None


class StoreCopy(NamedTuple):
    """Older state of the store, from which it can come back.

    Attributes:
        version: Version of the last change.
        rows: Version and value in base64 of each row, by table and key.
    """

    version: int
    rows: dict[tuple[str, str], tuple[int, str]]


class StandInStore:
    """Stand-in for the store, as an ASGI application."""

    def __init__(self) -> None:
        #: Faults that are currently injected.
        self.faults = StoreFaults()
        #: Version and value in base64 of each row, by table and key.
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        #: Version of the last change.
        self.version = 0
        #: Number of times that the store came back from an older copy, plus one.
        self.era = 1
        #: The most recent changes.
        self.history: deque[Change] = deque(maxlen=HISTORY_CHANGES)
        #: Oldest version after which the change feed can continue.
        self.oldest = 0
        #: Event that is set, and then replaced, at each change.
        self.changed = trio.Event()
        #: Maximum rows per page.
        self.page_rows = PAGE_ROWS
        #: Number of requests by path.
        self.calls: Counter[str] = Counter()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row directly, as the operator or an endpoint does.

        Args:
            table: Table of the row.
            key: Key of the row.
            value: Bytes, a value to encode as JSON, or None to remove the row.
        """
        if value is not None and not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        self.version += 1
        self.set_row(table, key, value and base64.b64encode(value).decode())
        self.notify_feeds()

    def set_row(self, table: str, key: str, value: str | None) -> None:
        """Set or remove a row at the current version, and add it to the history.

        Args:
            table: Table of the row.
            key: Key of the row.
            value: Value in base64, or None to remove the row.
        """
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.history.append(Change(self.version, table, key, value))

    def notify_feeds(self) -> None:
        """Wake all change feed requests that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def drop_history(self) -> None:
        """Drop all changes from the history, so that change feeds get status 410."""
        self.oldest = self.version
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(self.version, dict(self.rows))

    def restore(self, copy: StoreCopy) -> None:
        """Come back from an older copy; later versions are given out again."""
        self.version, self.rows = copy.version, dict(copy.rows)
        self.era += 1
        self.drop_history()
        self.notify_feeds()

    def era_field(self) -> tuple[bytes, bytes]:
        """Return the header field that states the era in all responses."""
        return b"store-era", str(self.era).encode()

    async def __call__(self, scope: dict, receive: Callable, send: Callable) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serve_lifespan(receive, send)
            return
        self.calls[scope["path"]] += 1
        body = await read_all(receive)
        if self.faults.silent:
            await trio.sleep_forever()
        await trio.sleep(self.faults.delay)
        if self.faults.status:
            await send_json(send, self.faults.status, {}, self.era_field())
            return
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        status, document = await self.handler(scope["path"])(query, body)
        if scope["path"] == "/rows-tx" and self.faults.lost_writes:
            # Returning before the body is sent makes the server close the connection.
            self.faults.lost_writes -= 1
            fields = [(b"content-length", b"2"), self.era_field()]
            await send(
                {"type": "http.response.start", "status": status, "headers": fields}
            )
            return
        await send_json(send, status, document, self.era_field())

    def handler(self, path: str) -> Callable[..., Awaitable[tuple[int, dict]]]:
        """Return the method that serves a path."""
        handlers: dict[str, Callable[..., Awaitable[tuple[int, dict]]]] = {
            "/rows-get": self.read,
            "/rows-feed": self.feed,
            "/rows-tx": self.transact,
        }
        return handlers[path]

    async def read(self, query: dict, body: bytes) -> tuple[int, dict]:
        """Return the status and a page of a table."""
        start = query.get("from", "")
        rows = [
            {"table": t, "part": "", "key": k, "value": value, "ver": version}
            for (t, k), (version, value) in sorted(self.rows.items())
            if t == query["table"] and k >= start
        ]
        page = {
            "rows": rows[: self.page_rows],
            "more-pages": len(rows) > self.page_rows,
        }
        return 200, page | self.version_fields()

    async def feed(self, query: dict, body: bytes) -> tuple[int, dict]:
        """Return the status and the changes of a table; wait for the first change."""
        after = int(query["after"])
        era = self.era
        with trio.move_on_after(int(query["wait-ms"]) / 1000):
            while not self.changes(query["table"], after):
                if era != self.era or not self.has_changes_since(after):
                    return 410, {}
                await self.changed.wait()
        if era != self.era or not self.has_changes_since(after):
            return 410, {}
        rows = [
            {"table": c.table, "part": "", "key": c.key, "ver": c.version}
            | ({"removed": True} if c.value is None else {"value": c.value})
            for c in self.changes(query["table"], after)
        ]
        return 200, {"rows": rows} | self.version_fields()

    def has_changes_since(self, after: int) -> bool:
        """Return whether the history holds all changes since a version."""
        return self.oldest <= after <= self.version

    def changes(self, table: str, after: int) -> list[Change]:
        """Return the changes of a table after a store version."""
        return [c for c in self.history if c.table == table and c.version > after]

    async def transact(self, query: dict, body: bytes) -> tuple[int, dict]:
        """Apply the writes if all conditions hold, and return the status."""
        transaction = msgspec.json.decode(body)
        if any(write["table"] in READ_ONLY_TABLES for write in transaction["writes"]):
            return 403, {}
        for row in transaction["expected"]:
            version, _ = self.rows.get((row["table"], row["key"]), (0, ""))
            if version != row["ver"]:
                return 412, {"rows": []} | self.version_fields()
        self.version += 1
        for write in transaction["writes"]:
            self.set_row(write["table"], write["key"], write["value"])
        self.notify_feeds()
        return 200, self.version_fields()

    def version_fields(self) -> dict:
        """Return the fields of all responses about rows: store version and time."""
        return {"ver": self.version, "now-ms": round(trio.current_time() * 1000)}


async def read_all(receive: Callable) -> bytes:
    """Read and return the complete body of a request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def send_json(
    send: Callable, status: int, document: dict, *fields: tuple[bytes, bytes]
) -> None:
    """Send a JSON response.

    Args:
        send: ASGI callable that sends the response.
        status: Status code.
        document: Object to send.
        *fields: Further header fields.
    """
    body = msgspec.json.encode(document)
    length = (b"content-length", str(len(body)).encode())
    fields = (*JSON_FIELDS, length, *fields)
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body, "more_body": False})
