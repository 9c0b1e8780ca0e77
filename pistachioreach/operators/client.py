"""HTTP client of the interface that entries offer to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["OperatorClient"]

#: Timeout of a request to an entry in seconds; a change takes up to 4 seconds.
REQUEST_TIMEOUT_SECONDS = 10.0


class OperatorClient:
    """Client that sends an operator's requests to entries.

    Args:
        connections: Pool of connections to entries.
        addresses: Addresses of the entries, `ip:port`.
        token: Credential of operators.
    """

    def __init__(
        self, connections: Connections, addresses: list[str], token: str
    ) -> None:
        #: Pool of connections to entries.
        self.connections = connections
        #: Addresses of the entries, `ip:port`.
        self.addresses = addresses
        #: Credential of operators.
        self.token = token

    async def send_request(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> HttpResponse:
        """Send a request with the operators' credential to one entry.

        Args:
            address: Address of the entry, `ip:port`.
            method: HTTP method.
            path: Path and query.
            body: Body of the request.

        Raises:
            ConnectionFailed: The connection failed, or the entry did not respond
                within `REQUEST_TIMEOUT_SECONDS`.
        """
        headers = (("Authorization", f"Bearer {self.token}"),)
        try:
            with trio.fail_after(REQUEST_TIMEOUT_SECONDS):
                return await self.connections.call(
                    address, address, method, path, body, headers
                )
        except trio.TooSlowError as error:
            detail = f"no answer within {REQUEST_TIMEOUT_SECONDS:g} s"
            raise ConnectionFailed(address, True, detail) from error

    async def get_all(self, path: str) -> dict[str, Any]:
        """Send a GET request to every entry at the same time.

        Args:
            path: Path and query.

        Returns:
            For each address, the decoded body of the response, or the error message
            if the request failed.
        """
        results: dict[str, Any] = {}

        async def get_one(address: str) -> None:
            try:
                response = await self.send_request(address, "GET", path)
                results[address] = msgspec.json.decode(response.body)
            except ConnectionFailed as error:
                results[address] = str(error)

        async with trio.open_nursery() as nursery:
            for address in self.addresses:
                nursery.start_soon(get_one, address)
        return results

    async def apply_manifest(self, raw: bytes) -> HttpResponse:
        """Send a manifest to the first entry that can be reached, which applies it.

        The next entry is tried only if no byte of the request was sent to the
        previous one, since an entry that received the request may have applied it.

        Args:
            raw: The manifest as JSON.

        Raises:
            ConnectionFailed: No entry could be reached, or an entry that was reached
                did not respond.
        """
        for address in self.addresses[:-1]:
            try:
                return await self.send_request(address, "POST", "/v1/manifest", raw)
            except ConnectionFailed as error:
                if error.sent:
                    raise
        return await self.send_request(self.addresses[-1], "POST", "/v1/manifest", raw)
