"""Client of the platform's object store and VM list."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Protocol

import trio

from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.platform.wire import VmEntry, decode_body

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["HttpObjectClient", "ObjectClient", "sha256_digest"]

#: Timeout of one request; the largest manifest takes about 100 ms.
OBJECT_TIMEOUT_SECONDS = 3.0


def sha256_digest(raw: bytes) -> str:
    """Return the SHA-256 digest, in hexadecimal, under which bytes are stored."""
    return hashlib.sha256(raw).hexdigest()


class ObjectClient(Protocol):
    """Operations of the object store and the VM list that the router uses."""

    async def put(self, raw: bytes) -> str:
        """Store bytes and return their digest.

        Raises:
            StoreUnavailable: The platform did not respond or reported an error.
        """

    async def get(self, digest: str) -> bytes:
        """Return the object with a digest.

        Raises:
            StoreUnavailable: The platform did not respond or reported an error, or
                the object does not match the digest.
        """

    async def list_vms(self) -> list[VmEntry]:
        """Return the platform's list of VMs, which lags behind their real state.

        Raises:
            StoreUnavailable: The platform did not respond or reported an error.
        """


class HttpObjectClient:
    """Client of the object store and the VM list over HTTP.

    Args:
        connections: HTTP connections to the platform.
        address: Address of the platform, `ip:port`.
    """

    def __init__(self, connections: Connections, address: str) -> None:
        #: HTTP connections to the platform.
        self.connections = connections
        #: Address of the platform, `ip:port`.
        self.address = address

    async def put(self, raw: bytes) -> str:
        """Store bytes and return their digest."""
        digest = sha256_digest(raw)
        await self.call("PUT", f"/v1/objects/{digest}", raw)
        return digest

    async def get(self, digest: str) -> bytes:
        """Return the object with a digest."""
        response = await self.call("GET", f"/v1/objects/{digest}")
        if sha256_digest(response.body) != digest:
            raise StoreUnavailable(f"object '{digest}' holds other bytes")
        return response.body

    async def list_vms(self) -> list[VmEntry]:
        """Return the platform's list of VMs."""
        response = await self.call("GET", "/v1/vms")
        return decode_body(response.body, list[VmEntry])

    async def call(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        """Send one request and return its response.

        Raises:
            StoreUnavailable: The platform did not respond or reported an error.
        """
        try:
            with trio.fail_after(OBJECT_TIMEOUT_SECONDS):
                response = await self.connections.call(
                    "object-store", self.address, method, path, body
                )
        except (ConnectionFailed, trio.TooSlowError) as error:
            raise StoreUnavailable(f"object store {path}: {error!r}") from error
        if response.status != 200:
            raise StoreUnavailable(f"object store {path}: status {response.status}")
        return response
