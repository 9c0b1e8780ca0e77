"""Wire types of the engines' protocol; docs/protocols.md describes it."""

from __future__ import annotations

from typing import NamedTuple, TypedDict

import msgspec

__all__ = [
    "END_PREFIX",
    "FAILED_PREFIX",
    "TOKEN_PREFIX",
    "BrokenStream",
    "EndEvent",
    "Event",
    "LayerRun",
    "LoadReport",
    "RefusalBody",
    "Stage",
    "StageFailure",
    "StreamOrder",
    "StreamState",
    "TokenEvent",
    "encode_event",
    "parse_events",
]

#: First bytes of a server-sent event that carries a token.
TOKEN_PREFIX = b"event: token\ndata: "
#: First bytes of the event that ends a stream.
END_PREFIX = b"event: end\ndata: "
#: First bytes of the event that reports a stage lost further down the chain.
FAILED_PREFIX = b"event: failed\ndata: "


class Stage(NamedTuple):
    """One stage of a chain.

    Attributes:
        endpoint: Name of the endpoint.
        address: Its address, `ip:port`.
        first: First layer that it runs.
        last: Layer after the last that it runs.
    """

    endpoint: str
    address: str
    first: int
    last: int


class LayerRun(NamedTuple):
    """One entry of a token's trace: who ran which layers.

    Attributes:
        endpoint: Name of the endpoint.
        first: First layer that it ran.
        last: Layer after the last that it ran.
    """

    endpoint: str
    first: int
    last: int


class StreamOrder(TypedDict):
    """Body of the request that opens a stream at the first stage.

    Attributes:
        stream: Unique name of the stream; names one attempt.
        request: Identifier of the request.
        attempt: Number of the attempt, from 1.
        model: Name of the model.
        prompt: The caller's prompt.
        received: Tokens of earlier attempts, which this one continues.
        max_tokens: Length of the whole answer at most, `received` included.
        priority: Priority, 0 the highest.
        stages: The chain, in the order of layers.
        stage: Index in `stages` of the receiver.
        previous: Earlier streams of the request whose cache may be reused.
    """

    stream: str
    request: str
    attempt: int
    model: str
    prompt: str
    received: list[str]
    max_tokens: int
    priority: int
    stages: list[Stage]
    stage: int
    previous: list[str]


class TokenEvent(TypedDict):
    """One token.

    Attributes:
        request: Identifier of the request.
        attempt: Number of the attempt that produced it.
        position: Place in the answer, from 0.
        text: Text of the token.
        trace: The layers that it went through, in order.
    """

    request: str
    attempt: int
    position: int
    text: str
    trace: list[LayerRun]


class EndEvent(TypedDict):
    """End of a stream.

    Attributes:
        request: Identifier of the request.
        attempt: Number of the attempt.
        count: Tokens of the whole answer, those of earlier attempts included.
    """

    request: str
    attempt: int
    count: int


class StageFailure(TypedDict):
    """Report of a stage that lost the next one.

    Attributes:
        request: Identifier of the request.
        attempt: Number of the attempt.
        endpoint: Name of the endpoint that was lost.
        refused: Whether that endpoint refused the stream before running it.
        detail: What was seen.
    """

    request: str
    attempt: int
    endpoint: str
    refused: bool
    detail: str


class BrokenStream(NamedTuple):
    """Local event: the stream cannot be read any further.

    Attributes:
        endpoint: Name of the endpoint concerned.
        sent: Whether a byte of the order may have left.
        refused: Whether the endpoint said that it refused before running.
        detail: What was seen.
    """

    endpoint: str
    sent: bool
    refused: bool
    detail: str


class StreamState(TypedDict):
    """What one stage knows of a stream.

    Attributes:
        received: Tokens that it has got from the next stage, or generated.
        produced: Tokens that it has passed on or has ready.
        ended: Whether the stream has ended there.
        waiting: Whether the stream waits for a place there.
    """

    received: int
    produced: int
    ended: bool
    waiting: bool


class LoadReport(TypedDict):
    """Load of an engine, as it reports it.

    Attributes:
        running: Streams that run.
        waiting: Streams that wait for a place.
        leaving: Whether it takes no new streams.
    """

    running: int
    waiting: int
    leaving: bool


class RefusalBody(TypedDict):
    """Body of an engine's answer to an order that it does not run.

    Attributes:
        ran: Whether any part of the order ran.
        reason: Why it was refused.
    """

    ran: bool
    reason: str


Event = TokenEvent | EndEvent | StageFailure | BrokenStream

_token_decoder = msgspec.json.Decoder(TokenEvent)
_end_decoder = msgspec.json.Decoder(EndEvent)
_failed_decoder = msgspec.json.Decoder(StageFailure)


def encode_event(event: TokenEvent | EndEvent | StageFailure) -> bytes:
    """Return the server-sent event of an event."""
    if "position" in event:
        prefix = TOKEN_PREFIX
    elif "count" in event:
        prefix = END_PREFIX
    else:
        prefix = FAILED_PREFIX
    return prefix + msgspec.json.encode(event) + b"\n\n"


def parse_events(block: bytes) -> list[Event]:
    """Decode complete server-sent events.

    Args:
        block: Events, each with its terminating blank line.

    Returns:
        The events in order; comments and unknown events are passed over.

    Raises:
        msgspec.DecodeError: An event's data is malformed.
    """
    events: list[Event] = []
    for raw in block.split(b"\n\n"):
        if raw.startswith(TOKEN_PREFIX):
            events.append(_token_decoder.decode(raw[len(TOKEN_PREFIX) :]))
        elif raw.startswith(END_PREFIX):
            events.append(_end_decoder.decode(raw[len(END_PREFIX) :]))
        elif raw.startswith(FAILED_PREFIX):
            events.append(_failed_decoder.decode(raw[len(FAILED_PREFIX) :]))
    return events
