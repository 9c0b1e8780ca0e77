"""One connection of an HTTP server, isolated from the others.

hypercorn's own server of connections switches to HTTP/2 and to websockets, which cannot
be turned off, lets errors of one connection end the process, and may close a connection
as idle whose next request it has just read.
"""

from __future__ import annotations

import math
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import h11
import trio
from hypercorn.events import Closed, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.worker_context import EventWrapper
from hypercorn.typing import ConnectionState
from hypercorn.utils import parse_socket_addr

from pistachioreach.isolation import isolate_errors

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from hypercorn.config import Config
    from hypercorn.events import Event
    from hypercorn.trio.worker_context import WorkerContext
    from hypercorn.typing import AppWrapper, ASGIReceiveEvent, Scope

__all__ = ["Connection", "ConnectionEnd", "Http1Protocol", "connection_end"]

#: Status of the answer to a request in a major version of HTTP other than 1.
VERSION_NOT_SUPPORTED = 505
#: Largest number of bytes that one read returns; bounds the memory of a connection.
MAX_READ_BYTES = 2**16
#: Seconds for which the rest of a request is read and dropped after its refusal; a
#: caller that sends its whole request before it reads gets the answer within them.
LINGER_SECONDS = 2.0
#: States of a caller that may still send a part of its request.
SENDING_STATES = (h11.SEND_BODY, h11.ERROR)
#: Key of a connection's `ConnectionEnd` in the state of an ASGI scope.
CONNECTION_END = "pistachioreach.connection_end"


class ConnectionEnd:
    """Why a connection ended, for the journal of the requests on it."""

    def __init__(self) -> None:
        #: Which side ended the connection and why; None while it is open, and after
        #: this server has closed it in the ordinary course.
        self.reason: str | None = None
        #: Whether a part of an answer could not be sent.
        self.answer_lost = False

    def record(self, reason: str) -> None:
        """Record why the connection ends; the first reason is kept."""
        if self.reason is None:
            self.reason = reason


def connection_end(scope: dict[str, Any]) -> ConnectionEnd:
    """Return what is known of the end of the connection of an ASGI scope."""
    return scope.get("state", {}).get(CONNECTION_END) or ConnectionEnd()


def describe_break(error: trio.BrokenResourceError) -> str:
    """Return a description of a connection that broke, for the journal."""
    if isinstance(error.__cause__, ConnectionResetError | BrokenPipeError):
        return "the caller reset the connection"
    return f"the connection broke: {error.__cause__ or error}"


class ConnectionEnded(Exception):
    """The connection ended while bytes of a later request wait to be handled."""


class Resume(EventWrapper):
    """Event by which a request ends and the bytes that follow it may be handled.

    Args:
        read_ahead: Reads until the connection ends; cancelled when the event occurs.
    """

    def __init__(self, read_ahead: Callable[[], Awaitable[None]]) -> None:
        super().__init__()
        #: Reads until the connection ends.
        self.read_ahead = read_ahead

    async def wait(self) -> None:
        """Wait for the event.

        Raises:
            ConnectionEnded: The connection ended first.
        """
        ended = False
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                nonlocal ended
                await self.read_ahead()
                ended = True
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await super().wait()
            nursery.cancel_scope.cancel()
        if ended:
            raise ConnectionEnded


class Http1Protocol(H11Protocol):
    """HTTP/1.1 without a switch to another protocol.

    The server offers no upgrade, so it ignores the Upgrade field (RFC 9110, 7.8).

    Args:
        read_ahead: Reads until the connection ends, while bytes that follow a request
            in progress, or might be of another protocol, wait to be handled.
        *args: What hypercorn's protocol takes.
    """

    def __init__(self, read_ahead: Callable[[], Awaitable[None]], *args) -> None:
        super().__init__(*args)
        #: Set when the bytes that follow a request may be handled.
        self.can_read = Resume(read_ahead)

    async def _check_protocol(self, event: h11.Request) -> None:
        """Switch to no other protocol, where hypercorn switches to HTTP/2."""

    async def _create_stream(self, request: h11.Request) -> None:
        """Pass a request to the application, or refuse its version of HTTP.

        Args:
            request: The request without its body.
        """
        if not request.http_version.startswith(b"1."):
            await self._send_error_response(VERSION_NOT_SUPPORTED)
            await self.send(Closed())
            return
        await super()._create_stream(without_upgrade(request))


