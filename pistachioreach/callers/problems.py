"""Problem documents (RFC 9457) that carry the verdict of a failed request."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, TypedDict

import msgspec
from starlette.responses import Response

if TYPE_CHECKING:
    from pistachioreach.verdict import Failure

__all__ = ["Problem", "problem_of", "problem_response"]

#: Prefix of the `type` of each problem; the reason's code follows.
TYPE_PREFIX = "urn:pistachioreach:reason:"


class Problem(TypedDict):
    """Body of a refusal.

    Attributes:
        type: Names the reason.
        title: One sentence on the reason.
        status: Status code.
        detail: What was seen.
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


def problem_of(failure: Failure, request: str) -> Problem:
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
    """Return the HTTP answer of a failure."""
    headers = {"verdict": failure.verdict.value, "request-id": request}
    if failure.retry_after is not None:
        headers["retry-after"] = str(math.ceil(failure.retry_after))
    return Response(
        msgspec.json.encode(problem_of(failure, request)),
        failure.reason.status,
        headers,
        "application/problem+json",
    )
