"""Pool of HTTP connections to endpoints and the platform, by address."""

from __future__ import annotations

import contextlib
import errno
import math
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import httpcore
import trio
from loguru import logger

from pistachioreach.decoding import split_address
from pistachioreach.endpoints.http_connection import (
    CONNECT_TIMEOUT_SECONDS,
    CONNECTION_EXTENSION,
    ReadLimit,
    open_connection,
)
from pistachioreach.errors import ConnectionFailed, MisplacedResponse

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from pistachioreach.endpoints.http_connection import HttpConnection

__all__ = ["Connections", "Exchange", "HttpResponse", "read_body"]

#: Seconds after which an idle connection is closed; a connection that is idle for
#: longer may die unnoticed.
KEEPALIVE_SECONDS = 15.0
#: Maximum number of idle connections per address.
MAX_IDLE_PER_ADDRESS = 32
#: Maximum number of idle connections in all, an eighth of the descriptors of the
#: smallest VMs. The others are for callers, streams and other entries.
MAX_IDLE = 512
#: Maximum number of bytes of a response that is kept in memory until it is complete.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
#: Maximum number of parts, such as chunks, of such a response: the largest response in
#: parts of 512 bytes. The HTTP parser takes about 25 microseconds for each part.
MAX_RESPONSE_PARTS = MAX_RESPONSE_BYTES // 512
#: Number of parts after which other tasks may run. Parts that were received together
#: are parsed without waiting for the network.
PARTS_PER_CHECKPOINT = 256
#: Seconds by which a connection is dropped before the idle timeout that the endpoint
#: states, since a request needs a few milliseconds to arrive.
IDLE_MARGIN_SECONDS = 0.5
#: Seconds for which each connection to a peer is used once after the peer sent bytes
#: that belong to no request. More of them may follow on its other connections, and
#: what arrives between a header section and its body is not always recognized.
SINGLE_USE_SECONDS = 30.0
#: Bytes of a surplus that a log line quotes.
QUOTED_BYTES = 60

#: Error numbers by which this process, and not the peer, is why no socket was opened.
LOCAL_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
#: Exceptions of httpcore and trio when a connection cannot be opened or breaks.
TRANSPORT_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    httpcore.ConnectionNotAvailable,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
)


