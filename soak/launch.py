"""Starts a router whose outgoing connections a run can tell apart and refuse.

All routers reach an endpoint at the same address, so that the endpoint's link tells
them apart by the IP address that a connection comes from, and no listener can refuse
only some of them. The router itself is the one of the package, unchanged.
"""

from __future__ import annotations

import errno
import os
import sys
from pathlib import Path

import trio

__all__ = ["REFUSALS_VARIABLE", "SOURCE_VARIABLE"]

#: Environment variable with the IP address from which the router connects.
SOURCE_VARIABLE = "SOAK_SOURCE"
#: Environment variable with the path of the file of refused addresses, one a line.
REFUSALS_VARIABLE = "SOAK_REFUSALS"


def limit_connections(source: str, refusals: Path) -> None:
    """Make trio open connections from one address, and refuse some of them.

    Args:
        source: IP address from which connections are opened.
        refusals: File with the addresses, as `ip:port`, that refuse connections.
    """
    open_stream = trio.open_tcp_stream

    async def open_tcp_stream(host: str, port: int, **options) -> trio.SocketStream:
        address = f"{host}:{port}"
        if refusals.exists() and address in refusals.read_text().splitlines():
            await trio.lowlevel.checkpoint()
            cause = ConnectionRefusedError(errno.ECONNREFUSED, "Connection refused")
            raise OSError(f"all attempts to connect to {address} failed") from cause
        return await open_stream(host, port, **options | {"local_address": source})

    trio.open_tcp_stream = open_tcp_stream


if __name__ == "__main__":
    limit_connections(os.environ[SOURCE_VARIABLE], Path(os.environ[REFUSALS_VARIABLE]))
    from pistachioreach.bin.router import main

    sys.exit(main())
