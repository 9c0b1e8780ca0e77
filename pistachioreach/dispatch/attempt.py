"""One attempt: a stream read, verified, diagnosed and read on."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.dispatch.cursor import Cursor, CursorWriter
from pistachioreach.dispatch.diagnosis import Diagnosis, diagnose
from pistachioreach.dispatch.watch import Watched
from pistachioreach.endpoints.wire import BrokenStream, StageFailure, StreamOrder
from pistachioreach.routing.silence import STALL_FACTOR
from pistachioreach.routing.verify import Check
from pistachioreach.verdict import Verdict

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    from pistachioreach.dispatch.generation import Generation
    from pistachioreach.endpoints.engine import EventBatches
    from pistachioreach.endpoints.wire import EndEvent, Event, Stage

__all__ = ["Attempt", "Ended", "Lost", "run_attempt"]

#: Times that one attempt's stream is read on over a fresh connection.
MOST_REATTACHMENTS = 30
#: Seconds that a stage has to answer a probe; a link's delay is a few milliseconds.
PROBE_SECONDS = 0.1


class Attempt(NamedTuple):
    """One attempt.

    Attributes:
        number: Its number, from 1.
        stream: Name of its stream at the engines.
        stages: Its chain.
    """

    number: int
    stream: str
    stages: tuple[Stage, ...]


class Ended(NamedTuple):
    """An attempt that delivered the last token."""


class Lost(NamedTuple):
    """An attempt that cannot go on.

    Attributes:
        blame: Name of the endpoint to avoid, or None for the whole chain.
        died: Whether that endpoint no longer runs, or runs anew.
        ran: Whether any stage may have run a part of it.
        refused: Whether the endpoint to avoid refused the stream.
        detail: What was seen.
    """

    blame: str | None
    died: bool
    ran: bool
    refused: bool
    detail: str


class Silent(NamedTuple):
    """A stream that gave nothing for longer than is normal.

    Attributes:
        seconds: How long it was silent.
    """

    seconds: float


#: Losses by what the verifier found; any stage of the chain may be at fault.
BREACHES = {
    Check.GAP: Lost(None, False, True, False, "a token is missing"),
    Check.TRACE: Lost(None, False, True, False, "a layer did not run once, in order"),
}

#: Why the reading of a stream stopped.
Stop = Ended | Silent | BrokenStream | StageFailure | Lost


async def run_attempt(generation: Generation, attempt: Attempt, attached: bool) -> Ended | Lost:
    """Read an attempt's stream to its end, over several connections if need be.

    Args:
        generation: The request.
        attempt: The attempt.
        attached: Whether the stream runs already and is only read on.

    Returns:
        `Ended`, or what made it impossible to go on.
    """
    generation.verifier.start_attempt(attempt.number)
    client = generation.entry.engines
    slow_at: int | None = None
    begin = generation.verifier.position
    attached_first = attached
    for _ in range(MOST_REATTACHMENTS):
        position = generation.verifier.position
        patience = STALL_FACTOR if slow_at == position else 1.0
        if attached:
            context = client.attach(attempt.stages[0], attempt.stream, position)
        else:
            context = client.open(order_of(generation, attempt))
        stop = await read(generation, attempt, context, attached, patience)
        if isinstance(stop, Ended | Lost):
            return stop
        started = attached_first or generation.verifier.position > begin
        found = await examine(generation, attempt, stop, started)
        if isinstance(found, Lost):
            return found
        position = generation.verifier.position
        if found.slow and slow_at == position:
            return Lost(found.blame, False, True, False, found.detail)
        slow_at = position if found.slow else None
        reason = found.detail
        generation.record("reattach", attempt.stages[0].endpoint, reason)
        attached = True
    first = attempt.stages[0].endpoint
    return Lost(first, False, True, False, "connections break again and again")


def order_of(generation: Generation, attempt: Attempt) -> StreamOrder:
    """Return the order that opens an attempt's stream."""
    request = generation.request
    return StreamOrder(
        stream=attempt.stream,
        request=request.request,
        attempt=attempt.number,
        model=request.model,
        prompt=request.prompt,
        received=list(generation.tokens),
        max_tokens=request.max_tokens,
        priority=request.priority,
        stages=list(attempt.stages),
        stage=0,
        previous=list(generation.streams),
    )


