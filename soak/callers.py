"""Callers that send requests while faults happen, and check the responses."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from pistachioreach.platform.standins.deployment import caller_fields
from pistachioreach.platform.standins.engine import (
    FAILED_PATHS,
    event_bytes,
    response_bytes,
)
from soak.checks import APPLY_SECONDS, MARGIN_SECONDS, Attempt
from soak.proxy import REFUSED_STATUS

if TYPE_CHECKING:
    from soak.environment import SoakEnvironment
    from soak.routers import RouterProcess

__all__ = ["Caller", "probe_dropped_keys"]

#: Deadline of requests in seconds, by route.
DEADLINE_SECONDS = {"plans": 8.0, "bookings": 3.0, "schedules": 3.0}
#: Paths of the requests of each route.
PATHS = {
    "plans": ("/plans/x",),
    "bookings": ("/bookings/x",),
    "schedules": ("/schedules/x", *FAILED_PATHS),
}
#: Seconds after the deadline at which a caller stops waiting for a response.
GIVE_UP_SECONDS = 1.5
#: Maximum number of attempts for one stream.
MAX_STREAM_ATTEMPTS = 4
#: Number of events in each streamed response.
STREAM_EVENTS = 30
#: Maximum seconds between two requests of a caller.
MAX_PAUSE_SECONDS = 0.1


class Caller:
    """One caller, with a connection pool of its own.

    Args:
        environment: Environment of the run.
        number: Number of the caller.
        seed: Seed of the run, from which the caller's random choices are derived.
    """

    def __init__(self, environment: SoakEnvironment, number: int, seed: int) -> None:
        #: Environment of the run.
        self.environment = environment
        #: Number of the caller.
        self.number = number
        #: Generator of the caller's random choices.
        self.random = random.Random(seed * 1000 + number)
        #: Connections of the caller, which are reused.
        self.connections = Connections()
        #: Number of requests and attempts so far; makes bodies and identifiers unique.
        self.sequence_number = 0

    async def run(self) -> None:
        """Send one request after another, forever."""
        while True:
            route = self.random.choice(("plans", "plans", "bookings", "schedules"))
            await self.send_request(route, self.choose_router())
            await trio.sleep(self.random.uniform(0.0, MAX_PAUSE_SECONDS))

    def choose_router(self) -> RouterProcess:
        """Return a random router that the balancer considers ready, or else any."""
        routers = self.environment.routers
        ready = [
            router
            for router in routers
            if router.name in self.environment.ready_routers
        ]
        return self.random.choice(ready or routers)

    async def send_request(self, route: str, router: RouterProcess) -> Attempt:
        """Send a request, and resume an interrupted stream at another router.

        Args:
            route: Name of the route.
            router: Router that gets the first attempt.

        Returns:
            The last attempt.
        """
        self.sequence_number += 1
        body = f"{self.number}/{self.sequence_number}".encode()
        path = PATHS[route][self.sequence_number % len(PATHS[route])]
        events = [event_bytes(n, body) for n in range(1, STREAM_EVENTS + 1)]
        received_events = 0
        for _ in range(MAX_STREAM_ATTEMPTS if route == "plans" else 1):
            expected_body = response_bytes(body)
            if route == "plans":
                expected_body = b"".join(events[received_events:])
            attempt = await self.send_attempt(
                route, path, router, body, expected_body, received_events
            )
            self.environment.record.add_attempt(attempt)
            if attempt.complete and attempt.status == 200:
                return attempt
            if attempt.status not in (None, 200):
                return attempt
            if route == "plans":
                received_events += attempt.body.count(b"\n\n")
            router = self.choose_router()
        return attempt

    async def send_attempt(
        self,
        route: str,
        path: str,
        router: RouterProcess,
        body: bytes,
        expected_body: bytes,
        received_events: int,
    ) -> Attempt:
        """Send a request once and read the response.

        Args:
            route: Name of the route.
            path: Path of the request.
            router: Router that gets the request.
            body: Body of the request.
            expected_body: Complete body of a correct response.
            received_events: Number of events after which a stream is resumed, or 0.
        """
        self.sequence_number += 1
        router_number = router.name.partition("-")[2]
        id = f"{router_number}.{self.number}.{self.sequence_number}"
        key = self.environment.keys.usable()
        fields = caller_fields(id, body, key, seconds=DEADLINE_SECONDS[route])
        if received_events:
            fields.append(("last-event-id", str(received_events)))
        sent_at = trio.current_time()
        status, complete, response_body = None, False, b""
        kept, failure = False, ""
        try:
            with trio.move_on_after(DEADLINE_SECONDS[route] + GIVE_UP_SECONDS):
                async with self.connections.send(
                    router.name,
                    router.link.address,
                    "POST",
                    path.encode(),
                    fields,
                    body,
                ) as exchange:
                    status = exchange.response.status
                    kept = exchange.earlier_responses > 0
                    if status == FAILED_PATHS.get(path, 200):
                        self.environment.leaving.record_answer(id, router)
                    async for data in exchange.response.aiter_stream():
                        response_body += data
                    complete = True
            # A router that was stopped, or is starting, reads the request later.
            dropped = self.environment.keys.dropped_since(key, sent_at)
            if status == REFUSED_STATUS or (status == 401 and dropped):
                status = None
        except ConnectionFailed as error:
            self.environment.record.log_event(f"{id} at {router.name}: {error}")
            # The router has interrupted no response if it closed a reused connection
            # before it read the request, or if nothing of the request was sent.
            complete = error.reused or not error.sent
            kept = kept or error.reused
            failure = str(error)
        return Attempt(
            id,
            route,
            router.name,
            sent_at,
            trio.current_time(),
            status,
            complete,
            response_body,
            expected_body,
            FAILED_PATHS.get(path, 200),
            DEADLINE_SECONDS[route],
            kept,
            failure,
        )


async def probe_dropped_keys(environment: SoakEnvironment, seed: int) -> None:
    """Check forever that all routers reject keys that the configuration dropped.

    Args:
        environment: Environment of the run.
        seed: Seed of the choice of routers.
    """
    generator = random.Random(seed)
    connections = Connections()
    count = 0
    while True:
        await trio.sleep(0.1)
        latest = trio.current_time() - APPLY_SECONDS - MARGIN_SECONDS
        known = [item for item in environment.keys.last_dropped() if item[1] <= latest]
        if not known:
            continue
        dropped = generator.choice(known)
        router = generator.choice(environment.routers)
        synced = environment.record.synced(router.name)
        count += 1
        fields = caller_fields(f"probe.{count}", b"{}", dropped[0], 2.0)
        try:
            with trio.move_on_after(2.0):
                async with connections.send(
                    router.name,
                    router.link.address,
                    "POST",
                    b"/bookings/x",
                    fields,
                    b"{}",
                ) as exchange:
                    status = exchange.response.status
                    await exchange.response.aread()
                    if synced and status not in (401, 503, REFUSED_STATUS):
                        environment.record.add_violation(
                            f"{router.name} answers {status} to {dropped[0]}, which "
                            f"was dropped {trio.current_time() - dropped[1]:.1f} s ago"
                        )
        except ConnectionFailed as error:
            environment.record.log_event(f"probe of {router.name}: {error}")
