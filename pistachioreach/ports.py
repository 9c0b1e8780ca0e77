"""Loopback ports that no other process of the project uses at the same time."""

from __future__ import annotations

import contextlib
import random
import socket

__all__ = ["PortAllocator", "free_ports"]

#: Range of ports to choose from. It lies below the range from which the kernel takes
#: ports for outgoing connections.
PORT_RANGE = range(10_000, 32_000)
#: Number of ports that a process reserves at a time. Its first port stays bound while
#: the process runs, by which other processes see that the block is in use.
BLOCK_PORTS = 200


class PortAllocator:
    """Hands out each port once, from blocks of ports that are reserved for the process.

    A port that was only found free may be found free by another process too, before
    either of them binds it.

    Args:
        random: Source of random choices.
    """

    def __init__(self, random: random.Random) -> None:
        #: Source of random choices.
        self.random = random
        #: Sockets that reserve the blocks.
        self.reservations: list[socket.socket] = []
        #: Ports of the reserved blocks that have not been handed out.
        self.ports: list[int] = []

    def take(self, count: int) -> list[int]:
        """Return ports that are free and have not been handed out before."""
        taken: list[int] = []
        while len(taken) < count:
            if not self.ports:
                self.reserve_block()
            port = self.ports.pop()
            with contextlib.suppress(OSError):
                bound_socket(port).close()
                taken.append(port)
        return taken

    def reserve_block(self) -> None:
        """Reserve a block of ports that no other process has reserved."""
        blocks = list(range(PORT_RANGE.start, PORT_RANGE.stop, BLOCK_PORTS))
        self.random.shuffle(blocks)
        for first in blocks:
            with contextlib.suppress(OSError):
                self.reservations.append(bound_socket(first))
                self.ports = list(range(first + BLOCK_PORTS - 1, first, -1))
                return
        raise OSError(
            f"all ports from {PORT_RANGE.start} to {PORT_RANGE.stop} are used"
        )


def bound_socket(port: int) -> socket.socket:
    """Return a socket that is bound to a loopback port.

    Raises:
        OSError: The port is in use.
    """
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(("127.0.0.1", port))
        # Without this, two sockets with SO_REUSEADDR could be bound to the port.
        bound.listen(1)
    except OSError:
        bound.close()
        raise
    return bound


#: Ports of this process.
process_ports = PortAllocator(random.SystemRandom())
#: Returns the given number of loopback ports for listeners of this process, or of
#: processes that it starts.
free_ports = process_ports.take
