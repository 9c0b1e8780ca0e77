"""Client of the object store, and of the VM list beside it."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, Protocol

import trio

from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.platform.wire import VmEntry, decode_store

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["HttpObjectClient", "ObjectClient", "sha256_digest"]

#: Seconds for one object; the largest manifest takes about 100 ms.
OBJECT_TIMEOUT_SECONDS = 3.0


def sha256_digest(raw: bytes) -> str:
    """Return the name under which bytes are stored: their SHA-256."""
    return hashlib.sha256(raw).hexdigest()


class ObjectClient(Protocol):
    """What the router asks of the object store and the VM list."""

    async def put(self, raw: bytes) -> str:
        """Store bytes and return their digest.

        Raises:
            StoreUnavailable: No answer.
        """

    async def get(self, digest: str) -> bytes:
        """Return the bytes of a digest.

        Raises:
            StoreUnavailable: No answer, or other bytes than asked for.
        """

    async def list_vms(self) -> list[VmEntry]:
        """Return the platform's list of VMs, which lags.

        Raises:
            StoreUnavailable: No answer.
        """


class HttpObjectClient:
    """The object store and the VM list met over HTTP.

    Args:
        connections: Connections to use.
        address: Address of the platform, `ip:port`.
    """

    def __init__(self, connections: Connections, address: str) -> None:
        #: Connections to the platform.
        self.connections = connections
        #: Address of the platform.
        self.address = address

    async def put(self, raw: bytes) -> str:
        """Store bytes and return their digest."""
        digest = sha256_digest(raw)
        await self.call("PUT", f"/v1/objects/{digest}", raw)
        return digest

    async def get(self, digest: str) -> bytes:
        """Return the bytes of a digest."""
        answer = await self.call("GET", f"/v1/objects/{digest}")
        if sha256_digest(answer.body) != digest:
            raise StoreUnavailable(f"object '{digest}' holds other bytes")
        return answer.body

    async def list_vms(self) -> list[VmEntry]:
        """Return the platform's list of VMs."""
        answer = await self.call("GET", "/v1/vms")
        return decode_store(answer.body, list[VmEntry])

    async def call(self, method: str, path: str, body: bytes = b"") -> HttpResponse:
        """Send one request within the time limit."""
        try:
            with trio.fail_after(OBJECT_TIMEOUT_SECONDS):
                answer = await self.connections.call(
                    "object-store", self.address, method, path, body
                )
        except (ConnectionFailed, trio.TooSlowError) as error:
            raise StoreUnavailable(f"object store {path}: {error!r}") from error
        if answer.status != 200:
            raise StoreUnavailable(f"object store {path}: status {answer.status}")
        return answer
