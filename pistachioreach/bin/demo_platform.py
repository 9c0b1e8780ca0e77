"""The part of the demonstration that runs on stand-ins of the users' platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from pistachioreach.endpoints.connections import Connections
from pistachioreach.platform.standins.deployment import (
    StandInDeployment,
    caller_fields,
)

if TYPE_CHECKING:
    from pistachioreach.bin.demo import Checks

__all__ = ["demonstrate_platform"]

#: Events after which a stage is killed.
KILL_AFTER = 5


async def demonstrate_platform(checks: Checks) -> None:
    """Place layers on empty engines, run streams through them, make a booking."""
    async with trio.open_nursery() as nursery:
        deployment = StandInDeployment(nursery)
        connections = Connections()
        print("4. Place layers on empty engines")
        await deployment.start()
        await deployment.wait_until_placed()
        for engine in deployment.engines.values():
            print(f"       {engine.id} holds layers {engine.layers}")
        orders = [engine.order_count for engine in deployment.engines.values()]
        checks.check(set(orders) == {1}, "every engine got one order")
        print("5. Stream through a chain, and kill a stage in the middle of it")
        await check_stream(checks, deployment, connections)
        print("6. Make a booking whose answer is lost")
        await check_booking(checks, deployment, connections)
        await connections.close()
        nursery.cancel_scope.cancel()


async def check_stream(
    checks: Checks, deployment: StandInDeployment, connections: Connections
) -> None:
    """Read a stream whose second stage dies."""
    address = deployment.routers[0].settings.callers
    body, killed = b"", None
    async with connections.send(
        "router", address, "POST", b"/plans/upper", caller_fields("demo-1"), b"{}"
    ) as exchange:
        async for data in exchange.response.aiter_stream():
            body += data
            if killed is None and body.count(b"\n\n") >= KILL_AFTER:
                killed = deployment.kill_stage("demo-1")
    whole = deployment.complete_response(b"{}")
    checks.check(killed is not None, f"killed the second stage, {killed}")
    checks.check(body == whole, f"the answer is whole: {len(body)} bytes")
    chains = deployment.chains_of("demo-1")
    for chain in chains:
        named = (f"{deployment.engines[a].id}[{b}:{c}]" for a, b, c in chain)
        print(f"       chain {' '.join(named)}")
    checks.check(len(chains) == 2, "it went on along a second chain")
    cards = {deployment.engines[a].card for chain in chains for a, _, _ in chain}
    checks.check(len(cards) >= 2, f"it ran on {', '.join(sorted(cards))}")


async def check_booking(
    checks: Checks, deployment: StandInDeployment, connections: Connections
) -> None:
    """Make a booking that runs and whose answer is lost."""
    for service in deployment.services.values():
        service.lost_answers = 1
    address = deployment.routers[1].settings.callers
    async with connections.send(
        "router", address, "POST", b"/bookings/upper", caller_fields("demo-2"), b"{}"
    ) as exchange:
        status = exchange.response.status
        await exchange.response.aread()
    runs = sum(s.runs.get("demo-2", 0) for s in deployment.services.values())
    checks.check(runs == 1, f"the booking ran {runs} time")
    checks.check(status == 502, f"the caller got {status}, not a promise")
