"""Links between a router and its endpoints that tests can cut."""

import functools

import httpcore
import trio

from pistachioreach.endpoints.http_connection import CONNECT_TIMEOUT_SECONDS


class Link:
    """All connections of a router to some endpoints.

    While the link is cut, no new connections are opened. Open ones stay silent, and
    what arrived meanwhile is read when the link is restored; or they are reset; or they
    live on.
    """

    def __init__(self, router, endpoints):
        self.endpoints = endpoints
        self.restored = trio.Event()
        self.restored.set()
        self.reads = set()
        self.refuses = self.silences = False
        # Number of times that open connections were reset.
        self.resets = 0
        connections = router.connections
        connections.acquire = functools.partial(self.acquire, connections.acquire)
        connections.is_listening = functools.partial(
            self.is_listening, connections.is_listening
        )
        monitor = router.gateway.stream_dispatcher.stall_monitor
        monitor.reachability.is_listening = connections.is_listening
        router.links.is_listening = connections.is_listening

    def cut(self, how="silent"):
        """Cut the link; `how` may also be `reset` or `refuse`."""
        self.restored = trio.Event()
        self.refuses = how != "silent"
        self.silences = how == "silent"
        if how == "reset":
            # One whose next read has not begun is reset as well.
            self.resets += 1
            for scope in self.reads:
                scope.cancel()

    def restore(self):
        self.restored.set()

    def is_cut_from(self, address):
        return address in self.endpoints and not self.restored.is_set()

    async def acquire(self, acquire, address, fresh):
        if self.is_cut_from(address):
            if self.refuses:
                raise httpcore.ConnectError
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise httpcore.ConnectTimeout
        connection = await acquire(address, fresh)
        if address in self.endpoints and "read" not in vars(connection.stream):
            read = functools.partial(self.read, connection.stream.read, self.resets)
            connection.stream.read = read
        return connection

    async def read(self, read, resets, *args, **kwargs):
        if self.resets > resets:
            raise httpcore.ReadError
        scope = trio.CancelScope()
        self.reads.add(scope)
        try:
            with scope:
                data = await read(*args, **kwargs)
                if self.silences:
                    await self.restored.wait()
                return data
        finally:
            self.reads.discard(scope)
        raise httpcore.ReadError

    async def is_listening(self, is_listening, address):
        if not self.is_cut_from(address):
            return await is_listening(address)
        if self.refuses:
            return False
        await trio.sleep(CONNECT_TIMEOUT_SECONDS)
        return True
