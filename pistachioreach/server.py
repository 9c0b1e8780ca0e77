"""HTTP servers: hypercorn on sockets that the project binds itself."""

from __future__ import annotations

import contextlib
import random
import socket
from typing import TYPE_CHECKING

from hypercorn.config import Config
from hypercorn.trio import serve

from pistachioreach.logs import library_logger
from pistachioreach.settings import Address

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from datetime import timedelta


__all__ = [
    "bind",
    "free_ports",
    "port_of",
    "serve_app",
    "serve_lifespan",
    "server_config",
]

#: Connections that the kernel holds for accept; 100 overflowed under a load test.
BACKLOG = 1024
#: Ports from which `free_ports` draws.
FREE_PORTS = (10_000, 32_000)
#: Seconds after which an idle connection of a caller is closed.
KEEPALIVE_SECONDS = 75
#: Requests of one connection after which it is closed; a caller's connection
#: must not end before its idle time.
REQUESTS_A_CONNECTION = 1_000_000


def bind(address: Address, reuse_port: bool = False) -> socket.socket:
    """Bind a listening socket.

    Args:
        address: Where to listen; port 0 for any free one.
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
    """Return the port of a listening socket."""
    return listener.getsockname()[1]


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that were free a moment ago.

    They lie below the range from which the kernel takes the ports of outgoing
    connections, so that none of those takes one of them meanwhile.
    """
    source = random.SystemRandom()
    listeners: list[socket.socket] = []
    while len(listeners) < count:
        with contextlib.suppress(OSError):
            port = source.randrange(*FREE_PORTS)
            listeners.append(bind(Address("127.0.0.1", port)))
    ports = [port_of(listener) for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


async def serve_lifespan(receive: Callable, send: Callable) -> None:
    """Answer an ASGI server's start and shutdown."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


def server_config(
    listener: socket.socket, drain_limit: timedelta, idle_seconds: float
) -> Config:
    """Return the settings of a server; limits may be changed while it runs.

    Args:
        listener: A socket from `bind`; hypercorn closes it.
        drain_limit: Longest time that requests in progress get after a shutdown.
        idle_seconds: Seconds after which an idle connection is closed.
    """
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = library_logger("hypercorn.error")
    config.backlog = BACKLOG
    config.keep_alive_timeout = idle_seconds
    config.keep_alive_max_requests = REQUESTS_A_CONNECTION
    config.graceful_timeout = drain_limit.total_seconds()
    config.include_server_header = False
    return config


async def serve_app(
    app: Callable,
    listener: socket.socket,
    shutdown: Callable[[], Awaitable[None]],
    drain_limit: timedelta,
) -> None:
    """Serve an ASGI application until a shutdown, then let requests end.

    Args:
        app: The application.
        listener: A socket from `bind`; hypercorn closes it.
        shutdown: Returns when no new connections shall be taken.
        drain_limit: Longest time that requests in progress get after that.
    """
    config = server_config(listener, drain_limit, KEEPALIVE_SECONDS)
    await serve(app, config, shutdown_trigger=shutdown)
