"""Calls to plain services for callers."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING

from starlette.requests import ClientDisconnect
from starlette.responses import Response

from pistachioreach.callers.intake import read_body, refuse, take_in
from pistachioreach.callers.problems import problem_response
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

    from pistachioreach.callers.intake import Intake
    from pistachioreach.endpoints.connections import HttpResponse
    from pistachioreach.entry import Entry

__all__ = ["call_service"]

#: Header fields of a service's answer that are passed on to the caller.
PASSED_HEADERS = ("content-type", "idempotent-replay")


async def call_service(entry: Entry, http: Request) -> Response:
    """Answer a call to a plain service.

    A call that has been taken in runs to its end, also when the caller goes
    away: its outcome is recorded for when the caller sends it again.
    """
    request = entry.nonce()
    outcome = await take_call(entry, http, request)
    if isinstance(outcome, CallRequest):
        call = outcome
        outcome = await entry.run_detached(lambda: run_call(entry, call))
    if isinstance(outcome, Failure):
        entry.metrics.incr("calls_failed", reason=outcome.reason.code)
        return problem_response(outcome, request)
    entry.metrics.incr("calls_finished")
    return answer_response(outcome, request)


async def take_call(entry: Entry, http: Request, request: str) -> CallRequest | Failure:
    """Check a call."""
    intake = take_in(entry, http, request)
    if isinstance(intake, Failure):
        return intake
    try:
        body = await read_body(http)
    except ClientDisconnect:
        return Failure(Verdict.NOT_RUN, CALLER_GONE, "before the body was whole")
    if isinstance(body, Failure):
        return body
    call = check_call(entry, intake, http, body)
    if isinstance(call, Failure):
        return call
    share = entry.share_of(intake.workspace)
    if not entry.admission.take_rate_token(share):
        detail = f"workspace '{share.workspace}' sends over {share.rate:.1f} requests/s"
        return Failure(Verdict.NOT_RUN, WORKSPACE_LIMIT, detail, 1 / share.rate)
    entry.journal.record(
        "admission",
        request,
        "admit",
        "within the workspace's rate",
        label=intake.label,
        workspace=share.workspace,
        call=f"{call.service}/{call.call['name']}",
    )
    return call


def check_call(entry: Entry, intake: Intake, http: Request, body: bytes) -> CallRequest | Failure:
    """Check what a call asks for."""
    service = http.path_params["service"]
    name = http.path_params["call"]
    declared = entry.configuration.call(service, name)
    if declared is None or service not in intake.workspace["services"]:
        workspace = intake.workspace["name"]
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
        request_id=intake.request,
        workspace=intake.workspace["name"],
        service=service,
        call=declared,
        key=key,
        digest=body_digest(f"{service}/{name}\0".encode() + body),
        body=body,
        deadline=intake.deadline,
    )


def answer_response(answer: HttpResponse, request: str) -> Response:
    """Return the HTTP answer that passes on a service's answer."""
    headers = {name: answer.headers[name] for name in PASSED_HEADERS if name in answer.headers}
    headers |= {"verdict": Verdict.RAN.value, "request-id": request}
    return Response(answer.body, answer.status, headers)
