"""Judgement of the response of a plain service's endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.dispatch.events import ends_inside_event
from pistachioreach.dispatch.relayed_answers import relayed_fields
from pistachioreach.dispatch.work import CompleteResponse, FailedAttempt
from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Exchange
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.platform.requests import EndpointResponse

__all__ = ["check_response", "limit_idle_time"]

#: Lowest status code that reports a failure of the endpoint.
FIRST_SERVER_ERROR_STATUS = 500


def check_response(
    routed: RoutedRequest,
    endpoint: Endpoint,
    exchange: Exchange,
    answer: EndpointResponse,
    body: bytes,
    health: HealthTracker,
) -> CompleteResponse | FailedAttempt:
    """Return what the complete response of an endpoint means.

    Args:
        routed: The request.
        endpoint: The endpoint.
        exchange: Exchange with the endpoint.
        answer: Header section of the response.
        body: Body of the response.
        health: Health of the endpoints, which is updated.
    """
    health.record_outcome(endpoint, answer)
    if answer.misdirected:
        health.mark_unusable(endpoint, "reported a misdirected request")
    if answer.not_run:
        return FailedAttempt(Verdict.NOT_RUN, f"refused with {answer.status}", endpoint)
    if not answer.signed:
        detail = f"status {answer.status} without a signature"
        return FailedAttempt(Verdict.MAY_HAVE_RUN, detail, endpoint)
    if routed.route.streaming and ends_inside_event(body):
        # A response without a length ends like this if its endpoint crashes.
        detail = "the stream ends in the middle of an event"
        return FailedAttempt(Verdict.RAN, detail, endpoint)
    fields = relayed_fields(routed.request, answer, endpoint.run_id)
    complete = CompleteResponse(
        answer.status, fields, body, endpoint.id, exchange.earlier_responses
    )
    if answer.status >= FIRST_SERVER_ERROR_STATUS:
        detail = f"status {answer.status}"
        return FailedAttempt(Verdict.RAN, detail, endpoint, fallback=complete)
    return complete


def limit_idle_time(exchange: Exchange, answer: EndpointResponse) -> None:
    """Set for how long the connection may stay idle after a response of the endpoint.

    Args:
        exchange: Exchange with the endpoint.
        answer: Header section of the response.
    """
    if answer.request_id is None:
        # A second copy of this refusal would count as one of the next request.
        exchange.idle_seconds = 0.0
    elif answer.keep_alive_seconds is not None:
        exchange.idle_seconds = answer.keep_alive_seconds
