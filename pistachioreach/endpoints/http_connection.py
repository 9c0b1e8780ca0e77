"""One HTTP connection to an endpoint or the platform, with limits on what it reads."""

from __future__ import annotations

import contextlib
import re
import socket

import httpcore
import trio

from pistachioreach.decoding import split_address
from pistachioreach.errors import MisplacedResponse

__all__ = [
    "CONNECTION_EXTENSION",
    "CONNECT_TIMEOUT_SECONDS",
    "HttpConnection",
    "ReadLimit",
    "open_connection",
]

#: Timeout of opening a TCP connection. Network latency is a few milliseconds, and a
#: request whose endpoint is unreachable goes to another endpoint.
CONNECT_TIMEOUT_SECONDS = 0.3
#: Maximum number of bytes before the body of a response, interim responses included.
#: A faulty endpoint may send bytes without end.
MAX_HEAD_BYTES = 128 * 1024
#: Maximum number of bytes that are read from an idle connection to describe them.
MAX_SURPLUS_BYTES = 4096
#: TCP keep-alive: idle seconds before the first probe, seconds between probes, and
#: number of probes.
KEEPALIVE_PROBES = (2, 1, 3)
#: Milliseconds after which unacknowledged bytes end a connection, so that a VM that
#: lost power or is behind a network partition is detected. If it is set, it also
#: decides when the probes give up, in place of their number.
USER_TIMEOUT_MS = 1000 * (
    KEEPALIVE_PROBES[0] + KEEPALIVE_PROBES[1] * KEEPALIVE_PROBES[2]
)
#: Beginning of the status line of a response. In a Via field, an address may follow the
#: name of the protocol.
STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}(?: |$)")
#: Key of the extension of a response that holds its `HttpConnection`.
CONNECTION_EXTENSION = "pistachioreach_connection"
#: The same with the end of the line, as a response begins. A text that quotes a status
#: line seldom has it.
RESPONSE_START = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}(?: [^\r\n]*)?\r\n")
#: Status codes of a response that is not an interim one. Other numbers of three digits
#: are no status codes, and 101 answers an offer that no request makes.
FINAL_STATUSES = range(200, 600)
#: Beginning of the protocol version of a response, whose minor version may be any.
PROTOCOL = b"HTTP/1."
#: Control character in a header section, or line that begins with a blank. The parser
#: takes such a line for the rest of the field before it, so that the field in it, which
#: may be the length of the body, is lost.
MALFORMED_LINE = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\n[ \t]|\r(?!\n)")
#: Bytes that an error quotes.
QUOTED_BYTES = 40
#: Header fields by which the end of a body is known.
FRAMING_FIELDS = frozenset((b"content-length", b"transfer-encoding"))
#: Options of outgoing connections, as arguments of `socket.setsockopt`.
SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_PROBES[0]),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_PROBES[1]),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES[2]),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class ReadLimit:
    """Number of bytes that may still be read from a connection."""

    def __init__(self) -> None:
        #: Bytes that may still be read.
        self.remaining: float = MAX_HEAD_BYTES

    def count(self, size: int) -> None:
        """Count bytes that were read.

        Raises:
            httpcore.ReadError: More bytes were read than allowed.
        """
        self.remaining -= size
        if self.remaining < 0:
            raise httpcore.ReadError("the response is too long")


