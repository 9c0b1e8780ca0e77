"""Types for dispatching a caller's request: request, response, failed attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from pistachioreach.verdict import Failure, Verdict

if TYPE_CHECKING:
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.errors import EndpointLeft
    from pistachioreach.platform.requests import CallerRequest
    from pistachioreach.routing.routes import Route, Service

__all__ = [
    "CompleteResponse",
    "FailedAttempt",
    "Finished",
    "Reply",
    "RoutedRequest",
    "refused",
    "unsent_attempt",
]


class RoutedRequest(NamedTuple):
    """A caller's request with the route and the service chosen for it.

    Attributes:
        request: Header section of the caller's request, decoded.
        body: Body of the request.
        route: Route that the request matched.
        service: Service that was picked for the request.
        workspace: Name of the caller's workspace, or None.
        priority: Priority, 0 the highest.
        arrived: Monotonic time in seconds at which the request arrived.
        deadline: Monotonic time in seconds by which the caller gets a final response.
        fingerprint: Digest that is the same when a caller sends the request again.
        sent_tokens: Number of output tokens that the caller already has.
        starts: Ids of the engines with which a chain may begin, or None for any.
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
    sent_tokens: int = 0
    starts: frozenset[str] | None = None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Identifiers of the parts of the prompt that other prompts may have."""
        return () if self.request.size is None else self.request.size.shared_parts


class Reply(Protocol):
    """Writes the response to a caller."""

    #: Whether the header section has been sent.
    started: bool

    async def start(self, status: int, fields: list[tuple[bytes, bytes]]) -> None:
        """Send the header section."""

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""

    async def end(self) -> None:
        """Mark the body as complete."""


class CompleteResponse(NamedTuple):
    """A complete response from an endpoint.

    Attributes:
        status: HTTP status code.
        fields: Header fields to pass on to the caller.
        body: Body of the response.
        endpoint: Identifier of the endpoint's instance.
        earlier_responses: Number of responses that came on the connection before.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes
    endpoint: str = ""
    earlier_responses: int = 0


class Finished(NamedTuple):
    """An attempt whose response was forwarded to its end."""


class FailedAttempt(NamedTuple):
    """An attempt that ended without a complete response to pass on.

    Attributes:
        verdict: Whether the endpoint may have run the request.
        detail: What was observed.
        culprit: Endpoint that failed, or None if no endpoint is known to be at fault.
        unreached: Whether the connection failed before any byte of the request was
            sent.
        unanswered: Whether the connection failed, or no response came in time.
        died: Whether the endpoint appears to have died during the request.
        fallback: The endpoint's error response, or None. The caller gets the error
            response if no later attempt succeeds.
        abandoned: Whether the stall monitor cancelled the attempt. The next one is
            then already charged to the retry limit, as pending.
        avoid: Ids of endpoints that the next attempt must not use.
        first: First engine of the chain, or None for an attempt through another entry.
        ended: Whether the first engine had ended or could not be reached after its
            connection broke.
        endpoint_left: Whether an endpoint had left before any byte of the request was
            sent. Such an attempt does not count.
    """

    verdict: Verdict
    detail: str
    culprit: Endpoint | None = None
    unreached: bool = False
    unanswered: bool = False
    died: bool = False
    fallback: CompleteResponse | None = None
    abandoned: bool = False
    avoid: frozenset[str] = frozenset()
    first: Endpoint | None = None
    ended: bool = False
    endpoint_left: bool = False

    @property
    def may_still_run(self) -> bool:
        """Whether the endpoint ran the request or may still run it.

        An endpoint that died does not.
        """
        if self.verdict is Verdict.MAY_HAVE_RUN:
            return not self.died
        return self.verdict is Verdict.RAN


def unsent_attempt(error: EndpointLeft) -> FailedAttempt:
    """Return the attempt that was not sent, since an endpoint has left."""
    return FailedAttempt(
        Verdict.NOT_RUN, str(error), unreached=True, endpoint_left=True
    )


def refused(reason, detail: str, retry_after: float | None = None) -> Failure:
    """Return a failure that says that the request did not run and will not run."""
    return Failure(Verdict.NOT_RUN, reason, detail, retry_after)
