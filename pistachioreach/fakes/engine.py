"""Fake of a model engine that holds a range of layers."""

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

#: Seconds for which a stream without a reader continues before it is cancelled, and
#: for which a finished stream is kept.
STREAM_RETENTION_SECONDS = 10.0
#: A prompt that contains this word kills every engine that generates its tokens.
POISON_WORD = "poison-pill"
#: Number of tokens that an engine generates before such a prompt kills the engine.
POISON_TOKENS = 3


class EngineTimes(NamedTuple):
    """Service times of an engine, in seconds.

    Attributes:
        prefill_seconds: Time for each token of the prompt and of earlier attempts that
            is not in the KV cache.
        token_seconds: Time for each new token if no other stream runs.
        contention_seconds: Extra time for each new token, per other stream that runs.
    """

    prefill_seconds: float = 0.0001
    token_seconds: float = 0.002
    contention_seconds: float = 0.0


class EngineDied(Exception):
    """Raised in the readers of an engine's streams when the engine dies."""


def expected_token(prompt: str, position: int) -> str:
    """Return the token that every engine generates for a prompt at a position."""
    digest = hashlib.blake2b(f"{prompt}|{position}".encode(), digest_size=4)
    return f" {digest.hexdigest()}"


def expected_answer(prompt: str, count: int) -> list[str]:
    """Return the first tokens of the output for a prompt.

    Args:
        prompt: Prompt of the request.
        count: Number of tokens to return.
    """
    return [expected_token(prompt, position) for position in range(count)]


