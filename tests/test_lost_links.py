"""Routers over sockets that lose their links to some endpoints, while others serve."""

import trio

from pistachioreach.platform.standins.deployment import KEY, configuration
from tests.links import Link
from tests.test_router import ask, connect
from tests.test_silent_endpoints import begin_stream, rest_of

#: Seconds for which links are cut.
CUT_SECONDS = 1.2


def links_to(router, endpoints):
    """Return one link to each endpoint, by address, that can be cut by itself."""
    return {address: Link(router, {address}) for address in endpoints}


def first_engines(deployment, request):
    """Return the addresses of the first engines of the chains of a request."""
    return [chain[0][0] for chain in deployment.chains_of(request)]


async def allow_attempts(deployment, count):
    """Put a configuration in force by which a stream may run on some chains."""
    changed = configuration(version=2)
    changed["routes"][0]["max-attempts"] = count
    deployment.store.put("op", "config", changed)
    while any(r.platform_view.routes.version < 2 for r in deployment.routers):
        await trio.sleep(0.02)


async def cut_first_engines(deployment, links, request, cut, count):
    """Cut the links to the first engines of a request as soon as it runs there."""
    while len(cut) < count:
        for address in set(first_engines(deployment, request)) - set(cut):
            links[address].cut("reset")
            cut.append(address)
        await trio.sleep(0.02)


async def test_answer_survives_engines_whose_links_are_lost_one_after_the_other(
    deployment,
):
    # Guards against lost links that count as crashes of a request, and end its answer.
    await allow_attempts(deployment, 4)
    for engine in deployment.engines.values():
        engine.events = 200
    router, other = deployment.routers
    links = links_to(router, deployment.engines)
    bodies, cut = {}, []
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            caller, begun = await begin_stream(router, "r")
            nursery.start_soon(rest_of, caller, bodies, "r", begun)
            with trio.move_on_after(CUT_SECONDS):
                await cut_first_engines(deployment, links, "r", cut, 2)
                await trio.sleep_forever()
            for address in cut:
                links[address].restore()
    assert len(cut) == 2
    assert bodies["r"] == deployment.complete_response()
    for asked in (router, other):
        status, _, _ = await ask(asked, "/plans/x", f"again {asked.settings.name}")
        assert status == 200


async def begin_calls(deployment, router):
    """Send a call a few times, so that it runs on all endpoints of its service."""
    for service in deployment.services.values():
        service.delay_seconds = 0.5
    callers = [await connect(router) for _ in range(4)]
    for number, caller in enumerate(callers):
        await caller.send(
            "/schedules/x", attempt_id=f"c{number}", authorization=f"Token {KEY}"
        )
    await trio.sleep(0.2)
    assert all(service.runs for service in deployment.services.values())
    for service in deployment.services.values():
        service.delay_seconds = 0.0
    return callers


async def test_lost_links_of_one_entry_block_no_call_at_another(deployment):
    # Guards against an entry that takes the lost links of another one for crashes.
    router, other = deployment.routers
    link = Link(router, set(deployment.services))
    with trio.fail_after(15):
        callers = await begin_calls(deployment, router)
        link.cut("reset")
        for _ in range(8):
            await trio.sleep(0.5)
            status, _, _ = await ask(other, "/schedules/x", "again")
            assert status == 200
        for caller in callers:
            assert (await caller.answer())[0] in (502, 503)


async def test_call_is_answered_after_the_links_to_its_endpoints_were_lost(deployment):
    # Guards against calls that are refused for minutes since their links were lost.
    router = deployment.routers[0]
    link = Link(router, set(deployment.services))
    with trio.fail_after(10):
        callers = await begin_calls(deployment, router)
        link.cut("reset")
        await trio.sleep(CUT_SECONDS)
        link.restore()
        await trio.sleep(1.0)
        for asked in deployment.routers:
            status, _, _ = await ask(asked, "/schedules/x", "again")
            assert status == 200
        assert len(callers) == 4
