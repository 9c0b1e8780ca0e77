"""Answers of endpoints to requests that another entry has sent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.platform.requests import LEAVING_RUN

if TYPE_CHECKING:
    from pistachioreach.platform.requests import CallerRequest, EndpointResponse, Fields

__all__ = ["relayed_fields"]


def relayed_fields(
    request: CallerRequest, answer: EndpointResponse, run: str
) -> Fields:
    """Return the header fields of an endpoint's response that go to the caller.

    If the caller is another entry, which passes them on to its own caller, it also
    learns which endpoint leaves. Other news of it may come late, or not at all if this
    entry ends.

    Args:
        request: The caller's request.
        answer: Header section of the response.
        run: Identifier of the endpoint's run.
    """
    if request.relayed_by is None or not answer.leaving:
        return answer.fields
    return [*answer.fields, (LEAVING_RUN, run.encode("ascii"))]
