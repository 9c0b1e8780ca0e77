"""HTTP connections to endpoints: one small pool for each address."""

from __future__ import annotations

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
#: Connections to one endpoint; it must never bind, since engines and admission
#: bound the streams, and a request that waits here looks like a dead endpoint.
CONNECTIONS_PER_ENDPOINT = 10_000

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
    """Pools of connections, by address."""

    def __init__(self) -> None:
        #: One pool for each `ip:port`.
        self.pools: dict[str, httpcore.AsyncConnectionPool] = {}

    def pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Return the pool of an address."""
        pool = self.pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=CONNECTIONS_PER_ENDPOINT,
                keepalive_expiry=KEEPALIVE_SECONDS,
            )
            self.pools[address] = pool
        return pool

    async def close(self) -> None:
        """Close all connections."""
        for pool in self.pools.values():
            await pool.aclose()
        self.pools.clear()

    async def retire(self, address: str) -> None:
        """Forget the pool of an address, so that later requests connect anew.

        Streams that are open on the pool go on; they close it when they end.
        """
        self.pools.pop(address, None)

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
            fresh: Whether to use a new connection, not one of the pool.

        Raises:
            ConnectionFailed: The connection could not be opened or broke; its
                `sent` says whether a byte of the request may have left.
        """
        mark = SentMark()
        connection = self.pool(address)
        if fresh:
            connection = httpcore.AsyncConnectionPool(max_connections=1)
        request = httpcore.Request(
            method,
            f"http://{address}{path}",
            headers=[("Host", address), ("Content-Length", str(len(body))), *headers],
            content=body,
            extensions={
                "trace": mark.trace,
                "timeout": {"connect": CONNECT_SECONDS, "pool": CONNECT_SECONDS},
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
            if fresh:
                with trio.CancelScope(shield=True):
                    await connection.aclose()

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
