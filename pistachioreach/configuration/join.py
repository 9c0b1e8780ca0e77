"""Joining and leaving the roster; each is a version of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import StoreConflict, StoreUnavailable

if TYPE_CHECKING:
    from pistachioreach.configuration.change import Changes

__all__ = ["join", "leave", "stay_joined"]

#: Upper limit of the wait between tries to join, in seconds.
RETRY_SECONDS = 0.3
#: Seconds between looks at whether this entry is still in the roster.
LOOK_SECONDS = 0.5


async def join(changes: Changes) -> None:
    """Join the roster; runs until it is done."""
    await change_roster(changes, present=True)
    logger.info("entry '{}' is in the roster", changes.agreement.member.name)
    await changes.agreement.renew()


async def leave(changes: Changes) -> None:
    """Leave the roster; runs until it is done."""
    await change_roster(changes, present=False)


async def stay_joined(changes: Changes) -> None:
    """Join, and join again whenever a change has passed this entry, for ever."""
    while True:
        if not changes.agreement.is_member():
            await join(changes)
        await trio.sleep(LOOK_SECONDS)


async def change_roster(changes: Changes, present: bool) -> None:
    """Write this entry into the roster, or out of it."""
    random = changes.agreement.entry.random
    while True:
        try:
            if await try_change(changes, present):
                return
        except (StoreConflict, StoreUnavailable) as error:
            logger.debug("roster not changed: {}", error)
        await trio.sleep(random.uniform(0, RETRY_SECONDS))


async def try_change(changes: Changes, present: bool) -> bool:
    """Try once; return whether the roster is as wanted."""
    agreement = changes.agreement
    at, row = await changes.read_row()
    if not row["settled"]:
        at, row = await changes.settle(at, row)
    if agreement.is_member() == present:
        return True
    own = agreement.member
    roster = [member for member in agreement.roster if member.name != own.name]
    if present:
        joined = agreement.entry.clock.now().timestamp()
        roster.append(own._replace(joined=joined))
    at, row = await changes.write_version(at, row, roster)
    await changes.settle(at, row)
    return True
