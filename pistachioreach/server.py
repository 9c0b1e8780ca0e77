"""HTTP servers on listening sockets that this module binds."""

from __future__ import annotations

import socket
from functools import partial
from typing import TYPE_CHECKING

import trio
from hypercorn.config import Config
from hypercorn.trio.lifespan import Lifespan
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.utils import wrap_app

from pistachioreach.logs import library_logger
from pistachioreach.server_connection import Connection

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import timedelta

    from pistachioreach.settings import Address


__all__ = [
    "bind",
    "port_of",
    "serve",
    "serve_app",
    "serve_lifespan",
    "server_config",
]

#: Connections that the kernel queues for accept; 100 overflowed in a load test.
BACKLOG = 1024
#: Seconds after which `serve_app` closes an idle connection.
KEEPALIVE_SECONDS = 75
#: Requests after which a connection is closed; so large that a caller's connection
#: is not closed before its idle timeout.
MAX_REQUESTS_PER_CONNECTION = 1_000_000


def bind(address: Address, reuse_port: bool = False) -> socket.socket:
    """Return a listening socket bound to an address.

    Args:
        address: Address to listen on; port 0 picks any free port.
        reuse_port: Whether other processes may bind the same port.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if reuse_port:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.setblocking(False)
    listener.bind(tuple(address))
    listener.listen(BACKLOG)
    return listener


def port_of(listener: socket.socket) -> int:
    """Return the port that a listening socket is bound to."""
    return listener.getsockname()[1]


async def serve_lifespan(receive: Callable, send: Callable) -> None:
    """Answer the startup and shutdown messages of the ASGI lifespan protocol."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def server_config(
    listener: socket.socket, drain_limit: timedelta, idle_seconds: float
) -> Config:
    """Return the hypercorn settings of a server.

    Limits may be changed while the server runs.

    Args:
        listener: Socket from `bind`; hypercorn takes ownership and closes the socket.
        drain_limit: Longest time that requests in progress get after a shutdown.
        idle_seconds: Seconds after which an idle connection is closed.
    """
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = library_logger("hypercorn.error")
    config.backlog = BACKLOG
    config.keep_alive_timeout = idle_seconds
    config.keep_alive_max_requests = MAX_REQUESTS_PER_CONNECTION
    config.graceful_timeout = drain_limit.total_seconds()
    config.include_server_header = False
    return config


async def serve(
    app: Callable,
    config: Config,
    shutdown_trigger: Callable[[], Awaitable[None]] = trio.sleep_forever,
) -> None:
    """Serve an ASGI application until a shutdown, then let requests finish.

    An error on one connection is logged and ends only this connection.

    Args:
        app: The application.
        config: Settings from `server_config`.
        shutdown_trigger: Returns when the server must stop accepting connections.
    """
    wrapped_app = wrap_app(app, config.wsgi_max_body_size, "asgi")
    lifespan = Lifespan(wrapped_app, config, {})
    context = WorkerContext(None)
    listeners = [
        trio.SocketListener(trio.socket.from_stdlib_socket(listener))
        for listener in config.create_sockets().insecure_sockets
    ]
    open_connections: set[Connection] = set()

    async def serve_connection(stream: trio.SocketStream) -> None:
        connection = Connection(wrapped_app, config, context, stream)
        open_connections.add(connection)
        await connection.run()
        open_connections.remove(connection)

    async with trio.open_nursery() as lifespan_nursery:
        await lifespan_nursery.start(lifespan.handle_lifespan)
        await lifespan.wait_for_startup()
        async with trio.open_nursery() as watchers:
            watchers.start_soon(cut_when_cancelled, open_connections)
            async with trio.open_nursery() as connections:
                accept = partial(
                    trio.serve_listeners,
                    serve_connection,
                    listeners,
                    handler_nursery=connections,
                )
                async with trio.open_nursery() as acceptors:
                    acceptors.start_soon(accept)
                    await shutdown_trigger()
                    acceptors.cancel_scope.cancel()
                await context.terminated.set()
                for connection in open_connections:
                    connection.close_if_idle()
                limit = trio.current_time() + config.graceful_timeout
                watchers.cancel_scope.deadline = limit
            watchers.cancel_scope.cancel()
        await lifespan.wait_for_shutdown()
        lifespan_nursery.cancel_scope.cancel()


async def cut_when_cancelled(connections: set[Connection]) -> None:
    """Cut the connections that are open when this task is cancelled.

    Args:
        connections: The open connections.
    """
    try:
        await trio.sleep_forever()
    finally:
        for connection in connections:
            connection.cut()


async def serve_app(
    app: Callable,
    listener: socket.socket,
    shutdown: Callable[[], Awaitable[None]],
    drain_limit: timedelta,
) -> None:
    """Serve an ASGI application until a shutdown, then let requests finish.

    Args:
        app: The application.
        listener: Socket from `bind`; hypercorn takes ownership and closes the socket.
        shutdown: Returns when the server must stop accepting connections.
        drain_limit: Longest time that requests in progress get after that.
    """
    config = server_config(listener, drain_limit, KEEPALIVE_SECONDS)
    await serve(app, config, shutdown)
