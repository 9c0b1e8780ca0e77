"""Calls that crash endpoints: which crashes count, and which calls are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.work import refused
from pistachioreach.routing.suspects import call_fingerprint
from pistachioreach.verdict import REQUEST_BLOCKED

if TYPE_CHECKING:
    from pistachioreach.clock import Clock
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.journal import Journal
    from pistachioreach.routing.suspects import SuspectTracker
    from pistachioreach.verdict import Failure

__all__ = [
    "BLOCKED_RETRY_SECONDS",
    "blocked_call",
    "count_call_crash",
    "is_blocked_call",
]

#: Retry-After, in seconds, of a request that is refused because it crashes endpoints.
BLOCKED_RETRY_SECONDS = 60.0
#: The same if the crashes are not certain yet: most are found to be certain, or are
#: withdrawn, within that time.
SUSPECTED_RETRY_SECONDS = 3.0
#: Share of the time until its deadline that a call waits for evidence. The rest is left
#: for an attempt.
EVIDENCE_TIME_SHARE = 0.5
#: Seconds between two looks at the evidence.
EVIDENCE_CHECK_SECONDS = 0.1


async def is_blocked_call(
    routed: RoutedRequest, suspects: SuspectTracker, clock: Clock
) -> bool:
    """Return whether a call is blocked, after a wait for evidence if needed.

    The endpoints on which it seems to have crashed may only have lost their links.

    Args:
        routed: The call.
        suspects: Crashes that count against calls.
        clock: Clock of the deadline.
    """
    fingerprint = call_fingerprint(routed.fingerprint)
    now = clock.monotonic()
    end = now + EVIDENCE_TIME_SHARE * (routed.deadline - now)
    while (
        suspects.blocks_call(fingerprint)
        and not suspects.blocks_call(fingerprint, certain=True)
        and clock.monotonic() < end
    ):
        await trio.sleep(EVIDENCE_CHECK_SECONDS)
    return suspects.blocks_call(fingerprint)


def blocked_call(routed: RoutedRequest, suspects: SuspectTracker) -> Failure:
    """Return the failure of a call that is blocked and was not sent."""
    fingerprint = call_fingerprint(routed.fingerprint)
    count = suspects.death_count(fingerprint)
    certain = suspects.blocks_call(fingerprint, certain=True)
    wait = BLOCKED_RETRY_SECONDS if certain else SUSPECTED_RETRY_SECONDS
    detail = f"{count} endpoints crashed on the same call"
    return refused(REQUEST_BLOCKED, detail, wait)


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
