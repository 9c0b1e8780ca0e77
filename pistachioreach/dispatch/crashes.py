"""Calls that crash endpoints: which crashes count, and which calls are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.dispatch.work import refused
from pistachioreach.routing.suspects import call_fingerprint
from pistachioreach.verdict import REQUEST_BLOCKED

if TYPE_CHECKING:
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.journal import Journal
    from pistachioreach.routing.suspects import SuspectTracker
    from pistachioreach.verdict import Failure

__all__ = ["BLOCKED_RETRY_SECONDS", "blocked_call", "count_call_crash"]

#: Retry-After, in seconds, of a request that is refused because it crashes endpoints.
BLOCKED_RETRY_SECONDS = 60.0


def blocked_call(routed: RoutedRequest, suspects: SuspectTracker) -> Failure:
    """Return the failure of a call that is blocked and was not sent."""
    count = suspects.death_count(call_fingerprint(routed.fingerprint))
    detail = f"{count} endpoints crashed on the same call"
    return refused(REQUEST_BLOCKED, detail, BLOCKED_RETRY_SECONDS)


async def count_call_crash(
    routed: RoutedRequest,
    endpoint: Endpoint,
    suspects: SuspectTracker,
    connections: Connections,
    links: LinkMonitor,
    journal: Journal,
) -> None:
    """Count a suspected crash against a call if its endpoint may have crashed.

    A broken connection alone does not show that, nor do refused connections if this
    entry is cut off from all endpoints.

    Args:
        routed: The call.
        endpoint: Endpoint whose connection broke before the answer was complete.
        suspects: Crashes that count against calls.
        connections: Connections to the endpoints.
        links: Finds out whether this entry is cut off.
        journal: Journal of the decisions.
    """
    if await connections.is_listening(endpoint.registration.address):
        return
    if await links.check():
        return
    fingerprint = call_fingerprint(routed.fingerprint)
    suspects.record_crash(fingerprint, endpoint)
    journal.record(
        "call suspected",
        routed.request.id,
        fingerprint,
        "its endpoint crashed before the answer was complete",
        endpoint=endpoint.id,
        deaths=suspects.death_count(fingerprint),
        blocked=suspects.blocks_call(fingerprint),
    )
