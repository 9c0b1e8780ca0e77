"""Stand-in of the platform's store, with faults on demand."""

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

__all__ = ["StandInStore", "StoreFaults"]

#: Rows of one page; the platform's holds 500.
PAGE_ROWS = 50
#: Changes that are remembered for feeds.
HISTORY = 1000
#: Tables that only the operator and the endpoints write to.
FOREIGN_TABLES = ("op", "servers")

#: Header fields of all answers.
JSON_FIELDS = [(b"content-type", b"application/json")]


class StoreFaults:
    """What is wrong with the store; all off at first."""

    def __init__(self) -> None:
        #: Status with which every call is refused, as 503 or 429, or 0.
        self.status = 0
        #: Whether calls get no answer.
        self.silent = False
        #: Writes that are done without an answer, still to come.
        self.lost_writes = 0
        #: Seconds that an answer takes.
        self.delay = 0.0


class Change(NamedTuple):
    """A change of one row.

    Attributes:
        version: Version of the store after it.
        table: Table of the row.
        key: Key of the row.
        value: New value in base64, or None.
    """

    version: int
    table: str
    key: str
    value: str | None


class StandInStore:
    """The store as an ASGI application."""

    def __init__(self) -> None:
        #: What is wrong now.
        self.faults = StoreFaults()
        #: Rows by table and key: version and value in base64.
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        #: Version of the last change.
        self.version = 0
        #: The last changes.
        self.history: deque[Change] = deque(maxlen=HISTORY)
        #: Oldest version from which a feed may go on.
        self.oldest = 0
        #: Set at each change and then replaced.
        self.changed = trio.Event()
        #: Calls by path.
        self.calls: Counter[str] = Counter()

    def put(self, table: str, key: str, value: Any) -> None:
        """Write a row, as the operator and the endpoints do.

        Args:
            table: Table of the row.
            key: Key of the row.
            value: Bytes, something to be encoded in JSON, or None to remove it.
        """
        if value is not None and not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        self.version += 1
        self.set_row(table, key, value and base64.b64encode(value).decode())
        self.wake()

    def set_row(self, table: str, key: str, value: str | None) -> None:
        """Set a row at the current version."""
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.history.append(Change(self.version, table, key, value))

    def wake(self) -> None:
        """Wake the feeds that wait for a change."""
        self.changed.set()
        self.changed = trio.Event()

    def drop_history(self) -> None:
        """Forget all changes so far."""
        self.oldest = self.version
        self.history.clear()

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
            await answer(send, self.faults.status, {})
            return
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        calls: dict[str, Callable[..., Awaitable[tuple[int, dict]]]] = {
            "/rows-get": self.read,
            "/rows-feed": self.feed,
            "/rows-tx": self.transact,
        }
        status, document = await calls[scope["path"]](query, body)
        if scope["path"] == "/rows-tx" and self.faults.lost_writes:
            # Ends the connection before the body.
            self.faults.lost_writes -= 1
            fields = [(b"content-length", b"2")]
            await send(
                {"type": "http.response.start", "status": status, "headers": fields}
            )
            return
        await answer(send, status, document)

    async def read(self, query: dict, body: bytes) -> tuple[int, dict]:
        """Return a page of a table."""
        start = query.get("from", "")
        rows = [
            {"table": t, "part": "", "key": k, "value": value, "ver": version}
            for (t, k), (version, value) in sorted(self.rows.items())
            if t == query["table"] and k >= start
        ]
        page = {"rows": rows[:PAGE_ROWS], "more-pages": len(rows) > PAGE_ROWS}
        return 200, page | self.now()

    async def feed(self, query: dict, body: bytes) -> tuple[int, dict]:
        """Return the changes of a table, waiting for the first."""
        after = int(query["after"])
        with trio.move_on_after(int(query["wait-ms"]) / 1000):
            while not self.changes(query["table"], after):
                if after < self.oldest:
                    return 410, {}
                await self.changed.wait()
        if after < self.oldest:
            return 410, {}
        rows = [
            {"table": c.table, "part": "", "key": c.key, "ver": c.version}
            | ({"removed": True} if c.value is None else {"value": c.value})
            for c in self.changes(query["table"], after)
        ]
        return 200, {"rows": rows} | self.now()

    def changes(self, table: str, after: int) -> list[Change]:
        """Return the changes of a table after a version."""
        return [c for c in self.history if c.table == table and c.version > after]

    async def transact(self, query: dict, body: bytes) -> tuple[int, dict]:
        """Apply writes if their conditions hold."""
        call = msgspec.json.decode(body)
        if any(write["table"] in FOREIGN_TABLES for write in call["writes"]):
            return 403, {}
        for row in call["expected"]:
            version, _ = self.rows.get((row["table"], row["key"]), (0, ""))
            if version != row["ver"]:
                return 412, {"rows": []} | self.now()
        self.version += 1
        for write in call["writes"]:
            self.set_row(write["table"], write["key"], write["value"])
        self.wake()
        return 200, self.now()

    def now(self) -> dict:
        """Return what all answers about rows hold."""
        return {"ver": self.version, "now-ms": round(trio.current_time() * 1000)}


async def read_all(receive: Callable) -> bytes:
    """Read the body of a request."""
    body = b""
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body"):
            return body


async def answer(send: Callable, status: int, document: dict) -> None:
    """Send an answer in JSON."""
    body = msgspec.json.encode(document)
    fields = [*JSON_FIELDS, (b"content-length", str(len(body)).encode())]
    await send({"type": "http.response.start", "status": status, "headers": fields})
    await send({"type": "http.response.body", "body": body, "more_body": False})
