"""Client of the model engines: streams of tokens over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Protocol, TypeVar

import msgspec

from pistachioreach.endpoints.connections import TRANSPORT_ERRORS
from pistachioreach.endpoints.wire import (
    BrokenStream,
    Event,
    LoadReport,
    RefusalBody,
    StreamState,
    parse_events,
)
from pistachioreach.errors import ConnectionFailed

if TYPE_CHECKING:
    from contextlib import AbstractAsyncContextManager

    import httpcore

    from pistachioreach.endpoints.connections import Connections, HttpResponse
    from pistachioreach.endpoints.wire import Stage, StreamOrder

__all__ = ["EngineClient", "EventBatches", "HttpEngineClient"]

T = TypeVar("T")

#: Batches of events; the last one may hold a `BrokenStream`.
EventBatches = AsyncIterator[list[Event]]


class EngineClient(Protocol):
    """What the router asks of engines."""

    def open(self, order: StreamOrder) -> AbstractAsyncContextManager[EventBatches]:
        """Open a stream at the first stage of the order's chain."""

    def attach(
        self, stage: Stage, stream: str, position: int
    ) -> AbstractAsyncContextManager[EventBatches]:
        """Read a running stream from a position, over a fresh connection."""

    async def state(self, stage: Stage, stream: str) -> StreamState | None:
        """Return what a stage knows of a stream, over a fresh connection.

        Returns:
            The state, or None when the stage does not know the stream.

        Raises:
            ConnectionFailed: The stage cannot be reached.
        """

    async def cancel(self, stage: Stage, stream: str) -> None:
        """Cancel a stream along its chain.

        Raises:
            ConnectionFailed: The stage cannot be reached.
        """

    async def load(self, name: str, address: str) -> LoadReport:
        """Return an engine's load.

        Raises:
            ConnectionFailed: The engine cannot be reached.
        """


class HttpEngineClient:
    """Engines met over HTTP and server-sent events.

    Args:
        connections: Connections to use.
    """

    def __init__(self, connections: Connections) -> None:
        #: Connections to engines.
        self.connections = connections

    @asynccontextmanager
    async def open(self, order: StreamOrder) -> AsyncIterator[EventBatches]:
        """Open a stream at the stage that the order names as its receiver."""
        stage = order["stages"][order["stage"]]
        body = msgspec.json.encode(order)
        async with self.batches(stage, "POST", "/v1/streams", body) as batches:
            yield batches

    @asynccontextmanager
    async def attach(
        self, stage: Stage, stream: str, position: int
    ) -> AsyncIterator[EventBatches]:
        """Read a running stream from a position, over a fresh connection."""
        path = f"/v1/streams/{stream}?after={position}"
        async with self.batches(stage, "GET", path, fresh=True) as batches:
            yield batches

    @asynccontextmanager
    async def batches(
        self, stage: Stage, method: str, path: str, body: bytes = b"", fresh=False
    ) -> AsyncIterator[EventBatches]:
        """Send a request that is answered by events, and give their batches."""
        context = self.connections.stream(
            stage.endpoint, stage.address, method, path, body, fresh=fresh
        )
        try:
            response = await context.__aenter__()
        except ConnectionFailed as error:
            broken = BrokenStream(stage.endpoint, error.sent, False, str(error))
            yield single_batch(broken)
            return
        try:
            yield read_batches(stage.endpoint, response)
        finally:
            await context.__aexit__(None, None, None)

    async def state(self, stage: Stage, stream: str) -> StreamState | None:
        """Return what a stage knows of a stream, over a fresh connection."""
        answer = await self.connections.call(
            stage.endpoint,
            stage.address,
            "GET",
            f"/v1/streams/{stream}/state",
            fresh=True,
        )
        if answer.status == 404:
            return None
        return decode_body(stage.endpoint, answer, StreamState)

    async def cancel(self, stage: Stage, stream: str) -> None:
        """Cancel a stream along its chain."""
        await self.connections.call(
            stage.endpoint, stage.address, "DELETE", f"/v1/streams/{stream}"
        )

    async def load(self, name: str, address: str) -> LoadReport:
        """Return an engine's load."""
        answer = await self.connections.call(name, address, "GET", "/v1/load")
        return decode_body(name, answer, LoadReport)


def decode_body(endpoint: str, answer: HttpResponse, expected: type[T]) -> T:
    """Decode the body of an answer.

    Raises:
        ConnectionFailed: The endpoint answered with something else.
    """
    if answer.status != 200:
        raise ConnectionFailed(endpoint, True, f"status {answer.status}")
    try:
        return msgspec.json.decode(answer.body, type=expected)
    except msgspec.DecodeError as error:
        raise ConnectionFailed(endpoint, True, f"malformed answer: {error}") from error


async def single_batch(event: Event) -> EventBatches:
    """Yield one batch of one event."""
    yield [event]


async def read_batches(endpoint: str, response: httpcore.Response) -> EventBatches:
    """Yield the events of an answer, those that arrive together in one batch.

    Args:
        endpoint: Name of the endpoint, for errors.
        response: Answer with an unread body.
    """
    if response.status != 200:
        yield [await refusal(endpoint, response)]
        return
    rest = b""
    try:
        async for chunk in response.aiter_stream():
            block, blank, rest = (rest + chunk).rpartition(b"\n\n")
            if blank:
                yield parse_events(block)
    except (*TRANSPORT_ERRORS, msgspec.DecodeError) as error:
        detail = f"{type(error).__name__}: {error}"
        yield [BrokenStream(endpoint, True, False, detail)]
    else:
        yield [BrokenStream(endpoint, True, False, "stream closed by the endpoint")]


async def refusal(endpoint: str, response: httpcore.Response) -> BrokenStream:
    """Read an answer that is not a stream."""
    body = await response.aread()
    try:
        refused = msgspec.json.decode(body, type=RefusalBody)
    except msgspec.DecodeError:
        detail = f"status {response.status} without a body that says whether it ran"
        return BrokenStream(endpoint, True, False, detail)
    return BrokenStream(endpoint, True, not refused["ran"], refused["reason"])
