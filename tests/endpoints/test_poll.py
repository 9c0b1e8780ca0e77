"""Polls of the engines' load and of the VM list."""

from __future__ import annotations

import trio

from pistachioreach.endpoints.poll import poll_loads, poll_vms
from pistachioreach.platform.wire import VmEntry
from tests.builders import TIMES, make_world

#: Seconds within which the entry must notice that an endpoint is leaving.
LEAVING_SECONDS = 3.0


async def test_a_load_report_shows_a_leaving_engine_within_three_seconds(
    autojump_clock,
):
    async with make_world() as world:
        world.nursery.start_soon(poll_loads, world.entry)
        await trio.sleep(10)
        broadcasts = []
        world.entry.broadcast = lambda *message: broadcasts.append(message)
        world.engine("stage-1-1").faults.leaving = True
        await trio.sleep(LEAVING_SECONDS)
        assert world.entry.fleet.states["stage-1-1"].leaving
        assert [message[:2] for message in broadcasts] == [("leaving", "stage-1-1")]
        world.engine("stage-1-1").faults.leaving = False
        await trio.sleep(LEAVING_SECONDS)
        assert not world.entry.fleet.states["stage-1-1"].leaving


async def test_the_vm_list_shows_a_leaving_engine_within_three_seconds(autojump_clock):
    async with make_world() as world:
        world.nursery.start_soon(poll_vms, world.entry, world.platform)
        await trio.sleep(10)
        world.platform.vm_list.append(
            VmEntry(name="stage-1-1", address="", failure_domain="anta", leaving=True)
        )
        await trio.sleep(LEAVING_SECONDS)
        assert world.entry.fleet.states["stage-1-1"].leaving


async def test_a_dead_engine_does_not_stop_the_polls(autojump_clock):
    async with make_world() as world:
        world.nursery.start_soon(poll_loads, world.entry)
        world.engine("stage-0-0").die()
        world.fleet.unreachable.add("stage-0-1")
        await trio.sleep(10)
        now = world.clock.monotonic()
        assert not world.entry.fleet.states["stage-0-0"].usable(now)
        assert not world.entry.fleet.states["stage-0-1"].usable(now)
        assert now - world.entry.fleet.states["stage-0-2"].load_reported_at < 5


async def test_a_dead_engine_is_usable_again_once_it_responds(autojump_clock):
    async with make_world() as world:
        world.nursery.start_soon(poll_loads, world.entry)
        world.engine("stage-0-0").die()
        await trio.sleep(10)
        await world.fleet.start("stage-0-0", 8, TIMES)
        await trio.sleep(LEAVING_SECONDS)
        assert world.entry.fleet.states["stage-0-0"].usable(world.clock.monotonic())