def without_upgrade(request: h11.Request) -> h11.Request:
    """Return a request without its Upgrade field, on which hypercorn would act."""
    fields = [field for field in request.headers if field[0] != b"upgrade"]
    if len(fields) == len(request.headers):
        return request
    return type(request)(
        method=request.method,
        target=request.target,
        headers=fields,
        http_version=request.http_version,
    )


class RequestTasks(TaskGroup):
    """Tasks of the application, of which each gets the messages of one request."""

    async def spawn_app(
        self, app: AppWrapper, config: Config, scope: Scope, send: Callable
    ) -> Callable[[ASGIReceiveEvent], Awaitable[None]]:
        """Run the application for a request.

        hypercorn's queue of messages blocks a disconnect, and with it the end of an
        answer, if the application leaves it full; this one ends with the disconnect.

        Args:
            app: The application.
            config: Settings of the server.
            scope: ASGI scope of the request.
            send: Takes the messages of the application.

        Returns:
            A function that passes a message to the application.
        """
        messages, queue = trio.open_memory_channel(config.max_app_queue_size)

        async def put(message: ASGIReceiveEvent) -> None:
            if message["type"] == "http.disconnect":
                messages.close()
                return
            # The rest of a body is dropped if the answer is complete without it.
            with suppress(trio.ClosedResourceError):
                await messages.send(message)

        async def receive() -> ASGIReceiveEvent:
            try:
                return await queue.receive()
            except trio.EndOfChannel:
                return {"type": "http.disconnect"}

        async def run(scope: Scope, _: Callable, send: Callable, *threads) -> None:
            await app(scope, receive, send, *threads)

        await super().spawn_app(run, config, scope, send)
        return put


