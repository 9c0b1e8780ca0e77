"""Joining and leaving the roster; each is a version of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import StoreConflict, StoreUnavailable

if TYPE_CHECKING:
    from pistachioreach.configuration.change import ChangeCoordinator

__all__ = ["join", "leave", "stay_joined"]

#: Upper limit of the wait between tries to join, in seconds.
MAX_RETRY_WAIT_SECONDS = 0.3
#: Seconds between looks at whether this entry is still in the roster.
CHECK_INTERVAL_SECONDS = 0.5


async def join(coordinator: ChangeCoordinator) -> None:
    """Join the roster; runs until it is done."""
    await change_roster(coordinator, present=True)
    logger.info("entry '{}' is in the roster", coordinator.replica.member.name)
    await coordinator.replica.renew_permit()


async def leave(coordinator: ChangeCoordinator) -> None:
    """Leave the roster; runs until it is done."""
    await change_roster(coordinator, present=False)


async def stay_joined(coordinator: ChangeCoordinator) -> None:
    """Join, and join again whenever a change has passed this entry, for ever."""
    while True:
        if not coordinator.replica.is_member():
            await join(coordinator)
        await trio.sleep(CHECK_INTERVAL_SECONDS)


async def change_roster(coordinator: ChangeCoordinator, present: bool) -> None:
    """Write this entry into the roster, or out of it."""
    random = coordinator.replica.entry.random
    while True:
        try:
            if await try_change(coordinator, present):
                return
        except (StoreConflict, StoreUnavailable) as error:
            logger.debug("roster not changed: {}", error)
        await trio.sleep(random.uniform(0, MAX_RETRY_WAIT_SECONDS))


async def try_change(coordinator: ChangeCoordinator, present: bool) -> bool:
    """Try once; return whether the roster is as wanted."""
    replica = coordinator.replica
    at, row = await coordinator.read_row()
    if not row["settled"]:
        at, row = await coordinator.settle(at, row)
    if replica.is_member() == present:
        return True
    own = replica.member
    roster = [member for member in replica.roster if member.name != own.name]
    if present:
        joined = replica.entry.clock.now().timestamp()
        roster.append(own._replace(joined=joined))
    at, row = await coordinator.write_version(at, row, roster)
    await coordinator.settle(at, row)
    return True
