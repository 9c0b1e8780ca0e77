"""HTTP connections to endpoints and the platform, kept by address."""

from __future__ import annotations

import contextlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import httpcore
import trio

from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["Answer", "Connections"]

#: Seconds after which an idle connection is closed; longer ones go silent unseen.
KEEPALIVE_SECONDS = 15.0
#: Seconds to wait for a TCP connection; links are a few milliseconds long.
CONNECT_SECONDS = 1.0
#: Idle connections kept for one address.
IDLE_PER_ADDRESS = 32

#: What httpcore raises when a connection cannot be opened or breaks.
BROKEN = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class Answer(NamedTuple):
    """A whole HTTP answer.

    Attributes:
        status: Status code.
        headers: Header fields, names in lower case.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class SentMark:
    """Notes whether a request's first byte may have left."""

    def __init__(self) -> None:
        #: True once httpcore has begun to write the request.
        self.sent = False

    async def trace(self, name: str, info: dict) -> None:
        """Take one trace event of httpcore."""
        if name.endswith("send_request_headers.started"):
            self.sent = True


class Connections:
    """Connections by address, each used for one request at a time.

    The library's own pool looks at every pair of its connections for each
    request: 28 ms of processor time an unrepeatable call at 20 connections.
    """

    def __init__(self) -> None:
        #: Idle connections of each `ip:port`, the one used last at the end.
        self.idle: dict[str, list[httpcore.AsyncHTTPConnection]] = {}

    def take(self, address: str, fresh: bool) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection, or one that has still to be opened."""
        idle = self.idle.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if not connection.has_expired():
                return connection
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode("ascii"), int(port))
        return httpcore.AsyncHTTPConnection(origin, keepalive_expiry=KEEPALIVE_SECONDS)

    async def give_back(
        self, address: str, connection: httpcore.AsyncHTTPConnection
    ) -> None:
        """Keep a connection for later, or close it."""
        idle = self.idle.setdefault(address, [])
        if connection.is_idle() and len(idle) < IDLE_PER_ADDRESS:
            idle.append(connection)
            return
        await close(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            await self.retire(address)

    async def retire(self, address: str) -> None:
        """Close the idle connections of an address; later requests connect anew."""
        for connection in self.idle.pop(address, []):
            await close(connection)

    @asynccontextmanager
    async def stream(
        self,
        peer: str,
        address: str,
        method: str,
        path: str,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
        fresh: bool = False,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and give its answer with an unread body.

        Args:
            peer: Name of the peer, for errors.
            address: Its `ip:port`.
            method: HTTP method.
            path: Path and query.
            body: Body of the request.
            headers: Further header fields.
            fresh: Whether to use a new connection, not one that was idle.

        Raises:
            ConnectionFailed: The connection could not be opened or broke; its
                `sent` says whether a byte of the request may have left.
        """
        mark = SentMark()
        connection = self.take(address, fresh)
        request = httpcore.Request(
            method,
            f"http://{address}{path}",
            headers=[("Host", address), ("Content-Length", str(len(body))), *headers],
            content=body,
            extensions={
                "trace": mark.trace,
                "timeout": {"connect": CONNECT_SECONDS},
            },
        )
        try:
            response = await connection.handle_async_request(request)
            try:
                yield response
            finally:
                with trio.CancelScope(shield=True):
                    await response.aclose()
        except BROKEN as error:
            detail = str(error) or type(error).__name__
            raise ConnectionFailed(peer, mark.sent, detail) from error
        finally:
            with trio.CancelScope(shield=True):
                await self.give_back(address, connection)

    async def call(self, peer: str, address: str, *args, **kwargs) -> Answer:
        """Send a request and return its whole answer.

        Takes the arguments of `stream` and raises what it raises.
        """
        async with self.stream(peer, address, *args, **kwargs) as response:
            body = await response.aread()
            headers = {
                name.decode("ascii").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            return Answer(response.status, headers, body)


async def close(connection: httpcore.AsyncHTTPConnection) -> None:
    """Close a connection, also one that broke."""
    with contextlib.suppress(*BROKEN):
        await connection.aclose()