class Connection:
    """Connection of a caller: serves its requests one after the other.

    Args:
        app: Application, as hypercorn wraps it.
        config: Settings of the server, which may change while it runs.
        context: State that all connections of the server share.
        stream: Stream of bytes from and to the caller.
    """

    def __init__(
        self,
        app: AppWrapper,
        config: Config,
        context: WorkerContext,
        stream: trio.SocketStream,
    ) -> None:
        #: Application, as hypercorn wraps it.
        self.app = app
        #: Settings of the server, which may change while it runs.
        self.config = config
        #: State that all connections of the server share.
        self.context = context
        #: Stream of bytes from and to the caller.
        self.stream = stream
        #: Why the connection ended.
        self.end = ConnectionEnd()
        #: Reads requests and writes answers.
        self.protocol: Http1Protocol
        #: Held while bytes are sent.
        self.send_lock = trio.Lock()
        #: Whether no request is in progress.
        self.idle = True
        #: Whether a part of the header section of the next request has been read.
        self.head_begun = False
        #: Whether the rest of a request is dropped before the connection is closed.
        self.lingering = False
        #: Time of trio's clock at which the connection is closed unless bytes arrive.
        self.read_deadline = math.inf
        #: Cancel scope of the latest read.
        self.read_scope = trio.CancelScope()

    async def run(self) -> None:
        """Serve the connection until it ends; an error on it ends nothing else."""
        with isolate_errors("connection of a caller"):
            try:
                await self.serve_requests()
            except OSError:
                # The caller has gone, or the system has cut the connection.
                return
            finally:
                await self.close()

    async def serve_requests(self) -> None:
        """Serve requests until the connection ends.

        Raises:
            OSError: The connection broke.
        """
        socket = self.stream.socket
        client = parse_socket_addr(socket.family, socket.getpeername())
        server = parse_socket_addr(socket.family, socket.getsockname())
        async with RequestTasks() as task_group:
            self.protocol = Http1Protocol(
                self.read_ahead,
                self.app,
                self.config,
                self.context,
                task_group,
                ConnectionState({CONNECTION_END: self.end}),
                False,
                client,
                server,
                self.handle_event,
            )
            self.begin_idle()
            try:
                await self.read_requests()
            except Exception as error:
                self.end.record(f"error on the connection: {error!r}")
                raise

    async def handle_event(self, event: Event) -> None:
        """Do what the protocol asks for: send bytes, close, or note that it is idle."""
        if isinstance(event, RawData):
            await self.send(event.data)
        elif isinstance(event, Closed):
            await self.finish(self.protocol.connection.their_state)
        elif isinstance(event, Updated) and event.idle:
            self.begin_idle()
        elif isinstance(event, Updated):
            self.idle = False
            self.set_read_deadline(math.inf)

    async def send(self, data: bytes) -> None:
        """Send a part of an answer, or end the requests if that is not possible."""
        try:
            async with self.send_lock:
                with trio.CancelScope(shield=True):
                    await self.stream.send_all(data)
        except trio.BrokenResourceError as error:
            self.end.record(describe_break(error))
            self.end.answer_lost = True
        except (trio.BusyResourceError, trio.ClosedResourceError):
            # Another task is closing the connection, or has closed it. The end of a
            # message is sent as no bytes.
            self.end.answer_lost = self.end.answer_lost or bool(data)
        else:
            return
        await self.protocol.handle(Closed())

    async def read_requests(self) -> None:
        """Read from the caller until the connection ends."""
        while True:
            try:
                data = await self.read()
            except trio.ClosedResourceError:
                break
            except trio.BrokenResourceError as error:
                self.end.record(describe_break(error))
                break
            if data is None:
                break
            if not data:
                self.end.record("the caller closed the connection")
            try:
                if not self.lingering:
                    await self.handle_bytes(data)
            except ConnectionEnded:
                break
            if not data:
                break
        await self.protocol.handle(Closed())

    async def handle_bytes(self, data: bytes) -> None:
        """Pass bytes from the caller, or the end of them, to the protocol."""
        if data and self.protocol.connection.their_state is h11.MUST_CLOSE:
            # The answer in progress has announced that it is the last one, so that a
            # further request is ignored (RFC 9112, 9.6).
            return
        begins_head = self.idle and not self.head_begun
        await self.protocol.handle(RawData(data))
        if begins_head and self.idle and not self.lingering:
            self.head_begun = True
            self.extend_read_deadline()

    async def read_ahead(self) -> None:
        """Read while bytes wait to be handled, and return when the connection ends.

        A caller that leaves would otherwise not be noticed before the request in
        progress ends. What is read is handled after this request.
        """
        http = self.protocol.connection
        while len(http.trailing_data[0]) < MAX_READ_BYTES:
            try:
                data = await self.stream.receive_some(MAX_READ_BYTES)
            except trio.ClosedResourceError:
                return
            except trio.BrokenResourceError as error:
                self.end.record(describe_break(error))
                return
            if not data:
                self.end.record("the caller closed the connection")
                return
            http.receive_data(data)
        await trio.sleep_forever()

    async def read(self) -> bytes | None:
        """Return the next bytes, none at the end, or None if the time for them is over.

        trio either returns the bytes or cancels the read, so that a connection is
        closed as idle only if nothing has been read, and a request that was read is
        served.

        Raises:
            trio.BrokenResourceError: The connection broke.
            trio.ClosedResourceError: The server has closed the connection.
        """
        with trio.CancelScope(deadline=self.read_deadline) as self.read_scope:
            return bytes(await self.stream.receive_some(MAX_READ_BYTES))
        return None

    def begin_idle(self) -> None:
        """Wait for the next request for as long as the settings allow."""
        self.idle = True
        self.head_begun = False
        self.extend_read_deadline()
        self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close an idle connection if the server is shutting down."""
        if self.idle and self.context.terminated.is_set():
            self.set_read_deadline(-math.inf)

    def extend_read_deadline(self) -> None:
        """Let the next bytes arrive within the idle time of the settings."""
        limit = trio.current_time() + self.config.keep_alive_timeout
        self.set_read_deadline(limit)

    def set_read_deadline(self, deadline: float) -> None:
        """Set the time at which the current read ends, and later ones."""
        self.read_deadline = deadline
        self.read_scope.deadline = deadline

    async def finish(self, caller_state: object) -> None:
        """End the connection after an answer, a refusal or a part of an answer.

        A connection that is closed with unread bytes is reset, by which the caller
        may lose the answer (RFC 9112, 9.6). So the rest of a request is read first.

        Args:
            caller_state: State of the caller, as h11 names it.
        """
        if caller_state is h11.ERROR:
            self.end.record("the request was malformed")
        if caller_state in SENDING_STATES:
            self.lingering = True
            self.set_read_deadline(trio.current_time() + LINGER_SECONDS)
            await self.send_eof()
        else:
            await self.close()
        await self.protocol.handle(Closed())

    async def send_eof(self) -> None:
        """Tell the caller that no more bytes will follow."""
        # The other side may have ended the connection, or another task be sending.
        with suppress(
            trio.BrokenResourceError, trio.BusyResourceError, trio.ClosedResourceError
        ):
            await self.stream.send_eof()

    def cut(self) -> None:
        """Close the connection at once, also if a part of an answer is being sent.

        Sends are shielded from cancellation, and one to a caller that does not read
        would not end by itself.
        """
        self.stream.socket.close()

    async def close(self) -> None:
        """Close the connection."""
        await self.send_eof()
        await self.stream.aclose()
