"""Client of the operators' interface of entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from pistachioreach.endpoints.connections import Connections, HttpResponse

__all__ = ["OperatorClient"]

#: Seconds that one question to an entry may take; a change takes up to 4.
ASK_SECONDS = 10.0


class OperatorClient:
    """Asks entries on behalf of an operator.

    Args:
        connections: Connections to entries.
        entries: Addresses of the entries.
        token: The operators' credential.
    """

    def __init__(
        self, connections: Connections, entries: list[str], token: str
    ) -> None:
        #: Connections to entries.
        self.connections = connections
        #: Addresses of the entries.
        self.entries = entries
        #: The operators' credential.
        self.token = token

    async def ask(
        self, address: str, method: str, path: str, body: bytes = b""
    ) -> HttpResponse:
        """Ask one entry.

        Raises:
            ConnectionFailed: No answer.
        """
        headers = (("Authorization", f"Bearer {self.token}"),)
        try:
            with trio.fail_after(ASK_SECONDS):
                return await self.connections.call(
                    address, address, method, path, body, headers
                )
        except trio.TooSlowError as error:
            detail = f"no answer within {ASK_SECONDS:g} s"
            raise ConnectionFailed(address, True, detail) from error

    async def ask_all(self, path: str) -> dict[str, Any]:
        """Ask every entry.

        Returns:
            By address: the decoded answer, or the text of a failure.
        """
        answers: dict[str, Any] = {}

        async def ask_one(address: str) -> None:
            try:
                answer = await self.ask(address, "GET", path)
                answers[address] = msgspec.json.decode(answer.body)
            except ConnectionFailed as error:
                answers[address] = str(error)

        async with trio.open_nursery() as nursery:
            for address in self.entries:
                nursery.start_soon(ask_one, address)
        return answers

    async def apply(self, raw: bytes) -> HttpResponse:
        """Apply a manifest at the first entry that can be reached.

        Another entry is asked only when the one before got no byte of it.

        Raises:
            ConnectionFailed: No entry answered.
        """
        for address in self.entries[:-1]:
            try:
                return await self.ask(address, "POST", "/v1/manifest", raw)
            except ConnectionFailed as error:
                if error.sent:
                    raise
        return await self.ask(self.entries[-1], "POST", "/v1/manifest", raw)
