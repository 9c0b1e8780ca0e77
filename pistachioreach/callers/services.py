"""HTTP handler of callers' calls to plain services."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from starlette.requests import ClientDisconnect
from starlette.responses import Response

from pistachioreach.callers.problems import problem_response
from pistachioreach.callers.validation import read_body, refuse, validate_headers
from pistachioreach.dispatch.calls import CallRequest, run_call
from pistachioreach.dispatch.cursor import body_digest
from pistachioreach.dispatch.keys import check_key, normalize_key
from pistachioreach.verdict import (
    CALLER_GONE,
    NOT_FOUND,
    WORKSPACE_LIMIT,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from starlette.requests import Request

    from pistachioreach.callers.validation import ValidatedRequest
    from pistachioreach.endpoints.connections import HttpResponse
    from pistachioreach.entry import Entry

__all__ = ["call_service"]

#: Header fields of a service's answer that are forwarded to the caller.
FORWARDED_HEADERS = ("content-type", "idempotent-replay")


async def call_service(entry: Entry, http: Request) -> Response:
    """Answer a call to a plain service.

    An accepted call runs to completion even if the caller disconnects: its outcome
    is recorded, and the caller gets that outcome when it sends the call again.
    """
    request = entry.new_id()
    outcome = await accept_call(entry, http, request)
    if isinstance(outcome, CallRequest):
        call = outcome
        outcome = await entry.run_detached(lambda: run_call(entry, call))
    if isinstance(outcome, Failure):
        entry.metrics.incr("calls_failed", reason=outcome.reason.code)
        return problem_response(outcome, request)
    entry.metrics.incr("calls_finished")
    return forward_answer(outcome, request)


async def accept_call(
    entry: Entry, http: Request, request: str
) -> CallRequest | Failure:
    """Validate a call and apply the rate limit of its workspace.

    Args:
        entry: The entry that received the call.
        http: The HTTP request.
        request: Identifier that the entry assigned to the request.

    Returns:
        The call ready to run, or why it is refused.
    """
    validated = validate_headers(entry, http, request)
    if isinstance(validated, Failure):
        return validated
    try:
        body = await read_body(http)
    except ClientDisconnect:
        return Failure(Verdict.NOT_RUN, CALLER_GONE, "before the body was whole")
    if isinstance(body, Failure):
        return body
    call = build_call(entry, validated, http, body)
    if isinstance(call, Failure):
        return call
    share = entry.workspace_share(validated.workspace)
    if not entry.admission.take_rate_token(share):
        detail = f"workspace '{share.workspace}' sends over {share.rate:.1f} requests/s"
        return Failure(Verdict.NOT_RUN, WORKSPACE_LIMIT, detail, 1 / share.rate)
    entry.journal.record(
        "admission",
        request,
        "admit",
        "within the workspace's rate",
        label=validated.label,
        workspace=share.workspace,
        call=f"{call.service}/{call.call['name']}",
    )
    return call


def build_call(
    entry: Entry, validated: ValidatedRequest, http: Request, body: bytes
) -> CallRequest | Failure:
    """Check that a call is declared and its key is valid, and return the call.

    Args:
        entry: The entry that received the call.
        validated: Validated header values.
        http: The HTTP request.
        body: Body of the call.
    """
    service = http.path_params["service"]
    name = http.path_params["call"]
    declared = entry.configuration.find_call(service, name)
    if declared is None or service not in validated.workspace["services"]:
        workspace = validated.workspace["name"]
        detail = f"workspace '{workspace}' has no call '{service}/{name}'"
        return refuse(NOT_FOUND, detail)
    key = http.headers.get("idempotency-key", "")
    if not declared["repeatable"]:
        hours = entry.configuration.manifest["repeat_window_hours"]
        refused = check_key(key, entry.clock.now(), timedelta(hours=hours))
        if refused is not None:
            return refused
        key = normalize_key(key)
    return CallRequest(
        request_id=validated.request,
        workspace=validated.workspace["name"],
        service=service,
        call=declared,
        key=key,
        digest=body_digest(f"{service}/{name}\0".encode() + body),
        body=body,
        deadline=validated.deadline,
    )


def forward_answer(answer: HttpResponse, request: str) -> Response:
    """Return the HTTP response that forwards a service's answer to the caller."""
    headers = {
        name: answer.headers[name]
        for name in FORWARDED_HEADERS
        if name in answer.headers
    }
    headers |= {"verdict": Verdict.RAN.value, "request-id": request}
    return Response(answer.body, answer.status, headers)
