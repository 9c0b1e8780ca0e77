"""Routers over sockets of which one is partitioned from all endpoints."""

import pytest
import trio

from tests.links import Link
from tests.test_router import ask
from tests.test_silent_endpoints import begin_stream

#: Seconds after a cut from which on callers must be served.
CONTACT_SECONDS = 1.0
#: Targets of the requests; the answers are whole.
TARGETS = ("/plans/x", "/bookings/x", "/schedules/x", "/plans/x")


async def ask_many(router, count, prefix):
    """Send requests one after the other in pairs; return status and body by id."""
    answers = {}

    async def ask_one(target, id):
        status, _, body = await ask(router, target, id, deadline_ms="1500")
        answers[id] = status, body

    async with trio.open_nursery() as nursery:
        for number in range(count):
            target = TARGETS[number % len(TARGETS)]
            nursery.start_soon(ask_one, target, f"{prefix}{number}")
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


async def test_partitioned_entry_leaves_placing_layers_to_another(deployment):
    # Guards against layers that nobody places while the placer has lost its links.
    (holder,) = [r for r in deployment.routers if r.placer.lease.held()]
    (other,) = [r for r in deployment.routers if r is not holder]
    fence = holder.placer.lease.fence
    link = Link(holder, deployment.engines | deployment.services)
    link.cut()
    with trio.fail_after(8):
        await ask(holder, "/bookings/x", "early")
        while not other.placer.lease.held():
            assert not (holder.placer.lease.held() and other.placer.lease.held())
            await trio.sleep(0.02)
    assert not holder.placer.lease.held()
    assert other.placer.lease.fence > fence
    link.restore()
    await trio.sleep(2.0)
    assert not holder.placer.lease.held()


async def test_moment_without_links_moves_no_lease(deployment):
    (holder,) = [r for r in deployment.routers if r.placer.lease.held()]
    fence = holder.placer.lease.fence
    link = Link(holder, deployment.engines | deployment.services)
    link.cut()
    await ask(holder, "/bookings/x", "early")
    await trio.sleep(0.5)
    link.restore()
    await trio.sleep(2.0)
    assert holder.placer.lease.held()
    assert holder.placer.lease.fence == fence


async def test_caller_who_leaves_ends_the_work_at_the_other_entry(deployment):
    # Guards against endpoints that work on for callers who have left.
    for engine in deployment.engines.values():
        engine.events = 1000
    first, second = deployment.routers
    link = Link(first, deployment.engines | deployment.services)
    link.cut()
    await ask(first, "/bookings/x", "early")
    caller, _ = await begin_stream(first, "left")
    assert second.drain.in_progress == 1
    await caller.stream.aclose()
    with trio.fail_after(0.5):
        while second.drain.in_progress or first.drain.in_progress:
            await trio.sleep(0.01)


async def test_links_that_return_end_the_detour(deployment):
    first, second = deployment.routers
    link = Link(first, deployment.engines | deployment.services)
    link.cut("reset")
    await ask(first, "/bookings/x", "early")
    assert first.links.cut_off
    link.restore()
    with trio.fail_after(1.0):
        while first.links.cut_off:
            await trio.sleep(0.01)
    assert (await ask(first, "/bookings/x", "late"))[0] == 200
    assert "late" not in second.journal.requests