class FakeStream:
    """Buffered events and progress of one stream on one engine.

    Args:
        order: Order that opened the stream.
    """

    def __init__(self, order: StreamOrder) -> None:
        #: Order that opened the stream.
        self.order = order
        #: Events in order; the token events have consecutive positions.
        self.events: list[Event] = []
        #: Number of tokens of the output that this stage knows: those of earlier
        #: attempts and those received from the next stage or generated.
        self.received = len(order["received"])
        #: Whether the stream waits for a slot of the engine.
        self.waiting = True
        #: Number of attached readers.
        self.readers = 0
        #: Set and replaced whenever an event is added.
        self.events_added = trio.Event()
        #: Cancel scope of the task that produces the events.
        self.cancel_scope = trio.CancelScope()

    def add(self, event: Event) -> None:
        """Append an event and wake the readers."""
        self.events.append(event)
        self.events_added.set()
        self.events_added = trio.Event()

    def ended(self) -> bool:
        """Return whether the last event has been added."""
        return bool(self.events) and "position" not in self.events[-1]

    def state(self) -> StreamState:
        """Return the state that the engine reports for the stream."""
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
        concurrency: Number of streams that the engine runs at once.
        times: Service times.
        client: Client by which the engine calls the next stage of a chain.
        nursery: Nursery of the engine's streams; cancelled when the engine dies.
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
        #: Number of streams that the engine runs at once.
        self.concurrency = concurrency
        #: Service times.
        self.times = times
        #: Client by which the engine calls the next stage of a chain.
        self.client = client
        #: Nursery of the engine's streams.
        self.nursery = nursery
        #: Faults that are currently set.
        self.faults = EngineFaults()
        #: Streams by name.
        self.streams: dict[str, FakeStream] = {}
        #: Number of tokens in the KV cache, by request.
        self.cached: dict[str, int] = {}
        #: Slots of running streams.
        self.slots = trio.Semaphore(concurrency)
        #: Number of streams that wait for a slot.
        self.waiting_streams = 0
        #: Number of streams opened since the start of the engine.
        self.opened_streams = 0
        #: Number of tokens prefilled since the start of the engine.
        self.prefilled_tokens = 0
        #: Whether the engine has died.
        self.dead = False
        #: Set when the engine dies, which breaks all open connections.
        self.connections_broken = trio.Event()

    def running(self) -> int:
        """Return the number of streams that run."""
        return self.concurrency - self.slots.value

    def load(self) -> LoadReport:
        """Return the load that the engine reports."""
        return LoadReport(
            running=self.running(),
            waiting=self.waiting_streams,
            leaving=self.faults.leaving,
        )

    def die(self) -> None:
        """Kill the engine: break all streams, drop the KV cache, refuse connections.

        A restart creates a new engine.
        """
        self.dead = True
        self.streams.clear()
        self.cached.clear()
        self.connections_broken.set()
        self.nursery.cancel_scope.cancel()

    async def wait_until_stopped(self) -> None:
        """Wait until the engine's nursery is cancelled, then mark the engine as dead.

        A dead engine starts no tasks.
        """
        try:
            await trio.sleep_forever()
        finally:
            self.dead = True

    def refusal_reason(self) -> str | None:
        """Return the reason for which a new order is refused, or None."""
        if self.faults.leaving:
            return "leaving"
        if self.faults.refusing:
            return "refusing"
        if self.waiting_streams >= self.concurrency * 4:
            return "busy"
        return None

    def open(self, order: StreamOrder) -> FakeStream:
        """Start a stream; the caller must check `refusal_reason` first."""
        stream = FakeStream(order)
        self.streams[order["stream"]] = stream
        self.opened_streams += 1
        self.nursery.start_soon(self.run_stream, stream)
        return stream

    def cancel(self, name: str) -> None:
        """Cancel a stream, which detaches this engine from the next stage's stream."""
        stream = self.streams.pop(name, None)
        if stream is not None:
            stream.cancel_scope.cancel()

    async def run_stream(self, stream: FakeStream) -> None:
        """Run one stream: wait for a slot, produce the events, keep them for a time."""
        with stream.cancel_scope:
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
        """Prefill, then generate or relay the events of a stream."""
        order = stream.order
        await self.prefill(order)
        if order["stage"] == len(order["stages"]) - 1:
            await self.generate(stream)
        else:
            await self.relay(stream)

    async def prefill(self, order: StreamOrder) -> None:
        """Wait for the prefill time of the tokens that are not in the KV cache."""
        tokens = len(order["prompt"].split()) + len(order["received"])
        missing = tokens - min(tokens, self.cached.get(order["request"], 0))
        self.prefilled_tokens += missing
        if missing:
            await trio.sleep(missing * self.times.prefill_seconds)
        self.cached[order["request"]] = tokens

    async def wait_token_time(self, order: StreamOrder) -> None:
        """Wait for the time of one token, with the faults `slow` and `stall`."""
        other_streams = max(0, self.running() - 1)
        seconds = (
            self.times.token_seconds + other_streams * self.times.contention_seconds
        )
        if seconds:
            await trio.sleep(seconds * self.faults.slow_factor)
        while self.faults.stalled:
            await trio.sleep(0.05)
        self.cached[order["request"]] = self.cached.get(order["request"], 0) + 1

    async def generate(self, stream: FakeStream) -> None:
        """Generate the tokens of a stream, as the last stage of a chain."""
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
        """Return the event of a token that this engine generated."""
        return TokenEvent(
            request=order["request"],
            attempt=order["attempt"],
            position=position,
            text=expected_token(order["prompt"], position),
            trace=[self.layer_run(order)],
        )

    def layer_run(self, order: StreamOrder) -> LayerRun:
        """Return this engine's entry in the trace of a token."""
        stage = order["stages"][order["stage"]]
        return LayerRun(self.name, stage.first, stage.last)

    async def relay(self, stream: FakeStream) -> None:
        """Relay the events of the next stage, with this engine added to the traces."""
        next_order = dict(stream.order, stage=stream.order["stage"] + 1)
        layer_run = self.layer_run(stream.order)
        async with self.client.open(next_order) as batches:
            async for batch in batches:
                for event in batch:
                    if isinstance(event, BrokenStream):
                        stream.add(self.stage_failure(next_order, event))
                        return
                    if "position" in event:
                        stream.received = event["position"] + 1
                        await self.wait_token_time(next_order)
                        event = dict(event, trace=[layer_run, *event["trace"]])
                    stream.add(event)
                    if "position" not in event:
                        return

    def stage_failure(self, order: StreamOrder, broken: BrokenStream) -> StageFailure:
        """Return the event that reports that the next stage has failed."""
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
        """Attach a reader, and yield the batches of events from a position on.

        Args:
            stream: Stream to read.
            position: Position in the output, in tokens, of the first token to read.
        """
        stream.readers += 1
        try:
            yield self.read_batches(stream, position)
        finally:
            stream.readers -= 1
            if not stream.readers and not self.dead:
                self.nursery.start_soon(self.cancel_if_unread, stream)

    async def cancel_if_unread(self, stream: FakeStream) -> None:
        """Cancel a stream if it has no reader when the retention time has passed."""
        await trio.sleep(STREAM_RETENTION_SECONDS)
        if not stream.readers:
            self.cancel(stream.order["stream"])

    async def read_batches(
        self, stream: FakeStream, position: int
    ) -> AsyncIterator[list[Event]]:
        """Yield batches of events until the stream ends.

        Yields nothing more once the open connections have been silenced.

        Raises:
            EngineDied: The engine has died.
        """
        index = max(0, position - len(stream.order["received"]))
        broken = self.connections_broken
        silenced = self.faults.connections_silenced
        while True:
            if broken.is_set():
                raise EngineDied(self.name)
            if silenced.is_set():
                await trio.sleep_forever()
            if index >= len(stream.events):
                await self.wait_any(stream.events_added, broken, silenced)
                continue
            batch = stream.events[index:]
            index = len(stream.events)
            yield self.faults.corrupt(batch)
            if "position" not in batch[-1]:
                return

    async def wait_any(self, *events: trio.Event) -> None:
        """Wait until any of the given events is set."""
        async with trio.open_nursery() as nursery:

            async def wait(event: trio.Event) -> None:
                await event.wait()
                nursery.cancel_scope.cancel()

            for event in events:
                nursery.start_soon(wait, event)
