"""Routers over sockets of which one is partitioned from all endpoints."""

import pytest
import trio

from pistachioreach.platform.standins.deployment import StandInDeployment
from tests.links import Link
from tests.test_silent_endpoints import request

#: Seconds after a cut from which on callers must be served.
CONTACT_SECONDS = 1.0
#: Targets of the requests; the answers are whole.
TARGETS = ("/plans/x", "/bookings/x", "/schedules/x", "/plans/x")


@pytest.fixture
async def deployment(nursery):
    world = StandInDeployment(nursery)
    with trio.fail_after(20):
        await world.start()
        await world.wait_until_placed()
    return world


async def ask_many(router, count, prefix):
    """Send requests one after the other in pairs; return status and body by id."""
    answers = {}

    async def ask(target, id):
        status, _, body = await request(router, target, id)
        answers[id] = status, body

    async with trio.open_nursery() as nursery:
        for number in range(count):
            target = TARGETS[number % len(TARGETS)]
            nursery.start_soon(ask, target, f"{prefix}{number}")
            await trio.sleep(0.05)
    return answers


@pytest.mark.parametrize("how", ["silent", "reset", "refuse"])
async def test_partitioned_entry_serves_as_the_others_do(deployment, how):
    # Guards against callers who are refused because their entry has lost its links.
    first, _ = deployment.routers
    link = Link(first, deployment.engines | deployment.services)
    link.cut(how)
    # The entry finds out by the requests that fail meanwhile.
    await ask_many(first, 4, "early")
    await trio.sleep(CONTACT_SECONDS)
    answers = await ask_many(first, 24, "late")
    assert [status for status, _ in answers.values()] == [200] * 24
    for id, (_, body) in answers.items():
        if "/plans/x" == TARGETS[int(id.removeprefix("late")) % len(TARGETS)]:
            assert body == deployment.complete_response()
    runs = [service.runs for service in deployment.services.values()]
    for id in answers:
        assert sum(counts.get(id, 0) for counts in runs) <= 1
