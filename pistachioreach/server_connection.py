"""One connection of an HTTP server, isolated from the others.

hypercorn's own server of connections switches to HTTP/2 and to websockets, which cannot
be turned off, and lets errors of one connection end the process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import h11
import trio
from hypercorn.events import Closed, RawData
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import MAX_RECV, TCPServer
from hypercorn.typing import ConnectionState
from hypercorn.utils import parse_socket_addr

from pistachioreach.isolation import isolate_errors

if TYPE_CHECKING:
    from hypercorn.events import Event

__all__ = ["Connection", "ConnectionEnd", "Http1Protocol", "connection_end"]

#: Status of the answer to a request in a major version of HTTP other than 1.
VERSION_NOT_SUPPORTED = 505
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


class Http1Protocol(H11Protocol):
    """HTTP/1.1 without a switch to another protocol.

    The server offers no upgrade, so it ignores the Upgrade field (RFC 9110, 7.8).
    """

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


class Connection(TCPServer):
    """Connection of a caller: serves its requests one after the other."""

    def __init__(self, *args) -> None:
        super().__init__(*args)
        #: Why the connection ended.
        self.end = ConnectionEnd()

    async def run(self) -> None:
        """Serve the connection until it ends; an error on it ends nothing else."""
        with isolate_errors("connection of a caller"):
            try:
                await self.serve_requests()
            except OSError:
                # The caller has gone, or the system has cut the connection.
                return
            finally:
                await self._close()

    async def serve_requests(self) -> None:
        """Serve requests until the connection ends.

        Raises:
            OSError: The connection broke.
        """
        socket = self.stream.socket
        client = parse_socket_addr(socket.family, socket.getpeername())
        server = parse_socket_addr(socket.family, socket.getsockname())
        async with TaskGroup() as task_group:
            self._task_group = task_group
            self.protocol = Http1Protocol(
                self.app,
                self.config,
                self.context,
                task_group,
                ConnectionState({**self.state, CONNECTION_END: self.end}),
                False,
                client,
                server,
                self.protocol_send,
            )
            await self.idle_task.restart(task_group, self._idle_timeout)
            try:
                await self._read_data()
            except Exception as error:
                self.end.record(f"error on the connection: {error!r}")
                raise

    async def protocol_send(self, event: Event) -> None:
        """Send bytes, close the connection or note whether it is idle.

        Args:
            event: What the protocol asks for.
        """
        if isinstance(event, RawData):
            await self.send_bytes(event.data)
            return
        if isinstance(event, Closed) and self.protocol.connection.their_state is (
            h11.ERROR
        ):
            self.end.record("the request was malformed")
        await super().protocol_send(event)

    async def send_bytes(self, data: bytes) -> None:
        """Send a part of an answer, or end the requests if that is not possible."""
        try:
            async with self.send_lock:
                with trio.CancelScope(shield=True):
                    await self.stream.send_all(data)
        except trio.BrokenResourceError as error:
            self.end.record(describe_break(error))
            self.end.answer_lost = True
        except trio.ClosedResourceError:
            # The end of a message is sent as no bytes.
            self.end.answer_lost = self.end.answer_lost or bool(data)
        else:
            return
        await self.protocol.handle(Closed())

    async def _read_data(self) -> None:
        """Read from the caller until the connection ends."""
        while True:
            try:
                data = await self.stream.receive_some(MAX_RECV)
            except trio.ClosedResourceError:
                break
            except trio.BrokenResourceError as error:
                self.end.record(describe_break(error))
                break
            if not data:
                self.end.record("the caller closed the connection")
            await self.protocol.handle(RawData(bytes(data)))
            if not data:
                break
        await self.protocol.handle(Closed())
