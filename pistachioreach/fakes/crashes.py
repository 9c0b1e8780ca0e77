"""Simulated crashes of entries during a call that must not be repeated."""

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

#: Maximum number of calls to the table service and the plain service that one send
#: of a key makes if none of them fails. A send that meets failures makes more calls;
#: other simulations crash the entry at those.
MAX_CRASH_POINTS = 8
#: Number of times that a key is sent, as by an impatient caller.
SENDS_PER_KEY = 6


class CrashInjector:
    """Counts the outgoing calls of an entry and crashes the entry at one of them.

    Args:
        random: Random source of the delay before each call.
        scope: Cancel scope of the entry's tasks; a crash cancels it.
        crash_at: Number of the call at which the entry crashes, from 0.
        after: Whether the entry crashes after the call took effect instead of before
            the call.
    """

    def __init__(
        self, random: random.Random, scope: trio.CancelScope, crash_at: int, after: bool
    ) -> None:
        #: Random source of the delay before each call.
        self.random = random
        #: Cancel scope of the entry's tasks; a crash cancels it.
        self.scope = scope
        #: Number of the call at which the entry crashes, from 0.
        self.crash_at = crash_at
        #: Whether the entry crashes after the call took effect.
        self.after = after
        #: Number of calls so far.
        self.calls = 0

    async def make_call(self, call: Callable[..., Awaitable], *args: Any) -> Any:
        """Make a call after a random delay; crash if it is the chosen call."""
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
        """Crash the entry: cancel all its tasks and never return."""
        self.scope.cancel()
        await trio.sleep_forever()


class CrashingClient:
    """Client of the table service or of plain services whose calls may crash the entry.

    Args:
        client: Client that makes the calls.
        injector: Crashes the entry at one of the calls.
    """

    def __init__(self, client: Any, injector: CrashInjector) -> None:
        #: Client that makes the calls.
        self.client = client
        #: Crashes the entry at one of the calls.
        self.injector = injector

    async def transact(self, *args: Any) -> None:
        """Apply a transaction of the table service."""
        await self.injector.make_call(self.client.transact, *args)

    async def read(self, *args: Any) -> Any:
        """Return a row of the table service."""
        return await self.injector.make_call(self.client.read, *args)

    async def call(self, *args: Any) -> Any:
        """Call a plain service."""
        return await self.injector.make_call(self.client.call, *args)

    async def is_listening(self, *args: Any) -> Any:
        """Return whether the endpoint of a call accepts connections."""
        return await self.injector.make_call(self.client.is_listening, *args)

    async def look_up(self, *args: Any) -> Any:
        """Return the outcome that a plain service stores for a key, if any."""
        return await self.injector.make_call(self.client.look_up, *args)


class CrashSimulation:
    """Sends one idempotency key repeatedly while entries crash and the store fails.

    Args:
        seed: Seed of all random choices.
        crash_at: Number of the call at which the first entry crashes, from 0.
        after: Whether the first entry crashes after that call took effect.
        skip_claims: Whether entries dispatch the call without claiming a row; the
            simulation must report this as a violation.
    """

    def __init__(
        self, seed: int, crash_at: int, after: bool, skip_claims: bool = False
    ) -> None:
        #: Number of the call at which the first entry crashes, from 0.
        self.crash_at = crash_at
        #: Whether the first entry crashes after that call took effect.
        self.after = after
        #: Source of all random choices.
        self.random = random.Random(seed)
        #: Whether entries dispatch the call without claiming a row.
        self.skip_claims = skip_claims
        #: Descriptions of the violated guarantees.
        self.violations: list[str] = []
        #: Number of entries that crashed.
        self.crash_count = 0
        #: Responses and failures that the sends returned.
        self.outcomes: list[HttpResponse | Failure] = []

    async def run(
        self,
        manifest: ManifestDocument,
        platform: FakePlatform,
        service: FakeService,
        engines: EngineClient,
    ) -> None:
        """Send one key several times, then check the guarantees.

        Each send goes to a new entry. The sends start at random intervals and may
        overlap, and some start while the table service is down.

        Args:
            manifest: Manifest that all entries use.
            platform: Table service, in which random failures are set.
            service: Plain service, in which random failures are set.
            engines: Client of the engines.
        """
        platform.lost_response_ratio = self.random.choice((0.0, 0.2, 0.5))
        service.lost_response_ratio = self.random.choice((0.0, 0.3))
        service.call_seconds = self.random.choice((0.0, 0.05, 0.4))
        clock = TrioClock()
        key = new_key(clock.now())
        call = self.random.choice(("confirm", "blind"))
        async with trio.open_nursery() as nursery:
            for number in range(SENDS_PER_KEY):
                clients = Clients(engines, service, platform)
                nursery.start_soon(
                    self.send_key, number, manifest, clients, clock, key, call
                )
                await trio.sleep(self.random.choice((0.0, 0.1, 1.0, 4.0)))
                platform.down = self.random.random() < 0.15
            platform.down = False
        self.check_invariants(service, f"crews.{key}")

    async def send_key(
        self,
        number: int,
        manifest: ManifestDocument,
        clients: Clients,
        clock: TrioClock,
        key: str,
        call: str,
    ) -> None:
        """Send the key to a new entry, which may crash at one of its calls.

        Args:
            number: Number of the send, from 0. Send 0 uses the crash point of the
                simulation; each other send uses a random one.
            manifest: Manifest of the entry.
            clients: Clients of the engines, the plain service and the table service.
            clock: Clock of the entry.
            key: Idempotency key.
            call: Name of the call.
        """
        crash_at, after = self.crash_at, self.after
        if number:
            crash_at = self.random.randrange(2 * MAX_CRASH_POINTS)
            after = self.random.random() < 0.5
        with trio.CancelScope() as scope:
            injector = CrashInjector(self.random, scope, crash_at, after)
            table = CrashingClient(clients.table, injector)
            services = CrashingClient(clients.services, injector)
            entry = Entry(
                f"entry-{number}",
                "urubamba",
                (b"key",),
                Clients(clients.engines, services, table),
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
                outcome = await run_call(entry, request)
                self.check_verdict(outcome, clients.services, f"crews.{key}")
        self.crash_count += scope.cancelled_caught

    def call_request(self, entry: Entry, key: str, call: str) -> CallRequest:
        """Return a request that makes a call of the bookings service with a key."""
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
        self, outcome: HttpResponse | Failure, service: FakeService, key: str
    ) -> None:
        """Check when a send returns that its verdict agrees with the runs so far."""
        self.outcomes.append(outcome)
        runs = service.count_runs(key)
        if isinstance(outcome, Failure):
            if outcome.verdict is Verdict.NOT_RUN and runs:
                self.violations.append(
                    f"reported as not run, but the call ran: {outcome}"
                )
        elif not runs:
            self.violations.append(
                f"reported as run, but the call did not run: {outcome}"
            )

    def check_invariants(self, service: FakeService, key: str) -> None:
        """Check that the call ran at most once and that all its responses are equal."""
        runs = service.count_runs(key)
        if runs > 1:
            self.violations.append(f"ran {runs} times")
        bodies = {
            outcome.body
            for outcome in self.outcomes
            if isinstance(outcome, HttpResponse)
        }
        if len(bodies) > 1:
            self.violations.append(f"{len(bodies)} different responses")


async def claim_without_row(claim: Any, progress: Any) -> ClaimResult:
    """Report a successful claim without inserting a row."""
    await trio.lowlevel.checkpoint()
    return ClaimResult(True, {}, 1)
