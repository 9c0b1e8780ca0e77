"""One connection of an HTTP server, isolated from the others.

hypercorn's own server of connections switches to HTTP/2 and to websockets, which cannot
be turned off, and lets errors of one connection end the process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypercorn.events import Closed
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.trio.task_group import TaskGroup
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.typing import ConnectionState
from hypercorn.utils import parse_socket_addr

from pistachioreach.isolation import isolate_errors

if TYPE_CHECKING:
    import h11

__all__ = ["Connection", "Http1Protocol"]

#: Status of the answer to a request in a major version of HTTP other than 1.
VERSION_NOT_SUPPORTED = 505


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
                ConnectionState(self.state),
                False,
                client,
                server,
                self.protocol_send,
            )
            await self.idle_task.restart(task_group, self._idle_timeout)
            await self._read_data()
