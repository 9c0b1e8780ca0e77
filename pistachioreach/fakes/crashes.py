"""Crashes of an entry at each step of an unrepeatable call."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

import trio

from pistachioreach.clock import TrioClock
from pistachioreach.configuration import index_manifest
from pistachioreach.dispatch.calls import CallRequest, run_call
from pistachioreach.dispatch.cursor import body_digest
from pistachioreach.dispatch.keys import new_key
from pistachioreach.dispatch.ledger import ClaimResult
from pistachioreach.endpoints.connections import HttpResponse
from pistachioreach.entry import Clients, Entry
from pistachioreach.metrics import Metrics
from pistachioreach.verdict import Failure, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from pistachioreach.endpoints.engine import EngineClient
    from pistachioreach.fakes.platform import FakePlatform
    from pistachioreach.fakes.service import FakeService
    from pistachioreach.manifest import ManifestDocument

__all__ = ["MAX_CRASH_POINTS", "CrashInjector", "CrashSimulation", "CrashingClient"]

#: Calls to the store and a service that one send makes; a send that meets
#: failures makes more, and crashes there in other walks.
MAX_CRASH_POINTS = 8
#: Sends of one key at most, as an impatient caller would make.
MAX_SENDS = 6


class CrashInjector:
    """Counts the calls of one entry and crashes it at one of them.

    Args:
        random: Source of the pauses before each call.
        scope: Cancelled when the entry crashes.
        crash_at: Number of the call at which it crashes, from 0.
        after: Whether it crashes after the call took effect, not before.
    """

    def __init__(
        self, random: random.Random, scope: trio.CancelScope, crash_at: int, after: bool
    ) -> None:
        #: Source of the pauses.
        self.random = random
        #: Cancelled when the entry crashes.
        self.scope = scope
        #: Number of the call at which it crashes.
        self.crash_at = crash_at
        #: Whether it crashes after the call took effect.
        self.after = after
        #: Calls so far.
        self.calls = 0

    async def make_call(self, call: Callable[..., Awaitable], *args: Any) -> Any:
        """Make a call, with a pause before it and the crash around it."""
        number = self.calls
        self.calls += 1
        await trio.sleep(self.random.uniform(0, 0.02))
        if number == self.crash_at and not self.after:
            await self.crash()
        result = await call(*args)
        if number == self.crash_at:
            await self.crash()
        return result

    async def crash(self) -> None:
        """Crash the entry: nothing of it runs any more."""
        self.scope.cancel()
        await trio.sleep_forever()


class CrashingClient:
    """A client whose calls are crash points.

    Args:
        client: The client behind it.
        points: The crash points.
    """

    def __init__(self, client: Any, points: CrashInjector) -> None:
        #: The client behind it.
        self.client = client
        #: The crash points.
        self.points = points

    async def transact(self, *args: Any) -> None:
        """Apply a transaction."""
        await self.points.make_call(self.client.transact, *args)

    async def read(self, *args: Any) -> Any:
        """Read a row."""
        return await self.points.make_call(self.client.read, *args)

    async def call(self, *args: Any) -> Any:
        """Call a service."""
        return await self.points.make_call(self.client.call, *args)

    async def look_up(self, *args: Any) -> Any:
        """Look up an outcome."""
        return await self.points.make_call(self.client.look_up, *args)


class CrashSimulation:
    """One key sent again and again while entries crash and the store fails.

    Args:
        seed: Seed of the whole schedule.
        crash_at: Number of the call at which the first entry crashes.
        after: Whether it crashes after that call took effect.
        skip_claims: Whether entries dispatch without claiming a row, which the
            walk must catch.
    """

    def __init__(
        self, seed: int, crash_at: int, after: bool, skip_claims: bool = False
    ) -> None:
        #: Number of the call at which the first entry crashes.
        self.crash_at = crash_at
        #: Whether it crashes after that call took effect.
        self.after = after
        #: Source of the whole schedule.
        self.random = random.Random(seed)
        #: Whether entries dispatch without claiming a row.
        self.skip_claims = skip_claims
        #: Promises that were broken, in words.
        self.violations: list[str] = []
        #: Entries that crashed.
        self.crash_count = 0
        #: Answers that callers got.
        self.answers: list[HttpResponse | Failure] = []

    async def run(
        self,
        manifest: ManifestDocument,
        platform: FakePlatform,
        service: FakeService,
        engines: EngineClient,
    ) -> None:
        """Send one key until an answer comes, or the caller loses patience."""
        platform.lost_response_ratio = self.random.choice((0.0, 0.2, 0.5))
        service.lost_response_ratio = self.random.choice((0.0, 0.3))
        service.call_seconds = self.random.choice((0.0, 0.05, 0.4))
        clock = TrioClock()
        key = new_key(clock.now())
        call = self.random.choice(("confirm", "blind"))
        async with trio.open_nursery() as nursery:
            for number in range(MAX_SENDS):
                peers = Clients(engines, service, platform)
                nursery.start_soon(self.send, number, manifest, peers, clock, key, call)
                await trio.sleep(self.random.choice((0.0, 0.1, 1.0, 4.0)))
                platform.down = self.random.random() < 0.15
            platform.down = False
        self.check_invariants(service, f"crews.{key}")

    async def send(
        self,
        number: int,
        manifest: ManifestDocument,
        peers: Clients,
        clock: TrioClock,
        key: str,
        call: str,
    ) -> None:
        """Send the key to a new entry, which may crash at any point."""
        crash_at, after = self.crash_at, self.after
        if number:
            crash_at = self.random.randrange(2 * MAX_CRASH_POINTS)
            after = self.random.random() < 0.5
        with trio.CancelScope() as scope:
            points = CrashInjector(self.random, scope, crash_at, after)
            table = CrashingClient(peers.table, points)
            services = CrashingClient(peers.services, points)
            entry = Entry(
                f"entry-{number}",
                "urubamba",
                (b"key",),
                Clients(peers.engines, services, table),
                clock,
                random.Random(self.random.random()),
                Metrics(),
            )
            entry.activate(index_manifest(1, "digest", manifest))
            if self.skip_claims:
                entry.ledger.claim = claim_without_row
            async with trio.open_nursery() as nursery:
                entry.nursery = nursery
                request = self.call_request(entry, key, call)
                answer = await run_call(entry, request)
                self.check_verdict(answer, peers.services, f"crews.{key}")
        self.crash_count += scope.cancelled_caught

    def call_request(self, entry: Entry, key: str, call: str) -> CallRequest:
        """Return the request that carries the key."""
        return CallRequest(
            request_id=entry.new_id(),
            workspace="crews",
            service="bookings",
            call=entry.configuration.find_call("bookings", call),
            key=key,
            digest=body_digest(b"{}"),
            body=b"{}",
            deadline=entry.clock.monotonic() + 3.0,
        )

    def check_verdict(
        self, answer: HttpResponse | Failure, service: FakeService, key: str
    ) -> None:
        """Check the verdict of an answer at the moment it is given."""
        self.answers.append(answer)
        runs = service.count_runs(key)
        if isinstance(answer, Failure):
            if answer.verdict is Verdict.NOT_RUN and runs:
                self.violations.append(f"told not run, but it ran: {answer}")
        elif not runs:
            self.violations.append(f"told that it ran, but it did not: {answer}")

    def check_invariants(self, service: FakeService, key: str) -> None:
        """Check the promises that hold over all sends."""
        runs = service.count_runs(key)
        if runs > 1:
            self.violations.append(f"ran {runs} times")
        bodies = {
            answer.body for answer in self.answers if isinstance(answer, HttpResponse)
        }
        if len(bodies) > 1:
            self.violations.append(f"{len(bodies)} different answers")


async def claim_without_row(claim: Any, sighting: Any) -> ClaimResult:
    """Claim nothing and say that the claim succeeded."""
    await trio.lowlevel.checkpoint()
    return ClaimResult(True, {}, 1)
