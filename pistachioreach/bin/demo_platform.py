"""Second part of the demonstration, with stand-ins for the users' platform."""

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

#: Number of received events after which a stage is killed.
KILL_AFTER_EVENTS = 5


async def demonstrate_platform(checks: Checks) -> None:
    """Place layers on empty engines, stream an answer and make a booking.

    Args:
        checks: Checks that are printed.
    """
    async with trio.open_nursery() as nursery:
        deployment = StandInDeployment(nursery)
        connections = Connections()
        print("4. Place layers on empty engines")
        await deployment.start()
        await deployment.wait_until_placed()
        for engine in deployment.engines.values():
            print(f"       {engine.id} holds layers {engine.layers}")
        order_counts = [engine.order_count for engine in deployment.engines.values()]
        checks.check(set(order_counts) == {1}, "each engine started one order")
        print("5. Stream an answer through a chain, and kill a stage meanwhile")
        await check_stream(checks, deployment, connections)
        print("6. Make a booking whose response is lost")
        await check_booking(checks, deployment, connections)
        await connections.close()
        nursery.cancel_scope.cancel()


async def check_stream(
    checks: Checks, deployment: StandInDeployment, connections: Connections
) -> None:
    """Read a stream and kill the second stage of its chain meanwhile."""
    address = deployment.routers[0].settings.callers
    body, killed = b"", None
    async with connections.send(
        "router", address, "POST", b"/plans/upper", caller_fields("demo-1"), b"{}"
    ) as exchange:
        async for data in exchange.response.aiter_stream():
            body += data
            if killed is None and body.count(b"\n\n") >= KILL_AFTER_EVENTS:
                killed = deployment.kill_stage("demo-1")
    expected = deployment.complete_response(b"{}")
    checks.check(killed is not None, f"killed the second stage, {killed}")
    checks.check(body == expected, f"the answer is complete: {len(body)} bytes")
    chains = deployment.chains_of("demo-1")
    for chain in chains:
        stages = (
            f"{deployment.engines[engine].id}[{first}:{last}]"
            for engine, first, last in chain
        )
        print(f"       chain {' '.join(stages)}")
    checks.check(len(chains) == 2, "the stream continued on a second chain")
    cards = {
        deployment.engines[engine].card for chain in chains for engine, _, _ in chain
    }
    checks.check(
        len(cards) >= 2, f"accelerators of the chains: {', '.join(sorted(cards))}"
    )


async def check_booking(
    checks: Checks, deployment: StandInDeployment, connections: Connections
) -> None:
    """Make a booking that runs once and whose response is lost."""
    for service in deployment.services.values():
        service.lost_answers = 1
    address = deployment.routers[1].settings.callers
    async with connections.send(
        "router", address, "POST", b"/bookings/upper", caller_fields("demo-2"), b"{}"
    ) as exchange:
        status = exchange.response.status
        await exchange.response.aread()
    runs = sum(
        stand_in.runs.get("demo-2", 0) for stand_in in deployment.services.values()
    )
    checks.check(runs == 1, f"runs of the booking: {runs}")
    checks.check(status == 502, f"the caller got status {status}, not a confirmation")
