"""Routers whose store comes back from an older copy, as callers see them."""

import pytest
import trio

from pistachioreach.placement.lease import LEASE_SECONDS
from pistachioreach.platform.standins.deployment import KEY, configuration
from tests.test_router import connect

#: Seconds within which a configuration must be in force.
APPLY_SECONDS = 2.0


def changed_configuration(version, keys, prefix):
    """Return a configuration with some keys, and one more route to the service."""
    document = configuration(version, keys)
    added = {"name": f"added-{version}", "prefix": prefix}
    document["routes"].append(document["routes"][2] | added)
    return document


async def status_of(router, target, key):
    caller = await connect(router)
    await caller.send(target, attempt_id=f"{target}{key}", authorization=f"Token {key}")
    with trio.fail_after(10):
        return (await caller.answer())[0]


async def statuses(deployment, target, key):
    return {await status_of(router, target, key) for router in deployment.routers}


async def write_heartbeats(store):
    """Change rows all the time, as in a deployment with many endpoints."""
    while True:
        store.put("heartbeats", "x", {})
        await trio.sleep(0.05)


async def restore(deployment, copy, newest):
    """Let the store come back from a copy; the operator and endpoints write again."""
    deployment.store.faults.status = 503
    await trio.sleep(0.5)
    deployment.store.faults.status = 0
    deployment.restore_store(copy)
    deployment.store.put("op", "config", newest)


@pytest.mark.parametrize("restores", [1, 2])
async def test_routes_and_keys_of_all_versions_hold_after_a_restore(
    deployment, nursery, restores
):
    # Guards against proper requests that are refused with 404 or 401, and dropped
    # routes and keys that go on, after the store came back from an older copy.
    nursery.start_soon(write_heartbeats, deployment.store)
    copy = deployment.store.copy()
    await trio.sleep(2.0)
    lost = changed_configuration(2, (KEY, "second-key"), "/lost/")
    deployment.store.put("op", "config", lost)
    await trio.sleep(1.0)
    for _ in range(restores):
        await restore(deployment, copy, lost)
    assert await statuses(deployment, "/lost/x", "second-key") == {200}
    last = changed_configuration(5, ("second-key", "third-key"), "/added/")
    deployment.store.put("op", "config", last)
    await trio.sleep(APPLY_SECONDS)
    assert await statuses(deployment, "/added/x", "third-key") == {200}
    assert await statuses(deployment, "/lost/y", "second-key") == {404}
    assert await statuses(deployment, "/schedules/x", KEY) == {401}


async def test_next_placer_acts_soon_after_a_restore(deployment):
    # Guards against a router that sleeps past a restore while no router places layers.
    leases = [router.placer.lease for router in deployment.routers]
    first, second = sorted(leases, key=lambda lease: not lease.held())
    seen_at = second.seen_at
    while second.seen_at == seen_at:
        await trio.sleep(0.01)
    for router in deployment.routers:
        router.placer.stopped = router.placer.lease is first
    copy = deployment.store.copy()
    deployment.store.faults.status = 503
    await trio.sleep(0.2)
    deployment.store.faults.status = 0
    deployment.restore_store(copy)
    returned_at = trio.current_time()
    with trio.fail_after(10):
        while not second.held():
            await trio.sleep(0.01)
    assert not first.holds()
    assert trio.current_time() - returned_at < LEASE_SECONDS + 1.0


async def test_router_that_starts_during_a_restore_serves_by_the_newest_version(
    deployment,
):
    copy = deployment.store.copy()
    await trio.sleep(1.0)
    newest = changed_configuration(2, (KEY, "second-key"), "/lost/")
    deployment.store.put("op", "config", newest)
    await trio.sleep(1.0)
    deployment.store.restore(copy)
    started = deployment.add_router("entry-9", "anta")
    with trio.fail_after(5):
        while not started.ready():
            await trio.sleep(0.02)
    await trio.sleep(APPLY_SECONDS)
    assert await status_of(started, "/lost/x", "second-key") == 200
