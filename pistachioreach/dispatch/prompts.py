"""Prompts that crash engines: which crashes count, and which requests are refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.dispatch.crashes import BLOCKED_RETRY_SECONDS
from pistachioreach.dispatch.work import refused
from pistachioreach.platform.engines import is_listening
from pistachioreach.routing.suspects import part_fingerprints
from pistachioreach.verdict import ENDPOINT_FAILED, PROMPT_BLOCKED, Failure, Verdict

if TYPE_CHECKING:
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.connections import Connections
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.journal import Journal
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["clear_prompt", "count_prompt_crash", "prompt_failure"]


def prompt_failure(
    routed: RoutedRequest, suspects: SuspectTracker, sent: bool
) -> Failure | None:
    """Return the failure of a request with a blocked part of a prompt, or None.

    Args:
        routed: The request.
        suspects: Crashes that count against parts of prompts.
        sent: Whether an earlier attempt of the request was sent.
    """
    part = suspects.blocked_part(routed.shared_parts)
    if part is None:
        return None
    detail = f"engines crashed on '{part}' of the prompt"
    if sent:
        return Failure(Verdict.MAY_HAVE_RUN, ENDPOINT_FAILED, detail)
    return refused(PROMPT_BLOCKED, detail, BLOCKED_RETRY_SECONDS)


async def count_prompt_crash(
    routed: RoutedRequest,
    engine: Endpoint,
    suspects: SuspectTracker,
    connections: Connections,
    journal: Journal,
) -> None:
    """Count a crash against the parts of a prompt if the engine has crashed.

    A broken connection alone does not show that.

    Args:
        routed: The request, whose answer was just beginning.
        engine: Engine whose connection broke.
        suspects: Crashes that count against parts of prompts.
        connections: Connections to the engines.
        journal: Journal of the decisions.
    """
    registration = engine.registration
    if not routed.shared_parts or await is_listening(
        connections, engine.id, registration.address
    ):
        return
    counted = [
        part
        for part in part_fingerprints(routed.shared_parts)
        if suspects.record_death(part, engine.run_id)
    ]
    journal.record(
        "prompt suspected",
        routed.request.id,
        ",".join(counted),
        "its engine crashed as the answer began",
        endpoint=engine.id,
        parts=routed.shared_parts,
        blocked=suspects.blocked_part(routed.shared_parts),
    )


def clear_prompt(routed: RoutedRequest, suspects: SuspectTracker) -> None:
    """Clear the parts of a prompt whose answer has gone on after its beginning."""
    for part in part_fingerprints(routed.shared_parts):
        suspects.clear_part(part)
