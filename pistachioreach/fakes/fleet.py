"""Fake engines that call each other in memory, for tests on a virtual clock."""

from __future__ import annotations

from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import trio

from pistachioreach.endpoints.wire import BrokenStream
from pistachioreach.errors import ConnectionFailed
from pistachioreach.fakes.engine import EngineDied, EngineTimes, FakeEngine

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from pistachioreach.endpoints.engine import EventBatches
    from pistachioreach.endpoints.wire import (
        LoadReport,
        Stage,
        StreamOrder,
        StreamState,
    )
    from pistachioreach.manifest import ManifestDocument

__all__ = ["FakeFleet"]


class FakeFleet:
    """All engines of a deployment, which is also their `EngineClient`.

    Args:
        nursery: Parent of each engine's nursery.
    """

    def __init__(self, nursery: trio.Nursery) -> None:
        #: Parent of each engine's nursery.
        self.nursery = nursery
        #: Engines by name of their endpoint.
        self.engines: dict[str, FakeEngine] = {}
        #: Names of endpoints that respond to no new request, as if their link were cut.
        self.unreachable: set[str] = set()
        #: Delay in seconds before a request reaches an engine; events have no delay.
        self.link_delay_seconds = 0.0005

    async def start_all(self, manifest: ManifestDocument, times: EngineTimes) -> None:
        """Start an engine for each endpoint of a manifest."""
        for endpoint in manifest["endpoints"]:
            await self.start(endpoint["name"], endpoint["concurrency"], times)

    async def start(self, name: str, concurrency: int, times: EngineTimes) -> None:
        """Start one engine, or restart an engine that died."""

        async def run(task_status: trio.TaskStatus) -> None:
            async with trio.open_nursery() as nursery:
                engine = FakeEngine(name, concurrency, times, self, nursery)
                self.engines[name] = engine
                task_status.started()
                await engine.wait_until_stopped()

        await self.nursery.start(run)

    async def connect(self, name: str) -> FakeEngine:
        """Return an engine after the delay of the link.

        Never returns if the endpoint is unreachable.

        Raises:
            ConnectionFailed: The engine is dead or does not exist.
        """
        if name in self.unreachable:
            await trio.sleep_forever()
        await trio.sleep(self.link_delay_seconds)
        engine = self.engines.get(name)
        if engine is None or engine.dead:
            raise ConnectionFailed(name, False, "connection refused")
        return engine

    @asynccontextmanager
    async def open(self, order: StreamOrder) -> AsyncIterator[EventBatches]:
        """Open a stream at the stage that the order names as its receiver."""
        name = order["stages"][order["stage"]].endpoint
        try:
            engine = await self.connect(name)
        except ConnectionFailed as error:
            yield single_batch(BrokenStream(name, False, False, str(error)))
            return
        refusal = engine.refusal_reason()
        if refusal is not None:
            yield single_batch(BrokenStream(name, True, True, refusal))
            return
        stream = engine.open(order)
        async with engine.open_reader(stream, len(order["received"])) as batches:
            yield convert_engine_death(name, batches)

    @asynccontextmanager
    async def attach(
        self, stage: Stage, stream: str, position: int
    ) -> AsyncIterator[EventBatches]:
        """Read a running stream from a position on."""
        try:
            engine = await self.connect(stage.endpoint)
        except ConnectionFailed as error:
            yield single_batch(BrokenStream(stage.endpoint, False, False, str(error)))
            return
        if stream not in engine.streams:
            broken = BrokenStream(stage.endpoint, True, False, "no such stream")
            yield single_batch(broken)
            return
        async with engine.open_reader(engine.streams[stream], position) as batches:
            yield convert_engine_death(stage.endpoint, batches)

    async def state(self, stage: Stage, stream: str) -> StreamState | None:
        """Return the state of a stream at a stage, or None if the stage lacks it."""
        engine = await self.connect(stage.endpoint)
        fake_stream = engine.streams.get(stream)
        return fake_stream.state() if fake_stream else None

    async def cancel(self, stage: Stage, stream: str) -> None:
        """Cancel a stream at a stage, which also ends the stream at later stages."""
        engine = await self.connect(stage.endpoint)
        engine.cancel(stream)

    async def load(self, name: str, address: str) -> LoadReport:
        """Return the load that an engine reports."""
        engine = await self.connect(name)
        return engine.load()


async def single_batch(event: BrokenStream) -> EventBatches:
    """Yield one batch that holds one event."""
    yield [event]


async def convert_engine_death(name: str, batches: EventBatches) -> EventBatches:
    """Yield batches of events; end with a `BrokenStream` if the engine dies."""
    try:
        async for batch in batches:
            yield batch
    except EngineDied:
        yield [BrokenStream(name, True, False, "connection reset")]
