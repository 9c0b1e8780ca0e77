"""Pollers of the engines' load and of the platform's VM list."""

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

#: Seconds between polls of one engine; that an engine is leaving must be noticed
#: within 3 s.
LOAD_POLL_SECONDS = 2.0
#: Timeout of the response of an engine.
RESPONSE_TIMEOUT_SECONDS = 0.5
#: Seconds between reads of the VM list.
VM_POLL_SECONDS = 2.0
#: Number of engines polled in addition to those that this entry uses.
SAMPLED_ENGINES = 8
#: Maximum number of concurrent polls.
MAX_CONCURRENT_POLLS = 4


async def poll_loads(entry: Entry) -> None:
    """Poll the engines' load forever, spread evenly over the poll interval.

    Args:
        entry: The entry for which the engines are polled.
    """
    # The random delay keeps entries that start together from polling together.
    await trio.sleep(entry.random.uniform(0, LOAD_POLL_SECONDS))
    async with trio.open_nursery() as nursery:
        limiter = trio.CapacityLimiter(MAX_CONCURRENT_POLLS)
        while True:
            states = select_engines(entry)
            pause = LOAD_POLL_SECONDS / max(1, len(states))
            for state in states:
                nursery.start_soon(poll_load, entry, state, limiter)
                await trio.sleep(pause)
            entry.update_slots()
            if not states:
                await trio.sleep(LOAD_POLL_SECONDS)


def select_engines(entry: Entry) -> list[EndpointState]:
    """Return the engines that an entry polls in one interval.

    These are the engines on which the entry has slots of its own or running requests,
    and a few random others. The number does not grow with the fleet, since other
    entries announce when one of their engines is leaving.

    Args:
        entry: The entry for which the engines are polled.
    """
    engines = [s for s in entry.fleet.states.values() if s.endpoint.model]
    used = [s for s in engines if s.own_slots or s.in_flight]
    unused = [s for s in engines if not s.own_slots and not s.in_flight]
    return used + entry.random.sample(unused, min(len(unused), SAMPLED_ENGINES))


async def poll_load(
    entry: Entry, state: EndpointState, limiter: trio.CapacityLimiter
) -> None:
    """Poll the load of one engine and record the result.

    Args:
        entry: The entry for which the engine is polled.
        state: State of the engine, which is updated.
        limiter: Limit on concurrent polls.
    """
    endpoint = state.endpoint
    try:
        async with limiter:
            with trio.fail_after(RESPONSE_TIMEOUT_SECONDS):
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
    """Poll the platform's VM list forever and mark the VMs that are leaving.

    Args:
        entry: The entry whose endpoints are marked.
        objects: Client of the VM list.
    """
    while True:
        try:
            for vm in await objects.list_vms():
                if vm["leaving"]:
                    entry.mark_leaving(vm["name"], VM_LIST)
                elif vm["name"] in entry.fleet.states:
                    state = entry.fleet.states[vm["name"]]
                    state.leaving_sources.discard(VM_LIST)
        except StoreUnavailable as error:
            logger.debug("cannot read the VM list: {}", error)
        await trio.sleep(VM_POLL_SECONDS)
