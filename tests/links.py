"""Links between a router and its endpoints that tests can cut."""

import functools

import httpcore
import trio

from pistachioreach.endpoints.http_connection import CONNECT_TIMEOUT_SECONDS


class Link:
    """All connections of a router to its endpoints, except to some addresses.

    While the link is cut, new connections are not opened. Open connections stay silent
    until the link is restored, and what arrived meanwhile is read then.
    """

    def __init__(self, router, endpoints):
        self.endpoints = endpoints
        self.restored = trio.Event()
        self.restored.set()
        connections = router.connections
        connections.acquire = functools.partial(self.acquire, connections.acquire)
        connections.is_listening = functools.partial(
            self.is_listening, connections.is_listening
        )
        monitor = router.gateway.stream_dispatcher.stall_monitor
        monitor.reachability.is_listening = connections.is_listening

    def cut(self):
        self.restored = trio.Event()

    def restore(self):
        self.restored.set()

    async def acquire(self, acquire, address, fresh):
        if address not in self.endpoints:
            return await acquire(address, fresh)
        if not self.restored.is_set():
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
            raise httpcore.ConnectTimeout
        connection = await acquire(address, fresh)
        if "read" not in vars(connection.stream):
            connection.stream.read = functools.partial(
                self.read, connection.stream.read
            )
        return connection

    async def read(self, read, *args, **kwargs):
        data = await read(*args, **kwargs)
        await self.restored.wait()
        return data

    async def is_listening(self, is_listening, address):
        if address in self.endpoints and not self.restored.is_set():
            await trio.sleep(CONNECT_TIMEOUT_SECONDS)
            return True
        return await is_listening(address)
