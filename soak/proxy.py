"""Loopback TCP proxy for one link, with faults: late, repeated or lost bytes."""

from __future__ import annotations

import math
import socket
import struct
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from pistachioreach.server import bind, port_of
from pistachioreach.settings import Address

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

__all__ = ["FROM_TARGET", "REFUSED_STATUS", "TO_TARGET", "LinkProxy"]

#: Directions of a link: from the connecting side to the target, and back.
TO_TARGET, FROM_TARGET = "up", "down"
#: Status code with which a proxy responds when nothing listens at its target. A
#: caller must distinguish this from a connection that a router accepted and broke.
REFUSED_STATUS = 599
#: Maximum number of bytes that are forwarded at once.
CHUNK_BYTES = 65536
#: First bytes of each response.
RESPONSE_START = b"HTTP/1."
#: Share of the responses that a link repeats while it has this fault.
REPEATED_SHARE = 0.5
#: Share of the copies of responses that are cut off.
CUT_SHARE = 0.8
#: Minimum and maximum seconds by which a copy of a response is late.
COPY_DELAY_SECONDS = (0.003, 0.15)
#: Maximum seconds that the head of a response waits for the first bytes of its body.
BODY_WAIT_SECONDS = 0.5
#: Seconds after which bytes to the target count as held back by a fault of the link.
LATE_SECONDS = 0.1
#: Exceptions that a broken or closed connection raises.
CONNECTION_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class LinkProxy:
    """TCP proxy for one link, with a listening port of its own.

    Args:
        target: `ip:port` to which connections are forwarded.
        reports_refusal: Whether a connection gets an HTTP response with status
            `REFUSED_STATUS`, instead of a reset, when nothing listens at the target.
    """

    def __init__(self, target: str, reports_refusal: bool = False) -> None:
        host, _, port = target.rpartition(":")
        #: Address to which connections are forwarded.
        self.target = Address(host, int(port))
        #: Whether a connection gets an HTTP response with status `REFUSED_STATUS`,
        #: instead of a reset, when nothing listens at the target.
        self.reports_refusal = reports_refusal
        #: Seconds by which each chunk of bytes is delayed.
        self.delay_seconds = 0.0
        #: Source of random choices of repeated responses, or None without this fault.
        self.repeats: random.Random | None = None
        #: Directions whose bytes are held back.
        self.paused: set[str] = set()
        #: Event that is set, and then replaced, when paused directions resume.
        self.resumed = trio.Event()
        #: Number of faults that hold back all bytes, by the IP address that opened the
        #: connection.
        self.held: Counter[str] = Counter()
        #: Number of faults that make the target silent.
        self.silences = 0
        #: Time by trio's clock at which bytes that a fault had held back were last
        #: forwarded to the target, by the IP address that opened the connection.
        self.late_at: dict[str, float] = {}
        #: Streams of the open connections, on both sides of the proxy, each with the IP
        #: address that opened the connection.
        self.streams: dict[trio.SocketStream, str] = {}
        #: Listening socket of the proxy.
        self.listener = bind(Address("127.0.0.1", 0))
        #: `ip:port` on which the proxy listens.
        self.address = f"127.0.0.1:{port_of(self.listener)}"

    async def run(self) -> None:
        """Accept and forward connections, forever."""
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.listener))
        await trio.serve_listeners(self.serve, [listener])

    async def serve(self, client: trio.SocketStream) -> None:
        """Forward the bytes of one connection until one of the sides closes it."""
        try:
            source = client.socket.getpeername()[0]
            # The target can tell the sources apart as well.
            server = await trio.open_tcp_stream(*self.target, local_address=source)
        except OSError:
            await self.refuse(client)
            return
        self.streams |= {client: source, server: source}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self.forward, client, server, TO_TARGET, nursery.cancel_scope
            )
            nursery.start_soon(
                self.forward,
                RepeatingSource(server, self),
                client,
                FROM_TARGET,
                nursery.cancel_scope,
            )
        del self.streams[client], self.streams[server]
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(client)
            await trio.aclose_forcefully(server)

    async def refuse(self, client: trio.SocketStream) -> None:
        """End a connection whose target cannot be reached."""
        if self.reports_refusal:
            response = b"HTTP/1.1 %d Refused\r\ncontent-length: 0\r\n\r\n" % (
                REFUSED_STATUS
            )
            with suppress(*CONNECTION_ERRORS):
                await client.receive_some(CHUNK_BYTES)
                await client.send_all(response)
                await client.aclose()
                return
        abort(client)

    async def forward(
        self,
        source: trio.SocketStream | RepeatingSource,
        sink: trio.SocketStream,
        direction: str,
        connection_scope: trio.CancelScope,
    ) -> None:
        """Forward the bytes of one direction, and end the connection at their end.

        Args:
            source: Stream to read from.
            sink: Stream to write to.
            direction: `TO_TARGET` or `FROM_TARGET`.
            connection_scope: Scope to cancel when the source ends or a side breaks.
        """
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                received_at = trio.current_time()
                await self.wait_until_open(sink, direction)
                if self.delay_seconds:
                    await trio.sleep(self.delay_seconds)
                now = trio.current_time()
                if direction == TO_TARGET and now - received_at > LATE_SECONDS:
                    self.late_at[self.streams[sink]] = now
                await sink.send_all(data)
            await self.wait_until_open(sink, direction)
        except CONNECTION_ERRORS:
            abort(sink)
        connection_scope.cancel()

    async def wait_until_open(self, sink: trio.SocketStream, direction: str) -> None:
        """Wait while a fault holds back the bytes of one direction of a connection.

        Args:
            sink: One of the connection's streams.
            direction: `TO_TARGET` or `FROM_TARGET`.
        """
        source = self.streams[sink]
        while (
            direction in self.paused
            or self.held[source]
            or (self.silences and direction == FROM_TARGET)
        ):
            await self.resumed.wait()

    def hold(self, source: str) -> None:
        """Hold back all bytes of the connections from an IP address."""
        self.held[source] += 1

    def release(self, source: str) -> None:
        """End one `hold` with the same address."""
        self.held[source] -= 1
        self.wake()

    def silence(self) -> None:
        """Hold back the bytes of the target, which still gets those of its peers."""
        self.silences += 1

    def end_silence(self) -> None:
        """End one `silence`."""
        self.silences -= 1
        self.wake()

    def wake(self) -> None:
        """Let connections look again whether their bytes are held back."""
        self.resumed.set()
        self.resumed = trio.Event()

    def pause(self, directions: Collection[str]) -> None:
        """Hold back the bytes of some directions until `resume` is called."""
        self.paused |= set(directions)

    def resume(self) -> None:
        """Forward bytes in all directions again."""
        self.paused.clear()
        self.wake()

    def reset_connections(self, source: str = "") -> None:
        """Reset the open connections from an IP address, or all, on both sides."""
        for stream, opened_by in list(self.streams.items()):
            if source in ("", opened_by):
                abort(stream)


