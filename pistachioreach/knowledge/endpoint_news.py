"""News about endpoints that entries send each other besides rows and loads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from pistachioreach.peers.relay import Suspect

if TYPE_CHECKING:
    from pistachioreach.endpoints.directory import Directory
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.peers.relay import RelayMessage
    from pistachioreach.routing.suspects import SuspectTracker

__all__ = ["apply_news", "collect_news"]


def collect_news(
    suspects: SuspectTracker, health: HealthTracker, directory: Directory
) -> dict[str, Any]:
    """Return the fields of a relay message that tell of endpoints.

    Args:
        suspects: Requests suspected of crashing endpoints.
        health: Health and limits of the endpoints.
        directory: The endpoints.
    """
    return {
        "suspects": tuple(Suspect(*pair) for pair in suspects.recent_deaths()),
        "unusable": health.quarantine_notices(directory.endpoints.values()),
        "limits": health.limits.notices(),
        "leaving": directory.leaving_runs(),
    }


def apply_news(
    message: RelayMessage,
    suspects: SuspectTracker,
    health: HealthTracker,
    directory: Directory,
) -> None:
    """Apply what a message of another entry tells of endpoints.

    Args:
        message: The message.
        suspects: Requests suspected of crashing endpoints.
        health: Health and limits of the endpoints.
        directory: The endpoints.
    """
    for suspect in message.suspects:
        suspects.report_death(suspect.fingerprint, suspect.death, directory)
    for id, notice in message.unusable.items():
        if id in directory.endpoints:
            health.apply_notice(directory.endpoints[id], notice)
    for limit in message.limits:
        health.limits.record(*limit)
    for run in message.leaving:
        directory.mark_leaving(run)
