"""Client of the model engines, which stream tokens over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol, TypeVar

import msgspec

from pistachioreach.decoding import MALFORMED_JSON_ERRORS
from pistachioreach.endpoints.connections import TRANSPORT_ERRORS, read_body
from pistachioreach.endpoints.wire import (
    BrokenStream,
    Event,
    LoadReport,
    RefusalBody,
    StreamState,
    parse_events,
)
from pistachioreach.errors import ConnectionFailed, MisplacedResponse

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    import httpcore

    from pistachioreach.endpoints.connections import Connections, HttpResponse
    from pistachioreach.endpoints.wire import Stage, StreamOrder

__all__ = ["EngineClient", "EventBatches", "HttpEngineClient"]

T = TypeVar("T")

#: Batches of events; the last batch may hold a `BrokenStream`.
EventBatches = AsyncIterator[list[Event]]


class EngineClient(Protocol):
    """Operations of engines that the router uses."""

    def open(self, order: StreamOrder) -> AbstractAsyncContextManager[EventBatches]:
        """Open a stream at the stage that the order names as its receiver."""

    def attach(
        self, stage: Stage, stream: str, position: int
    ) -> AbstractAsyncContextManager[EventBatches]:
        """Read a running stream from a position on, over a new connection.

        Args:
            stage: Stage of the chain to read from.
            stream: Name of the stream.
            position: Position in the output, in tokens, of the first token to read.
        """

    async def state(self, stage: Stage, stream: str) -> StreamState | None:
        """Return the state of a stream at a stage, over a new connection.

        Returns:
            The state, or None if the stage does not know the stream.

        Raises:
            ConnectionFailed: The stage is unreachable or its response is invalid.
        """

    async def cancel(self, stage: Stage, stream: str) -> None:
        """Cancel a stream along its chain, beginning at a stage.

        Raises:
            ConnectionFailed: The stage is unreachable.
        """

    async def load(self, name: str, address: str) -> LoadReport:
        """Return the load of an engine.

        Args:
            name: Name of the engine, for error messages.
            address: `ip:port` of the engine.

        Raises:
            ConnectionFailed: The engine is unreachable or its response is invalid.
        """


class HttpEngineClient:
    """Client of engines over HTTP and server-sent events.

    Args:
        connections: HTTP connections to engines.
    """

    def __init__(self, connections: Connections) -> None:
        #: HTTP connections to engines.
        self.connections = connections

    @asynccontextmanager
    async def open(self, order: StreamOrder) -> AsyncIterator[EventBatches]:
        """Open a stream at the stage that the order names, over a new connection."""
        stage = order["stages"][order["stage"]]
        body = msgspec.json.encode(order)
        async with self.open_batches(stage, "POST", "/v1/streams", body) as batches:
            yield batches

    @asynccontextmanager
    async def attach(
        self, stage: Stage, stream: str, position: int
    ) -> AsyncIterator[EventBatches]:
        """Read a running stream from a position on, over a new connection.

        Args:
            stage: Stage of the chain to read from.
            stream: Name of the stream.
            position: Position in the output, in tokens, of the first token to read.
        """
        path = f"/v1/streams/{stream}?after={position}"
        async with self.open_batches(stage, "GET", path) as batches:
            yield batches

    @asynccontextmanager
    async def open_batches(
        self, stage: Stage, method: str, path: str, body: bytes = b""
    ) -> AsyncIterator[EventBatches]:
        """Send a request whose response is an event stream, and yield its batches.

        A refusal does not state its stream, so it is read over a new connection, on
        which no refusal of another stream can arrive late. A connection that cannot
        be opened yields one batch with a `BrokenStream`.
        """
        context = self.connections.stream(
            stage.endpoint, stage.address, method, path, body, fresh=True
        )
        try:
            response = await context.__aenter__()
        except ConnectionFailed as error:
            broken_stream = BrokenStream(stage.endpoint, error.sent, False, str(error))
            yield single_batch(broken_stream)
            return
        try:
            yield read_batches(stage.endpoint, response)
        finally:
            await context.__aexit__(None, None, None)

    async def state(self, stage: Stage, stream: str) -> StreamState | None:
        """Return the state of a stream at a stage, over a new connection."""
        response = await self.connections.call(
            stage.endpoint,
            stage.address,
            "GET",
            f"/v1/streams/{stream}/state",
            fresh=True,
        )
        if response.status == 404:
            return None
        return decode_body(stage.endpoint, response, StreamState)

    async def cancel(self, stage: Stage, stream: str) -> None:
        """Cancel a stream along its chain, beginning at a stage."""
        await self.connections.call(
            stage.endpoint, stage.address, "DELETE", f"/v1/streams/{stream}"
        )

    async def load(self, name: str, address: str) -> LoadReport:
        """Return the load of an engine."""
        response = await self.connections.call(name, address, "GET", "/v1/load")
        return decode_body(name, response, LoadReport)


def decode_body(endpoint: str, response: HttpResponse, expected: type[T]) -> T:
    """Decode the JSON body of an engine's response.

    Args:
        endpoint: Name of the endpoint, for error messages.
        response: Response of the endpoint.
        expected: Type of the decoded body.

    Raises:
        ConnectionFailed: The status is not 200 or the body is malformed.
    """
    if response.status != 200:
        raise ConnectionFailed(endpoint, True, f"status {response.status}")
    try:
        return msgspec.json.decode(response.body, type=expected)
    except MALFORMED_JSON_ERRORS as error:
        raise ConnectionFailed(endpoint, True, f"malformed answer: {error}") from error


async def single_batch(event: Event) -> EventBatches:
    """Yield one batch that holds one event."""
    yield [event]


async def read_batches(endpoint: str, response: httpcore.Response) -> EventBatches:
    """Yield the events of a response; events that arrive together form one batch.

    Args:
        endpoint: Name of the endpoint, for error messages.
        response: Response with an unread body.
    """
    incomplete = b""
    try:
        if response.status != 200:
            yield [await read_refusal(endpoint, response)]
            return
        async for chunk in response.aiter_stream():
            block, separator, incomplete = (incomplete + chunk).rpartition(b"\n\n")
            if separator:
                yield parse_events(block)
    except (*TRANSPORT_ERRORS, *MALFORMED_JSON_ERRORS, MisplacedResponse) as error:
        detail = f"{type(error).__name__}: {error}"
        yield [BrokenStream(endpoint, True, False, detail)]
    else:
        yield [BrokenStream(endpoint, True, False, "stream closed by the endpoint")]


async def read_refusal(endpoint: str, response: httpcore.Response) -> BrokenStream:
    """Convert a response that is not an event stream into a `BrokenStream`.

    Without a body that states otherwise, the order counts as one that may have run.

    Args:
        endpoint: Name of the endpoint.
        response: Response with an unread body and a status other than 200.
    """
    body = await read_body(response)
    try:
        refused = msgspec.json.decode(body, type=RefusalBody)
    except MALFORMED_JSON_ERRORS:
        detail = f"status {response.status} without a body that says whether it ran"
        return BrokenStream(endpoint, True, False, detail)
    return BrokenStream(endpoint, True, not refused["ran"], refused["reason"])
