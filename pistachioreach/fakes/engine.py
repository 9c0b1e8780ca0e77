"""Stand-in of a model engine that holds a range of layers."""

from __future__ import annotations

import hashlib
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import trio

from pistachioreach.endpoints.wire import (
    BrokenStream,
    EndEvent,
    LayerRun,
    LoadReport,
    StageFailure,
    StreamState,
    TokenEvent,
)
from pistachioreach.fakes.faults import EngineFaults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from pistachioreach.endpoints.engine import EngineClient
    from pistachioreach.endpoints.wire import Event, StreamOrder

__all__ = ["EngineDied", "EngineTimes", "FakeEngine", "FakeStream", "expected_answer"]

#: Seconds that a stream without a reader goes on before it is cancelled.
STREAM_RETENTION_SECONDS = 10.0
#: A prompt with this word kills each engine that generates its third token.
POISON_WORD = "poison-pill"
#: Tokens generated before a poison prompt kills the engine.
POISON_TOKENS = 3


class EngineTimes(NamedTuple):
    """Service times of an engine, in seconds.

    Attributes:
        prefill_seconds: Time for each token of prompt and answer that is not cached.
        token_seconds: Time for each new token, alone on the engine.
        contention_seconds: Extra time for each new token per other running stream.
    """

    prefill_seconds: float = 0.0001
    token_seconds: float = 0.002
    contention_seconds: float = 0.0


class EngineDied(Exception):
    """Raised into readers when the engine dies."""


def expected_token(prompt: str, position: int) -> str:
    """Return the token of a position; a pure function of prompt and position."""
    digest = hashlib.blake2b(f"{prompt}|{position}".encode(), digest_size=4)
    return f" {digest.hexdigest()}"


def expected_answer(prompt: str, count: int) -> list[str]:
    """Return the whole answer to a prompt."""
    return [expected_token(prompt, position) for position in range(count)]


class FakeStream:
    """One stream on one engine: its buffered events and its progress.

    Args:
        order: The order that opened it.
    """

    def __init__(self, order: StreamOrder) -> None:
        #: The order that opened it.
        self.order = order
        #: Events in order; token events have consecutive positions.
        self.events: list[Event] = []
        #: Tokens got from the next stage, or generated.
        self.received = len(order["received"])
        #: Whether it waits for a place.
        self.waiting = True
        #: Readers now attached.
        self.readers = 0
        #: Set and replaced whenever an event is added.
        self.events_added = trio.Event()
        #: Cancels the task that fills it.
        self.scope = trio.CancelScope()

    def add(self, event: Event) -> None:
        """Append an event and wake the readers."""
        self.events.append(event)
        self.events_added.set()
        self.events_added = trio.Event()

    def ended(self) -> bool:
        """Whether no more events follow."""
        return bool(self.events) and "position" not in self.events[-1]

    def state(self) -> StreamState:
        """Return what the engine reports of the stream."""
        produced = len(self.order["received"])
        produced += sum(1 for event in self.events if "position" in event)
        return StreamState(
            received=self.received,
            produced=produced,
            ended=self.ended(),
            waiting=self.waiting,
        )


