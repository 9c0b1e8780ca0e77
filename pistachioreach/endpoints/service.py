"""Client of the plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol
from urllib.parse import quote

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["HttpServiceClient", "ServiceCall", "ServiceClient", "confirms_not_run"]

#: Status codes by which a service says that it refused a call before running it.
REFUSED_STATUSES = frozenset({429, 503})
#: Header by which a service confirms that a refused call did not run.
NOT_RUN_HEADER = "call-not-run"


class ServiceCall(NamedTuple):
    """One call to one server of a service.

    Attributes:
        endpoint: Name of the server.
        address: Its `ip:port`.
        path: Path of the call.
        key: Idempotency key, or the empty string.
        body: Body of the call.
    """

    endpoint: str
    address: str
    path: str
    key: str
    body: bytes


class ServiceClient(Protocol):
    """What the router asks of plain services."""

    async def call(self, call: ServiceCall) -> HttpResponse:
        """Make a call over a fresh connection.

        Raises:
            ConnectionFailed: No answer; its `sent` says whether it may have run.
        """

    async def look_up(self, call: ServiceCall) -> HttpResponse | None:
        """Return the outcome that a service holds for a key, if any.

        Raises:
            ConnectionFailed: No answer.
        """


class HttpServiceClient:
    """Services met over HTTP.

    Args:
        connections: Connections to use.
    """

    def __init__(self, connections: Connections) -> None:
        #: Connections to services.
        self.connections = connections

    async def call(self, call: ServiceCall) -> HttpResponse:
        """Make a call over a fresh connection.

        A connection that has gone silent would leave it unknown whether the
        call ran, so none is used again.
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

    async def look_up(self, call: ServiceCall) -> HttpResponse | None:
        """Return the outcome that a service holds for a key, if any."""
        answer = await self.connections.call(
            call.endpoint,
            call.address,
            "GET",
            f"{call.path}/{quote(call.key, safe='')}",
        )
        return answer if answer.status == 200 else None


def confirms_not_run(answer: HttpResponse) -> bool:
    """Whether an answer says that the call was refused before it ran."""
    return answer.status in REFUSED_STATUSES and NOT_RUN_HEADER in answer.headers
