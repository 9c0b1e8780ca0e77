"""Prompts that crash engines: which crashes count, and which requests are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.dispatch.crashes import BLOCKED_RETRY_SECONDS
from pistachioreach.dispatch.work import refused
from pistachioreach.platform.engines import is_listening
from pistachioreach.routing.suspects import part_fingerprints, request_fingerprint
from pistachioreach.verdict import (
    ENDPOINT_FAILED,
    PROMPT_BLOCKED,
    REQUEST_BLOCKED,
    Failure,
    Verdict,
)

if TYPE_CHECKING:
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.endpoints.link_monitor import LinkMonitor
    from pistachioreach.journal import Journal
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["MAX_DEATHS", "clear_prompt", "count_prompt_crash", "crash_failure"]

#: Endpoint deaths during a request after which the request is not sent again.
MAX_DEATHS = 3


def prompt_failure(
    routed: RoutedRequest, suspects: SuspectTracker, sent: bool, certain: bool = False
) -> Failure | None:
    """Return the failure of a request that is blocked, or None.

    A request is blocked as a whole or for a part of its prompt.

    Args:
        routed: The request.
        suspects: Crashes that count against parts of prompts.
        sent: Whether an earlier attempt of the request was sent.
        certain: Whether to count only the crashes that are certain.
    """
    if suspects.blocks_request(routed.fingerprint, certain):
        reason, detail = REQUEST_BLOCKED, "engines crashed on the same request"
    else:
        part = suspects.blocked_part(routed.shared_parts, certain)
        if part is None:
            return None
        reason, detail = PROMPT_BLOCKED, f"engines crashed on '{part}' of the prompt"
    if sent:
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)
    return refused(reason, detail, BLOCKED_RETRY_SECONDS)


def crash_failure(
    routed: RoutedRequest, suspects: SuspectTracker, sent: bool, certain: bool = False
) -> Failure | None:
    """Return the failure of a request on which endpoints crashed, or None.

    Args:
        routed: The request.
        suspects: Crashes that count against requests and parts of prompts.
        sent: Whether an earlier attempt of the request was sent.
        certain: Whether to count only the crashes that are certain.
    """
    blocked = prompt_failure(routed, suspects, sent, certain)
    if blocked is not None:
        return blocked
    if suspects.unexplained_death_count(routed.fingerprint, certain) < MAX_DEATHS:
        return None
    detail = f"{MAX_DEATHS} endpoints died while they ran this request"
    return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)


async def count_prompt_crash(
    routed: RoutedRequest,
    engine: Endpoint,
    suspects: SuspectTracker,
    connections: Connections,
    links: LinkMonitor,
    journal: Journal,
) -> bool:
    """Count a suspected crash against a request and the parts of its prompt.

    A broken connection alone does not show that the engine has crashed, nor do refused
    connections if this entry is cut off from all endpoints.

    Args:
        routed: The request, whose answer was just beginning.
        engine: Engine whose connection broke.
        suspects: Crashes that count against requests and parts of prompts.
        connections: Connections to the engines.
        links: Finds out whether this entry is cut off.
        journal: Journal of the decisions.

    Returns:
        Whether the engine appears to have crashed.
    """
    registration = engine.registration
    if await is_listening(connections, engine.id, registration.address):
        return False
    if await links.check():
        return False
    fingerprints = [
        request_fingerprint(routed.fingerprint),
        *part_fingerprints(routed.shared_parts),
    ]
    counted = [
        fingerprint
        for fingerprint in fingerprints
        if suspects.record_crash(fingerprint, engine)
    ]
    journal.record(
        "prompt suspected",
        routed.request.id,
        ",".join(counted),
        "its engine crashed as the answer began",
        endpoint=engine.id,
        parts=routed.shared_parts,
        blocked_request=suspects.blocks_request(routed.fingerprint),
        blocked=suspects.blocked_part(routed.shared_parts),
    )
    return True


def clear_prompt(routed: RoutedRequest, suspects: SuspectTracker) -> None:
    """Clear a request whose answer has gone on after its beginning, and its parts."""
    suspects.clear_request(routed.fingerprint)
    for part in part_fingerprints(routed.shared_parts):
        suspects.clear_part(part)
