"""Deployments simulated on a virtual clock, with reproducible runs."""

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

__all__ = ["SimulatedDeployment", "run_deployment", "run_virtual"]

#: Ports in the manifests of simulated deployments; no socket listens on them.
PORTS = range(40000, 41000)


class SimulatedDeployment:
    """Entries that route independently of each other to the same stand-in engines.

    An entry is one router process; all entries of a simulated deployment run in this
    process.

    Args:
        nursery: Nursery of the tasks of entries and engines.
        manifest: Manifest of the deployment.
        seed: Seed of all random choices.
    """

    def __init__(
        self, nursery: trio.Nursery, manifest: ManifestDocument, seed: int
    ) -> None:
        #: Nursery of the tasks of entries and engines.
        self.nursery = nursery
        #: Manifest of the deployment.
        self.manifest = manifest
        #: Random number generator that seeds the generators of the entries.
        self.random = random.Random(seed)
        #: Stand-ins of the model engines.
        self.fleet = FakeFleet(nursery)
        #: Stand-in of the platform.
        self.platform = FakePlatform(random.Random(seed))
        #: Stand-in of the plain HTTP services.
        self.service = FakeService(random.Random(seed))
        #: Entries, in the order in which they were added.
        self.entries: list[Entry] = []

    def add_entry(self, count: int) -> Entry:
        """Add an entry in which the manifest is in force, and return the entry.

        Args:
            count: Number of entries that the deployment has in the end.
        """
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
        max_tokens: int,
        on_token: Callable[[int], None],
        timeout_seconds: float = 600.0,
        workspace: str = "crews",
        received_texts: list[str] | None = None,
    ) -> Finished | Failure:
        """Run one generation request to its end.

        Args:
            entry: Entry that handles the request.
            prompt: Prompt of the request.
            max_tokens: Number of tokens to generate.
            on_token: Called with the position of each token delivered.
            timeout_seconds: Time from now to the deadline of the request.
            workspace: Name of the workspace.
            received_texts: List to which the text of each token delivered is appended.
        """

        async def deliver(events, writer) -> None:
            for event in events:
                on_token(event["position"])
                if received_texts is not None:
                    received_texts.append(event["text"])

        model = self.manifest["models"][0]["name"]
        request = GenerationRequest(
            request_id=entry.new_id(),
            workspace=workspace,
            model=model,
            prompt=prompt,
            max_tokens=max_tokens,
            priority=9,
            deadline=entry.clock.monotonic() + timeout_seconds,
            digest="",
        )
        return await Generation(entry, request, deliver).run()


def run_virtual(function: Callable[..., Awaitable], *args: object) -> Any:
    """Run an async function on a virtual clock, with a deterministic task order."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


@asynccontextmanager
async def run_deployment(
    times: EngineTimes,
    entries: int = 1,
    seed: int = 1,
    manifest: ManifestDocument | None = None,
) -> AsyncIterator[SimulatedDeployment]:
    """Run a simulated deployment for the duration of the context.

    Args:
        times: Service times of the engines.
        entries: Number of entries.
        seed: Seed of all random choices.
        manifest: Manifest of the deployment, or None for the demonstration's.

    Yields:
        The deployment. All of its tasks are cancelled at the end of the context.
    """
    async with trio.open_nursery() as nursery:
        manifest = manifest or demo_manifest(ports=PORTS)
        deployment = SimulatedDeployment(nursery, manifest, seed)
        await deployment.fleet.start_all(manifest, times)
        for _ in range(entries):
            deployment.add_entry(entries)
        yield deployment
        nursery.cancel_scope.cancel()
