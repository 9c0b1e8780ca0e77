"""Callers that press on while faults happen, and check what they get."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.errors import ConnectionFailed
from pistachioreach.platform.standins.deployment import caller_fields
from pistachioreach.platform.standins.engine import event_bytes, response_bytes
from soak.promises import APPLY_SECONDS, MARGIN, Attempt
from soak.proxy import REFUSED

if TYPE_CHECKING:
    from soak.routers import RouterProcess
    from soak.world import SoakWorld

__all__ = ["Caller", "probe_keys"]

#: Seconds that callers wait, by the first part of the path.
DEADLINES = {"plans": 8.0, "bookings": 3.0, "schedules": 3.0}
#: Seconds after the deadline at which a caller gives up.
PATIENCE = 1.5
#: Attempts of one stream.
ATTEMPTS = 4
#: Events of an answer.
EVENTS = 30
#: Seconds between two requests of a caller, at most.
PAUSE_SECONDS = 0.1


class Caller:
    """One caller, with connections of its own that it keeps.

    Args:
        world: The deployment.
        number: Number of the caller.
        seed: Seed of its choices.
    """

    def __init__(self, world: SoakWorld, number: int, seed: int) -> None:
        #: The deployment.
        self.world = world
        #: Number of the caller.
        self.number = number
        #: Source of its choices.
        self.random = random.Random(seed * 1000 + number)
        #: Its connections.
        self.connections = Connections()
        #: Requests so far.
        self.count = 0

    async def run(self) -> None:
        """Send one request after the other, for ever."""
        while True:
            path = self.random.choice(("plans", "plans", "bookings", "schedules"))
            await self.request(path, self.choose())
            await trio.sleep(self.random.uniform(0.0, PAUSE_SECONDS))

    def choose(self) -> RouterProcess:
        """Return a router that the balancer would take."""
        routers = self.world.routers
        ready = [router for router in routers if router.name in self.world.ready]
        return self.random.choice(ready or routers)

    async def request(self, path: str, router: RouterProcess) -> Attempt:
        """Send a request, and read on elsewhere if it is a stream that breaks."""
        self.count += 1
        body = f"{self.number}/{self.count}".encode()
        events = [event_bytes(n, body) for n in range(1, EVENTS + 1)]
        got = 0
        for _ in range(ATTEMPTS if path == "plans" else 1):
            wanted = response_bytes(body)
            if path == "plans":
                wanted = b"".join(events[got:])
            attempt = await self.attempt(path, router, body, wanted, got)
            self.world.record.ended(attempt)
            if attempt.whole and attempt.status == 200:
                return attempt
            if attempt.status not in (None, 200):
                return attempt
            if path == "plans":
                got += attempt.answer.count(b"\n\n")
            router = self.choose()
        return attempt

    async def attempt(
        self, path: str, router: RouterProcess, body: bytes, wanted: bytes, got: int
    ) -> Attempt:
        """Send a request once and read what comes of it."""
        self.count += 1
        number = router.name.partition("-")[2]
        id = f"{number}.{self.number}.{self.count}"
        fields = caller_fields(
            id, body, self.world.keys.usable(), seconds=DEADLINES[path]
        )
        if got:
            fields.append(("last-event-id", str(got)))
        sent = trio.current_time()
        status, whole, answer = None, False, b""
        try:
            with trio.move_on_after(DEADLINES[path] + PATIENCE):
                async with self.connections.send(
                    router.name,
                    router.link.address,
                    "POST",
                    f"/{path}/x".encode(),
                    fields,
                    body,
                ) as exchange:
                    status = exchange.response.status
                    async for data in exchange.response.aiter_stream():
                        answer += data
                    whole = True
            if status == REFUSED:
                status = None
        except ConnectionFailed as error:
            self.world.record.note(f"{id} at {router.name}: {error}")
            # A kept connection that the router closed before it read the request
            # is no answer of the router.
            whole = error.reused or not error.sent
        return Attempt(
            id,
            path,
            router.name,
            sent,
            trio.current_time(),
            status,
            whole,
            answer,
            wanted,
            DEADLINES[path],
        )


async def probe_keys(world: SoakWorld, seed: int) -> None:
    """Check for ever that dropped keys are refused everywhere."""
    source = random.Random(seed)
    connections = Connections()
    count = 0
    while True:
        await trio.sleep(0.1)
        dropped = world.keys.dropped()
        if dropped is None or trio.current_time() - dropped[1] < APPLY_SECONDS + MARGIN:
            continue
        router = source.choice(world.routers)
        touch = world.record.in_touch(router.name)
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
                    if touch and status not in (401, 503, REFUSED):
                        world.record.violation(
                            f"{router.name} answers {status} to {dropped[0]}, which "
                            f"was dropped {trio.current_time() - dropped[1]:.1f} s ago"
                        )
        except ConnectionFailed as error:
            world.record.note(f"probe of {router.name}: {error}")
