"""Joining and leaving the roster; each join or departure creates a new version."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio
from loguru import logger

from pistachioreach.errors import StoreConflict, StoreUnavailable

if TYPE_CHECKING:
    from pistachioreach.configuration.change import ChangeCoordinator

__all__ = ["join", "leave", "stay_joined"]

#: Maximum wait in seconds between attempts to change the roster; the wait is random.
MAX_RETRY_WAIT_SECONDS = 0.3
#: Seconds between checks whether this entry is still in the roster.
CHECK_INTERVAL_SECONDS = 0.5


async def join(coordinator: ChangeCoordinator) -> None:
    """Add this entry to the roster, retrying until that succeeds."""
    await change_roster(coordinator, present=True)
    logger.info("entry '{}' joined the roster", coordinator.replica.member.name)
    await coordinator.replica.renew_permit()


async def leave(coordinator: ChangeCoordinator) -> None:
    """Remove this entry from the roster, retrying until that succeeds."""
    await change_roster(coordinator, present=False)


async def stay_joined(coordinator: ChangeCoordinator) -> None:
    """Join the roster, and join again whenever a change has dropped this entry.

    Runs until it is cancelled. A change drops the entries that did not acknowledge
    it in time.
    """
    while True:
        if not coordinator.replica.is_member():
            await join(coordinator)
        await trio.sleep(CHECK_INTERVAL_SECONDS)


async def change_roster(coordinator: ChangeCoordinator, present: bool) -> None:
    """Add this entry to the roster or remove it, retrying until that succeeds.

    Args:
        coordinator: Writes the new version.
        present: Whether this entry is to be in the roster.
    """
    random = coordinator.replica.entry.random
    while True:
        try:
            if await try_change(coordinator, present):
                return
        except (StoreConflict, StoreUnavailable) as error:
            logger.debug("roster change failed, will be retried: {}", error)
        await trio.sleep(random.uniform(0, MAX_RETRY_WAIT_SECONDS))


async def try_change(coordinator: ChangeCoordinator, present: bool) -> bool:
    """Attempt once to add this entry to the roster or to remove it.

    Args:
        coordinator: Writes the new version.
        present: Whether this entry is to be in the roster.

    Returns:
        True once the roster is as requested.

    Raises:
        StoreConflict: Another entry changed the version row meanwhile.
        StoreUnavailable: The store did not answer.
    """
    replica = coordinator.replica
    store_version, row = await coordinator.read_row()
    if not row["settled"]:
        store_version, row = await coordinator.settle(store_version, row)
    if replica.is_member() == present:
        return True
    own = replica.member
    roster = [member for member in replica.roster if member.name != own.name]
    if present:
        joined = replica.entry.clock.now().timestamp()
        roster.append(own._replace(joined=joined))
    store_version, row = await coordinator.write_version(store_version, row, roster)
    await coordinator.settle(store_version, row)
    return True
