"""Polls of the engines' load and of the platform's list of VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import ConnectionFailed, StoreUnavailable
from pistachioreach.routing.fleet import REPORT, VM_LIST

if TYPE_CHECKING:
    from pistachioreach.entry import Entry
    from pistachioreach.platform.objects import ObjectClient
    from pistachioreach.routing.fleet import EndpointState

__all__ = ["poll_loads", "poll_vms"]

#: Seconds between polls of one engine; news of a leaving one must arrive in 3.
LOAD_SECONDS = 2.0
#: Seconds that an engine has to answer.
ANSWER_SECONDS = 0.5
#: Seconds between reads of the list of VMs.
VM_SECONDS = 2.0
#: Engines polled besides those that this entry uses.
FAR_ENGINES = 8
#: Engines polled at once.
AT_ONCE = 4


async def poll_loads(entry: Entry) -> None:
    """Poll all engines in turn, evenly over the interval, for ever.

    Args:
        entry: The entry that polls.
    """
    # Entries that start together must not all look at the same moment.
    await trio.sleep(entry.random.uniform(0, LOAD_SECONDS))
    async with trio.open_nursery() as nursery:
        limiter = trio.CapacityLimiter(AT_ONCE)
        while True:
            states = polled(entry)
            pause = LOAD_SECONDS / max(1, len(states))
            for state in states:
                nursery.start_soon(poll_load, entry, state, limiter)
                await trio.sleep(pause)
            entry.update_places()
            if not states:
                await trio.sleep(LOAD_SECONDS)


def polled(entry: Entry) -> list[EndpointState]:
    """Return the engines that an entry polls.

    Those on which it has places of its own or requests, and a few others at
    random, so that the cost does not grow with the fleet: other entries tell
    when one of theirs is leaving.
    """
    engines = [s for s in entry.fleet.states.values() if s.endpoint.model]
    near = [s for s in engines if s.own_slots or s.in_flight]
    far = [s for s in engines if not s.own_slots and not s.in_flight]
    return near + entry.random.sample(far, min(len(far), FAR_ENGINES))


async def poll_load(entry: Entry, state: EndpointState, limiter: trio.CapacityLimiter) -> None:
    """Poll one engine."""
    endpoint = state.endpoint
    try:
        async with limiter:
            with trio.fail_after(ANSWER_SECONDS):
                report = await entry.engines.load(endpoint.name, endpoint.address)
    except (ConnectionFailed, trio.TooSlowError) as error:
        if not state.unreachable:
            entry.journal.record("poll", endpoint.name, "unreachable", repr(error))
        state.unreachable = True
        return
    state.observe_load(report, entry.clock.monotonic())
    if report["leaving"]:
        entry.mark_leaving(endpoint.name, REPORT)


async def poll_vms(entry: Entry, objects: ObjectClient) -> None:
    """Follow the platform's list of VMs, for ever.

    Args:
        entry: The entry that follows it.
        objects: Client of the list.
    """
    while True:
        try:
            for vm in await objects.vms():
                if vm["leaving"]:
                    entry.mark_leaving(vm["name"], VM_LIST)
                elif vm["name"] in entry.fleet.states:
                    state = entry.fleet.states[vm["name"]]
                    state.leaving_sources.discard(VM_LIST)
        except StoreUnavailable as error:
            logger.debug("list of VMs not read: {}", error)
        await trio.sleep(VM_SECONDS)
