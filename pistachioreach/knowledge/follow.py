"""Follows one table of the store, through outages and lost history."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from pistachioreach.errors import HistoryGone, StoreUnavailable
from pistachioreach.platform.breaker import backoff_seconds

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.knowledge.table import TableCopy
    from pistachioreach.platform.store import StoreClient

__all__ = ["PollSchedule", "StoreConnectivity", "follow_table"]

#: Upper limits in seconds of the first wait after a failed call, and of every
#: wait; a table must be up to date about a second after the store's return.
BACKOFF_LIMITS_SECONDS = (0.05, 0.4)
#: Seconds that an answer may take beyond the rhythm before a table counts as
#: silent; the store answers in about 4 ms.
RESPONSE_MARGIN_SECONDS = 0.3
#: Seconds between looks at whether this entry must ask the store itself.
CHECK_INTERVAL_SECONDS = 0.1
#: Seconds after the store's return in which endpoints may register again.
REGISTRATION_GRACE_SECONDS = 2.0


class PollSchedule(NamedTuple):
    """How often a table is asked for.

    Attributes:
        hold_seconds: Seconds that the store may hold an answer until there is a change.
        pause_seconds: Seconds between an answer and the next question, so that several
            changes come in one answer.
    """

    hold_seconds: float
    pause_seconds: float

    @property
    def max_silence_seconds(self) -> float:
        """Seconds between two answers at most, while the store is well."""
        return self.hold_seconds + self.pause_seconds + RESPONSE_MARGIN_SECONDS


class StoreConnectivity:
    """Whether this entry reaches the store.

    Args:
        clock: Clock of the times.
        poll_schedules: How often each table is asked for.
    """

    def __init__(
        self, clock: Clock, poll_schedules: Mapping[str, PollSchedule]
    ) -> None:
        #: Clock of the times.
        self.clock = clock
        #: How often each table is asked for.
        self.poll_schedules = poll_schedules
        #: Monotonic time of the last answer about each table.
        self.last_answer = dict.fromkeys(poll_schedules, clock.monotonic())
        #: Tables about which the last call failed.
        self.failing_tables: set[str] = set()
        #: Whether the store counts as lost.
        self.lost = True
        #: Whether the store has ever been reached.
        self.ever_reached = False
        #: Monotonic time of the last return after a loss.
        self.returned_at = float("-inf")

    def seconds_since_answer(self, table: str) -> float:
        """Return the seconds since the last answer about a table."""
        return self.clock.monotonic() - self.last_answer[table]

    def overdue_tables(self) -> list[str]:
        """Return the tables whose answer is overdue."""
        return [
            table
            for table, schedule in self.poll_schedules.items()
            if self.seconds_since_answer(table) > schedule.max_silence_seconds
        ]

    def record_answer(self, table: str) -> None:
        """Note an answer about a table."""
        self.failing_tables.discard(table)
        self.last_answer[table] = self.clock.monotonic()
        if self.lost and not self.overdue_tables():
            self.record_recovery(table)

    def record_relayed(self, table: str, age: float) -> None:
        """Note what another entry knows of a table, told by the store a while ago."""
        self.last_answer[table] = max(
            self.last_answer[table], self.clock.monotonic() - age
        )
        if self.lost and not self.overdue_tables():
            self.failing_tables.clear()
            self.record_recovery(table)

    def record_recovery(self, table: str) -> None:
        """Note that the tables are up to date again."""
        self.lost = False
        if self.ever_reached:
            self.returned_at = self.clock.monotonic()
        self.ever_reached = True
        logger.bind(
            dependency="store", silence=round(self.seconds_since_answer(table), 3)
        ).info("dependency regained")

    def record_failure(self, table: str, reason: str) -> None:
        """Note a call about a table without an answer."""
        self.failing_tables.add(table)
        if not self.lost and self.overdue_tables():
            self.lost = True
            logger.bind(
                dependency="store", tables=self.overdue_tables(), reason=reason
            ).warning("dependency lost")

    def in_grace_period(self) -> bool:
        """Whether the store has returned so lately that entries may be missing."""
        return (
            self.lost
            or self.clock.monotonic() - self.returned_at < REGISTRATION_GRACE_SECONDS
        )


async def follow_table(
    store: StoreClient,
    copy: TableCopy,
    connectivity: StoreConnectivity,
    random: Random,
    must_poll: Callable[[TableCopy], bool] = lambda _: True,
) -> None:
    """Keep a copy of a table up to date for ever.

    Args:
        store: The store.
        copy: The copy.
        connectivity: Where answers and failures are noted.
        random: Source of the jitter of waits.
        must_poll: Whether this entry must ask the store about a table itself.
    """
    schedule = connectivity.poll_schedules[copy.name]
    failures = 0
    while True:
        if copy.loaded and not copy.needs_full_read and not must_poll(copy):
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            continue
        try:
            await poll_once(store, copy, schedule.hold_seconds)
            connectivity.record_answer(copy.name)
            failures = 0
            await trio.sleep(schedule.pause_seconds)
        except HistoryGone:
            connectivity.record_answer(copy.name)
            copy.needs_full_read = True
            logger.bind(table=copy.name, version=copy.version).warning(
                "history of the table is gone; it is read in full"
            )
        except StoreUnavailable as error:
            connectivity.record_failure(copy.name, str(error))
            first, longest = BACKOFF_LIMITS_SECONDS
            await trio.sleep(backoff_seconds(failures, first, longest, random))
            failures += 1


async def poll_once(store: StoreClient, copy: TableCopy, wait: float) -> None:
    """Read a table in full the first time, and its changes afterwards."""
    if not copy.loaded or copy.needs_full_read:
        copy.apply_snapshot(await store.read(copy.name))
        return
    changes = await store.changes(copy.name, copy.version, wait)
    copy.apply_changes(changes.rows, changes.version)
