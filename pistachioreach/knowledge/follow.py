"""Follows one table of the store, through outages and lost history."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio
from loguru import logger

from pistachioreach.errors import HistoryTruncated, StoreUnavailable
from pistachioreach.platform.breaker import backoff_seconds

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from random import Random

    from pistachioreach.clock import Clock
    from pistachioreach.knowledge.table import TableCopy
    from pistachioreach.platform.store import StoreClient

__all__ = ["Contact", "Rhythm", "follow_table"]

#: Upper limits in seconds of the first wait after a failed call, and of every
#: wait; a table must be up to date about a second after the store's return.
RETRY_SECONDS = (0.05, 0.4)
#: Seconds that an answer may take beyond the rhythm before a table counts as
#: silent; the store answers in about 4 ms.
SLACK_SECONDS = 0.3
#: Seconds between looks at whether this entry must ask the store itself.
IDLE_SECONDS = 0.1
#: Seconds after the store's return in which endpoints may register again.
RETURN_SECONDS = 2.0


class Rhythm(NamedTuple):
    """How often a table is asked for.

    Attributes:
        wait: Seconds that the store may hold an answer until there is a change.
        pause: Seconds between an answer and the next question, so that several
            changes come in one answer.
    """

    wait: float
    pause: float

    @property
    def limit(self) -> float:
        """Seconds between two answers at most, while the store is well."""
        return self.wait + self.pause + SLACK_SECONDS


class Contact:
    """Whether this entry reaches the store.

    Args:
        clock: Clock of the times.
        rhythms: How often each table is asked for.
    """

    def __init__(self, clock: Clock, rhythms: Mapping[str, Rhythm]) -> None:
        #: Clock of the times.
        self.clock = clock
        #: How often each table is asked for.
        self.rhythms = rhythms
        #: Monotonic time of the last answer about each table.
        self.answered = dict.fromkeys(rhythms, clock.monotonic())
        #: Tables about which the last call failed.
        self.failing: set[str] = set()
        #: Whether the store counts as lost.
        self.lost = True
        #: Whether the store has ever been reached.
        self.reached = False
        #: Monotonic time of the last return after a loss.
        self.returned = float("-inf")

    def silence(self, table: str) -> float:
        """Return the seconds since the last answer about a table."""
        return self.clock.monotonic() - self.answered[table]

    def overdue(self) -> list[str]:
        """Return the tables whose answer is overdue."""
        return [table for table, rhythm in self.rhythms.items() if self.silence(table) > rhythm.limit]

    def succeeded(self, table: str) -> None:
        """Note an answer about a table."""
        self.failing.discard(table)
        self.answered[table] = self.clock.monotonic()
        if self.lost and not self.overdue():
            self.note_return(table)

    def relayed(self, table: str, age: float) -> None:
        """Note what another entry knows of a table, told by the store a while ago."""
        self.answered[table] = max(self.answered[table], self.clock.monotonic() - age)
        if self.lost and not self.overdue():
            self.failing.clear()
            self.note_return(table)

    def note_return(self, table: str) -> None:
        """Note that the tables are up to date again."""
        self.lost = False
        if self.reached:
            self.returned = self.clock.monotonic()
        self.reached = True
        logger.bind(dependency="store", silence=round(self.silence(table), 3)).info("dependency regained")

    def failed(self, table: str, reason: str) -> None:
        """Note a call about a table without an answer."""
        self.failing.add(table)
        if not self.lost and self.overdue():
            self.lost = True
            logger.bind(dependency="store", tables=self.overdue(), reason=reason).warning("dependency lost")

    def settling(self) -> bool:
        """Whether the store has returned so lately that entries may be missing."""
        return self.lost or self.clock.monotonic() - self.returned < RETURN_SECONDS


async def follow_table(
    store: StoreClient,
    copy: TableCopy,
    contact: Contact,
    random: Random,
    asks: Callable[[TableCopy], bool] = lambda _: True,
) -> None:
    """Keep a copy of a table up to date for ever.

    Args:
        store: The store.
        copy: The copy.
        contact: Where answers and failures are noted.
        random: Source of the jitter of waits.
        asks: Whether this entry must ask the store about a table itself.
    """
    rhythm = contact.rhythms[copy.name]
    failures = 0
    while True:
        if copy.complete and not copy.stale and not asks(copy):
            await trio.sleep(IDLE_SECONDS)
            continue
        try:
            await ask_once(store, copy, rhythm.wait)
            contact.succeeded(copy.name)
            failures = 0
            await trio.sleep(rhythm.pause)
        except HistoryTruncated:
            contact.succeeded(copy.name)
            copy.stale = True
            logger.bind(table=copy.name, version=copy.version).warning("history of the table is gone; it is read in full")
        except StoreUnavailable as error:
            contact.failed(copy.name, str(error))
            first, longest = RETRY_SECONDS
            await trio.sleep(backoff_seconds(failures, first, longest, random))
            failures += 1


async def ask_once(store: StoreClient, copy: TableCopy, wait: float) -> None:
    """Read a table in full the first time, and its changes afterwards."""
    if not copy.complete or copy.stale:
        copy.replace(await store.read(copy.name))
        return
    changes = await store.wait_for_changes(copy.name, copy.version, wait)
    copy.update(changes.rows, changes.version)