class LimitedStream(httpcore.AsyncNetworkStream):
    """Network stream that counts the bytes read against a limit.

    A connection that broke while bytes were written to it has no orderly end: the
    failed write takes the error of the socket, so that a read after it would find the
    end of the stream. Without this, a response that ends with its connection would look
    complete.

    Args:
        stream: The stream of the network backend.
        limit: Limit of the connection.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream, limit: ReadLimit) -> None:
        #: The stream of the network backend.
        self.stream = stream
        #: Limit of the connection.
        self.limit = limit
        #: Whether the peer has closed the connection.
        self.ended = False
        #: Whether the connection broke while bytes were written.
        self.write_failed = False
        #: Bytes read since the start of the request, until its response begins.
        self.recorded: list[bytes] | None = None
        self.aclose = stream.aclose
        self.get_extra_info = stream.get_extra_info

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Read some bytes and count them.

        Raises:
            httpcore.ReadError: The connection broke, or the limit is exceeded.
        """
        data = await self.stream.read(max_bytes, timeout)
        self.limit.count(len(data))
        self.ended = not data
        if self.recorded is not None:
            self.recorded.append(data)
        if self.ended and self.write_failed:
            raise httpcore.ReadError("the connection broke while bytes were written")
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write bytes.

        Raises:
            httpcore.WriteError: The connection broke. Bytes that the peer sent before
                can still be read.
        """
        try:
            await self.stream.write(buffer, timeout)
        except httpcore.WriteError:
            self.write_failed = True
            raise


class HttpConnection(httpcore.AsyncHTTP11Connection):
    """HTTP/1.1 connection, which serves one request at a time.

    Args:
        origin: Scheme, host and port of the peer.
        stream: The open network stream.
    """

    def __init__(
        self, origin: httpcore.Origin, stream: httpcore.AsyncNetworkStream
    ) -> None:
        #: Limit of the bytes read for the current request.
        self.limit = ReadLimit()
        #: The network stream, whose reads are limited.
        self.stream = LimitedStream(stream, self.limit)
        #: Number of responses whose header section was received.
        self.response_count = 0
        #: Whether the header section of the last response tells where its body ends.
        self.body_is_framed = True
        #: Time by trio's clock, in seconds, at which the last request ended.
        self.idle_since = trio.current_time()
        super().__init__(origin, self.stream)

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and return its response, whose body has not been read.

        Raises:
            httpcore.RemoteProtocolError: The connection ended before the response.
            MisplacedResponse: The header section is malformed or has parts of several
                responses.
        """
        self.limit.remaining = MAX_HEAD_BYTES
        recorded = self.stream.recorded = []
        try:
            response = await super().handle_async_request(request)
        except httpcore.RemoteProtocolError as error:
            if self.stream.ended:
                raise
            raise MisplacedResponse(str(error)) from error
        finally:
            self.stream.recorded = None
        self.response_count += 1
        raw_head = b"".join(recorded).removesuffix(self.surplus)
        if fault := find_fault(response, raw_head):
            await response.aclose()
            raise MisplacedResponse(fault)
        names = (name.lower() for name, _ in response.headers)
        self.body_is_framed = any(name in FRAMING_FIELDS for name in names)
        response.extensions[CONNECTION_EXTENSION] = self
        return response

    @property
    def surplus(self) -> bytes:
        """Bytes that were received and not yet parsed.

        After a header section they begin the body, after a complete response they
        belong to no request.
        """
        data, _ = self._h11_state.trailing_data
        return data

    def check_body(self, body: bytes) -> None:
        """Check that no other response stands inside a complete body.

        If a peer sends another response between a header section and its body, the
        parser takes as many bytes of it as the body is long, and others are left over.
        A body without a length also holds what follows it.

        Raises:
            MisplacedResponse: A response begins inside the body.
        """
        surplus = self.surplus
        if surplus or not self.body_is_framed:
            match = RESPONSE_START.search(body + surplus)
            if match and match.start() < len(body):
                raise MisplacedResponse("another response inside the body")

    async def read_surplus(self) -> bytes:
        """Return the bytes that an idle connection has received, at most some of them.

        No further request may be sent on the connection.
        """
        data = self.surplus
        if self.stream.get_extra_info("is_readable"):
            # The connection may have been closed or reset instead.
            with contextlib.suppress(httpcore.ReadError):
                data += await self.stream.read(MAX_SURPLUS_BYTES)
        return data


def find_fault(response: httpcore.Response, raw_head: bytes) -> str:
    """Return why a header section is no response to a request, or an empty string.

    Args:
        response: The response with the parsed header section.
        raw_head: Bytes of the header section and of the interim ones before it.
    """
    if match := MALFORMED_LINE.search(raw_head):
        return f"a malformed line after {raw_head[: match.start()][-QUOTED_BYTES:]!r}"
    if response.status not in FINAL_STATUSES:
        return f"status {response.status}"
    version = response.extensions["http_version"]
    if not version.startswith(PROTOCOL):
        return f"a response in the protocol {version!r}"
    if contains_status_line(response):
        return "a header section within another one"
    return ""


def contains_status_line(response: httpcore.Response) -> bool:
    """Return whether a header section contains the status line of another response.

    If a peer breaks off a header section and sends another response, the parser takes
    the second status line for the rest of a field or of the reason phrase.
    """
    texts = [value for _, value in response.headers]
    texts.append(response.extensions["reason_phrase"])
    return any(STATUS_LINE.search(text) for text in texts)


async def open_connection(address: str) -> HttpConnection:
    """Open a connection.

    Args:
        address: `ip:port` of the peer.

    Raises:
        ValueError: The address is not of that form.
        httpcore.ConnectError: The connection could not be opened.
        httpcore.ConnectTimeout: The peer did not respond in time.
    """
    host, port = split_address(address)
    stream = await httpcore.TrioBackend().connect_tcp(
        host,
        port,
        timeout=CONNECT_TIMEOUT_SECONDS,
        socket_options=SOCKET_OPTIONS,
    )
    return HttpConnection(httpcore.Origin(b"http", host.encode("ascii"), port), stream)