class RepeatingSource:
    """Bytes from the target on one connection, with second copies of some responses.

    A copy is whole or cut off at any byte. It is sent together with its response, some
    milliseconds later, or together with the next response on the connection. No copy
    is sent between a head and its body: a router would have to take the copy for the
    body, since a body has no identifier. A stream is copied up to its first bytes.

    Args:
        stream: Stream from the target.
        link: Link whose `repeats` states whether responses are repeated.
    """

    def __init__(self, stream: trio.SocketStream, link: LinkProxy) -> None:
        #: Stream from the target.
        self.stream = stream
        #: Link whose `repeats` states whether responses are repeated.
        self.link = link
        #: Copy that has not been sent, or empty.
        self.copy = b""
        #: Time by trio's clock at which the copy is sent without a next response.
        self.due = math.inf

    async def receive_some(self, max_bytes: int) -> bytes:
        """Return the next bytes to forward; they are empty at the end of the stream."""
        while True:
            data = None
            with trio.move_on_at(self.due):
                data = await self.stream.receive_some(max_bytes)
            if self.link.repeats is None:
                self.take_copy()
            if data is None:
                data = self.take_copy()
                if not data:
                    continue
            elif self.link.repeats is not None and data.startswith(RESPONSE_START):
                data = await self.repeat(data, self.link.repeats)
            return data

    def take_copy(self) -> bytes:
        """Return the copy that has not been sent, or empty bytes, and forget it."""
        copy, self.copy, self.due = self.copy, b"", math.inf
        return copy

    async def repeat(self, data: bytes, generator: random.Random) -> bytes:
        """Return a response with the copies to send together with it.

        Args:
            data: First bytes of the response.
            generator: Source of random choices.
        """
        with trio.move_on_after(BODY_WAIT_SECONDS):
            while not data.partition(b"\r\n\r\n")[2]:
                rest = await self.stream.receive_some(CHUNK_BYTES)
                if not rest:
                    break
                data += rest
        earlier = self.take_copy()
        has_body = bool(data.partition(b"\r\n\r\n")[2])
        if not has_body or generator.random() >= REPEATED_SHARE:
            return earlier + data
        is_cut = generator.random() < CUT_SHARE
        copy = data[: generator.randrange(1, len(data))] if is_cut else data
        delay = generator.uniform(*COPY_DELAY_SECONDS)
        delay = generator.choice((0.0, delay, math.inf))
        if not delay:
            return earlier + data + copy
        self.copy, self.due = copy, trio.current_time() + delay
        return earlier + data


def abort(stream: trio.SocketStream) -> None:
    """Close a connection with a TCP reset."""
    try:
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except OSError:
        # The socket has been closed in the meantime.
        return
    stream.socket.close()
