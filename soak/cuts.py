"""Faults between routers and sound endpoints: cuts, silence and resets of links."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak.checks import RunRecord
    from soak.plan import Fault
    from soak.proxy import LinkProxy
    from soak.routers import RouterProcess

__all__ = ["CUTS", "cut_routers", "disturb_links"]

#: Number of times that links are reset together.
RESETS = 3
#: Minimum and maximum seconds from the end of a reset to the next one.
RESET_PAUSE_SECONDS = (0.1, 0.8)
#: Minimum share of the endpoints whose links are disturbed together.
MIN_LINK_SHARE = 0.5


def choose_routers(
    routers: Sequence[RouterProcess], fault: Fault
) -> list[RouterProcess]:
    """Return one router, or all but one, as a fault's target says."""
    number = fault.target % len(routers)
    if fault.target // len(routers) % 2:
        return [router for n, router in enumerate(routers) if n != number]
    return [routers[number]]


async def hang(
    routers: Sequence[RouterProcess], links: Sequence[LinkProxy], seconds: float
) -> None:
    """Hold back all bytes between routers and endpoints for some seconds."""
    for link in links:
        for router in routers:
            link.hold(router.host)
    await trio.sleep(seconds)
    for link in links:
        for router in routers:
            link.release(router.host)


async def refuse(
    routers: Sequence[RouterProcess], links: Sequence[LinkProxy], seconds: float
) -> None:
    """Refuse new connections of routers to endpoints for some seconds."""
    addresses = [link.address for link in links]
    for router in routers:
        router.refuse_connections(addresses)
    await trio.sleep(seconds)
    for router in routers:
        router.accept_connections(addresses)


async def reset(
    routers: Sequence[RouterProcess], links: Sequence[LinkProxy], seconds: float
) -> None:
    """Reset connections of routers to endpoints, and refuse new ones for a time."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(refuse, routers, links, seconds)
        await trio.lowlevel.checkpoint()
        # A connection that is being opened now would outlive the reset.
        for _ in range(2):
            for link in links:
                for router in routers:
                    link.reset_connections(router.host)
            await trio.sleep(0.02)


#: What cuts routers off from all endpoints, by the effect of the fault.
CUTS = {
    "cut off silently": hang,
    "cut off by resets": reset,
    "cut off from new connections": refuse,
}


async def cut_routers(
    routers: Sequence[RouterProcess],
    links: Sequence[LinkProxy],
    effect: str,
    fault: Fault,
    record: RunRecord,
) -> None:
    """Cut one router, or all but one, off from all endpoints.

    Args:
        routers: All routers.
        links: Links of all endpoints.
        effect: What happens to the connections, a key of `CUTS`.
        fault: The fault.
        record: Record of the run.
    """
    chosen = choose_routers(routers, fault)
    names = ", ".join(router.name for router in chosen)
    record.log_event(f"{names} {effect}")
    await CUTS[effect](chosen, links, fault.duration_seconds)
    record.log_event(f"{names} {effect} ends")


async def disturb_links(
    routers: Sequence[RouterProcess],
    links: Sequence[LinkProxy],
    effect: str,
    fault: Fault,
    record: RunRecord,
) -> None:
    """Make half of the endpoints or more silent, or reset their links repeatedly.

    Args:
        routers: All routers.
        links: Links of all endpoints.
        effect: `silent together`, or `reset together`, after which the addresses refuse
            connections for the duration of the fault.
        fault: The fault.
        record: Record of the run.
    """
    generator = random.Random(fault.target)
    share = generator.uniform(MIN_LINK_SHARE, 1.0)
    chosen = generator.sample(links, round(share * len(links)))
    record.log_event(f"{len(chosen)} links {effect}")
    if effect == "silent together":
        for link in chosen:
            link.silence()
        await trio.sleep(fault.duration_seconds)
        for link in chosen:
            link.end_silence()
    else:
        for _ in range(RESETS):
            await reset(routers, chosen, fault.duration_seconds)
            await trio.sleep(generator.uniform(*RESET_PAUSE_SECONDS))
    record.log_event(f"{len(chosen)} links {effect} ends")
