"""Connections between entries: a question and its answer at a time."""

from __future__ import annotations

import secrets
import struct
from typing import TYPE_CHECKING, Protocol

import trio
from loguru import logger

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

#: Seconds within which another entry must answer; links take milliseconds.
RESPONSE_TIMEOUT_SECONDS = 0.3
#: Seconds after which a connection that asks nothing is closed.
IDLE_TIMEOUT_SECONDS = 15.0
#: Random bytes that each side gives a connection.
SALT_BYTES = 16
#: Length of a frame before the frame itself.
LENGTH_PREFIX = struct.Struct(">I")

#: What trio raises when a connection cannot be opened or breaks.
CONNECTION_ERRORS = (OSError, trio.BrokenResourceError, trio.ClosedResourceError)


class PeerClient(Protocol):
    """What an entry asks of the others."""

    async def request(self, member: Member, frame: Frame) -> Frame:
        """Send a frame and return the answer.

        Raises:
            ConnectionFailed: No answer in time, or not from that member.
        """

    def transferred_bytes(self) -> int:
        """Return the bytes sent and received so far."""


class FrameStream:
    """One connection, with the salt that both sides have given it.

    Args:
        stream: The connection.
        keys: Keys that are valid now, the one in use first.
    """

    def __init__(self, stream: trio.SocketStream, keys: tuple[bytes, ...]) -> None:
        #: The connection.
        self.stream = stream
        #: Keys that are valid now.
        self.keys = keys
        #: Random bytes of both sides.
        self.salt = b""
        #: Bytes sent and received.
        self.transferred_bytes = 0

    async def exchange_salts(self, opened_here: bool) -> None:
        """Exchange the random bytes of both sides.

        Raises:
            FrameError: The connection ended first.
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
        """Receive one frame; None at the end of the connection.

        Raises:
            FrameError: It is malformed, too large, or of none of the keys.
        """
        head = await self.receive_exactly(LENGTH_PREFIX.size)
        if len(head) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack(head)
        if length > MAX_FRAME_BYTES:
            raise FrameError(f"a frame of {length} bytes is over {MAX_FRAME_BYTES}")
        raw = await self.receive_exactly(length)
        if len(raw) < length:
            return None
        self.transferred_bytes += LENGTH_PREFIX.size + length
        return decode_frame(raw, self.keys, self.salt)

    async def receive_exactly(self, count: int) -> bytes:
        """Receive a number of bytes; fewer only at the end of the connection."""
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
    """Answer the questions of one connection until it ends.

    A frame without a valid code ends the connection and changes nothing, as
    does one that repeats an earlier frame.

    Args:
        stream: The connection.
        keys: Keys that are valid now, the one in use first.
        handle: Answers a frame.
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
                    raise FrameError(f"frame {frame.sequence} of {frame.sender} again")
                last = frame.sequence
                await frames.send(await handle(frame))
        except FrameError as error:
            logger.warning("connection of another entry closed: {}", error)
        except (trio.TooSlowError, *CONNECTION_ERRORS):
            return


class TcpPeerClient:
    """Other entries met over TCP; one connection each, opened when needed.

    Args:
        keys: Keys that are valid now, the one in use first.
    """

    def __init__(self, keys: tuple[bytes, ...]) -> None:
        #: Keys that are valid now.
        self.keys = keys
        #: Open connections by address.
        self.streams: dict[str, FrameStream] = {}
        #: One question at a time on each connection.
        self.locks: dict[str, trio.Lock] = {}
        #: Bytes of connections that are closed.
        self.closed_bytes = 0

    def transferred_bytes(self) -> int:
        """Return the bytes sent and received so far."""
        return self.closed_bytes + sum(
            s.transferred_bytes for s in self.streams.values()
        )

    async def request(self, member: Member, frame: Frame) -> Frame:
        """Send a frame and return the answer.

        Args:
            member: The entry; without a name, whichever answers at its address.
            frame: The frame.

        Raises:
            ConnectionFailed: There is no answer, or another entry gave it.
        """
        lock = self.locks.setdefault(member.address, trio.Lock())
        try:
            with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
                async with lock:
                    reply = await self.exchange(member.address, frame)
        except trio.TooSlowError as error:
            detail = f"no answer within {RESPONSE_TIMEOUT_SECONDS:g} s"
            raise ConnectionFailed(member.name, True, detail) from error
        except (FrameError, *CONNECTION_ERRORS) as error:
            raise ConnectionFailed(member.name, True, repr(error)) from error
        sender_matches = member.name in ("", reply.sender)
        if not sender_matches or reply.sequence != frame.sequence:
            raise ConnectionFailed(member.name, True, "answer of another entry")
        return reply

    async def exchange(self, address: str, frame: Frame) -> Frame:
        """Send a frame and read the answer, on a new connection if need be.

        Frames may be repeated, so a connection that was closed meanwhile is
        replaced at once.
        """
        if address in self.streams:
            try:
                return await self.exchange_once(address, frame)
            except (FrameError, *CONNECTION_ERRORS):
                pass
        return await self.exchange_once(address, frame)

    async def exchange_once(self, address: str, frame: Frame) -> Frame:
        """Send a frame over the connection of an address and read the answer."""
        answered = False
        try:
            frames = self.streams.get(address) or await self.connect(address)
            await frames.send(frame)
            reply = await frames.receive()
            if reply is None:
                raise FrameError("the connection ended")
            answered = True
            return reply
        finally:
            if not answered:
                await self.close_connection(address)

    async def connect(self, address: str) -> FrameStream:
        """Open the connection of an address."""
        host, _, port = address.rpartition(":")
        stream = await trio.open_tcp_stream(host, int(port))
        frames = FrameStream(stream, self.keys)
        self.streams[address] = frames
        await frames.exchange_salts(opened_here=True)
        return frames

    async def close_connection(self, address: str) -> None:
        """Close the connection of an address."""
        frames = self.streams.pop(address, None)
        if frames is not None:
            self.closed_bytes += frames.transferred_bytes
            await trio.aclose_forcefully(frames.stream)

    async def close(self) -> None:
        """Close all connections."""
        for address in list(self.streams):
            await self.close_connection(address)
