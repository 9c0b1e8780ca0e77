"""Stand-in of a plain service, such as bookings or letter sends."""

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
        endpoint: Server that ran it.
        path: Path of the call.
        key: Its idempotency key, or the empty string.
        digest: SHA-256 of its body.
    """

    endpoint: str
    path: str
    key: str
    digest: str


class FakeService:
    """All servers of one service, which share their data.

    The service itself never deduplicates: each call that arrives runs.

    Args:
        random: Source of the lost answers.
    """

    def __init__(self, random: Random) -> None:
        #: Source of the lost answers.
        self.random = random
        #: Every run, in order.
        self.executions: list[Execution] = []
        #: Answers by key, for the look-up.
        self.outcomes: dict[str, bytes] = {}
        #: Seconds that a call takes.
        self.call_seconds = 0.0
        #: Share of calls, 0 to 1, whose answer is lost after they ran.
        self.lost_response_ratio = 0.0
        #: Names of servers that refuse connections.
        self.unreachable: set[str] = set()
        #: Names of servers that refuse calls before they run.
        self.refusing: set[str] = set()

    def count_runs(self, key: str) -> int:
        """Return how often a key ran."""
        return sum(1 for execution in self.executions if execution.key == key)

    async def call(self, call: ServiceCall) -> HttpResponse:
        """Run a call, unless a fault is set."""
        await trio.lowlevel.checkpoint()
        if call.endpoint in self.unreachable:
            raise ConnectionFailed(call.endpoint, False, "connection refused")
        if call.endpoint in self.refusing:
            return HttpResponse(503, {NOT_RUN_HEADER: "busy"}, b"{}")
        digest = hashlib.sha256(call.body).hexdigest()
        run = Execution(call.endpoint, call.path, call.key, digest)
        self.executions.append(run)
        body = msgspec.json.encode(
            {"number": len(self.executions), "server": call.endpoint}
        )
        if call.key:
            self.outcomes[call.key] = body
        await trio.sleep(self.call_seconds)
        if self.lost_response_ratio and self.random.random() < self.lost_response_ratio:
            raise ConnectionFailed(call.endpoint, True, "connection reset")
        return HttpResponse(200, {"content-type": "application/json"}, body)

    async def look_up(self, call: ServiceCall) -> HttpResponse | None:
        """Return the outcome held for a key."""
        await trio.lowlevel.checkpoint()
        if call.endpoint in self.unreachable:
            raise ConnectionFailed(call.endpoint, False, "connection refused")
        body = self.outcomes.get(call.key)
        if body is None:
            return None
        return HttpResponse(200, {"content-type": "application/json"}, body)
