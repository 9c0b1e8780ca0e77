"""Faults between routers and sound endpoints: cuts, silence and resets of links."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from collections.abc import Sequence

    from soak.plan import Fault
    from soak.proxy import LinkProxy
    from soak.routers import RouterProcess

__all__ = ["CUTS", "choose_links", "choose_routers", "reset_links", "silence_links"]

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


def choose_links(
    links: dict[str, LinkProxy], fault: Fault, addresses: Sequence[str]
) -> list[LinkProxy]:
    """Return the links of half of some endpoints or more, as a fault's target says."""
    generator = random.Random(fault.target)
    share = generator.uniform(MIN_LINK_SHARE, 1.0)
    count = round(share * len(addresses))
    return [links[address] for address in generator.sample(addresses, count)]


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


async def silence_links(links: Sequence[LinkProxy], seconds: float) -> None:
    """Hold back the answers on some links for some seconds."""
    for link in links:
        link.silence()
    await trio.sleep(seconds)
    for link in links:
        link.end_silence()


async def reset_links(
    links: Sequence[LinkProxy], routers: Sequence[RouterProcess], seconds: float
) -> None:
    """Reset links again and again; their addresses refuse for some seconds each time.

    Args:
        links: Links of the endpoints.
        routers: All routers.
        seconds: Seconds for which new connections are refused after each reset.
    """
    for number in range(RESETS):
        await reset(routers, links, seconds)
        if number < RESETS - 1:
            await trio.sleep(
                random.Random(seconds + number).uniform(*RESET_PAUSE_SECONDS)
            )
