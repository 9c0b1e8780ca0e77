"""Attempts of streams: their header fields, and what a failure says of the engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pistachioreach.dispatch.finder import stage_addresses
from pistachioreach.dispatch.work import FailedAttempt
from pistachioreach.platform.requests import chain_header, endpoint_headers
from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.dispatch.deaths import DeathTracker
    from pistachioreach.dispatch.events import EventSplitter
    from pistachioreach.dispatch.silence import StreamRun
    from pistachioreach.dispatch.silent_engines import SilentEngines
    from pistachioreach.dispatch.work import RoutedRequest
    from pistachioreach.endpoints.directory import Endpoint
    from pistachioreach.endpoints.health import HealthTracker
    from pistachioreach.errors import ConnectionFailed
    from pistachioreach.routing.paths import Path
    from pistachioreach.routing.progress import Progress

__all__ = ["abandoned_attempt", "blame_engines", "broken_attempt", "stream_fields"]

#: Share of an engine's memory known to be in use below which a refusal is not caused by
#: lack of memory: the engine is dead or is unloading its layers.
LOW_MEMORY_USE = 0.3


def stream_fields(
    routed: RoutedRequest, events: EventSplitter, path: Path, timeout: float
) -> list[tuple[bytes, bytes]]:
    """Return the header fields of the request to the first engine of a chain.

    Args:
        routed: The request for the stream.
        events: Events that the caller has received.
        path: The chain.
        timeout: Seconds left until the deadline.
    """
    return endpoint_headers(
        routed.request,
        endpoint=path.stages[0].endpoint.id,
        workspace=routed.workspace,
        seconds=timeout,
        priority=routed.priority,
        body=routed.body,
        chain=chain_header(stage_addresses(path)),
        last_event=events.last_number,
    )


def abandoned_attempt(run: StreamRun, now: float) -> FailedAttempt:
    """Return the failed attempt that the stall monitor abandoned.

    Args:
        run: The abandoned run.
        now: Current monotonic time in seconds.
    """
    ids = frozenset(stage.endpoint.id for stage in run.suspects)
    culprit = run.suspects[0].endpoint if len(run.suspects) == 1 else None
    silence = now - run.last_event_at
    detail = f"silent for {silence:.3f} s; no progress of {sorted(ids)}"
    return FailedAttempt(run.verdict, detail, culprit, abandoned=True, avoid=ids)


def broken_attempt(
    error: ConnectionFailed, culprit: Endpoint | None, died: bool
) -> FailedAttempt:
    """Return the failed attempt whose connection failed.

    Args:
        error: How the connection failed.
        culprit: First engine of the chain, or None if it is not at fault.
        died: Whether the engine appears to have died.
    """
    verdict = Verdict.MAY_HAVE_RUN if error.sent else Verdict.NOT_RUN
    if culprit is None:
        return FailedAttempt(verdict, str(error))
    return FailedAttempt(
        verdict,
        str(error),
        culprit,
        unreached=not error.sent,
        died=died,
        avoid=frozenset((culprit.id,)),
    )


def blame_engines(
    failed: FailedAttempt,
    memory_use: Callable[[Endpoint], float],
    health: HealthTracker,
    progress: Progress,
    deaths: DeathTracker,
    silent_engines: SilentEngines,
) -> None:
    """Update what is known of the engines of a chain after a failed attempt.

    Args:
        failed: The failed attempt.
        memory_use: Returns the share of an engine's memory known to be in use.
        health: Health state of the endpoints.
        progress: Progress of each engine.
        deaths: Tracker of endpoint deaths.
        silent_engines: Engines that fell silent.
    """
    culprit = failed.culprit
    if failed.abandoned:
        progress.penalize(failed.avoid)
    if failed.unreached:
        health.mark_unusable(culprit, failed.detail)
    elif culprit is not None and failed.fallback is not None:
        # An engine that answers with errors is soon free again, so that without a
        # quarantine all entries would choose it first.
        health.record_failure(culprit, failed.detail, notify_peers=True)
    elif culprit is not None:
        refused = failed.verdict is Verdict.NOT_RUN
        if refused and memory_use(culprit) < LOW_MEMORY_USE:
            health.mark_unusable(culprit, failed.detail)
        else:
            health.record_failure(culprit, failed.detail, notify_peers=refused)
    if culprit is not None and failed.died:
        deaths.record_crash(culprit)
    elif culprit is not None and failed.abandoned:
        silent_engines.record(culprit)