class FakeEngine:
    """A model engine in memory.

    Args:
        name: Name of the endpoint.
        concurrency: Streams that run at once.
        times: Service times.
        client: Client by which it reaches the next stage of a chain.
        nursery: Nursery of its streams; cancelled when the engine dies.
    """

    def __init__(
        self,
        name: str,
        concurrency: int,
        times: EngineTimes,
        client: EngineClient,
        nursery: trio.Nursery,
    ) -> None:
        #: Name of the endpoint.
        self.name = name
        #: Streams that run at once.
        self.concurrency = concurrency
        #: Service times.
        self.times = times
        #: Client by which it reaches the next stage.
        self.client = client
        #: Nursery of its streams.
        self.nursery = nursery
        #: Faults set now.
        self.faults = EngineFaults()
        #: Streams by name.
        self.streams: dict[str, FakeStream] = {}
        #: Tokens whose cache is held, by request.
        self.cached: dict[str, int] = {}
        #: Places for running streams.
        self.slots = trio.Semaphore(concurrency)
        #: Streams that wait for a place.
        self.waiting_streams = 0
        #: Streams opened since the start.
        self.opened_streams = 0
        #: Tokens prefilled since the start.
        self.prefilled_tokens = 0
        #: Whether the engine has died.
        self.dead = False
        #: Set and replaced when open connections break.
        self.connections_broken = trio.Event()

    def running(self) -> int:
        """Return how many streams run now."""
        return self.concurrency - self.slots.value

    def load(self) -> LoadReport:
        """Return the load that the engine reports."""
        return LoadReport(
            running=self.running(),
            waiting=self.waiting_streams,
            leaving=self.faults.leaving,
        )

    def die(self) -> None:
        """Break all streams and refuse connections until `revive`."""
        self.dead = True
        self.streams.clear()
        self.cached.clear()
        self.connections_broken.set()
        self.nursery.cancel_scope.cancel()

    async def wait_until_stopped(self) -> None:
        """Wait until the engine's nursery is cancelled; it starts nothing then."""
        try:
            await trio.sleep_forever()
        finally:
            self.dead = True

    def refusal_reason(self) -> str | None:
        """Return why an order would be refused now, or None."""
        if self.faults.leaving:
            return "leaving"
        if self.faults.refusing:
            return "refusing"
        if self.waiting_streams >= self.concurrency * 4:
            return "busy"
        return None

    def open(self, order: StreamOrder) -> FakeStream:
        """Start a stream; the caller has asked for a refusal before."""
        stream = FakeStream(order)
        self.streams[order["stream"]] = stream
        self.opened_streams += 1
        self.nursery.start_soon(self.run_stream, stream)
        return stream

    def cancel(self, name: str) -> None:
        """Cancel a stream; the stage after it sees its reader go."""
        stream = self.streams.pop(name, None)
        if stream is not None:
            stream.scope.cancel()

    async def run_stream(self, stream: FakeStream) -> None:
        """Run one stream from the first event to the last."""
        with stream.scope:
            self.waiting_streams += 1
            try:
                await self.slots.acquire()
            finally:
                self.waiting_streams -= 1
            stream.waiting = False
            try:
                await self.produce_events(stream)
            finally:
                self.slots.release()
        await trio.sleep(STREAM_RETENTION_SECONDS)
        self.streams.pop(stream.order["stream"], None)

    async def produce_events(self, stream: FakeStream) -> None:
        """Prefill, then produce the stream's events."""
        order = stream.order
        await self.prefill(order)
        if order["stage"] == len(order["stages"]) - 1:
            await self.generate(stream)
        else:
            await self.relay(stream)

    async def prefill(self, order: StreamOrder) -> None:
        """Take the time for the tokens whose cache is not held."""
        tokens = len(order["prompt"].split()) + len(order["received"])
        missing = tokens - min(tokens, self.cached.get(order["request"], 0))
        self.prefilled_tokens += missing
        if missing:
            await trio.sleep(missing * self.times.prefill_seconds)
        self.cached[order["request"]] = tokens

    async def wait_token_time(self, order: StreamOrder) -> None:
        """Take the time of one token and obey the faults."""
        others = max(0, self.running() - 1)
        seconds = self.times.token_seconds + others * self.times.contention_seconds
        if seconds:
            await trio.sleep(seconds * self.faults.slow_factor)
        while self.faults.stalled:
            await trio.sleep(0.05)
        self.cached[order["request"]] = self.cached.get(order["request"], 0) + 1

    async def generate(self, stream: FakeStream) -> None:
        """Generate tokens; this is the last stage."""
        order = stream.order
        first = len(order["received"])
        for position in range(first, order["max_tokens"]):
            await self.wait_token_time(order)
            poisoned = POISON_WORD in order["prompt"]
            if poisoned and position >= first + POISON_TOKENS:
                self.die()
            stream.received = position + 1
            stream.add(self.token_event(order, position))
        stream.add(
            EndEvent(
                request=order["request"],
                attempt=order["attempt"],
                count=order["max_tokens"],
            )
        )

    def token_event(self, order: StreamOrder, position: int) -> TokenEvent:
        """Return the event of a token that this engine generates."""
        return TokenEvent(
            request=order["request"],
            attempt=order["attempt"],
            position=position,
            text=expected_token(order["prompt"], position),
            trace=[self.layer_run(order)],
        )

    def layer_run(self, order: StreamOrder) -> LayerRun:
        """Return this engine's part of a token's trace."""
        stage = order["stages"][order["stage"]]
        return LayerRun(self.name, stage.first, stage.last)

    async def relay(self, stream: FakeStream) -> None:
        """Pass on the tokens of the next stage, with this stage's layers."""
        order = dict(stream.order, stage=stream.order["stage"] + 1)
        run = self.layer_run(stream.order)
        async with self.client.open(order) as batches:
            async for batch in batches:
                for event in batch:
                    if isinstance(event, BrokenStream):
                        stream.add(self.stage_failure(order, event))
                        return
                    if "position" in event:
                        stream.received = event["position"] + 1
                        await self.wait_token_time(order)
                        event = dict(event, trace=[run, *event["trace"]])
                    stream.add(event)
                    if "position" not in event:
                        return

    def stage_failure(self, order: StreamOrder, broken: BrokenStream) -> StageFailure:
        """Return the event that reports the next stage lost."""
        return StageFailure(
            request=order["request"],
            attempt=order["attempt"],
            endpoint=broken.endpoint,
            refused=broken.refused or not broken.sent,
            detail=broken.detail,
        )

    @asynccontextmanager
    async def open_reader(
        self, stream: FakeStream, position: int
    ) -> AsyncIterator[AsyncIterator[list[Event]]]:
        """Give the events of a stream from a position on."""
        stream.readers += 1
        try:
            yield self.read_batches(stream, position)
        finally:
            stream.readers -= 1
            if not stream.readers and not self.dead:
                self.nursery.start_soon(self.cancel_if_unread, stream)

    async def cancel_if_unread(self, stream: FakeStream) -> None:
        """Cancel a stream that nobody reads for a while."""
        await trio.sleep(STREAM_RETENTION_SECONDS)
        if not stream.readers:
            self.cancel(stream.order["stream"])

    async def read_batches(
        self, stream: FakeStream, position: int
    ) -> AsyncIterator[list[Event]]:
        """Yield batches of events until the stream ends or the engine dies."""
        index = max(0, position - len(stream.order["received"]))
        broken = self.connections_broken
        silence = self.faults.connections_silenced
        while True:
            if broken.is_set():
                raise EngineDied(self.name)
            if silence.is_set():
                await trio.sleep_forever()
            if index >= len(stream.events):
                await self.wait_any(stream.events_added, broken, silence)
                continue
            batch = stream.events[index:]
            index = len(stream.events)
            yield self.faults.corrupt(batch)
            if "position" not in batch[-1]:
                return

    async def wait_any(self, *events: trio.Event) -> None:
        """Wait until one of some events is set."""
        async with trio.open_nursery() as nursery:

            async def wait(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            for event in events:
                nursery.start_soon(wait, event)
