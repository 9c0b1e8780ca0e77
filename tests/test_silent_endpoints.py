"""Routers over sockets whose endpoints fall silent for a moment."""

from contextlib import suppress

import h11
import pytest
import trio

from pistachioreach.platform.standins.deployment import KEY
from tests.links import Link
from tests.test_router import ask, connect

#: Seconds for which endpoints are silent.
SILENCE_SECONDS = 1.2
#: Seconds between two resets of all connections, while answers last 2 s.
RESET_INTERVAL_SECONDS = 0.35


async def begin_stream(router, request):
    """Send a request for a stream and wait for the first part of the answer."""
    caller = await connect(router)
    await caller.send("/plans/x", attempt_id=request, authorization=f"Token {KEY}")
    assert (await caller.next_event()).status_code == 200
    return caller, (await caller.next_event()).data


async def rest_of(caller, bodies, request, begun):
    """Store the body of an answer; it stays incomplete if the connection ends."""
    bodies[request] = begun
    with suppress(h11.RemoteProtocolError):
        while hasattr(event := await caller.next_event(), "data"):
            bodies[request] += event.data


@pytest.mark.parametrize("how", ["silent", "reset"])
async def test_answers_that_have_begun_survive_the_loss_of_all_links(deployment, how):
    # Guards against answers that the router itself cuts off because it finds no chain.
    for engine in deployment.engines.values():
        engine.events = 60
    router = deployment.routers[0]
    link = Link(router, deployment.engines | deployment.services)
    bodies = {}
    with trio.fail_after(15):
        async with trio.open_nursery() as nursery:
            for number in range(8):
                request = f"r{number}"
                caller, begun = await begin_stream(router, request)
                nursery.start_soon(rest_of, caller, bodies, request, begun)
            link.cut(how)
            await trio.sleep(SILENCE_SECONDS)
            link.restore()
    complete = deployment.complete_response()
    assert [request for request in bodies if bodies[request] != complete] == []


@pytest.mark.parametrize("how", ["silent", "reset"])
async def test_entry_that_is_cut_off_tells_others_of_no_lost_endpoint(deployment, how):
    # Guards against other entries that avoid sound endpoints.
    first, second = deployment.routers
    link = Link(first, deployment.engines | deployment.services)
    with trio.fail_after(15):
        async with trio.open_nursery() as nursery:
            link.cut(how)
            for number in range(6):
                target = ("/bookings/x", "/plans/x")[number % 2]
                nursery.start_soon(ask, first, target, f"r{number}")
    assert not [
        endpoint.id
        for endpoint in second.platform_view.directory.endpoints.values()
        if endpoint.lost_until > 0
    ]


async def test_answers_survive_more_resets_than_their_route_allows_attempts(deployment):
    # Guards against answers that end as often as connections to sound engines break.
    for engine in deployment.engines.values():
        engine.events = 200
    router = deployment.routers[0]
    link = Link(router, deployment.engines)
    requests = [f"r{number}" for number in range(4)]
    bodies = {}
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            for request in requests:
                caller, begun = await begin_stream(router, request)
                nursery.start_soon(rest_of, caller, bodies, request, begun)
            for _ in range(4):
                await trio.sleep(RESET_INTERVAL_SECONDS)
                link.cut("reset")
                link.restore()
    complete = deployment.complete_response()
    assert [request for request in bodies if bodies[request] != complete] == []
    for request in requests:
        firsts = {chain[0][0] for chain in deployment.chains_of(request)}
        assert len(firsts) <= 2
