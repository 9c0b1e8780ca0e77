"""A caller's request on its way to an endpoint, and what comes of a try."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from pistachioreach.verdict import Failure, Verdict

if TYPE_CHECKING:
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.platform.requests import CallerRequest
    from pistachioreach.routing.routes import Route, Service

__all__ = [
    "CompleteResponse",
    "FailedAttempt",
    "ResponseWriter",
    "RoutedRequest",
    "refused",
]


class RoutedRequest(NamedTuple):
    """A request that may be dispatched.

    Attributes:
        request: What the caller sent.
        body: Its body.
        route: The route that it matched.
        service: The service that was drawn for it.
        workspace: Name of the caller's workspace, or None.
        priority: Rank, 0 the highest.
        arrived: Monotonic time of its arrival.
        deadline: Monotonic time at which the caller gets a final answer.
        fingerprint: Names the request, whoever sends it again.
    """

    request: CallerRequest
    body: bytes
    route: Route
    service: Service
    workspace: str | None
    priority: int
    arrived: float
    deadline: float
    fingerprint: str


class ResponseWriter(Protocol):
    """The answer to a caller."""

    #: Whether its header section has been sent.
    started: bool

    async def start(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Send the header section."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Say that the body is complete."""


class CompleteResponse(NamedTuple):
    """A whole answer of an endpoint.

    Attributes:
        status: Status code.
        fields: Header fields for the caller.
        body: The body.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes


class FailedAttempt(NamedTuple):
    """A try without a whole answer.

    Attributes:
        verdict: Whether the endpoint may have run the request.
        detail: What was seen.
        culprit: The endpoint that failed, or None where none is to blame.
        unreached: Whether no connection could be opened.
        died: Whether it looks as if the endpoint died during the request.
        fallback: The endpoint's own answer, if it gave one that another try
            may better.
        left: Whether the router left a silent run; its repeat has been counted.
        avoid: Ids of endpoints that the next try must not use.
    """

    verdict: Verdict
    detail: str
    culprit: Endpoint | None = None
    unreached: bool = False
    died: bool = False
    fallback: CompleteResponse | None = None
    left: bool = False
    avoid: frozenset[str] = frozenset()


def refused(reason, detail: str, retry_after: float | None = None) -> Failure:
    """Return the refusal of a request that has not run and never will."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after)