class HttpResponse(NamedTuple):
    """Complete HTTP response.

    Attributes:
        status: Status code.
        headers: Values of the header fields by name, in lower case.
        body: Body of the response.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Exchange:
    """Request that has been sent, and its response with an unread body.

    Args:
        response: The response, whose body has not been read.
        earlier_responses: Number of responses that came on the connection before.
    """

    def __init__(self, response: httpcore.Response, earlier_responses: int = 0) -> None:
        #: The response, whose body has not been read.
        self.response = response
        #: Number of responses that came on the connection before.
        self.earlier_responses = earlier_responses
        #: Seconds that the connection may stay idle afterwards; 0 closes it.
        self.idle_seconds = KEEPALIVE_SECONDS
        #: Whether the response belongs to another request.
        self.misplaced = False


class SendTracker:
    """Tracks whether any byte of a request may have been sent.

    Args:
        on_send: Called just before the first byte of the request is sent. If it raises
            an exception, nothing is sent.
    """

    def __init__(self, on_send: Callable[[], None]) -> None:
        #: Called just before the first byte of the request is sent.
        self.on_send = on_send
        #: Whether httpcore has started to write the request.
        self.sent = False

    async def trace(self, name: str, info: dict) -> None:
        """Handle one trace event of httpcore."""
        if name.endswith("send_request_headers.started"):
            self.on_send()
            self.sent = True


class Connections:
    """Connection pool by address; each connection serves one request at a time.

    The pool of httpcore examines every pair of its connections on each request,
    which cost 28 ms of CPU time per non-repeatable call at 20 connections.

    Args:
        max_idle: Maximum number of idle connections in all.
    """

    def __init__(self, max_idle: int = MAX_IDLE) -> None:
        #: Maximum number of idle connections in all.
        self.max_idle = max_idle
        #: Idle connections of each `ip:port`, each with the monotonic time in
        #: seconds until which it may be used; the most recently used is the last.
        self.idle: dict[str, list[tuple[HttpConnection, float]]] = {}
        #: Time by trio's clock until which the connections to an `ip:port` are used
        #: once.
        self.single_use_until: dict[str, float] = {}

    async def acquire(self, address: str, fresh: bool) -> HttpConnection:
        """Return an idle connection, or open one.

        Args:
            address: `ip:port` of the peer.
            fresh: Whether to return a new connection in any case.

        Raises:
            httpcore.ConnectError: The connection could not be opened.
            httpcore.ConnectTimeout: The peer did not respond in time.
        """
        while not fresh and (idle := self.idle.get(address)):
            connection, until = idle.pop()
            if trio.current_time() < until and not connection.has_expired():
                return connection
            # The connection is too old, was closed by the peer, or has received
            # bytes that belong to no request.
            with trio.CancelScope(shield=True):
                surplus = await connection.read_surplus()
                await close(connection)
                await self.handle_surplus(address, connection, surplus)
        return await open_connection(address)

    async def release(
        self,
        address: str,
        connection: HttpConnection,
        idle_seconds: float = KEEPALIVE_SECONDS,
    ) -> None:
        """Keep a connection for later requests, or close it.

        Args:
            address: `ip:port` of the peer.
            connection: The connection.
            idle_seconds: Seconds for which the peer keeps an idle connection.
        """
        now = connection.idle_since = trio.current_time()
        if connection.is_idle():
            await self.handle_surplus(address, connection, connection.surplus)
        idle = self.idle.setdefault(address, [])
        usable_seconds = min(idle_seconds, KEEPALIVE_SECONDS) - IDLE_MARGIN_SECONDS
        if (
            connection.is_idle()
            and now >= self.single_use_until.get(address, -math.inf)
            and usable_seconds > 0
            and len(idle) < MAX_IDLE_PER_ADDRESS
        ):
            idle.append((connection, now + usable_seconds))
            # The address that was used last comes last.
            self.idle[address] = self.idle.pop(address)
            await self.close_excess()
            return
        await close(connection)

    async def handle_surplus(
        self, address: str, connection: HttpConnection, data: bytes
    ) -> None:
        """Log bytes, if any, that belong to no request, and limit the use of the peer.

        Args:
            address: `ip:port` of the peer.
            connection: The connection that received the bytes.
            data: The bytes, or some of them.
        """
        if not data:
            return
        logger.bind(
            address=address,
            bytes=len(data),
            beginning=repr(data[:QUOTED_BYTES]),
            responses=connection.response_count,
            idle=round(trio.current_time() - connection.idle_since, 4),
        ).warning("bytes that belong to no request")
        await self.use_once(address)

    async def use_once(self, address: str) -> None:
        """Use each connection to a peer once for some time, and close its idle ones."""
        now = trio.current_time()
        for known, until in list(self.single_use_until.items()):
            if now >= until:
                del self.single_use_until[known]
        self.single_use_until[address] = now + SINGLE_USE_SECONDS
        await self.close_idle(address)

    async def close_excess(self) -> None:
        """Close the idle connections over the limit, of the least recently used."""
        excess = sum(len(idle) for idle in self.idle.values()) - self.max_idle
        while excess > 0:
            address, idle = next(iter(self.idle.items()))
            if not idle:
                del self.idle[address]
                continue
            connection, _ = idle.pop(0)
            excess -= 1
            await close(connection)

    async def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle):
            await self.close_idle(address)

    async def close_idle(self, address: str) -> None:
        """Close the idle connections of an address; later requests open new ones."""
        for connection, _ in self.idle.pop(address, []):
            await close(connection)

    async def is_listening(self, address: str) -> bool:
        """Return whether anything accepts connections at an address.

        Args:
            address: `ip:port` of the peer. One that is silent counts as listening, and
                so does one to which this process cannot open a socket.
        """
        with trio.move_on_after(CONNECT_TIMEOUT_SECONDS):
            try:
                stream = await trio.open_tcp_stream(*split_address(address))
            except ValueError:
                return False
            except OSError as error:
                causes = getattr(error.__cause__, "exceptions", (error,))
                return any(cause.errno in LOCAL_ERRORS for cause in causes)
            await trio.aclose_forcefully(stream)
        return True

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
        on_send: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[httpcore.Response]:
        """Send a request and yield its response with an unread body.

        Args:
            peer: Name of the peer, for error messages.
            address: `ip:port` of the peer.
            method: HTTP method.
            path: Path and query.
            body: Body of the request.
            headers: Header fields in addition to Host and Content-Length.
            fresh: Whether to open a new connection instead of using an idle one.
            on_send: As for `send`.

        Raises:
            ConnectionFailed: The connection could not be opened or broke; its
                `sent` states whether any byte of the request may have been sent.
        """
        fields = [("Host", address), ("Content-Length", str(len(body))), *headers]
        target = path.encode("ascii")
        async with self.send(
            peer, address, method, target, fields, body, fresh, on_send=on_send
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
        unlimited: bool = False,
        on_send: Callable[[], None] = lambda: None,
    ) -> AsyncIterator[Exchange]:
        """Send a request with exactly the given header fields.

        The connection is closed if the context ends before the body has been read, and
        if the response is longer than allowed.

        Args:
            peer: Name of the peer, for error messages.
            address: `ip:port` of the peer.
            method: HTTP method.
            target: Path and query.
            fields: All header fields, as pairs of name and value.
            body: Body of the request.
            fresh: Whether to open a new connection instead of using an idle one.
            unlimited: Whether the body of the response may be of any length.
            on_send: Called just before the first byte of the request is sent. If it
                raises an exception, nothing is sent.

        Raises:
            ConnectionFailed: The connection could not be opened or broke; its
                `sent` states whether any byte of the request may have been sent.
        """
        tracker = SendTracker(on_send)
        request = make_request(peer, address, method, target, fields, body, tracker)
        idle_seconds = KEEPALIVE_SECONDS
        connection = None
        reused = False
        try:
            connection = await self.acquire(address, fresh)
            reused = connection.is_idle()
            response = await connection.handle_async_request(request)
            connection.limit.remaining = math.inf if unlimited else MAX_RESPONSE_BYTES
            exchange = Exchange(response, connection.response_count - 1)
            reused = False
            try:
                yield exchange
            finally:
                idle_seconds = exchange.idle_seconds
                with trio.CancelScope(shield=True):
                    await response.aclose()
                    if exchange.misplaced:
                        await self.use_once(address)
        except MisplacedResponse as error:
            await self.use_once(address)
            raise ConnectionFailed(peer, tracker.sent, str(error), reused) from error
        except TRANSPORT_ERRORS as error:
            detail = str(error) or type(error).__name__
            raise ConnectionFailed(peer, tracker.sent, detail, reused) from error
        finally:
            if connection is not None:
                with trio.CancelScope(shield=True):
                    await self.release(address, connection, idle_seconds)

    async def call(self, peer: str, address: str, *args, **kwargs) -> HttpResponse:
        """Send a request and return its complete response.

        Args:
            peer: Name of the peer, for error messages.
            address: `ip:port` of the peer.
            *args: Further positional arguments of `stream`.
            **kwargs: Keyword arguments of `stream`.

        Raises:
            ConnectionFailed: As for `stream`.
        """
        async with self.stream(peer, address, *args, **kwargs) as response:
            body = await read_body(response)
            headers = {
                name.decode("ascii").lower(): value.decode("latin-1")
                for name, value in response.headers
            }
            return HttpResponse(response.status, headers, body)


async def read_body(response: httpcore.Response) -> bytes:
    """Return the complete body of a response.

    Raises:
        httpcore.ReadError: The connection broke, or the body is too long or consists
            of too many parts.
        MisplacedResponse: Another response stands in place of the body.
    """
    parts: list[bytes] = []
    limit = ReadLimit()
    limit.remaining = MAX_RESPONSE_BYTES
    async for part in response.aiter_stream():
        limit.count(len(part))
        parts.append(part)
        if len(parts) > MAX_RESPONSE_PARTS:
            raise httpcore.ReadError("the response has too many parts")
        if len(parts) % PARTS_PER_CHECKPOINT == 0:
            await trio.lowlevel.checkpoint()
    body = b"".join(parts)
    response.extensions[CONNECTION_EXTENSION].check_body(body)
    return body


def make_request(
    peer: str,
    address: str,
    method: str,
    target: bytes,
    fields: list,
    body: bytes,
    tracker: SendTracker,
) -> httpcore.Request:
    """Return a request with exactly the given header fields.

    Raises:
        ConnectionFailed: The address is not of the form `ip:port`, or a header field
            has characters that are not ASCII.
    """
    try:
        host, port = split_address(address)
        return httpcore.Request(
            method,
            httpcore.URL(scheme=b"http", host=host, port=port, target=target),
            headers=fields,
            content=body,
            extensions={"trace": tracker.trace},
        )
    except (TypeError, ValueError) as error:
        raise ConnectionFailed(peer, False, f"no request: {error}") from error


async def close(connection: HttpConnection) -> None:
    """Close a connection; ignore errors of a connection that is already broken."""
    with trio.CancelScope(shield=True), contextlib.suppress(*TRANSPORT_ERRORS):
        await connection.aclose()
