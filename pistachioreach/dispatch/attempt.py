"""One attempt of a generation: reads, verifies, diagnoses and reattaches a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.cursor import Cursor, CursorWriter
from pistachioreach.dispatch.diagnosis import Diagnosis, diagnose
from pistachioreach.dispatch.watch import WatchedStream
from pistachioreach.endpoints.wire import BrokenStream, StageFailure, StreamOrder
from pistachioreach.routing.silence import STALL_FACTOR
from pistachioreach.routing.verify import Check
from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from pistachioreach.dispatch.generation import Generation
    from pistachioreach.endpoints.engine import EventBatches
    from pistachioreach.endpoints.wire import EndEvent, Event, Stage

__all__ = ["Aborted", "Attempt", "Completed", "run_attempt"]

#: Times that one attempt's stream is reattached over a new connection.
MAX_REATTACHMENTS = 30
#: Timeout in seconds for a probe of a stage; link latency is a few milliseconds.
PROBE_TIMEOUT_SECONDS = 0.1


class Attempt(NamedTuple):
    """One attempt to generate an answer on a chain.

    Attributes:
        number: Number of the attempt, from 1.
        stream: Name of the attempt's stream at the engines.
        stages: Stages of the chain.
    """

    number: int
    stream: str
    stages: tuple[Stage, ...]


class Completed(NamedTuple):
    """Result of an attempt that delivered the last token."""


class Aborted(NamedTuple):
    """Result of an attempt that cannot be continued.

    Attributes:
        culprit: Name of the endpoint to avoid, or None to avoid the whole chain.
        endpoint_died: Whether the endpoint to avoid stopped or was restarted.
        may_have_run: Whether any stage may have run a part of the attempt.
        refused: Whether the endpoint to avoid refused the stream.
        detail: What was observed.
    """

    culprit: str | None
    endpoint_died: bool
    may_have_run: bool
    refused: bool
    detail: str


class Silent(NamedTuple):
    """A stream that delivered nothing within its timeout.

    Attributes:
        seconds: Duration of the silence.
    """

    seconds: float


#: Results by the verifier's finding; any stage of the chain may be at fault.
ABORT_BY_CHECK = {
    Check.GAP: Aborted(None, False, True, False, "a token is missing"),
    Check.TRACE: Aborted(
        None, False, True, False, "a layer did not run once, in order"
    ),
}

#: Reason why the read of a stream stopped.
StopReason = Completed | Silent | BrokenStream | StageFailure | Aborted


async def run_attempt(
    generation: Generation, attempt: Attempt, attached: bool
) -> Completed | Aborted:
    """Read an attempt's stream to its end, over several connections if needed.

    Args:
        generation: The generation.
        attempt: The attempt.
        attached: Whether the stream already runs, so that it is only reattached.

    Returns:
        `Completed`, or `Aborted` with the cause.
    """
    generation.verifier.start_attempt(attempt.number)
    client = generation.entry.engines
    slow_position: int | None = None
    start_position = generation.verifier.position
    initially_attached = attached
    for _ in range(MAX_REATTACHMENTS):
        position = generation.verifier.position
        timeout_factor = STALL_FACTOR if slow_position == position else 1.0
        if attached:
            context = client.attach(attempt.stages[0], attempt.stream, position)
        else:
            context = client.open(stream_order(generation, attempt))
        stop = await read_stream(generation, attempt, context, attached, timeout_factor)
        if isinstance(stop, Completed | Aborted):
            return stop
        started = initially_attached or generation.verifier.position > start_position
        diagnosis = await find_cause(generation, attempt, stop, started)
        if isinstance(diagnosis, Aborted):
            return diagnosis
        position = generation.verifier.position
        if diagnosis.slow and slow_position == position:
            return Aborted(diagnosis.culprit, False, True, False, diagnosis.detail)
        slow_position = position if diagnosis.slow else None
        reason = diagnosis.detail
        generation.record("reattach", attempt.stages[0].endpoint, reason)
        attached = True
    first_endpoint = attempt.stages[0].endpoint
    return Aborted(
        first_endpoint, False, True, False, "connections break again and again"
    )


def stream_order(generation: Generation, attempt: Attempt) -> StreamOrder:
    """Return the order that opens the stream of an attempt."""
    request = generation.request
    return StreamOrder(
        stream=attempt.stream,
        request=request.request_id,
        attempt=attempt.number,
        model=request.model,
        prompt=request.prompt,
        received=list(generation.tokens),
        max_tokens=request.max_tokens,
        priority=request.priority,
        stages=list(attempt.stages),
        stage=0,
        previous=list(generation.previous_streams),
    )


def cursor_writer(generation: Generation, attempt: Attempt) -> CursorWriter:
    """Return the writer of the cursors of an attempt."""
    request = generation.request
    cursor = Cursor(
        request.request_id,
        request.workspace,
        request.digest,
        attempt.number,
        attempt.stream,
        tuple(stage.endpoint for stage in attempt.stages),
    )
    return CursorWriter(cursor, generation.entry.cursor_keys[0])


async def read_stream(
    generation: Generation,
    attempt: Attempt,
    context: AbstractAsyncContextManager[EventBatches],
    attached: bool,
    timeout_factor: float,
) -> StopReason:
    """Read, verify and deliver events until the stream stops.

    The timeout runs while the entry waits for the engine, including while the stream
    is opened, and not while it waits for the caller. Only tokens postpone it.

    Args:
        generation: The generation.
        attempt: The attempt.
        context: Context manager that opens the stream and yields its events.
        attached: Whether the stream already ran when the context opens it.
        timeout_factor: Factor on the timeout for the first event.

    Returns:
        The reason why the read stopped.
    """
    writer = cursor_writer(generation, attempt)
    gap_estimator = generation.entry.gap_estimator(generation.request.model)
    by_name = generation.entry.fleet.states
    states = [by_name[s.endpoint] for s in attempt.stages if s.endpoint in by_name]
    timeout = timeout_factor * (
        gap_estimator.token_timeout()
        if attached
        else gap_estimator.first_token_timeout()
    )
    waiting_since = trio.current_time()
    awaiting_first = True
    watched = WatchedStream()
    watched.timeout_at = waiting_since + timeout
    with generation.entry.watchdog.watching(watched), watched.scope:
        async with context as batches:
            async for batch in batches:
                watched.timeout_at = float("inf")
                if watched.scope.cancel_called:
                    # The batch arrived just as the timeout expired. The cancelled
                    # scope lets nothing be delivered, so nothing may be counted as
                    # delivered: the batch is read again on the next connection.
                    break
                count, stop = await deliver_valid(generation, batch, writer)
                if count:
                    seconds = trio.current_time() - waiting_since
                    if awaiting_first and not attached:
                        gap_estimator.observe_first_wait(seconds)
                    elif not awaiting_first:
                        gap_estimator.observe_gap(seconds)
                        now = generation.entry.clock.monotonic()
                        generation.entry.fleet.observe_gap(states, seconds / count, now)
                    awaiting_first = False
                    timeout = gap_estimator.token_timeout()
                    waiting_since = trio.current_time()
                if stop is not None:
                    return stop
                watched.timeout_at = waiting_since + timeout
    return Silent(timeout)


async def deliver_valid(
    generation: Generation, batch: list[Event], writer: CursorWriter
) -> tuple[int, StopReason | None]:
    """Verify one batch of events and deliver the valid tokens.

    Returns:
        The number of delivered tokens, and the reason to stop the read, or None.
    """
    verifier = generation.verifier
    accepted = []
    stop: StopReason | None = None
    for event in batch:
        if isinstance(event, BrokenStream):
            stop = event
        elif "position" in event:
            check = verifier.check_token(event)
            if check is Check.ACCEPT:
                accepted.append(event)
            elif check is Check.DROP:
                generation.entry.metrics.incr("tokens_dropped")
            else:
                stop = ABORT_BY_CHECK[check]
        else:
            stop = handle_end(generation, event)
        if stop is not None:
            break
    if accepted:
        generation.verdict = Verdict.RAN
        generation.tokens.extend(event["text"] for event in accepted)
        await generation.deliver(accepted, writer)
    return len(accepted), stop


def handle_end(
    generation: Generation, event: EndEvent | StageFailure
) -> StopReason | None:
    """Return the reason to stop the read after an event other than a token, or None."""
    if "endpoint" in event:
        current = event["attempt"] == generation.verifier.attempt
        return event if current else None
    check = generation.verifier.check_end(event)
    if check is Check.DROP:
        return None
    if check is Check.ACCEPT:
        return Completed()
    return Aborted(None, False, True, False, "the stream ended before its last token")


async def find_cause(
    generation: Generation, attempt: Attempt, stop: StopReason, started: bool
) -> Aborted | Diagnosis:
    """Find out why a stream stopped, with probes of the stages if needed.

    Returns:
        `Aborted`, or a diagnosis if the stream can be reattached over a new
        connection.
    """
    if isinstance(stop, BrokenStream):
        if stop.refused:
            return Aborted(stop.endpoint, False, False, True, stop.detail)
        if not stop.sent:
            return Aborted(stop.endpoint, True, False, False, stop.detail)
    if isinstance(stop, dict) and stop["refused"]:
        return Aborted(stop["endpoint"], False, True, True, stop["detail"])
    diagnosis = await diagnose(
        generation.entry.engines,
        attempt.stages,
        attempt.stream,
        generation.verifier.position,
        started,
        PROBE_TIMEOUT_SECONDS,
    )
    if diagnosis.culprit is not None and not diagnosis.slow:
        return Aborted(
            diagnosis.culprit, diagnosis.endpoint_died, True, False, diagnosis.detail
        )
    if isinstance(stop, dict):
        return Aborted(stop["endpoint"], False, True, False, stop["detail"])
    return diagnosis
