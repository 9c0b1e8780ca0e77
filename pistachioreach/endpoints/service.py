"""Client of plain services: HTTP services that run no model."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol
from urllib.parse import quote

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["HttpServiceClient", "ServiceCall", "ServiceClient", "confirms_not_run"]

#: Status codes with which a service may reject a call before running it.
REJECTED_STATUSES = frozenset({429, 503})
#: Header by which a service confirms that a rejected call did not run.
NOT_RUN_HEADER = "call-not-run"


class ServiceCall(NamedTuple):
    """Call to one endpoint of a service.

    Attributes:
        endpoint: Name of the endpoint.
        address: `ip:port` of the endpoint.
        path: Path of the call.
        key: Idempotency key, or an empty string.
        body: Body of the call.
    """

    endpoint: str
    address: str
    path: str
    key: str
    body: bytes


class ServiceClient(Protocol):
    """Operations of plain services that the router uses."""

    async def call(self, call: ServiceCall) -> HttpResponse:
        """Make a call over a new connection.

        Raises:
            ConnectionFailed: No response; its `sent` states whether the call may
                have run.
        """

    async def is_listening(self, call: ServiceCall) -> bool:
        """Return whether the endpoint of a call accepts connections."""

    async def look_up(self, call: ServiceCall) -> HttpResponse | None:
        """Return the outcome that a service stores for an idempotency key, if any.

        Raises:
            ConnectionFailed: No response.
        """


class HttpServiceClient:
    """Client of plain services over HTTP.

    Args:
        connections: HTTP connections to services.
    """

    def __init__(self, connections: Connections) -> None:
        #: HTTP connections to services.
        self.connections = connections

    async def call(self, call: ServiceCall) -> HttpResponse:
        """Make a call over a new connection.

        On an idle connection that has died unnoticed, the router could not know
        whether the call ran, so no connection is used twice.
        """
        headers: tuple[tuple[str, str], ...] = (("Content-Type", "application/json"),)
        if call.key:
            headers += (("Idempotency-Key", call.key),)
        return await self.connections.call(
            call.endpoint,
            call.address,
            "POST",
            call.path,
            call.body,
            headers,
            fresh=True,
        )

    async def is_listening(self, call: ServiceCall) -> bool:
        """Return whether the endpoint of a call accepts connections."""
        return await self.connections.is_listening(call.address)

    async def look_up(self, call: ServiceCall) -> HttpResponse | None:
        """Return the outcome that a service stores for an idempotency key, if any.

        An outcome does not state its key, so it is read over a new connection, on
        which no outcome of another key can arrive late.
        """
        response = await self.connections.call(
            call.endpoint,
            call.address,
            "GET",
            f"{call.path}/{quote(call.key, safe='')}",
            fresh=True,
        )
        return response if response.status == 200 else None


def confirms_not_run(response: HttpResponse) -> bool:
    """Return whether a response confirms that the call was rejected before it ran."""
    return response.status in REJECTED_STATUSES and NOT_RUN_HEADER in response.headers
