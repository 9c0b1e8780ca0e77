"""Problem documents (RFC 9457) that report why a request failed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypedDict

import msgspec
from starlette.responses import Response

if TYPE_CHECKING:
    from pistachioreach.verdict import Failure

__all__ = ["Problem", "problem_document", "problem_response"]

#: Prefix of the `type` member; the code of the reason follows.
TYPE_PREFIX = "urn:pistachioreach:reason:"


class Problem(TypedDict):
    """Body of the answer to a request that was refused or failed.

    Attributes:
        type: URN of the reason.
        title: One sentence that describes the reason.
        status: HTTP status code.
        detail: What happened to this request.
        request: Identifier of the request, for `pistachioreach explain`.
        verdict: Whether the request may have run.
        may_retry: Whether the same request may be sent again.
    """

    type: str
    title: str
    status: int
    detail: str
    request: str
    verdict: str
    may_retry: bool


def problem_document(failure: Failure, request: str) -> Problem:
    """Return the problem document of a failure."""
    reason = failure.reason
    return Problem(
        type=TYPE_PREFIX + reason.code,
        title=reason.title,
        status=reason.status,
        detail=failure.detail,
        request=request,
        verdict=failure.verdict.value,
        may_retry=reason.may_retry,
    )


def problem_response(failure: Failure, request: str) -> Response:
    """Return the HTTP response that carries a failure's problem document."""
    headers = {"verdict": failure.verdict.value, "request-id": request}
    if failure.retry_after is not None:
        headers["retry-after"] = str(math.ceil(failure.retry_after))
    return Response(
        msgspec.json.encode(problem_document(failure, request)),
        failure.reason.status,
        headers,
        "application/problem+json",
    )
