"""Check that each request that an endpoint got is answered completely."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from soak.checks import MARGIN_SECONDS, Attempt, RunRecord

if TYPE_CHECKING:
    from pathlib import Path

    from pistachioreach.platform.standins.deployment import StandInDeployment

__all__ = ["check_answers", "find_recipients"]

#: Maximum number of lines of a router's log that the events quote for a request.
QUOTED_LINES = 12


def find_recipients(deployment: StandInDeployment) -> dict[str, list[list[str]]]:
    """Return the endpoints of each execution, by identifier of the attempt."""
    recipients: dict[str, list[list[str]]] = {}
    engines = deployment.engines
    for engine in engines.values():
        for request, chains in engine.chains.items():
            recipients.setdefault(request, []).extend(
                [engines[address].id for address, _, _ in stages] for stages in chains
            )
    for service in deployment.services.values():
        for request in service.runs:
            recipients.setdefault(request, []).append([service.id])
    return recipients


def check_answers(
    record: RunRecord, recipients: dict[str, list[list[str]]], output: Path
) -> None:
    """Check that callers on kept connections got whole answers to what was passed on.

    A request is excused if its deadline has passed, if its router was killed, stopped
    or not ready or the callers' link to it had a fault, or if one of its executions was
    on an endpoint with a fault of its own. The faults of the groups "cuts of routers"
    and "sound endpoints" excuse nothing.

    Args:
        record: Record with the attempts; violations are added to it.
        recipients: Identifiers of the endpoints of each execution, by identifier of
            the attempt.
        output: Folder with the logs of the routers.
    """
    counts = {"no answer byte": 0, "begun answer broken off": 0}
    for attempt in record.attempts:
        executions = recipients.get(attempt.id, ())
        if is_answered(attempt) or not attempt.kept or not executions:
            continue
        subjects = {attempt.router, *chain.from_iterable(executions)}
        if not all(stayed_sound(record, attempt, subject) for subject in subjects):
            continue
        kind = "no answer byte"
        if attempt.status is not None:
            kind = "begun answer broken off"
        counts[kind] += 1
        endpoints = ", and to ".join("+".join(names) for names in executions)
        record.add_violation(
            f"{kind}: {attempt.route} {attempt.id} at {attempt.router}, sent "
            f"{attempt.sent_at - record.start:.2f} s after the start on a kept "
            f"connection and passed on to {endpoints}, closed after "
            f"{attempt.ended_at - attempt.sent_at:.3f} s with {len(attempt.body)} of "
            f"{len(attempt.expected_body)} bytes: {attempt.error}"
        )
        for line in lines_about(attempt, output):
            record.log_event(f"  {line}")
    record.log_event(", ".join(f"{kind}: {count}" for kind, count in counts.items()))


def is_answered(attempt: Attempt) -> bool:
    """Return whether an attempt got a whole answer, or none by its deadline."""
    whole = attempt.status is not None and attempt.complete
    return whole or attempt.ended_at - attempt.sent_at >= attempt.deadline_seconds


def stayed_sound(record: RunRecord, attempt: Attempt, subject: str) -> bool:
    """Return whether a router or endpoint was sound throughout an attempt."""
    since = attempt.sent_at - MARGIN_SECONDS
    return record.sound_between(subject, since, attempt.ended_at)


def lines_about(attempt: Attempt, output: Path) -> list[str]:
    """Return the last lines of the routers' logs that contain an identifier."""
    return [
        f"{log.stem}: {line}"
        for log in sorted(output.glob("*.log"))
        for line in log.read_text(errors="replace").splitlines()
        if f'"{attempt.id}"' in line
    ][-QUOTED_LINES:]
