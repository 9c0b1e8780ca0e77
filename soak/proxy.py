"""A loopback proxy for one link: delays, resets, and bytes that do not arrive."""

from __future__ import annotations

import socket
import struct
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from pistachioreach.server import bind, port_of
from pistachioreach.settings import Address

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["DOWN", "REFUSED", "UP", "Link"]

#: Directions of a link: from the side that connects, and to it.
UP, DOWN = "up", "down"
#: Status by which a link says that nothing listens at its target; a caller must
#: tell this from a connection that a router has taken and broken.
REFUSED = 599
#: Bytes that are passed on at once.
CHUNK = 65536
#: What a connection raises that breaks or is closed.
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class Link:
    """A link through a listening port of its own.

    Args:
        target: `ip:port` to which connections are led.
        tells: Whether callers are told that nothing listens there.
    """

    def __init__(self, target: str, tells: bool = False) -> None:
        host, _, port = target.rpartition(":")
        #: Where connections are led.
        self.target = Address(host, int(port))
        #: Whether callers are told that nothing listens there.
        self.tells = tells
        #: Seconds by which bytes are late.
        self.delay = 0.0
        #: Directions in which bytes wait.
        self.held: set[str] = set()
        #: Set and replaced when bytes may go on.
        self.released = trio.Event()
        #: Open connections, both ends of each.
        self.open: set[trio.SocketStream] = set()
        self.listener = bind(Address("127.0.0.1", 0))
        #: `ip:port` of the link.
        self.address = f"127.0.0.1:{port_of(self.listener)}"

    async def run(self) -> None:
        """Serve connections for ever."""
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.listener))
        await trio.serve_listeners(self.serve, [listener])

    async def serve(self, near: trio.SocketStream) -> None:
        """Pass the bytes of one connection on until an end closes it."""
        try:
            far = await trio.open_tcp_stream(*self.target)
        except OSError:
            await self.refuse(near)
            return
        self.open |= {near, far}
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.pump, near, far, UP, nursery.cancel_scope)
            nursery.start_soon(self.pump, far, near, DOWN, nursery.cancel_scope)
        self.open -= {near, far}
        with trio.CancelScope(shield=True):
            await trio.aclose_forcefully(near)
            await trio.aclose_forcefully(far)

    async def refuse(self, near: trio.SocketStream) -> None:
        """End a connection that cannot be led to the target."""
        if self.tells:
            answer = b"HTTP/1.1 %d Refused\r\ncontent-length: 0\r\n\r\n" % REFUSED
            with suppress(*BROKEN):
                await near.receive_some(CHUNK)
                await near.send_all(answer)
                await near.aclose()
                return
        abort(near)

    async def pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        direction: str,
        scope: trio.CancelScope,
    ) -> None:
        """Pass the bytes of one direction on."""
        try:
            while data := await source.receive_some(CHUNK):
                while direction in self.held:
                    await self.released.wait()
                if self.delay:
                    await trio.sleep(self.delay)
                await sink.send_all(data)
            while direction in self.held:
                await self.released.wait()
        except BROKEN:
            abort(sink)
        scope.cancel()

    def hold(self, directions: Collection[str]) -> None:
        """Let bytes of some directions wait."""
        self.held |= set(directions)

    def release(self) -> None:
        """Let all bytes go on."""
        self.held.clear()
        self.released.set()
        self.released = trio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for stream in list(self.open):
            abort(stream)


def abort(stream: trio.SocketStream) -> None:
    """Close a connection with a reset."""
    try:
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    except OSError:
        # It has been closed meanwhile.
        return
    stream.socket.close()