def cursor_writer(generation: Generation, attempt: Attempt) -> CursorWriter:
    """Return the writer of an attempt's cursors."""
    request = generation.request
    cursor = Cursor(
        request.request,
        request.workspace,
        request.digest,
        attempt.number,
        attempt.stream,
        tuple(stage.endpoint for stage in attempt.stages),
    )
    return CursorWriter(cursor, generation.entry.cursor_keys[0])


async def read(
    generation: Generation,
    attempt: Attempt,
    context: AbstractAsyncContextManager[EventBatches],
    attached: bool,
    patience: float,
) -> Stop:
    """Read, verify and deliver events until the stream stops.

    The time limit runs while the entry waits for the engine, the opening of the
    stream included, and never while it waits for the caller.

    Args:
        generation: The request.
        attempt: The attempt.
        context: Opens the stream and gives its events.
        attached: Whether the stream ran already when it was opened here.
        patience: Factor on the limit for the first event.

    Returns:
        Why reading stopped.
    """
    writer = cursor_writer(generation, attempt)
    gaps = generation.entry.gap_estimator(generation.request.model)
    known = generation.entry.fleet.states
    states = [known[s.endpoint] for s in attempt.stages if s.endpoint in known]
    limit = patience * (gaps.token_timeout() if attached else gaps.first_token_timeout())
    waiting_since = trio.current_time()
    first = True
    watched = Watched()
    watched.due = waiting_since + limit
    with generation.entry.watch.over(watched), watched.scope:
        async with context as batches:
            async for batch in batches:
                watched.due = float("inf")
                if watched.scope.cancel_called:
                    # The batch and the end of the wait came together. Nothing
                    # could be delivered under this scope, so nothing may count
                    # as delivered: the batch is read again.
                    break
                count, stop = await take(generation, batch, writer)
                if count:
                    seconds = trio.current_time() - waiting_since
                    if first and not attached:
                        gaps.observe_first_wait(seconds)
                    elif not first:
                        gaps.observe_gap(seconds)
                        now = generation.entry.clock.monotonic()
                        generation.entry.fleet.observe_gap(states, seconds / count, now)
                    first = False
                    limit = gaps.token_timeout()
                if stop is not None:
                    return stop
                waiting_since = trio.current_time()
                watched.due = waiting_since + limit
    return Silent(limit)


async def take(generation: Generation, batch: list[Event], writer: CursorWriter) -> tuple[int, Stop | None]:
    """Verify one batch and deliver what is right.

    Returns:
        How many tokens were delivered, and why reading stops, if it does.
    """
    verifier = generation.verifier
    accepted = []
    stop: Stop | None = None
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
                stop = BREACHES[check]
        else:
            stop = ending(generation, event)
        if stop is not None:
            break
    if accepted:
        generation.verdict = Verdict.RAN
        generation.tokens.extend(event["text"] for event in accepted)
        await generation.deliver(accepted, writer)
    return len(accepted), stop


def ending(generation: Generation, event: EndEvent | StageFailure) -> Stop | None:
    """Return why reading stops after an event that is not a token."""
    if "endpoint" in event:
        current = event["attempt"] == generation.verifier.attempt
        return event if current else None
    check = generation.verifier.check_end(event)
    if check is Check.DROP:
        return None
    if check is Check.ACCEPT:
        return Ended()
    return Lost(None, False, True, False, "the stream ended before its last token")


async def examine(generation: Generation, attempt: Attempt, stop: Stop, started: bool) -> Lost | Diagnosis:
    """Find out why a stream stopped.

    Returns:
        The loss, or what was found when the stream can be read on over a fresh
        connection.
    """
    if isinstance(stop, BrokenStream):
        if stop.refused:
            return Lost(stop.endpoint, False, False, True, stop.detail)
        if not stop.sent:
            return Lost(stop.endpoint, True, False, False, stop.detail)
    if isinstance(stop, dict) and stop["refused"]:
        return Lost(stop["endpoint"], False, True, True, stop["detail"])
    found = await diagnose(
        generation.entry.engines,
        attempt.stages,
        attempt.stream,
        generation.verifier.position,
        started,
        PROBE_SECONDS,
    )
    if found.blame is not None and not found.slow:
        return Lost(found.blame, found.died, True, False, found.detail)
    if isinstance(stop, dict):
        return Lost(stop["endpoint"], False, True, False, stop["detail"])
    return found
