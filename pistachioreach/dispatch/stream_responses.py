"""Judgement of an engine's response to a stream, by its header section."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.dispatch.relayed_answers import relayed_fields
from pistachioreach.dispatch.work import CompleteResponse, FailedAttempt
from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Exchange
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.platform.requests import EndpointResponse
    from pistachioreach.routing.paths import Path

__all__ = ["check_response"]

#: Lowest status code of a response that is not a stream.
FIRST_NON_STREAM_STATUS = 300


def check_response(
    routed: RoutedRequest,
    exchange: Exchange,
    answer: EndpointResponse,
    path: Path,
    health: HealthTracker,
) -> FailedAttempt | None:
    """Return the failed attempt for a response other than the stream, or None.

    Args:
        routed: The request for the stream.
        exchange: Exchange with the first engine of the chain.
        answer: Header section of the response.
        path: The chain.
        health: Health of the endpoints, which is updated.
    """
    first = path.stages[0].endpoint
    if answer.belongs_to_another(routed.request.id):
        exchange.misplaced = True
        detail = f"answer to request '{answer.request_id}'"
        return FailedAttempt(Verdict.MAY_HAVE_RUN, detail, first)
    health.record_response(first, answer)
    if answer.keep_alive_seconds is not None:
        exchange.idle_seconds = answer.keep_alive_seconds
    culprit = first
    for stage in path.stages:
        if stage.endpoint.registration.address == answer.failed_address:
            culprit = stage.endpoint
    if answer.misdirected:
        health.mark_unusable(culprit, "reported a misdirected request")
    if answer.not_run:
        detail = f"refused with {answer.status} by '{culprit.id}'"
        return FailedAttempt(
            Verdict.NOT_RUN, detail, culprit, avoid=frozenset((culprit.id,))
        )
    if not answer.signed:
        detail = f"status {answer.status} without a signature"
        return FailedAttempt(Verdict.MAY_HAVE_RUN, detail, first)
    if answer.status >= FIRST_NON_STREAM_STATUS:
        fields = relayed_fields(routed.request, answer, first.run_id)
        complete = CompleteResponse(
            answer.status, fields, b"", first.id, exchange.earlier_responses
        )
        detail = f"status {answer.status}"
        if not answer.is_server_fault:
            return FailedAttempt(Verdict.RAN, detail, fallback=complete)
        return FailedAttempt(
            Verdict.RAN,
            detail,
            first,
            fallback=complete,
            avoid=frozenset((first.id,)),
        )
    return None
