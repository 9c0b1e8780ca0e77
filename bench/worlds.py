"""Deployments on a virtual clock, for experiments that repeat exactly."""

from __future__ import annotations

import random
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

import trio
import trio.testing

from pistachioreach.clock import TrioClock
from pistachioreach.configuration import index_manifest
from pistachioreach.dispatch.generation import Generation, GenerationRequest
from pistachioreach.entry import Clients, Entry
from pistachioreach.fakes.deployment import demo_manifest
from pistachioreach.fakes.fleet import FakeFleet
from pistachioreach.fakes.platform import FakePlatform
from pistachioreach.fakes.service import FakeService
from pistachioreach.manifest import encode_manifest
from pistachioreach.metrics import Metrics
from pistachioreach.platform.objects import sha256_digest

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from pistachioreach.dispatch.generation import Finished
    from pistachioreach.fakes.engine import EngineTimes
    from pistachioreach.manifest import ManifestDocument
    from pistachioreach.verdict import Failure

__all__ = ["BenchWorld", "make_world", "run_virtual"]

#: Ports of the manifests; nothing listens on them.
PORTS = range(40000, 41000)


class BenchWorld:
    """Entries that decide independently over shared stand-in engines.

    Args:
        nursery: Runs their tasks.
        manifest: The deployment.
        seed: Seed of all random choices.
    """

    def __init__(
        self, nursery: trio.Nursery, manifest: ManifestDocument, seed: int
    ) -> None:
        #: Runs the tasks.
        self.nursery = nursery
        #: The deployment.
        self.manifest = manifest
        #: Source of all random choices.
        self.random = random.Random(seed)
        #: The engines.
        self.fleet = FakeFleet(nursery)
        #: The platform.
        self.platform = FakePlatform(random.Random(seed))
        #: The plain services.
        self.service = FakeService(random.Random(seed))
        #: The entries.
        self.entries: list[Entry] = []

    def add_entry(self, count: int) -> Entry:
        """Add one of a number of entries."""
        domains = self.manifest["failure_domains"]
        number = len(self.entries)
        entry = Entry(
            f"entry-{number}",
            domains[number % len(domains)],
            (b"key-of-the-bench",),
            Clients(self.fleet, self.service, self.platform),
            TrioClock(),
            random.Random(self.random.random()),
            Metrics(),
        )
        entry.nursery = self.nursery
        entry.set_roster([f"entry-{other}" for other in range(count)])
        self.nursery.start_soon(entry.watchdog.run)
        raw = encode_manifest(self.manifest)
        entry.activate(index_manifest(1, sha256_digest(raw), self.manifest))
        self.entries.append(entry)
        return entry

    async def generate(
        self,
        entry: Entry,
        prompt: str,
        tokens: int,
        on_token: Callable[[int], None],
        seconds: float = 600.0,
        workspace: str = "crews",
        texts: list[str] | None = None,
    ) -> Finished | Failure:
        """Run one request to its end.

        Args:
            entry: The entry that runs it.
            prompt: The prompt.
            tokens: Length of the answer.
            on_token: Called with the position of each token delivered.
            seconds: Deadline.
            workspace: Name of the workspace.
            texts: Takes the texts delivered.
        """

        async def deliver(events, writer) -> None:
            for event in events:
                on_token(event["position"])
                if texts is not None:
                    texts.append(event["text"])

        model = self.manifest["models"][0]["name"]
        request = GenerationRequest(
            request_id=entry.new_id(),
            workspace=workspace,
            model=model,
            prompt=prompt,
            max_tokens=tokens,
            priority=9,
            deadline=entry.clock.monotonic() + seconds,
            digest="",
        )
        return await Generation(entry, request, deliver).run()


def run_virtual(function: Callable[..., Awaitable], *args: object) -> Any:
    """Run a function on a virtual clock, in the same order each time."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


@asynccontextmanager
async def make_world(
    times: EngineTimes,
    entries: int = 1,
    seed: int = 1,
    manifest: ManifestDocument | None = None,
) -> AsyncIterator[BenchWorld]:
    """Give a running world; everything ends with the context."""
    async with trio.open_nursery() as nursery:
        manifest = manifest or demo_manifest(ports=PORTS)
        world = BenchWorld(nursery, manifest, seed)
        await world.fleet.start_all(manifest, times)
        for _ in range(entries):
            world.add_entry(entries)
        yield world
        nursery.cancel_scope.cancel()
