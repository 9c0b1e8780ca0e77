"""Wire types of the engines' protocol, described in docs/protocols.md."""

from __future__ import annotations

from typing import Annotated, NamedTuple, TypedDict

import msgspec
from msgspec import Meta

from pistachioreach.decoding import LARGEST_INTEGER

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

#: First bytes of the server-sent event that carries a token.
TOKEN_PREFIX = b"event: token\ndata: "
#: First bytes of the server-sent event that ends a stream.
END_PREFIX = b"event: end\ndata: "
#: First bytes of the server-sent event that reports a failed later stage of the chain.
FAILED_PREFIX = b"event: failed\ndata: "

#: Number of layers, tokens, attempts or streams, or a position among them.
Count = Annotated[int, Meta(ge=0, le=LARGEST_INTEGER)]


class Stage(NamedTuple):
    """One stage of a chain.

    Attributes:
        endpoint: Name of the endpoint.
        address: Address of the endpoint, `ip:port`.
        first: First layer that the endpoint runs.
        last: Layer after the last that the endpoint runs.
    """

    endpoint: str
    address: str
    first: Count
    last: Count


class LayerRun(NamedTuple):
    """One entry of a token's trace: the layers that one endpoint ran.

    Attributes:
        endpoint: Name of the endpoint.
        first: First layer that the endpoint ran.
        last: Layer after the last that the endpoint ran.
    """

    endpoint: str
    first: Count
    last: Count


class StreamOrder(TypedDict):
    """Body of the request that opens a stream at a stage.

    Attributes:
        stream: Unique name of the stream, which belongs to one attempt.
        request: Identifier of the request.
        attempt: Number of the attempt, from 1.
        model: Name of the model.
        prompt: Prompt of the caller.
        received: Tokens of earlier attempts; the attempt continues after them.
        max_tokens: Maximum number of tokens in the complete output, including
            `received`.
        priority: Priority, 0 the highest.
        stages: Stages of the chain, in the order of their layers.
        stage: Index in `stages` of the stage that receives the order.
        previous: Names of earlier streams of the request whose KV cache may be
            reused.
    """

    stream: str
    request: str
    attempt: Count
    model: str
    prompt: str
    received: list[str]
    max_tokens: Count
    priority: Count
    stages: list[Stage]
    stage: Count
    previous: list[str]


class TokenEvent(TypedDict):
    """Event that carries one token.

    Attributes:
        request: Identifier of the request.
        attempt: Number of the attempt that produced the token.
        position: Position of the token in the complete output, from 0.
        text: Text of the token.
        trace: Endpoints and layers that produced the token, in order.
    """

    request: str
    attempt: Count
    position: Count
    text: str
    trace: list[LayerRun]


class EndEvent(TypedDict):
    """Event that ends a stream.

    Attributes:
        request: Identifier of the request.
        attempt: Number of the attempt.
        count: Number of tokens in the complete output, including those of earlier
            attempts.
    """

    request: str
    attempt: Count
    count: Count


class StageFailure(TypedDict):
    """Event by which a stage reports that the next stage failed.

    Attributes:
        request: Identifier of the request.
        attempt: Number of the attempt.
        endpoint: Name of the endpoint that failed.
        refused: Whether the failed endpoint rejected the stream before running it.
        detail: Description of the failure.
    """

    request: str
    attempt: Count
    endpoint: str
    refused: bool
    detail: str


class BrokenStream(NamedTuple):
    """Local event, never sent: the stream cannot be read any further.

    Attributes:
        endpoint: Name of the endpoint that the stream was read from.
        sent: Whether any byte of the request may have been sent.
        refused: Whether the endpoint stated that it rejected the stream before
            running it.
        detail: Description of the failure.
    """

    endpoint: str
    sent: bool
    refused: bool
    detail: str


class StreamState(TypedDict):
    """State of a stream at one stage.

    Attributes:
        received: Number of tokens that the stage has received from the next stage, or
            has generated.
        produced: Number of tokens that the stage has forwarded or has ready.
        ended: Whether the stream has ended at the stage.
        waiting: Whether the stream waits for a slot at the stage.
    """

    received: Count
    produced: Count
    ended: bool
    waiting: bool


class LoadReport(TypedDict):
    """Load of an engine, as the engine reports it.

    Attributes:
        running: Number of running streams.
        waiting: Number of streams that wait for a slot.
        leaving: Whether the engine accepts no new streams.
    """

    running: Count
    waiting: Count
    leaving: bool


class RefusalBody(TypedDict):
    """Body of an engine's response to an order that the engine rejects.

    Attributes:
        ran: Whether any part of the order ran.
        reason: Reason for the rejection.
    """

    ran: bool
    reason: str


#: Event of a stream, received or local.
Event = TokenEvent | EndEvent | StageFailure | BrokenStream

TOKEN_DECODER = msgspec.json.Decoder(TokenEvent)
END_DECODER = msgspec.json.Decoder(EndEvent)
FAILED_DECODER = msgspec.json.Decoder(StageFailure)


def encode_event(event: TokenEvent | EndEvent | StageFailure) -> bytes:
    """Encode an event as a server-sent event."""
    if "position" in event:
        prefix = TOKEN_PREFIX
    elif "count" in event:
        prefix = END_PREFIX
    else:
        prefix = FAILED_PREFIX
    return prefix + msgspec.json.encode(event) + b"\n\n"


def parse_events(block: bytes) -> list[Event]:
    """Decode a block of complete server-sent events.

    Args:
        block: Events, separated by blank lines.

    Returns:
        The events in order, without comments and unknown events.

    Raises:
        msgspec.DecodeError: The data of an event is malformed.
        RecursionError: The data of an event is nested too deeply.
    """
    events: list[Event] = []
    for raw in block.split(b"\n\n"):
        if raw.startswith(TOKEN_PREFIX):
            events.append(TOKEN_DECODER.decode(raw[len(TOKEN_PREFIX) :]))
        elif raw.startswith(END_PREFIX):
            events.append(END_DECODER.decode(raw[len(END_PREFIX) :]))
        elif raw.startswith(FAILED_PREFIX):
            events.append(FAILED_DECODER.decode(raw[len(FAILED_PREFIX) :]))
    return events
