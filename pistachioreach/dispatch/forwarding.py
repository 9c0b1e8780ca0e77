"""Forwarding of the events of a stream from a response to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.dispatch.events import EventError

if TYPE_CHECKING:
    from collections.abc import Callable

    from pistachioreach.dispatch.events import EventSplitter
    from pistachioreach.dispatch.work import Reply
    from pistachioreach.endpoints.connections import Exchange
    from pistachioreach.platform.requests import EndpointResponse

__all__ = ["forward_events"]


def ignore() -> None:
    """Do nothing."""


async def forward_events(
    exchange: Exchange,
    answer: EndpointResponse,
    reply: Reply,
    events: EventSplitter,
    on_event: Callable[[], None] = ignore,
    on_sent: Callable[[], None] = ignore,
) -> None:
    """Forward complete events to the caller as they arrive.

    Args:
        exchange: Exchange with the response, whose body has not been read.
        answer: Header section of the response.
        reply: Reply to the caller.
        events: Events that the caller has received.
        on_event: Called with each event before it is sent, comments excepted.
        on_sent: Called after each part that was sent.

    Raises:
        ConnectionFailed: The connection broke.
        EventError: An event is not the next one, or the stream ends inside an event.
    """
    last_number = events.last_number
    async for data in exchange.response.aiter_stream():
        for complete in events.split(data):
            if events.last_number != last_number:
                # Comments, which a stalled endpoint may still send, change nothing.
                on_event()
            last_number = events.last_number
            # Nothing must cancel a write: an event that is already counted as delivered
            # would be missing from the response.
            with trio.CancelScope(shield=True):
                if not reply.started:
                    await reply.start(answer.status, answer.fields)
                await reply.send(complete)
            on_sent()
    if events.buffer:
        raise EventError("the stream ends in the middle of an event")
    if events.last_number is None:
        # A response without a length ends like this if its engine crashes.
        raise EventError("the stream ends before its first event")
    if not reply.started:
        await reply.start(answer.status, answer.fields)
