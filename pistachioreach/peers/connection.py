"""Connections between entries; each carries one request and its reply at a time."""

from __future__ import annotations

import secrets
import struct
from typing import TYPE_CHECKING, Protocol

import trio
from loguru import logger

from pistachioreach.decoding import split_address
from pistachioreach.errors import ConnectionFailed, FrameError
from pistachioreach.peers.wire import (
    MAX_FRAME_BYTES,
    Frame,
    decode_frame,
    encode_frame,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pistachioreach.configuration.row import Member

__all__ = ["PeerClient", "TcpPeerClient", "serve_peer"]

#: Timeout of a request to another entry in seconds; links take only milliseconds.
RESPONSE_TIMEOUT_SECONDS = 0.3
#: Seconds without a request after which a connection is closed.
IDLE_TIMEOUT_SECONDS = 15.0
#: Length in bytes of the random salt that each side contributes to a connection.
SALT_BYTES = 16
#: Length prefix of a frame: the frame's size in bytes.
LENGTH_PREFIX = struct.Struct(">I")

#: Exceptions that trio raises when a connection cannot be opened or breaks.
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class PeerClient(Protocol):
    """Interface for requests to other entries."""

    async def request(
        self,
        member: Member,
        frame: Frame,
        timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> Frame:
        """Send a frame to an entry and return the reply.

        Args:
            member: Entry to send the frame to.
            frame: Request frame.
            timeout_seconds: Seconds within which the reply must arrive.

        Raises:
            ConnectionFailed: No reply came in time, or another entry replied.
        """

    def transferred_bytes(self) -> int:
        """Return the number of bytes of the frames sent and received so far."""


class FrameStream:
    """Connection that sends and receives authenticated frames.

    The authentication code of each frame covers a salt to which both sides of the
    connection contribute.

    Args:
        stream: TCP connection.
        keys: Currently valid keys; the first one is used for sending.
    """

    def __init__(self, stream: trio.SocketStream, keys: tuple[bytes, ...]) -> None:
        #: TCP connection.
        self.stream = stream
        #: Currently valid keys; the first one is used for sending.
        self.keys = keys
        #: Salt of the connection: the random bytes of both sides.
        self.salt = b""
        #: Number of bytes of the frames sent and received.
        self.transferred_bytes = 0

    async def exchange_salts(self, opened_here: bool) -> None:
        """Exchange random bytes and derive the salt of the connection from them.

        Args:
            opened_here: Whether this side opened the connection.

        Raises:
            FrameError: The connection ended before the exchange was complete.
        """
        own = secrets.token_bytes(SALT_BYTES)
        await self.stream.send_all(own)
        other = await self.receive_exactly(SALT_BYTES)
        if len(other) < SALT_BYTES:
            raise FrameError("the connection ended before its first frame")
        self.salt = own + other if opened_here else other + own

    async def send(self, frame: Frame) -> None:
        """Send one frame."""
        raw = encode_frame(frame, self.keys[0], self.salt)
        await self.stream.send_all(LENGTH_PREFIX.pack(len(raw)) + raw)
        self.transferred_bytes += LENGTH_PREFIX.size + len(raw)

    async def receive(self) -> Frame | None:
        """Receive one frame.

        Returns:
            The frame, or None if the connection has ended.

        Raises:
            FrameError: The frame is malformed or too large, or no valid key
                authenticates it.
        """
        head = await self.receive_exactly(LENGTH_PREFIX.size)
        if len(head) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack(head)
        if length > MAX_FRAME_BYTES:
            raise FrameError(
                f"a frame of {length} bytes exceeds {MAX_FRAME_BYTES} bytes"
            )
        raw = await self.receive_exactly(length)
        if len(raw) < length:
            return None
        self.transferred_bytes += LENGTH_PREFIX.size + length
        return decode_frame(raw, self.keys, self.salt)

    async def receive_exactly(self, count: int) -> bytes:
        """Receive the given number of bytes, or fewer if the connection ends."""
        parts = bytearray()
        while len(parts) < count:
            part = await self.stream.receive_some(min(count - len(parts), 65536))
            if not part:
                break
            parts += part
        return bytes(parts)


async def serve_peer(
    stream: trio.SocketStream,
    keys: tuple[bytes, ...],
    handle: Callable[[Frame], Awaitable[Frame]],
) -> None:
    """Serve the requests of one connection until it ends.

    A frame with an invalid authentication code, or one that repeats an earlier
    frame, closes the connection and is not processed.

    Args:
        stream: TCP connection that another entry opened.
        keys: Currently valid keys; the first one is used for sending.
        handle: Processes a request frame and returns the reply.
    """
    frames = FrameStream(stream, keys)
    last = -1
    async with stream:
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
                await frames.exchange_salts(opened_here=False)
            while True:
                with trio.fail_after(IDLE_TIMEOUT_SECONDS):
                    frame = await frames.receive()
                if frame is None:
                    return
                if frame.sequence <= last:
                    raise FrameError(
                        f"frame {frame.sequence} from {frame.sender} was repeated"
                    )
                last = frame.sequence
                await frames.send(await handle(frame))
        except FrameError as error:
            logger.warning("closed the connection of another entry: {}", error)
        except (trio.TooSlowError, *CONNECTION_ERRORS):
            return


class TcpPeerClient:
    """Client of the other entries over TCP.

    The client opens one connection per entry when it is first needed.

    Args:
        keys: Currently valid keys; the first one is used for sending.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        #: Currently valid keys; the first one is used for sending.
        self.keys = keys
        #: Open connections by address.
        self.streams: dict[str, FrameStream] = {}
        #: Locks by address, so that a connection carries one request at a time.
        self.locks: dict[str, trio.Lock] = {}
        #: Number of bytes that closed connections sent and received.
        self.closed_bytes = 0

    def transferred_bytes(self) -> int:
        """Return the number of bytes of the frames sent and received so far."""
        return self.closed_bytes + sum(
            s.transferred_bytes for s in self.streams.values()
        )

    async def request(
        self,
        member: Member,
        frame: Frame,
        timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS,
    ) -> Frame:
        """Send a frame to an entry and return the reply.

        Args:
            member: Entry to send the frame to. If its name is empty, any entry that
                replies at its address is accepted.
            frame: Request frame.
            timeout_seconds: Seconds within which the reply must arrive.

        Raises:
            ConnectionFailed: The address is not `ip:port`, no reply came in time,
                another entry replied, or the reply belongs to another request.
        """
        try:
            split_address(member.address)
        except ValueError as error:
            raise ConnectionFailed(member.name, False, str(error)) from error
        lock = self.locks.setdefault(member.address, trio.Lock())
        try:
            with trio.fail_after(timeout_seconds):
                async with lock:
                    reply = await self.exchange(member.address, frame)
        except trio.TooSlowError as error:
            detail = f"no answer within {timeout_seconds:g} s"
            raise ConnectionFailed(member.name, True, detail) from error
        except (FrameError, *CONNECTION_ERRORS) as error:
            raise ConnectionFailed(member.name, True, repr(error)) from error
        sender_matches = member.name in ("", reply.sender)
        if not sender_matches or reply.sequence != frame.sequence:
            raise ConnectionFailed(
                member.name,
                True,
                "the reply is from another entry or to another request",
            )
        return reply

    async def exchange(self, address: str, frame: Frame) -> Frame:
        """Send a frame and return the reply, retrying once on a new connection.

        The other entry may have closed an idle connection. Requests are safe to
        repeat, so the retry follows at once.
        """
        if address in self.streams:
            try:
                return await self.exchange_once(address, frame)
            except (FrameError, *CONNECTION_ERRORS):
                pass
        return await self.exchange_once(address, frame)

    async def exchange_once(self, address: str, frame: Frame) -> Frame:
        """Send a frame over the connection to an address and return the reply."""
        replied = False
        try:
            frames = self.streams.get(address) or await self.connect(address)
            await frames.send(frame)
            reply = await frames.receive()
            if reply is None:
                raise FrameError("the connection ended")
            replied = True
            return reply
        finally:
            if not replied:
                await self.close_connection(address)

    async def connect(self, address: str) -> FrameStream:
        """Open a connection to an address, `ip:port`."""
        stream = await trio.open_tcp_stream(*split_address(address))
        frames = FrameStream(stream, self.keys)
        self.streams[address] = frames
        await frames.exchange_salts(opened_here=True)
        return frames

    async def close_connection(self, address: str) -> None:
        """Close the connection to an address, if there is one."""
        frames = self.streams.pop(address, None)
        if frames is not None:
            self.closed_bytes += frames.transferred_bytes
            await trio.aclose_forcefully(frames.stream)

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self.streams):
            await self.close_connection(address)
