"""HTTP connections to endpoints and the platform, kept by address."""

from __future__ import annotations

import contextlib
import socket
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import httpcore
import trio

from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

__all__ = ["HttpResponse", "Connections", "Exchange"]

#: Seconds after which an idle connection is closed; longer ones go silent unseen.
KEEPALIVE_SECONDS = 15.0
#: Seconds to wait for a TCP connection; links are a few milliseconds long, and a
#: request whose endpoint cannot be reached goes to another.
CONNECT_SECONDS = 0.3
#: Idle connections kept for one address.
IDLE_PER_ADDRESS = 32
#: Seconds before the end of the idle time that an endpoint states; a request
#: needs a few milliseconds to arrive.
IDLE_MARGIN_SECONDS = 0.5
#: Milliseconds after which unacknowledged bytes end a connection, so that a VM
#: without power, or behind a partition, is noticed.
USER_TIMEOUT_MS = 3000
#: Idle seconds before keep-alive probes, seconds between them, and their number.
KEEPALIVE_PROBES = (2, 1, 3)

#: What httpcore raises when a connection cannot be opened or breaks.
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class HttpResponse(NamedTuple):
    """A whole HTTP answer.

    Attributes:
        status: Status code.
        headers: Header fields, names in lower case.
        body: The body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


#: Options of outgoing connections, as `socket.setsockopt` takes them.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBES[0]),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBES[1]),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES[2]),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class Exchange:
    """A request that has been sent, and its answer with an unread body.

    Args:
        response: The answer.
    """

    def __init__(self, response: httpcore.Response) -> None:
        #: The answer.
        self.response = response
        #: Seconds that the connection may be idle afterwards; 0 closes it.
        self.idle_seconds = KEEPALIVE_SECONDS


class SendTracker:
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
        #: Idle connections of each `ip:port` with the time until which each may
        #: be used, the one used last at the end.
        self.idle: dict[str, list[tuple[httpcore.AsyncHTTPConnection, float]]] = {}

    async def acquire(self, address: str, fresh: bool) -> httpcore.AsyncHTTPConnection:
        """Return an idle connection, or one that has still to be opened."""
        idle = self.idle.get(address, [])
        while idle and not fresh:
            connection, until = idle.pop()
            if trio.current_time() < until and not connection.has_expired():
                return connection
            # Closed by the endpoint, or with bytes that belong to no request.
            await close(connection)
        host, _, port = address.rpartition(":")
        origin = httpcore.Origin(b"http", host.encode("ascii"), int(port))
        return httpcore.AsyncHTTPConnection(origin, socket_options=SOCKET_OPTIONS)

    async def release(
        self,
        address: str,
        connection: httpcore.AsyncHTTPConnection,
        idle_seconds: float = KEEPALIVE_SECONDS,
    ) -> None:
        """Keep a connection for later, or close it."""
        idle = self.idle.setdefault(address, [])
        left = min(idle_seconds, KEEPALIVE_SECONDS) - IDLE_MARGIN_SECONDS
        if connection.is_idle() and left > 0 and len(idle) < IDLE_PER_ADDRESS:
            idle.append((connection, trio.current_time() + left))
            return
        await close(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            await self.close_idle(address)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections of an address; later requests connect anew."""
        for connection, _ in self.idle.pop(address, []):
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
        fields = [("Host", address), ("Content-Length", str(len(body))), *headers]
        target = path.encode("ascii")
        async with self.send(
            peer, address, method, target, fields, body, fresh
        ) as exchange:
            yield exchange.response

    @asynccontextmanager
    async def send(
        self,
        peer: str,
        address: str,
        method: str,
        target: bytes,
        fields: list,
        body: bytes,
        fresh: bool = False,
    ) -> AsyncIterator[Exchange]:
        """Send a request with exactly these header fields.

        Leaving the context before the body has been read closes the connection.

        Args:
            peer: Name of the peer, for errors.
            address: Its `ip:port`.
            method: HTTP method.
            target: Path and query.
            fields: All header fields.
            body: Body of the request.
            fresh: Whether to use a new connection, not one that was idle.

        Raises:
            ConnectionFailed: The connection could not be opened or broke; its
                `sent` says whether a byte of the request may have left.
        """
        mark = SendTracker()
        connection = await self.acquire(address, fresh)
        host, _, port = address.rpartition(":")
        request = httpcore.Request(
            method,
            httpcore.URL(scheme=b"http", host=host, port=int(port), target=target),
            headers=fields,
            content=body,
            extensions={
                "trace": mark.trace,
                "timeout": {"connect": CONNECT_SECONDS},
            },
        )
        idle_seconds = KEEPALIVE_SECONDS
        reused = connection.is_idle()
        try:
            response = await connection.handle_async_request(request)
            exchange = Exchange(response)
            reused = False
            try:
                yield exchange
            finally:
                idle_seconds = exchange.idle_seconds
                with trio.CancelScope(shield=True):
                    await response.aclose()
        except TRANSPORT_ERRORS as error:
            detail = str(error) or type(error).__name__
            raise ConnectionFailed(peer, mark.sent, detail, reused) from error
        finally:
            with trio.CancelScope(shield=True):
                await self.release(address, connection, idle_seconds)

    async def call(self, peer: str, address: str, *args, **kwargs) -> HttpResponse:
        """Send a request and return its whole answer.

        Takes the arguments of `stream` and raises what it raises.
        """
        async with self.stream(peer, address, *args, **kwargs) as response:
            body = await response.aread()
            headers = {
                name.decode("ascii").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            return HttpResponse(response.status, headers, body)


async def close(connection: httpcore.AsyncHTTPConnection) -> None:
    """Close a connection, also one that broke."""
    with contextlib.suppress(*TRANSPORT_ERRORS):
        await connection.aclose()
