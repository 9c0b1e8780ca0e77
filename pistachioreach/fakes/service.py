"""Fake of a plain service, such as one that makes bookings or sends letters."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, NamedTuple

import msgspec
import trio

from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.endpoints.service import NOT_RUN_HEADER
from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from random import Random

    from pistachioreach.endpoints.service import ServiceCall

__all__ = ["Execution", "FakeService"]


class Execution(NamedTuple):
    """One run of a call.

    Attributes:
        endpoint: Name of the server that ran the call.
        path: Path of the call.
        key: Idempotency key of the call, or the empty string.
        digest: SHA-256 digest of the call's body, in hexadecimal.
    """

    endpoint: str
    path: str
    key: str
    digest: str


class FakeService:
    """All servers of one service, which share their data.

    The service never deduplicates calls: every call that reaches a server and is not
    refused runs, also with a key that has run before.

    Args:
        random: Random source that decides which responses are lost.
    """

    def __init__(self, random: Random) -> None:
        #: Random source that decides which responses are lost.
        self.random = random
        #: All runs, in the order in which they started.
        self.executions: list[Execution] = []
        #: Response bodies by idempotency key, for `look_up`.
        self.outcomes: dict[str, bytes] = {}
        #: Time in seconds between the run of a call and its response.
        self.call_seconds = 0.0
        #: Share of calls, from 0 to 1, that run but whose response is lost.
        self.lost_response_ratio = 0.0
        #: Names of servers that refuse connections.
        self.unreachable: set[str] = set()
        #: Bodies of calls that crash the servers that run them.
        self.deadly_bodies: set[bytes] = set()
        #: Names of servers that refuse calls without running them.
        self.refusing: set[str] = set()

    def count_runs(self, key: str) -> int:
        """Return how many times calls with a key ran."""
        return sum(1 for execution in self.executions if execution.key == key)

    async def call(self, call: ServiceCall) -> HttpResponse:
        """Run a call, unless a fault prevents that.

        Raises:
            ConnectionFailed: The server is unreachable or the response is lost.
        """
        await trio.lowlevel.checkpoint()
        if call.endpoint in self.unreachable:
            raise ConnectionFailed(call.endpoint, False, "connection refused")
        if call.endpoint in self.refusing:
            return HttpResponse(503, {NOT_RUN_HEADER: "busy"}, b"{}")
        digest = hashlib.sha256(call.body).hexdigest()
        execution = Execution(call.endpoint, call.path, call.key, digest)
        self.executions.append(execution)
        body = msgspec.json.encode(
            {"number": len(self.executions), "server": call.endpoint}
        )
        if call.key:
            self.outcomes[call.key] = body
        await trio.sleep(self.call_seconds)
        if call.body in self.deadly_bodies:
            self.unreachable.add(call.endpoint)
            raise ConnectionFailed(call.endpoint, True, "connection reset")
        if self.lost_response_ratio and self.random.random() < self.lost_response_ratio:
            raise ConnectionFailed(call.endpoint, True, "connection reset")
        return HttpResponse(200, {"content-type": "application/json"}, body)

    async def is_listening(self, call: ServiceCall) -> bool:
        """Return whether the server of a call accepts connections."""
        return call.endpoint not in self.unreachable

    async def look_up(self, call: ServiceCall) -> HttpResponse | None:
        """Return the response stored for the key of a call, or None.

        Raises:
            ConnectionFailed: The server is unreachable.
        """
        await trio.lowlevel.checkpoint()
        if call.endpoint in self.unreachable:
            raise ConnectionFailed(call.endpoint, False, "connection refused")
        body = self.outcomes.get(call.key)
        if body is None:
            return None
        return HttpResponse(200, {"content-type": "application/json"}, body)
