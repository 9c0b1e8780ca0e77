"""ASGI messages of one request: its body, its answer, and the caller's disconnect."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pistachioreach.dispatch.work import refused
from pistachioreach.verdict import TOO_LARGE, Failure

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pistachioreach.clock import Clock
    from pistachioreach.server_connection import ConnectionEnd

    Send = Callable[[dict[str, Any]], Awaitable[None]]
    Receive = Callable[[], Awaitable[dict[str, Any]]]

__all__ = ["AsgiReply", "CallerDisconnected", "read_body", "wait_for_disconnect"]


class CallerDisconnected(Exception):
    """The caller has closed the connection."""


class AsgiReply:
    """Sends the answer to a caller as ASGI messages.

    Args:
        send: Sends one ASGI message.
        closes_connection: Returns whether the connection is closed after the answer.
        clock: Clock that measures the pauses between parts of the body.
        connection: Why the connection ended.
    """

    def __init__(
        self,
        send: Send,
        closes_connection: Callable[[], bool],
        clock: Clock,
        connection: ConnectionEnd,
    ) -> None:
        #: Sends one ASGI message.
        self.send_message = send
        #: Returns whether the connection is closed after the answer.
        self.closes_connection = closes_connection
        #: Why the connection ended.
        self.connection = connection
        #: Whether the header section has been sent.
        self.started = False
        #: Whether the body is complete.
        self.ended = False
        #: Clock that measures the pauses between parts of the body.
        self.clock = clock
        #: Monotonic time at which the first part of the body was sent, or None.
        self.first_sent_at: float | None = None
        #: Monotonic time at which the latest part of the body was sent, or None.
        self.last_sent_at: float | None = None
        #: Longest time between two parts of the body, in seconds.
        self.longest_pause = 0.0

    async def start(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Send the status line and the header section."""
        self.started = True
        if self.closes_connection():
            fields = [*fields, (b"connection", b"close")]
        await self.send_message(
            {"type": "http.response.start", "status": status, "headers": fields}
        )

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        now = self.clock.monotonic()
        if self.first_sent_at is None:
            self.first_sent_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_sent_at)
        self.last_sent_at = now
        await self.send_message(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def end(self) -> None:
        """Send the message that completes the body."""
        self.ended = True
        await self.send_message(
            {"type": "http.response.body", "body": b"", "more_body": False}
        )


async def read_body(receive: Receive, limit: int) -> bytes | Failure:
    """Read the body of a request.

    Args:
        receive: Receives one ASGI message.
        limit: Largest accepted size, in bytes.

    Returns:
        The body, or the refusal of one that is too large.

    Raises:
        CallerDisconnected: The caller has closed the connection.
    """
    parts = []
    size = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        parts.append(message.get("body", b""))
        size += len(parts[-1])
        if size > limit:
            return refused(TOO_LARGE, f"the body is over {limit} bytes")
        if not message.get("more_body"):
            return b"".join(parts)


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the server reports that the caller has disconnected."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return
